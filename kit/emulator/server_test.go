package emulator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// testScale is the clock scale of the engines in these tests.
const testScale = 20

// testTimeout ends a test that would otherwise block forever.
const testTimeout = 5 * time.Minute

// pollInterval is the interval between status polls.
const pollInterval = time.Millisecond

// serverFixture is an engine server with the ready row "m" on an in-memory network.
type serverFixture struct {
	*qt.C
	memory  *networktest.Memory
	server  *emulator.EngineServer
	client  *engineapi.Client
	address string
	ctx     context.Context
}

func newServerFixture(t testing.TB, scale float64, change func(options *emulator.EngineOptions)) *serverFixture {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	memory := networktest.NewMemory(0)
	client := engineapi.NewClient(engineapi.ClientOptions{Network: memory})
	h := newHarness(t, change)
	h.now = time.Now().Add(-time.Hour)
	h.ready("m")
	r := &serverFixture{C: h.C, memory: memory, client: client, ctx: ctx}
	r.server = emulator.NewEngineServer(log.NewNopLogger(), h.engine, emulator.NewClock(scale))
	r.address = memory.Serve(t, r.server)
	t.Cleanup(func() {
		cancel()
		r.server.Close()
		client.Close()
	})
	return r
}

// generate returns the tokens of a request and the error that ended its stream.
func (r *serverFixture) generate(each structs.GenerateRequest) ([]structs.Token, error) {
	stream, err := r.client.Generate(r.ctx, r.address, each)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var tokens []structs.Token
	for {
		token, err := stream.Next()
		if err != nil {
			return tokens, err
		}
		tokens = append(tokens, token)
	}
}

// longRequest returns a request whose answer has at least 150 tokens.
func longRequest(id string) structs.GenerateRequest {
	each := request(id, "m", "")
	each.MaxTokens = 200
	for i := 0; emulator.ExpectedLength(each.Row, each.Prompt, each.MaxTokens) < 150; i++ {
		each.Prompt = prompt(fmt.Sprint(id, i), 20)
	}
	return each
}

// control posts to a path of the engine and returns the HTTP status.
func (r *serverFixture) control(path, body string) int {
	response, err := r.memory.Client(r.TB).Post("http://"+r.address+path, engineapi.ContentTypeJSON, strings.NewReader(body))
	r.Assert(err, qt.IsNil)
	defer response.Body.Close()
	return response.StatusCode
}

func TestServerStreamsCompleteAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newServerFixture(t, testScale, nil)
		var group sync.WaitGroup
		for i := range 40 {
			group.Go(func() {
				each := request(fmt.Sprintf("r/%d", i), "m", prompt(fmt.Sprint(i), 20))
				tokens, err := r.generate(each)
				r.Check(err, qt.Equals, io.EOF)
				r.Check(checkAnswer(each, tokens), qt.Equals, "")
				status, err := r.client.Status(r.ctx, r.address, each.ID, false)
				r.Check(err, qt.IsNil)
				r.Check(status.State, qt.Equals, structs.RunFinished)
			})
		}
		group.Wait()
	})
}

