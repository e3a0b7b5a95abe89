package versions

import "time"

const (
	// minRetention is the least time for which a version is remembered after its last runner, and retentionMargin what that time is
	// longer than the longest timeout: streams at runners that are silent go on for a while.
	minRetention    = 30 * time.Second
	retentionMargin = 10 * time.Second
)

// Retention is for how long versions are remembered: as long as a stream may be taken up that began before their last runner was lost.
// The zero value is ready to use.
type Retention struct {
	longest time.Duration
	// former is a longer timeout that held until formerUntil for streams that began under it.
	former      time.Duration
	formerUntil time.Time
}

// SetLongestTimeout sets the longest timeout of all routes. A longer one before it holds on for the streams that began under it.
func (r *Retention) SetLongestTimeout(now time.Time, longest time.Duration) {
	if before := r.After(now); longest < r.longest {
		r.former, r.formerUntil = before, now.Add(before)
	}
	r.longest = longest
}

// After returns for how long after its last runner a version is remembered at the given time.
func (r *Retention) After(now time.Time) time.Duration {
	retention := max(minRetention, r.longest+retentionMargin)
	if now.Before(r.formerUntil) {
		retention = max(retention, r.former)
	}
	return retention
}
