package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/paths"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/request/standby"
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
	// maxAnswerBytes bounds a successful answer. A long stream of large events takes some tens of MB.
	maxAnswerBytes = 64 << 20
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

// errTimeout is the cancellation cause after a request's deadline.
var errTimeout = errors.New("request deadline exceeded")

// errStopped is the cancellation cause of requests in progress when the router shuts down.
var errStopped = errors.New("the router is shutting down")

// exchange is the state of one request in progress.
type exchange struct {
	router  *Router
	request *Request
	index   *site.Index
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
	// used are the connections over which the request was sent.
	used     Connections
	prefixes []uint64
	// avoid is the runner of the last attempt, excluded one that rejected the request twice and is
	// not tried again.
	avoid    structs.RunnerID
	excluded structs.RunnerID
	// path is the way of the last attempt.
	path paths.Path
	// lostPeer is the address of the peer of an attempt that was lost after it was sent; empty for none.
	lostPeer string
	// rejectedBy lists the runners that rejected the request, at most maxRejections.
	rejectedBy []structs.RunnerID
	// keys identify the content of the request and the parts of its prompt.
	keys suspectKeys
	// trialID identifies the request to the leader once it has asked for permission to run.
	trialID string
	// isStarted is set once the response header has been sent, isWhole once the whole response has.
	isStarted bool
	isWhole   bool
	// isUnresumable is set once a part of an answer that is no stream, or an event without an ID, has been sent, as no other answer can
	// complete it.
	isUnresumable bool
	// runnerVersion is the software version of the runner of the last attempt, and boundVersion the one at which the stream
	// must go on; empty if it may go on at any.
	runnerVersion string
	boundVersion  string
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
	// engine describes the runners of the service; nil if they load no models.
	engine *site.Engine
	// handover is the state of a stream whose memory is copied, copied the copy of the run in progress;
	// nil for none. isContinuing is set during a continuation. lostAt lists the runners with which runs
	// of the stream were lost.
	handover     standby.Handover
	copied       *streamCopy
	isContinuing bool
	lostAt       []structs.RunnerID
	// isTrial is set if the leader permitted the attempt in progress as a trial.
	isTrial bool
	// successor has the answer that takes the place of that of the last attempt; nil for none. reservedAt is when a retry was
	// taken from the budget for what follows; zero for none.
	successor  *successorSearch
	reservedAt time.Time
	// handoff is the continuation to which the stream of the last attempt was handed; nil for none.
	handoff *handoff
}

