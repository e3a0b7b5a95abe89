package relay

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/request/fairqueue"
)

const (
	// returnShare is the largest part of its time that a caller is asked to stay away.
	returnShare = 1.0 / 3
	// returnSlack is added to the time of the forecast, for the way of the news.
	returnSlack = 150 * time.Millisecond
	// returnLife is how long after its time a caller that was told to come back is counted
	// as waiting: a new connection and a late timer fit in.
	returnLife = 1500 * time.Millisecond
	// forecastLife is how long a forecast is used for requests that come after it.
	forecastLife = 700 * time.Millisecond
	// crowdedMargin of the wait that is expected by the pace of a row must be more than the time that a
	// request may wait, or else it waits: a pace that fell with runners that were lost comes back with
	// others. It is looked at when a request comes, and not again: to tell those that wait, when their
	// chances had become worse, refused up to 3 in 100 that would be served in a play of runners that
	// crash, and left them too little time for another try.
	crowdedMargin float64 = 1 / 1.5
)

// comeBackReason is why a caller should come back instead of waiting.
type comeBackReason string

const (
	// reasonComeBack is that of a model that is being loaded, reasonCrowded that of a row in which
	// too many wait, reasonResting that of one whose runners all asked for rest.
	reasonComeBack comeBackReason = "come_back"
	reasonCrowded  comeBackReason = "crowded"
	reasonResting  comeBackReason = "resting"
)

// message tells the caller the reason.
func (r comeBackReason) message() string {
	switch r {
	case reasonCrowded:
		return "too many requests wait for the model"
	case reasonResting:
		return "all runners that could take the request have asked for rest"
	}
	return "the model is being loaded"
}

// forecast is when the model of a row should be ready, as the leader said at heardAt.
type forecast struct {
	readyAt time.Time
	heardAt time.Time
}

// at is when the model should be ready, and false if nothing was said lately.
func (f *forecast) at(now time.Time) (readyAt time.Time, isKnown bool) {
	return f.readyAt, !f.heardAt.IsZero() && now.Sub(f.heardAt) <= forecastLife
}

// absentee is a caller that was told to come back.
type absentee struct {
	since time.Time
	// until is when it is no longer expected.
	until    time.Time
	priority int
}

// deferral decides whether a request whose model should be ready at readyAt is given up at
// once, and after how long its caller should come back. It waits only as long as the model should
// be there before the request would be given up anyway: to be held, and then refused, is the
// worst that can happen to its caller.
func (w *waiter) deferral(now, readyAt time.Time) (time.Duration, bool) {
	if !w.mayDefer || !readyAt.After(w.until) {
		return 0, false
	}
	return w.comeBackIn(now, readyAt), true
}

// comeBackIn is after how long a caller should come back for a model that should be ready at
// readyAt: it keeps most of its time for the next try.
func (w *waiter) comeBackIn(now, readyAt time.Time) time.Duration {
	return max(0, min(readyAt.Sub(now)+returnSlack, share(w.ticket.Deadline.Sub(now), returnShare)))
}

func share(of time.Duration, part float64) time.Duration { return time.Duration(float64(of) * part) }

// deferNow tells when a request that has just come should come back instead of waiting; nil for one
// that waits. It runs under the mutex.
func (r *Router) deferNow(state *rowState, wanted *waiter) *comeBackError {
	now := r.now()
	if comeBack := r.deferCrowded(now, wanted); comeBack != nil {
		state.expect(now, wanted, comeBack.after)
		return comeBack
	}
	comeBack := r.deferral(now, state, wanted)
	if comeBack == nil {
		return nil
	}
	r.queue.Remove(&wanted.entry)
	state.expect(now, wanted, comeBack.after)
	return comeBack
}

// deferral is when a caller should come back whose request cannot be served in the time that it may wait; nil if it
// can, or may, as far as is known. It runs under the mutex.
func (r *Router) deferral(now time.Time, state *rowState, wanted *waiter) *comeBackError {
	readyAt, reason, isKnown := r.readyAt(now, state, wanted)
	if !isKnown {
		return nil
	}
	after, isDeferred := wanted.deferral(now, readyAt)
	// One that may have run is not told to come back, and does not wait in vain either.
	isInVain := reason == reasonResting && readyAt.After(wanted.until)
	if !isDeferred && !isInVain {
		return nil
	}
	return &comeBackError{after: after, reason: reason}
}

