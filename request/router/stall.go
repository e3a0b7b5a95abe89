package router

import (
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// Stall detection: a stalled engine does not break its stream, so the router limits
// the wait for the first and for each later token by the usual waits of the row
// (admission.TimeoutEstimator).
//
// A stalled attempt of a repeatable request is cancelled and resumed on another
// engine, if attempts and budget allow. Otherwise, and for a request with a key, the
// engine is asked for the status without cancelling, and awaited while it reports
// progress. Without progress, a repeatable request is rejected unless the budget now
// allows a retry. A request with a key that has started is rejected as
// outcome_unknown; one that has not is cancelled and the status requested again. Once
// the engine confirms that it certainly did not run, it is retried under the same
// claim, or rejected.

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

// stallTimeout returns how long the current attempt may go without a token. Before the
// first token it includes an allowance for queueing at the engine; otherwise bursts would
// look like stalls.
func (c *Core) stallTimeout(req *request) time.Duration {
	if !req.awaitsFirstToken() {
		return req.row.tokenGap.Timeout(c.options.StallFloor, c.options.StallCeiling)
	}
	waiting := min(req.row.estimator.Service(req.MaxTokens), req.DeadlineAt.Sub(req.sentAt)/stallQueueDivisor)
	ceiling := c.options.StallCeiling + time.Duration(len(req.Prompt))*stallPerPromptByte
	return waiting + req.row.firstToken.Timeout(c.options.StallFloor, ceiling)
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
	if req.peeking || req.Repeatable() && c.mayRetry(req) {
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

// mayRetry reports whether another attempt is allowed now.
func (c *Core) mayRetry(req *request) bool {
	return req.attempts < c.options.AttemptLimit && req.row.budget.Covers()
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

// peekReplied keeps waiting for a stalled attempt that makes progress at its engine, and
// abandons any other.
func (c *Core) peekReplied(event StatusReplied) {
	req := c.attempts[event.Attempt]
	if req == nil || !req.peeking {
		return
	}
	req.peeking = false
	status := event.Status
	if event.answered() && status.Incarnation == req.choice.Incarnation() {
		req.started = status.Started || status.Tokens > 0
		if status.State == structs.RunRunning && status.Tokens > max(req.delivered, req.peekedTokens) {
			req.peekedTokens = status.Tokens
			c.scheduleWake(req, c.now.Add(c.stallTimeout(req)))
			return
		}
	}
	c.abandonStalled(req)
}
