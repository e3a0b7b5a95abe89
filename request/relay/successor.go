package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// successorRetryDelay is the interval between attempts to find a successor.
	successorRetryDelay = 100 * time.Millisecond
	// successorWait is how long a search waits in the queue before it looks again at what is known of the runners.
	successorWait = 250 * time.Millisecond
)

// errOvertaken is the cancellation cause of a successor that is not needed: another runner, or the silent one, went on.
var errOvertaken = errors.New("another runner has answered before")

// Outcomes of looking for a successor, for metrics and logs.
const (
	// successorBegan means that another runner has begun to answer, successorOvertaken that the silent one went on before.
	successorBegan     = "began"
	successorOvertaken = "overtaken"
	// successorNoBudget means that the retry budget was exhausted, successorNoRunner that no other runner was free, and
	// successorSilent that the only one found, or the successor itself, was silent as well.
	successorNoBudget = "no_budget"
	successorNoRunner = "no_runner"
	successorSilent   = "silent_too"
	// successorRejected means that the other runner did not run the request, successorFailed that it failed.
	successorRejected = "rejected"
	successorFailed   = "failed"
)

// successorSearch looks for another runner for a repeatable request whose runner is silent or believed lost, and sends the request
// there as well. The attempt at the first runner is withdrawn only once another one has begun to answer: until then it may go on,
// and its caller gets what comes first. A successor that is silent itself is treated in the same way.
type successorSearch struct {
	watchdog *watchdog
	cancel   context.CancelFunc
	// cause is why the first attempt is withdrawn.
	cause error
	// tried is the runner tried last; empty for none. It belongs to run.
	tried structs.RunnerID
	// done is closed when a runner has begun to answer, or when a claimed search has ended without one.
	done chan struct{}

	// The following fields are guarded by watchdog.mutex.

	// isSeeking is set while further runners are sought. sent are the sends that are in progress, and rejections counts those that
	// were not run.
	isSeeking  bool
	sent       []*dispatch
	rejections int
	// winner is the send whose runner has begun to answer; nil before. failure is the result of the last one that failed.
	winner  *dispatch
	failure result
	// isClaimed is set once the exchange waits for the search because the first attempt has ended.
	isClaimed bool
}

// isNeeded reports whether the result of the search is used. The caller must hold watchdog.mutex.
func (s *successorSearch) isNeeded() bool { return s.winner != nil || s.isClaimed }

// seek begins to look for a successor unless that is going on. The caller must hold w.mutex.
func (w *watchdog) seek(cause error) {
	if w.isStopped || w.search != nil {
		return
	}
	ctx, cancel := context.WithCancel(w.parent)
	w.search = &successorSearch{watchdog: w, cancel: cancel, cause: cause, done: make(chan struct{}), isSeeking: true}
	go w.search.run(ctx)
}

// dropSearch ends the search for a successor. The caller must hold w.mutex.
func (w *watchdog) dropSearch() {
	s := w.search
	w.search = nil
	s.withdraw()
}

// withdraw ends the search and the sends in progress. The caller must hold watchdog.mutex.
func (s *successorSearch) withdraw() {
	s.cancel()
	for _, each := range s.sent {
		s.watchdog.successorRuns++
		each.cancel(errOvertaken)
	}
	s.sent = nil
}

// run looks for successors until one has begun to answer, ctx ends, or no further attempt is allowed.
func (s *successorSearch) run(ctx context.Context) {
	defer s.endSeeking()
	x := s.watchdog.exchange
	x.router.noteUnreachable(s.watchdog.runner)
	last := ""
	for s.mayTry() {
		s.tried = ""
		outcome := s.try(ctx)
		x.router.metrics.successors.WithLabelValues(outcome).Inc()
		if outcome != last {
			s.log(outcome)
		}
		last = outcome
		if outcome == successorNoRunner && s.watchdog.leaveLost() {
			return
		}
		if outcome == successorBegan || !pause.For(ctx, successorRetryDelay) {
			return
		}
	}
}

// endSeeking records that no further runners are sought.
func (s *successorSearch) endSeeking() {
	s.watchdog.mutex.Lock()
	defer s.watchdog.mutex.Unlock()
	s.isSeeking = false
	s.endIfOver()
}

