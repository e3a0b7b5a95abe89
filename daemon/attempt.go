package daemon

import (
	"context"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// attempt is one request under way at one engine.
type attempt struct {
	effect router.SendAttempt
	call   *call
	cancel context.CancelFunc
}

// cancelTimeout bounds telling an engine that nobody waits for a request.
const cancelTimeout = 2 * time.Second

// startAttempt sends an attempt to its engine. It is called under the lock.
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

// cancelAttempt ends the attempt's stream and tells the engine. It is called under
// the lock.
func (r *requestRouter) cancelAttempt(id router.AttemptID) {
	target, known := r.attempts[id]
	if !known {
		return
	}
	target.cancel()
	r.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		// The engine also ends requests whose stream is closed, so that a lost
		// cancellation costs time at the engine and nothing else.
		_, _ = r.engines.Cancel(ctx, target.effect.Address, structs.RequestID(id))
	})
}

// runAttempt carries an attempt out and tells the core what comes of it.
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
		r.awaitCaller(ctx, current)
	}
}

// awaitCaller blocks while the caller is slow. The core is told, so that it does
// not take the stream that is not read for one that stalled.
func (r *requestRouter) awaitCaller(ctx context.Context, current *attempt) {
	if current.call == nil || current.call.hasSpace() {
		return
	}
	r.step(router.AttemptPaused{Attempt: current.effect.Attempt, Paused: true})
	current.call.awaitSpace(ctx)
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

// stageOf translates how far a call to an engine got.
func stageOf(err error) router.FailureStage {
	switch engineapi.StageOf(err) {
	case engineapi.StageNotSent:
		return router.NotSent
	case engineapi.StageRefused:
		return router.RejectedByEngine
	}
	return router.Broken
}

// askStatus fences the attempt's ID at the engine by cancelling it, unless it only
// peeks, then reports what the engine knows of it.
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
