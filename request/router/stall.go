package router

import (
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// Stall detection: a stalled engine does not break its stream, so the router limits
// the wait for the first and for each later token by the usual waits of the row
// (admission.TimeoutEstimator).
//
// A stalled attempt of a repeatable request is cancelled and resumed on another
// engine, if attempts and budget allow and another engine has capacity. Otherwise, and
// for a request with a key, the engine is asked for the status without cancelling, and
// awaited while it reports progress. A sound engine may be silent for a while, so a
// repeatable request that it still reports as queued or running remains there, and the
// engine is asked again at intervals, until the request can be resumed elsewhere or the
// silence reaches silenceLimit. An engine that does not answer, was restarted or does not
// hold the request is given up: the request is retried, or rejected if no retry is
// allowed. A request with a key that has started and makes no progress is rejected as
// outcome_unknown; one that has not is cancelled and the status requested again. Once the
// engine confirms that it certainly did not run, it is retried under the same claim, or
// rejected.

// stallPerPromptByte is added to the stall timeout of the first token for each byte of
// the prompt.
const stallPerPromptByte = 50 * time.Microsecond

// peekTimeout limits the wait for the status of a stalled attempt. The driver may report
// a failure earlier.
const peekTimeout = 3 * time.Second

// stallQueueDivisor limits the allowance for queueing at the engine to this part of the
// time between sending and deadline.
const stallQueueDivisor = 4

// AttemptPaused reports that the driver has stopped reading the stream of the attempt
// because the caller is slow, or has resumed reading it. A paused stream does not stall.
type AttemptPaused struct {
	Attempt AttemptID
	Paused  bool
}

func (AttemptPaused) event() {}

func (c *Core) attemptPaused(event AttemptPaused) {
	req := c.attempts[event.Attempt]
	if req == nil {
		return
	}
	req.paused = event.Paused
	req.peeking = false
	req.lastProgressAt = c.now
}

// awaitsFirstToken reports whether the current attempt has returned no token yet.
func (r *request) awaitsFirstToken() bool { return r.delivered <= r.resumedFrom }

// timeoutEstimator returns the estimator for the next token of the current attempt.
func (r *request) timeoutEstimator() *admission.TimeoutEstimator {
	if r.awaitsFirstToken() {
		return &r.row.firstToken
	}
	return &r.row.tokenGap
}

// stallTimeout returns how long the current attempt may go without a token before it
// counts as stalled.
func (c *Core) stallTimeout(req *request) time.Duration {
	return c.queueAllowance(req) + req.timeoutEstimator().Timeout(c.options.StallFloor, c.stallCeiling(req))
}

// silenceLimit returns how long the current attempt may go without a token while its
// engine reports it as queued or running. It does not depend on earlier waits.
func (c *Core) silenceLimit(req *request) time.Duration {
	return c.queueAllowance(req) + c.stallCeiling(req)
}

// queueAllowance returns the allowance for queueing at the engine before the first token;
// without it, bursts would look like stalls.
func (c *Core) queueAllowance(req *request) time.Duration {
	if !req.awaitsFirstToken() {
		return 0
	}
	return min(req.row.estimator.Service(req.MaxTokens), req.DeadlineAt.Sub(req.sentAt)/stallQueueDivisor)
}

// stallCeiling returns the upper limit of the learned part of stallTimeout.
func (c *Core) stallCeiling(req *request) time.Duration {
	if !req.awaitsFirstToken() {
		return c.options.StallCeiling
	}
	return c.options.StallCeiling + time.Duration(len(req.Prompt))*stallPerPromptByte
}

// scheduleStallCheck schedules the next stall check of the attempt.
func (c *Core) scheduleStallCheck(req *request) {
	req.peeking = false
	req.peekedTokens = 0
	req.started = false
	c.scheduleWake(req, req.lastProgressAt.Add(c.stallTimeout(req)))
}

// recordProgress records the arrival of a token. Only the first one resets the timer,
// because the timeout of the first token may be much longer than that of the next;
// otherwise checkStall reschedules itself.
func (c *Core) recordProgress(req *request) {
	req.timeoutEstimator().Observe(c.now.Sub(req.lastProgressAt))
	req.lastProgressAt = c.now
	req.peeking = false
	if req.awaitsFirstToken() {
		c.scheduleWake(req, c.now.Add(req.row.tokenGap.Timeout(c.options.StallFloor, c.options.StallCeiling)))
	}
}

// checkStall handles a current attempt that has returned no token within the timeout.
func (c *Core) checkStall(req *request) {
	limit := c.stallTimeout(req)
	if req.paused {
		req.lastProgressAt = c.now
	}
	if c.now.Sub(req.lastProgressAt) < limit {
		c.scheduleStallCheck(req)
		return
	}
	if req.peeking || c.mayResumeElsewhere(req) {
		c.abandonStalled(req)
		return
	}
	c.peek(req)
	c.scheduleWake(req, c.now.Add(peekTimeout))
}

// abandonStalled abandons the current attempt. If attemptBroke asks for the status, it
// cancels the attempt itself.
func (c *Core) abandonStalled(req *request) {
	c.stats.Stalls++
	req.timeoutEstimator().RecordTimeout()
	if req.Repeatable() || req.hasRun() {
		c.emit(CancelAttempt{Attempt: req.attempt})
	}
	c.attemptBroke(req)
}

// mayResumeElsewhere reports whether a repeatable request may be sent to another engine
// now, and before its deadline after any delay.
func (c *Core) mayResumeElsewhere(req *request) bool {
	if !req.Repeatable() || req.attempts >= c.options.AttemptLimit || !req.row.budget.Covers() {
		return false
	}
	if !c.now.Add(c.options.BackoffLimit).Before(req.DeadlineAt) {
		return false
	}
	return c.balancer.HasUsable(c.now, req.row.Name, &routing.Work{Avoid: req.choice.Runner()})
}

// peek asks the engine for the status of a stalled attempt without cancelling it.
func (c *Core) peek(req *request) {
	req.peeking = true
	c.emit(AskStatus{
		ID:      req.ID,
		Attempt: req.attempt,
		Runner:  req.choice.Runner(),
		Address: req.choice.Address(),
		Peek:    true,
	})
}

// peekReplied keeps waiting for a stalled attempt that may still continue at its engine,
// and abandons any other.
func (c *Core) peekReplied(event StatusReplied) {
	req := c.attempts[event.Attempt]
	if req == nil || !req.peeking {
		return
	}
	req.peeking = false
	if event.answered() && event.Status.Incarnation == req.choice.Incarnation() {
		req.started = event.Status.Started || event.Status.Tokens > 0
		if req.recordPeek(event.Status) {
			c.scheduleWake(req, c.now.Add(c.stallTimeout(req)))
			return
		}
		if c.mayContinue(req, event.Status) {
			c.schedulePeek(req)
			return
		}
	}
	c.abandonStalled(req)
}

// recordPeek reports whether the engine has made tokens that are not known yet.
func (r *request) recordPeek(status *structs.RequestStatus) bool {
	if status.State != structs.RunRunning || status.Tokens <= max(r.delivered, r.peekedTokens) {
		return false
	}
	r.peekedTokens = status.Tokens
	return true
}

// mayContinue reports whether a repeatable request that makes no progress remains at its
// engine, which still holds it. It does not if tokens that the engine reported before have
// not arrived since: then they, or the stream, are lost.
func (c *Core) mayContinue(req *request, status *structs.RequestStatus) bool {
	if !req.Repeatable() || status.State != structs.RunQueued && status.State != structs.RunRunning {
		return false
	}
	isSilentTooLong := c.now.Sub(req.lastProgressAt) >= c.silenceLimit(req)
	return !isSilentTooLong && status.Tokens <= req.delivered && !c.mayResumeElsewhere(req)
}

// schedulePeek schedules the next status request about a silent attempt, at the latest
// when the silence reaches its limit.
func (c *Core) schedulePeek(req *request) {
	next := c.now.Add(c.stallTimeout(req))
	if limit := req.lastProgressAt.Add(c.silenceLimit(req)); limit.Before(next) {
		next = limit
	}
	c.scheduleWake(req, next)
}
