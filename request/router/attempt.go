package router

import (
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// attemptStarted notes that the engine took the attempt.
func (c *Core) attemptStarted(id AttemptID) {
	if held := c.attempts[id]; held != nil {
		held.accept()
	}
}

// accept notes that the engine took the current attempt.
func (r *request) accept() {
	if !r.accepted {
		r.accepted = true
		r.choice.Took()
	}
}

// receiveToken delivers the next token of the current attempt and nothing else.
// It allocates nothing for a repeatable request.
func (c *Core) receiveToken(id AttemptID, token *structs.Token) {
	held := c.attempts[id]
	if held == nil || token.ID != structs.RequestID(id) {
		c.stats.StrayTokens++
		return
	}
	held.accept()
	if token.Index < held.delivered && c.mutation != mutationKeepDuplicates {
		c.stats.DuplicateTokens++
		return
	}
	if !c.wellFormed(held, token) {
		c.stats.BrokenStreams++
		c.emit(CancelAttempt{Attempt: id})
		c.attemptBroke(held)
		return
	}
	c.hear(held)
	c.deliverToken(held, token)
}

// wellFormed reports whether the token continues the stream.
func (c *Core) wellFormed(held *request, token *structs.Token) bool {
	if token.Index > held.delivered && c.mutation != mutationIgnoreGaps {
		return false
	}
	if held.MaxTokens > 0 && token.Index > held.MaxTokens {
		return false
	}
	return token.Finish == "" || token.Finish == structs.FinishStop || token.Finish == structs.FinishLength
}

// deliverToken hands the caller a token that continues the stream.
func (c *Core) deliverToken(held *request, token *structs.Token) {
	held.delivered++
	if !held.Repeatable() {
		held.answer = append(held.answer, token.Text...)
		if len(held.answer)+answerOverhead > c.options.AnswerLimit {
			c.emit(CancelAttempt{Attempt: held.attempt})
			c.refuseUnknown(held, "the answer is longer than can be kept for its key")
			return
		}
	}
	if !held.gone {
		c.stats.Delivered++
		c.deliver = Deliver{ID: held.ID, Token: *token}
		c.deliver.Token.ID = held.ID
		c.emit(&c.deliver)
	}
	if token.Finish != "" {
		c.complete(held, token.Finish)
	}
}

// attemptFailed decides what becomes of a request whose stream ended early. An
// engine that had accepted the attempt cannot have refused it.
func (c *Core) attemptFailed(event AttemptFailed) {
	held := c.attempts[event.Attempt]
	if held == nil {
		return
	}
	if event.Stage == Broken || held.accepted {
		c.attemptBroke(held)
		return
	}
	outcome := routing.OutcomeBroken
	if event.Stage == RefusedByEngine {
		outcome = routing.OutcomeRefused
		if event.Error != nil && event.Error.RetryAfter > 0 {
			c.balancer.Rest(held.choice.Runner(), c.now.Add(event.Error.RetryAfter))
		}
	}
	c.endAttempt(held, outcome)
	c.retry(held, "no engine took the request")
}

// attemptBroke ends an attempt that may have run. A repeatable request resumes
// elsewhere; for one with a key the engine is asked, unless it is known that it ran.
func (c *Core) attemptBroke(held *request) {
	attempt := held.attempt
	c.endAttempt(held, routing.OutcomeBroken)
	if held.Repeatable() || c.mutation == mutationRepeatKeyed {
		held.uncertain = held.Repeatable()
		c.retry(held, "the stream broke and could not be resumed")
		return
	}
	if held.ran() {
		held.uncertain = true
		c.refuseUnknown(held, "the stream broke or fell silent after the request had started")
		return
	}
	held.phase = phaseAsking
	c.sleepUntil(held, held.DeadlineAt)
	c.emit(CancelAttempt{Attempt: attempt})
	c.askStatus(held)
}

// retry queues the request again after a delay, if attempts, budget and deadline allow.
func (c *Core) retry(held *request, message string) {
	held.phase = phaseBackoff
	held.avoid = held.choice.Runner()
	if held.gone {
		c.endClaim(held, held.execution())
		c.release(held)
		return
	}
	if held.attempts >= c.options.AttemptLimit || !held.row.budget.Withdraw() {
		c.giveUp(held, message)
		return
	}
	delay := routing.Backoff(c.options.Random, c.options.BackoffBase, c.options.BackoffLimit, held.attempts)
	when := c.now.Add(delay)
	if !when.Before(held.DeadlineAt) {
		c.giveUp(held, message)
		return
	}
	c.stats.Retries++
	c.sleepUntil(held, when)
}

// askStatus has the engine cancel the broken attempt and say what became of it.
func (c *Core) askStatus(held *request) {
	held.statusAsks++
	c.emit(AskStatus{
		ID:      held.ID,
		Attempt: held.attempt,
		Runner:  held.choice.Runner(),
		Address: held.choice.Address(),
	})
}

// answered reports whether the engine said what it knows of this attempt.
func (s StatusReplied) answered() bool {
	return s.Error == nil && s.Status != nil && s.Status.ID == structs.RequestID(s.Attempt)
}

// statusReplied decides whether a broken attempt with a key certainly did not run.
func (c *Core) statusReplied(event StatusReplied) {
	if event.Peek {
		c.peeked(event)
		return
	}
	held := c.requests[event.ID]
	if held == nil || held.phase != phaseAsking || held.attempt != event.Attempt {
		return
	}
	if !event.answered() {
		c.askAgain(held)
		return
	}
	status := event.Status
	sameLife := status.Incarnation == held.choice.Incarnation()
	neverStarted := !status.Started && status.Tokens == 0
	switch {
	case sameLife && neverStarted && (status.State == structs.RunUnknown || status.State == structs.RunCancelled):
		c.retry(held, "no engine took the request")
	case sameLife && (status.State == structs.RunQueued || status.State == structs.RunRunning):
		c.askAgain(held)
	default:
		c.refuseUnknown(held, "the stream broke and the engine does not know whether the request ran whole")
	}
}

// askAgain asks the engine once more after a delay, a bounded number of times.
func (c *Core) askAgain(held *request) {
	if held.statusAsks >= c.options.StatusLimit {
		c.refuseUnknown(held, "the stream broke and the engine could not be asked whether the request ran")
		return
	}
	delay := routing.Backoff(c.options.Random, c.options.BackoffBase, c.options.BackoffLimit, held.statusAsks)
	c.sleepUntil(held, c.now.Add(delay))
}
