package relay

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// successorRetryDelay is the interval between attempts to find a successor.
const successorRetryDelay = 100 * time.Millisecond

// errOvertaken is the cancellation cause of a successor that is not needed: the silent runner went on.
var errOvertaken = errors.New("the runner that was silent went on")

// Outcomes of looking for a successor, for metrics and logs.
const (
	// successorBegan means that another runner has begun to answer, successorOvertaken that the silent one went on before.
	successorBegan     = "began"
	successorOvertaken = "overtaken"
	// successorNoBudget means that the retry budget was exhausted, successorNoRunner that no other runner was found while the
	// attempt lasted, and successorSilent that the only one found was silent as well.
	successorNoBudget = "no_budget"
	successorNoRunner = "no_runner"
	successorSilent   = "silent_too"
	// successorRejected means that the other runner did not run the request, successorFailed that it failed.
	successorRejected = "rejected"
	successorFailed   = "failed"
)

// successorSearch looks for another runner for a repeatable request whose runner is silent or believed lost, and sends the request
// there as well. The attempt at the first runner is withdrawn only once the other one has begun to answer: until then it may go on,
// and its caller gets what comes first.
type successorSearch struct {
	watchdog *watchdog
	cancel   context.CancelFunc
	// cause is why the first attempt is withdrawn.
	cause error
	// rejections counts the runners that did not run the request.
	rejections int
	// done is closed when the successor's runner has answered or failed.
	done chan struct{}

	// The following fields are guarded by watchdog.mutex.

	// successor is the send to another runner; nil before.
	successor *dispatch
	// hasBegun is set once the successor's runner has begun to answer, isClaimed once the exchange waits for the successor because
	// the first attempt has ended.
	hasBegun  bool
	isClaimed bool
}

// isNeeded reports whether the successor's answer is used. The caller must hold watchdog.mutex.
func (s *successorSearch) isNeeded() bool { return s.hasBegun || s.isClaimed }

// seek begins to look for a successor unless that is going on. The caller must hold w.mutex.
func (w *watchdog) seek(cause error) {
	if w.isStopped || w.search != nil {
		return
	}
	ctx, cancel := context.WithCancel(w.parent)
	w.search = &successorSearch{watchdog: w, cancel: cancel, cause: cause, done: make(chan struct{})}
	go w.search.run(ctx)
}

// dropSearch ends the search for a successor. The caller must hold w.mutex.
func (w *watchdog) dropSearch() {
	s := w.search
	w.search = nil
	s.cancel()
	if s.successor != nil {
		w.successorRuns++
		s.successor.cancel(errOvertaken)
	}
}

// run looks for a successor until one has begun to answer, ctx ends, or no further attempt is allowed.
func (s *successorSearch) run(ctx context.Context) {
	x := s.watchdog.exchange
	last := ""
	for s.watchdog.mayReplace() && s.rejections < maxRejections {
		outcome := s.try(ctx)
		x.router.metrics.successors.WithLabelValues(outcome).Inc()
		if outcome != last {
			s.log(outcome)
		}
		last = outcome
		if outcome == successorBegan || !pause.For(ctx, successorRetryDelay) {
			return
		}
	}
}

// mayReplace reports whether the request may be sent to another runner while the attempt is in progress.
func (w *watchdog) mayReplace() bool {
	w.mutex.Lock()
	attempts := w.formerAttempts + 1 + w.successorRuns
	w.mutex.Unlock()
	x := w.exchange
	isFree := x.router.localPermission(x.keys).Permission == poison.Free
	return isFree && attempts < x.route.MaxAttempts && x.timeLeft() >= minAttemptTime
}

