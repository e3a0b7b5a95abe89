package relay

import (
	"maps"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// promptShare is the part of a request's objective within which it is told to come
	// back, or else waits: platforms value a refusal only while it is prompt, at a quarter
	// of the objective; the rest is for the way.
	promptShare = 0.22
	// inTimeShare is the part of the objective within which a load must end for a waiting
	// request to be in time; the rest is for reading the prompt.
	inTimeShare = 0.8
	// returnShare is the largest part of its time that a caller is asked to stay away.
	returnShare = 1.0 / 3
	// returnSlack is added to the time of the forecast, for the way of the news.
	returnSlack = 150 * time.Millisecond
	// returnLife is how long after its time a caller that was told to come back is counted
	// as waiting: a new connection and a late timer fit in.
	returnLife = 1500 * time.Millisecond
	// firstShare is the part of the longest time that callers of a route have given from
	// which a request counts as a first try. Those that come back have less left.
	firstShare = 0.95
	// longestDecay is how far the longest time moves towards that of each request which
	// gives less, so that a single caller with much time does not count for ever.
	longestDecay = 0.02
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

// deferral decides whether a request whose model should be ready at readyAt is better
// told to come back, and after how long. It waits if it would be in time, and if it has
// waited too long already for a prompt refusal.
func (w *waiter) deferral(now, readyAt time.Time) (time.Duration, bool) {
	if !w.mayDefer || now.Sub(w.since) > share(w.objective, promptShare) {
		return 0, false
	}
	if readyAt.Sub(w.since) <= share(w.objective, inTimeShare) {
		return 0, false
	}
	longest := share(w.deadline.Sub(now), returnShare)
	return min(readyAt.Sub(now)+returnSlack, longest), true
}

func share(of time.Duration, part float64) time.Duration { return time.Duration(float64(of) * part) }

// deferNow tells whether a request that has just come should come back instead of waiting.
// It runs under the mutex.
func (r *Router) deferNow(state *rowState, wanted *waiter) (time.Duration, bool) {
	now := time.Now()
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
	now := time.Now()
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

// noteWait learns how long callers of a route give a request, and reports whether the
// request seems to be a first try.
func (r *Router) noteWait(route string, wait time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	longest := r.longestWaits[route]
	if wait <= 0 {
		return false
	}
	if wait < longest {
		r.longestWaits[route] = longest - share(longest-wait, longestDecay)
	} else {
		r.longestWaits[route] = wait
	}
	return wait >= share(longest, firstShare)
}

// forgetWaits drops what was learned about routes that the document does not list.
func (r *Router) forgetWaits(document *site.Document) {
	listed := make(map[string]bool, len(document.Routes))
	for i := range document.Routes {
		listed[document.Routes[i].Name] = true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.longestWaits, func(route string, _ time.Duration) bool { return !listed[route] })
}

// tellToComeBack answers a request that has not been sent to any runner.
func (x *exchange) tellToComeBack(after time.Duration) {
	x.count("come_back")
	level.Info(x.router.logger).Log("msg", "A request was told to come back.", "request", x.request.ID,
		"route", x.route.Name, "model", x.row.Model, "adapter", x.row.Adapter, "after", after,
		"age", time.Since(x.request.Arrived), "version", x.version)
	refuse(x.writer, http.StatusServiceUnavailable, after, "the model is being loaded")
}
