package router

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// arrive rejects a new request, forwards it, claims its key or queues it.
func (c *Core) arrive(incoming structs.Request) {
	if _, exists := c.requests[incoming.ID]; exists {
		c.stats.DuplicateArrivals++
		return
	}
	c.stats.Arrived++
	if incoming.DeadlineAt.IsZero() {
		incoming.DeadlineAt = c.now.Add(c.options.DefaultDeadline)
	}
	incoming.Priority = min(max(incoming.Priority, structs.PriorityBatch), structs.PriorityLive)
	if problem := c.admissionError(incoming); problem != nil {
		c.rejectUntracked(incoming.ID, *problem)
		return
	}
	target := c.rows[incoming.Row]
	if target == nil || !target.listed {
		c.rejectUntracked(incoming.ID, notFound(incoming.Row))
		return
	}
	if c.rejectOfferIfBusy(incoming, target) {
		return
	}
	c.activate(target)
	if target.limit > 0 && !c.roleLost(target) && c.offer(incoming, target) {
		target.budget.Deposit()
		return
	}
	c.recordArrival(target)
	defer c.updateUrgency(target)
	if c.endIfNotServed(incoming, target) {
		return
	}
	target.budget.Deposit()
	req := c.track(incoming, target)
	if req.Repeatable() {
		c.admit(req)
		c.endIfWaiting(req)
		return
	}
	if c.claimWithRunner(req) {
		return
	}
	req.phase = phaseClaiming
	c.beginClaim(req)
}

// admissionError checks the conditions that do not depend on the row.
func (c *Core) admissionError(incoming structs.Request) *structs.Error {
	switch {
	case c.draining:
		problem := structs.NewError(structs.ErrorUnavailable, "this router is shutting down", "Send the request to another router.")
		problem.RetryAfter = MinRetryAfter
		return problem
	case !incoming.DeadlineAt.After(c.now):
		problem := structs.NewError(structs.ErrorDeadline, "the deadline has passed already", "Send the request with a later deadline.")
		problem.RetryAfter = MinRetryAfter
		return problem
	case len(c.requests) >= c.options.TotalLimit && !c.shedBatch(incoming.Priority):
		problem := structs.NewError(structs.ErrorOverloaded, "this router has reached its request limit", "Retry after the given delay, or use another router.")
		problem.RetryAfter = c.retryAfter(c.estimatedService(incoming))
		return problem
	}
	return nil
}

// estimatedService estimates the service time of the request.
func (c *Core) estimatedService(incoming structs.Request) time.Duration {
	if target := c.rows[incoming.Row]; target != nil && target.estimator != nil {
		return target.estimator.Service(incoming.MaxTokens)
	}
	return admission.NewEstimator(c.options.Estimator).Service(incoming.MaxTokens)
}

// shedBatch rejects the newest waiting batch request of any row to admit a live one; it
// reports whether there was one.
func (c *Core) shedBatch(priority structs.Priority) bool {
	if priority != structs.PriorityLive {
		return false
	}
	var newest admission.Item
	for _, current := range c.activeRows() {
		if current.queue == nil {
			continue
		}
		item, ok := current.queue.Newest(structs.PriorityBatch)
		if ok && !item.QueuedAt.Before(newest.QueuedAt) {
			newest = item
		}
	}
	if newest.ID == "" {
		return false
	}
	c.stats.Displaced++
	c.rejectOverload(c.requests[newest.ID], "the request was displaced by a live request")
	return true
}

// endIfNotServed forwards or rejects a request for a row that this zone may not load or
// has no runner for. It reports whether the request ended.
func (c *Core) endIfNotServed(incoming structs.Request, target *row) bool {
	lost := c.roleLost(target)
	if target.limit > 0 && !lost || c.balancer.Ready(target.Name) > 0 {
		return false
	}
	switch {
	case target.MaxReplicas <= 0:
		c.rejectUntracked(incoming.ID, *structs.NewError(structs.ErrorLimit,
			fmt.Sprintf("row %s may have no replica", target.Name),
			"Raise max_replicas of the row."))
	case lost && (incoming.Forwarded || len(target.elsewhere) == 0):
		c.rejectUntracked(incoming.ID, c.noRunner(target))
	case len(target.elsewhere) == 0:
		return false
	case !incoming.Forwarded:
		c.forward(incoming.ID, target.elsewhere)
	default:
		problem := structs.NewError(structs.ErrorUnavailable,
			fmt.Sprintf("row %s has just moved to zone %s", target.Name, target.elsewhere[0]),
			"Retry after the given delay.")
		problem.RetryAfter = c.retryAfter(0)
		c.rejectUntracked(incoming.ID, *problem)
	}
	return true
}

