package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/request/waiting"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// minAttemptTime is the least time with which an attempt is sent.
	minAttemptTime = 20 * time.Millisecond
	// lastAnswerTime is kept of the time that a runner is given, so that it says itself
	// when the time is over: an attempt that is given up costs its connection. It is at
	// most a lastAnswerShare of the time that is left.
	lastAnswerTime  = 20 * time.Millisecond
	lastAnswerShare = 10
	// maxBuffered bounds an answer that is read whole before its head is sent.
	maxBuffered = 1 << 20
	// retryAfterNow is told to callers of requests that another try may serve.
	retryAfterNow = 200 * time.Millisecond
	// maxRefusals bounds the runners that may refuse one request.
	maxRefusals = 3
	// maxUnsent bounds the runners that one request finds nobody at. When a zone is lost, a request may
	// meet several of its runners before the zone is found to be out of reach; each costs it a connect.
	maxUnsent = 6
	// silenceFactor times the objective is how long a runner may be silent before a
	// request that may be repeated is sent elsewhere.
	silenceFactor      = 3
	minSilence         = 400 * time.Millisecond
	streamSilenceFloor = 1200 * time.Millisecond
	// streamSilencePauses times the longest pause is the same for streams.
	streamSilencePauses = 4
)

const (
	// reasonNoRunner is that of a request for which no runner was found in time.
	reasonNoRunner = "no_runner"
	// reasonSilent is that of an attempt at a runner that said nothing for too long, and
	// reasonSendFailed that of one for which there was no connection, or which broke.
	reasonSilent     = "silent"
	reasonSendFailed = "send_failed"
	// reasonNotHeld is that of a runner that does not hold what the request needs, and reasonShed
	// that of one that is full.
	reasonNotHeld = "not_held"
	reasonShed    = "shed"
	// reasonBudget is that of a request for which the retry budget had no second sending.
	reasonBudget = "retry_budget"
	// reasonNotSigned is that of an answer without the runner's signature, and reasonRunnerFailed that
	// of a failure that the runner itself told of.
	reasonNotSigned    = "not_signed"
	reasonRunnerFailed = "runner_failed"
	// reasonCutShort is that of an answer that broke off.
	reasonCutShort = "cut_short"
)

// errTimeout is the cause of ending a request whose time is over.
var errTimeout = errors.New("the time of the request is over")

// errStopped is the cause of ending what is left when a router stops.
var errStopped = errors.New("the router stops")

// exchange is one request on its way.
type exchange struct {
	router  *Router
	request *Request
	route   *site.Route
	row     residency.Row
	version uint64
	writer  http.ResponseWriter
	// tenant is whose key the caller holds; nil for none. priority is its rank.
	tenant   *site.Tenant
	ticket   waiting.Ticket
	priority int
	// home is where the request may be served; nil for anywhere.
	home *home
	// hidesKey is set if the document has tenants, so that keys go no further.
	hidesKey bool
	// attempts counts the runners that may have run the request, refusals those that
	// said that they did not.
	attempts int
	refusals int
	// unsent counts the runners that could not be connected to.
	unsent int
	// sent counts all sendings, and arrivals those of which a runner may have got something:
	// only what comes on top of these are repeated sendings.
	sent     int
	arrivals int
	prefixes []uint64
	// avoid is the runner that had the request last, barred one that has turned it away twice
	// and gets it no more.
	avoid  structs.RunnerID
	barred structs.RunnerID
	// turnedAway are the runners that have turned it away, maxRefusals at most.
	turnedAway []structs.RunnerID
	// digest names what the request asks for, whoever brings it.
	digest poison.Digest
	// asker names the request to the leader once it has asked for permission to run.
	asker string
	// isStarted is set once the head of the answer has been sent.
	isStarted bool
	// lastEvent is the last event that the caller has.
	lastEvent int64
	deadline  time.Time
	// waiting is the request as it last asked for a runner.
	waiting *waiter
	// waited is how long the request waited for runners, and begunAt when the head of
	// its answer was sent.
	waited  time.Duration
	begunAt time.Time
	// seen is what was seen of the stream of the answer.
	seen streamTiming
}