// readyAt is when there should be a runner for a request that has none, by the leader's forecast and by the rests that
// runners asked for; false if that is not known. It runs under the mutex.
func (r *Router) readyAt(now time.Time, state *rowState, wanted *waiter) (at time.Time, reason comeBackReason, isKnown bool) {
	if state != nil {
		at, isKnown = state.forecast.at(now)
	}
	if until, isResting := r.restsUntil(wanted); isResting && (!isKnown || until.Before(at)) {
		return until, reasonResting, true
	}
	return at, reasonComeBack, isKnown
}

// deferCrowded gives a request up that, by the pace of its row and those that go before it, would
// still wait when it must be given up. Who is above its share has the most before it, and is hit
// first. It runs under the mutex.
func (r *Router) deferCrowded(now time.Time, wanted *waiter) *comeBackError {
	in, isKnown := r.queue.StartIn(now, &wanted.entry)
	margin := crowdedMargin
	if limits := r.limitsOf(wanted.row); limits.isAll() {
		// This pace fell with nobody's loss, and does not come back with others.
		in, isKnown, margin = max(in, limits.leastWait(r.queue.Ahead(now, &wanted.entry))), true, 1
	}
	if !wanted.mayDefer || !isKnown || !now.Add(share(in, margin)).After(wanted.until) {
		return nil
	}
	r.queue.Remove(&wanted.entry)
	return &comeBackError{after: wanted.comeBackIn(now, now.Add(in)), reason: reasonCrowded}
}

// expect notes that a caller will come back, if it is told to.
func (s *rowState) expect(now time.Time, wanted *waiter, after time.Duration) {
	if !wanted.mayDefer {
		return
	}
	s.absentees = append(s.absentees, absentee{
		since: wanted.ticket.Arrived, until: now.Add(after + returnLife), priority: wanted.ticket.Rank,
	})
}

// adoptForecasts takes what the leader said about rows that wait, and tells callers for
// which that is better to come back.
func (r *Router) adoptForecasts(forecasts []residency.Forecast) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, each := range forecasts {
		state := r.rows[each.Row]
		if state == nil {
			continue
		}
		state.forecast = forecast{readyAt: now.Add(each.In), heardAt: now}
		r.deferWaiters(now, state)
	}
}

// deferWaiters tells those callers of a row to come back for whom that is better than to wait. It
// runs under the mutex.
func (r *Router) deferWaiters(now time.Time, state *rowState) {
	var leaving []*waiter
	var comeBacks []*comeBackError
	state.eachWaiter(func(entry *fairqueue.Entry[*waiter]) {
		if comeBack := r.deferral(now, state, entry.Value); comeBack != nil {
			leaving, comeBacks = append(leaving, entry.Value), append(comeBacks, comeBack)
		}
	})
	for i, wanted := range leaving {
		r.queue.Remove(&wanted.entry)
		state.expect(now, wanted, comeBacks[i].after)
		wanted.deferred <- comeBacks[i]
	}
}

// deferAll does the same for the callers of all rows. It runs under the mutex.
func (r *Router) deferAll() {
	now := r.now()
	for _, state := range r.rows {
		if state.waiting() > 0 {
			r.deferWaiters(now, state)
		}
	}
}

// comeBackIn is after how long the caller of a request that was given up should come back:
// when its model should be ready, as far as that is known.
func (r *Router) comeBackIn(wanted *waiter) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	if r.isCutOff(now, rowName(wanted.row)) {
		return max(retryAfterNow, share(wanted.ticket.Deadline.Sub(now), returnShare))
	}
	state := r.rows[wanted.row]
	if limits := r.limitsOf(wanted.row); state != nil && limits.isAll() {
		return max(retryAfterNow, wanted.comeBackIn(now, now.Add(limits.timeFor(state.waiting()+1))))
	}
	readyAt, _, isKnown := r.readyAt(now, state, wanted)
	if !isKnown {
		return retryAfterNow
	}
	return max(retryAfterNow, wanted.comeBackIn(now, readyAt))
}

// tellToComeBack answers a request that has not been sent to any runner.
func (x *exchange) tellToComeBack(comeBack *comeBackError) {
	x.count(string(comeBack.reason))
	if x.tenant != nil {
		x.router.metrics.tenant(x.tenantName(), string(comeBack.reason))
	}
	level.Info(x.router.logger).Log("msg", "A request was told to come back.", "request", x.request.ID,
		"route", x.route.Name, "model", x.row.Model, "adapter", x.row.Adapter, "tenant", x.tenantName(), "outcome", string(comeBack.reason),
		"after", comeBack.after, "age", x.router.age(x.request), "version", x.version)
	refuse(x.writer, http.StatusServiceUnavailable, comeBack.after, comeBack.reason.message())
}
