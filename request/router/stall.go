package router

import (
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// An engine that took a request and sends nothing is not seen as a broken
// stream. A router therefore bounds the wait for the first token and for each
// next one by what the row's streams usually need (admission.Pace).
//
// A repeatable request is cancelled and resumed elsewhere, if attempts and budget
// allow. Otherwise, and for a request with a key, the engine is asked without
// cancelling. While it says that it makes tokens, it is waited for. If it makes none,
// a repeatable request is refused at once, unless the budget has a retry by now. With
// a key, what has started can only end as outcome_unknown, and does so at once. The
// rest is cancelled and asked about again: once the engine has confirmed that it
// certainly did not run, it is sent elsewhere under the same claim, or refused.

// stallPerPromptByte is what each byte of a prompt adds to the longest wait for
// the first token.
const stallPerPromptByte = 50 * time.Microsecond

// peekLimit bounds the wait for an engine's word about a silent attempt; a shell that
// gives up on the engine earlier says so.
const peekLimit = 3 * time.Second

// stallQueueShare bounds the time allowed for waiting at the engine to this part
// of the time that the request had when it was sent.
const stallQueueShare = 4

// AttemptPaused says that the shell has stopped reading the attempt's stream
// because the caller is slow, or that it goes on. A paused stream does not stall.
type AttemptPaused struct {
	Attempt AttemptID
	Paused  bool
}

func (AttemptPaused) event() {}

func (c *Core) attemptPaused(event AttemptPaused) {
	held := c.attempts[event.Attempt]
	if held == nil {
		return
	}
	held.paused = event.Paused
	held.peeking = false
	held.heardAt = c.now
}

// awaitsFirst reports whether the current attempt has given no token yet.
func (r *request) awaitsFirst() bool { return r.delivered <= r.resumedFrom }

// pace is that of what the current attempt is waited for: its first or its next token.
func (r *request) pace() *admission.TimeoutEstimator {
	if r.awaitsFirst() {
		return &r.row.first
	}
	return &r.row.gap
}

// stallLimit is how long the current attempt may go on without a token. Before the
// first one it may have to wait at its engine for another request to end: without
// an allowance for that, every burst looks like a stall.
func (c *Core) stallLimit(held *request) time.Duration {
	if !held.awaitsFirst() {
		return held.row.gap.Timeout(c.options.StallFloor, c.options.StallCeiling)
	}
	waiting := min(held.row.estimator.Service(held.MaxTokens), held.DeadlineAt.Sub(held.sentAt)/stallQueueShare)
	ceiling := c.options.StallCeiling + time.Duration(len(held.Prompt))*stallPerPromptByte
	return waiting + held.row.first.Timeout(c.options.StallFloor, ceiling)
}

// watch sets when Tick looks whether the attempt has stalled.
func (c *Core) watch(held *request) {
	held.peeking = false
	held.peekedTokens = 0
	held.started = false
	c.sleepUntil(held, held.heardAt.Add(c.stallLimit(held)))
}

// hear records the time of a token. Only the first one sets the timer anew, because
// the wait for it may be far longer than the next; checkStall looks again later.
func (c *Core) hear(held *request) {
	held.pace().Observe(c.now.Sub(held.heardAt))
	held.heardAt = c.now
	held.peeking = false
	if held.awaitsFirst() {
		c.sleepUntil(held, c.now.Add(held.row.gap.Timeout(c.options.StallFloor, c.options.StallCeiling)))
	}
}

// checkStall looks whether the current attempt has been silent for too long.
func (c *Core) checkStall(held *request) {
	limit := c.stallLimit(held)
	if held.paused {
		held.heardAt = c.now
	}
	if c.now.Sub(held.heardAt) < limit {
		c.watch(held)
		return
	}
	if held.peeking || held.Repeatable() && c.mayRetry(held) {
		c.leaveSilent(held)
		return
	}
	c.peek(held)
	c.sleepUntil(held, c.now.Add(peekLimit))
}

// leaveSilent gives the current attempt up. attemptBroke cancels it too if it asks
// the engine about it.
func (c *Core) leaveSilent(held *request) {
	c.stats.Stalls++
	held.pace().RecordTimeout()
	if held.Repeatable() || held.ran() {
		c.emit(CancelAttempt{Attempt: held.attempt})
	}
	c.attemptBroke(held)
}

// mayRetry reports whether another attempt would be allowed now.
func (c *Core) mayRetry(held *request) bool {
	return held.attempts < c.options.AttemptLimit && held.row.budget.Covers()
}

// peek asks the engine about a silent attempt without cancelling it.
func (c *Core) peek(held *request) {
	held.peeking = true
	c.emit(AskStatus{
		ID:      held.ID,
		Attempt: held.attempt,
		Runner:  held.choice.Runner(),
		Address: held.choice.Address(),
		Peek:    true,
	})
}

// peeked decides about an attempt that has been silent since its engine was asked:
// one that makes progress there is waited for, any other is given up.
func (c *Core) peeked(event StatusReplied) {
	held := c.attempts[event.Attempt]
	if held == nil || !held.peeking {
		return
	}
	held.peeking = false
	status := event.Status
	if event.answered() && status.Incarnation == held.choice.Incarnation() {
		held.started = status.Started || status.Tokens > 0
		if status.State == structs.RunRunning && status.Tokens > max(held.delivered, held.peekedTokens) {
			held.peekedTokens = status.Tokens
			c.sleepUntil(held, c.now.Add(c.stallLimit(held)))
			return
		}
	}
	c.leaveSilent(held)
}