func TestServerFaultsSurfaceAsClientErrors(t *testing.T) {
	tests := []struct {
		name   string
		faults string
	}{
		{"late", `{"late_rate":0.3,"late_by":30000000}`},
		{"lost", `{"loss_rate":0.3}`},
		{"crossed", `{"cross_rate":0.3}`},
		{"reset", `{"reset_rate":0.3}`},
		{"died", `{"die_after_tokens":30}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newServerFixture(t, 1, nil)
				r.Assert(r.control(emulator.PathFaults, test.faults), qt.Equals, http.StatusOK)
				wrong := make([]error, 4)
				var group sync.WaitGroup
				for i := range wrong {
					group.Go(func() {
						_, wrong[i] = r.generate(longRequest(fmt.Sprint(i)))
					})
				}
				group.Wait()
				broken := 0
				for _, err := range wrong {
					if engineapi.StageOf(err) == engineapi.StageBroken && err != io.EOF {
						broken++
					}
				}
				r.Check(broken > 0, qt.IsTrue, qt.Commentf("%v", wrong))
			})
		})
	}
}

func TestServerReportsRequestsThatDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newServerFixture(t, testScale, nil)
		_, err := r.generate(request("r", "other", "p"))
		r.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageRefused)
		status, err := r.client.Cancel(r.ctx, r.address, "s/1 ?")
		r.Assert(err, qt.IsNil)
		r.Check(status.State, qt.Equals, structs.RunUnknown)
		_, err = r.generate(request("s/1 ?", "m", "p"))
		r.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageRefused)
		r.Check(structs.KindOf(err), qt.Equals, structs.ErrorConflict)
		each := request("t", "m", "p")
		_, err = r.generate(each)
		r.Assert(err, qt.Equals, io.EOF)
		status, err = r.client.Status(r.ctx, r.address, "t", true)
		r.Assert(err, qt.IsNil)
		r.Check(status.Started, qt.IsTrue)
		_, err = r.generate(each)
		r.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageBroken, qt.Commentf("the request ID has run"))
		r.Check(r.control(engineapi.PathOrders, "{"), qt.Equals, http.StatusBadRequest)
		r.Check(r.control(engineapi.PathReport, "{}"), qt.Equals, http.StatusMethodNotAllowed)
		r.Check(r.control("/nowhere", "{}"), qt.Equals, http.StatusNotFound)
	})
}

func TestServerCancelsOnClientDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newServerFixture(t, 1, nil)
		each := longRequest("r")
		stream, err := r.client.Generate(r.ctx, r.address, each)
		r.Assert(err, qt.IsNil)
		first, err := stream.Next()
		r.Assert(err, qt.IsNil)
		r.server.SetFaults(emulator.EngineFaults{SlowFactor: 20})
		r.Assert(stream.Close(), qt.IsNil)
		for state := structs.RunRunning; state == structs.RunRunning; {
			status, err := r.client.Status(r.ctx, r.address, "r", false)
			r.Assert(err, qt.IsNil)
			state = status.State
			r.Assert(state, qt.Not(qt.Equals), structs.RunFinished)
			time.Sleep(pollInterval)
		}
		r.server.SetFaults(emulator.EngineFaults{})
		each.ResumeFrom = 1
		rest, err := r.generate(each)
		r.Check(err, qt.Equals, io.EOF)
		each.ResumeFrom = 0
		r.Check(checkAnswer(each, append([]structs.Token{first}, rest...)), qt.Equals, "")
	})
}

func TestServerCrashAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newServerFixture(t, testScale, nil)
		r.server.SetFaults(emulator.EngineFaults{StallRate: 1})
		stream, err := r.client.Generate(r.ctx, r.address, request("r", "m", "p"))
		r.Assert(err, qt.IsNil)
		r.Assert(r.control(emulator.PathCrash, ""), qt.Equals, http.StatusOK)
		_, err = stream.Next()
		r.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageBroken)
		_, err = r.client.Report(r.ctx, r.address)
		r.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageBroken)
		r.Assert(r.control(emulator.PathRestart, "{}"), qt.Equals, http.StatusOK)
		report, err := r.client.Report(r.ctx, r.address)
		r.Assert(err, qt.IsNil)
		r.Check(report.Incarnation, qt.Equals, structs.Incarnation(2))
		r.Check(report.Replicas, qt.HasLen, 0)
	})
}

func TestServerLoadsFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newServerFixture(t, testScale, func(o *emulator.EngineOptions) {
			o.FetchTime = func(structs.RowName, int64) (time.Duration, bool) { return 0, true }
		})
		clock := emulator.NewClock(testScale)
		store := emulator.NewStoreServer(log.NewNopLogger(), emulator.NewStore(emulator.StoreOptions{}), clock)
		storeAddress := r.memory.Serve(t, store)
		reply, err := r.client.Fetch(r.ctx, storeAddress, engineapi.FetchRequest{Row: "m", SizeBytes: 1})
		r.Assert(err, qt.IsNil)
		r.Check(reply.Row, qt.Equals, structs.RowName("m"))
		engine := emulator.NewEngine(emulator.EngineOptions{Runner: "runner-2", MemoryBytes: gigabyte})
		server := emulator.NewEngineServer(log.NewNopLogger(), engine, clock)
		defer server.Close()
		server.UseStore(r.client, storeAddress)
		r.address = r.memory.Serve(t, server)
		load := func(number structs.OrderNumber) structs.ReplicaState {
			order := structs.Order{Fence: structs.Fence{Epoch: 1, Number: number}, Kind: structs.OrderLoad,
				Runner: "runner-2", Incarnation: 1, Row: "m", MemoryBytes: gigabyte}
			reply, err := r.client.Order(r.ctx, r.address, order)
			r.Assert(err, qt.IsNil)
			r.Assert(reply.Accepted, qt.IsTrue, qt.Commentf("%s", reply.Reason))
			for {
				report, err := r.client.Report(r.ctx, r.address)
				r.Assert(err, qt.IsNil)
				if state := report.Replicas[0].State; state != structs.ReplicaLoading {
					return state
				}
				time.Sleep(pollInterval)
			}
		}
		store.SetFaults(emulator.StoreFaults{FailRate: 1})
		r.Check(load(1), qt.Equals, structs.ReplicaAbsent)
		store.SetFaults(emulator.StoreFaults{})
		r.Check(load(2), qt.Equals, structs.ReplicaReady)
		state, err := r.client.StoreState(r.ctx, storeAddress)
		r.Assert(err, qt.IsNil)
		r.Check(state.Finished, qt.Equals, uint64(3))
	})
}

func TestServerTransfersKVCacheAndServesEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := newServerFixture(t, 1, nil), newServerFixture(t, testScale, nil)
		each := longRequest("r")
		stream, err := from.client.Generate(from.ctx, from.address, each)
		from.Assert(err, qt.IsNil)
		defer stream.Close()
		_, err = stream.Next()
		from.Assert(err, qt.IsNil)
		from.server.SetFaults(emulator.EngineFaults{SlowFactor: 20})
		cache, err := from.client.Export(from.ctx, from.address, engineapi.ExportRequest{ID: "r", Row: "m"})
		from.Assert(err, qt.IsNil)
		imported, err := to.client.Import(to.ctx, to.address, cache)
		to.Assert(err, qt.IsNil)
		to.Check(imported.Tokens, qt.Equals, cache.Tokens)
		page, err := to.client.Events(to.ctx, to.address, 0)
		to.Assert(err, qt.IsNil)
		to.Check(page.Events, qt.HasLen, 1)
		to.Check(page.Events[0].Blocks, qt.HasLen, len(cache.Blocks))
		vectors, err := to.client.Embeddings(to.ctx, to.address, engineapi.EmbeddingsRequest{ID: "e", Row: "m", Inputs: []string{"x"}})
		to.Assert(err, qt.IsNil)
		to.Check(vectors.Vectors[0], qt.DeepEquals, emulator.ExpectedVector("m", "x"))
	})
}

func TestMachineServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		server := emulator.NewMachineServer(log.NewNopLogger(), emulator.NewMachineList(0), emulator.NewClock(1))
		memory := networktest.NewMemory(0)
		address := memory.Serve(t, server)
		client := engineapi.NewClient(engineapi.ClientOptions{Network: memory})
		defer client.Close()
		ctx := context.Background()
		server.Put(structs.Machine{Runner: "a", State: structs.MachineLive})
		c.Check(client.Leave(ctx, address, engineapi.LeaveRequest{Runner: "a"}), qt.IsNil)
		machines, err := client.Machines(ctx, address)
		c.Assert(err, qt.IsNil)
		c.Check(machines, qt.DeepEquals, []structs.Machine{{Runner: "a", State: structs.MachineLeaving}})
		inZone := structs.Machine{Runner: "b", Zone: "z", State: structs.MachineLive}
		server.Put(inZone)
		changes, err := client.MachineChanges(ctx, address, "z", "")
		c.Assert(err, qt.IsNil)
		c.Check(changes.Full, qt.IsTrue)
		c.Check(changes.Machines, qt.DeepEquals, []structs.Machine{inZone})
		c.Check(client.Leave(ctx, address, engineapi.LeaveRequest{Runner: "a", Gone: true}), qt.IsNil)
		err = client.Leave(ctx, address, engineapi.LeaveRequest{Runner: "a"})
		c.Check(structs.KindOf(err), qt.Equals, structs.ErrorNotFound)
	})
}

// BenchmarkEngineCore measures the time per token of the core with a full batch.
func BenchmarkEngineCore(b *testing.B) {
	h := newHarness(b, nil)
	h.ready("m")
	text := prompt("p", 100)
	sent, before := 0, h.engine.Records().Tokens
	b.ReportAllocs()
	for b.Loop() {
		for range 32 {
			sent++
			input := emulator.EngineInput{Kind: emulator.InputGenerate, Call: emulator.CallID(sent), Generate: request(fmt.Sprint(sent), "m", text)}
			input.Generate.MaxTokens = 200
			h.engine.Step(h.now, input)
		}
		for {
			at, found := h.engine.NextEvent()
			if !found {
				break
			}
			h.now = at
			h.engine.Advance(at)
		}
	}
	tokens := h.engine.Records().Tokens - before
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tokens), "ns/token")
}

// BenchmarkIdleEngine measures the memory of an idle engine server with a loaded row,
// without its listener.
func BenchmarkIdleEngine(b *testing.B) {
	var servers []*emulator.EngineServer
	clock := emulator.NewClock(1)
	measure := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc + stats.StackInuse
	}
	before, goroutines := measure(), runtime.NumGoroutine()
	for b.Loop() {
		engine := emulator.NewEngine(emulator.EngineOptions{Runner: "r", MemoryBytes: gigabyte, ReportLag: time.Second,
			FetchTime: func(structs.RowName, int64) (time.Duration, bool) { return 0, true }})
		at := time.Now().Add(-time.Hour)
		engine.Step(at, emulator.EngineInput{Kind: emulator.InputOrder, Order: structs.Order{Fence: structs.Fence{Epoch: 1},
			Kind: structs.OrderLoad, Runner: "r", Incarnation: 1, Row: "m", MemoryBytes: gigabyte}})
		engine.Advance(at.Add(time.Minute))
		servers = append(servers, emulator.NewEngineServer(log.NewNopLogger(), engine, clock))
	}
	b.ReportMetric(float64(measure()-before)/float64(len(servers)), "B/engine")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines), "goroutines")
	runtime.KeepAlive(servers)
}
