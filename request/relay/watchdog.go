package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/paths"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// errSilent is the cancellation cause of an attempt at a silent runner.
var errSilent = errors.New("the runner sent nothing for too long")

// watchdog watches an attempt whose request another runner may take over, because it may be repeated or is copied. If the runner is
// silent for too long, another one is sought; the attempt is cancelled once that is certain. A runner that sends comments, or events
// for other requests, or has no free slot is considered busy and gets more time.
type watchdog struct {
	exchange *exchange
	runner   structs.RunnerID
	// path is the way to the runner, set before the request is sent, and wish which peers may be on it.
	path paths.Path
	wish paths.Wish
	// parent is the context of the request, and cancel ends the attempt.
	parent context.Context
	cancel context.CancelCauseFunc
	// isRepeated is set if the request was sent before.
	isRepeated bool
	// progress is one of sendPending, sendStarted and sendRecalled.
	progress atomic.Int32

	mutex sync.Mutex
	since time.Time
	// partAt is when the first part of an event came that is not complete yet, and bytesAt when the last one came; partAt is zero if
	// there is none.
	partAt  time.Time
	bytesAt time.Time
	// received returns the bytes of the head that is being read; nil for none. headBytes is their number at the last check, and
	// headGrowths the number of checks at which it had grown.
	received    func() int64
	headBytes   int64
	headGrowths int
	// timer is nil while the attempt may not be cancelled.
	timer *time.Timer
	// isForwarding is set while data is written to the caller, who may be slow.
	isForwarding bool
	// isCopied is set from the first event on if the stream may run only once and has a copy, and hasLostStandby while the standby is
	// not asked (again) in this silence, as it did not go on with the stream or failed a probe.
	isCopied       bool
	hasLostStandby bool
	// isReading is set while the exchange waits for the runner to send something. deciding is open while it is decided whether the
	// standby takes the stream over; nil otherwise. Meanwhile, endProbe ends the probe of the standby and asked watches the
	// continuation; nil before. handoff is the continuation that is used; nil for none.
	isReading bool
	deciding  chan struct{}
	endProbe  context.CancelFunc
	asked     *watchdog
	handoff   *handoff
	// begun is closed once the request may have been sent; nil for attempts that nothing waits for.
	begun chan struct{}
	// isStopped is set after the attempt.
	isStopped bool
	// waiter is the queue entry with which the runner was found, and formerAttempts the number of attempts before this one.
	waiter         *waiter
	formerAttempts int
	// lastEvent is the ID of the last event that the caller has, and version the software version that wrote it.
	// isStarted is set once it has any.
	lastEvent int64
	version   string
	isStarted bool
	// search looks for a successor; nil for none. successorRuns is the number of successors that may have run the request and
	// whose answers are not used.
	search        *successorSearch
	successorRuns int
	// lost is why the way to the runner is believed lost; nil while it is not.
	lost error
	// reservedAt is when a retry was taken from the budget for what follows the attempt; zero for none.
	reservedAt time.Time
}

// States of sending an attempt.
const (
	sendPending int32 = iota
	sendStarted
	sendRecalled
)

// begin reports whether the request may be sent. Once it returns true the attempt cannot be
// recalled.
func (w *watchdog) begin() bool {
	hasBegun := w.progress.CompareAndSwap(sendPending, sendStarted)
	if hasBegun && w.begun != nil {
		close(w.begun)
	}
	return hasBegun || w.progress.Load() == sendStarted
}

// recall cancels the attempt if nothing has been sent yet, as it may wait long for a connection.
func (w *watchdog) recall() {
	if w.progress.CompareAndSwap(sendPending, sendRecalled) {
		w.cancel(errUnwanted)
	}
}

// mayLeaveRunner reports whether another runner may be tried while the attempt that begins is in
// progress. A trial is the only run of its request.
func (x *exchange) mayLeaveRunner() bool {
	return x.route.MayRepeat() && x.attempts+1 < x.route.MaxAttempts && !x.isTrial
}

// start starts to watch for silence, unless it has begun or the attempt is over.
func (w *watchdog) start() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer == nil && !w.isStopped {
		w.timer = time.AfterFunc(w.exchange.silenceLimit(), w.check)
	}
}

