package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// Stats holds the counters of a Core.
type Stats struct {
	Arrived           uint64
	DuplicateArrivals uint64
	Finished          uint64
	Rejected          uint64
	RejectedEarly     uint64
	Displaced         uint64
	OverTokens        uint64
	Expired           uint64
	Forwarded         uint64
	Offered           uint64
	OffersTaken       uint64
	Replayed          uint64
	OutcomeUnknown    uint64
	CallersGone       uint64
	Attempts          uint64
	Retries           uint64
	Delivered         uint64
	StrayTokens       uint64
	DuplicateTokens   uint64
	BrokenStreams     uint64
	Stalls            uint64
	Ejections         uint64
	CacheGaps         uint64
	// Held is the number of requests held now.
	Held int
}

// Stats returns a copy of the counters.
func (c *Core) Stats() Stats {
	stats := c.stats
	stats.Ejections = c.balancer.Ejections()
	stats.CacheGaps = c.balancer.CacheGaps()
	stats.Held = len(c.requests)
	return stats
}

// Accuracy returns the error of the start estimates of the row; ok is false for a row
// without requests so far.
func (c *Core) Accuracy(name structs.RowName) (accuracy admission.Accuracy, ok bool) {
	current := c.rows[name]
	if current == nil || current.estimator == nil {
		return admission.Accuracy{}, false
	}
	return current.estimator.Accuracy(), true
}

func (c *Core) rowDemand(current *row) structs.RowDemand {
	demand := structs.RowDemand{
		Row:     current.Name,
		Waiting: current.localRequests() - current.running,
		Running: current.running,
		Arrived: current.arrivals,
		// Set without waiting requests too: a request that cannot be served in time does not wait.
		Unserved: c.balancer.Ready(current.Name) == 0,
	}
	if current.queue == nil {
		return demand
	}
	demand.Highest, _ = current.queue.Highest()
	current.queue.Each(func(item admission.Item) bool {
		demand.OldestWait = max(demand.OldestWait, c.now.Sub(item.QueuedAt))
		return true
	})
	return demand
}

// deactivate releases the queue of a row without requests; its service time estimates are
// kept. A row with a pending cold load stays active for a while, so that the load is
// observed even if every request was rejected.
func (c *Core) deactivate(idle *row) {
	maxWait := coldObservationFactor * idle.estimator.ColdLoad()
	if !idle.coldSince.IsZero() && c.now.Sub(idle.coldSince) < maxWait {
		return
	}
	idle.coldSince = time.Time{}
	idle.queue = nil
	idle.rejectedUntil = nil
	delete(c.active, idle.Name)
	if !idle.listed {
		delete(c.rows, idle.Name)
	}
}

// activeRows returns the active rows sorted by name.
func (c *Core) activeRows() []*row {
	sorted := make([]*row, 0, len(c.active))
	for _, current := range c.active {
		sorted = append(sorted, current)
	}
	slices.SortFunc(sorted, func(left, right *row) int { return cmp.Compare(left.Name, right.Name) })
	return sorted
}
