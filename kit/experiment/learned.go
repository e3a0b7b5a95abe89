package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// learned is what a zone's leader remembers of the use of rows, as package
// controller does.
type learned struct {
	uses    map[structs.RowName]*rowUse
	rhythms *scheduler.UsageHistory
}

type rowUse struct {
	lastUsed    time.Time
	lastArrival time.Time
	gaps        scheduler.Interarrivals
}

func newLearned() *learned {
	return &learned{uses: map[structs.RowName]*rowUse{}, rhythms: scheduler.NewUsageHistory()}
}

func (l *learned) get(row structs.RowName) *rowUse {
	use := l.uses[row]
	if use == nil {
		use = &rowUse{}
		l.uses[row] = use
	}
	return use
}

// observe counts an arrival.
func (l *learned) observe(now time.Time, row structs.RowName) {
	use := l.get(row)
	if gap := now.Sub(use.lastArrival); !use.lastArrival.IsZero() && gap >= time.Second {
		use.gaps.Observe(gap)
	}
	use.lastArrival = now
	l.rhythms.Observe(now, row)
	use.lastUsed = now
}

// use notes that the row was in use.
func (l *learned) use(now time.Time, row structs.RowName) { l.get(row).lastUsed = now }

func (l *learned) lastUsed(row structs.RowName) time.Time {
	if use := l.uses[row]; use != nil {
		return use.lastUsed
	}
	return time.Time{}
}

// fill adds what was learned of the snapshot's rows.
func (l *learned) fill(s *scheduler.Snapshot) {
	l.rhythms.MarkObserved(s.Now)
	s.Expected = l.rhythms.ExpectedSoon(s.Now)
	for _, demand := range s.Demand {
		if use := l.uses[demand.Row]; use != nil {
			s.Interarrivals[demand.Row] = &use.gaps
		}
	}
}
