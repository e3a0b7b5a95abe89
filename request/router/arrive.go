package router

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// arrive decides about a new request: refuse it, forward it, claim its key or
// queue it.
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
	if problem := c.cannotTake(incoming); problem != nil {
		c.refuseUnheld(incoming.ID, *problem)
		return
	}
	wanted := c.rows[incoming.Row]
	if wanted == nil || !wanted.listed {
		c.refuseUnheld(incoming.ID, notFound(incoming.Row))
		return
	}
	if c.refusesOffer(incoming, wanted) {
		return
	}
	c.activate(wanted)
	if wanted.limit > 0 && !c.roleLost(wanted) && c.offer(incoming, wanted) {
		wanted.budget.Deposit()
		return
	}
	c.noteDemand(wanted)
	defer c.noteUrgent(wanted)
	if c.notServedHere(incoming, wanted) {
		return
	}
	wanted.budget.Deposit()
	held := c.hold(incoming, wanted)
	if held.Repeatable() {
		c.admit(held)
		c.endIfWaiting(held)
		return
	}
	if c.claimWithRunner(held) {
		return
	}
	held.phase = phaseClaiming
	c.beginClaim(held)
}

// cannotTake checks what does not depend on the row.
func (c *Core) cannotTake(incoming structs.Request) *structs.Error {
	switch {
	case c.draining:
		problem := structs.NewError(structs.ErrorUnavailable, "this router is stopping", "Send the request to another router.")
		problem.RetryAfter = MinimumRetryAfter
		return problem
	case !incoming.DeadlineAt.After(c.now):
		problem := structs.NewError(structs.ErrorDeadline, "the deadline has passed already", "Send the request with a later deadline.")
		problem.RetryAfter = MinimumRetryAfter
		return problem
	case len(c.requests) >= c.options.TotalLimit && !c.shedBatch(incoming.Priority):
		problem := structs.NewError(structs.ErrorOverloaded, "this router holds as many requests as it may", "Come back after the time given, or ask another router.")
		problem.RetryAfter = c.spread(c.serviceOf(incoming))
		return problem
	}
	return nil
}

// serviceOf estimates how long a request like this one is held.
func (c *Core) serviceOf(incoming structs.Request) time.Duration {
	if wanted := c.rows[incoming.Row]; wanted != nil && wanted.estimator != nil {
		return wanted.estimator.Service(incoming.MaxTokens)
	}
	return admission.NewEstimator(c.options.Estimator).Service(incoming.MaxTokens)
}

// shedBatch refuses the newest waiting batch request of all rows to make room for
// a live one; it reports whether there was one.
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
	c.refuseOverload(c.requests[newest.ID], "the request made room for a live one")
	return true
}

// notServedHere ends a request for a row that this zone may not load or has no
// runner for.
func (c *Core) notServedHere(incoming structs.Request, wanted *row) bool {
	lost := c.roleLost(wanted)
	if wanted.limit > 0 && !lost || c.balancer.Ready(wanted.Name) > 0 {
		return false
	}
	switch {
	case wanted.MaxReplicas <= 0:
		c.refuseUnheld(incoming.ID, *structs.NewError(structs.ErrorLimit,
			fmt.Sprintf("row %s may have no replica", wanted.Name),
			"Raise max_replicas of the row."))
	case lost && (incoming.Forwarded || len(wanted.elsewhere) == 0):
		c.refuseUnheld(incoming.ID, c.noRunner(wanted))
	case len(wanted.elsewhere) == 0:
		return false
	case !incoming.Forwarded:
		c.forward(incoming.ID, wanted.elsewhere)
	default:
		problem := structs.NewError(structs.ErrorUnavailable,
			fmt.Sprintf("row %s has just moved to zone %s", wanted.Name, wanted.elsewhere[0]),
			"Come back after the time given.")
		problem.RetryAfter = c.spread(0)
		c.refuseUnheld(incoming.ID, *problem)
	}
	return true
}

func (c *Core) forward(id structs.RequestID, zones []structs.ZoneID) {
	c.stats.Forwarded++
	c.emit(Forward{ID: id, Zones: zones})
}

