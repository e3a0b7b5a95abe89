package quota

import "time"

// round answers one question of a router about one tenant.
type round struct {
	window *window
	at     time.Time
	// held is what the router shows to hold, admitted the cost of those admitted so far.
	held     float64
	admitted float64
	// level is what the pace allows to admit further, and need the part of it that is promised.
	level float64
	need  float64
	// roomIn is when the next of those refused should have room; 0 if none is.
	roomIn time.Duration
}

func (w *window) newRound(at time.Time, held float64) *round {
	w.promises.expire(at)
	w.notices.expire(at)
	return &round{window: w, at: at, held: held, level: w.level(at) + held, need: w.promises.need(at, w.floor)}
}

// answerAll decides on all requests of a question. Those of routers of the version before are
// admitted in their order, up to the first for which there is no room.
func (r *round) answerAll(want Want) []Answer {
	asks, isEach := want.asks()
	answers := make([]Answer, len(asks))
	for _, i := range want.order() {
		answers[i] = r.answer(asks[i], figure(want.Waiting[i]))
		r.count(answers[i])
		if !isEach && !answers[i].IsAdmitted {
			return nil
		}
	}
	if !isEach {
		return nil
	}
	return answers
}

func (r *round) count(answer Answer) {
	counts := &r.window.counts
	if answer.IsAdmitted || answer.ComeBackIn > 0 {
		counts.asked++
	}
	if answer.ComeBackIn > 0 {
		counts.refused++
	}
}

// room is what is left for requests to which nothing was promised.
func (r *round) room() float64 { return r.level - r.need }

// isEasy reports whether so much is left after a cost that nobody need be chosen.
func (r *round) isEasy(cost float64) bool {
	return r.room()-cost >= r.window.credit*easyShare
}

// answer decides on a request: what was promised is kept; while there is plenty, all are
// admitted; then those kinds of requests whose turn it is. Who is refused is promised room at a
// time to come back at, if there is any that its caller can make use of.
func (r *round) answer(ask Ask, cost float64) Answer {
	w := r.window
	ask.Due, ask.Away = span(ask.Due), span(ask.Away)
	class := w.classes.of(r.at, ask.Class)
	class.isUrgent = ask.Due <= urgentTime
	place := w.promises.find(ask.Digest)
	if place >= 0 {
		return r.keep(place, class, cost)
	}
	if w.notices.isEarly(r.at, ask.Digest) && !r.isEasy(cost) {
		r.noteRoom(w.length)
		return Answer{ComeBackIn: w.length}
	}
	isTurn := r.isEasy(cost) || w.classes.isDue(class) && w.covers(r.room(), cost)
	switch {
	case isTurn && r.fits(cost):
		return r.admit(class, cost, true)
	case isTurn && r.fitsWithLog(cost):
		return Answer{}
	}
	w.classes.ask(class, cost)
	return Answer{ComeBackIn: r.refuse(ask, class, cost)}
}

// keep answers a request to which room was promised. One that comes early is admitted if
// there is plenty, and is told the rest of its time otherwise.
func (r *round) keep(place int, class *classUse, cost float64) Answer {
	w := r.window
	early := w.promises.listed[place].at.Sub(r.at)
	if early > promiseEarly && !r.isEasy(cost) {
		r.noteRoom(early)
		return Answer{ComeBackIn: early}
	}
	if !r.fits(cost) {
		if r.fitsWithLog(cost) {
			return Answer{}
		}
		in := max(grantStep, w.roomIn(r.at, r.admitted+cost-r.held-w.available))
		r.noteRoom(in)
		return Answer{ComeBackIn: in}
	}
	w.promises.remove(place)
	r.need = w.promises.need(r.at, w.floor)
	return r.admit(class, cost, false)
}

// fits reports whether a request can be granted now, and fitsWithLog whether it can be once the
// log has more.
func (r *round) fits(cost float64) bool {
	return r.admitted+cost-r.held <= r.window.available
}

func (r *round) fitsWithLog(cost float64) bool {
	return r.admitted+cost-r.held <= r.window.available+r.window.free()+r.window.proposed
}

func (r *round) admit(class *classUse, cost float64, isNew bool) Answer {
	r.admitted += cost
	r.level -= cost
	if isNew {
		r.window.classes.ask(class, cost)
		r.window.classes.serve(class, cost)
	}
	return Answer{IsAdmitted: true}
}

// refuse returns when the caller should come back. If it can make use of that time, room is kept
// for it.
func (r *round) refuse(ask Ask, class *classUse, cost float64) time.Duration {
	w := r.window
	isKept := ask.Digest != 0 && len(w.promises.listed) < maxPromises && w.classes.isDue(class)
	if in := r.bookable(ask, cost); isKept && in > 0 {
		w.promises.add(promise{digest: ask.Digest, cost: cost, at: r.at.Add(in), class: class})
		w.classes.serve(class, cost)
		w.counts.promised++
		r.need = w.promises.need(r.at, w.floor)
		r.noteRoom(in)
		return in
	}
	in := max(w.levelIn(r.room(), cost), w.roomIn(r.at, r.admitted+cost-r.held-w.available), grantStep)
	if ask.Away > 0 {
		// None is free that its caller can make use of, and nothing can be said of a rush beyond
		// the window.
		in = max(in, w.length)
		w.notices.add(r.at, ask.Digest, ask.Away)
	}
	r.noteRoom(in)
	return in
}

// bookable is after how long there will be room that may be promised to a request; 0 if there is
// none that its caller can make use of.
func (r *round) bookable(ask Ask, cost float64) time.Duration {
	w, debt := r.window, max(0, -r.level)
	// A caller that is in time for long leaves the next moments to those that are not.
	in := w.promises.earliest(r.at, ask.Due/2, min(ask.Due, ask.Away), w.floor*timelyShare, debt, cost)
	if in == 0 {
		in = w.promises.earliest(r.at, promiseSlot, ask.Away, w.floor*lateShare, debt, cost)
	}
	return in
}

func (r *round) noteRoom(in time.Duration) {
	if r.roomIn == 0 || in < r.roomIn {
		r.roomIn = in
	}
}
