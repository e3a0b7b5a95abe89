package asynclog

import (
	"sync"
	"time"
)

// Limiter bounds the lines of one kind, so that a failure that strikes everyone at once
// does not push other lines out.
type Limiter struct {
	perSecond int

	mutex      sync.Mutex
	second     time.Time
	count      int
	suppressed int
}

// NewLimiter allows so many lines in each second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written at the time, and how many were not since
// the last that was.
func (l *Limiter) Allow(at time.Time) (suppressed int, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if at.Sub(l.second) >= time.Second {
		l.second, l.count = at, 0
	}
	if l.count >= l.perSecond {
		l.suppressed++
		return 0, false
	}
	l.count++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
