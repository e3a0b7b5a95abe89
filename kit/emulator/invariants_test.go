package emulator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// TestRandomOperationsKeepInvariants guards against inconsistent records and memory use
// after random orders, requests, cancels, disconnects and crashes.
func TestRandomOperationsKeepInvariants(t *testing.T) {
	answered := 0
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			h := newHarness(t, func(o *emulator.EngineOptions) {
				o.MemoryBytes = 4 * gigabyte
				o.MaxBatch = 4
				o.MaxQueue = 10
				o.Random = random
				o.KVBytes = 64 * 16 * 128 << 10
			})
			requests := make(map[emulator.CallID]structs.GenerateRequest)
			for i := range 400 {
				h.randomOperation(random, i, requests)
				h.run(time.Duration(random.IntN(200)) * time.Millisecond)
				h.checkMemory()
			}
			h.run(time.Hour)
			answered += h.checkFinalState(requests)
		})
	}
	qt.Check(t, answered > 0, qt.IsTrue, qt.Commentf("no request was answered, so the answer check never ran"))
}

var rows = []structs.RowName{"m", "n", "adapter", "o"}

func (h *harness) randomOperation(random *rand.Rand, i int, requests map[emulator.CallID]structs.GenerateRequest) {
	row := rows[random.IntN(len(rows))]
	base := structs.RowName("")
	if row == "adapter" {
		base = "m"
	}
	switch draw := random.IntN(100); {
	case draw < 20:
		h.load(row, base, int64(1+random.IntN(2))*gigabyte)
	case draw < 30:
		h.order(structs.Order{Kind: structs.OrderUnload, Row: row})
	case draw < 35:
		h.status(structs.RequestID(fmt.Sprint(random.IntN(i+1))), true)
	case draw < 40:
		h.calls++
		call := emulator.CallID(1 + random.IntN(int(h.calls)))
		h.record(h.engine.Step(h.now, emulator.EngineInput{Kind: emulator.InputDisconnect, Call: call}))
		delete(requests, call)
	case draw < 42:
		h.record(h.engine.Restart(h.now, h.engine.Incarnation()+1))
		h.fence = 0
		clear(requests)
	default:
		each := request(fmt.Sprint(i-random.IntN(3)), string(row), prompt(fmt.Sprint(draw), 1+random.IntN(300)))
		each.Priority = structs.Priority(random.IntN(3))
		requests[h.generate(each)] = each
	}
}

// checkMemory checks that memory use is within its limits and that the load equals the
// sum over the replicas.
func (h *harness) checkMemory() {
	report := h.report()
	h.Assert(report.MemoryUsed >= 0 && report.MemoryUsed <= report.MemoryBytes, qt.IsTrue)
	h.Assert(h.engine.Records().PeakMemory <= report.MemoryBytes, qt.IsTrue)
	h.Assert(report.Load.Running <= report.Load.MaxBatch, qt.IsTrue)
	running, queued := 0, 0
	for _, held := range report.Replicas {
		h.Assert(held.Running >= 0 && held.Queued >= 0, qt.IsTrue)
		running += held.Running
		queued += held.Queued
	}
	h.Assert(running, qt.Equals, report.Load.Running)
	h.Assert(queued, qt.Equals, report.Load.Queued)
}

// checkFinalState checks that each request of the current incarnation whose caller
// stayed connected was refused, cancelled or completely answered, and that no request is
// running. It returns the number of answered requests.
func (h *harness) checkFinalState(requests map[emulator.CallID]structs.GenerateRequest) (answered int) {
	for call, each := range requests {
		last := h.last(call)
		switch {
		case last.Kind == emulator.OutputRefused:
		case last.Token.Finish == structs.FinishCancelled:
		default:
			h.Assert(checkAnswer(each, h.tokens(call)), qt.Equals, "")
			answered++
		}
	}
	for _, execution := range h.engine.Records().Executions {
		h.Assert(execution.EndedAt.IsZero(), qt.IsFalse, qt.Commentf("%+v", execution))
	}
	report := h.report()
	h.Check(report.Load.Running+report.Load.Queued, qt.Equals, 0)
	before := h.engine.Records().IdleAccelerator
	h.run(time.Hour)
	idle := h.engine.Records().IdleAccelerator - before
	ready := int64(0)
	for _, held := range h.report().Replicas {
		h.Check(held.State == structs.ReplicaReady || held.State == structs.ReplicaAbsent, qt.IsTrue)
		if held.State == structs.ReplicaReady {
			ready++
		}
	}
	share := float64(report.MemoryUsed) / float64(report.MemoryBytes)
	h.Check(idle, qt.Equals, time.Duration(8*share*float64(time.Hour)))
	h.Check(ready > 0, qt.Equals, report.MemoryUsed > 0)
	return answered
}
