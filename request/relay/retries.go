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
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.takeRepeat(service)
}

// takeRepeat is mayRepeat for callers that hold r.mutex.
func (r *Router) takeRepeat(service string) bool {
	allowed := r.budget(service).tryRepeat(r.now(), &r.routerCount)
	r.metrics.repeats.WithLabelValues(strconv.FormatBool(allowed)).Inc()
	return allowed
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
