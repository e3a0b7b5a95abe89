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
		open = append(open, candidate[V]{row: row, head: q.head(now, row)})
	}
	q.order(now, open)
	for len(open) > 0 {
		chosen := open[0]
		owner, isLetIn := chosen.head.flow.tenant, admit(chosen.head)
		if isLetIn {
			q.LetIn(now, chosen.head)
		}
		if !isLetIn || chosen.row.size == 0 {
			last := len(open) - 1
			open[0] = open[last]
			open[last] = candidate[V]{}
			open = open[:last]
		}
		if isLetIn {
			// Its clock has gone on, so that others may go before its tenant's next now.
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
	q.open = open
}

// order makes a heap of the candidates.
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
		if other := first + 1; other < len(open) && q.goesBefore(now, open[other].head, open[first].head) {
			first = other
		}
		if !q.goesBefore(now, open[first].head, open[i].head) {
			return
		}
		open[i], open[first] = open[first], open[i]
		i = first
	}
}

// ServeRow does the same for one row.
func (q *Queue[V]) ServeRow(now time.Time, row *Row[V], admit func(*Entry[V]) bool) {
	for {
		head := q.head(now, row)
		if head == nil || !admit(head) {
			return
		}
		q.LetIn(now, head)
	}
}
