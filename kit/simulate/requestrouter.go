package simulate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/request/answerstore"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// routerTickInterval is how often time passes for a router, as in the daemon.
	routerTickInterval = 20 * time.Millisecond
	// requestRetryRatio and requestRetryReserve are the retry budget of each row.
	requestRetryRatio   = 0.2
	requestRetryReserve = 4
	// endlessRetries is a retry reserve that nothing uses up.
	endlessRetries = 1 << 20
	// routerRestartDelay is how long a router stays away.
	routerRestartDelay = 2 * time.Second
)

// routerHost is the shell of a router.Core in the simulator: it does what the
// daemon's shell does with connections to callers, engines and the zone's group.
type routerHost struct {
	site  *requestSite
	id    structs.DaemonID
	zone  structs.ZoneID
	core  *router.Core
	life  int
	made  int
	drain bool
	// viewed is set once the zone's table is known; a router listens from then on.
	viewed bool
	// finishing counts the ends of claims that the zone does not have yet.
	finishing int
	// homes are the zones' groups as this router sees them.
	homes map[structs.ZoneID]homeGroup
	// control is what the router knows of its calls to the controllers of its zone;
	// nil in a site without them.
	control *controlClient
	// claims are the requests whose claims are renewed, with the keys' home zones.
	claims map[structs.RequestID]structs.ZoneID
	// fresh are the answers of this life, disk has those that were saved.
	fresh map[structs.ClaimKey]answerstore.Answer
	disk  routerDisk
	// dieAtEnd is the fault that strikes at the next end of an answer.
	dieAtEnd FaultKind
	calls    map[structs.RequestID]*servedCall
	attempts map[router.AttemptID]*sentAttempt
}

// servedCall is a request that a caller or another router waits for.
type servedCall struct {
	request    structs.Request
	submission *submission
	connection *connection
	// forward is the connection to another zone's router, if the request was handed on.
	forward *connection
}

// sentAttempt is an attempt under way at an engine.
type sentAttempt struct {
	effect     router.SendAttempt
	connection *connection
	// next is the index of the next token; a mutation needs it.
	next int
}

func newRouterHost(site *requestSite, id structs.DaemonID, zone structs.ZoneID) *routerHost {
	host := &routerHost{site: site, id: id, zone: zone}
	host.replaceDisk()
	site.network.Attach(host.address(), zone, host.receive)
	return host
}

func (h *routerHost) address() Address { return Address(h.id) }

func (h *routerHost) listening() bool { return h.core != nil && h.viewed }

// start begins a life of the router's process.
func (h *routerHost) start() {
	h.life++
	h.made = 0
	h.drain = false
	h.viewed = false
	h.finishing = 0
	h.claims = map[structs.RequestID]structs.ZoneID{}
	h.fresh = map[structs.ClaimKey]answerstore.Answer{}
	h.calls = map[structs.RequestID]*servedCall{}
	h.attempts = map[router.AttemptID]*sentAttempt{}
	options := router.Options{
		Zone:    h.zone,
		Daemon:  h.id,
		Address: string(h.address()),
		Session: structs.SessionID(h.life),
		Zones:   requestZones,
		Random:  rand.New(rand.NewPCG(h.site.plan.seed, uint64(1000*h.life+slices.Index(h.site.routers, h)+100))),

		RetryRatio:   requestRetryRatio,
		RetryReserve: requestRetryReserve,
	}
	if h.site.mutated(mutationAnyHome) {
		options.Zones = []structs.ZoneID{h.zone}
	}
	if h.site.mutated(mutationNoBudget) {
		options.RetryReserve = endlessRetries
	}
	if h.site.mutated(mutationNoStall) {
		options.StallFloor = time.Hour
	}
	h.core = router.New(options)
	h.site.records.routerStarted(h)
	h.homes = h.site.homes()
	if h.site.controlled != nil {
		h.followControllers()
	}
	h.tick(h.life)
	h.renewClaims(h.life)
}

func (h *routerHost) tick(life int) {
	if h.core == nil || h.life != life {
		return
	}
	h.step(router.Tick{})
	h.site.scheduler.After(routerTickInterval, func() { h.tick(life) })
}

// receive takes what the zone's control sends.
func (h *routerHost) receive(_ Address, message any) {
	if h.core == nil {
		return
	}
	switch content := message.(type) {
	case viewMessage:
		h.viewed = true
		h.step(router.ViewChanged{View: content.view})
	case viewAnswer:
		h.viewAnswered(content)
	case demandAnswer:
		h.demandAnswered(content)
	}
}

// inLife returns a function that runs only if the router's life has not ended until then.
func (h *routerHost) inLife(run func()) func() {
	life := h.life
	return func() {
		if h.core != nil && h.life == life {
			run()
		}
	}
}

// step hands an event to the core and carries out the effects.
func (h *routerHost) step(event router.Event) {
	effects := h.core.Step(h.site.now(), event)
	h.site.records.stepped(h, event, effects)
	for _, effect := range effects {
		h.carryOut(effect)
	}
	if h.control != nil && h.core != nil {
		h.reportUrgent()
	}
	h.stopWhenIdle()
}

// stopWhenIdle ends a planned stop once nothing is in progress.
func (h *routerHost) stopWhenIdle() {
	if h.drain && h.core != nil && len(h.calls) == 0 && h.finishing == 0 && h.core.Idle() {
		h.stop()
	}
}

