package engineapi_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// serve starts a server on an in-memory network, for use in synctest bubbles, and
// returns a client and the address.
func serve(t testing.TB, handler http.HandlerFunc) (*engineapi.Client, string) {
	memory := networktest.NewMemory(0)
	address := memory.Serve(t, handler)
	client := engineapi.NewClient(engineapi.ClientOptions{MaxLine: 2048, MaxBody: 4096, DrainTimeout: time.Minute, Network: memory})
	t.Cleanup(client.Close)
	return client, address
}

func event(id string, index int, finish structs.FinishReason) string {
	token := structs.Token{ID: structs.RequestID(id), Index: index, Text: fmt.Sprintf(" t%d", index), Finish: finish}
	encoded, err := engineapi.AppendToken(nil, token)
	if err != nil {
		panic(err)
	}
	return string(encoded)
}

// readAll reads a stream to its end and returns the token indexes.
func readAll(stream *engineapi.Stream) (indexes []int, err error) {
	for {
		token, err := stream.Next()
		if err != nil {
			return indexes, err
		}
		indexes = append(indexes, token.Index)
	}
}

// streamTest is a stream body and the expected result of reading it.
type streamTest struct {
	name string
	body string
	// reset closes the connection after the body without ending the response.
	reset bool
	// want is the expected token indexes; succeeds reports whether the stream is complete.
	want     []int
	succeeds bool
}

func (test streamTest) run(t *testing.T) { synctest.Test(t, test.check) }

func (test streamTest) check(t *testing.T) {
	c := qt.New(t)
	client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", engineapi.ContentTypeEvents)
		_, _ = io.WriteString(w, test.body)
		if test.reset {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	stream, err := client.Generate(context.Background(), address, structs.GenerateRequest{ID: "r", MaxTokens: 3})
	c.Assert(err, qt.IsNil)
	defer stream.Close()
	indexes, err := readAll(stream)
	c.Check(indexes, qt.DeepEquals, test.want)
	if test.succeeds {
		c.Check(err, qt.Equals, io.EOF)
		return
	}
	c.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageBroken)
	c.Check(err, qt.Not(qt.Equals), io.EOF)
	_, again := stream.Next()
	c.Check(again, qt.Equals, err, qt.Commentf("the error persists"))
}

func TestStreamValidation(t *testing.T) {
	complete := event("r", 0, "") + event("r", 1, "") + event("r", 2, structs.FinishStop)
	tests := []streamTest{
		{name: "complete", body: complete, want: []int{0, 1, 2}, succeeds: true},
		{name: "finish by length", body: event("r", 0, structs.FinishLength), want: []int{0}, succeeds: true},
		{name: "comments and CRLF", body: ": keep\r\n\r\n" + strings.ReplaceAll(complete, "\n", "\r\n"), want: []int{0, 1, 2}, succeeds: true},
		{name: "exact repeat is skipped", body: event("r", 0, "") + event("r", 0, "") + event("r", 1, structs.FinishStop), want: []int{0, 1}, succeeds: true},
		{name: "empty"},
		{name: "no finish", body: event("r", 0, "") + event("r", 1, ""), want: []int{0, 1}},
		{name: "ends inside an event", body: event("r", 0, "") + "data: {\"id\":\"r\"", want: []int{0}},
		{name: "finish without event end", body: strings.TrimSuffix(event("r", 0, structs.FinishStop), "\n")},
		{name: "reset", body: event("r", 0, ""), reset: true, want: []int{0}},
		{name: "not JSON", body: "data: {nope}\n\n"},
		{name: "wrong type", body: "data: {\"id\":\"r\",\"index\":\"0\"}\n\n"},
		{name: "two values in an event", body: "data: {\"id\":\"r\",\"index\":0}{}\n\n"},
		{name: "unknown field", body: "token: x\n\n"},
		{name: "unknown finish", body: event("r", 0, "soon")},
		{name: "no ID", body: event("", 0, structs.FinishStop)},
		{name: "negative index", body: event("r", -1, structs.FinishStop)},
		{name: "other request", body: event("r", 0, "") + event("s", 1, ""), want: []int{0}},
		{name: "lost token", body: event("r", 0, "") + event("r", 2, structs.FinishStop), want: []int{0}},
		{name: "older token repeated", body: event("r", 0, "") + event("r", 1, "") + event("r", 0, ""), want: []int{0, 1}},
		{name: "starts late", body: event("r", 1, structs.FinishStop)},
		{name: "too many tokens", body: event("r", 0, "") + event("r", 1, "") + event("r", 2, "") + event("r", 3, ""), want: []int{0, 1, 2}},
		{name: "line too long", body: "data: " + strings.Repeat("x", 9000) + "\n\n"},
		{name: "event too long", body: strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 3) + "\n"},
		{name: "endless line", body: strings.Repeat("x", 1<<20)},
		{name: "cancelled", body: event("r", 0, structs.FinishCancelled), want: []int{0}},
		{name: "engine error", body: event("r", 0, structs.FinishError), want: []int{0}},
	}
	for _, test := range tests {
		t.Run(test.name, test.run)
	}
}

