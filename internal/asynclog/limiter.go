package asynclog

import (
	"sync"
	"time"
)

// Limiter limits the rate of one kind of log line, so that a widespread failure does not
// crowd out other lines. It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mutex       sync.Mutex
	windowStart time.Time
	count       int
	suppressed  int
}

// NewLimiter returns a Limiter that allows perSecond lines per second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written at the time at. If so, it also returns the
// number of lines suppressed since the last allowed line.
func (l *Limiter) Allow(at time.Time) (suppressed int, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if at.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.count = at, 0
	}
	if l.count >= l.perSecond {
		l.suppressed++
		return 0, false
	}
	l.count++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
