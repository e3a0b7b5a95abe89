package emulator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

func TestOrdersAreFenced(t *testing.T) {
	newest := structs.Order{Kind: structs.OrderLoad, Row: "m", MemoryBytes: gigabyte,
		Runner: "runner-1", Incarnation: 1, Fence: structs.Fence{Epoch: 2, Number: 5}}
	tests := []struct {
		name     string
		change   func(order *structs.Order)
		accepted bool
	}{
		{"repeated newest order", func(*structs.Order) {}, true},
		{"different order with the same fence", func(o *structs.Order) { o.Row = "n" }, false},
		{"older number", func(o *structs.Order) { o.Fence.Number = 4 }, false},
		{"older epoch with higher number", func(o *structs.Order) { o.Fence = structs.Fence{Epoch: 1, Number: 9} }, false},
		{"newer epoch with lower number", func(o *structs.Order) { o.Fence = structs.Fence{Epoch: 3, Number: 1} }, true},
		{"newer number", func(o *structs.Order) { o.Fence.Number = 6; o.Row = "n" }, true},
		{"other incarnation", func(o *structs.Order) { o.Fence.Number = 6; o.Incarnation = 2 }, false},
		{"other runner", func(o *structs.Order) { o.Fence.Number = 6; o.Runner = "runner-2" }, false},
		{"unknown kind", func(o *structs.Order) { o.Fence.Number = 6; o.Kind = "explode" }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.Assert(h.order(newest).Accepted, qt.IsTrue)
			order := newest
			test.change(&order)
			reply := h.order(order)
			h.Check(reply.Accepted, qt.Equals, test.accepted, qt.Commentf("%s", reply.Reason))
			h.Check(reply.Reason == "", qt.Equals, test.accepted)
			h.Check(reply.Incarnation, qt.Equals, structs.Incarnation(1))
			want := newest.Fence
			if test.accepted {
				want = order.Fence
			}
			h.Check(reply.Fence, qt.Equals, want)
			loaded := 1
			if test.accepted && order.Row != newest.Row {
				loaded = 2
			}
			h.Check(h.report().MemoryUsed, qt.Equals, int64(loaded)*gigabyte)
			h.Check(len(h.engine.Records().RefusedOrders) == 1, qt.Equals, !test.accepted)
		})
	}
}

func TestLoadBeyondMemoryIsRefusedAndRecorded(t *testing.T) {
	h := newHarness(t, nil)
	h.Assert(h.load("a", "", 30*gigabyte).Accepted, qt.IsTrue)
	refused := h.load("b", "", 11*gigabyte)
	h.Check(refused.Accepted, qt.IsFalse)
	h.Check(h.engine.Records().Violations, qt.HasLen, 1)
	h.Check(h.load("c", "", 10*gigabyte).Accepted, qt.IsTrue)
	h.Check(h.engine.Records().Violations, qt.HasLen, 1)
	h.Check(h.engine.Records().PeakMemory, qt.Equals, int64(40*gigabyte))
}

func TestLoadTimeFollowsTheCacheTier(t *testing.T) {
	loadTime := func(h *harness, row structs.RowName) time.Duration {
		began := h.now
		h.Assert(h.load(row, "", 10*gigabyte).Accepted, qt.IsTrue)
		h.run(20 * time.Second)
		h.Assert(h.state(row), qt.Equals, structs.ReplicaReady)
		changes := h.engine.Records().ReplicaChanges
		took := changes[len(changes)-1].At.Sub(began)
		h.Assert(h.order(structs.Order{Kind: structs.OrderUnload, Row: row}).Accepted, qt.IsTrue)
		h.run(time.Second)
		h.Assert(h.state(row), qt.Equals, structs.ReplicaState(""))
		return took
	}
	h := newHarness(t, func(o *emulator.EngineOptions) { o.HostMemoryBytes = 15 * gigabyte; o.DiskBytes = 25 * gigabyte })
	fromStore := loadTime(h, "a")
	fromMemory := loadTime(h, "a")
	loadTime(h, "b")
	fromDisk := loadTime(h, "a")
	h.Check(fromStore, qt.Equals, 3*time.Second+700*time.Millisecond)
	h.Check(fromMemory, qt.Equals, 700*time.Millisecond)
	h.Check(fromDisk, qt.Equals, 2700*time.Millisecond)
	loadTime(h, "b")
	loadTime(h, "c")
	h.Check(loadTime(h, "a"), qt.Equals, fromStore, qt.Commentf("the least recently used checkpoint was evicted from disk"))

	h.Assert(h.order(structs.Order{Kind: structs.OrderPrefetch, Row: "d", MemoryBytes: 10 * gigabyte, Tier: structs.TierMemory}).Accepted, qt.IsTrue)
	h.run(5 * time.Second)
	h.Check(loadTime(h, "d"), qt.Equals, fromMemory)
	h.Check(h.order(structs.Order{Kind: structs.OrderPrefetch, Row: "e", MemoryBytes: 1, Tier: structs.TierStore}).Accepted, qt.IsFalse)
}