// Serve handles a request. It panics with http.ErrAbortHandler if a response that has started
// cannot be completed, or if the caller has left, so that what the caller reads is not mistaken for a
// complete response.
func (r *Router) Serve(writer http.ResponseWriter, request *Request) {
	r.metrics.inFlight.Inc()
	defer r.metrics.inFlight.Dec()
	index := r.awaitIndex(request)
	if index == nil {
		r.metrics.requests.WithLabelValues(kindName(0), "no_document").Inc()
		r.log(request, 0, "no_document", http.StatusServiceUnavailable, nil)
		reject(writer, http.StatusServiceUnavailable, minRetryAfter, "no document is known yet")
		return
	}
	route := index.Route(request.HTTP.Host, request.HTTP.URL.EscapedPath())
	if route == nil {
		r.metrics.requests.WithLabelValues(kindName(0), "no_route").Inc()
		r.log(request, index.Document.Version, "no_route", http.StatusNotFound, nil)
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
		tenant: tenant, ticket: ticket, priority: ticket.Rank, deadline: ticket.Deadline, keys: suspectKeys{content: digest, parts: request.partDigests()},
		hidesKey: index.Document.RequiresKeys, index: index, lastEvent: request.ResumeAfter,
		regions: regionLimitOf(route, tenant, r.options.Regions),
	}
	x.setService(route.Pick(r.randomFraction()))
	defer func() {
		if x.attempts == 0 {
			r.refund(counted)
		}
	}()
	if known := r.localPermission(x.keys); known.Permission == poison.Refused {
		x.refuseSuspect(permit{permission: known.Permission, retryAfter: known.RetryAfter, subject: known.Subject}, result{})
		return
	}
	// A stream that is taken up may go on at another service than the one drawn for it.
	if !x.bindVersion(request.HTTP.Context()) {
		return
	}
	if !x.hasRunners() {
		x.rejectNoRegion()
		return
	}
	defer x.noteEnded()
	r.countRequest(x.row, route.Objective)
	ctx, cancel := context.WithTimeoutCause(request.HTTP.Context(), x.timeLeft(), errTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(r.stop.cut, func() { end(errStopped) })()
	x.run(ctx)
}

// setService sets the service that serves the request.
func (x *exchange) setService(name string) {
	x.row, x.engine, x.prefixes = residency.Row{Service: name}, nil, nil
	service := x.index.Service(name)
	if service.Engine == nil {
		return
	}
	x.engine = service.Engine
	x.row.Model, x.row.Adapter = x.request.Model, x.request.Adapter
	x.prefixes = prefixHashes(x.row, x.request.Parts)
}

// deadlineOf returns the deadline of a request on a route.
func deadlineOf(request *Request, route *site.Route) time.Time {
	if request.Wait > 0 && request.Wait < route.Timeout {
		return request.Arrived.Add(request.Wait)
	}
	return request.Arrived.Add(route.Timeout)
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
		case x.arrivals > 0 && !x.mayRepeat():
			x.releaseRunner(choice, given)
			last.reason = reasonBudget
			x.conclude(last)
			return
		}
		last = x.try(ctx, choice, given)
		if last.isDone {
			if !last.isServed() {
				x.abort()
			}
			return
		}
		if !x.mayTryAgain(ctx, last) || given.isTrial() && !last.isNotRun {
			x.conclude(last)
			return
		}
	}
}

// try sends the request to a runner. If the runner is lost, the answer is that of a successor or of a continuation, if there is one.
func (x *exchange) try(ctx context.Context, choice routing.Choice, given permit) result {
	x.isTrial = given.isTrial()
	last := x.attempt(ctx, choice)
	x.leaveRunner(choice, given, last)
	if x.successor != nil {
		return x.followSuccessors(last)
	}
	if given.isTrial() {
		return last
	}
	return x.continueStream(ctx, choice.Runner(), last)
}

// leaveRunner records the result of an attempt at a runner that later ones avoid.
func (x *exchange) leaveRunner(choice routing.Choice, given permit, ended result) {
	x.endAttempt(choice, given, ended)
	if ended.isNotRun {
		x.router.refundWork(x.ticket)
	}
	x.avoid = choice.Runner()
}

// endAttempt records the result of an attempt, and ends the request if it is done.
func (x *exchange) endAttempt(choice routing.Choice, given permit, ended result) {
	x.reportEnd(choice.Runner(), given, ended)
	x.router.metrics.attempts.WithLabelValues(ended.name()).Inc()
	x.router.release(x.row, choice, ended.outcome)
	if !x.router.isDoubtfulFailure(ended) {
		x.router.countAttempt(choice.Runner(), ended)
	}
	x.noteStreamEnd(choice.Runner(), ended)
	if ended.isUnreachable() {
		x.router.noteUnreachable(choice.Runner())
	}
	x.isWhole = ended.isServed()
	if ended.isDone {
		x.count(ended.name())
		x.reportPace(ended)
		x.logServed(choice, ended)
	}
}

// endResumption records that no other answer can complete what the caller has.
func (x *exchange) endResumption() {
	x.handover.End()
	x.isUnresumable = true
}

// mayTryAgain reports whether another runner may be tried after the result.
func (x *exchange) mayTryAgain(ctx context.Context, ended result) bool {
	if ctx.Err() != nil || x.timeLeft() < minAttemptTime {
		return false
	}
	if ended.reason == reasonNotContinuous || x.isUnresumable {
		return false
	}
	if ended.isNotRun {
		return x.runnerRejections < maxRejections && x.unsent < maxUnsent
	}
	return x.route.MayRepeat() && x.attempts < max(1, x.route.MaxAttempts)
}
