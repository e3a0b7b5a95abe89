package fairqueue

import "time"

// candidate is a row that is tried, with the request that goes first in it.
type candidate[V any] struct {
	row  *Row[V]
	head *Entry[V]
}

// Serve lets in requests in their order, as long as admit finds room for them. After it found none
// for a request, the others of that row are not tried. admit must not change the queue.
func (q *Queue[V]) Serve(now time.Time, admit func(*Entry[V]) bool) {
	open := q.open[:0]
	for _, row := range q.rows {
		open = append(open, candidate[V]{row: row, head: row.Head(now)})
	}
	order(now, open)
	for len(open) > 0 {
		chosen := open[0]
		isLetIn := admit(chosen.head)
		if isLetIn {
			q.LetIn(chosen.head)
		}
		if !isLetIn || chosen.row.size == 0 {
			last := len(open) - 1
			open[0] = open[last]
			open[last] = candidate[V]{}
			open = open[:last]
		}
		if isLetIn {
			// The clock of its tenant has changed the order of all rows.
			for i := range open {
				open[i].head = open[i].row.Head(now)
			}
			order(now, open)
		} else {
			siftDown(now, open, 0)
		}
	}
	q.open = open
}

// order makes a heap of the candidates.
func order[V any](now time.Time, open []candidate[V]) {
	for i := len(open)/2 - 1; i >= 0; i-- {
		siftDown(now, open, i)
	}
}

func siftDown[V any](now time.Time, open []candidate[V], i int) {
	for {
		first := 2*i + 1
		if first >= len(open) {
			return
		}
		if other := first + 1; other < len(open) && goesBefore(now, open[other].head, open[first].head) {
			first = other
		}
		if !goesBefore(now, open[first].head, open[i].head) {
			return
		}
		open[i], open[first] = open[first], open[i]
		i = first
	}
}

// goesBefore reports whether one head of a row goes before that of another.
func goesBefore[V any](now time.Time, entry, other *Entry[V]) bool {
	if entry.flow.rank != other.flow.rank || entry.flow.tenant != other.flow.tenant {
		return entry.flow.before(other.flow)
	}
	if a, b := entry.urgency(now), other.urgency(now); a != b {
		return a < b
	}
	return entry.Ticket.Due.Before(other.Ticket.Due)
}

// urgency is 0 for a request that is late soon, 1 for one that is late and 2 for one that can
// wait.
func (e *Entry[V]) urgency(now time.Time) int {
	switch slack := e.Ticket.Due.Sub(now); {
	case slack <= 0:
		return 1
	case slack <= dueMargin:
		return 0
	}
	return 2
}
