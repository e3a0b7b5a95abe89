package overload

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/simulate"
)

// wakeup calls a host at the earliest of the times that it asked for since the last call.
type wakeup struct {
	// at is the time that is scheduled; 0 means none.
	at time.Duration
}

// set schedules run at when, unless a call at that time or earlier is scheduled. A
// call that was scheduled for later does not come.
func (w *wakeup) set(scheduler *simulate.Scheduler, when time.Duration, run func()) {
	if w.at > 0 && w.at <= when {
		return
	}
	w.at = when
	scheduler.At(when, func() {
		if w.at != when {
			return
		}
		w.at = 0
		run()
	})
}
