package simulate

import "time"

// epochStart is the wall time at virtual time zero.
var epochStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Clock is the clock of one machine. Its rate may drift and its wall time may step;
// its monotonic time never steps.
type Clock struct {
	scheduler *Scheduler
	rate      float64
	// since and elapsed are the virtual and the monotonic time of the last rate
	// change.
	since   time.Duration
	elapsed time.Duration
	offset  time.Duration
}

// NewClock returns a clock that runs at the rate of virtual time.
func NewClock(scheduler *Scheduler) *Clock {
	return &Clock{scheduler: scheduler, rate: 1, since: scheduler.Now(), elapsed: scheduler.Now()}
}

// Monotonic returns the time elapsed on this clock.
func (c *Clock) Monotonic() time.Duration {
	passed := c.scheduler.Now() - c.since
	return c.elapsed + time.Duration(float64(passed)*c.rate)
}

// Now returns the wall time of this clock.
func (c *Clock) Now() time.Time { return epochStart.Add(c.Monotonic() + c.offset) }

// SetRate sets the rate relative to virtual time; 1.01 runs 1% fast.
func (c *Clock) SetRate(rate float64) {
	c.elapsed = c.Monotonic()
	c.since = c.scheduler.Now()
	c.rate = rate
}

// Step shifts the wall time.
func (c *Clock) Step(by time.Duration) { c.offset += by }

// Virtual converts a duration on this clock to virtual time.
func (c *Clock) Virtual(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / c.rate)
}
