package relay

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/request/fairqueue"
)

const (
	// maxRetryShare is the largest fraction of its remaining time that a caller is asked to wait
	// before a retry.
	maxRetryShare = 1.0 / 3
	// retrySlack is added to a forecast for the delay until routers learn that the model is loaded.
	retrySlack = 150 * time.Millisecond
	// retryGrace is how long after its Retry-After a caller still counts as waiting. It covers a
	// new connection and a late timer.
	retryGrace = 1500 * time.Millisecond
	// forecastTTL is how long a forecast is used for new requests.
	forecastTTL = 700 * time.Millisecond
	// crowdedMargin times the expected wait must exceed the time that a request may wait for it to
	// be rejected: a service rate that dropped with the loss of runners recovers when they are
	// replaced. It is checked on arrival only, as rejecting requests that already wait leaves too
	// little time for a retry.
	crowdedMargin float64 = 1 / 1.5
)

// retryReason is why a caller is told to retry later.
type retryReason string

const (
	// reasonLoading means that the model is being loaded, reasonCrowded that too many requests wait
	// for the row, and reasonCoolingDown that all its runners have requested a cooldown.
	reasonLoading     retryReason = "come_back"
	reasonCrowded     retryReason = "crowded"
	reasonCoolingDown retryReason = "resting"
	// reasonNoVersion means that no runner of the software version that began the stream holds the row any more.
	reasonNoVersion retryReason = reasonVersionGone
)

// message returns the text for the caller.
func (r retryReason) message() string {
	switch r {
	case reasonCrowded:
		return "too many requests wait for the model"
	case reasonNoVersion:
		return "no runner of the software version that began the stream is left"
	case reasonCoolingDown:
		return "all runners that could take the request have asked for rest"
	}
	return "the model is being loaded"
}

// forecast is when the leader, heard at heardAt, expects the model of a row to be ready.
type forecast struct {
	readyAt time.Time
	heardAt time.Time
}

// at returns the forecast, and false if there is none or it has expired.
func (f *forecast) at(now time.Time) (readyAt time.Time, isKnown bool) {
	return f.readyAt, !f.heardAt.IsZero() && now.Sub(f.heardAt) <= forecastTTL
}

// deferredCaller is a caller that was told to retry later.
type deferredCaller struct {
	since time.Time
	// until is when the caller is no longer expected.
	until    time.Time
	priority int
}

// deferral reports whether a request whose model should be ready at readyAt is rejected at once,
// and after how long its caller should retry. A request waits only if the model should be ready
// before until; otherwise it would be held and then rejected anyway.
func (w *waiter) deferral(now, readyAt time.Time) (time.Duration, bool) {
	if !w.mayDefer || !readyAt.After(w.until) {
		return 0, false
	}
	return w.retryAfter(now, readyAt), true
}

// retryAfter returns after how long a caller should retry for a model that should be ready at
// readyAt. Most of the caller's time is left for the retry.
func (w *waiter) retryAfter(now, readyAt time.Time) time.Duration {
	return max(0, min(readyAt.Sub(now)+retrySlack, fraction(w.ticket.Deadline.Sub(now), maxRetryShare)))
}

func fraction(of time.Duration, part float64) time.Duration { return time.Duration(float64(of) * part) }

// deferNow returns when the caller of a new request should retry, or nil if the request should
// wait. The caller must hold r.mutex.
func (r *Router) deferNow(state *rowState, wanted *waiter) *retryLaterError {
	now := r.now()
	if retry := r.deferCrowded(now, wanted); retry != nil {
		state.addDeferred(now, wanted, retry)
		return retry
	}
	retry := r.deferral(now, state, wanted)
	if retry == nil {
		return nil
	}
	r.queue.Remove(&wanted.entry)
	state.addDeferred(now, wanted, retry)
	return retry
}

// deferral returns when a request that cannot be served before its wait limit should be retried, or
// nil if it may be served. The caller must hold r.mutex.
func (r *Router) deferral(now time.Time, state *rowState, wanted *waiter) *retryLaterError {
	if r.isVersionGone(wanted) {
		return &retryLaterError{reason: reasonNoVersion}
	}
	readyAt, reason, isKnown := r.readyAt(now, state, wanted)
	if !isKnown || r.isForecastDoubtful(wanted, reason) {
		return nil
	}
	after, isDeferred := wanted.deferral(now, readyAt)
	// A request that may have run must not be told to retry, but waiting would be useless too.
	isFutile := reason == reasonCoolingDown && readyAt.After(wanted.until)
	if !isDeferred && !isFutile {
		return nil
	}
	return &retryLaterError{after: after, reason: reason}
}

