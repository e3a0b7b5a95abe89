package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	benchmarkTokens = 32
	// benchmarkPace is the interval between tokens in latency benchmarks.
	benchmarkPace = time.Millisecond
)

// benchmarkEngine returns an engine whose tokens carry their send time.
func benchmarkEngine(pace time.Duration, began time.Time) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := generateRequest(r)
		writeTokens(w, func(index int) (structs.Token, bool) {
			if pace > 0 {
				time.Sleep(pace)
			}
			text := strconv.FormatInt(int64(time.Since(began)), 10)
			return lastAt(structs.Token{ID: request.ID, Index: index, Text: text}, benchmarkTokens-1), index < benchmarkTokens
		})
	})
}

// requestPath sends a request, either directly to the engine or through a daemon.
type requestPath func(number int64, take func(structs.Token)) error

func directPath(ctx context.Context, address string, client *engineapi.Client) requestPath {
	return func(number int64, take func(structs.Token)) error {
		stream, err := client.Generate(ctx, address, structs.GenerateRequest{
			ID: structs.RequestID(fmt.Sprint("b", number)), Row: "r0", Prompt: "p", MaxTokens: benchmarkTokens})
		if err != nil {
			return err
		}
		defer stream.Close()
		for {
			token, err := stream.Next()
			if err != nil {
				return err
			}
			take(token)
			if token.Finish != "" {
				return nil
			}
		}
	}
}

func (s *streamSite) daemonPath() requestPath {
	client := api.NewClient(&http.Client{Transport: s.http})
	return func(number int64, take func(structs.Token)) error {
		request := structs.Request{ID: structs.RequestID(fmt.Sprint("b", number)), Row: "r0", Prompt: "p", MaxTokens: benchmarkTokens,
			Priority: structs.PriorityLive, DeadlineAt: time.Now().Add(time.Minute)}
		answer, err := client.Call(s.ctx, s.url(0), "", "", request)
		if err != nil {
			return err
		}
		defer answer.Close()
		for {
			token, err := answer.Next(s.ctx)
			if err != nil {
				return err
			}
			take(token)
			if token.Finish != "" {
				return nil
			}
		}
	}
}

// BenchmarkRequestPath compares calls through a daemon with direct calls of the engine.
// Client and engine run in this process in both cases, so the difference is the cost of
// the daemon. Latencies, in microseconds, are from sending a request to its first
// token, and from sending a later token to its receipt.
func BenchmarkRequestPath(b *testing.B) {
	for _, pace := range []time.Duration{benchmarkPace, 0} {
		began := time.Now()
		engine := benchmarkEngine(pace, began)
		site := newStreamSite(b, streamSiteOptions{zones: 1, engine: engine})
		site.applyRows(1)
		client := engineapi.NewClient(engineapi.ClientOptions{})
		b.Cleanup(client.Close)
		paths := []struct {
			name string
			path requestPath
		}{{"direct", directPath(site.ctx, site.serve(engine), client)}, {"daemon", site.daemonPath()}}
		for _, way := range paths {
			if pace > 0 {
				b.Run("latency/"+way.name, func(b *testing.B) { benchmarkLatency(b, way.path, began) })
			} else {
				b.Run("throughput/"+way.name, func(b *testing.B) { benchmarkThroughput(b, way.path) })
			}
		}
	}
}

func benchmarkLatency(b *testing.B, path requestPath, began time.Time) {
	var first, transit []float64
	// The first request loads the row and opens the connections.
	if err := path(-1, func(structs.Token) {}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		sent := time.Now()
		err := path(int64(len(first)), func(token structs.Token) {
			if token.Index == 0 {
				first = append(first, float64(time.Since(sent)-benchmarkPace)/1e3)
				return
			}
			if at, err := strconv.ParseInt(strings.TrimSpace(token.Text), 10, 64); err == nil {
				transit = append(transit, float64(time.Since(began)-time.Duration(at))/1e3)
			}
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	for name, values := range map[string][]float64{"first": first, "token": transit} {
		slices.Sort(values)
		b.ReportMetric(values[len(values)/2], name+"_p50_us")
		b.ReportMetric(values[len(values)*99/100], name+"_p99_us")
	}
	b.ReportMetric(0, "ns/op")
}

func benchmarkThroughput(b *testing.B, path requestPath) {
	var mutex sync.Mutex
	var number int64
	if err := path(-1, func(structs.Token) {}); err != nil {
		b.Fatal(err)
	}
	cpu := processCPU()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mutex.Lock()
			number++
			own := number
			mutex.Unlock()
			if err := path(own, func(structs.Token) {}); err != nil {
				b.Error(err)
				return
			}
		}
	})
	used := processCPU() - cpu
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu_us/request")
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N)/benchmarkTokens, "cpu_ns/token")
}
