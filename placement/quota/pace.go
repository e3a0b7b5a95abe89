package quota

import "time"

const (
	// sustainedShare is the part of the rate that is kept available for each coming second. The
	// rest of the window's amount may be spent at once. With 1, a tenant over its limit gets its
	// whole rate in every second, and the burst once per window.
	sustainedShare = 1.0
	// minBurstTime is the minimum burst capacity, as time at the limit's rate. It lets limits without
	// a burst admit requests that arrive together, and lowers the sustained rate accordingly.
	minBurstTime = time.Second
	// uncontendedShare is the part of the burst capacity above which every request is admitted.
	// Below it, the classes share the limit and routers are lent nothing.
	uncontendedShare = 0.5
)

// computeRates derives the burst capacity and the sustained rate from the limit.
func (w *window) computeRates() {
	w.burstCapacity = min(w.maxGranted, max(w.maxGranted-w.limit.Rate*sustainedShare*w.length.Seconds(), w.limit.Rate*minBurstTime.Seconds()))
	w.sustainedRate = (w.maxGranted - w.burstCapacity) / w.length.Seconds()
}

// headroom returns the amount that can be granted now while the sustained rate remains available
// for each second of the coming window. It is negative after a request larger than the burst
// capacity.
//
// For each s up to the window's length, what is granted now and in the next s seconds, and what was
// granted in the rest of the window before, must stay within maxGranted. This leaves burstCapacity
// + sustainedRate × (length - s) less what was granted in the last length - s seconds.
func (w *window) headroom(at time.Time) float64 {
	if w.used <= w.burstCapacity*uncontendedShare {
		// The reduction is at most the amount used.
		return w.burstCapacity - w.used
	}
	headroom, used := w.burstCapacity, 0.0
	granted, inherited := len(w.granted)-1, len(w.inherited)-1
	for granted >= 0 || inherited >= 0 {
		var step grantedStep
		var until time.Time
		if granted >= 0 {
			step, until = w.granted[granted], w.granted[granted].until
		}
		if inherited >= 0 {
			// The earliest time at which a former leader can have granted it. The window counts the
			// latest.
			if first := w.inherited[inherited].until.Add(-reservationTTL); granted < 0 || first.After(until) {
				step, until = w.inherited[inherited], first
				granted++
				inherited--
			}
		}
		granted--
		used += step.amount
		headroom = min(headroom, w.burstCapacity+w.sustainedRate*max(0, at.Sub(until)).Seconds()-used)
	}
	return headroom
}

// covers reports whether the headroom suffices for a request. A request larger than the burst
// capacity needs all of it.
func (w *window) covers(headroom, cost float64) bool { return headroom >= min(cost, w.burstCapacity) }

// headroomIn returns the time until the headroom covers a request if nothing else is granted.
func (w *window) headroomIn(headroom, cost float64) time.Duration {
	missing := min(cost, w.burstCapacity) - headroom
	if missing <= 0 || w.sustainedRate <= 0 {
		return 0
	}
	return time.Duration(min(missing/w.sustainedRate, w.length.Seconds()) * float64(time.Second))
}
