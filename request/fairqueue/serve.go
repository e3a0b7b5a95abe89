package fairqueue

import "time"

// candidate is a row to serve and its first request.
type candidate[V any] struct {
	row  *Row[V]
	head *Entry[V]
}

// Serve admits requests in order while admit finds room for them. Once admit returns false for
// a request, its row is skipped. admit must not modify the queue.
func (q *Queue[V]) Serve(now time.Time, admit func(*Entry[V]) bool) {
	open := q.candidates[:0]
	for _, row := range q.rows {
		open = append(open, candidate[V]{row: row, head: q.head(now, row)})
	}
	q.order(now, open)
	for len(open) > 0 {
		chosen := open[0]
		owner, isAdmitted := chosen.head.flow.tenant, admit(chosen.head)
		if isAdmitted {
			q.Admit(now, chosen.head)
		}
		if !isAdmitted || chosen.row.size == 0 {
			last := len(open) - 1
			open[0] = open[last]
			open[last] = candidate[V]{}
			open = open[:last]
		}
		if isAdmitted {
			// The tenant's clock has advanced, so the order of its entries may have changed.
			for i := range open {
				if open[i].row == chosen.row || open[i].head.flow.tenant == owner {
					open[i].head = q.head(now, open[i].row)
				}
			}
			q.order(now, open)
		} else {
			q.siftDown(now, open, 0)
		}
	}
	q.candidates = open
}

// order establishes the heap order of the candidates.
func (q *Queue[V]) order(now time.Time, open []candidate[V]) {
	for i := len(open)/2 - 1; i >= 0; i-- {
		q.siftDown(now, open, i)
	}
}

func (q *Queue[V]) siftDown(now time.Time, open []candidate[V], i int) {
	for {
		first := 2*i + 1
		if first >= len(open) {
			return
		}
		if other := first + 1; other < len(open) && q.precedes(now, open[other].head, open[first].head) {
			first = other
		}
		if !q.precedes(now, open[first].head, open[i].head) {
			return
		}
		open[i], open[first] = open[first], open[i]
		i = first
	}
}

// ServeRow is Serve for one row.
func (q *Queue[V]) ServeRow(now time.Time, row *Row[V], admit func(*Entry[V]) bool) {
	for {
		head := q.head(now, row)
		if head == nil || !admit(head) {
			return
		}
		q.Admit(now, head)
	}
}
