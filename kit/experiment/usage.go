package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// usageHistory is the leader's record of row usage in a zone, as in package controller.
type usageHistory struct {
	uses    map[structs.RowName]*rowUsage
	rhythms *scheduler.UsageHistory
}

type rowUsage struct {
	lastUsed    time.Time
	lastArrival time.Time
	gaps        scheduler.Interarrivals
}

func newUsageHistory() *usageHistory {
	return &usageHistory{uses: map[structs.RowName]*rowUsage{}, rhythms: scheduler.NewUsageHistory()}
}

func (h *usageHistory) get(row structs.RowName) *rowUsage {
	use := h.uses[row]
	if use == nil {
		use = &rowUsage{}
		h.uses[row] = use
	}
	return use
}

// observe records the arrival of a request.
func (h *usageHistory) observe(now time.Time, row structs.RowName) {
	use := h.get(row)
	if gap := now.Sub(use.lastArrival); !use.lastArrival.IsZero() && gap >= time.Second {
		use.gaps.Observe(gap)
	}
	use.lastArrival = now
	h.rhythms.Observe(now, row)
	use.lastUsed = now
}

// markUsed records that the row was used at the time.
func (h *usageHistory) markUsed(now time.Time, row structs.RowName) { h.get(row).lastUsed = now }

func (h *usageHistory) lastUsed(row structs.RowName) time.Time {
	if use := h.uses[row]; use != nil {
		return use.lastUsed
	}
	return time.Time{}
}

// addTo adds the expected arrivals and the interarrival times to the snapshot.
func (h *usageHistory) addTo(s *scheduler.Snapshot) {
	h.rhythms.MarkObserved(s.Now)
	s.Expected = h.rhythms.ExpectedSoon(s.Now)
	for _, demand := range s.Demand {
		if use := h.uses[demand.Row]; use != nil {
			s.Interarrivals[demand.Row] = &use.gaps
		}
	}
}
