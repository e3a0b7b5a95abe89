package router

import (
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

func (c *Core) attemptStarted(id AttemptID) {
	if req := c.attempts[id]; req != nil {
		req.markAccepted()
	}
}

// markAccepted records that the engine accepted the current attempt.
func (r *request) markAccepted() {
	if !r.accepted {
		r.accepted = true
		r.choice.RecordAccepted()
	}
}

// receiveToken delivers the next token of the current attempt and drops any other token.
// It does not allocate for a repeatable request.
func (c *Core) receiveToken(id AttemptID, token *structs.Token) {
	req := c.attempts[id]
	if req == nil || token.ID != structs.RequestID(id) {
		c.stats.StrayTokens++
		return
	}
	req.markAccepted()
	if token.Index < req.delivered && c.mutation != mutationKeepDuplicates {
		c.stats.DuplicateTokens++
		return
	}
	if !c.continuesStream(req, token) {
		c.stats.BrokenStreams++
		c.emit(CancelAttempt{Attempt: id})
		c.attemptBroke(req)
		return
	}
	c.recordProgress(req)
	c.deliverToken(req, token)
}

// continuesStream reports whether the token is a valid continuation of the stream.
func (c *Core) continuesStream(req *request, token *structs.Token) bool {
	if token.Index > req.delivered && c.mutation != mutationIgnoreGaps {
		return false
	}
	if req.MaxTokens > 0 && token.Index > req.MaxTokens {
		return false
	}
	return token.Finish == "" || token.Finish == structs.FinishStop || token.Finish == structs.FinishLength
}

// deliverToken passes the next token of the stream to the caller.
func (c *Core) deliverToken(req *request, token *structs.Token) {
	req.delivered++
	if !req.Repeatable() {
		req.answer = append(req.answer, token.Text...)
		if len(req.answer)+answerOverhead > c.options.AnswerLimit {
			c.emit(CancelAttempt{Attempt: req.attempt})
			c.rejectUnknown(req, "the answer exceeds the size limit for a request with a key")
			return
		}
	}
	if !req.callerGone {
		c.stats.Delivered++
		c.deliver = Deliver{ID: req.ID, Token: *token}
		c.deliver.Token.ID = req.ID
		c.emit(&c.deliver)
	}
	if token.Finish != "" {
		c.complete(req, token.Finish)
	}
}

// attemptFailed handles an attempt whose stream ended early. A rejection after the engine
// accepted the attempt counts as a broken stream.
func (c *Core) attemptFailed(event AttemptFailed) {
	req := c.attempts[event.Attempt]
	if req == nil {
		return
	}
	if event.Stage == Broken || req.accepted {
		c.attemptBroke(req)
		return
	}
	outcome := routing.OutcomeBroken
	if event.Stage == RejectedByEngine {
		outcome = routing.OutcomeUnavailable
		if event.Error != nil && event.Error.RetryAfter > 0 {
			c.balancer.CoolDown(req.choice.Runner(), c.now.Add(event.Error.RetryAfter))
		}
	}
	c.endAttempt(req, outcome)
	c.retry(req, "no engine accepted the request")
}

// attemptBroke ends an attempt that may have run. A repeatable request resumes on another
// engine. For a request with a key, the engine is asked for the status unless the request
// is known to have run.
func (c *Core) attemptBroke(req *request) {
	attempt := req.attempt
	c.endAttempt(req, routing.OutcomeBroken)
	if req.Repeatable() || c.mutation == mutationRepeatKeyed {
		req.mayHaveRun = req.Repeatable()
		c.retry(req, "the stream broke and could not be resumed")
		return
	}
	if req.hasRun() {
		req.mayHaveRun = true
		c.rejectUnknown(req, "the stream broke or stalled after the request had started")
		return
	}
	req.phase = phaseCheckingStatus
	c.scheduleWake(req, req.DeadlineAt)
	c.emit(CancelAttempt{Attempt: attempt})
	c.askStatus(req)
}

// retry queues the request again after a delay, if attempts, budget and deadline allow.
func (c *Core) retry(req *request, message string) {
	req.phase = phaseBackoff
	req.avoid = req.choice.Runner()
	if req.callerGone {
		c.endClaim(req, req.execution())
		c.untrack(req)
		return
	}
	if req.attempts >= c.options.AttemptLimit || !req.row.budget.Withdraw() {
		c.giveUp(req, message)
		return
	}
	delay := routing.Backoff(c.options.Random, c.options.BackoffBase, c.options.BackoffLimit, req.attempts)
	when := c.now.Add(delay)
	if !when.Before(req.DeadlineAt) {
		c.giveUp(req, message)
		return
	}
	c.stats.Retries++
	c.scheduleWake(req, when)
}

// askStatus asks the engine to cancel the broken attempt and report its status.
func (c *Core) askStatus(req *request) {
	req.statusAsks++
	c.emit(AskStatus{
		ID:      req.ID,
		Attempt: req.attempt,
		Runner:  req.choice.Runner(),
		Address: req.choice.Address(),
	})
}

// answered reports whether the engine returned a status of this attempt.
func (s StatusReplied) answered() bool {
	return s.Error == nil && s.Status != nil && s.Status.ID == structs.RequestID(s.Attempt)
}

// statusReplied retries a broken attempt with a key if it certainly did not run.
func (c *Core) statusReplied(event StatusReplied) {
	if event.Peek {
		c.peekReplied(event)
		return
	}
	req := c.requests[event.ID]
	if req == nil || req.phase != phaseCheckingStatus || req.attempt != event.Attempt {
		return
	}
	if !event.answered() {
		c.retryStatus(req)
		return
	}
	status := event.Status
	sameIncarnation := status.Incarnation == req.choice.Incarnation()
	neverStarted := !status.Started && status.Tokens == 0
	switch {
	case sameIncarnation && neverStarted && (status.State == structs.RunUnknown || status.State == structs.RunCancelled):
		c.retry(req, "no engine accepted the request")
	case sameIncarnation && (status.State == structs.RunQueued || status.State == structs.RunRunning):
		c.retryStatus(req)
	default:
		c.rejectUnknown(req, "the stream broke and the engine does not know whether the request ran to completion")
	}
}

// retryStatus asks the engine again after a delay, up to StatusLimit times.
func (c *Core) retryStatus(req *request) {
	if req.statusAsks >= c.options.StatusLimit {
		c.rejectUnknown(req, "the stream broke and the engine could not be asked whether the request ran")
		return
	}
	delay := routing.Backoff(c.options.Random, c.options.BackoffBase, c.options.BackoffLimit, req.statusAsks)
	c.scheduleWake(req, c.now.Add(delay))
}
