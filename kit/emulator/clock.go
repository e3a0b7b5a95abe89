package emulator

import (
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
)

// Clock relates the virtual time of the cores to the time of the machine.
type Clock struct {
	origin time.Time
	scale  float64
}

// NewClock makes a clock that starts now and runs scale times as fast as the
// machine's; a scale of 0 means 1.
func NewClock(scale float64) *Clock {
	option.Default(&scale, 1)
	return &Clock{origin: time.Now(), scale: scale}
}

// Now returns the virtual time.
func (c *Clock) Now() time.Time {
	return c.origin.Add(time.Duration(float64(time.Since(c.origin)) * c.scale))
}

// until returns how long the machine's time takes to reach a virtual time.
func (c *Clock) until(at time.Time) time.Duration {
	return time.Duration(float64(at.Sub(c.Now()))/c.scale) + 1
}

// alarm calls a function when a core's next event is due. It takes no goroutine
// while it waits. The caller guards it with the core's mutex.
type alarm struct {
	clock *Clock
	fire  func()
	timer *time.Timer
	// at is what the timer is set to; zero when it is not set.
	at time.Time
}

// set arms the alarm for at, or disarms it when found is false.
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