// try sends the request to another runner if the retry budget and its room allow it, and waits until that has begun to answer or
// has failed. It returns the outcome.
func (s *successorSearch) try(ctx context.Context) string {
	x := s.watchdog.exchange
	service := x.row.Service
	if !x.router.allowsRepeat(service) {
		return successorNoBudget
	}
	choice, err := x.router.acquire(ctx, s.watchdog.successorWaiter())
	if err != nil {
		return successorNoRunner
	}
	outcome := ""
	switch {
	case !s.watchdog.isBetter(choice.Runner()):
		outcome = successorSilent
	case !x.router.mayRepeat(service):
		outcome = successorNoBudget
	}
	if outcome != "" {
		x.releaseChoice(choice)
		return outcome
	}
	return s.send(choice)
}

// successorWaiter returns the queue entry of a request for another runner.
func (w *watchdog) successorWaiter() *waiter {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	work := w.waiter.work
	work.Avoid, work.Version = w.runner, w.version
	return &waiter{
		row: w.waiter.row, work: work, ticket: w.waiter.ticket, until: w.exchange.deadline, regions: w.waiter.regions,
	}
}

// isBetter reports whether a runner that was just chosen may answer although the runner of the attempt is silent: it is reached on
// another way, or it is another one that is not silent as well.
func (w *watchdog) isBetter(id structs.RunnerID) bool {
	w.mutex.Lock()
	since := w.since
	w.mutex.Unlock()
	r := w.exchange.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	path := r.peers.paths.Choose(r.now(), id, r.zones.watch.ZoneOf(id), w.wish)
	if !path.IsDirect() && path != w.path {
		return true
	}
	return id != w.runner && !r.isSilentSince(id, since)
}

// send sends the request to the chosen runner and returns the outcome.
func (s *successorSearch) send(choice routing.Choice) string {
	w := s.watchdog
	x := w.exchange
	next := x.newDispatch(w.parent, choice, &watchdog{isRepeated: true, wish: w.wish})
	attempt, isWanted := s.begin(next)
	if !isWanted {
		next.close()
		x.releaseChoice(choice)
		return successorOvertaken
	}
	if next.register() {
		next.send(attempt)
	} else {
		next.err = ErrNotSent
	}
	return s.settle(next)
}

// begin records that the request is sent to the successor, unless the search was dropped.
func (s *successorSearch) begin(next *dispatch) (*Attempt, bool) {
	w := s.watchdog
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.search != s {
		return nil, false
	}
	s.successor = next
	return &Attempt{ResumeAfter: w.lastEvent}, true
}

// settle withdraws the first attempt if the successor's runner has begun to answer. It returns the outcome.
func (s *successorSearch) settle(next *dispatch) string {
	w := s.watchdog
	hasBegun := next.begins()
	w.mutex.Lock()
	isDropped := w.search != s && !s.isClaimed
	isTaken := s.isClaimed || !isDropped && hasBegun
	switch {
	case isTaken:
		s.hasBegun = true
		if !s.isClaimed {
			w.cancel(s.cause)
		}
		close(s.done)
	case !isDropped:
		s.successor = nil
		if next.mayHaveRun() {
			w.successorRuns++
		}
	}
	w.mutex.Unlock()
	switch {
	case isTaken:
		return successorBegan
	case isDropped:
		next.discard(routing.OutcomeNeutral)
		return successorOvertaken
	}
	return s.endFailed(next)
}

// mayHaveRun reports whether the runner may have run the request.
func (d *dispatch) mayHaveRun() bool {
	if d.err != nil {
		return !errors.Is(d.err, ErrNotSent)
	}
	return !d.answer.NotRun && !d.answer.NotHeld
}

// discard ends a dispatch whose answer is not used.
func (d *dispatch) discard(outcome routing.Outcome) {
	x := d.exchange
	d.close()
	if !d.mayHaveRun() {
		x.router.refundWork(x.ticket)
	}
	x.router.release(x.row, d.choice, outcome)
}

