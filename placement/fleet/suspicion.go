package fleet

import "time"

const (
	// minUnreachableReports is the number of routers that must fail to reach a runner with an
	// overdue heartbeat before it counts as lost. One router may be faulty itself. A runner with
	// timely heartbeats is only slow to answer, which many routers see at once.
	minUnreachableReports = 2
	// A heartbeat is overdue after overdueFactor times the mean interval of the runner.
	overdueFactor = 1.5
	// longerIntervalWeight and shorterIntervalWeight are the weights of a new interval in the
	// moving average. Runners send extra heartbeats when a load ends, which must not make the
	// regular ones overdue.
	longerIntervalWeight  = 0.5
	shorterIntervalWeight = 0.1
)

// suspicion tracks the heartbeat interval of a runner and which routers failed to reach it since
// its last heartbeat.
type suspicion struct {
	// meanInterval is the moving average of the time between heartbeats; 0 before the second one.
	meanInterval time.Duration
	reporters    map[string]bool
}

// observeInterval records a heartbeat that arrived interval after the one before.
func (s *suspicion) observeInterval(interval time.Duration) {
	s.reporters = nil
	if s.meanInterval == 0 {
		s.meanInterval = interval
		return
	}
	weight := longerIntervalWeight
	if interval < s.meanInterval {
		weight = shorterIntervalWeight
	}
	s.meanInterval += time.Duration(weight * float64(interval-s.meanInterval))
}

// addReport records that a router failed to reach the runner.
func (s *suspicion) addReport(router string) {
	if s.reporters == nil {
		s.reporters = make(map[string]bool)
	}
	s.reporters[router] = true
}

// isLost reports whether the runner counts as lost after being silent for the given time. In a zone
// that is silent as a whole, its own heartbeat need not be overdue.
func (s *suspicion) isLost(silent time.Duration, isZoneSilent bool) bool {
	isOverdue := isZoneSilent || s.meanInterval > 0 && silent > time.Duration(overdueFactor*float64(s.meanInterval))
	return isOverdue && len(s.reporters) >= minUnreachableReports
}

// ReportUnreachable records that a router failed to reach a runner. The next heartbeat clears it.
func (r *Registry) ReportUnreachable(instance, router string) {
	if known := r.runners[instance]; known != nil {
		known.suspicion.addReport(router)
	}
}
