package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// lateKnownBound is how long a waiting request may be known to start too late: the
// next review finds it, at a Tick.
const lateKnownBound = reviewInterval + pollInterval

// checkAtOnce checks after each step that the core holds back no answer. A request
// that was given up would be one that waits for nothing but its deadline, or is refused
// as failed by a Tick that ends no attempt of it: what made it fail came earlier.
func (w *world) checkAtOnce(event Event, effects []Effect) {
	if _, isTick := event.(Tick); isTick {
		w.checkTick(effects)
	}
	for id, held := range w.core.requests {
		if held.phase == phaseBackoff && !held.wakeAt.Before(held.DeadlineAt) {
			w.violate("at-once", "%s waits for nothing but its deadline", id)
		}
		w.checkKnownLate(held)
	}
}

func (w *world) checkTick(effects []Effect) {
	ended := map[structs.RequestID]bool{}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case CancelAttempt:
			ended[effect.Attempt.Request()] = true
		case Refuse:
			failed := effect.Refusal.Error.Kind == structs.ErrorUnavailable
			if failed && effect.Refusal.Execution != structs.ExecutionUnknown && !ended[effect.ID] {
				w.violate("at-once", "%s was refused by a Tick: %s", effect.ID, effect.Refusal.Error.Message)
			}
		}
	}
}

// checkKnownLate checks that a waiting request is refused once the estimate says
// that it would start too late even as the next one.
func (w *world) checkKnownLate(held *request) {
	target := w.requests[held.ID]
	if held.phase != phaseQueued || w.now.Add(w.earliestStart(held)).Before(held.DeadlineAt) {
		target.lateSince = time.Time{}
		return
	}
	if target.lateSince.IsZero() {
		target.lateSince = w.now
	}
	if known := w.now.Sub(target.lateSince); known > lateKnownBound {
		w.violate("at-once", "%s waits %v after it was known to start too late", held.ID, known)
	}
}

func (w *world) earliestStart(held *request) time.Duration {
	next := w.core.situation(held.row, structs.Request{Priority: structs.PriorityLive})
	next.Ahead = 0
	return held.row.estimator.Start(next)
}
