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
	// routerTickInterval is the interval of router ticks, as in the daemon.
	routerTickInterval = 20 * time.Millisecond
	// requestRetryRatio and requestRetryReserve set the retry budget of each row.
	requestRetryRatio   = 0.2
	requestRetryReserve = 4
	// unlimitedRetries is a practically unlimited retry reserve.
	unlimitedRetries = 1 << 20
	// routerRestartDelay is the downtime of a router.
	routerRestartDelay = 2 * time.Second
)

// routerHost runs a router.Core in the simulator. It replaces the daemon's shell:
// the connections to callers, engines and the zone's group.
type routerHost struct {
	site         *requestSite
	id           structs.DaemonID
	zone         structs.ZoneID
	core         *router.Core
	life         int
	requestCount int
	drain        bool
	// viewed is set once the zone's table is known; the router accepts connections
	// from then on.
	viewed bool
	// finishing counts the claim ends that the zone has not recorded yet.
	finishing int
	// homes holds the zones' groups as seen by this router.
	homes map[structs.ZoneID]homeGroup
	// control is the state of the requests to the zone's controllers; nil in a site
	// without them.
	control *controlClient
	// claims maps the requests whose claims are renewed to the keys' home zones.
	claims map[structs.RequestID]structs.ZoneID
	// fresh holds the answers of this process, disk those that were saved.
	fresh map[structs.ClaimKey]answerstore.Answer
	disk  routerDisk
	// crashAtFinish is the fault to apply at the next end of an answer.
	crashAtFinish FaultKind
	calls         map[structs.RequestID]*servedCall
	attempts      map[router.AttemptID]*sentAttempt
}

// servedCall is a pending request of a caller or another router.
type servedCall struct {
	request    structs.Request
	submission *submission
	connection *connection
	// forward is the connection to another zone's router, if the request was
	// forwarded.
	forward *connection
}

// sentAttempt is an attempt in progress at an engine.
type sentAttempt struct {
	effect     router.SendAttempt
	connection *connection
	// next is the index of the next token, used by a mutation.
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

// start starts a new router process.
func (h *routerHost) start() {
	h.life++
	h.requestCount = 0
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
		options.RetryReserve = unlimitedRetries
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

// receive handles messages of the zone's control plane.
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

// ifSameProcess wraps run so that it is skipped once the router's current process
// has ended.
func (h *routerHost) ifSameProcess(run func()) func() {
	life := h.life
	return func() {
		if h.core != nil && h.life == life {
			run()
		}
	}
}

// step passes an event to the core and executes the effects.
func (h *routerHost) step(event router.Event) {
	effects := h.core.Step(h.site.now(), event)
	h.site.records.stepped(h, event, effects)
	for _, effect := range effects {
		h.execute(effect)
	}
	if h.control != nil && h.core != nil {
		h.reportUrgent()
	}
	h.stopWhenIdle()
}

// stopWhenIdle completes a planned stop once nothing is in progress.
func (h *routerHost) stopWhenIdle() {
	if h.drain && h.core != nil && len(h.calls) == 0 && h.finishing == 0 && h.core.Idle() {
		h.stop()
	}
}

func (h *routerHost) execute(effect router.Effect) {
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

// accept handles a request of a caller or of another router; from is the submission
// that it stems from.
func (h *routerHost) accept(link *connection, request structs.Request, from *submission) {
	h.requestCount++
	request.ID = structs.RequestID(fmt.Sprintf("%s-%d-%d", h.id, h.life, h.requestCount))
	request.ArrivedAt = h.site.now()
	h.calls[request.ID] = &servedCall{request: request, submission: from, connection: link}
	h.site.records.arrived(h, from, request)
	if h.site.mutated(mutationWaitOffered) {
		request.IfReady = false
	}
	link.up.end.ended = h.ifSameProcess(func() { h.callerGone(request.ID) })
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

// refuse sends a refusal immediately, unless a mutation delays or drops it.
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
		h.site.scheduler.After(wait, h.ifSameProcess(func() { h.end(effect.ID, ending) }))
		return
	}
	h.end(effect.ID, ending)
}

// replay sends the stored answer as a whole.
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

// crash kills the process. The host resets its connections unless silent is set.
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

// cut ends the attempt's connection, if there is one.
func (a *sentAttempt) cut(silent bool) {
	switch {
	case a.connection == nil:
	case silent:
		a.connection.drop()
	default:
		a.connection.closeClient()
	}
}

// planStop starts a planned stop: the router refuses new requests and finishes those
// in progress.
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
