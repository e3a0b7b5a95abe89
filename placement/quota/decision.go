package quota

import "time"

// decision is the state while a router's query about one tenant is answered.
type decision struct {
	window *window
	at     time.Time
	// held is the amount that the router holds, admitted the cost of the requests admitted so far.
	held     float64
	admitted float64
	// headroom is the amount that the pacing still allows, booked the part of it that is kept for
	// bookings.
	headroom float64
	booked   float64
	// roomIn is the time until the next rejected request should have room; 0 if none was rejected.
	roomIn time.Duration
}

func (w *window) newDecision(at time.Time, held float64) *decision {
	w.bookings.expire(at)
	w.rejections.expire(at)
	return &decision{window: w, at: at, held: held, headroom: w.headroom(at) + held, booked: w.bookings.required(at, w.sustainedRate)}
}

// answerAll decides on all requests of a query. Requests of routers of the previous version are
// admitted in order, up to the first that does not fit.
func (r *decision) answerAll(want Want) []Answer {
	asks, isIndividual := want.asks()
	answers := make([]Answer, len(asks))
	for _, i := range want.order() {
		answers[i] = r.answer(asks[i], clampAmount(want.Waiting[i]))
		r.count(answers[i])
		if !isIndividual && !answers[i].IsAdmitted {
			return nil
		}
	}
	if !isIndividual {
		return nil
	}
	return answers
}

func (r *decision) count(answer Answer) {
	counts := &r.window.counts
	if answer.IsAdmitted || answer.ComeBackIn > 0 {
		counts.asked++
	}
	if answer.ComeBackIn > 0 {
		counts.rejected++
	}
}

// unbooked returns the headroom left for requests without a booking.
func (r *decision) unbooked() float64 { return r.headroom - r.booked }

// isUncontended reports whether enough is left after a cost to admit every request.
func (r *decision) isUncontended(cost float64) bool {
	return r.unbooked()-cost >= r.window.burstCapacity*uncontendedShare
}

// answer decides on a request. Bookings are honored. Without contention all requests are admitted,
// otherwise only those of classes below their share. A rejected request gets a booking if there is
// one that its caller can use.
func (r *decision) answer(ask Ask, cost float64) Answer {
	w := r.window
	ask.Due, ask.Away = clampDuration(ask.Due), clampDuration(ask.Away)
	class := w.classes.of(r.at, ask.Class)
	class.isUrgent = ask.Due <= urgentTime
	index := w.bookings.find(ask.Digest)
	if index >= 0 {
		return r.redeem(index, class, cost)
	}
	if w.rejections.isEarly(r.at, ask.Digest) && !r.isUncontended(cost) {
		r.recordRoomIn(w.length)
		return Answer{ComeBackIn: w.length}
	}
	isEligible := r.isUncontended(cost) || w.classes.isBelowShare(class) && w.covers(r.unbooked(), cost)
	switch {
	case isEligible && r.fits(cost):
		return r.admit(class, cost, true)
	case isEligible && r.fitsWithLog(cost):
		return Answer{}
	}
	w.classes.recordAsked(class, cost)
	return Answer{ComeBackIn: r.reject(ask, class, cost)}
}

// redeem answers a request with a booking. An early request is admitted if there is no contention,
// and otherwise told the remaining time.
func (r *decision) redeem(index int, class *classUse, cost float64) Answer {
	w := r.window
	early := w.bookings.entries[index].at.Sub(r.at)
	if early > bookingTolerance && !r.isUncontended(cost) {
		r.recordRoomIn(early)
		return Answer{ComeBackIn: early}
	}
	if !r.fits(cost) {
		if r.fitsWithLog(cost) {
			return Answer{}
		}
		in := max(grantStep, w.roomIn(r.at, r.admitted+cost-r.held-w.available))
		r.recordRoomIn(in)
		return Answer{ComeBackIn: in}
	}
	w.bookings.remove(index)
	r.booked = w.bookings.required(r.at, w.sustainedRate)
	return r.admit(class, cost, false)
}

// fits reports whether a request can be granted now. fitsWithLog reports whether it can be after
// the next reservation.
func (r *decision) fits(cost float64) bool {
	return r.admitted+cost-r.held <= r.window.available
}

func (r *decision) fitsWithLog(cost float64) bool {
	return r.admitted+cost-r.held <= r.window.available+r.window.unreserved()+r.window.proposed
}

func (r *decision) admit(class *classUse, cost float64, isNew bool) Answer {
	r.admitted += cost
	r.headroom -= cost
	if isNew {
		r.window.classes.recordAsked(class, cost)
		r.window.classes.recordServed(class, cost)
	}
	return Answer{IsAdmitted: true}
}

// reject returns when the caller should retry, and adds a booking if the caller can use one.
func (r *decision) reject(ask Ask, class *classUse, cost float64) time.Duration {
	w := r.window
	isBookable := ask.Digest != 0 && len(w.bookings.entries) < maxBookings && w.classes.isBelowShare(class)
	if in := r.bookable(ask, cost); isBookable && in > 0 {
		w.bookings.add(booking{digest: ask.Digest, cost: cost, at: r.at.Add(in), class: class})
		w.classes.recordServed(class, cost)
		w.counts.booked++
		r.booked = w.bookings.required(r.at, w.sustainedRate)
		r.recordRoomIn(in)
		return in
	}
	in := max(w.headroomIn(r.unbooked(), cost), w.roomIn(r.at, r.admitted+cost-r.held-w.available), grantStep)
	if ask.Away > 0 {
		// There is no usable booking, and load cannot be predicted beyond the window.
		in = max(in, w.length)
		w.rejections.add(r.at, ask.Digest, ask.Away)
	}
	r.recordRoomIn(in)
	return in
}

// bookable returns the time until an amount can be booked for a request, or 0 if there is no time
// that its caller can use.
func (r *decision) bookable(ask Ask, cost float64) time.Duration {
	w, debt := r.window, max(0, -r.headroom)
	// Patient callers leave the next moments to urgent ones.
	in := w.bookings.earliest(r.at, ask.Due/2, min(ask.Due, ask.Away), w.sustainedRate*timelyShare, debt, cost)
	if in == 0 {
		in = w.bookings.earliest(r.at, bookingSlot, ask.Away, w.sustainedRate*lateShare, debt, cost)
	}
	return in
}

func (r *decision) recordRoomIn(in time.Duration) {
	if r.roomIn == 0 || in < r.roomIn {
		r.roomIn = in
	}
}
