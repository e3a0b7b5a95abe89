package fairqueue

import (
	"cmp"
	"strings"
	"time"
)

// head returns the first request of the row; nil if none waits.
func (q *Queue[V]) head(now time.Time, row *Row[V]) *Entry[V] {
	var first *Entry[V]
	for _, each := range row.flows {
		if first != nil && q.compareFlows(now, each, first.flow) > 0 {
			continue
		}
		if other := each.head(now); first == nil || q.precedes(now, other, first) {
			first = other
		}
	}
	return first
}

// compareFlows compares two flows regardless of their heads.
func (q *Queue[V]) compareFlows(now time.Time, flow, other *flow[V]) int {
	if flow.rank != other.rank {
		return cmp.Compare(flow.rank, other.rank)
	}
	if flow.tenant == other.tenant {
		return 0
	}
	if hasShares := now.Before(q.sharesUntil); hasShares && flow.tenant.isAboveShare != other.tenant.isAboveShare {
		if other.tenant.isAboveShare {
			return -1
		}
		return 1
	} else if hasShares && !flow.tenant.isAboveShare {
		return 0
	}
	return cmp.Or(cmp.Compare(flow.tenant.clock, other.tenant.clock), strings.Compare(flow.tenant.name, other.tenant.name))
}

// precedes reports whether the head of one flow goes before that of another.
func (q *Queue[V]) precedes(now time.Time, entry, other *Entry[V]) bool {
	if compared := q.compareFlows(now, entry.flow, other.flow); compared != 0 {
		return compared < 0
	}
	if a, b := entry.urgency(now), other.urgency(now); a != b {
		return a < b
	}
	if compared := entry.Ticket.Due.Compare(other.Ticket.Due); compared != 0 {
		return compared < 0
	}
	return entry.flow.tenant.name < other.flow.tenant.name
}

// urgency returns 0 for a request due within dueMargin, 1 for an overdue one and 2 for
// all others.
func (e *Entry[V]) urgency(now time.Time) int {
	switch slack := e.Ticket.Due.Sub(now); {
	case slack <= 0:
		return 1
	case slack <= dueMargin:
		return 0
	}
	return 2
}

// head returns the first entry that is not overdue if it is due within dueMargin, else the
// first entry.
func (f *flow[V]) head(now time.Time) *Entry[V] {
	low, high := 0, len(f.entries)
	for low < high {
		middle := (low + high) / 2
		if f.entries[middle].Ticket.Due.After(now) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	if low < len(f.entries) && f.entries[low].Ticket.Due.Sub(now) <= dueMargin {
		return f.entries[low]
	}
	return f.entries[0]
}
