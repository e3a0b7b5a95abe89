package pressure

import (
	"slices"
	"time"
)

const (
	// samples is the number of latest timers whose median counts, so that one very late timer after a pause
	// of the machine has no effect.
	samples = 16
	// enterDelay is the median delay of timers from which a router is under pressure, leaveDelay the one up to
	// which it no longer is. enterDelay is an eighth of the 400 ms in which the first event is expected.
	enterDelay = 50 * time.Millisecond
	leaveDelay = 15 * time.Millisecond
	// enterAfter is how long enterDelay must be exceeded to enter the state, leaveAfter how long the delay must
	// be within leaveDelay to leave it. The latter is longer, as clients reconnect to a router that reports
	// itself as healthy.
	enterAfter = 500 * time.Millisecond
	leaveAfter = 3 * time.Second
	// closeInterval separates two closed connections: a router with fifty clients closes a tenth of them per
	// second, which the other routers of the zone can absorb.
	closeInterval = 200 * time.Millisecond
)

// Gauge measures the pressure on one process. The zero value is ready for use.
type Gauge struct {
	late  [samples]time.Duration
	count int
	// isUnder is set while the process is under pressure.
	isUnder bool
	// contrarySince is when the delay first contradicted the current state; zero if it does not.
	contrarySince time.Time
	closedAt      time.Time
}

// Observe records the delay of a timer and reports whether the state has changed.
func (g *Gauge) Observe(now time.Time, late time.Duration) (changed bool) {
	g.late[g.count%samples] = max(0, late)
	g.count++
	if g.count < samples {
		return false
	}
	median := g.MedianDelay()
	isContrary := !g.isUnder && median >= enterDelay || g.isUnder && median <= leaveDelay
	switch {
	case !isContrary:
		g.contrarySince = time.Time{}
		return false
	case g.contrarySince.IsZero():
		g.contrarySince = now
	}
	wait := enterAfter
	if g.isUnder {
		wait = leaveAfter
	}
	if now.Sub(g.contrarySince) < wait {
		return false
	}
	g.isUnder, g.contrarySince = !g.isUnder, time.Time{}
	return true
}

// MedianDelay returns the median delay of the latest timers.
func (g *Gauge) MedianDelay() time.Duration {
	count := min(g.count, samples)
	if count == 0 {
		return 0
	}
	sorted := g.late
	listed := sorted[:count]
	slices.Sort(listed)
	return listed[count/2]
}

// IsUnderPressure reports whether the process is under pressure.
func (g *Gauge) IsUnderPressure() bool { return g.isUnder }

// ShouldClose reports whether the connection of a response that ends now should be closed, so that its client
// reconnects to another router.
func (g *Gauge) ShouldClose(now time.Time) bool {
	if !g.isUnder || now.Sub(g.closedAt) < closeInterval {
		return false
	}
	g.closedAt = now
	return true
}
