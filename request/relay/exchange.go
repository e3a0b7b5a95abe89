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
	// minAttemptTime is the minimum remaining time with which another attempt is made.
	minAttemptTime = 20 * time.Millisecond
	// lastAnswerTime is subtracted from the time given to a runner, at most one lastAnswerShare-th
	// of what is left. The runner then reports the timeout itself, and the connection can be kept.
	lastAnswerTime  = 20 * time.Millisecond
	lastAnswerShare = 10
	// maxBuffered bounds the bytes of a response that are read before its header is sent.
	maxBuffered = 1 << 20
	// minRetryAfter is the minimum Retry-After given to a caller.
	minRetryAfter = 200 * time.Millisecond
	// maxRejections bounds the runners that may reject one request.
	maxRejections = 3
	// maxUnsent bounds the failed connects of one request. It may meet several runners of an
	// unreachable zone before the loss of the zone is detected.
	maxUnsent = 6
	// silenceFactor times the route's objective is how long a runner may send nothing before a
	// repeatable request is sent to another one.
	silenceFactor      = 3
	minSilence         = 400 * time.Millisecond
	streamSilenceFloor = 1200 * time.Millisecond
	// streamSilencePauses times the route's longest pause is the limit for streams.
	streamSilencePauses = 4
)

const (
	// reasonNoRunner means that no runner was found in time.
	reasonNoRunner = "no_runner"
	// reasonSilent means that the runner sent nothing for too long, reasonSendFailed that
	// connecting failed or the connection broke.
	reasonSilent     = "silent"
	reasonSendFailed = "send_failed"
	// reasonNotHeld means that the runner does not hold the model, reasonShed that it is at
	// capacity.
	reasonNotHeld = "not_held"
	reasonShed    = "shed"
	// reasonBudget means that the retry budget was exhausted.
	reasonBudget = "retry_budget"
	// reasonNotSigned means that the response lacks the runner's signature, reasonRunnerFailed that
	// the runner itself reported a failure.
	reasonNotSigned    = "not_signed"
	reasonRunnerFailed = "runner_failed"
	// reasonCutShort means that the response was truncated.
	reasonCutShort = "cut_short"
)

// errTimeout is the cancellation cause after a request's deadline.
var errTimeout = errors.New("request deadline exceeded")

// errStopped is the cancellation cause of requests in progress when the router shuts down.
var errStopped = errors.New("the router is shutting down")

// exchange is the state of one request in progress.
type exchange struct {
	router  *Router
	request *Request
	route   *site.Route
	row     residency.Row
	version uint64
	writer  http.ResponseWriter
	// tenant is the caller's tenant, or nil. priority is its rank.
	tenant   *site.Tenant
	ticket   waiting.Ticket
	priority int
	// regions limits where the request may be served; nil for anywhere.
	regions *regionLimit
	// hidesKey is set if the document has tenants, so that API keys are not forwarded.
	hidesKey bool
	// attempts counts the runners that may have run the request, rejections those that reported that
	// they did not.
	attempts         int
	runnerRejections int
	// unsent counts failed connects.
	unsent int
	// sent counts all sends, arrivals those of which a runner may have received something. Only
	// sends after the first arrival are retries.
	sent     int
	arrivals int
	prefixes []uint64
	// avoid is the runner of the last attempt, excluded one that rejected the request twice and is
	// not tried again.
	avoid    structs.RunnerID
	excluded structs.RunnerID
	// rejectedBy lists the runners that rejected the request, at most maxRejections.
	rejectedBy []structs.RunnerID
	// digest identifies the content of the request.
	digest poison.Digest
	// trialID identifies the request to the leader once it has asked for permission to run.
	trialID string
	// isStarted is set once the response header has been sent.
	isStarted bool
	// lastEvent is the ID of the last event that the caller received.
	lastEvent int64
	deadline  time.Time
	// waiter is the request's latest entry in the queue.
	waiter *waiter
	// waited is the total time spent waiting for runners, startedAt the time at which the response
	// header was sent.
	waited    time.Duration
	startedAt time.Time
	// timing records the timing of a streamed response.
	timing streamTiming
}

