package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

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
	attempt.Begin, attempt.Used, attempt.Connected = d.watchdog.begin, &x.used, d.watchdog.watchHead
	d.answer, d.err = x.router.options.Backend.Send(d.ctx, attempt)
	d.watchdog.watchHead(nil)
	if d.err == nil {
		x.router.observeAnswer(d.choice, d.watchdog.path, d.sentAt, d.answer)
	}
}

// begins reports whether the runner has begun to answer the request itself: neither with a rejection nor with a failure of its own,
// and with a stream if the caller has a part of one.
func (d *dispatch) begins(isStarted bool) bool {
	switch {
	case d.err != nil || d.answer.NotRun || d.answer.NotHeld:
		return false
	case d.answer.isFailure():
		return !isStarted && d.answer.Status < http.StatusInternalServerError
	case isStarted:
		return d.answer.Signed && d.answer.IsStream && d.answer.Status == http.StatusOK
	}
	return d.answer.Signed
}

// readAhead reads an answer that is no stream before another attempt is withdrawn for it: it may break off. Of one larger than
// maxBuffered the beginning is read.
func (d *dispatch) readAhead() {
	if d.err != nil || d.answer.IsStream {
		return
	}
	begun, err := io.ReadAll(io.LimitReader(d.answer.Body, maxBuffered))
	if err != nil {
		d.err = err
		return
	}
	d.answer.Body = &resumedBody{io.MultiReader(bytes.NewReader(begun), d.answer.Body), d.answer.Body}
}

// resumedBody is a body whose beginning was read before.
type resumedBody struct {
	io.Reader
	io.Closer
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
