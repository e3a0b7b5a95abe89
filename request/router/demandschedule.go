package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// changedEvery is the number of report intervals between two DemandChanged reports.
	changedEvery = 4
	// wholeInterval is the interval between two DemandWhole reports.
	wholeInterval = 30 * time.Second
	// staleAfter is the age of the latest report after which the leader may have
	// discarded it; it is shorter than the controller's DefaultDemandAfter.
	staleAfter = 4 * time.Second
)

// DemandSchedule determines the scope of the next demand report of a router to its zone
// leader. It is not safe for concurrent use.
type DemandSchedule struct {
	interval time.Duration
	// known is set when the leader of the epoch has a DemandWhole report.
	known     bool
	epoch     structs.Epoch
	wholeAt   time.Time
	changedAt time.Time
	latestAt  time.Time
}

// NewDemandSchedule returns the schedule of a router that has reported nothing yet.
// Waiting requests are reported every interval, other rows every fourth.
func NewDemandSchedule(interval time.Duration) *DemandSchedule {
	return &DemandSchedule{interval: interval}
}

// Next returns the scope of the report that is due at time now.
func (s *DemandSchedule) Next(now time.Time) DemandScope {
	switch {
	case !s.known, now.Sub(s.wholeAt) >= wholeInterval, now.Sub(s.latestAt) >= staleAfter:
		return DemandWhole
	case now.Sub(s.changedAt) >= changedEvery*s.interval:
		return DemandChanged
	}
	return DemandWaiting
}

// Skipped records that the report due at the given time was empty.
func (s *DemandSchedule) Skipped(at time.Time, scope DemandScope) { s.note(at, scope) }

// Acknowledged records that the leader of the epoch received the report made at the given
// time. A leader of a different epoch lacks the earlier reports.
func (s *DemandSchedule) Acknowledged(at time.Time, scope DemandScope, epoch structs.Epoch) {
	s.known = scope == DemandWhole || (s.known && epoch == s.epoch)
	s.epoch = epoch
	s.note(at, scope)
}

// Failed records that a report may not have reached the leader.
func (s *DemandSchedule) Failed() { s.known = false }

func (s *DemandSchedule) note(at time.Time, scope DemandScope) {
	if scope == DemandWhole {
		s.wholeAt = at
	}
	if scope != DemandWaiting {
		s.changedAt = at
		s.latestAt = at
	}
}
