package experiment

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// zoneWorld is one zone: its state machine, engines, routers and leader.
type zoneWorld struct {
	world   *world
	id      structs.ZoneID
	state   *zone.State
	index   uint64
	engines []*engine
	byID    map[structs.RunnerID]*engine
	queues  map[structs.RowName]*rowQueue
	learned *learned
	planner Planner
	// idleInterval passes between two plans when nothing is under way.
	idleInterval time.Duration
	// shortInterval shortens it to shortPlanInterval while replicas are there.
	shortInterval bool
	// storeBudget is the zone's share of the store's reads at once.
	storeBudget int
	// cutOff is set while the zone and the global group cannot reach each other.
	cutOff    bool
	adopting  bool
	planAt    time.Time
	plannedAt time.Time
	wishes    map[structs.RowName]wish
}

// rowQueue holds the requests of one row in a zone. All routers of the zone share
// it, for their demand reaches the same leader.
type rowQueue struct {
	waiting []*request
	running int
}

// apply applies a command to the zone's state as if the log had committed it.
func (z *zoneWorld) apply(command zone.Command) zone.Result {
	z.index++
	return z.state.Apply(z.index, command)
}

func (z *zoneWorld) queue(row structs.RowName) *rowQueue {
	queue := z.queues[row]
	if queue == nil {
		queue = &rowQueue{}
		z.queues[row] = queue
	}
	return queue
}

// ready reports whether the zone has a replica that may get a request of the row.
func (z *zoneWorld) ready(row structs.RowName) bool {
	return slices.ContainsFunc(z.state.ReplicasOf(row), func(replica zone.Replica) bool {
		return z.serving(replica) != nil
	})
}

// free reports whether a replica of the row can start a request now.
func (z *zoneWorld) free(row structs.RowName) bool {
	return slices.ContainsFunc(z.state.ReplicasOf(row), func(replica zone.Replica) bool {
		e := z.serving(replica)
		return e != nil && e.running < maxBatch
	})
}

// serving returns the engine of the replica when requests may be sent to it.
func (z *zoneWorld) serving(replica zone.Replica) *engine {
	e := z.byID[replica.Runner]
	if replica.State != structs.ReplicaReady || !e.lives(replica.Incarnation) || e.replicas[replica.Row] == nil {
		return nil
	}
	return e
}

// arrive takes a request at one of the zone's routers.
func (z *zoneWorld) arrive(r *request) {
	r.zone = z
	r.cold = !z.ready(r.Row)
	z.learned.observe(z.world.clock.now, r.Row)
	z.enqueue(r)
	z.world.clock.at(r.deadlineAt, func() { z.expire(r) })
}

// enqueue puts a request behind those of its priority and above.
func (z *zoneWorld) enqueue(r *request) {
	queue := z.queue(r.Row)
	position := len(queue.waiting)
	for position > 0 && queue.waiting[position-1].Priority < r.Priority {
		position--
	}
	queue.waiting = slices.Insert(queue.waiting, position, r)
	z.dispatch(r.Row)
	if len(queue.waiting) > 0 {
		z.world.waits.watch(r)
		z.wake(demandDelay)
	}
}

// expire refuses a request that still waits at its deadline.
func (z *zoneWorld) expire(r *request) {
	queue := z.queue(r.Row)
	position := slices.Index(queue.waiting, r)
	if position < 0 {
		return
	}
	queue.waiting = slices.Delete(queue.waiting, position, position+1)
	z.world.finish(r, outcomeRefused)
}

// dispatch sends waiting requests of the row to its least busy replicas.
func (z *zoneWorld) dispatch(row structs.RowName) {
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

// start runs a request; its speed is that of the engine's batch as it begins.
func (z *zoneWorld) start(r *request, e *engine) {
	queue := z.queue(r.Row)
	replica := e.replicas[r.Row]
	queue.running++
	e.occupy(replica, 1)
	r.engine = e
	step := decodeBase + decodePerSequence*time.Duration(e.running)
	first := prefillPerToken*time.Duration(r.PromptTokens) + step
	r.firstAt = z.world.clock.now.Add(first)
	life := e.incarnation
	z.world.clock.after(first+step*time.Duration(r.OutputTokens-1), func() {
		if r.engine != e || !e.lives(life) {
			return
		}
		queue.running--
		e.occupy(replica, -1)
		e.requests = slices.DeleteFunc(e.requests, func(other *request) bool { return other == r })
		z.learned.use(z.world.clock.now, r.Row)
		z.world.finish(r, outcomeAnswered)
		for row := range e.replicas {
			if len(z.queue(row).waiting) > 0 {
				z.world.clock.after(0, func() { z.dispatch(row) })
			}
		}
	})
	e.requests = append(e.requests, r)
}

// requeue puts the requests of an engine that died back into the queues.
func (z *zoneWorld) requeue(e *engine) {
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

// registerLater tells the zone of a runner's state once its report is seen.
func (z *zoneWorld) registerLater(e *engine) {
	z.world.clock.after(reportDelay, func() {
		z.apply(zone.Command{Runner: &zone.RunnerCommand{Info: e.info}})
		z.wake(0)
	})
}
