package relay

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/residency"
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
)

// forecast is when the model of a row should be ready, as the leader said at heardAt.
type forecast struct {
	readyAt time.Time
	heardAt time.Time
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
	return max(0, min(readyAt.Sub(now)+returnSlack, share(w.deadline.Sub(now), returnShare)))
}

func share(of time.Duration, part float64) time.Duration { return time.Duration(float64(of) * part) }

// deferNow tells whether a request that has just come should come back instead of waiting.
// It runs under the mutex.
func (r *Router) deferNow(state *rowState, wanted *waiter) (time.Duration, bool) {
	now := r.now()
	if state.forecast.heardAt.IsZero() || now.Sub(state.forecast.heardAt) > forecastLife {
		return 0, false
	}
	after, isDeferred := wanted.deferral(now, state.forecast.readyAt)
	if isDeferred {
		state.expect(now, wanted, after)
	}
	return after, isDeferred
}

// expect notes that a caller will come back.
func (s *rowState) expect(now time.Time, wanted *waiter, after time.Duration) {
	s.absentees = append(s.absentees, absentee{
		since: wanted.since, until: now.Add(after + returnLife), priority: wanted.priority,
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
		var staying []*waiter
		for _, wanted := range state.waiters {
			after, isDeferred := wanted.deferral(now, state.forecast.readyAt)
			if !isDeferred {
				staying = append(staying, wanted)
				continue
			}
			state.expect(now, wanted, after)
			wanted.deferred <- after
		}
		state.waiters = staying
	}
}

// comeBackIn is after how long the caller of a request that was given up should come back:
// when its model should be ready, as far as that is known.
func (r *Router) comeBackIn(wanted *waiter) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	if r.isCutOff(now, rowName(wanted.row)) {
		return max(retryAfterNow, share(wanted.deadline.Sub(now), returnShare))
	}
	state := r.rows[wanted.row]
	if state == nil || state.forecast.heardAt.IsZero() || now.Sub(state.forecast.heardAt) > forecastLife {
		return retryAfterNow
	}
	return max(retryAfterNow, wanted.comeBackIn(now, state.forecast.readyAt))
}

// tellToComeBack answers a request that has not been sent to any runner.
func (x *exchange) tellToComeBack(after time.Duration) {
	x.count("come_back")
	level.Info(x.router.logger).Log("msg", "A request was told to come back.", "request", x.request.ID,
		"route", x.route.Name, "model", x.row.Model, "adapter", x.row.Adapter, "after", after,
		"age", x.router.age(x.request), "version", x.version)
	refuse(x.writer, http.StatusServiceUnavailable, after, "the model is being loaded")
}