func TestAdapterNeedsItsBase(t *testing.T) {
	h := newHarness(t, nil)
	h.Check(h.load("adapter", "m", 1).Accepted, qt.IsFalse)
	h.Assert(h.load("m", "", 10*gigabyte).Accepted, qt.IsTrue)
	h.Assert(h.load("adapter", "m", 1).Accepted, qt.IsTrue)
	h.run(3300 * time.Millisecond)
	h.Check(h.state("m"), qt.Equals, structs.ReplicaLoading)
	h.Check(h.state("adapter"), qt.Equals, structs.ReplicaLoading, qt.Commentf("weights are read but the base is not ready"))
	h.run(time.Second)
	h.Check(h.state("m"), qt.Equals, structs.ReplicaReady)
	h.Check(h.state("adapter"), qt.Equals, structs.ReplicaReady)
	h.Check(h.order(structs.Order{Kind: structs.OrderUnload, Row: "m"}).Accepted, qt.IsFalse)
	h.Check(h.order(structs.Order{Kind: structs.OrderRole, Role: "search"}).Accepted, qt.IsFalse)
	h.Check(h.order(structs.Order{Kind: structs.OrderUnload, Row: "adapter"}).Accepted, qt.IsTrue)
	h.run(time.Second)
	h.Check(h.order(structs.Order{Kind: structs.OrderUnload, Row: "m"}).Accepted, qt.IsTrue)
	h.run(time.Second)
	h.Check(h.order(structs.Order{Kind: structs.OrderRole, Role: "search"}).Accepted, qt.IsTrue)
	h.Check(h.report().Role, qt.Equals, structs.RunnerRole("search"))
	h.Check(h.report().MemoryUsed, qt.Equals, int64(0))
}

func TestFailedFetchDropsTheReplicaAndItsAdapters(t *testing.T) {
	h := newHarness(t, func(o *emulator.EngineOptions) { o.FetchTime = nil })
	h.load("m", "", gigabyte)
	h.load("adapter", "m", gigabyte)
	h.step(emulator.EngineInput{Kind: emulator.InputFetched, Row: "m", Failed: true})
	h.Check(h.state("m"), qt.Equals, structs.ReplicaAbsent)
	h.Check(h.state("adapter"), qt.Equals, structs.ReplicaAbsent)
	h.Check(h.report().MemoryUsed, qt.Equals, int64(0))
	h.Check(h.load("m", "", gigabyte).Accepted, qt.IsTrue)
	h.step(emulator.EngineInput{Kind: emulator.InputFetched, Row: "m"})
	h.run(time.Second)
	h.Check(h.state("m"), qt.Equals, structs.ReplicaReady)
}

func TestUnloadWaitsForRequests(t *testing.T) {
	h := newHarness(t, func(o *emulator.EngineOptions) { o.MaxBatch = 1 })
	h.ready("m")
	first := request("r1", "m", prompt("p", 10))
	second := request("r2", "m", prompt("q", 10))
	running := h.generate(first)
	queued := h.generate(second)
	h.run(100 * time.Millisecond)
	h.Assert(h.order(structs.Order{Kind: structs.OrderUnload, Row: "m"}).Accepted, qt.IsTrue)
	refused := h.last(h.generate(request("r3", "m", "x")))
	h.Check(refused.Kind, qt.Equals, emulator.OutputRefused)
	h.Check(refused.Refusal.Execution, qt.Equals, structs.ExecutionNotRun)
	h.Check(h.load("m", "", gigabyte).Accepted, qt.IsFalse, qt.Commentf("the row is being unloaded"))
	h.run(2 * time.Second)
	h.Check(checkAnswer(first, h.tokens(running)), qt.Equals, "")
	h.Check(checkAnswer(second, h.tokens(queued)), qt.Equals, "")
	h.Check(h.report().MemoryUsed, qt.Equals, int64(0))
}

