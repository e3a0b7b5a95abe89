package relay

import (
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/residency"
)

// countRequest counts a request for its service's retry budget and its row's demand.
func (r *Router) countRequest(row residency.Row, objective time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.noteWork()
	r.budget(row.Service).addRequest(r.now())
	state := r.rowState(row)
	state.arrived++
	if objective > 0 && (state.objective == 0 || objective < state.objective) {
		state.objective = objective
	}
}

// mayRepeat takes one retry from the budget of the service.
func (r *Router) mayRepeat(service string) bool {
	_, isTaken := r.reserveRepeat(service)
	return isTaken
}

// reserveRepeat takes one retry from the budget of the service, to be used with mayUseReserved, and returns when.
func (r *Router) reserveRepeat(service string) (takenAt time.Time, isTaken bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.takeRepeat(service)
}

// takeRepeat is reserveRepeat for callers that hold r.mutex.
func (r *Router) takeRepeat(service string) (takenAt time.Time, isTaken bool) {
	now := r.now()
	isTaken = r.budget(service).tryRepeat(now, &r.routerCount)
	r.metrics.repeats.WithLabelValues(strconv.FormatBool(isTaken)).Inc()
	return now, isTaken
}

// mayUseReserved reports whether a retry that was taken from the budget of the service at the given time may be sent now.
func (r *Router) mayUseReserved(service string, takenAt time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget(service).useReserved(takenAt, r.now(), &r.routerCount)
}

// allowsRepeat reports whether the budget of the service allows a retry, without taking it.
func (r *Router) allowsRepeat(service string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget(service).allowsRepeat(r.now(), &r.routerCount)
}

// observeRouterCount records the number of routers as of the time at, by which bounds over all routers are divided. The
// caller must hold r.mutex.
func (r *Router) observeRouterCount(at time.Time, routers int) {
	r.routerCount.observe(at, routers, r.options.Retry.countHold())
	r.balancer.SetRouters(r.routerCount.routers)
	extra := r.options.Retry.share(r.startedAt, r.now(), &r.routerCount)
	if extra == r.retryExtra {
		return
	}
	level.Info(r.logger).Log("msg", "The router's share of the retry budget changes.", "routers", r.routerCount.routers, "told", routers,
		"extra", extra, "before", r.retryExtra)
	r.metrics.retryExtra.Set(extra)
	r.retryExtra = extra
}

func (r *Router) budget(service string) *budget {
	known := r.budgets[service]
	if known == nil {
		known = newBudget(r.options.Retry, r.startedAt)
		r.budgets[service] = known
	}
	return known
}
