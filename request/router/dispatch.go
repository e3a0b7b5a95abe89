package router

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// dispatchRow starts requests of the row in queue order while a replica has free
// capacity.
func (c *Core) dispatchRow(waiting *row) {
	for c.dispatchOne(waiting) {
	}
}

// dispatchOne starts the next request of the row; it reports whether one was started.
func (c *Core) dispatchOne(waiting *row) bool {
	for waiting.queue != nil {
		head, ok := waiting.queue.Peek()
		if !ok {
			return false
		}
		next := c.requests[head.ID]
		if next.expired(c.now) && c.mutation != mutationIgnoreDeadline {
			c.expire(next)
			continue
		}
		choice, ok := c.balancer.Pick(c.now, waiting.Name, next.prefixHashes(), next.avoid)
		if !ok {
			return false
		}
		if c.rejectTooLate(waiting, next) {
			continue
		}
		next = c.popPreferred(waiting, next, choice)
		c.queued--
		waiting.updateBusy(c.now)
		waiting.chargeTurn()
		waiting.estimator.ObserveTurn(c.now, waiting.queue.Len() > 0)
		c.begin(next, choice)
		return true
	}
	return false
}

// popPreferred removes the next request of the queue, or one of the following few whose
// prompt prefix the chosen runner has cached. It keeps cache hits possible when only one
// runner has capacity.
func (c *Core) popPreferred(waiting *row, head *request, choice routing.Choice) *request {
	item, _ := waiting.queue.PopPreferred(func(item admission.Item) int {
		candidate := c.requests[item.ID]
		if candidate != head && (candidate.avoid == choice.Runner() || candidate.expired(c.now)) {
			return -1
		}
		return choice.Cached(candidate.prefixHashes())
	})
	return c.requests[item.ID]
}

// begin reserves the chosen replica. A request with a key is sent only after the claim
// names the engine.
func (c *Core) begin(next *request, choice routing.Choice) {
	next.choice = choice
	choice.Sent(c.now, next.prefixHashes())
	next.row.running++
	if next.attempts == 0 {
		next.row.estimator.ObserveStart(next.estimatedWait, c.now.Sub(next.queuedAt))
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

// send starts an attempt on the reserved replica, or queues the request again if the
// replica is no longer usable.
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
	next.lastProgressAt = c.now
	next.paused = false
	c.scheduleStallCheck(next)
	c.attempts[next.attempt] = next
	c.stats.Attempts++
	var estimated, waited time.Duration
	if next.attempts == 1 {
		estimated = next.estimatedWait
		waited = next.sentAt.Sub(next.queuedAt)
	}
	c.emit(SendAttempt{
		EstimatedWait: estimated,
		Waited:        waited,
		Attempt:       next.attempt,
		Runner:        next.choice.Runner(),
		Address:       next.choice.Address(),
		Incarnation:   next.choice.Incarnation(),
		Generate: structs.GenerateRequest{
			ID:          structs.RequestID(next.attempt),
			Row:         next.Row,
			Prompt:      next.Prompt,
			MaxTokens:   next.MaxTokens,
			Sampling:    next.Sampling,
			Priority:    next.Priority,
			ResumeFrom:  next.delivered,
			Embedding:   next.Embedding,
			Incarnation: next.choice.Incarnation(),
		},
	})
}

// dispatchFreed dispatches to the runners that gained capacity.
func (c *Core) dispatchFreed() {
	for len(c.freedRunners) > 0 && c.queued > 0 {
		last := len(c.freedRunners) - 1
		runner := c.freedRunners[last]
		c.freedRunners = c.freedRunners[:last]
		c.rowScratch = c.rowScratch[:0]
		for _, name := range c.balancer.Rows(runner) {
			c.rowScratch = appendWaiting(c.rowScratch, c.active[name])
		}
		c.dispatchInOrder(c.rowScratch)
	}
	c.freedRunners = c.freedRunners[:0]
}

// dispatchAll dispatches to all runners.
func (c *Core) dispatchAll() {
	c.rowScratch = c.rowScratch[:0]
	for _, candidate := range c.active {
		c.rowScratch = appendWaiting(c.rowScratch, candidate)
	}
	c.dispatchInOrder(c.rowScratch)
}

// waitingRow is a row and its next request.
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

// rowSlack is how far, in virtual time, a row may be ahead of the others that wait and
// still compete by deadline.
const rowSlack = 2

// dispatchInOrder serves rows that compete for the same runners, one request at a time,
// by the priority of their next request, then by virtual time, then by deadline. Every
// MaxPassedOver-th call orders them by the longest wait instead.
func (c *Core) dispatchInOrder(waiting []waitingRow) {
	if len(waiting) == 0 {
		return
	}
	c.dispatches++
	queue := rowHeap{rows: waiting, order: byWait}
	if c.dispatches%c.options.MaxPassedOver != 0 {
		fewest := waiting[0].row.virtualTime
		for _, candidate := range waiting {
			fewest = min(fewest, candidate.row.virtualTime)
		}
		c.virtualTime = max(c.virtualTime, fewest)
		limit := fewest + rowSlack
		queue.order = func(left, right waitingRow) int { return byUrgency(left, right, limit) }
	}
	heap.Init(&queue)
	for queue.Len() > 0 {
		served := &queue.rows[0]
		if c.dispatchOne(served.row) && served.row.waiting() > 0 {
			served.head, _ = served.row.queue.Peek()
			heap.Fix(&queue, 0)
			continue
		}
		heap.Pop(&queue)
	}
}

// rowHeap is a heap of waiting rows.
type rowHeap struct {
	rows  []waitingRow
	order func(left, right waitingRow) int
}

var _ heap.Interface = (*rowHeap)(nil)

// Len implements heap.Interface.
func (t *rowHeap) Len() int { return len(t.rows) }

// Less implements heap.Interface.
func (t *rowHeap) Less(i, j int) bool { return t.order(t.rows[i], t.rows[j]) < 0 }

// Swap implements heap.Interface.
func (t *rowHeap) Swap(i, j int) { t.rows[i], t.rows[j] = t.rows[j], t.rows[i] }

// Push implements heap.Interface.
func (t *rowHeap) Push(item any) { t.rows = append(t.rows, item.(waitingRow)) }

// Pop implements heap.Interface.
func (t *rowHeap) Pop() any {
	last := len(t.rows) - 1
	t.rows = t.rows[:last]
	return nil
}

// byUrgency orders rows by priority, virtual time beyond limit, then deadline.
func byUrgency(left, right waitingRow, limit float64) int {
	return cmp.Or(
		cmp.Compare(right.head.Priority, left.head.Priority),
		cmp.Compare(max(left.row.virtualTime, limit), max(right.row.virtualTime, limit)),
		left.head.DeadlineAt.Compare(right.head.DeadlineAt),
		cmp.Compare(left.row.Name, right.row.Name),
	)
}

// byWait orders rows by the waiting time of their next request, longest first.
func byWait(left, right waitingRow) int {
	return cmp.Or(
		left.head.QueuedAt.Compare(right.head.QueuedAt),
		cmp.Compare(left.row.Name, right.row.Name),
	)
}
