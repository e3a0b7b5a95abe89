package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/experiment/workload"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// WaitCause is the reason why a request waits.
type WaitCause string

// The causes of a wait, in the order in which a load passes through them.
const (
	// WaitRole: the zone has no runner of the row's role that accepts work.
	WaitRole WaitCause = "role"
	// WaitGrant: the zone's grant allows no further replica.
	WaitGrant WaitCause = "grant"
	// WaitStore: the zone's share of store reads is in use.
	WaitStore WaitCause = "store"
	// WaitRoom: no replica is reserved, for lack of memory or pending the next plan.
	WaitRoom WaitCause = "room"
	// WaitBase: the replica of the adapter is reserved, but its base is not ready.
	WaitBase WaitCause = "base"
	// WaitOrder: the replica is reserved, but its load order has not been sent.
	WaitOrder WaitCause = "order"
	// WaitLoad: the engine is loading the replica.
	WaitLoad WaitCause = "load"
	// WaitReport: the engine has loaded the replica, but the zone has not received the
	// report.
	WaitReport WaitCause = "report"
	// WaitSlot: all ready replicas are at their batch limit.
	WaitSlot WaitCause = "slot"
)

// WaitCauses returns all causes in order.
func WaitCauses() []WaitCause {
	return []WaitCause{WaitRole, WaitGrant, WaitStore, WaitRoom, WaitBase, WaitOrder, WaitLoad, WaitReport, WaitSlot}
}

// Wait breaks down the wait of one cold request.
type Wait struct {
	Arrival workload.Arrival
	// Served is the zone in which the request waited.
	Served structs.ZoneID
	// Refused is set if the request was not started before its deadline.
	Refused bool
	// Total is the time from arrival to first token, or to the refusal. The causes add
	// up to it, except for the time to first token once the request has started.
	Total  time.Duration
	Causes map[WaitCause]time.Duration
}

// waitSampleInterval is the interval at which the cause of a wait is sampled.
const waitSampleInterval = 50 * time.Millisecond

// waitTracer records the waits of cold requests. The methods track and finish of a nil
// waitTracer do nothing.
type waitTracer struct {
	sim     *simulation
	report  func(Wait)
	pending map[*request]map[WaitCause]time.Duration
}

// track starts to sample a cold request that has to wait.
func (t *waitTracer) track(r *request) {
	if t == nil || !r.cold || t.pending[r] != nil {
		return
	}
	t.pending[r] = map[WaitCause]time.Duration{}
	t.sample(r)
}

// sample attributes the next interval of the request's wait to its current cause.
func (t *waitTracer) sample(r *request) {
	if r.outcome != outcomeNone || r.engine != nil {
		return
	}
	t.pending[r][r.zone.waitCause(r.Row)] += waitSampleInterval
	t.sim.clock.after(waitSampleInterval, func() { t.sample(r) })
}

// finish reports the wait of a tracked request.
func (t *waitTracer) finish(r *request) {
	if t == nil || t.pending[r] == nil {
		return
	}
	wait := Wait{Arrival: r.Arrival, Served: r.zone.id, Refused: r.outcome == outcomeRefused, Causes: t.pending[r]}
	wait.Total = r.firstTokenAt.Sub(r.arrivedAt)
	if wait.Refused {
		wait.Total = t.sim.clock.now.Sub(r.arrivedAt)
	}
	delete(t.pending, r)
	t.report(wait)
}

// waitCause returns why requests of the row are waiting in the zone.
func (z *simulatedZone) waitCause(row structs.RowName) WaitCause {
	replicas := z.state.ReplicasOf(row)
	for _, replica := range replicas {
		if z.serving(replica) != nil {
			return WaitSlot
		}
	}
	for _, replica := range replicas {
		if e := z.byID[replica.Runner]; replica.State == structs.ReplicaLoading && e.isCurrent(replica.Incarnation) {
			return z.loadingCause(replica, e)
		}
	}
	return z.missingCause(row, len(replicas))
}

// loadingCause returns why a reserved replica is not ready.
func (z *simulatedZone) loadingCause(replica zone.Replica, e *engine) WaitCause {
	if held := e.replicas[replica.Row]; held != nil {
		if held.state == structs.ReplicaLoading {
			return WaitLoad
		}
		return WaitReport
	}
	if replica.Base == "" {
		return WaitOrder
	}
	if base, ok := z.state.Replica(replica.Runner, replica.Base); ok && base.State == structs.ReplicaReady {
		return WaitOrder
	}
	return WaitBase
}

// missingCause returns why the zone has not reserved another replica of the row.
func (z *simulatedZone) missingCause(name structs.RowName, records int) WaitCause {
	row, _ := z.state.Row(name)
	reading, hasRole := 0, false
	for _, e := range z.engines {
		reading += e.storeReads + e.pendingStoreReads
		hasRole = hasRole || z.accepting(e, row.Role)
	}
	grant := z.state.Grant(name)
	switch {
	case !hasRole:
		return WaitRole
	case grant.Frozen || records >= grant.Limit:
		return WaitGrant
	case reading >= z.storeBudget:
		return WaitStore
	}
	return WaitRoom
}

// accepting reports whether the zone may load rows of the role on the engine.
func (z *simulatedZone) accepting(e *engine, role structs.RunnerRole) bool {
	runner, known := z.state.Runner(e.info.ID)
	return known && runner.Role == role && runner.Accepting() && !e.vanished()
}
