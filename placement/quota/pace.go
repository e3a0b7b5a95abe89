package quota

import "time"

const (
	// floorShare is the part of its rate that a limit keeps for each second to come. What the
	// window allows beyond that may be spent at once. With 1, a tenant that asks for any
	// multiple of its limit gets its whole rate in every second, and the burst once in a window.
	floorShare = 1.0
	// minCreditTime of the rate may be spent at once whatever the burst: callers of a limit without a
	// burst come by chance several at a time. The floor is as much lower.
	minCreditTime = time.Second
	// easyShare is the part of that credit down to which whoever comes is admitted. Below it the
	// kinds of requests take turns, and nothing is lent to routers.
	easyShare = 0.5
)

// setPace adopts what a limit allows in a window: floor a second, and credit at once.
func (w *window) setPace() {
	w.credit = min(w.most, max(w.most-w.limit.Rate*floorShare*w.length.Seconds(), w.limit.Rate*minCreditTime.Seconds()))
	w.floor = (w.most - w.credit) / w.length.Seconds()
}

// level is what may be granted now so that floor can be granted in each second of the window to
// come. It is below 0 after a request larger than the credit.
//
// Whatever is granted now and in the s seconds to come, with what was granted in the rest of the
// window before, must stay within most. For each s up to the window, that leaves
// credit + floor × (window - s) less what was granted in the last window - s seconds.
func (w *window) level(at time.Time) float64 {
	if w.used <= w.credit*easyShare {
		// No more can be missing than was used.
		return w.credit - w.used
	}
	level, used := w.credit, 0.0
	granted, inherited := len(w.granted)-1, len(w.inherited)-1
	for granted >= 0 || inherited >= 0 {
		var step grantedStep
		var until time.Time
		if granted >= 0 {
			step, until = w.granted[granted], w.granted[granted].until
		}
		if inherited >= 0 {
			// When a former leader can first have granted it. The window counts the last time.
			if first := w.inherited[inherited].until.Add(-reservationLife); granted < 0 || first.After(until) {
				step, until = w.inherited[inherited], first
				granted++
				inherited--
			}
		}
		granted--
		used += step.amount
		level = min(level, w.credit+w.floor*max(0, at.Sub(until)).Seconds()-used)
	}
	return level
}

// covers reports whether a level is enough for a request. One that is larger than the credit is
// let in when all of the credit is there.
func (w *window) covers(level, cost float64) bool { return level >= min(cost, w.credit) }

// levelIn is after how long the level covers a request, if nothing else is granted.
func (w *window) levelIn(level, cost float64) time.Duration {
	missing := min(cost, w.credit) - level
	if missing <= 0 || w.floor <= 0 {
		return 0
	}
	return time.Duration(min(missing/w.floor, w.length.Seconds()) * float64(time.Second))
}
