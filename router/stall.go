package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// An engine that took a request and sends nothing is not seen as a broken
// stream. A router therefore bounds the wait for the first token and for each
// next one by what the row's streams usually need (admission.Pace).
//
// A repeatable request is cancelled and resumed elsewhere, if attempts and budget
// allow; otherwise the wait goes on. For a request with a key the engine is asked
// without cancelling: what certainly has not started is cancelled, and sent again
// once the engine has confirmed that; what has started is waited for, because it
// could only end as outcome_unknown.

// stallPerPromptByte is what each byte of a prompt adds to the longest wait for
// the first token.
const stallPerPromptByte = 50 * time.Microsecond

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
	held.heardAt = c.now
}

// stallLimit is how long the current attempt may go on without a token. Before the
// first one it may have to wait at its engine for another request to end: without
// an allowance for that, every burst looks like a stall.
func (c *Core) stallLimit(held *request) time.Duration {
	if held.delivered > held.resumedFrom {
		return held.row.gap.Limit(c.options.StallFloor, c.options.StallCeiling)
	}
	waiting := min(held.row.estimator.Service(held.MaxTokens), held.DeadlineAt.Sub(held.sentAt)/stallQueueShare)
	ceiling := c.options.StallCeiling + time.Duration(len(held.Prompt))*stallPerPromptByte
	return waiting + held.row.first.Limit(c.options.StallFloor, ceiling)
}

// watch sets when Tick looks whether the attempt has stalled.
func (c *Core) watch(held *request) {
	c.sleepUntil(held, held.heardAt.Add(c.stallLimit(held)))
}

// hear records the time of a token. It sets no timer: checkStall looks again later.
func (c *Core) hear(held *request) {
	since := c.now.Sub(held.heardAt)
	if held.delivered > held.resumedFrom {
		held.row.gap.Observe(since)
	} else {
		held.row.first.Observe(since)
	}
	held.heardAt = c.now
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
	switch {
	case held.Repeatable() && c.mayRetry(held):
		c.stalled(held)
		c.emit(CancelAttempt{Attempt: held.attempt})
		c.attemptBroke(held)
	case !held.Repeatable() && held.delivered == 0:
		c.peek(held)
		c.sleepUntil(held, c.now.Add(limit))
	default:
		c.sleepUntil(held, c.now.Add(limit))
	}
}

func (c *Core) stalled(held *request) {
	c.stats.Stalls++
	if held.delivered > held.resumedFrom {
		held.row.gap.Silent()
		return
	}
	held.row.first.Silent()
}

// mayRetry reports whether another attempt would be allowed now.
func (c *Core) mayRetry(held *request) bool {
	return held.attempts < c.options.AttemptLimit && held.row.budget.Covers()
}

// peek asks the engine about a silent attempt without cancelling it.
func (c *Core) peek(held *request) {
	c.emit(AskStatus{
		ID:      held.ID,
		Attempt: held.attempt,
		Runner:  held.choice.Runner(),
		Address: held.choice.Address(),
		Peek:    true,
	})
}

// peeked decides about a silent attempt with a key: one that has not started is
// cancelled, which fences its ID, and asked about again.
func (c *Core) peeked(event StatusReplied) {
	held := c.attempts[event.Attempt]
	if held == nil || held.delivered > 0 || !c.mayRetry(held) {
		return
	}
	status := event.Status
	if event.Error != nil || status == nil || status.ID != structs.RequestID(event.Attempt) {
		return
	}
	sameLife := status.Incarnation == held.choice.Incarnation()
	if sameLife && (status.Started || status.Tokens > 0) {
		return
	}
	c.stalled(held)
	c.attemptBroke(held)
}