// isForecastDoubtful reports whether a request should wait though its model is said to be loading: it goes on with a stream, so that a
// runner held its model a moment ago, and a leader that has not heard from all runners forecasts loads of what they hold. The caller
// must hold r.mutex.
func (r *Router) isForecastDoubtful(wanted *waiter, reason retryReason) bool {
	return reason == reasonLoading && wanted.work.Version != "" && !r.knowsAllRunners()
}

// readyAt returns when a runner should be available for a request, from the leader's forecast and
// the cooldowns of runners, and false if that is not known. The caller must hold r.mutex.
func (r *Router) readyAt(now time.Time, state *rowState, wanted *waiter) (at time.Time, reason retryReason, isKnown bool) {
	if state != nil {
		at, isKnown = state.forecast.at(now)
	}
	if until, isCoolingDown := r.cooldownEnd(wanted); isCoolingDown && (!isKnown || until.Before(at)) {
		return until, reasonCoolingDown, true
	}
	return at, reasonLoading, isKnown
}

// deferCrowded rejects a request that would reach its wait limit before the requests ahead of it
// are served at the row's current rate. A tenant above its share has the most requests ahead and is
// rejected first. The caller must hold r.mutex.
func (r *Router) deferCrowded(now time.Time, wanted *waiter) *retryLaterError {
	in, isKnown := r.queue.StartIn(now, &wanted.entry)
	margin := crowdedMargin
	if limits := r.rowLimitOf(wanted.row); limits.isLimited() {
		// A rate set by the limits of the runners does not recover when runners are replaced.
		in, isKnown, margin = max(in, limits.minWait(r.queue.Ahead(now, &wanted.entry))), true, 1
	}
	if !wanted.mayDefer || !isKnown || !now.Add(fraction(in, margin)).After(wanted.until) {
		return nil
	}
	r.queue.Remove(&wanted.entry)
	return &retryLaterError{after: wanted.retryAfter(now, now.Add(in)), reason: reasonCrowded}
}

// addDeferred records a caller that is expected to retry, if the request may be deferred. One whose version is gone does not
// come back with the same stream.
func (s *rowState) addDeferred(now time.Time, wanted *waiter, retry *retryLaterError) {
	if !wanted.mayDefer || retry.reason == reasonNoVersion {
		return
	}
	s.deferredCallers = append(s.deferredCallers, deferredCaller{
		since: wanted.ticket.Arrived, until: now.Add(retry.after + retryGrace), priority: wanted.ticket.Rank,
	})
}

// adoptForecasts stores the leader's forecasts and defers the waiting requests that cannot be
// served in time.
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

// deferWaiters defers those waiting requests of a row that cannot be served in time. The caller
// must hold r.mutex.
func (r *Router) deferWaiters(now time.Time, state *rowState) {
	var leaving []*waiter
	var retries []*retryLaterError
	state.eachWaiter(func(entry *fairqueue.Entry[*waiter]) {
		if retry := r.deferral(now, state, entry.Value); retry != nil {
			leaving, retries = append(leaving, entry.Value), append(retries, retry)
		}
	})
	for i, wanted := range leaving {
		r.queue.Remove(&wanted.entry)
		state.addDeferred(now, wanted, retries[i])
		wanted.deferred <- retries[i]
	}
}

// deferAll calls deferWaiters for all rows. The caller must hold r.mutex.
func (r *Router) deferAll() {
	now := r.now()
	for _, state := range r.rows {
		if state.waiting() > 0 {
			r.deferWaiters(now, state)
		}
	}
}

// retryAfter returns after how long the caller of an abandoned request should retry: when its model
// should be ready, if that is known.
func (r *Router) retryAfter(wanted *waiter) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	if r.isPartitioned(now, rowName(wanted.row)) {
		return max(minRetryAfter, fraction(wanted.ticket.Deadline.Sub(now), maxRetryShare))
	}
	state := r.rows[wanted.row]
	if limits := r.rowLimitOf(wanted.row); state != nil && limits.isLimited() {
		return max(minRetryAfter, wanted.retryAfter(now, now.Add(limits.timeFor(state.waiting()+1))))
	}
	readyAt, _, isKnown := r.readyAt(now, state, wanted)
	if !isKnown {
		return minRetryAfter
	}
	return max(minRetryAfter, wanted.retryAfter(now, readyAt))
}

// rejectWithRetryAfter answers a request that was not sent to any runner.
func (x *exchange) rejectWithRetryAfter(retry *retryLaterError) {
	x.count(string(retry.reason))
	if x.tenant != nil {
		x.router.metrics.tenant(x.tenantName(), string(retry.reason))
	}
	level.Info(x.router.logger).Log("msg", "A request was told to come back.", "request", x.request.ID,
		"route", x.route.Name, "model", x.row.Model, "adapter", x.row.Adapter, "tenant", x.tenantName(), "outcome", string(retry.reason),
		"after", retry.after, "age", x.router.age(x.request), "version", x.version)
	reject(x.writer, http.StatusServiceUnavailable, retry.after, retry.reason.message())
}
