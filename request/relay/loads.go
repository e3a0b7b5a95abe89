package relay

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/structs"
)

// loadAge is the average age of the leader's load reports on arrival: half a report interval,
// half an interval of the leader's aggregation, and network latency.
const loadAge = reportInterval/2 + 75*time.Millisecond

// loadReports are the latest loads of the leader. They are guarded by Router.mutex.
type loadReports struct {
	listed map[string]fleet.Load
	// receivedAt is when they arrived, and zero if there are none; observedAt is as of when
	// they are.
	receivedAt time.Time
	observedAt time.Time
	// known are the candidates to which they were applied.
	known map[string]struct{}
}

// loadsAge returns the time since loads were received; 0 if there are none.
func (r *Router) loadsAge(now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.loads.receivedAt.IsZero() {
		return 0
	}
	return max(1, now.Sub(r.loads.receivedAt))
}

// adoptLoads applies the loads of a reply, or those already received if the reply says that they
// still hold. A leader of the previous version sends them unpacked in each reply.
func (r *Router) adoptLoads(reply *domainapi.WatchReply) {
	switch {
	case reply.KeepsLoads:
		r.keepLoads()
	case len(reply.PackedLoads) > 0:
		loads, err := fleet.UnpackLoads(reply.PackedLoads)
		if err != nil {
			level.Error(r.logger).Log("msg", "The loads of the runners could not be decoded.", "term", reply.Term, "err", err)
			return
		}
		r.takeLoads(loads, reply.LoadsAge)
	default:
		r.takeLoads(reply.Loads, reply.LoadsAge)
	}
}

// setLoads applies the load of all routers at the runners as of a time. Runners that are not listed
// have less load than those that are.
func (r *Router) setLoads(loads []fleet.Load, observedAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	listed := make(map[string]fleet.Load, len(loads))
	for _, load := range loads {
		listed[load.Instance] = load
	}
	r.loads = loadReports{
		listed: listed, receivedAt: r.now(), observedAt: observedAt,
		known: make(map[string]struct{}, len(r.candidates.runners)),
	}
	for instance := range r.candidates.runners {
		r.applyLoad(instance)
	}
	r.metrics.heardLoads(r.loads.observedAt)
}

// keepLoads applies the latest loads to the runners that became candidates since.
func (r *Router) keepLoads() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.loads.receivedAt.IsZero() {
		return
	}
	for instance := range r.candidates.runners {
		if _, isKnown := r.loads.known[instance]; !isKnown {
			r.applyLoad(instance)
		}
	}
}

// applyLoad applies the latest load of a runner. The caller must hold r.mutex.
func (r *Router) applyLoad(instance string) {
	load, id := r.loads.listed[instance], structs.RunnerID(instance)
	r.balancer.ObserveLoad(id, structs.LoadReport{Running: load.Requests, ObservedAt: r.loads.observedAt})
	r.balancer.ObservePrefillShare(id, load.Reading)
	r.loads.known[instance] = struct{}{}
}