// endIfOver tells a waiting exchange that nothing is left that could answer. The caller must hold watchdog.mutex.
func (s *successorSearch) endIfOver() {
	if s.isClaimed && s.winner == nil && !s.isSeeking && len(s.sent) == 0 {
		close(s.done)
	}
}

// mayTry reports whether the request may be sent to one more runner while the others are in progress.
func (s *successorSearch) mayTry() bool {
	w := s.watchdog
	w.mutex.Lock()
	isAllowed := w.search == s && w.hasAttempt() && s.rejections < maxRejections
	w.mutex.Unlock()
	x := w.exchange
	isFree := x.router.localPermission(x.keys).Permission == poison.Free
	return isAllowed && isFree && x.timeLeft() >= minAttemptTime
}

// try sends the request to another runner if the retry budget and its room allow it, and waits until that has begun to answer, has
// failed, or is silent as well. It returns the outcome.
func (s *successorSearch) try(ctx context.Context) string {
	w := s.watchdog
	x := w.exchange
	service := x.row.Service
	if !x.router.allowsRepeat(service) {
		return successorNoBudget
	}
	waiting, cancel := context.WithTimeout(ctx, successorWait)
	defer cancel()
	isSilent := false
	wanted := w.successorWaiter()
	wanted.accepts = func(id structs.RunnerID) bool {
		isSilent = !w.isBetter(id)
		return !isSilent
	}
	choice, err := x.router.acquire(waiting, wanted)
	switch {
	case err != nil && isSilent:
		return successorSilent
	case err != nil:
		return successorNoRunner
	case !s.mayTry() || !x.router.mayRepeat(service):
		x.releaseChoice(choice)
		return successorNoBudget
	}
	return s.send(ctx, choice)
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

// isBetter reports whether a runner may answer although the runner of the attempt is silent: it is reached on another way, or it is
// another one that is not silent as well. The caller must hold the router's mutex.
func (w *watchdog) isBetter(id structs.RunnerID) bool {
	return w.hasOtherPath(id) || id != w.runner && !w.exchange.router.isSilentSince(id, w.silentSince(), w.exchange.silenceLimit())
}

// isSilentSince reports whether a runner has been silent towards another request of this router for the limit or longer, and has sent
// nothing since the given time: a silence that runners share says nothing about one of them. The caller must hold r.mutex.
func (r *Router) isSilentSince(id structs.RunnerID, since time.Time, limit time.Duration) bool {
	if r.lastDataAt[id].After(since) {
		return false
	}
	for attempt := range r.zones.attempts[r.zones.watch.ZoneOf(id)] {
		if attempt.runner == id && attempt.silentFor() >= limit {
			return true
		}
	}
	return false
}

// send sends the request to the chosen runner and returns the outcome.
func (s *successorSearch) send(ctx context.Context, choice routing.Choice) string {
	w := s.watchdog
	x := w.exchange
	next := x.newDispatch(w.parent, choice, &watchdog{isRepeated: true, wish: w.wish})
	attempt, isWanted := s.begin(next)
	if !isWanted {
		next.close()
		x.releaseChoice(choice)
		return successorOvertaken
	}
	s.tried = choice.Runner()
	settled := make(chan string, 1)
	go func() {
		if next.register() {
			next.send(attempt)
			next.readAhead()
		} else {
			next.err = ErrNotSent
		}
		settled <- s.settle(next)
	}()
	silent := time.NewTimer(x.silenceLimit())
	defer silent.Stop()
	select {
	case outcome := <-settled:
		return outcome
	case <-silent.C:
		return successorSilent
	case <-ctx.Done():
		return successorOvertaken
	}
}

// begin records that the request is sent to a successor, unless the search was dropped or is over.
func (s *successorSearch) begin(next *dispatch) (*Attempt, bool) {
	w := s.watchdog
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.search != s || s.winner != nil {
		return nil, false
	}
	s.sent = append(s.sent, next)
	return &Attempt{ResumeAfter: w.lastEvent}, true
}

// settle withdraws all other attempts if the runner of this one has begun to answer. It returns the outcome.
func (s *successorSearch) settle(next *dispatch) string {
	w := s.watchdog
	w.mutex.Lock()
	place := slices.Index(s.sent, next)
	hasBegun := place >= 0 && next.begins(w.isStarted)
	if hasBegun {
		s.sent = slices.Delete(s.sent, place, place+1)
		s.win(next)
	}
	w.mutex.Unlock()
	switch {
	case hasBegun:
		return successorBegan
	case place < 0:
		next.discard(routing.OutcomeNeutral)
		return successorOvertaken
	}
	ended := next.failure()
	s.endFailed(next, ended)
	if ended.isNotRun {
		return successorRejected
	}
	return successorFailed
}

// win records that the runner of a successor has begun to answer. The caller must hold watchdog.mutex.
func (s *successorSearch) win(next *dispatch) {
	s.winner = next
	s.withdraw()
	if !s.isClaimed {
		s.watchdog.cancel(s.cause)
	}
	close(s.done)
}

// endFailed ends a successor whose runner did not begin to answer.
func (s *successorSearch) endFailed(next *dispatch, ended result) {
	next.reportFailure(ended)
	next.discard(ended.outcome)
	w := s.watchdog
	w.mutex.Lock()
	defer w.mutex.Unlock()
	place := slices.Index(s.sent, next)
	if place < 0 {
		// It was withdrawn, and counted, in the meantime.
		return
	}
	s.sent = slices.Delete(s.sent, place, place+1)
	s.failure = ended
	if ended.isNotRun {
		s.rejections++
	} else {
		w.successorRuns++
	}
	s.endIfOver()
}

// reportFailure records that the runner did not begin to answer.
func (d *dispatch) reportFailure(ended result) {
	x := d.exchange
	x.reportEnd(d.choice.Runner(), permit{permission: poison.Free}, ended)
	x.router.metrics.attempts.WithLabelValues(ended.name()).Inc()
	if !x.router.isDoubtfulFailure(ended) {
		x.router.countAttempt(d.choice.Runner(), ended)
	}
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

// failure returns the result of a dispatch whose runner did not begin to answer.
func (d *dispatch) failure() result {
	x := d.exchange
	switch {
	case d.err != nil:
		return d.sendFailure()
	case d.answer.NotHeld:
		x.router.noteNotHeld(d.choice.Runner(), x.row)
		return result{outcome: routing.OutcomeUnavailable, isNotRun: true, reason: reasonNotHeld}
	case d.answer.NotRun:
		return result{outcome: routing.OutcomeRejected, isNotRun: true, reason: reasonShed}
	case !d.answer.isFailure() && !d.answer.Signed:
		return result{outcome: routing.OutcomeBroken, reason: reasonNotSigned}
	case d.answer.Status < http.StatusInternalServerError:
		return result{outcome: routing.OutcomeUnavailable, reason: reasonNotResumed}
	}
	body, _ := io.ReadAll(io.LimitReader(d.answer.Body, maxBuffered))
	whole := &bufferedAnswer{status: d.answer.Status, header: d.answer.Header, body: body}
	return result{outcome: routing.OutcomeUnavailable, reason: reasonRunnerFailed, answer: whole}
}

// sendFailure returns the result of a dispatch without an answer.
func (d *dispatch) sendFailure() result {
	ended := sendFailure(d.err)
	if d.ctx.Err() != nil {
		return d.exchange.contextResult(d.ctx, ended).withPeerLoss()
	}
	if ended.isNotRun {
		d.exchange.router.noteNotReached(d.choice.Runner(), d.watchdog.path, d.err)
	}
	return ended.withPeerLoss()
}

// followSuccessors forwards the answers of successors whose runners have answered in place of a former attempt, or will, and returns
// the last result.
func (x *exchange) followSuccessors(last result) result {
	for x.successor != nil {
		search := x.successor
		x.successor = nil
		<-search.done
		x.countSuccessors(search.watchdog)
		next := search.winner
		switch {
		case next == nil:
			return search.failure
		case x.isUnresumable || x.boundVersion != "" && next.choice.Version() != x.boundVersion:
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
	x.leaveRunner(next.choice, permit{permission: poison.Free}, ended)
	return ended
}

// log records what became of a search so far.
func (s *successorSearch) log(outcome string) {
	w := s.watchdog
	x := w.exchange
	silent := w.silentFor()
	w.mutex.Lock()
	lastEvent, cause := w.lastEvent, s.cause
	w.mutex.Unlock()
	level.Info(x.router.logger).Log("msg", "Another runner is sought for a request.", "request", x.request.ID, "content", x.keys.content,
		"runner", w.runner, "cause", cause, "silent", silent, "last_event", lastEvent, "successor", s.tried, "outcome", outcome,
		"age", x.router.age(x.request))
}
