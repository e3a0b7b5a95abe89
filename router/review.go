package router

import (
	"time"

	"github.com/lotusferry/lotusferry/admission"
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
		c.stats.RefusedEarly++
		c.refuse(found.request, structs.ErrorDeadline, "the request would be answered after its deadline",
			"Come back after the time given, or allow a later deadline.", found.retryAfter)
	}
}