// observe takes over what a successor has to know of the request.
func (w *watchdog) observe(x *exchange) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.waiter, w.formerAttempts = x.waiter, x.attempts
	w.lastEvent, w.version, w.isStarted = x.lastEvent, x.boundVersion, x.isStarted
}

// noteProgress records that the caller has got further events. From the first event on, a stream that is copied may be
// continued elsewhere, so that it does not wait for a silent runner even if it runs only once. Before
// that, its copy may not be complete, and the runner may need long for the prompt.
func (w *watchdog) noteProgress() {
	x := w.exchange
	isCopied := x.handover.HasCopy() && !x.route.MayRepeat()
	w.mutex.Lock()
	w.lastEvent, w.version = x.lastEvent, x.boundVersion
	if isCopied {
		w.isCopied, w.hasLostStandby = true, false
	}
	w.mutex.Unlock()
	if isCopied {
		w.start()
	}
}

// check looks for silence and schedules the next check.
func (w *watchdog) check() {
	w.mutex.Lock()
	if w.isForwarding {
		// Nothing is read from the runner meanwhile.
		w.since = time.Now()
	}
	since, isCopied := w.since, w.isCopied
	w.mutex.Unlock()
	silent := time.Since(since)
	limit := w.exchange.silenceLimit()
	if w.exchange.router.isBusy(w.runner, since) {
		limit = w.exchange.busySilenceLimit()
	}
	again := limit - silent
	if again <= 0 {
		w.endTrickle(limit)
		if isCopied {
			w.leaveForStandby(since)
		} else {
			w.leave(errSilent)
		}
		again = successorRetryDelay
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.isStopped {
		w.timer.Reset(max(time.Millisecond, again))
	}
}

// maxHeadGrowths is the number of checks after the silence limit at which the head of an answer may still have grown.
const maxHeadGrowths = 3

// endTrickle cancels an attempt whose runner has sent parts of a head, or of an event for half of the limit, for so long that it will
// not end, once another one was looked for. A runner that sends nothing at all may go on.
func (w *watchdog) endTrickle(limit time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	isTrickling := w.tricklesHead() || !w.partAt.IsZero() && w.bytesAt.Sub(w.partAt) >= limit/2
	hasSearched := w.hasLostStandby || !w.isCopied && w.search != nil && w.search.winner == nil
	if isTrickling && hasSearched && !w.isStopped {
		w.cancel(errSilent)
	}
}

// tricklesHead reports whether the head of the answer goes on growing. The caller must hold w.mutex.
func (w *watchdog) tricklesHead() bool {
	if w.received == nil {
		return false
	}
	if count := w.received(); count > w.headBytes {
		w.headBytes = count
		w.headGrowths++
	}
	return w.headGrowths > maxHeadGrowths
}

// watchHead sets how many bytes of the answer's head have been received; nil once it is read.
func (w *watchdog) watchHead(received func() int64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.received, w.headBytes, w.headGrowths = received, 0, 0
}

// leave has a repeatable request taken over by a successor.
func (w *watchdog) leave(cause error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.cancelUnsent(cause) {
		w.seek(cause)
	}
}

// leaveLost cancels the attempt if the way to its runner seems lost, the runner is reached on another way, another attempt is left, and the
// budget allows the retry, which it takes: all places of the runner may be held by attempts like this one. It reports whether the
// attempt is cancelled.
func (w *watchdog) leaveLost() bool {
	r := w.exchange.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lost == nil || !w.hasAttempt() || !w.hasOtherPath(w.runner) {
		return false
	}
	takenAt, isTaken := r.takeRepeat(w.exchange.row.Service)
	if !isTaken {
		return false
	}
	w.cancelReserved(w.lost, takenAt)
	return true
}

// hasOtherPath reports whether a runner is reached through a peer, and not on the way of the attempt. The caller must hold the router's
// mutex.
func (w *watchdog) hasOtherPath(id structs.RunnerID) bool {
	r := w.exchange.router
	path := r.peers.paths.Choose(r.now(), id, r.zones.watch.ZoneOf(id), w.wish)
	return !path.IsDirect() && path != w.path
}

// hasAttempt reports whether another attempt is left. The caller must hold w.mutex.
func (w *watchdog) hasAttempt() bool {
	attempts := w.formerAttempts + 1 + w.successorRuns
	if w.search != nil {
		attempts += len(w.search.sent)
	}
	return attempts < w.exchange.route.MaxAttempts
}

// cancelReserved cancels the attempt after a retry was taken from the budget at the given time. The caller must hold w.mutex.
func (w *watchdog) cancelReserved(cause error, takenAt time.Time) {
	if w.isStopped {
		return
	}
	w.reservedAt = takenAt
	w.cancel(cause)
}

// cancelUnsent cancels the attempt if nothing was sent yet, so that nothing can be lost, and reports whether it is cancelled.
func (w *watchdog) cancelUnsent(cause error) bool {
	if w.progress.CompareAndSwap(sendPending, sendRecalled) {
		w.cancel(cause)
	}
	return w.progress.Load() == sendRecalled
}

// cancelLost has a repeatable attempt taken over by another runner because the way to its runner seems lost: open connections may live on,
// so that it is cancelled once that one has begun to answer, or none has room. The caller must hold the router's mutex.
func (w *watchdog) cancelLost(cause error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer == nil || w.isCopied || w.isStopped || w.cancelUnsent(cause) {
		return
	}
	w.lost = cause
	w.seek(cause)
}

// noteBytes records that the runner sent something for the attempt. isPart is set if it did not complete an event, which does not end
// the silence of the runner, as the event may go on without end.
func (w *watchdog) noteBytes(isPart bool) {
	w.mutex.Lock()
	if isPart {
		w.bytesAt = time.Now()
		if w.partAt.IsZero() {
			w.partAt = w.bytesAt
		}
	} else {
		w.partAt = time.Time{}
	}
	w.mutex.Unlock()
	w.exchange.router.observeBytes(w.runner, w.path)
}

// noteEvents records that the runner sent events or comments for the attempt. Only events that were passed on end its silence;
// comments, and events that the caller has, show that it is busy.
func (w *watchdog) noteEvents(hasPassed bool) {
	w.exchange.router.observeEvent(w.runner)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isStarted = true
	if hasPassed {
		w.goOn()
	}
}

// resetSilence restarts the silence timeout: the runner goes on, and no successor is needed.
func (w *watchdog) resetSilence() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.goOn()
}

