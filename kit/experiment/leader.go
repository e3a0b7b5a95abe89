package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// Planner plans the loads and unloads of a zone. It must be deterministic: its plan may
// depend only on the snapshot and its own construction.
type Planner interface {
	Plan(scheduler.Snapshot) scheduler.PlanResult
}

// schedulePlan schedules a plan after the delay, or earlier if one is already
// scheduled. With a positive delay, plans are at least planInterval apart.
func (z *simulatedZone) schedulePlan(delay time.Duration) {
	at := z.sim.clock.now.Add(delay)
	if earliest := z.plannedAt.Add(planInterval); at.Before(earliest) && delay > 0 {
		at = earliest
	}
	if z.planAt.After(z.sim.clock.now) && !at.Before(z.planAt) {
		return
	}
	z.planAt = at
	z.sim.clock.at(at, func() {
		if z.planAt.Equal(at) && !z.plannedAt.Equal(at) {
			z.plan()
		}
	})
}

// plan computes a plan and executes it.
func (z *simulatedZone) plan() {
	z.plannedAt = z.sim.clock.now
	z.release()
	began := time.Now()
	result := z.planner.Plan(z.snapshot())
	z.sim.recorder.planned(time.Since(began))
	for _, unload := range result.Unloads {
		z.unload(unload)
	}
	for _, load := range result.Loads {
		z.load(load)
	}
	for _, prefetch := range result.Prefetches {
		z.prefetch(prefetch)
	}
	z.sendWishes(result.Wanted)
	z.schedulePlan(z.nextPlan())
}

// nextPlan returns the delay until the next plan, which is shorter while requests wait.
func (z *simulatedZone) nextPlan() time.Duration {
	for _, queue := range z.queues {
		if len(queue.waiting) > 0 {
			return planInterval
		}
	}
	if z.shortInterval && len(z.state.Replicas()) > 0 {
		return shortPlanInterval
	}
	return z.idleInterval
}

func (z *simulatedZone) snapshot() scheduler.Snapshot {
	now := z.sim.clock.now
	s := scheduler.Snapshot{
		Now: now, Table: z.state, StoreLoadBudget: z.storeBudget, Settings: z.sim.settings,
		Interarrivals: map[structs.RowName]*scheduler.Interarrivals{},
	}
	for _, e := range z.engines {
		runner, known := z.state.Runner(e.info.ID)
		if !known {
			continue
		}
		s.Runners = append(s.Runners, scheduler.Runner{
			ID: runner.ID, Role: runner.Role, Incarnation: runner.Incarnation,
			MemoryBytes: runner.MemoryBytes, MemoryReserved: z.state.MemoryReserved(runner.ID),
			Leaving: !runner.Accepting() || e.vanished(), Lagging: !e.isCurrent(runner.Incarnation), Cached: e.checkpoints.List(),
		})
		s.StoreLoadsInFlight += e.storeReads + e.pendingStoreReads
	}
	for _, replica := range z.state.Replicas() {
		s.Replicas = append(s.Replicas, z.replicaView(replica))
	}
	s.Demand = z.demand()
	z.usage.addTo(&s)
	return s
}

func (z *simulatedZone) replicaView(replica zone.Replica) scheduler.Replica {
	view := scheduler.Replica{
		Row: replica.Row, Base: replica.Base, Runner: replica.Runner, State: replica.State,
		MemoryBytes: replica.MemoryBytes, Since: replica.Since,
	}
	e := z.byID[replica.Runner]
	if held := e.replicas[replica.Row]; held != nil && e.isCurrent(replica.Incarnation) {
		view.Busy = held.running
	}
	return view
}

