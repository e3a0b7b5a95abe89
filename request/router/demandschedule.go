package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// changedEvery is how many report intervals lie between two reports of all
	// changed rows.
	changedEvery = 4
	// wholeAfter is how old the latest whole report may become.
	wholeAfter = 30 * time.Second
	// staleAfter is how long after the latest report the leader may have dropped
	// what it knows; it is shorter than the controller's DefaultDemandAfter.
	staleAfter = 4 * time.Second
)

// DemandSchedule decides which demand report a router owes its zone leader. It is
// not safe for concurrent use.
type DemandSchedule struct {
	interval time.Duration
	// known says that the leader of the epoch has a whole report.
	known     bool
	epoch     structs.Epoch
	wholeAt   time.Time
	changedAt time.Time
	latestAt  time.Time
}

// NewDemandSchedule makes the schedule of a router that has reported nothing yet.
// Waiting requests are reported every interval, other rows every fourth.
func NewDemandSchedule(interval time.Duration) *DemandSchedule {
	return &DemandSchedule{interval: interval}
}

// Next returns the scope of the report that is due now.
func (s *DemandSchedule) Next(now time.Time) DemandScope {
	switch {
	case !s.known, now.Sub(s.wholeAt) >= wholeAfter, now.Sub(s.latestAt) >= staleAfter:
		return DemandWhole
	case now.Sub(s.changedAt) >= changedEvery*s.interval:
		return DemandChanged
	}
	return DemandWaiting
}

// Skipped notes that the report due at the time had nothing to say.
func (s *DemandSchedule) Skipped(at time.Time, scope DemandScope) { s.note(at, scope) }

// Acknowledged notes that the leader of the epoch took the report that was made at
// the time. A leader of another epoch than before lacks the earlier reports.
func (s *DemandSchedule) Acknowledged(at time.Time, scope DemandScope, epoch structs.Epoch) {
	s.known = scope == DemandWhole || (s.known && epoch == s.epoch)
	s.epoch = epoch
	s.note(at, scope)
}

// Failed notes that a report may not have reached the leader.
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
