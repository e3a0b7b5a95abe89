package router

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// noRetry is the retry estimate of rejections that should not be retried.
const noRetry time.Duration = -1

// retryJitter is the maximum random extension of RetryAfter, as a fraction, so that
// rejected callers do not retry simultaneously.
const retryJitter = 0.1

// retryAfter returns the RetryAfter for an estimate of when capacity becomes available.
func (c *Core) retryAfter(estimate time.Duration) time.Duration {
	if estimate < 0 || c.mutation == mutationNoRetryAfter {
		return 0
	}
	estimate = max(estimate, MinRetryAfter)
	return estimate + time.Duration(retryJitter*c.options.Random.Float64()*float64(estimate))
}

// reject ends the request and its claim. estimate is when capacity becomes available, or
// noRetry.
func (c *Core) reject(req *request, kind structs.ErrorKind, message, remedy string, estimate time.Duration) {
	execution := req.execution()
	if c.mutation == mutationReportNotRun {
		execution = structs.ExecutionNotRun
	}
	c.endClaim(req, execution)
	c.untrack(req)
	if req.callerGone {
		return
	}
	problem := structs.Error{Kind: kind, Message: message, Remedy: remedy, RetryAfter: c.retryAfter(estimate)}
	c.stats.Rejected++
	c.emit(Reject{ID: req.ID, Rejection: structs.Rejection{Error: problem, Execution: execution}})
	if c.mutation == mutationTwoTerminals {
		c.emit(Reject{ID: req.ID, Rejection: structs.Rejection{Error: problem, Execution: execution}})
	}
}

// rejectAs rejects the request with the kind, message and remedy of a problem.
func (c *Core) rejectAs(req *request, problem structs.Error, estimate time.Duration) {
	c.reject(req, problem.Kind, problem.Message, problem.Remedy, estimate)
}

// rejectUntracked rejects a request that is not held; none of it ran.
func (c *Core) rejectUntracked(id structs.RequestID, problem structs.Error) {
	c.stats.Rejected++
	c.emit(Reject{ID: id, Rejection: structs.Rejection{Error: problem, Execution: structs.ExecutionNotRun}})
}

// rejectUnknown rejects a request with a key whose outcome is unknown.
func (c *Core) rejectUnknown(req *request, message string) {
	c.stats.OutcomeUnknown++
	c.reject(req, structs.ErrorUnavailable, message,
		"Find out by other means whether it took effect; this key will not run again.", noRetry)
}

// giveUp rejects a request after failed attempts.
func (c *Core) giveUp(req *request, message string) {
	if req.execution() == structs.ExecutionUnknown {
		c.rejectUnknown(req, message)
		return
	}
	if c.mutation == mutationDelayFailure {
		c.scheduleWake(req, req.DeadlineAt)
		return
	}
	state := c.queueState(req.row, req.Request)
	c.reject(req, structs.ErrorUnavailable, message, "Retry after the given delay.", req.row.estimator.Start(state))
}

// expire rejects a request whose deadline has passed.
func (c *Core) expire(req *request) {
	c.stats.Expired++
	if req.phase == phaseRunning {
		c.emit(CancelAttempt{Attempt: req.attempt})
	}
	if req.phase == phaseFetching {
		c.rejectWithoutAnswer(req, true)
		return
	}
	if req.execution() == structs.ExecutionUnknown {
		c.rejectUnknown(req, "the deadline passed before the answer was complete")
		return
	}
	state := c.queueState(req.row, req.Request)
	c.reject(req, structs.ErrorDeadline, "the deadline passed before the answer was complete",
		"Retry after the given delay, or allow a later deadline.", req.row.estimator.Start(state))
}

// complete finishes a request whose last token was delivered.
func (c *Core) complete(req *request, reason structs.FinishReason) {
	if req.resumedFrom == 0 {
		req.row.estimator.ObserveService(c.now.Sub(req.sentAt), req.delivered)
	}
	c.stats.Finished++
	c.finishClaim(req, reason)
	c.endAttempt(req, routing.OutcomeSuccess)
	c.untrack(req)
	if req.callerGone {
		return
	}
	c.emit(Finish{ID: req.ID, Finish: reason})
	if c.mutation == mutationTwoTerminals {
		c.emit(Finish{ID: req.ID, Finish: reason})
	}
}

// callerGone drops a request whose caller disconnected. A request with a key that may be
// running continues, so that its answer can be replayed.
func (c *Core) callerGone(id structs.RequestID) {
	req := c.requests[id]
	if req == nil || req.callerGone {
		return
	}
	c.stats.CallersGone++
	req.callerGone = true
	if !req.Repeatable() && req.execution() != structs.ExecutionNotRun {
		return
	}
	if req.phase == phaseRunning {
		c.emit(CancelAttempt{Attempt: req.attempt})
	}
	c.endClaim(req, req.execution())
	c.untrack(req)
}

// drainCut drops all requests as if their callers were gone, in one step: the place that one of
// them leaves must not go to another that was refused as not run.
func (c *Core) drainCut() {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		c.callerGone(id)
	}
}

// endAttempt frees the slot of the current attempt, if there is one.
func (c *Core) endAttempt(req *request, outcome routing.Outcome) {
	if req.phase != phaseRunning && req.phase != phaseBinding {
		return
	}
	delete(c.attempts, req.attempt)
	req.choice.Done(c.now, outcome)
	req.row.running--
	c.freedRunners = append(c.freedRunners, req.choice.Runner())
	req.phase = phaseBackoff
}

// untrack removes the request from those held, in any phase.
func (c *Core) untrack(req *request) {
	if req.phase == phaseQueued && req.row.queue != nil && req.row.queue.Remove(req.ID) {
		c.queued--
		req.row.updateBusy(c.now)
	}
	if req.phase == phaseOffered {
		req.row.offered--
	}
	c.endAttempt(req, routing.OutcomeNeutral)
	c.returnTokens(req)
	delete(c.requests, req.ID)
	heap.Remove(&c.timers, req.position)
	req.row.requestCount--
}
