package overload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// engineHost runs one engine core.
type engineHost struct {
	sim       *simulation
	id        structs.RunnerID
	engine    *emulator.Engine
	calls     map[emulator.CallID]engineCall
	byAttempt map[router.AttemptID]emulator.CallID
	last      emulator.CallID
	wakeup    wakeup
}

// engineCall is an attempt in progress.
type engineCall struct {
	router  *routerHost
	attempt router.AttemptID
}

func newEngineHost(sim *simulation, index int) *engineHost {
	host := &engineHost{
		sim:       sim,
		id:        structs.RunnerID(fmt.Sprintf("runner-%02d", index)),
		calls:     map[emulator.CallID]engineCall{},
		byAttempt: map[router.AttemptID]emulator.CallID{},
	}
	host.engine = emulator.NewEngine(emulator.EngineOptions{
		Runner: host.id, Zone: zone, MemoryBytes: rowCount * rowBytes, MaxBatch: maxBatch,
		HostMemoryBytes: rowCount * rowBytes, DiskBytes: rowCount * rowBytes,
		ReportLag: reportLag, EventLag: eventLag, EventLossRate: eventLossRate,
		Random: rand.New(rand.NewPCG(sim.seed, uint64(index+1)<<8)),
		FetchTime: func(structs.RowName, int64) (time.Duration, bool) {
			return time.Millisecond, true
		},
	})
	for index, name := range rowNames() {
		host.step(emulator.EngineInput{Kind: emulator.InputOrder, Order: structs.Order{
			Fence: structs.Fence{Epoch: 1, Number: structs.OrderNumber(index + 1)}, Kind: structs.OrderLoad,
			Runner: host.id, Incarnation: 1, Row: name, MemoryBytes: rowBytes,
		}})
	}
	return host
}

func (h *engineHost) step(input emulator.EngineInput) []emulator.EngineOutput {
	outputs := h.engine.Step(h.sim.now(), input)
	h.sendOutputs(outputs)
	h.scheduleWakeup()
	return outputs
}

// scheduleWakeup schedules the next event of the engine.
func (h *engineHost) scheduleWakeup() {
	next, some := h.engine.NextEvent()
	if !some {
		return
	}
	h.wakeup.set(&h.sim.scheduler, next.Sub(epochStart), func() {
		h.sendOutputs(h.engine.Advance(h.sim.now()))
		h.scheduleWakeup()
	})
}

// sendOutputs delivers outputs to their routers after networkDelay.
func (h *engineHost) sendOutputs(outputs []emulator.EngineOutput) {
	if len(outputs) == 0 {
		return
	}
	h.sim.scheduler.After(networkDelay, func() {
		for index := range outputs {
			h.deliver(&outputs[index])
		}
	})
}

func (h *engineHost) deliver(output *emulator.EngineOutput) {
	call, known := h.calls[output.Call]
	if !known {
		return
	}
	switch output.Kind {
	case emulator.OutputAccepted:
		call.router.step(router.AttemptStarted{Attempt: call.attempt})
		call.router.observe(h.id, output.Load)
	case emulator.OutputToken:
		if output.Token.Finish != "" {
			h.forget(output.Call)
		}
		call.router.step(router.TokenReceived{Attempt: call.attempt, Token: output.Token})
		call.router.observe(h.id, output.Load)
	case emulator.OutputRefused:
		h.forget(output.Call)
		problem := output.Refusal.Error
		call.router.step(router.AttemptFailed{Attempt: call.attempt, Stage: router.RejectedByEngine, Error: &problem})
	}
}

func (h *engineHost) forget(id emulator.CallID) {
	delete(h.byAttempt, h.calls[id].attempt)
	delete(h.calls, id)
}

func (h *engineHost) generate(from *routerHost, send router.SendAttempt) {
	h.last++
	h.calls[h.last] = engineCall{router: from, attempt: send.Attempt}
	h.byAttempt[send.Attempt] = h.last
	h.step(emulator.EngineInput{Kind: emulator.InputGenerate, Call: h.last, Generate: send.Generate})
}

// cancel disconnects an attempt that its router has abandoned.
func (h *engineHost) cancel(attempt router.AttemptID) {
	id, known := h.byAttempt[attempt]
	if !known {
		return
	}
	h.forget(id)
	h.step(emulator.EngineInput{Kind: emulator.InputDisconnect, Call: id})
}

// load returns the engine's delayed load report, or nil if there is none.
func (h *engineHost) load() *structs.LoadReport {
	for _, output := range h.step(emulator.EngineInput{Kind: emulator.InputReport}) {
		if output.Kind == emulator.OutputReport {
			return &output.Report.Load
		}
	}
	return nil
}

// promptTokens returns the number of prompt tokens of all executions, and how many
// of them were cached.
func (h *engineHost) promptTokens() (all, cached int) {
	for _, execution := range h.engine.Records().Executions {
		all += promptTokens
		cached += execution.Cached
	}
	return all, cached
}