func (c *Core) forward(id structs.RequestID, zones []structs.ZoneID) {
	c.stats.Forwarded++
	c.emit(Forward{ID: id, Zones: zones})
}

// forwardFailed rejects a forwarded request that no zone answered completely.
func (c *Core) forwardFailed(event ForwardFailed) {
	rejection := structs.Rejection{
		Error: structs.Error{
			Kind:       structs.ErrorUnavailable,
			Message:    "the zone that serves this request cannot be reached",
			Remedy:     "Retry after the given delay, with the same key if there is one.",
			RetryAfter: c.retryAfter(0),
		},
		Execution: structs.ExecutionNotRun,
	}
	if event.Error != nil && event.Error.RetryAfter > 0 {
		rejection.Error.RetryAfter = max(event.Error.RetryAfter, MinRetryAfter)
	}
	if event.Stage == Broken && event.Repeatable {
		rejection.Execution = structs.ExecutionPartial
	}
	if event.Stage == Broken && !event.Repeatable {
		rejection.Execution = structs.ExecutionUnknown
	}
	c.emit(Reject{ID: event.ID, Rejection: rejection})
	c.stats.Rejected++
}

// track adds the request to those held.
func (c *Core) track(incoming structs.Request, target *row) *request {
	req := &request{Request: incoming, row: target, wakeAt: incoming.DeadlineAt}
	req.hashPrompt()
	c.requests[req.ID] = req
	heap.Push(&c.timers, req)
	target.requestCount++
	return req
}

// admit queues a request for the first time, unless it is expected to miss its deadline.
// The waiting time of a request includes the time it was offered to other zones.
func (c *Core) admit(req *request) {
	req.phase = phaseQueued
	if req.queuedAt.IsZero() {
		req.queuedAt = c.now
	}
	if c.endIfRowRemoved(req) {
		return
	}
	if wait, ok := c.takeTokens(req); !ok {
		c.stats.OverTokens++
		c.reject(req, structs.ErrorLimit, "the caller or the row has used its tokens",
			"Retry after the given delay, or have an operator raise the limit.", wait)
		return
	}
	state := c.queueState(req.row, req.Request)
	req.estimatedWait = req.row.estimator.Start(state)
	maxWait := req.DeadlineAt.Sub(c.now)
	if finish := req.row.estimator.Finish(state); finish >= maxWait {
		c.stats.RejectedEarly++
		c.reject(req, structs.ErrorDeadline, "the request would be answered after its deadline",
			"Retry after the given delay, or allow a later deadline.", max(req.estimatedWait, finish-maxWait))
		return
	}
	c.enqueue(req)
}

// enqueue adds the request to the queue of its row and rejects the request that the queue
// displaces.
func (c *Core) enqueue(req *request) {
	req.phase = phaseQueued
	if c.endIfRowRemoved(req) {
		return
	}
	c.activate(req.row)
	if req.row.queue.Len() == 0 {
		req.row.virtualTime = max(req.row.virtualTime, c.virtualTime)
	}
	shed, verdict := req.row.queue.Push(admission.Item{
		ID:         req.ID,
		Caller:     req.Caller,
		Priority:   req.Priority,
		QueuedAt:   req.queuedAt,
		DeadlineAt: req.DeadlineAt,
	})
	switch verdict {
	case admission.Queued:
		c.queued++
		req.row.updateBusy(c.now)
		req.row.estimator.ObserveArrival(c.now, req.Priority)
	case admission.QueuedDisplacing:
		c.stats.Displaced++
		req.row.estimator.ObserveArrival(c.now, req.Priority)
		c.rejectOverload(c.requests[shed.ID], "the request was displaced by a live request")
	case admission.FullQueue:
		c.rejectOverload(req, "the queue of the row is full")
		return
	case admission.FullCaller:
		c.rejectOverload(req, "the caller has too many requests waiting for the row")
		return
	}
	c.dispatchRow(req.row)
}

func (c *Core) rejectOverload(req *request, message string) {
	state := c.queueState(req.row, req.Request)
	c.reject(req, structs.ErrorOverloaded, message, "Retry after the given delay.", req.row.estimator.Start(state))
}

// endIfRowRemoved rejects a waiting request whose row was removed from the table.
func (c *Core) endIfRowRemoved(req *request) bool {
	if req.row.listed {
		return false
	}
	c.rejectAs(req, notFound(req.Row), noRetry)
	return true
}

func notFound(name structs.RowName) structs.Error {
	return *structs.NewError(structs.ErrorNotFound,
		fmt.Sprintf("the table has no row %q", name),
		"Name a row of the table as the model, or have an operator add it.")
}
