package experiment

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// simulatedZone simulates a zone: its state machine, engines, routers and leader.
type simulatedZone struct {
	sim     *simulation
	id      structs.ZoneID
	state   *zone.State
	index   uint64
	engines []*engine
	byID    map[structs.RunnerID]*engine
	queues  map[structs.RowName]*rowQueue
	usage   *usageHistory
	planner Planner
	// idleInterval is the interval between plans while no work is in progress.
	idleInterval time.Duration
	// shortInterval replaces idleInterval by shortPlanInterval while replicas are
	// loaded.
	shortInterval bool
	// storeBudget is the zone's share of concurrent store reads.
	storeBudget int
	// partitioned is set while the zone and the global group cannot reach each other.
	partitioned bool
	adopting    bool
	planAt      time.Time
	plannedAt   time.Time
	wishes      map[structs.RowName]sentWish
}

// rowQueue holds the requests of one row in a zone. The routers of a zone share it
// because they report demand to the same leader.
type rowQueue struct {
	waiting []*request
	running int
}

// apply applies a command to the zone's state as if the log had committed it.
func (z *simulatedZone) apply(command zone.Command) zone.Result {
	z.index++
	return z.state.Apply(z.index, command)
}

func (z *simulatedZone) queue(row structs.RowName) *rowQueue {
	queue := z.queues[row]
	if queue == nil {
		queue = &rowQueue{}
		z.queues[row] = queue
	}
	return queue
}

// ready reports whether the zone has a replica that can receive requests of the row.
func (z *simulatedZone) ready(row structs.RowName) bool {
	return slices.ContainsFunc(z.state.ReplicasOf(row), func(replica zone.Replica) bool {
		return z.serving(replica) != nil
	})
}

// free reports whether a replica of the row can start a request now.
func (z *simulatedZone) free(row structs.RowName) bool {
	return slices.ContainsFunc(z.state.ReplicasOf(row), func(replica zone.Replica) bool {
		e := z.serving(replica)
		return e != nil && e.running < maxBatch
	})
}

// serving returns the engine of the replica, or nil if requests may not be sent to it.
func (z *simulatedZone) serving(replica zone.Replica) *engine {
	e := z.byID[replica.Runner]
	if replica.State != structs.ReplicaReady || !e.isCurrent(replica.Incarnation) || e.replicas[replica.Row] == nil {
		return nil
	}
	return e
}

// arrive accepts a request at one of the zone's routers.
func (z *simulatedZone) arrive(r *request) {
	r.zone = z
	r.cold = !z.ready(r.Row)
	z.usage.observe(z.sim.clock.now, r.Row)
	z.enqueue(r)
	z.sim.clock.at(r.deadlineAt, func() { z.expire(r) })
}

// enqueue inserts a request behind those of equal or higher priority.
func (z *simulatedZone) enqueue(r *request) {
	queue := z.queue(r.Row)
	position := len(queue.waiting)
	for position > 0 && queue.waiting[position-1].Priority < r.Priority {
		position--
	}
	queue.waiting = slices.Insert(queue.waiting, position, r)
	z.dispatch(r.Row)
	if len(queue.waiting) > 0 {
		z.sim.waits.track(r)
		z.schedulePlan(demandDelay)
	}
}

// expire refuses a request that is still waiting at its deadline.
func (z *simulatedZone) expire(r *request) {
	queue := z.queue(r.Row)
	position := slices.Index(queue.waiting, r)
	if position < 0 {
		return
	}
	queue.waiting = slices.Delete(queue.waiting, position, position+1)
	z.sim.finish(r, outcomeRefused)
}

// dispatch sends waiting requests of the row to its least busy engines.
func (z *simulatedZone) dispatch(row structs.RowName) {
	queue := z.queue(row)
	for len(queue.waiting) > 0 {
		var best *engine
		for _, replica := range z.state.ReplicasOf(row) {
			e := z.serving(replica)
			if e != nil && e.running < maxBatch && (best == nil || e.running < best.running) {
				best = e
			}
		}
		if best == nil {
			return
		}
		next := queue.waiting[0]
		queue.waiting = slices.Delete(queue.waiting, 0, 1)
		z.start(next, best)
	}
}

// start runs a request at the speed of the engine's batch size at its start.
func (z *simulatedZone) start(r *request, e *engine) {
	queue := z.queue(r.Row)
	replica := e.replicas[r.Row]
	queue.running++
	e.changeRunning(replica, 1)
	r.engine = e
	step := decodeBase + decodePerSequence*time.Duration(e.running)
	first := prefillPerToken*time.Duration(r.PromptTokens) + step
	r.firstTokenAt = z.sim.clock.now.Add(first)
	incarnation := e.incarnation
	z.sim.clock.after(first+step*time.Duration(r.OutputTokens-1), func() {
		if r.engine != e || !e.isCurrent(incarnation) {
			return
		}
		queue.running--
		e.changeRunning(replica, -1)
		e.requests = slices.DeleteFunc(e.requests, func(other *request) bool { return other == r })
		z.usage.markUsed(z.sim.clock.now, r.Row)
		z.sim.finish(r, outcomeAnswered)
		for row := range e.replicas {
			if len(z.queue(row).waiting) > 0 {
				z.sim.clock.after(0, func() { z.dispatch(row) })
			}
		}
	})
	e.requests = append(e.requests, r)
}

// requeue returns the requests of a terminated engine to the queues.
func (z *simulatedZone) requeue(e *engine) {
	lost := e.requests
	e.requests = nil
	for _, r := range lost {
		if r.engine != e || r.outcome != outcomeNone {
			continue
		}
		z.queue(r.Row).running--
		r.engine = nil
		r.cold = r.cold || !z.ready(r.Row)
		z.enqueue(r)
	}
}

// registerLater registers the engine's runner with the zone after reportDelay.
func (z *simulatedZone) registerLater(e *engine) {
	z.sim.clock.after(reportDelay, func() {
		z.apply(zone.Command{Runner: &zone.RunnerCommand{Info: e.info}})
		z.schedulePlan(0)
	})
}
