package relay

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// crowdedTime is how long after its last rejection a brittle runner gets less from all routers: rejections count
	// within a second.
	crowdedTime = time.Second
	// crowdedShare is the part of the rejections that a brittle runner bears that may be risked, as requests a
	// second over all routers, while it is crowded.
	crowdedShare = 0.25
)

// brittleService is a service whose runners fall over if they have to reject many requests.
type brittleService struct {
	// perSecond is how many rejections in a second a runner bears.
	perSecond float64
	// heardAt is when a runner said so last.
	heardAt time.Time
	// routers is the number of routers for which the shares were computed.
	routers int
}

// brittle holds the brittle services. It is guarded by Router.mutex.
type brittle struct {
	services map[string]*brittleService
	// rejectedAt is when brittle runners rejected a request of this router last.
	rejectedAt map[structs.RunnerID]time.Time
}

func newBrittle() brittle {
	return brittle{services: make(map[string]*brittleService), rejectedAt: make(map[structs.RunnerID]time.Time)}
}

// observeBrittle applies what the answer to a request sent at the given time says of the runner's service: all
// runners of a brittle service say so in all answers. The caller must hold r.mutex.
func (r *Router) observeBrittle(id structs.RunnerID, sent time.Time, answer *Answer) {
	runner := r.fleet.Runner(string(id))
	if runner == nil {
		return
	}
	known := r.brittle.services[runner.Service]
	said := answer.Notice.Brittle
	switch {
	case said.IsNamed:
		r.noteBrittle(id, runner.Service, known, said)
	case known != nil && answer.tellsLimit() && sent.After(known.heardAt):
		r.logNotice("The runners of a service are brittle no more.", id, "service", runner.Service)
		delete(r.brittle.services, runner.Service)
		r.applyBrittleService(runner.Service)
		r.serveWaiters()
		return
	}
	if known = r.brittle.services[runner.Service]; known != nil && answer.NotRun && !answer.NotHeld {
		r.noteCrowded(id, sent, known)
	}
}

func (r *Router) noteBrittle(id structs.RunnerID, service string, known *brittleService, said notice.Brittle) {
	if known == nil {
		known = &brittleService{}
		r.brittle.services[service] = known
	}
	isNew := known.perSecond != said.PerSecond || known.routers != r.routerCount.routers
	known.perSecond, known.heardAt, known.routers = said.PerSecond, r.now(), r.routerCount.routers
	if isNew {
		r.logNotice("The runners of a service say that they are brittle.", id, "service", service, "rejections_per_second", said.PerSecond,
			"routers", known.routers)
		r.applyBrittleService(service)
	}
}

// noteCrowded bounds what all routers send to a brittle runner that has rejected a request for want of room. The
// caller must hold r.mutex.
func (r *Router) noteCrowded(id structs.RunnerID, sent time.Time, known *brittleService) {
	r.brittle.rejectedAt[id] = r.now()
	r.metrics.brittleRejections.Inc()
	r.noteLimit(id, sent, ratelimit.Notice{IsNamed: true, IsForRoom: true, PerSecond: known.perSecond * crowdedShare})
}

// isCrowded reports whether a runner has rejected a request of this router lately, as a brittle one. The caller must
// hold r.mutex.
func (r *Router) isCrowded(id structs.RunnerID) bool {
	rejectedAt, isKnown := r.brittle.rejectedAt[id]
	return isKnown && r.now().Sub(rejectedAt) < crowdedTime
}

// applyBrittleService bounds the attempts at all runners of a service. The caller must hold r.mutex.
func (r *Router) applyBrittleService(service string) {
	for instance := range r.candidates.runners {
		if runner := r.fleet.Runner(instance); runner != nil && runner.Service == service {
			r.applyBrittle(instance)
		}
	}
}

// applyBrittle bounds the attempts at a listed runner. The caller must hold r.mutex.
func (r *Router) applyBrittle(instance string) {
	runner := r.fleet.Runner(instance)
	known := r.brittle.services[runner.Service]
	if known == nil {
		r.balancer.SetBrittle(structs.RunnerID(instance), routing.Brittle{})
		return
	}
	slots, routers := runner.Slots, max(1, known.routers)
	if slots <= 0 {
		slots = defaultBatch
	}
	r.balancer.SetBrittle(structs.RunnerID(instance), routing.Brittle{
		Share: max(1, slots/routers), IsShared: routers > slots, KnowsLoad: len(runner.Models) > 0,
	})
}