// unload marks the replica as unloading and orders the engine to unload it after
// unloadDelay.
func (z *simulatedZone) unload(decision scheduler.UnloadDecision) {
	replica, ok := z.state.Replica(decision.Runner, decision.Row)
	if !ok {
		return
	}
	result := z.apply(zone.Command{Transition: &zone.TransitionCommand{
		Row: decision.Row, Runner: decision.Runner, Order: replica.Order, To: structs.ReplicaUnloading, At: z.sim.clock.now,
	}})
	if result.Error != nil {
		return
	}
	z.sim.recorder.unloads[decision.Reason]++
	e := z.byID[decision.Runner]
	remove := func() {
		z.sim.clock.after(reportDelay, func() {
			z.apply(zone.Command{Remove: &zone.RemoveCommand{Row: decision.Row, Runner: decision.Runner, Order: result.Order}})
			z.schedulePlan(0)
		})
	}
	z.sim.clock.after(unloadDelay, func() {
		if !e.isCurrent(replica.Incarnation) {
			return
		}
		if e.replicas[decision.Row] == nil { // the load was never ordered
			remove()
			return
		}
		e.unload(decision.Row, remove)
	})
}

// load reserves the replica. The load is ordered once its base, if any, is ready.
func (z *simulatedZone) load(decision scheduler.LoadDecision) {
	runner, _ := z.state.Runner(decision.Runner)
	result := z.apply(zone.Command{Reserve: &zone.ReserveCommand{
		Row: decision.Row, Runner: decision.Runner, Incarnation: runner.Incarnation, At: z.sim.clock.now,
	}})
	if result.Error != nil {
		z.sim.recorder.refusedReservations++
		return
	}
	z.sim.recorder.loadReasons[decision.Reason]++
	e := z.byID[decision.Runner]
	order := &loadOrder{zone: z, engine: e, row: decision.Row, number: result.Order, incarnation: runner.Incarnation}
	if e.checkpoints.Tier(decision.Row) == structs.TierStore {
		order.counted = true
		e.pendingStoreReads++
	}
	z.sim.clock.after(planInterval, order.send)
}

// loadOrder is a reserved load whose order has not been sent.
type loadOrder struct {
	zone        *simulatedZone
	engine      *engine
	row         structs.RowName
	number      structs.OrderNumber
	incarnation structs.Incarnation
	// counted is set if the order is included in the engine's pendingStoreReads.
	counted bool
}

// send orders the load, or retries after planInterval while the base is not ready.
func (o *loadOrder) send() {
	z := o.zone
	replica, ok := z.state.Replica(o.engine.info.ID, o.row)
	current := ok && replica.Order == o.number && replica.State == structs.ReplicaLoading && o.engine.isCurrent(o.incarnation)
	if current && replica.Base != "" {
		base, there := z.state.Replica(o.engine.info.ID, replica.Base)
		if !there || base.State != structs.ReplicaReady {
			z.sim.clock.after(planInterval, o.send)
			return
		}
	}
	if o.counted && o.engine.isCurrent(o.incarnation) {
		o.engine.pendingStoreReads--
	}
	if !current {
		return
	}
	row, _ := z.state.Row(o.row)
	o.engine.load(row, func() {
		z.sim.clock.after(reportDelay, func() { z.loadEnds(o) })
	})
}

// loadEnds marks the replica as ready, unless it is no longer loading.
func (z *simulatedZone) loadEnds(o *loadOrder) {
	replica, ok := z.state.Replica(o.engine.info.ID, o.row)
	if !ok || replica.State != structs.ReplicaLoading || replica.Incarnation != o.incarnation {
		return
	}
	z.apply(zone.Command{Transition: &zone.TransitionCommand{
		Row: o.row, Runner: o.engine.info.ID, Order: replica.Order, To: structs.ReplicaReady, At: z.sim.clock.now,
	}})
	z.dispatch(o.row)
	z.schedulePlan(0)
}

// prefetch copies a checkpoint to the runner's disk. A runner has at most one prefetch
// at a time.
func (z *simulatedZone) prefetch(decision scheduler.PrefetchDecision) {
	e := z.byID[decision.Runner]
	row, ok := z.state.Row(decision.Row)
	if !ok || !e.alive || e.prefetching || e.checkpoints.Tier(decision.Row) != structs.TierStore {
		return
	}
	e.prefetching = true
	z.sim.recorder.prefetches++
	e.fetch(row, func() {
		e.prefetching = false
		z.schedulePlan(0)
	})
}
