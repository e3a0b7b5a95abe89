package relay

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/request/pressure"
)

// overload detects whether the router's machine is overloaded.
type overload struct {
	mutex sync.Mutex
	gauge pressure.Gauge
}

// observeLateness records by how much a timer of the router was late.
func (r *Router) observeLateness(now time.Time, late time.Duration) {
	r.overload.mutex.Lock()
	defer r.overload.mutex.Unlock()
	changed := r.overload.gauge.Observe(now, late)
	usual := r.overload.gauge.MedianDelay()
	r.metrics.lateness.Set(usual.Seconds())
	if !changed {
		return
	}
	if r.overload.gauge.IsUnderPressure() {
		r.metrics.overloaded.Set(1)
		level.Warn(r.logger).Log("msg", "This router is at its limit and lets connections go.", "timers_late", usual)
		return
	}
	r.metrics.overloaded.Set(0)
	level.Info(r.logger).Log("msg", "This router is no longer at its limit.", "timers_late", usual)
}

// isOverloaded reports whether the router is overloaded, so that it must keep measuring until it no
// longer is.
func (r *Router) isOverloaded() bool {
	r.overload.mutex.Lock()
	defer r.overload.mutex.Unlock()
	return r.overload.gauge.IsUnderPressure()
}

// ShouldCloseConnection reports whether the caller's connection should be closed after the response because the
// router is overloaded. The caller then reconnects, possibly to another router.
func (r *Router) ShouldCloseConnection() bool {
	r.overload.mutex.Lock()
	defer r.overload.mutex.Unlock()
	if !r.overload.gauge.ShouldClose(r.now()) {
		return false
	}
	r.metrics.connectionsClosed.Inc()
	return true
}
