package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/experiment/workload"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// WaitCause is what a waiting call waits for.
type WaitCause string

// The causes of a wait, in the order in which a load passes through them.
const (
	// WaitRole: the zone has no runner of the row's role that accepts work.
	WaitRole WaitCause = "role"
	// WaitGrant: the zone's grant allows no further replica.
	WaitGrant WaitCause = "grant"
	// WaitStore: the zone's share of the weight store is in use.
	WaitStore WaitCause = "store"
	// WaitRoom: nothing is reserved yet, for want of memory or of the next plan.
	WaitRoom WaitCause = "room"
	// WaitBase: the adapter's replica is reserved, and its base is not ready.
	WaitBase WaitCause = "base"
	// WaitOrder: the replica is reserved, and its order is not sent.
	WaitOrder WaitCause = "order"
	// WaitLoad: the engine loads the replica.
	WaitLoad WaitCause = "load"
	// WaitReport: the engine has loaded it, and the zone does not know yet.
	WaitReport WaitCause = "report"
	// WaitSlot: replicas are ready and full.
	WaitSlot WaitCause = "slot"
)

// WaitCauses lists the causes.
func WaitCauses() []WaitCause {
	return []WaitCause{WaitRole, WaitGrant, WaitStore, WaitRoom, WaitBase, WaitOrder, WaitLoad, WaitReport, WaitSlot}
}

// Wait says what one cold call waited for.
type Wait struct {
	Arrival workload.Arrival
	// Served is the zone in which the call waited.
	Served structs.ZoneID
	// Refused is set when the call was not started before its deadline.
	Refused bool
	// Total is the time from arrival to first token, or to the refusal; the causes
	// explain it but for the time of the first token itself.
	Total  time.Duration
	Causes map[WaitCause]time.Duration
}

// waitSampleInterval passes between two looks at what a call waits for.
const waitSampleInterval = 50 * time.Millisecond

// waitTracer notes the waits of cold calls; a nil one notes nothing.
type waitTracer struct {
	world *world
	note  func(Wait)
	open  map[*request]map[WaitCause]time.Duration
}

// watch begins to follow a call that has to wait.
func (t *waitTracer) watch(r *request) {
	if t == nil || !r.cold || t.open[r] != nil {
		return
	}
	t.open[r] = map[WaitCause]time.Duration{}
	t.sample(r)
}

// sample adds the next interval of the call's wait to its present cause.
func (t *waitTracer) sample(r *request) {
	if r.outcome != outcomeNone || r.engine != nil {
		return
	}
	t.open[r][r.zone.waitCause(r.Row)] += waitSampleInterval
	t.world.clock.after(waitSampleInterval, func() { t.sample(r) })
}

// ends reports the call's wait.
func (t *waitTracer) ends(r *request) {
	if t == nil || t.open[r] == nil {
		return
	}
	wait := Wait{Arrival: r.Arrival, Served: r.zone.id, Refused: r.outcome == outcomeRefused, Causes: t.open[r]}
	wait.Total = r.firstAt.Sub(r.arrivedAt)
	if wait.Refused {
		wait.Total = t.world.clock.now.Sub(r.arrivedAt)
	}
	delete(t.open, r)
	t.note(wait)
}

// waitCause is what calls of the row wait for in the zone now.
func (z *zoneWorld) waitCause(row structs.RowName) WaitCause {
	replicas := z.state.ReplicasOf(row)
	for _, replica := range replicas {
		if z.serving(replica) != nil {
			return WaitSlot
		}
	}
	for _, replica := range replicas {
		if e := z.byID[replica.Runner]; replica.State == structs.ReplicaLoading && e.lives(replica.Incarnation) {
			return z.loadingCause(replica, e)
		}
	}
	return z.missingCause(row, len(replicas))
}

// loadingCause is what a reserved replica waits for.
func (z *zoneWorld) loadingCause(replica zone.Replica, e *engine) WaitCause {
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

// missingCause is why the zone has reserved no further replica of the row.
func (z *zoneWorld) missingCause(name structs.RowName, records int) WaitCause {
	row, _ := z.state.Row(name)
	reading, hasRole := 0, false
	for _, e := range z.engines {
		reading += e.reading + e.ordered
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
func (z *zoneWorld) accepting(e *engine, role structs.RunnerRole) bool {
	runner, known := z.state.Runner(e.info.ID)
	return known && runner.Role == role && runner.Accepting() && !e.vanished()
}