// Serve answers a request. It panics with http.ErrAbortHandler when an answer that
// has begun cannot be finished, so that it does not look whole.
func (r *Router) Serve(writer http.ResponseWriter, request *Request) {
	r.metrics.inFlight.Inc()
	defer r.metrics.inFlight.Dec()
	index := r.awaitIndex(request)
	if index == nil {
		r.metrics.requests.WithLabelValues(kindName(0), "no_document").Inc()
		r.log(request, 0, "no_document", nil)
		refuse(writer, http.StatusServiceUnavailable, retryAfterNow, "no document is known yet")
		return
	}
	route := index.Route(request.HTTP.Host, request.HTTP.URL.EscapedPath())
	if route == nil {
		r.metrics.requests.WithLabelValues(kindName(0), "no_route").Inc()
		r.log(request, index.Document.Version, "no_route", nil)
		refuse(writer, http.StatusNotFound, 0, "no route leads there")
		return
	}
	tenant, refused := r.identify(index, route, request)
	ticket := ticketOf(request, route, tenant)
	digest := request.digest(ticket.Tenant)
	var counted admission
	if refused == nil {
		counted, refused = r.admit(request.HTTP.Context(), tenant, request, ticket, digest)
	}
	if refused != nil {
		r.refuseTenant(writer, request, route, tenant, index.Document.Version, refused)
		return
	}
	x := &exchange{
		router: r, request: request, route: route, version: index.Document.Version, writer: writer,
		tenant: tenant, ticket: ticket, priority: ticket.Rank, deadline: ticket.Deadline, digest: digest,
		hidesKey: index.Document.RequiresKeys, row: residency.Row{Service: route.Pick(r.point())}, lastEvent: request.ResumeAfter,
		home: homeOf(route, tenant, r.options.Regions),
	}
	service := index.Service(x.row.Service)
	if service.Engine != nil {
		x.row.Model, x.row.Adapter = request.Model, request.Adapter
		x.prefixes = prefixHashes(x.row, request.Parts)
	}
	defer func() {
		if x.attempts == 0 {
			r.refund(counted)
		}
	}()
	if permission, refusedFor := r.standing(x.digest); permission == poison.Refused {
		x.refuseSuspect(permit{permission: permission, comeBackIn: refusedFor}, result{})
		return
	}
	if !x.hasRunners() {
		x.refuseHomeless()
		return
	}
	r.countRequest(x.row, route.Objective)
	ctx, cancel := context.WithTimeoutCause(request.HTTP.Context(), x.timeLeft(), errTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(r.stop.cut, func() { end(errStopped) })()
	x.run(ctx)
}

// deadlineOf is when the time of a request on a route is over.
func deadlineOf(request *Request, route *site.Route) time.Time {
	if request.Wait > 0 && request.Wait < route.Timeout {
		return request.Arrived.Add(request.Wait)
	}
	return request.Arrived.Add(route.Timeout)
}

// firstDocumentWait is how long a request waits for the first document after the start
// of a router, at most; firstDocumentShare is the part of its own time that it waits.
const (
	firstDocumentWait  = 2 * time.Second
	firstDocumentShare = 0.6
)

// awaitIndex returns the index of the document in force. Just after its start a router
// waits a little for the first.
func (r *Router) awaitIndex(request *Request) *site.Index {
	if index := r.index.Load(); index != nil {
		return index
	}
	wait := firstDocumentWait
	if request.Wait > 0 {
		wait = min(wait, time.Duration(float64(request.Wait)*firstDocumentShare))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.known:
	case <-timer.C:
	case <-request.HTTP.Context().Done():
	}
	return r.index.Load()
}

// run tries runners until one has answered or no other may be tried.
func (x *exchange) run(ctx context.Context) {
	var last result
	for {
		choice, given, err := x.acquireTurn(ctx)
		switch {
		case err != nil:
			x.giveUp(err, last)
			return
		case !given.isGranted():
			x.refuseSuspect(given, last)
			return
		case x.arrivals > 0 && !x.router.mayRepeat(x.row.Service):
			x.giveTurnBack(choice, given)
			last.reason = reasonBudget
			x.conclude(last)
			return
		}
		last = x.attempt(ctx, choice)
		x.noteEnd(choice.Runner(), given.isTrial(), last)
		x.router.metrics.attempts.WithLabelValues(last.name()).Inc()
		x.router.release(x.row, choice, last.outcome)
		x.router.noteAttempt(choice.Runner(), last)
		if last.isNotRun {
			x.router.notServed(x.ticket)
		}
		if last.isUnreachable() {
			x.router.complain(choice.Runner())
		}
		if last.isDone {
			x.count(last.name())
			x.notePace(last)
			x.logServed(choice, last)
			return
		}
		x.avoid = choice.Runner()
		if !x.mayTryAgain(ctx, last) || given.isTrial() && !last.isNotRun {
			x.conclude(last)
			return
		}
	}
}

// mayTryAgain reports whether another runner may be tried after the result.
func (x *exchange) mayTryAgain(ctx context.Context, ended result) bool {
	if ctx.Err() != nil || x.timeLeft() < minAttemptTime {
		return false
	}
	if ended.isNotRun {
		return x.refusals < maxRefusals && x.unsent < maxUnsent
	}
	return x.route.MayRepeat() && x.attempts < max(1, x.route.MaxAttempts)
}

// attempt sends the request to a runner and passes its answer on.
func (x *exchange) attempt(parent context.Context, choice routing.Choice) result {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := x.watch(choice, cancel)
	defer watchdog.stop()
	defer x.router.noteSent(choice, watchdog)()
	if errors.Is(context.Cause(ctx), errUnwanted) {
		return x.sendFailed(ctx, choice, ErrNotSent)
	}
	x.sent++
	sent := x.router.now()
	x.seen.sent(choice.Runner())
	answer, err := x.router.options.Backend.Send(ctx, &Attempt{
		Request: x.request, Instance: string(choice.Runner()), Address: choice.Address(), Service: x.row.Service,
		Wait: x.runnerTime(), Priority: x.priority, ResumeAfter: x.lastEvent,
		Tenant: x.tenantName(), HidesKey: x.hidesKey, Begin: watchdog.begin,
	})
	if err != nil {
		return x.sendFailed(ctx, choice, err)
	}
	x.arrivals++
	x.router.hear(choice, sent, answer)
	watchdog.heardNow()
	defer answer.Body.Close()
	ended := x.receive(ctx, choice, answer, watchdog)
	if ended.reason != "" || x.sent > 1 {
		x.logAttempt(choice, answer.Status, ended)
	}
	return ended
}

// tenantName names the tenant, or nobody.
func (x *exchange) tenantName() string {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// timeLeft is how much of the time of the request is left.
func (x *exchange) timeLeft() time.Duration { return x.deadline.Sub(x.router.now()) }

// runnerTime is the time that a runner is given.
func (x *exchange) runnerTime() time.Duration {
	left := x.timeLeft()
	return left - min(lastAnswerTime, left/lastAnswerShare)
}

func (x *exchange) sendFailed(ctx context.Context, choice routing.Choice, err error) result {
	ended := result{outcome: routing.OutcomeBroken, reason: reasonSendFailed, err: err}
	if errors.Is(err, ErrNotSent) {
		ended.isNotRun = true
		if !errors.Is(context.Cause(ctx), errUnwanted) {
			x.unsent++
		}
		if ctx.Err() == nil {
			x.router.connectFailed(choice.Runner())
		}
	} else {
		x.attempts++
		x.arrivals++
	}
	if ctx.Err() != nil {
		ended = x.ended(ctx, ended)
	}
	x.logAttempt(choice, 0, ended)
	return ended
}

// ended says why the context of an attempt ended.
func (x *exchange) ended(ctx context.Context, ended result) result {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errSilent):
		ended.reason = reasonSilent
	case errors.Is(cause, errZoneLost):
		ended.reason = reasonZoneLost
	case errors.Is(cause, errUnwanted):
		ended.reason = reasonUnwanted
		ended.outcome = routing.OutcomeNeutral
	case errors.Is(cause, errTimeout):
		ended.reason = "timeout"
		ended.outcome = routing.OutcomeNeutral
	case errors.Is(cause, errStopped):
		ended.reason = "router_stops"
		ended.outcome = routing.OutcomeNeutral
	default:
		ended.reason = "caller_left"
		ended.outcome = routing.OutcomeNeutral
		ended.isDone = true
	}
	return ended
}

// receive reads the answer and passes it on, if it is one to pass on.
func (x *exchange) receive(ctx context.Context, choice routing.Choice, answer *Answer, watchdog *watchdog) result {
	switch {
	case answer.NotHeld:
		x.refusals++
		x.router.doubt(choice.Runner(), x.row)
		return result{outcome: routing.OutcomeRefused, isNotRun: true, reason: reasonNotHeld}
	case answer.NotRun:
		x.refusals++
		x.noteTurnedAway(choice.Runner())
		return result{outcome: routing.OutcomeTurnedAway, isNotRun: true, reason: reasonShed}
	}
	x.attempts++
	if answer.IsStream && answer.Status == http.StatusOK {
		return x.relayStream(ctx, answer, watchdog)
	}
	return x.relayWhole(ctx, answer, watchdog)
}

// noteTurnedAway notes that a runner is full or unloads what the request needs. A runner that
// does so again after its rest is not asked a third time.
func (x *exchange) noteTurnedAway(runner structs.RunnerID) {
	if slices.Contains(x.turnedAway, runner) {
		x.barred = runner
	}
	x.turnedAway = append(x.turnedAway, runner)
}
