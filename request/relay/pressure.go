package relay

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/request/pressure"
)

// overload detects whether the router's machine is overloaded.
type overload struct {
	mutex     sync.Mutex
	gauge     pressure.Gauge
	admission pressure.Admission
}

// observeLateness records by how much a timer of the router was late.
func (r *Router) observeLateness(now time.Time, late time.Duration) {
	r.overload.mutex.Lock()
	defer r.overload.mutex.Unlock()
	changed := r.overload.gauge.Observe(now, late)
	usual := r.overload.gauge.MedianDelay()
	wasLimited := r.overload.admission.Limit() > 0
	r.overload.admission.Adjust(now, usual, r.overload.gauge.IsUnderPressure())
	r.noteAdmissionLimit(wasLimited, usual)
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

// noteAdmissionLimit records that new connections are limited from now on, or no more. The caller must hold the mutex of
// r.overload.
func (r *Router) noteAdmissionLimit(wasLimited bool, usual time.Duration) {
	limit := r.overload.admission.Limit()
	r.metrics.admissionLimit.Set(limit)
	switch {
	case limit > 0 && !wasLimited:
		level.Warn(r.logger).Log("msg", "This router refuses part of its new connections.", "admitted_per_second", limit, "timers_late", usual)
	case limit == 0 && wasLimited:
		level.Info(r.logger).Log("msg", "This router admits all new connections again.", "timers_late", usual)
	}
}

// AdmitConnection reports whether a new connection of a caller may be read. One that is not is to be closed unread, so that
// the caller tries another router. hasRoom tells whether the process has room for it.
func (r *Router) AdmitConnection(hasRoom bool) bool {
	if !hasRoom {
		r.metrics.connectionsRefused.WithLabelValues("full").Inc()
		return false
	}
	r.overload.mutex.Lock()
	defer r.overload.mutex.Unlock()
	if r.overload.admission.Admit(r.now()) {
		return true
	}
	r.metrics.connectionsRefused.WithLabelValues("late").Inc()
	return false
}

// isOverloaded reports whether the router is overloaded, so that it must keep measuring until it no
// longer is.
func (r *Router) isOverloaded() bool {
	r.overload.mutex.Lock()
	defer r.overload.mutex.Unlock()
	return r.overload.gauge.IsUnderPressure() || r.overload.admission.Limit() > 0
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
