package relay

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/structs"
)

// observeBrittle applies what the answer to a request sent at the given time says of the runner's service: all
// runners of a brittle service say so in all answers. The leader is told at once and informs the other routers. The caller
// must hold r.mutex.
func (r *Router) observeBrittle(id structs.RunnerID, sent time.Time, answer *Answer) {
	runner := r.fleet.Runner(string(id))
	if runner == nil {
		return
	}
	said := answer.Notice.Brittle
	isEvidence := said.IsNamed || answer.tellsLimit()
	announced := ratelimit.Notice{IsNamed: said.IsNamed, PerSecond: said.PerSecond}
	if isEvidence && r.brittle.ObserveAnswer(r.now(), sent, runner.Service, announced) {
		r.changeBrittle(id, runner.Service, said.IsNamed)
	}
	if r.isBrittle(runner.Service) && answer.NotRun && !answer.NotHeld {
		r.noteNoRoom(id)
	}
}

// changeBrittle applies that the runners of a service have become brittle, bear another number of rejections, or are
// brittle no more. The caller must hold r.mutex.
func (r *Router) changeBrittle(id structs.RunnerID, service string, isNamed bool) {
	if isNamed {
		perSecond, _ := r.brittle.Of(service)
		r.logNotice("The runners of a service say that they are brittle.", id, "service", service, "rejections_per_second", perSecond)
	} else {
		r.logNotice("The runners of a service are brittle no more.", id, "service", service)
	}
	for instance := range r.candidates.runners {
		if runner := r.fleet.Runner(instance); runner != nil && runner.Service == service {
			r.applyBrittle(instance)
		}
	}
	if !isNamed {
		r.serveWaiters()
	}
	r.wakeReport()
}

// isBrittle reports whether the runners of a service are brittle. The caller must hold r.mutex.
func (r *Router) isBrittle(service string) bool {
	_, isBrittle := r.brittle.Of(service)
	return isBrittle
}

// applyBrittle makes a listed runner require lent slots while its service is brittle. The caller must hold r.mutex.
func (r *Router) applyBrittle(instance string) {
	isBrittle := r.isBrittle(r.fleet.Runner(instance).Service)
	r.balancer.RequireLease(structs.RunnerID(instance), isBrittle)
	if isBrittle && r.balancer.InFlight(structs.RunnerID(instance)) > 0 {
		r.slots.of(structs.RunnerID(instance))
		r.wakeSlots()
	}
}
