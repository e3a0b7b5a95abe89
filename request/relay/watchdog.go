package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// errSilent is the cancellation cause of an attempt at a silent runner.
var errSilent = errors.New("the runner sent nothing for too long")

// watchdog cancels an attempt of a repeatable request whose runner is silent for too long. A runner
// that sends data for other requests or has no free slot is considered busy and gets more time.
type watchdog struct {
	exchange *exchange
	runner   structs.RunnerID
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	// isRepeated is set if the request was sent before.
	isRepeated bool
	// progress is one of sendPending, sendStarted and sendRecalled.
	progress atomic.Int32

	mutex sync.Mutex
	since time.Time
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
	if x.route.MayRepeat() && x.attempts+1 < x.route.MaxAttempts {
		w.timer = time.AfterFunc(x.silenceLimit(), w.check)
	}
	return w
}

// check cancels the attempt or schedules the next check.
func (w *watchdog) check() {
	w.mutex.Lock()
	since := w.since
	w.mutex.Unlock()
	silent := time.Since(since)
	limit := w.exchange.silenceLimit()
	if w.exchange.router.isBusy(w.runner, since) {
		limit = w.exchange.busySilenceLimit()
	}
	if silent >= limit {
		w.cancel(errSilent)
		return
	}
	w.timer.Reset(max(time.Millisecond, limit-silent))
}

// cancelZoneLost cancels a repeatable attempt because its zone is unreachable.
func (w *watchdog) cancelZoneLost() {
	if w.timer != nil {
		w.cancel(errZoneLost)
	}
}

// noteActivity records that the runner sent data for the attempt.
func (w *watchdog) noteActivity() {
	w.exchange.router.observeData(w.runner)
	w.resetSilence()
}

// resetSilence restarts the silence timeout.
func (w *watchdog) resetSilence() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.since = time.Now()
}

func (w *watchdog) stop() {
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

// busySilenceLimit returns how long a runner that sends data for other requests may be silent.
func (x *exchange) busySilenceLimit() time.Duration {
	if x.route.Kind == site.KindStream {
		return x.router.options.MaxWait.of(x.route) * 3 / 4
	}
	return x.silenceLimit()
}