// goOn is resetSilence for callers that hold w.mutex.
func (w *watchdog) goOn() {
	w.since, w.lost = time.Now(), nil
	if w.search != nil && !w.search.isNeeded() {
		w.dropSearch()
	}
}

// silentSince returns since when the runner has been silent.
func (w *watchdog) silentSince() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.since
}

// silentFor returns for how long the runner has been silent.
func (w *watchdog) silentFor() time.Duration { return time.Since(w.silentSince()) }

// setForwarding records that data of the runner begins or ends to be written to the caller.
func (w *watchdog) setForwarding(isForwarding bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isForwarding = isForwarding
}

// stop ends the watch. A search whose successor is needed goes on.
func (w *watchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isStopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.search != nil && !w.search.isNeeded() {
		w.dropSearch()
	}
}

// end ends the watch of an attempt that has ended, and returns the search whose successor takes its place; nil for none.
func (w *watchdog) end(ended result) *successorSearch {
	defer w.stop()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s := w.search
	switch {
	case s == nil:
	case !ended.isDone && (s.winner != nil || len(s.sent) > 0):
		s.isClaimed = true
		return s
	case s.winner != nil:
		w.search = nil
		w.successorRuns++
		go s.winner.discard(routing.OutcomeNeutral)
	}
	return nil
}

// silenceLimit returns how long a runner that sends nothing at all may be silent.
func (x *exchange) silenceLimit() time.Duration {
	if x.route.Kind == site.KindStream {
		return max(streamSilenceFloor, streamSilencePauses*x.route.MaxPause)
	}
	return max(minSilence, silenceFactor*x.route.Objective)
}

// busySilenceLimit returns how long a busy runner may be silent.
func (x *exchange) busySilenceLimit() time.Duration {
	if x.route.Kind == site.KindStream {
		return x.router.options.MaxWait.of(x.route) * 3 / 4
	}
	return x.silenceLimit()
}
