package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/routing"
)

// dispatch is one send of a request to a runner, up to the head of the answer.
type dispatch struct {
	exchange *exchange
	choice   routing.Choice
	watchdog *watchdog
	// ctx ends with the dispatch.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// unregister removes the attempt from those in progress.
	unregister func()
	sentAt     time.Time
	// answer and err are the result.
	answer *Answer
	err    error
}

// newDispatch returns a dispatch of the request within the parent context. It must be closed.
func (x *exchange) newDispatch(parent context.Context, choice routing.Choice, w *watchdog) *dispatch {
	ctx, cancel := context.WithCancelCause(parent)
	w.exchange, w.runner, w.parent, w.cancel = x, choice.Runner(), parent, cancel
	w.resetSilence()
	return &dispatch{exchange: x, choice: choice, watchdog: w, ctx: ctx, cancel: cancel}
}

// register adds the attempt to those in progress. It reports whether the runner still accepts requests.
func (d *dispatch) register() bool {
	d.unregister = d.exchange.router.beginAttempt(d.choice, d.watchdog)
	return !errors.Is(context.Cause(d.ctx), errUnwanted)
}

// send sends the attempt, adding the runner and the way to it, and waits for the head of the answer.
func (d *dispatch) send(attempt *Attempt) {
	x := d.exchange
	d.sentAt = x.router.now()
	attempt.Request, attempt.Service = x.request, x.row.Service
	attempt.Instance, attempt.Address, attempt.Peer = string(d.choice.Runner()), d.choice.Address(), d.watchdog.path.Peer
	attempt.Wait, attempt.Priority, attempt.Tenant, attempt.HidesKey = x.runnerTime(), x.priority, x.tenantName(), x.hidesKey
	attempt.Begin, attempt.Used = d.watchdog.begin, &x.used
	d.answer, d.err = x.router.options.Backend.Send(d.ctx, attempt)
	if d.err == nil {
		x.router.observeAnswer(d.choice, d.watchdog.path, d.sentAt, d.answer)
	}
}

// begins reports whether the runner has begun to answer the request itself: neither with a rejection nor with a failure, and with a
// stream where one is due.
func (d *dispatch) begins() bool {
	if d.err != nil || d.answer.NotRun || d.answer.NotHeld {
		return false
	}
	if d.exchange.route.Kind == site.KindStream {
		return d.answer.Signed && d.answer.IsStream && d.answer.Status == http.StatusOK
	}
	return d.answer.isFailure() && d.answer.Status < http.StatusInternalServerError || d.answer.Signed && !d.answer.isFailure()
}

// close ends the dispatch.
func (d *dispatch) close() {
	if d.answer != nil {
		_ = d.answer.Body.Close()
	}
	d.watchdog.stop()
	if d.unregister != nil {
		d.unregister()
	}
	d.cancel(nil)
}
