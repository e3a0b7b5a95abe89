package router

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// dispatchRow starts the row's requests, in the queue's order, as long as a
// replica has room.
func (c *Core) dispatchRow(waiting *row) {
	for c.dispatchOne(waiting) {
	}
}

// dispatchOne starts the row's next request; it reports whether one was started.
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
		if c.refuseTooLate(waiting, next) {
			continue
		}
		next = c.popFor(waiting, next, choice)
		c.queued--
		waiting.noteWaiting(c.now)
		waiting.countTurn()
		waiting.estimator.ObserveTurn(c.now, waiting.queue.Len() > 0)
		c.begin(next, choice)
		return true
	}
	return false
}

// popFor takes the request whose turn it is, or one of the next few whose prompt
// the chosen runner has cached: where all runners are full there is no choice of
// runners left, but one of requests.
func (c *Core) popFor(waiting *row, head *request, choice routing.Choice) *request {
	item, _ := waiting.queue.PopPreferred(func(item admission.Item) int {
		candidate := c.requests[item.ID]
		if candidate != head && (candidate.avoid == choice.Runner() || candidate.expired(c.now)) {
			return -1
		}
		return choice.Cached(candidate.prefixHashes())
	})
	return c.requests[item.ID]
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
	var estimated, waited time.Duration
	if next.attempts == 1 {
		estimated = next.estimated
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

// rowSlack is how many turns of usual weight a row may be ahead of the others that
// wait and still compete by deadline.
const rowSlack = 2

// dispatchInOrder serves rows that compete for the same runners, one request at a
// time, by the priority of their first request, then by weighted turns, then by
// deadline; every few turns the longest wait goes first.
func (c *Core) dispatchInOrder(waiting []waitingRow) {
	if len(waiting) == 0 {
		return
	}
	c.turns++
	turns := rowTurns{rows: waiting, order: byWait}
	if c.turns%c.options.GuardAfter != 0 {
		fewest := waiting[0].row.turns
		for _, candidate := range waiting {
			fewest = min(fewest, candidate.row.turns)
		}
		c.rowTurns = max(c.rowTurns, fewest)
		limit := fewest + rowSlack
		turns.order = func(left, right waitingRow) int { return byUrgency(left, right, limit) }
	}
	heap.Init(&turns)
	for turns.Len() > 0 {
		served := &turns.rows[0]
		if c.dispatchOne(served.row) && served.row.waiting() > 0 {
			served.head, _ = served.row.queue.Peek()
			heap.Fix(&turns, 0)
			continue
		}
		heap.Pop(&turns)
	}
}

// rowTurns is a heap of waiting rows, the next one first.
type rowTurns struct {
	rows  []waitingRow
	order func(left, right waitingRow) int
}

var _ heap.Interface = (*rowTurns)(nil)

// Len implements heap.Interface.
func (t *rowTurns) Len() int { return len(t.rows) }

// Less implements heap.Interface.
func (t *rowTurns) Less(i, j int) bool { return t.order(t.rows[i], t.rows[j]) < 0 }

// Swap implements heap.Interface.
func (t *rowTurns) Swap(i, j int) { t.rows[i], t.rows[j] = t.rows[j], t.rows[i] }

// Push implements heap.Interface.
func (t *rowTurns) Push(item any) { t.rows = append(t.rows, item.(waitingRow)) }

// Pop implements heap.Interface.
func (t *rowTurns) Pop() any {
	last := len(t.rows) - 1
	t.rows = t.rows[:last]
	return nil
}

// byUrgency orders by priority, turns beyond limit, then deadline.
func byUrgency(left, right waitingRow, limit float64) int {
	return cmp.Or(
		cmp.Compare(right.head.Priority, left.head.Priority),
		cmp.Compare(max(left.row.turns, limit), max(right.row.turns, limit)),
		left.head.DeadlineAt.Compare(right.head.DeadlineAt),
		cmp.Compare(left.row.Name, right.row.Name),
	)
}

// byWait puts the row first whose next request has waited for the longest.
func byWait(left, right waitingRow) int {
	return cmp.Or(
		left.head.QueuedAt.Compare(right.head.QueuedAt),
		cmp.Compare(left.row.Name, right.row.Name),
	)
}
