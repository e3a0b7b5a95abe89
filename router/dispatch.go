package router

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/admission"
	"github.com/lotusferry/lotusferry/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// dispatchRow starts the row's requests, in the queue's order, as long as a
// replica has room.
func (c *Core) dispatchRow(waiting *row) {
	for waiting.queue != nil {
		head, ok := waiting.queue.Peek()
		if !ok {
			return
		}
		next := c.requests[head.ID]
		if next.expired(c.now) && c.mutation != mutationIgnoreDeadline {
			c.expire(next)
			continue
		}
		choice, ok := c.balancer.Pick(c.now, waiting.Name, next.prefixHashes(), next.avoid)
		if !ok {
			return
		}
		waiting.queue.Pop()
		c.queued--
		c.begin(next, choice)
	}
}

// begin reserves the chosen replica. A request with a key is sent only once the
// claim names the engine.
func (c *Core) begin(next *request, choice routing.Choice) {
	next.choice = choice
	choice.Sent(c.now, next.prefixHashes())
	next.row.running++
	if next.attempts == 0 {
		next.row.estimator.ObserveStart(next.estimated, c.now.Sub(next.queuedAt))
	}
	next.phase = phaseBinding
	if !next.Repeatable() {
		c.beginClaim(next)
		if c.mutation != mutationSendUnclaimed {
			return
		}
	}
	c.send(next)
}

// send starts an attempt on the reserved replica, or gives the replica back if
// it is not usable any more.
func (c *Core) send(next *request) {
	if !next.choice.Usable() {
		c.endAttempt(next, routing.OutcomeNeutral)
		c.enqueue(next)
		return
	}
	next.phase = phaseRunning
	next.attempt = next.nextAttempt()
	next.accepted = false
	next.statusAsks = 0
	next.resumedFrom = next.delivered
	next.sentAt = c.now
	next.heardAt = c.now
	next.paused = false
	c.watch(next)
	c.attempts[next.attempt] = next
	c.stats.Attempts++
	c.emit(SendAttempt{
		Attempt:     next.attempt,
		Runner:      next.choice.Runner(),
		Address:     next.choice.Address(),
		Incarnation: next.choice.Incarnation(),
		Generate: structs.GenerateRequest{
			ID:          structs.RequestID(next.attempt),
			Row:         next.Row,
			Prompt:      next.Prompt,
			MaxTokens:   next.MaxTokens,
			Priority:    next.Priority,
			ResumeFrom:  next.delivered,
			Embedding:   next.Embedding,
			Incarnation: next.choice.Incarnation(),
		},
	})
}

// dispatchFreed offers the runners that got room to the rows waiting for them.
func (c *Core) dispatchFreed() {
	for len(c.freed) > 0 && c.queued > 0 {
		last := len(c.freed) - 1
		runner := c.freed[last]
		c.freed = c.freed[:last]
		c.competing = c.competing[:0]
		for _, name := range c.balancer.Rows(runner) {
			c.competing = appendWaiting(c.competing, c.active[name])
		}
		c.dispatchInOrder(c.competing)
	}
	c.freed = c.freed[:0]
}

// dispatchAll offers every runner to every waiting row.
func (c *Core) dispatchAll() {
	c.competing = c.competing[:0]
	for _, candidate := range c.active {
		c.competing = appendWaiting(c.competing, candidate)
	}
	c.dispatchInOrder(c.competing)
}

// waitingRow is a row with the request whose turn it is there.
type waitingRow struct {
	row  *row
	head admission.Item
}

func appendWaiting(waiting []waitingRow, candidate *row) []waitingRow {
	if candidate == nil || candidate.waiting() == 0 {
		return waiting
	}
	head, _ := candidate.queue.Peek()
	return append(waiting, waitingRow{row: candidate, head: head})
}

// dispatchInOrder serves rows that compete for the same runners by the priority
// and deadline of their first request; every few turns the longest wait goes first.
func (c *Core) dispatchInOrder(waiting []waitingRow) {
	if len(waiting) == 0 {
		return
	}
	c.turns++
	order := byUrgency
	if c.turns%c.options.GuardAfter == 0 {
		order = byWait
	}
	slices.SortFunc(waiting, order)
	for _, next := range waiting {
		c.dispatchRow(next.row)
	}
}

func byUrgency(left, right waitingRow) int {
	return cmp.Or(
		cmp.Compare(right.head.Priority, left.head.Priority),
		left.head.DeadlineAt.Compare(right.head.DeadlineAt),
		cmp.Compare(left.row.Name, right.row.Name),
	)
}

func byWait(left, right waitingRow) int {
	return cmp.Or(
		left.head.QueuedAt.Compare(right.head.QueuedAt),
		cmp.Compare(left.row.Name, right.row.Name),
	)
}

// reviewWaiting refuses the waiting requests that could not start before their
// deadline even if their turn came now.
func (c *Core) reviewWaiting() {
	for _, candidate := range c.activeRows() {
		if candidate.waiting() == 0 || c.now.Before(candidate.reviewAt) {
			continue
		}
		candidate.reviewAt = c.now.Add(reviewInterval)
		c.review(candidate)
	}
}

func (c *Core) review(waiting *row) {
	situation := c.situation(waiting, structs.PriorityLive, 0)
	situation.Ahead = 0
	earliest := c.now.Add(waiting.estimator.Start(situation))
	if earliest.Equal(c.now) {
		return
	}
	var late []*request
	waiting.queue.Each(func(item admission.Item) bool {
		if item.DeadlineAt.Before(earliest) {
			late = append(late, c.requests[item.ID])
		}
		return true
	})
	for _, held := range late {
		c.stats.RefusedEarly++
		c.refuse(held, structs.ErrorDeadline, "the request would start after its deadline",
			"Come back after the time given, or allow a later deadline.", earliest.Sub(held.DeadlineAt))
	}
}
