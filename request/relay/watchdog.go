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

// errSilent is the cause of ending an attempt at a runner that says nothing.
var errSilent = errors.New("the runner was silent for too long")

// watchdog ends an attempt of a request that may be sent elsewhere if its runner is
// silent for too long. A runner that meanwhile sends something else, or has as many
// requests as it can run, is busy rather than lost, and gets more time.
type watchdog struct {
	exchange *exchange
	runner   structs.RunnerID
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	// isRepeated is set if the request was sent before.
	isRepeated bool
	// progress is how far the sending is.
	progress atomic.Int32

	mutex sync.Mutex
	since time.Time
}

// How far the sending of an attempt is.
const (
	sendingNot int32 = iota
	sendingBegun
	sendingRecalled
)

// begin reports whether the request may be sent, and has it not be recalled from then on.
func (w *watchdog) begin() bool {
	return w.progress.CompareAndSwap(sendingNot, sendingBegun) || w.progress.Load() == sendingBegun
}

// recall ends the attempt if nothing has been sent yet: it may wait for a connection for seconds.
func (w *watchdog) recall() {
	if w.progress.CompareAndSwap(sendingNot, sendingRecalled) {
		w.cancel(errUnwanted)
	}
}

func (x *exchange) watch(choice routing.Choice, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{exchange: x, runner: choice.Runner(), cancel: cancel, isRepeated: x.sent > 0, since: time.Now()}
	if x.route.MayRepeat() && x.attempts+1 < x.route.MaxAttempts {
		w.timer = time.AfterFunc(x.silence(), w.look)
	}
	return w
}

// look ends the attempt, or looks again later.
func (w *watchdog) look() {
	w.mutex.Lock()
	since := w.since
	w.mutex.Unlock()
	silent := time.Since(since)
	limit := w.exchange.silence()
	if w.exchange.router.isBusy(w.runner, since) {
		limit = w.exchange.busySilence()
	}
	if silent >= limit {
		w.cancel(errSilent)
		return
	}
	w.timer.Reset(max(time.Millisecond, limit-silent))
}

// leaveZone ends the attempt, if the request may be sent elsewhere: its zone is out of reach.
func (w *watchdog) leaveZone() {
	if w.timer != nil {
		w.cancel(errZoneLost)
	}
}

// heard notes that the attempt's runner sent something for it.
func (w *watchdog) heard() {
	w.exchange.router.heardFrom(w.runner)
	w.heardNow()
}

// heardNow notes the same where the router knows it already.
func (w *watchdog) heardNow() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.since = time.Now()
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// silence is how long a runner that sends nothing at all may be silent.
func (x *exchange) silence() time.Duration {
	if x.route.Kind == site.KindStream {
		return max(streamSilenceFloor, streamSilencePauses*x.route.MaxPause)
	}
	return max(minSilence, silenceFactor*x.route.Objective)
}

// busySilence is how long a runner that sends other answers may be silent.
func (x *exchange) busySilence() time.Duration {
	if x.route.Kind == site.KindStream {
		return x.router.options.Patience.of(x.route) * 3 / 4
	}
	return x.silence()
}
