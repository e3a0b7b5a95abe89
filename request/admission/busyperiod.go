package admission

import "time"

// busyDecay is how many times as fast a busy period decays as it grows, so that a short
// break does not end it.
const busyDecay = 4

// BusyPeriod tracks how long requests of a row have been waiting, except for short
// breaks.
type BusyPeriod struct {
	length    time.Duration
	changedAt time.Time
	waiting   bool
}

// Observe records whether requests wait from now on.
func (b *BusyPeriod) Observe(now time.Time, waiting bool) {
	if waiting == b.waiting {
		return
	}
	b.length = b.Duration(now)
	b.changedAt = now
	b.waiting = waiting
}

// Duration returns the length of the busy period.
func (b *BusyPeriod) Duration(now time.Time) time.Duration {
	since := now.Sub(b.changedAt)
	if b.waiting {
		return b.length + since
	}
	return max(0, b.length-min(since, b.length)*busyDecay)
}
