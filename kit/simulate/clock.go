package simulate

import "time"

// epochStart is the wall time at virtual time zero.
var epochStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Clock is the clock of one machine: it drifts, and its wall time may step. The
// monotonic time drifts and never steps.
type Clock struct {
	scheduler *Scheduler
	rate      float64
	// since and elapsed are the virtual and the monotonic time when the rate last changed.
	since   time.Duration
	elapsed time.Duration
	offset  time.Duration
}

// NewClock makes a clock that runs at the rate of virtual time.
func NewClock(scheduler *Scheduler) *Clock {
	return &Clock{scheduler: scheduler, rate: 1, since: scheduler.Now(), elapsed: scheduler.Now()}
}

// Monotonic returns the time that has passed by this clock.
func (c *Clock) Monotonic() time.Duration {
	passed := c.scheduler.Now() - c.since
	return c.elapsed + time.Duration(float64(passed)*c.rate)
}

// Now returns the wall time by this clock.
func (c *Clock) Now() time.Time { return epochStart.Add(c.Monotonic() + c.offset) }

// SetRate changes how fast the clock runs: 1.01 gains a hundredth.
func (c *Clock) SetRate(rate float64) {
	c.elapsed = c.Monotonic()
	c.since = c.scheduler.Now()
	c.rate = rate
}

// Step moves the wall time.
func (c *Clock) Step(by time.Duration) { c.offset += by }

// Virtual returns how much virtual time passes while this clock counts the duration.
func (c *Clock) Virtual(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / c.rate)
}
