package fleet

import "time"

const (
	// enoughComplaints is how many routers must have failed to reach a runner whose heartbeat
	// is overdue for it to be taken for lost: one may fail by a fault of its own. A runner
	// whose heartbeats come in time is slow to answer, and many routers see that at once.
	enoughComplaints = 2
	// overdueFactor times the usual pause between two heartbeats of a runner is after how long
	// the next is overdue.
	overdueFactor = 1.5
	// longerPauseWeight and shorterPauseWeight are the weights of a new pause between two
	// heartbeats in the usual one. Runners send some between the regular ones, when a load
	// ends, which must not make the others overdue.
	longerPauseWeight  = 0.5
	shorterPauseWeight = 0.1
)

// suspicion is what routers that failed to reach a runner said since its last heartbeat.
type suspicion struct {
	// usualPause is that between two heartbeats; 0 before the second.
	usualPause time.Duration
	complaints map[string]bool
}

// heard takes a heartbeat that came a pause after the one before.
func (s *suspicion) heard(pause time.Duration) {
	s.complaints = nil
	if s.usualPause == 0 {
		s.usualPause = pause
		return
	}
	weight := longerPauseWeight
	if pause < s.usualPause {
		weight = shorterPauseWeight
	}
	s.usualPause += time.Duration(weight * float64(pause-s.usualPause))
}

// complain notes that a router failed to reach the runner.
func (s *suspicion) complain(router string) {
	if s.complaints == nil {
		s.complaints = make(map[string]bool)
	}
	s.complaints[router] = true
}

// isLost reports whether the runner is taken for lost, silent as long as given. One of a zone that is
// silent as a whole need not be overdue itself.
func (s *suspicion) isLost(silent time.Duration, isZoneSilent bool) bool {
	isOverdue := isZoneSilent || s.usualPause > 0 && silent > time.Duration(overdueFactor*float64(s.usualPause))
	return isOverdue && len(s.complaints) >= enoughComplaints
}

// Complain notes that a router failed to reach a runner. Its next heartbeat refutes that.
func (r *Registry) Complain(instance, router string) {
	if known := r.runners[instance]; known != nil {
		known.suspicion.complain(router)
	}
}