func (h *routerHost) carryOut(effect router.Effect) {
	switch effect := effect.(type) {
	case *router.Deliver:
		h.deliver(effect.ID, effect.Token)
	case router.Finish:
		h.end(effect.ID, terminal{finish: effect.Finish})
	case router.Reject:
		h.refuse(effect)
	case router.Replay:
		h.replay(effect)
	case router.SendAttempt:
		h.sendAttempt(effect)
	case router.CancelAttempt:
		h.cancelAttempt(effect.Attempt)
	case router.AskStatus:
		h.askStatus(effect)
	case router.BeginClaim:
		h.beginClaim(effect)
	case router.FinishClaim:
		h.finishClaim(effect)
	case router.FetchAnswer:
		h.fetchAnswer(effect)
	case router.Forward:
		h.forward(effect)
	case router.Offer:
		h.offer(effect)
	}
}

// accept takes a request from a caller (submission set) or from another router.
func (h *routerHost) accept(link *connection, request structs.Request, from *submission) {
	h.made++
	request.ID = structs.RequestID(fmt.Sprintf("%s-%d-%d", h.id, h.life, h.made))
	request.ArrivedAt = h.site.now()
	h.calls[request.ID] = &servedCall{request: request, submission: from, connection: link}
	h.site.records.arrived(h, from, request)
	if h.site.mutated(mutationWaitOffered) {
		request.IfReady = false
	}
	link.up.end.ended = h.inLife(func() { h.callerGone(request.ID) })
	h.step(router.Arrived{Request: request})
	if call := h.calls[request.ID]; request.IfReady && call != nil {
		link.down.send(offerTaken{})
	}
}

func (h *routerHost) callerGone(id structs.RequestID) {
	call := h.calls[id]
	if call == nil {
		return
	}
	delete(h.calls, id)
	if call.forward != nil {
		call.forward.closeClient()
	}
	h.step(router.CallerGone{ID: id})
}

func (h *routerHost) deliver(id structs.RequestID, token structs.Token) {
	if call := h.calls[id]; call != nil {
		call.connection.down.send(token)
	}
}

// refuse answers a refusal at once; a mutation holds it back until the deadline.
func (h *routerHost) refuse(effect router.Reject) {
	call := h.calls[effect.ID]
	if call == nil {
		return
	}
	h.site.records.decided(call.submission)
	ending := terminal{refusal: &effect.Rejection}
	if h.site.mutated(mutationLoseRefusal) {
		return
	}
	if h.site.mutated(mutationHoldRefusal) {
		wait := call.request.DeadlineAt.Sub(h.site.now())
		h.site.scheduler.After(wait, h.inLife(func() { h.end(effect.ID, ending) }))
		return
	}
	h.end(effect.ID, ending)
}

// replay answers with the kept answer as one token.
func (h *routerHost) replay(effect router.Replay) {
	answer, err := router.DecodeAnswer(effect.Answer)
	if err != nil {
		h.site.judge.Report(checkerAnswer, "the kept answer of %s cannot be decoded: %v", effect.ID, err)
		return
	}
	h.end(effect.ID, terminal{finish: answer.Finish, replay: &answer})
}

// terminal is the last message of a router to its caller.
type terminal struct {
	finish  structs.FinishReason
	refusal *structs.Rejection
	replay  *router.Answer
}

func (h *routerHost) end(id structs.RequestID, ending terminal) {
	call := h.calls[id]
	if call == nil {
		return
	}
	delete(h.calls, id)
	h.site.records.answered(call.submission)
	call.connection.down.send(ending)
	call.connection.closeServer()
}

// crash ends the process in the midst of its work. Its host resets the
// connections, unless silent.
func (h *routerHost) crash(silent bool) {
	if h.core == nil {
		return
	}
	h.site.trace.Note("router-crash", string(h.id), fmt.Sprint("silent ", silent))
	h.site.records.crashed(h)
	h.endProcess(silent)
}

func (h *routerHost) endProcess(silent bool) {
	h.countStalls()
	h.core = nil
	for _, id := range sortedKeys(h.calls) {
		call := h.calls[id]
		call.connection.closeServer()
		if call.forward != nil {
			call.forward.closeClient()
		}
	}
	for _, id := range sortedKeys(h.attempts) {
		h.attempts[id].cut(silent)
	}
	h.site.scheduler.After(routerRestartDelay, func() {
		if h.core == nil {
			h.start()
		}
	})
}

func (h *routerHost) countStalls() {
	if h.core != nil {
		h.site.counts.Requests.Stalls += int(h.core.Stats().Stalls)
	}
}

// cut ends the attempt's connection, if it was made already.
func (a *sentAttempt) cut(silent bool) {
	switch {
	case a.connection == nil:
	case silent:
		a.connection.vanish()
	default:
		a.connection.closeClient()
	}
}

// planStop begins a planned stop: new requests go elsewhere, those in progress finish.
func (h *routerHost) planStop() {
	if h.core == nil || h.drain {
		return
	}
	h.site.trace.Note("router-stop", string(h.id), formatCount(len(h.calls)))
	h.drain = true
	h.site.records.stopPlanned(h)
	if h.site.mutated(mutationNoDrain) {
		h.stop()
		return
	}
	h.step(router.DrainStarted{})
}

func (h *routerHost) stop() {
	if h.core == nil {
		return
	}
	h.site.trace.Note("router-stopped", string(h.id), "")
	h.endProcess(false)
}
