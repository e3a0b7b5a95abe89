package daemon

import (
	"context"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// attempt is a request in progress at one engine.
type attempt struct {
	effect router.SendAttempt
	call   *call
	cancel context.CancelFunc
}

// cancelTimeout bounds a cancel or status call to an engine.
const cancelTimeout = 2 * time.Second

// startAttempt sends an attempt to its engine. The caller must hold r.mutex.
func (r *requestRouter) startAttempt(effect router.SendAttempt) {
	ctx, cancel := context.WithCancel(r.ctx)
	started := &attempt{effect: effect, call: r.calls[effect.Attempt.Request()], cancel: cancel}
	if started.call != nil {
		r.metrics.sentAt(started.call, time.Now())
		started.call.sent = true
	}
	r.attempts[effect.Attempt] = started
	r.use(effect.Runner, effect.Address)
	r.background(func(context.Context) {
		defer cancel()
		r.runAttempt(ctx, started)
	})
}

// cancelAttempt closes the attempt's stream and cancels it at the engine. The caller
// must hold r.mutex.
func (r *requestRouter) cancelAttempt(id router.AttemptID) {
	target, known := r.attempts[id]
	if !known {
		return
	}
	target.cancel()
	r.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		// Errors are ignored: the engine also aborts a request whose stream is closed,
		// so a lost cancellation only wastes engine time.
		_, _ = r.engines.Cancel(ctx, target.effect.Address, structs.RequestID(id))
	})
}

// runAttempt runs an attempt and reports its outcome to the core.
func (r *requestRouter) runAttempt(ctx context.Context, current *attempt) {
	id := current.effect.Attempt
	defer r.forgetAttempt(id)
	stream, err := r.engines.Generate(ctx, current.effect.Address, current.effect.Generate)
	if err != nil {
		r.step(router.AttemptFailed{Attempt: id, Stage: stageOf(err), Error: structs.AsTyped(err)})
		return
	}
	defer stream.Close()
	r.step(router.AttemptStarted{Attempt: id})
	r.observeLoad(current, stream)
	for {
		token, err := stream.Next()
		if err != nil {
			r.step(router.AttemptFailed{Attempt: id, Stage: stageOf(err), Error: structs.AsTyped(err)})
			return
		}
		r.step(router.TokenReceived{Attempt: id, Token: token})
		if token.Finish != "" {
			r.observeLoad(current, stream)
			return
		}
		r.waitForCaller(ctx, current)
	}
}

// waitForCaller blocks until the caller's buffer has room. It tells the core, which would
// otherwise treat the unread stream as stalled.
func (r *requestRouter) waitForCaller(ctx context.Context, current *attempt) {
	if current.call == nil || current.call.hasSpace() {
		return
	}
	r.step(router.AttemptPaused{Attempt: current.effect.Attempt, Paused: true})
	current.call.waitForSpace(ctx)
	r.step(router.AttemptPaused{Attempt: current.effect.Attempt, Paused: false})
}

func (r *requestRouter) observeLoad(current *attempt, stream *engineapi.Stream) {
	if report, known := stream.Load(); known {
		r.step(router.LoadObserved{Runner: current.effect.Runner, Report: report})
	}
}

func (r *requestRouter) forgetAttempt(id router.AttemptID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.attempts, id)
}

// stageOf returns the stage at which a call to an engine failed.
func stageOf(err error) router.FailureStage {
	switch engineapi.StageOf(err) {
	case engineapi.StageNotSent:
		return router.NotSent
	case engineapi.StageRefused:
		return router.RejectedByEngine
	}
	return router.Broken
}

// askStatus reports to the core what the engine knows of the attempt. Unless
// effect.Peek is set, it first cancels the attempt's ID, so that the engine rejects it
// from then on.
func (r *requestRouter) askStatus(ctx context.Context, effect router.AskStatus) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	reply := router.StatusReplied{ID: effect.ID, Attempt: effect.Attempt, Peek: effect.Peek}
	status, err := r.engines.Status(ctx, effect.Address, structs.RequestID(effect.Attempt), !effect.Peek)
	if err != nil {
		reply.Error = structs.AsTyped(err)
	} else {
		reply.Status = &status
	}
	r.step(reply)
}
