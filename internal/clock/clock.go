package clock

import (
	"sync/atomic"
	"time"
)

// suspension adds up how long the machine was suspended.
type suspension struct {
	// base is the difference of the two clocks at the first reading.
	base int64
	// longest is the greatest difference since.
	longest atomic.Int64
}

// newSuspension begins with a reading of the clock that counts suspensions, and one of the steady
// clock made right after it.
func newSuspension(counting, steady time.Duration) *suspension {
	s := &suspension{base: int64(counting - steady)}
	s.longest.Store(s.base)
	return s
}

// observe takes further readings in the same order. A pause between the two makes their difference too
// small, never too large, so that the greatest is the best.
func (s *suspension) observe(counting, steady time.Duration) {
	difference := int64(counting - steady)
	for known := s.longest.Load(); difference > known; known = s.longest.Load() {
		if s.longest.CompareAndSwap(known, difference) {
			return
		}
	}
}

// leastSuspension is what counts as one: two readings are microseconds apart, and a machine takes
// longer to stop and go on.
const leastSuspension = 10 * time.Millisecond

// total is how long the machine has been suspended since the first reading.
func (s *suspension) total() time.Duration {
	total := time.Duration(s.longest.Load() - s.base)
	if total < leastSuspension {
		return 0
	}
	return total
}

// own is the suspension of this machine since the process started.
var own = func() *suspension {
	counting, steady, err := readClocks()
	if err != nil {
		return newSuspension(0, 0)
	}
	return newSuspension(counting, steady)
}()

// Now is time.Now and the time for which the machine was suspended since the process started. Times
// that Now returned are compared with each other only. A machine that cannot tell has not been
// suspended.
func Now() time.Time {
	if counting, steady, err := readClocks(); err == nil {
		own.observe(counting, steady)
	}
	return time.Now().Add(own.total())
}

// Suspended is for how long the machine was suspended since the process started, as far as calls of
// Now found out.
func Suspended() time.Duration { return own.total() }
