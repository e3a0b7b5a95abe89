package clock

import (
	"sync/atomic"
	"time"
)

// suspension measures how long the machine was suspended since the first reading.
type suspension struct {
	// base is the difference between the clocks at the first reading, in nanoseconds.
	base int64
	// maximum is the largest difference since then.
	maximum atomic.Int64
}

// newSuspension takes the first reading of the clock that includes suspensions, and a reading of
// the monotonic clock made right after it.
func newSuspension(bootTime, monotonicTime time.Duration) *suspension {
	s := &suspension{base: int64(bootTime - monotonicTime)}
	s.maximum.Store(s.base)
	return s
}

// observe adds readings made in the same order. A delay between the two can only make their
// difference too small, so the largest difference is the most accurate.
func (s *suspension) observe(bootTime, monotonicTime time.Duration) {
	difference := int64(bootTime - monotonicTime)
	for current := s.maximum.Load(); difference > current; current = s.maximum.Load() {
		if s.maximum.CompareAndSwap(current, difference) {
			return
		}
	}
}

// minimumSuspension is the shortest total that is reported. It exceeds the delay between the two
// readings.
const minimumSuspension = 10 * time.Millisecond

// total returns how long the machine was suspended since the first reading.
func (s *suspension) total() time.Duration {
	total := time.Duration(s.maximum.Load() - s.base)
	if total < minimumSuspension {
		return 0
	}
	return total
}

// processSuspension measures suspensions since the process started.
var processSuspension = func() *suspension {
	counting, steady, err := readClocks()
	if err != nil {
		return newSuspension(0, 0)
	}
	return newSuspension(counting, steady)
}()

// Now returns time.Now plus the time for which the machine was suspended since the process started.
// Its results may only be compared with each other. On systems without a clock that includes
// suspensions it equals time.Now.
func Now() time.Time {
	if bootTime, monotonicTime, err := readClocks(); err == nil {
		processSuspension.observe(bootTime, monotonicTime)
	}
	return time.Now().Add(processSuspension.total())
}

// Suspended returns how long the machine was suspended since the process started, as of the last
// call of Now.
func Suspended() time.Duration { return processSuspension.total() }
