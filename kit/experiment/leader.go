package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// Planner decides about one zone. It must be a function of the snapshot and of
// what it was made from.
type Planner interface {
	Plan(scheduler.Snapshot) scheduler.PlanResult
}

// wake makes the leader plan after the delay at the latest, but not more often
// than every planInterval.
func (z *zoneWorld) wake(delay time.Duration) {
	at := z.world.clock.now.Add(delay)
	if earliest := z.plannedAt.Add(planInterval); at.Before(earliest) && delay > 0 {
		at = earliest
	}
	if z.planAt.After(z.world.clock.now) && !at.Before(z.planAt) {
		return
	}
	z.planAt = at
	z.world.clock.at(at, func() {
		if z.planAt.Equal(at) && !z.plannedAt.Equal(at) {
			z.plan()
		}
	})
}

// plan makes and carries out one plan.
func (z *zoneWorld) plan() {
	z.plannedAt = z.world.clock.now
	z.release()
	began := time.Now()
	result := z.planner.Plan(z.snapshot())
	z.world.measure.planned(time.Since(began))
	for _, unload := range result.Unloads {
		z.unload(unload)
	}
	for _, load := range result.Loads {
		z.load(load)
	}
	for _, prefetch := range result.Prefetches {
		z.prefetch(prefetch)
	}
	z.wish(result.Wanted)
	z.wake(z.nextPlan())
}

// nextPlan is short while requests wait.
func (z *zoneWorld) nextPlan() time.Duration {
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

func (z *zoneWorld) snapshot() scheduler.Snapshot {
	now := z.world.clock.now
	s := scheduler.Snapshot{
		Now: now, Table: z.state, StoreLoadBudget: z.storeBudget, Settings: z.world.settings,
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
			Leaving: !runner.Accepting() || e.vanished(), Lagging: !e.lives(runner.Incarnation), Cached: e.checkpoints.List(),
		})
		s.StoreLoadsInFlight += e.reading + e.ordered
	}
	for _, replica := range z.state.Replicas() {
		s.Replicas = append(s.Replicas, z.replica(replica))
	}
	s.Demand = z.demand()
	z.learned.fill(&s)
	return s
}

func (z *zoneWorld) replica(replica zone.Replica) scheduler.Replica {
	view := scheduler.Replica{
		Row: replica.Row, Base: replica.Base, Runner: replica.Runner, State: replica.State,
		MemoryBytes: replica.MemoryBytes, Since: replica.Since,
	}
	e := z.byID[replica.Runner]
	if held := e.replicas[replica.Row]; held != nil && e.lives(replica.Incarnation) {
		view.Busy = held.running
	}
	return view
}

// unload moves the replica to unloading; the engine is told after unloadDelay.
func (z *zoneWorld) unload(decision scheduler.UnloadDecision) {
	replica, ok := z.state.Replica(decision.Runner, decision.Row)
	if !ok {
		return
	}
	result := z.apply(zone.Command{Transition: &zone.TransitionCommand{
		Row: decision.Row, Runner: decision.Runner, Order: replica.Order, To: structs.ReplicaUnloading, At: z.world.clock.now,
	}})
	if result.Error != nil {
		return
	}
	z.world.measure.unloads[decision.Reason]++
	e := z.byID[decision.Runner]
	remove := func() {
		z.world.clock.after(reportDelay, func() {
			z.apply(zone.Command{Remove: &zone.RemoveCommand{Row: decision.Row, Runner: decision.Runner, Order: result.Order}})
			z.wake(0)
		})
	}
	z.world.clock.after(unloadDelay, func() {
		if !e.lives(replica.Incarnation) {
			return
		}
		if e.replicas[decision.Row] == nil { // its load order was never sent
			remove()
			return
		}
		e.unload(decision.Row, remove)
	})
}

// load reserves the replica; the order follows once its base, if any, is ready.
func (z *zoneWorld) load(decision scheduler.LoadDecision) {
	runner, _ := z.state.Runner(decision.Runner)
	result := z.apply(zone.Command{Reserve: &zone.ReserveCommand{
		Row: decision.Row, Runner: decision.Runner, Incarnation: runner.Incarnation, At: z.world.clock.now,
	}})
	if result.Error != nil {
		z.world.measure.refusedReservations++
		return
	}
	z.world.measure.loadReasons[decision.Reason]++
	e := z.byID[decision.Runner]
	order := &loadOrder{zone: z, engine: e, row: decision.Row, number: result.Order, incarnation: runner.Incarnation}
	if e.checkpoints.Tier(decision.Row) == structs.TierStore {
		order.counted = true
		e.ordered++
	}
	z.world.clock.after(planInterval, order.send)
}

// loadOrder is a load that was reserved and not yet ordered.
type loadOrder struct {
	zone        *zoneWorld
	engine      *engine
	row         structs.RowName
	number      structs.OrderNumber
	incarnation structs.Incarnation
	// counted is set while the order counts in the engine's ordered store reads.
	counted bool
}

// send orders the load, or waits for the base.
func (o *loadOrder) send() {
	z := o.zone
	replica, ok := z.state.Replica(o.engine.info.ID, o.row)
	current := ok && replica.Order == o.number && replica.State == structs.ReplicaLoading && o.engine.lives(o.incarnation)
	if current && replica.Base != "" {
		base, there := z.state.Replica(o.engine.info.ID, replica.Base)
		if !there || base.State != structs.ReplicaReady {
			z.world.clock.after(planInterval, o.send)
			return
		}
	}
	if o.counted && o.engine.lives(o.incarnation) {
		o.engine.ordered--
	}
	if !current {
		return
	}
	row, _ := z.state.Row(o.row)
	o.engine.load(row, func() {
		z.world.clock.after(reportDelay, func() { z.loadEnds(o) })
	})
}

// loadEnds records that the replica is ready, unless it is to go already.
func (z *zoneWorld) loadEnds(o *loadOrder) {
	replica, ok := z.state.Replica(o.engine.info.ID, o.row)
	if !ok || replica.State != structs.ReplicaLoading || replica.Incarnation != o.incarnation {
		return
	}
	z.apply(zone.Command{Transition: &zone.TransitionCommand{
		Row: o.row, Runner: o.engine.info.ID, Order: replica.Order, To: structs.ReplicaReady, At: z.world.clock.now,
	}})
	z.dispatch(o.row)
	z.wake(0)
}

// prefetch copies a checkpoint to the runner's disk, one at a time for a runner.
func (z *zoneWorld) prefetch(decision scheduler.PrefetchDecision) {
	e := z.byID[decision.Runner]
	row, ok := z.state.Row(decision.Row)
	if !ok || !e.alive || e.prefetching || e.checkpoints.Tier(decision.Row) != structs.TierStore {
		return
	}
	e.prefetching = true
	z.world.measure.prefetches++
	e.fetch(row, func() {
		e.prefetching = false
		z.wake(0)
	})
}
