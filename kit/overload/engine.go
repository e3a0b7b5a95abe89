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
	site   *site
	id     structs.RunnerID
	engine *emulator.Engine
	calls  map[emulator.CallID]engineCall
	byName map[router.AttemptID]emulator.CallID
	last   emulator.CallID
	wakeup wakeup
}

// engineCall is one attempt under way.
type engineCall struct {
	from    *routerHost
	attempt router.AttemptID
}

func newEngineHost(site *site, index int) *engineHost {
	host := &engineHost{
		site:   site,
		id:     structs.RunnerID(fmt.Sprintf("runner-%02d", index)),
		calls:  map[emulator.CallID]engineCall{},
		byName: map[router.AttemptID]emulator.CallID{},
	}
	host.engine = emulator.NewEngine(emulator.EngineOptions{
		Runner: host.id, Zone: zone, MemoryBytes: rowCount * rowBytes, MaxBatch: maxBatch,
		HostMemoryBytes: rowCount * rowBytes, DiskBytes: rowCount * rowBytes,
		ReportLag: reportLag, EventLag: eventLag, EventLossRate: eventLossRate,
		Random: rand.New(rand.NewPCG(site.seed, uint64(index+1)<<8)),
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
	outputs := h.engine.Step(h.site.now(), input)
	h.passOn(outputs)
	h.arm()
	return outputs
}

// arm schedules the engine's next event.
func (h *engineHost) arm() {
	next, some := h.engine.NextEvent()
	if !some {
		return
	}
	h.wakeup.set(&h.site.scheduler, next.Sub(epochStart), func() {
		h.passOn(h.engine.Advance(h.site.now()))
		h.arm()
	})
}

// passOn carries outputs to their routers.
func (h *engineHost) passOn(outputs []emulator.EngineOutput) {
	if len(outputs) == 0 {
		return
	}
	h.site.scheduler.After(networkDelay, func() {
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
		call.from.step(router.AttemptStarted{Attempt: call.attempt})
		call.from.observe(h.id, output.Load)
	case emulator.OutputToken:
		if output.Token.Finish != "" {
			h.forget(output.Call)
		}
		call.from.step(router.TokenReceived{Attempt: call.attempt, Token: output.Token})
		call.from.observe(h.id, output.Load)
	case emulator.OutputRefused:
		h.forget(output.Call)
		problem := output.Refusal.Error
		call.from.step(router.AttemptFailed{Attempt: call.attempt, Stage: router.RejectedByEngine, Error: &problem})
	}
}

func (h *engineHost) forget(id emulator.CallID) {
	delete(h.byName, h.calls[id].attempt)
	delete(h.calls, id)
}

func (h *engineHost) generate(from *routerHost, send router.SendAttempt) {
	h.last++
	h.calls[h.last] = engineCall{from: from, attempt: send.Attempt}
	h.byName[send.Attempt] = h.last
	h.step(emulator.EngineInput{Kind: emulator.InputGenerate, Call: h.last, Generate: send.Generate})
}

// cancel ends an attempt whose router does not wait for it any more.
func (h *engineHost) cancel(attempt router.AttemptID) {
	id, known := h.byName[attempt]
	if !known {
		return
	}
	h.forget(id)
	h.step(emulator.EngineInput{Kind: emulator.InputDisconnect, Call: id})
}

// load reads the engine's lagging report.
func (h *engineHost) load() *structs.LoadReport {
	for _, output := range h.step(emulator.EngineInput{Kind: emulator.InputReport}) {
		if output.Kind == emulator.OutputReport {
			return &output.Report.Load
		}
	}
	return nil
}

// promptTokens counts the prompt tokens of all executions, and those that were cached.
func (h *engineHost) promptTokens() (all, cached int) {
	for _, execution := range h.engine.Records().Executions {
		all += promptTokens
		cached += execution.Cached
	}
	return all, cached
}
