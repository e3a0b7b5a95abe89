package emulator

import (
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
)

// Clock maps wall-clock time to the virtual time of the cores.
type Clock struct {
	origin time.Time
	scale  float64
}

// NewClock returns a clock that starts at the current time and runs scale times as fast
// as the wall clock; a scale of 0 means 1.
func NewClock(scale float64) *Clock {
	option.Default(&scale, 1)
	return &Clock{origin: time.Now(), scale: scale}
}

// Now returns the current virtual time.
func (c *Clock) Now() time.Time {
	return c.origin.Add(time.Duration(float64(time.Since(c.origin)) * c.scale))
}

// until returns the wall-clock duration until a virtual time.
func (c *Clock) until(at time.Time) time.Duration {
	return time.Duration(float64(at.Sub(c.Now()))/c.scale) + 1
}

// alarm calls a function when the next event of a core is due. It uses no goroutine
// while it waits. The mutex of the core's server guards it.
type alarm struct {
	clock *Clock
	fire  func()
	timer *time.Timer
	// at is the time for which the timer is set; zero if it is not set.
	at time.Time
}

// set arms the alarm for at, or disarms it if found is false.
func (a *alarm) set(at time.Time, found bool) {
	if !found {
		a.stop()
		return
	}
	if at.Equal(a.at) {
		return
	}
	a.at = at
	if a.timer == nil {
		a.timer = time.AfterFunc(a.clock.until(at), a.fire)
		return
	}
	a.timer.Reset(a.clock.until(at))
}

func (a *alarm) stop() {
	a.at = time.Time{}
	if a.timer != nil {
		a.timer.Stop()
	}
}
