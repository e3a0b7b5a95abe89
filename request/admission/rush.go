package admission

import "time"

// busyDecay is how many times as fast a rush is forgotten as it has built up: a queue
// that is empty for a moment does not end one.
const busyDecay = 4

// BusyPeriod tracks how long requests have had to wait for a row without a break worth the
// name.
type BusyPeriod struct {
	length    time.Duration
	changedAt time.Time
	waiting   bool
}

// Observe notes whether requests wait from now on.
func (r *BusyPeriod) Observe(now time.Time, waiting bool) {
	if waiting == r.waiting {
		return
	}
	r.length = r.Duration(now)
	r.changedAt = now
	r.waiting = waiting
}

// Duration is how long the rush has lasted.
func (r *BusyPeriod) Duration(now time.Time) time.Duration {
	since := now.Sub(r.changedAt)
	if r.waiting {
		return r.length + since
	}
	return max(0, r.length-min(since, r.length)*busyDecay)
}
