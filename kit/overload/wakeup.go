package overload

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/simulate"
)

// wakeup schedules at most one callback, at the earliest time requested since the last.
type wakeup struct {
	// at is the scheduled time, or 0 if there is none.
	at time.Duration
}

// set schedules run at when, unless a callback is scheduled at that time or earlier. It
// replaces a callback scheduled later.
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
