package router

import (
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// reviewWaiting rejects the waiting requests that are expected to miss their deadline.
func (c *Core) reviewWaiting() {
	for _, candidate := range c.activeRows() {
		if candidate.waiting() == 0 || c.now.Before(candidate.reviewAt) || c.mutation == mutationNoReview {
			continue
		}
		candidate.reviewAt = c.now.Add(reviewInterval)
		c.review(candidate)
	}
}

// lateRequest is a request that would miss its deadline, and its RetryAfter.
type lateRequest struct {
	request    *request
	retryAfter time.Duration
}

// review checks the waiting requests of a row with the estimate used at admission.
func (c *Core) review(waiting *row) {
	state := c.queueState(waiting, structs.Request{})
	var late []lateRequest
	waiting.queue.EachAhead(func(item admission.Item, ahead int) bool {
		state.Ahead = ahead
		state.Priority = item.Priority
		by := c.now.Add(waiting.estimator.Finish(state)).Sub(item.DeadlineAt)
		if by > 0 {
			late = append(late, lateRequest{c.requests[item.ID], max(by, waiting.estimator.Start(state))})
		}
		return by <= 0
	})
	for _, found := range late {
		c.rejectEarly(found.request, found.retryAfter)
	}
}

// rejectTooLate rejects a request that would miss its deadline even if it started now, so
// that its slot goes to another waiting request. It reports whether it did.
func (c *Core) rejectTooLate(waiting *row, next *request) bool {
	if waiting.waiting() < 2 || next.attempts > 0 || !waiting.estimator.Observed() || c.mutation == mutationNoReview {
		return false
	}
	by := c.now.Add(waiting.estimator.Service(next.MaxTokens)).Sub(next.DeadlineAt)
	if by <= 0 {
		return false
	}
	c.rejectEarly(next, max(by, waiting.estimator.Start(c.queueState(waiting, next.Request))))
	return true
}

func (c *Core) rejectEarly(late *request, retryAfter time.Duration) {
	c.stats.RejectedEarly++
	c.reject(late, structs.ErrorDeadline, "the request would be answered after its deadline",
		"Retry after the given delay, or allow a later deadline.", retryAfter)
}
