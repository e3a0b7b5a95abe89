package overload

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// routerHost is the shell of one router.
type routerHost struct {
	site    *site
	decider decider
	sent    map[router.AttemptID]*engineHost
	// read is how far the cache events of each engine were read.
	read   map[structs.RunnerID]uint64
	wakeup wakeup
}

func newRouterHost(site *site, index int) *routerHost {
	random := rand.New(rand.NewPCG(site.seed, uint64(index+1)))
	host := &routerHost{
		site:    site,
		decider: newDecider(site.policy, routerID(index), random),
		sent:    map[router.AttemptID]*engineHost{},
		read:    map[structs.RunnerID]uint64{},
	}
	if site.wrap != nil {
		host.decider = site.wrap(host.decider)
	}
	host.step(router.ViewChanged{View: site.view()})
	offset := time.Duration(random.Int64N(int64(pollInterval)))
	site.scheduler.After(offset, host.poll)
	return host
}

// poll reads the engines' load reports and cache events.
func (h *routerHost) poll() {
	for _, engine := range h.site.engines {
		if readsLoad(h.site.policy) {
			h.observe(engine.id, engine.load())
		}
		if readsCaches(h.site.policy) {
			h.readCaches(engine)
		}
	}
	h.site.scheduler.After(pollInterval, h.poll)
}

func (h *routerHost) readCaches(engine *engineHost) {
	outputs := engine.step(emulator.EngineInput{Kind: emulator.InputEvents, After: h.read[engine.id]})
	for _, output := range outputs {
		if output.Kind != emulator.OutputEvents {
			continue
		}
		h.read[engine.id] = output.Events.Next
		for _, event := range output.Events.Events {
			h.learn(engine.id, event)
		}
	}
}

func (h *routerHost) learn(runner structs.RunnerID, event engineapi.CacheEvent) {
	for _, block := range event.Blocks {
		h.step(router.CacheEvent{
			Runner: runner, Sequence: event.Sequence, Row: event.Row, PrefixHash: block,
			Evicted: event.Kind == engineapi.CacheEvicted,
		})
	}
}

func (h *routerHost) observe(runner structs.RunnerID, load *structs.LoadReport) {
	if load != nil && readsLoad(h.site.policy) {
		h.step(router.LoadObserved{Runner: runner, Report: *load})
	}
}

func (h *routerHost) step(event router.Event) {
	for _, effect := range h.decider.Step(h.site.now(), event) {
		h.carryOut(effect)
	}
	h.arm()
}

// arm schedules the next Tick.
func (h *routerHost) arm() {
	next, some := h.decider.NextDeadline()
	if !some {
		return
	}
	h.wakeup.set(&h.site.scheduler, next.Sub(epochStart), func() { h.step(router.Tick{}) })
}

func (h *routerHost) carryOut(effect router.Effect) {
	switch effect := effect.(type) {
	case router.SendAttempt:
		h.send(effect)
	case router.CancelAttempt:
		h.cancel(effect.Attempt)
	case *router.Deliver:
		h.site.delivered(effect.ID, effect.Token)
	case router.Finish:
		h.site.ended(effect.ID, nil)
	case router.Reject:
		h.site.ended(effect.ID, &effect.Rejection)
	}
}

func (h *routerHost) send(send router.SendAttempt) {
	engine := h.site.byID[send.Runner]
	h.sent[send.Attempt] = engine
	h.site.dispatched(send)
	h.site.scheduler.After(networkDelay, func() { engine.generate(h, send) })
}

func (h *routerHost) cancel(attempt router.AttemptID) {
	engine := h.sent[attempt]
	delete(h.sent, attempt)
	h.site.scheduler.After(networkDelay, func() { engine.cancel(attempt) })
}
