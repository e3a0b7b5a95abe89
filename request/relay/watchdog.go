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

// watchdog cancels an attempt of a repeatable or copied request whose runner is silent for too long. A runner
// that sends comments, or events for other requests, or has no free slot is considered busy and gets more time.
type watchdog struct {
	exchange *exchange
	runner   structs.RunnerID
	// path is the way to the runner, set before the request is sent.
	path   paths.Path
	cancel context.CancelCauseFunc
	// isRepeated is set if the request was sent before.
	isRepeated bool
	// progress is one of sendPending, sendStarted and sendRecalled.
	progress atomic.Int32

	mutex sync.Mutex
	since time.Time
	// timer is nil while the attempt may not be cancelled.
	timer *time.Timer
	// isForwarding is set while data is written to the caller, who may be slow.
	isForwarding bool
	// standby has the copy of a stream that may run only once; empty for other attempts and before the
	// first event.
	standby structs.RunnerID
	// isStopped is set after the attempt.
	isStopped bool
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
	return w.progress.CompareAndSwap(sendPending, sendStarted) || w.progress.Load() == sendStarted
}

// recall cancels the attempt if nothing has been sent yet, as it may wait long for a connection.
func (w *watchdog) recall() {
	if w.progress.CompareAndSwap(sendPending, sendRecalled) {
		w.cancel(errUnwanted)
	}
}

func (x *exchange) watch(choice routing.Choice, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{exchange: x, runner: choice.Runner(), cancel: cancel, isRepeated: x.sent > 0, since: time.Now()}
	if x.mayLeaveRunner() {
		w.start()
	}
	return w
}

// mayLeaveRunner reports whether another runner may be tried while the attempt that begins is in
// progress.
func (x *exchange) mayLeaveRunner() bool {
	return x.route.MayRepeat() && x.attempts+1 < x.route.MaxAttempts
}

// start starts to watch for silence, unless it has begun or the attempt is over.
func (w *watchdog) start() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer == nil && !w.isStopped {
		w.timer = time.AfterFunc(w.exchange.silenceLimit(), w.check)
	}
}

// noteProgress records that the caller has got further events. From the first event on, a stream that is copied may be
// continued elsewhere, so that it does not wait for a silent runner even if it runs only once. Before
// that, its copy may not be complete, and the runner may need long for the prompt.
func (w *watchdog) noteProgress() {
	x := w.exchange
	if !x.handover.HasCopy() {
		return
	}
	if !x.route.MayRepeat() {
		w.mutex.Lock()
		w.standby = x.copied.standby.Runner()
		w.mutex.Unlock()
	}
	w.start()
}

// mayLeave reports whether the attempt may be canceled while its connection is intact. A stream that may
// run only once waits for its runner unless its standby can take it.
func (w *watchdog) mayLeave() bool {
	w.mutex.Lock()
	standby := w.standby
	w.mutex.Unlock()
	if standby == "" {
		return true
	}
	_, isUsable := w.exchange.router.standbyAt(w.exchange.row, standby)
	return isUsable
}

// check cancels the attempt or schedules the next check.
func (w *watchdog) check() {
	w.mutex.Lock()
	if w.isForwarding {
		// Nothing is read from the runner meanwhile.
		w.since = time.Now()
	}
	since := w.since
	w.mutex.Unlock()
	silent := time.Since(since)
	limit := w.exchange.silenceLimit()
	if w.exchange.router.isBusy(w.runner, since) {
		limit = w.exchange.busySilenceLimit()
	}
	if silent >= limit {
		if w.mayLeave() {
			w.cancel(errSilent)
			return
		}
		silent = 0
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.isStopped {
		w.timer.Reset(max(time.Millisecond, limit-silent))
	}
}

// cancelLost cancels a repeatable attempt because the way to its runner is lost.
func (w *watchdog) cancelLost(cause error) {
	w.mutex.Lock()
	mayCancel := w.timer != nil && w.standby == ""
	w.mutex.Unlock()
	if mayCancel {
		w.cancel(cause)
	}
}

// noteBytes records that the runner sent something for the attempt. Part of an event does not end its silence, as it may go on
// without end.
func (w *watchdog) noteBytes() { w.exchange.router.observeBytes(w.runner, w.path) }

// noteEvents records that the runner sent events or comments for the attempt. Only events that were passed on end its silence;
// comments, and events that the caller has, show that it is busy.
func (w *watchdog) noteEvents(hasPassed bool) {
	w.exchange.router.observeEvent(w.runner)
	if hasPassed {
		w.resetSilence()
	}
}

// resetSilence restarts the silence timeout.
func (w *watchdog) resetSilence() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.since = time.Now()
}

// setForwarding records that data of the runner begins or ends to be written to the caller.
func (w *watchdog) setForwarding(isForwarding bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isForwarding = isForwarding
}

func (w *watchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isStopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
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