// endFailed ends a successor whose runner did not begin to answer, and returns the outcome.
func (s *successorSearch) endFailed(next *dispatch) string {
	ended := next.failure()
	x := next.exchange
	x.reportEnd(next.choice.Runner(), permit{permission: poison.Free}, ended)
	x.router.metrics.attempts.WithLabelValues(ended.name()).Inc()
	if !x.router.isDoubtfulFailure(ended) {
		x.router.countAttempt(next.choice.Runner(), ended)
	}
	next.discard(ended.outcome)
	if ended.isNotRun {
		s.rejections++
		return successorRejected
	}
	return successorFailed
}

// failure returns the result of a dispatch whose runner did not begin to answer.
func (d *dispatch) failure() result {
	x := d.exchange
	switch {
	case d.err != nil:
		ended := result{outcome: routing.OutcomeBroken, reason: sendFailureReason(d.err), err: d.err, isNotRun: errors.Is(d.err, ErrNotSent)}
		if isPeerFailure(d.err) {
			ended.outcome, ended.reason = routing.OutcomeNeutral, reasonPeerFailed
		}
		if ended.isNotRun && d.ctx.Err() == nil {
			x.router.noteNotReached(d.choice.Runner(), d.watchdog.path, d.err)
		}
		if d.ctx.Err() != nil {
			ended = x.contextResult(d.ctx, ended)
		}
		return ended.withPeerLoss()
	case d.answer.NotHeld:
		x.router.noteNotHeld(d.choice.Runner(), x.row)
		return result{outcome: routing.OutcomeUnavailable, isNotRun: true, reason: reasonNotHeld}
	case d.answer.NotRun:
		return result{outcome: routing.OutcomeRejected, isNotRun: true, reason: reasonShed}
	case !d.answer.isFailure() && !d.answer.Signed:
		return result{outcome: routing.OutcomeBroken, reason: reasonNotSigned}
	}
	return result{outcome: routing.OutcomeUnavailable, reason: reasonRunnerFailed}
}

// isSilentSince reports whether a runner that was just chosen has other requests of this router, and has sent nothing since the
// given time: a silence that runners share says nothing about one of them. The caller must hold r.mutex.
func (r *Router) isSilentSince(id structs.RunnerID, since time.Time) bool {
	return r.balancer.InFlight(id) > 1 && !r.lastDataAt[id].After(since)
}

// followSuccessors forwards the answers of successors whose runners have answered in place of a former attempt, or will, and returns
// the last result.
func (x *exchange) followSuccessors(last result) result {
	for x.successor != nil {
		search := x.successor
		x.successor = nil
		<-search.done
		next := search.successor
		if x.isUnresumable || x.boundVersion != "" && next.choice.Version() != x.boundVersion {
			// The first attempt has brought events since the successor was chosen.
			next.discard(routing.OutcomeNeutral)
			x.attempts++
			return last
		}
		last = x.follow(next)
	}
	return last
}

// follow forwards the answer of a successor.
func (x *exchange) follow(next *dispatch) result {
	defer next.close()
	x.copied = nil
	x.handover.Sent(nil)
	x.noteSending(next)
	next.watchdog.observe(x)
	if x.mayLeaveRunner() {
		next.watchdog.start()
	}
	ended := x.finish(next)
	x.endAttempt(next.choice, permit{permission: poison.Free}, ended)
	if ended.isNotRun {
		x.router.refundWork(x.ticket)
	}
	x.avoid = next.choice.Runner()
	return ended
}

// log records what became of a search so far.
func (s *successorSearch) log(outcome string) {
	w := s.watchdog
	x := w.exchange
	w.mutex.Lock()
	silent, lastEvent, to := w.silentFor(), w.lastEvent, structs.RunnerID("")
	if s.successor != nil {
		to = s.successor.choice.Runner()
	}
	w.mutex.Unlock()
	level.Info(x.router.logger).Log("msg", "Another runner is sought for a request.", "request", x.request.ID, "content", x.keys.content,
		"runner", w.runner, "cause", s.cause, "silent", silent, "last_event", lastEvent, "successor", to, "outcome", outcome,
		"age", x.router.age(x.request))
}
