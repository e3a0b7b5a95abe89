package pressure

import (
	"slices"
	"time"
)

const (
	// samples are how many of the latest timers are looked at: the middle one counts, so that a machine
	// that was frozen for a while, which makes one timer very late, is not under pressure.
	samples = 16
	// lateFrom is from which lateness of its timers a router is under pressure, and lateUntil up to which
	// it is well again. Callers of quick requests expect the first word within some 400 ms; an eighth of
	// that is what a router may add. It is well when it adds nothing that anybody notices.
	lateFrom  = 50 * time.Millisecond
	lateUntil = 15 * time.Millisecond
	// enterAfter is how long the limit must be exceeded, and leaveAfter how long the router must be well,
	// which is several times as long, as connections that were let go of come back to a router that
	// calls itself well.
	enterAfter = 500 * time.Millisecond
	leaveAfter = 3 * time.Second
	// letGoPause separates two connections that are let go of: a router with fifty callers loses a tenth of
	// them a second, and the others of its zone take them up one by one.
	letGoPause = 200 * time.Millisecond
)

// Gauge follows one process. The zero value is ready for use and well.
type Gauge struct {
	late  [samples]time.Duration
	count int
	// isUnder is set while the process is under pressure.
	isUnder bool
	// since is when what speaks against the present state was first seen; zero for nothing.
	since     time.Time
	letGoneAt time.Time
}

// Observe takes by how much a timer was late, and reports whether the state has changed.
func (g *Gauge) Observe(now time.Time, late time.Duration) (changed bool) {
	g.late[g.count%samples] = max(0, late)
	g.count++
	if g.count < samples {
		return false
	}
	usual := g.Late()
	speaksAgainst := !g.isUnder && usual >= lateFrom || g.isUnder && usual <= lateUntil
	switch {
	case !speaksAgainst:
		g.since = time.Time{}
		return false
	case g.since.IsZero():
		g.since = now
	}
	wait := enterAfter
	if g.isUnder {
		wait = leaveAfter
	}
	if now.Sub(g.since) < wait {
		return false
	}
	g.isUnder, g.since = !g.isUnder, time.Time{}
	return true
}

// Late is by how much timers usually are late.
func (g *Gauge) Late() time.Duration {
	count := min(g.count, samples)
	if count == 0 {
		return 0
	}
	sorted := g.late
	listed := sorted[:count]
	slices.Sort(listed)
	return listed[count/2]
}

// IsUnder reports whether the process is under pressure.
func (g *Gauge) IsUnder() bool { return g.isUnder }

// LetGo reports whether the connection of an answer that ends now should be closed, so that its caller finds
// another router.
func (g *Gauge) LetGo(now time.Time) bool {
	if !g.isUnder || now.Sub(g.letGoneAt) < letGoPause {
		return false
	}
	g.letGoneAt = now
	return true
}
