package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// lateDetectionBound limits how long a request that is known to start too late may wait:
// the next review at a Tick rejects it.
const lateDetectionBound = reviewInterval + pollInterval

// checkNoDelay checks after each step that no rejection is delayed. Signs of a delay are a
// request that waits only for its deadline, and a failure reported by a Tick that ends no
// attempt of the request.
func (w *simulation) checkNoDelay(event Event, effects []Effect) {
	if _, isTick := event.(Tick); isTick {
		w.checkTick(effects)
	}
	for id, req := range w.core.requests {
		if req.phase == phaseBackoff && !req.wakeAt.Before(req.DeadlineAt) {
			w.violate("no-delay", "%s waits only for its deadline", id)
		}
		w.checkKnownLate(req)
	}
}

func (w *simulation) checkTick(effects []Effect) {
	ended := map[structs.RequestID]bool{}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case CancelAttempt:
			ended[effect.Attempt.Request()] = true
		case Reject:
			failed := effect.Rejection.Error.Kind == structs.ErrorUnavailable
			if failed && effect.Rejection.Execution != structs.ExecutionUnknown && !ended[effect.ID] {
				w.violate("no-delay", "%s was refused by a Tick: %s", effect.ID, effect.Rejection.Error.Message)
			}
		}
	}
}

// checkKnownLate checks that a waiting request is rejected once it is estimated to start
// too late even at the head of the queue.
func (w *simulation) checkKnownLate(req *request) {
	target := w.requests[req.ID]
	if req.phase != phaseQueued || w.now.Add(w.earliestStart(req)).Before(req.DeadlineAt) {
		target.lateSince = time.Time{}
		return
	}
	if target.lateSince.IsZero() {
		target.lateSince = w.now
	}
	if known := w.now.Sub(target.lateSince); known > lateDetectionBound {
		w.violate("no-delay", "%s waits %v after it was known to start too late", req.ID, known)
	}
}

func (w *simulation) earliestStart(req *request) time.Duration {
	next := w.core.queueState(req.row, structs.Request{Priority: structs.PriorityLive})
	next.Ahead = 0
	return req.row.estimator.Start(next)
}
