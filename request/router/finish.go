package router

import (
	"container/heap"
	"time"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// never is the RetryAfter of refusals after which coming back is of no use.
const never time.Duration = -1

// retrySpread is the share by which RetryAfter is lengthened at random, so that
// refused callers do not come back at once.
const retrySpread = 0.1

// spread makes an estimate of when capacity frees into a RetryAfter.
func (c *Core) spread(estimate time.Duration) time.Duration {
	if estimate < 0 || c.mutation == mutationNoRetryAfter {
		return 0
	}
	estimate = max(estimate, MinimumRetryAfter)
	return estimate + time.Duration(retrySpread*c.options.Random.Float64()*float64(estimate))
}

// refuse ends the request with a refusal and its claim accordingly. The estimate is of
// when capacity frees, or never.
func (c *Core) refuse(held *request, kind structs.ErrorKind, message, remedy string, estimate time.Duration) {
	execution := held.execution()
	if c.mutation == mutationClaimNotRun {
		execution = structs.ExecutionNotRun
	}
	c.endClaim(held, execution)
	c.release(held)
	if held.gone {
		return
	}
	problem := structs.Error{Kind: kind, Message: message, Remedy: remedy, RetryAfter: c.spread(estimate)}
	c.stats.Refused++
	c.emit(Refuse{ID: held.ID, Refusal: structs.Refusal{Error: problem, Execution: execution}})
	if c.mutation == mutationTwoTerminals {
		c.emit(Refuse{ID: held.ID, Refusal: structs.Refusal{Error: problem, Execution: execution}})
	}
}

// refuseAs ends the request with the kind, message and remedy of a problem.
func (c *Core) refuseAs(held *request, problem structs.Error, estimate time.Duration) {
	c.refuse(held, problem.Kind, problem.Message, problem.Remedy, estimate)
}

// refuseUnheld ends a request that was not held; nothing of it ran.
func (c *Core) refuseUnheld(id structs.RequestID, problem structs.Error) {
	c.stats.Refused++
	c.emit(Refuse{ID: id, Refusal: structs.Refusal{Error: problem, Execution: structs.ExecutionNotRun}})
}

// refuseUnknown ends a request with a key whose outcome cannot be known.
func (c *Core) refuseUnknown(held *request, message string) {
	c.stats.OutcomeUnknown++
	c.refuse(held, structs.ErrorUnavailable, message,
		"Find out by other means whether it took effect; this key will not run again.", never)
}

// giveUp ends a request after failed attempts.
func (c *Core) giveUp(held *request, message string) {
	if held.execution() == structs.ExecutionUnknown {
		c.refuseUnknown(held, message)
		return
	}
	if c.mutation == mutationHoldGivenUp {
		c.sleepUntil(held, held.DeadlineAt)
		return
	}
	situation := c.situation(held.row, held.Request)
	c.refuse(held, structs.ErrorUnavailable, message, "Come back after the time given.", held.row.estimator.Start(situation))
}

// expire ends a request whose deadline has come.
func (c *Core) expire(held *request) {
	c.stats.Expired++
	if held.phase == phaseRunning {
		c.emit(CancelAttempt{Attempt: held.attempt})
	}
	if held.phase == phaseFetching {
		c.refuseUnfetched(held, true)
		return
	}
	if held.execution() == structs.ExecutionUnknown {
		c.refuseUnknown(held, "the deadline came before the answer was whole")
		return
	}
	situation := c.situation(held.row, held.Request)
	c.refuse(held, structs.ErrorDeadline, "the deadline came before the answer was whole",
		"Come back after the time given, or allow a later deadline.", held.row.estimator.Start(situation))
}

// complete ends a request whose last token was delivered.
func (c *Core) complete(held *request, reason structs.FinishReason) {
	if held.resumedFrom == 0 {
		held.row.estimator.ObserveService(c.now.Sub(held.sentAt), held.delivered)
	}
	c.stats.Finished++
	c.finishClaim(held, reason)
	c.endAttempt(held, routing.OutcomeSuccess)
	c.release(held)
	if held.gone {
		return
	}
	c.emit(Finish{ID: held.ID, Finish: reason})
	if c.mutation == mutationTwoTerminals {
		c.emit(Finish{ID: held.ID, Finish: reason})
	}
}

// callerGone drops a request that nobody waits for. A request with a key that
// may be running goes on, so that its answer can be replayed.
func (c *Core) callerGone(id structs.RequestID) {
	held := c.requests[id]
	if held == nil || held.gone {
		return
	}
	c.stats.CallersGone++
	held.gone = true
	if !held.Repeatable() && held.execution() != structs.ExecutionNotRun {
		return
	}
	if held.phase == phaseRunning {
		c.emit(CancelAttempt{Attempt: held.attempt})
	}
	c.endClaim(held, held.execution())
	c.release(held)
}

// endAttempt frees the slot of the current attempt, if there is one.
func (c *Core) endAttempt(held *request, outcome routing.Outcome) {
	if held.phase != phaseRunning && held.phase != phaseBinding {
		return
	}
	delete(c.attempts, held.attempt)
	held.choice.Done(c.now, outcome)
	held.row.running--
	c.freed = append(c.freed, held.choice.Runner())
	held.phase = phaseBackoff
}

// release stops keeping the request, whatever its phase.
func (c *Core) release(held *request) {
	if held.phase == phaseQueued && held.row.queue != nil && held.row.queue.Remove(held.ID) {
		c.queued--
		held.row.noteWaiting(c.now)
	}
	if held.phase == phaseOffered {
		held.row.offered--
	}
	c.endAttempt(held, routing.OutcomeNeutral)
	c.returnTokens(held)
	delete(c.requests, held.ID)
	heap.Remove(&c.timers, held.position)
	held.row.held--
}