// Serve handles a request. It panics with http.ErrAbortHandler if a response that has started
// cannot be completed, so that it is not mistaken for a complete one.
func (r *Router) Serve(writer http.ResponseWriter, request *Request) {
	r.metrics.inFlight.Inc()
	defer r.metrics.inFlight.Dec()
	index := r.awaitIndex(request)
	if index == nil {
		r.metrics.requests.WithLabelValues(kindName(0), "no_document").Inc()
		r.log(request, 0, "no_document", nil)
		reject(writer, http.StatusServiceUnavailable, minRetryAfter, "no document is known yet")
		return
	}
	route := index.Route(request.HTTP.Host, request.HTTP.URL.EscapedPath())
	if route == nil {
		r.metrics.requests.WithLabelValues(kindName(0), "no_route").Inc()
		r.log(request, index.Document.Version, "no_route", nil)
		reject(writer, http.StatusNotFound, 0, "no route leads there")
		return
	}
	tenant, rejected := r.identify(index, route, request)
	ticket := ticketOf(request, route, tenant)
	digest := request.digest(ticket.Tenant)
	var counted admission
	if rejected == nil {
		counted, rejected = r.admit(request.HTTP.Context(), tenant, request, ticket, digest)
	}
	if rejected != nil {
		r.rejectTenant(writer, request, route, tenant, index.Document.Version, rejected)
		return
	}
	x := &exchange{
		router: r, request: request, route: route, version: index.Document.Version, writer: writer,
		tenant: tenant, ticket: ticket, priority: ticket.Rank, deadline: ticket.Deadline, digest: digest,
		hidesKey: index.Document.RequiresKeys, row: residency.Row{Service: route.Pick(r.randomFraction())}, lastEvent: request.ResumeAfter,
		regions: regionLimitOf(route, tenant, r.options.Regions),
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
	if permission, refusedFor := r.localPermission(x.digest); permission == poison.Refused {
		x.refuseSuspect(permit{permission: permission, retryAfter: refusedFor}, result{})
		return
	}
	if !x.hasRunners() {
		x.rejectNoRegion()
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

// deadlineOf returns the deadline of a request on a route.
func deadlineOf(request *Request, route *site.Route) time.Time {
	if request.Wait > 0 && request.Wait < route.Timeout {
		return request.Arrived.Add(request.Wait)
	}
	return request.Arrived.Add(route.Timeout)
}

// firstDocumentWait bounds how long a request waits for the first document after the router starts,
// firstDocumentShare the fraction of its own time.
const (
	firstDocumentWait  = 2 * time.Second
	firstDocumentShare = 0.6
)

// awaitIndex returns the index of the current document. It waits for the first document for a
// limited time and may return nil.
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

// run tries runners until one has answered or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) {
	var last result
	for {
		choice, given, err := x.acquireRunner(ctx)
		switch {
		case err != nil:
			x.giveUp(err, last)
			return
		case !given.isGranted():
			x.refuseSuspect(given, last)
			return
		case x.arrivals > 0 && !x.router.mayRepeat(x.row.Service):
			x.releaseRunner(choice, given)
			last.reason = reasonBudget
			x.conclude(last)
			return
		}
		last = x.attempt(ctx, choice)
		x.reportEnd(choice.Runner(), given.isTrial(), last)
		x.router.metrics.attempts.WithLabelValues(last.name()).Inc()
		x.router.release(x.row, choice, last.outcome)
		x.router.countAttempt(choice.Runner(), last)
		if last.isNotRun {
			x.router.refundWork(x.ticket)
		}
		if last.isUnreachable() {
			x.router.noteUnreachable(choice.Runner())
		}
		if last.isDone {
			x.count(last.name())
			x.reportPace(last)
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
		return x.runnerRejections < maxRejections && x.unsent < maxUnsent
	}
	return x.route.MayRepeat() && x.attempts < max(1, x.route.MaxAttempts)
}

// attempt sends the request to a runner and forwards its response.
func (x *exchange) attempt(parent context.Context, choice routing.Choice) result {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := x.watch(choice, cancel)
	defer watchdog.stop()
	defer x.router.beginAttempt(choice, watchdog)()
	if errors.Is(context.Cause(ctx), errUnwanted) {
		return x.sendFailed(ctx, choice, ErrNotSent)
	}
	x.sent++
	sent := x.router.now()
	x.timing.noteSent(choice.Runner())
	answer, err := x.router.options.Backend.Send(ctx, &Attempt{
		Request: x.request, Instance: string(choice.Runner()), Address: choice.Address(), Service: x.row.Service,
		Wait: x.runnerTime(), Priority: x.priority, ResumeAfter: x.lastEvent,
		Tenant: x.tenantName(), HidesKey: x.hidesKey, Begin: watchdog.begin,
	})
	if err != nil {
		return x.sendFailed(ctx, choice, err)
	}
	x.arrivals++
	x.router.observeAnswer(choice, sent, answer)
	watchdog.resetSilence()
	defer answer.Body.Close()
	ended := x.receive(ctx, choice, answer, watchdog)
	if ended.reason != "" || x.sent > 1 {
		x.logAttempt(choice, answer.Status, ended)
	}
	return ended
}

// tenantName returns the tenant's name, or "".
func (x *exchange) tenantName() string {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() time.Duration { return x.deadline.Sub(x.router.now()) }

// runnerTime returns the time given to a runner.
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
		ended = x.contextResult(ctx, ended)
	}
	x.logAttempt(choice, 0, ended)
	return ended
}

// contextResult adds to a result the reason why the attempt's context ended.
func (x *exchange) contextResult(ctx context.Context, ended result) result {
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

// receive reads a response and forwards it if it is final.
func (x *exchange) receive(ctx context.Context, choice routing.Choice, answer *Answer, watchdog *watchdog) result {
	switch {
	case answer.NotHeld:
		x.runnerRejections++
		x.router.noteNotHeld(choice.Runner(), x.row)
		return result{outcome: routing.OutcomeUnavailable, isNotRun: true, reason: reasonNotHeld}
	case answer.NotRun:
		x.runnerRejections++
		x.noteRejection(choice.Runner())
		return result{outcome: routing.OutcomeRejected, isNotRun: true, reason: reasonShed}
	}
	x.attempts++
	if answer.IsStream && answer.Status == http.StatusOK {
		return x.relayStream(ctx, answer, watchdog)
	}
	return x.relayBuffered(ctx, answer, watchdog)
}

// noteRejection records that a runner rejected the request. A runner that rejects it a second time
// is excluded.
func (x *exchange) noteRejection(runner structs.RunnerID) {
	if slices.Contains(x.rejectedBy, runner) {
		x.excluded = runner
	}
	x.rejectedBy = append(x.rejectedBy, runner)
}
