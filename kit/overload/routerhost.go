package overload

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// routerHost runs one router core and executes its effects.
type routerHost struct {
	sim  *simulation
	core routerCore
	sent map[router.AttemptID]*engineHost
	// cacheCursors holds the position in the cache events of each engine.
	cacheCursors map[structs.RunnerID]uint64
	wakeup       wakeup
}

func newRouterHost(sim *simulation, index int) *routerHost {
	random := rand.New(rand.NewPCG(sim.seed, uint64(index+1)))
	host := &routerHost{
		sim:          sim,
		core:         newRouterCore(sim.policy, routerID(index), random),
		sent:         map[router.AttemptID]*engineHost{},
		cacheCursors: map[structs.RunnerID]uint64{},
	}
	if sim.wrapCore != nil {
		host.core = sim.wrapCore(host.core)
	}
	host.step(router.ViewChanged{View: sim.view()})
	offset := time.Duration(random.Int64N(int64(pollInterval)))
	sim.scheduler.After(offset, host.poll)
	return host
}

// poll reads the engines' load reports and cache events.
func (h *routerHost) poll() {
	for _, engine := range h.sim.engines {
		if readsLoad(h.sim.policy) {
			h.observe(engine.id, engine.load())
		}
		if readsCaches(h.sim.policy) {
			h.readCaches(engine)
		}
	}
	h.sim.scheduler.After(pollInterval, h.poll)
}

func (h *routerHost) readCaches(engine *engineHost) {
	outputs := engine.step(emulator.EngineInput{Kind: emulator.InputEvents, After: h.cacheCursors[engine.id]})
	for _, output := range outputs {
		if output.Kind != emulator.OutputEvents {
			continue
		}
		h.cacheCursors[engine.id] = output.Events.Next
		for _, event := range output.Events.Events {
			h.applyCacheEvent(engine.id, event)
		}
	}
}

func (h *routerHost) applyCacheEvent(runner structs.RunnerID, event engineapi.CacheEvent) {
	for _, block := range event.Blocks {
		h.step(router.CacheEvent{
			Runner: runner, Sequence: event.Sequence, Row: event.Row, PrefixHash: block,
			Evicted: event.Kind == engineapi.CacheEvicted,
		})
	}
}

func (h *routerHost) observe(runner structs.RunnerID, load *structs.LoadReport) {
	if load != nil && readsLoad(h.sim.policy) {
		h.step(router.LoadObserved{Runner: runner, Report: *load})
	}
}

func (h *routerHost) step(event router.Event) {
	for _, effect := range h.core.Step(h.sim.now(), event) {
		h.execute(effect)
	}
	h.scheduleTick()
}

// scheduleTick schedules the next Tick.
func (h *routerHost) scheduleTick() {
	next, some := h.core.NextDeadline()
	if !some {
		return
	}
	h.wakeup.set(&h.sim.scheduler, next.Sub(epochStart), func() { h.step(router.Tick{}) })
}

func (h *routerHost) execute(effect router.Effect) {
	switch effect := effect.(type) {
	case router.SendAttempt:
		h.send(effect)
	case router.CancelAttempt:
		h.cancel(effect.Attempt)
	case *router.Deliver:
		h.sim.recordToken(effect.ID, effect.Token)
	case router.Finish:
		h.sim.recordEnd(effect.ID, nil)
	case router.Reject:
		h.sim.recordEnd(effect.ID, &effect.Rejection)
	}
}

func (h *routerHost) send(send router.SendAttempt) {
	engine := h.sim.byID[send.Runner]
	h.sent[send.Attempt] = engine
	h.sim.recordAttempt(send)
	h.sim.scheduler.After(networkDelay, func() { engine.generate(h, send) })
}

func (h *routerHost) cancel(attempt router.AttemptID) {
	engine := h.sent[attempt]
	delete(h.sent, attempt)
	h.sim.scheduler.After(networkDelay, func() { engine.cancel(attempt) })
}
