package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// Stats counts what happened since the Core was made.
type Stats struct {
	Arrived           uint64
	DuplicateArrivals uint64
	Finished          uint64
	Refused           uint64
	RefusedEarly      uint64
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
	// Held counts the requests now.
	Held int
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	stats := c.stats
	stats.Ejections = c.balancer.Ejections()
	stats.CacheGaps = c.balancer.CacheGaps()
	stats.Held = len(c.requests)
	return stats
}

// Accuracy returns the error of the row's start estimates; ok is false for a row
// that has had no request.
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
		Waiting: current.wanting() - current.running,
		Running: current.running,
		Arrived: current.arrived,
		// An arrival counts too: one that cannot be served in time does not wait.
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

// deactivate gives up the memory of a row without requests; what was learned of
// its service times stays. A row whose cold load is awaited is kept for a while,
// so that the load is observed also when every request was refused.
func (c *Core) deactivate(idle *row) {
	patience := coldObservationFactor * idle.estimator.ColdLoad()
	if !idle.awaitedSince.IsZero() && c.now.Sub(idle.awaitedSince) < patience {
		return
	}
	idle.awaitedSince = time.Time{}
	idle.queue = nil
	idle.refusedUntil = nil
	delete(c.active, idle.Name)
	if !idle.listed {
		delete(c.rows, idle.Name)
	}
}

// activeRows lists the rows in use by name.
func (c *Core) activeRows() []*row {
	sorted := make([]*row, 0, len(c.active))
	for _, current := range c.active {
		sorted = append(sorted, current)
	}
	slices.SortFunc(sorted, func(left, right *row) int { return cmp.Compare(left.Name, right.Name) })
	return sorted
}