// forwardFailed ends a forwarded request that no zone answered in whole.
func (c *Core) forwardFailed(event ForwardFailed) {
	refusal := structs.Refusal{
		Error: structs.Error{
			Kind:       structs.ErrorUnavailable,
			Message:    "the zone that serves this request cannot be reached",
			Remedy:     "Come back after the time given, with the same key if there is one.",
			RetryAfter: c.spread(0),
		},
		Execution: structs.ExecutionNotRun,
	}
	if event.Error != nil && event.Error.RetryAfter > 0 {
		refusal.Error.RetryAfter = max(event.Error.RetryAfter, MinimumRetryAfter)
	}
	if event.Stage == Broken && event.Repeatable {
		refusal.Execution = structs.ExecutionPartial
	}
	if event.Stage == Broken && !event.Repeatable {
		refusal.Execution = structs.ExecutionUnknown
	}
	c.emit(Refuse{ID: event.ID, Refusal: refusal})
	c.stats.Refused++
}

// hold starts to keep the request.
func (c *Core) hold(incoming structs.Request, wanted *row) *request {
	held := &request{Request: incoming, row: wanted, wakeAt: incoming.DeadlineAt}
	held.hashPrompt()
	c.requests[held.ID] = held
	heap.Push(&c.timers, held)
	wanted.held++
	return held
}

// admit queues a request for the first time, unless it would start too late. One
// that was offered to another zone has waited since then.
func (c *Core) admit(held *request) {
	held.phase = phaseQueued
	if held.queuedAt.IsZero() {
		held.queuedAt = c.now
	}
	if c.endIfRowGone(held) {
		return
	}
	if wait, ok := c.takeTokens(held); !ok {
		c.stats.OverTokens++
		c.refuse(held, structs.ErrorLimit, "the caller or the row has used its tokens",
			"Come back after the time given, or have an operator raise the limit.", wait)
		return
	}
	situation := c.situation(held.row, held.Request)
	held.estimated = held.row.estimator.Start(situation)
	patience := held.DeadlineAt.Sub(c.now)
	if finish := held.row.estimator.Finish(situation); finish >= patience {
		c.stats.RefusedEarly++
		c.refuse(held, structs.ErrorDeadline, "the request would be answered after its deadline",
			"Come back after the time given, or allow a later deadline.", max(held.estimated, finish-patience))
		return
	}
	c.enqueue(held)
}

// enqueue puts the request in its row's queue; what the queue sheds is refused.
func (c *Core) enqueue(held *request) {
	held.phase = phaseQueued
	if c.endIfRowGone(held) {
		return
	}
	c.activate(held.row)
	if held.row.queue.Len() == 0 {
		held.row.turns = max(held.row.turns, c.rowTurns)
	}
	shed, verdict := held.row.queue.Push(admission.Item{
		ID:         held.ID,
		Caller:     held.Caller,
		Priority:   held.Priority,
		QueuedAt:   held.queuedAt,
		DeadlineAt: held.DeadlineAt,
	})
	switch verdict {
	case admission.Queued:
		c.queued++
		held.row.noteWaiting(c.now)
		held.row.estimator.ObserveArrival(c.now, held.Priority)
	case admission.QueuedDisplacing:
		c.stats.Displaced++
		held.row.estimator.ObserveArrival(c.now, held.Priority)
		c.refuseOverload(c.requests[shed.ID], "the request made room for a live one")
	case admission.FullQueue:
		c.refuseOverload(held, "the queue of the row is full")
		return
	case admission.FullCaller:
		c.refuseOverload(held, "the caller has too many requests waiting for the row")
		return
	}
	c.dispatchRow(held.row)
}

func (c *Core) refuseOverload(held *request, message string) {
	situation := c.situation(held.row, held.Request)
	c.refuse(held, structs.ErrorOverloaded, message, "Come back after the time given.", held.row.estimator.Start(situation))
}

// endIfRowGone refuses a waiting request whose row was removed from the table.
func (c *Core) endIfRowGone(held *request) bool {
	if held.row.listed {
		return false
	}
	c.refuseAs(held, notFound(held.Row), never)
	return true
}

func notFound(name structs.RowName) structs.Error {
	return *structs.NewError(structs.ErrorNotFound,
		fmt.Sprintf("the table has no row %q", name),
		"Name a row of the table as the model, or have an operator add it.")
}