func TestCrashAndRestart(t *testing.T) {
	h := newHarness(t, func(o *emulator.EngineOptions) { o.Faults.DieOnLoad = true })
	h.load("m", "", gigabyte)
	h.run(10 * time.Second)
	h.Check(h.engine.Dead(), qt.IsTrue)
	h.Check(h.last(h.generate(request("r", "m", "p"))).Kind, qt.Equals, emulator.OutputReset)
	h.engine.Restart(h.now, 2)
	h.Check(h.report().Replicas, qt.HasLen, 0)
	h.Check(h.report().Fence, qt.Equals, structs.Fence{})
	h.Check(h.report().Cached, qt.DeepEquals, []structs.CachedRow{{Row: "m", Tier: structs.TierDisk}})
	h.Check(h.order(structs.Order{Kind: structs.OrderLoad, Row: "m", MemoryBytes: 1, Incarnation: 1}).Accepted, qt.IsFalse)
	h.ready("m")
	call := h.generate(request("r", "m", "p"))
	h.run(50 * time.Millisecond)
	h.step(emulator.EngineInput{Kind: emulator.InputCrash})
	executions := h.engine.Records().ByRequest()["r"]
	h.Assert(executions, qt.HasLen, 1)
	h.Check(executions[0].Finish, qt.Equals, structs.FinishError)
	h.Check(executions[0].Emitted, qt.Equals, len(h.tokens(call)))
	h.Check(executions[0].Incarnation, qt.Equals, structs.Incarnation(2))
}

func TestIdleAcceleratorTime(t *testing.T) {
	h := newHarness(t, nil)
	h.ready("m")
	before := h.engine.Records().IdleAccelerator
	h.run(40 * time.Second)
	idle := h.engine.Records().IdleAccelerator - before
	h.Check(idle, qt.Equals, 8*time.Second, qt.Commentf("8 accelerators, 1 of 40 GB, 40 s"))
	call := h.generate(request("r", "m", "p"))
	before = h.engine.Records().IdleAccelerator
	for h.last(call).Token.Finish == "" {
		at, _ := h.engine.NextEvent()
		h.run(at.Sub(h.now))
	}
	h.Check(h.engine.Records().IdleAccelerator, qt.Equals, before, qt.Commentf("memory of a running request is not idle"))
}

func TestAdapterRequestKeepsItsBaseBusy(t *testing.T) {
	h := newHarness(t, nil)
	h.ready("m")
	h.Assert(h.load("adapter", "m", gigabyte).Accepted, qt.IsTrue)
	h.run(10 * time.Second)
	before := h.engine.Records().IdleAccelerator
	h.engine.SetFaults(emulator.EngineFaults{SlowFactor: 1000})
	h.generate(request("r", "adapter", "p"))
	h.run(10 * time.Second)
	h.Check(h.engine.Records().IdleAccelerator, qt.Equals, before)
	h.status("r", true)
	h.run(10 * time.Second)
	h.Check(h.engine.Records().IdleAccelerator-before, qt.Equals, 4*time.Second, qt.Commentf("8 accelerators, 2 of 40 GB, 10 s"))
}

func TestReportsLag(t *testing.T) {
	h := newHarness(t, func(o *emulator.EngineOptions) { o.ReportLag = time.Second })
	h.report()
	h.load("m", "", gigabyte)
	h.Check(h.report().Replicas, qt.HasLen, 0)
	h.run(999 * time.Millisecond)
	h.Check(h.report().Replicas, qt.HasLen, 0)
	h.run(time.Millisecond)
	h.Check(h.state("m"), qt.Equals, structs.ReplicaLoading)
	h.run(9200 * time.Millisecond)
	h.Check(h.state("m"), qt.Equals, structs.ReplicaReady)
	h.Check(h.report().Load.ObservedAt, qt.Equals, start.Add(10*time.Second))
	long := request("r", "m", prompt("p", 2000))
	long.MaxTokens = 200
	h.generate(long)
	h.Check(h.report().Load.Running, qt.Equals, 0)
	h.run(800 * time.Millisecond)
	h.Check(h.report().Load.Running, qt.Equals, 1)
	h.Check(h.status("r", true).State, qt.Equals, structs.RunCancelled)
	h.Check(h.report().Load.Running, qt.Equals, 1)
	h.engine.SetFaults(emulator.EngineFaults{HideLoad: true})
	h.Check(h.report().Load.Running, qt.Equals, 0)
	h.engine.SetFaults(emulator.EngineFaults{})
	h.Check(h.report().Load.Running, qt.Equals, 1)
	h.run(time.Second)
	h.Check(h.report().Load.Running, qt.Equals, 0)
}
