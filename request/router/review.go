package router

import (
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// reviewWaiting refuses the waiting requests that are not expected to be answered
// before their deadline any more.
func (c *Core) reviewWaiting() {
	for _, candidate := range c.activeRows() {
		if candidate.waiting() == 0 || c.now.Before(candidate.reviewAt) || c.mutation == mutationNoReview {
			continue
		}
		candidate.reviewAt = c.now.Add(reviewInterval)
		c.review(candidate)
	}
}

// lateRequest is a request that would be answered too late, and when its caller
// may come back.
type lateRequest struct {
	request    *request
	retryAfter time.Duration
}

// review checks one row by the same estimate as at the arrival.
func (c *Core) review(waiting *row) {
	situation := c.situation(waiting, structs.Request{})
	var late []lateRequest
	waiting.queue.EachAhead(func(item admission.Item, ahead int) bool {
		situation.Ahead = ahead
		situation.Priority = item.Priority
		by := c.now.Add(waiting.estimator.Finish(situation)).Sub(item.DeadlineAt)
		if by > 0 {
			late = append(late, lateRequest{c.requests[item.ID], max(by, waiting.estimator.Start(situation))})
		}
		return by <= 0
	})
	for _, found := range late {
		c.refuseEarly(found.request, found.retryAfter)
	}
}

// refuseTooLate ends a request that would end after its deadline if it started now, so
// that its turn goes to another one that waits; it reports whether it did.
func (c *Core) refuseTooLate(waiting *row, next *request) bool {
	if waiting.waiting() < 2 || next.attempts > 0 || !waiting.estimator.Observed() || c.mutation == mutationNoReview {
		return false
	}
	by := c.now.Add(waiting.estimator.Service(next.MaxTokens)).Sub(next.DeadlineAt)
	if by <= 0 {
		return false
	}
	c.refuseEarly(next, max(by, waiting.estimator.Start(c.situation(waiting, next.Request))))
	return true
}

func (c *Core) refuseEarly(late *request, retryAfter time.Duration) {
	c.stats.RefusedEarly++
	c.refuse(late, structs.ErrorDeadline, "the request would be answered after its deadline",
		"Come back after the time given, or allow a later deadline.", retryAfter)
}
