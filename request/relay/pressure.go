package relay

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/request/pressure"
)

// ownPressure tells whether the router's own machine bears its work.
type ownPressure struct {
	mutex sync.Mutex
	gauge pressure.Gauge
}

// observeLateness takes by how much a timer of the router was late.
func (r *Router) observeLateness(now time.Time, late time.Duration) {
	r.pressure.mutex.Lock()
	defer r.pressure.mutex.Unlock()
	changed := r.pressure.gauge.Observe(now, late)
	usual := r.pressure.gauge.Late()
	r.metrics.lateness.Set(usual.Seconds())
	if !changed {
		return
	}
	if r.pressure.gauge.IsUnder() {
		r.metrics.pressed.Set(1)
		level.Warn(r.logger).Log("msg", "This router is at its limit and lets connections go.", "timers_late", usual)
		return
	}
	r.metrics.pressed.Set(0)
	level.Info(r.logger).Log("msg", "This router is no longer at its limit.", "timers_late", usual)
}

// isPressed reports whether the router is at its limit, so that it has to find out when it is no longer.
func (r *Router) isPressed() bool {
	r.pressure.mutex.Lock()
	defer r.pressure.mutex.Unlock()
	return r.pressure.gauge.IsUnder()
}

// LetsGo reports whether the connection that an answer goes out on should be closed after it, as the router
// is at its limit. Its caller then finds another one.
func (r *Router) LetsGo() bool {
	r.pressure.mutex.Lock()
	defer r.pressure.mutex.Unlock()
	if !r.pressure.gauge.LetGo(r.now()) {
		return false
	}
	r.metrics.letGo.Inc()
	return true
}