func TestStreamLoadFromHeaderThenTrailer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		read := make(chan struct{})
		release := sync.OnceFunc(func() { close(read) })
		defer release()
		client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", engineapi.ContentTypeEvents)
			w.Header().Set("Trailer", engineapi.HeaderLoad)
			w.Header().Set(engineapi.HeaderLoad, engineapi.EncodeLoad(structs.LoadReport{Running: 1}))
			_, _ = io.WriteString(w, event("r", 0, structs.FinishStop))
			_ = http.NewResponseController(w).Flush()
			<-read
			w.Header().Set(engineapi.HeaderLoad, engineapi.EncodeLoad(structs.LoadReport{Running: 2}))
		})
		stream, err := client.Generate(context.Background(), address, structs.GenerateRequest{ID: "r", MaxTokens: 1})
		c.Assert(err, qt.IsNil)
		load, found := stream.Load()
		c.Check(found, qt.IsTrue)
		c.Check(load.Running, qt.Equals, 1)
		_, err = readAll(stream)
		c.Check(err, qt.Equals, io.EOF)
		release()
		c.Check(stream.Close(), qt.IsNil)
		load, _ = stream.Load()
		c.Check(load.Running, qt.Equals, 2)
	})
}

// countingNetwork counts dialled connections.
type countingNetwork struct {
	*networktest.Memory
	dialled *atomic.Int32
}

// DialContext implements network.Network.
func (n countingNetwork) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	n.dialled.Add(1)
	return n.Memory.DialContext(ctx, protocol, address)
}

func TestFinishedStreamsReuseConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var connections atomic.Int32
		memory := networktest.NewMemory(0)
		counted := countingNetwork{Memory: memory, dialled: &connections}
		address := memory.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", engineapi.ContentTypeEvents)
			_, _ = io.WriteString(w, event("r", 0, structs.FinishStop))
		}))
		client := engineapi.NewClient(engineapi.ClientOptions{Network: counted})
		defer client.Close()
		for range 5 {
			stream, err := client.Generate(context.Background(), address, structs.GenerateRequest{ID: "r", MaxTokens: 1})
			c.Assert(err, qt.IsNil)
			_, err = readAll(stream)
			c.Assert(err, qt.Equals, io.EOF)
			c.Assert(stream.Close(), qt.IsNil)
		}
		c.Check(connections.Load(), qt.Equals, int32(1))
	})
}

func FuzzTokenDecoder(f *testing.F) {
	f.Add([]byte(event("r", 0, "") + event("r", 1, structs.FinishStop)))
	f.Add([]byte(": comment\r\ndata: {\"id\":\"r\",\ndata: \"index\":1}\r\n\r\n"))
	f.Add([]byte("data: {}\n\n"))
	f.Add([]byte("data:"))
	f.Fuzz(func(t *testing.T, body []byte) {
		decoder := engineapi.NewTokenDecoder(strings.NewReader(string(body)), 256)
		var encoded []byte
		var tokens []structs.Token
		for {
			token, err := decoder.Next()
			if err != nil {
				break
			}
			if token.ID == "" || token.Index < 0 {
				t.Fatalf("token without ID or with a negative index: %+v", token)
			}
			tokens = append(tokens, token)
			encoded, _ = engineapi.AppendToken(encoded, token)
		}
		if len(tokens) > len(body)/len("data:{}\n\n") {
			t.Fatalf("%d tokens from %d bytes", len(tokens), len(body))
		}
		again := engineapi.NewTokenDecoder(strings.NewReader(string(encoded)), 0)
		for _, want := range tokens {
			got, err := again.Next()
			if err != nil || got != want {
				t.Fatalf("got %+v, %v after encoding %+v", got, err, want)
			}
		}
		if _, err := again.Next(); err != io.EOF {
			t.Fatalf("got %v at the end", err)
		}
	})
}

func BenchmarkTokenDecoder(b *testing.B) {
	body := strings.Repeat(event("router-a-0123456789", 12, ""), 1000)
	b.ReportAllocs()
	for b.Loop() {
		decoder := engineapi.NewTokenDecoder(strings.NewReader(body), 0)
		for range 1000 {
			if _, err := decoder.Next(); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/token")
}

func BenchmarkClientStream(b *testing.B) {
	const tokens = 1000
	var body strings.Builder
	for i := range tokens {
		finish := structs.FinishReason("")
		if i == tokens-1 {
			finish = structs.FinishStop
		}
		body.WriteString(event("router-a-0123456789", i, finish))
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", engineapi.ContentTypeEvents)
		_, _ = io.WriteString(w, body.String())
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	client := engineapi.NewClient(engineapi.ClientOptions{MaxLine: 2048, DrainTimeout: time.Minute})
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		stream, err := client.Generate(context.Background(), address, structs.GenerateRequest{ID: "router-a-0123456789", MaxTokens: tokens})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := readAll(stream); err != io.EOF {
			b.Fatal(err)
		}
		_ = stream.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
