package pressure

import (
	"math"
	"time"
)

const (
	// minAdmitted is the least rate of new connections per second, so that clients can still tell that the router lives.
	minAdmitted = 4.0
	// urgentDelay is the delay of timers from which connections are limited before the gauge has decided: one more try costs a
	// client little, and what is read cannot be given back.
	urgentDelay = 2 * enterDelay
	// adjustInterval is the interval between two changes of the rate: as long as the gauge takes to see their effect.
	adjustInterval = 500 * time.Millisecond
	// admitDecrease and admitIncrease are the factors by which the rate changes.
	admitDecrease = 0.5
	admitIncrease = 1.5
	// meterWindow is the time constant of the measured rate of connections.
	meterWindow = time.Second
)

// Admission limits the rate of new connections while the process is under pressure. Connections beyond it are to be closed before
// anything is read from them, so that their clients try another router at once. The rate follows the delay of timers: it
// falls while they are late and rises once they are in time. The zero value is ready for use.
type Admission struct {
	// rate is the limit in connections per second; 0 for none.
	rate float64
	// tokens are the connections that may be admitted as of takenAt, at most burst.
	tokens  float64
	takenAt time.Time
	// admitted is the rate of admitted connections as of countedAt.
	admitted  float64
	countedAt time.Time
	// lastDelay is the delay of timers at adjustedAt. While it falls the rate is low enough.
	adjustedAt time.Time
	lastDelay  time.Duration
}

// Adjust sets the rate by the median delay of the latest timers.
func (a *Admission) Adjust(now time.Time, delay time.Duration, isUnderPressure bool) {
	isLate := isUnderPressure || delay >= urgentDelay || a.rate > 0 && delay > leaveDelay
	switch {
	case !isLate:
		a.rate = 0
		return
	case a.rate == 0:
		a.rate = max(minAdmitted, a.meter(now)*admitDecrease)
		a.tokens, a.takenAt = 1, now
	case now.Sub(a.adjustedAt) < adjustInterval:
		return
	case delay >= enterDelay && delay >= a.lastDelay:
		a.rate = max(minAdmitted, a.rate*admitDecrease)
	case delay <= leaveDelay:
		a.rate *= admitIncrease
	}
	a.adjustedAt, a.lastDelay = now, delay
}

// Admit reports whether a new connection may be read.
func (a *Admission) Admit(now time.Time) bool {
	if a.rate > 0 {
		burst := max(1, a.rate*adjustInterval.Seconds()/2)
		a.tokens = min(burst, a.tokens+a.rate*now.Sub(a.takenAt).Seconds())
		a.takenAt = now
		if a.tokens < 1 {
			return false
		}
		a.tokens--
	}
	a.admitted = a.meter(now) + 1/meterWindow.Seconds()
	a.countedAt = now
	return true
}

// Limit returns the limit in connections per second; 0 for none.
func (a *Admission) Limit() float64 { return a.rate }

// meter returns the rate of admitted connections per second.
func (a *Admission) meter(now time.Time) float64 {
	return a.admitted * math.Exp(-now.Sub(a.countedAt).Seconds()/meterWindow.Seconds())
}
