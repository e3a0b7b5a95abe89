package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/structs"
)

// engine stands in for a runner's model engine.
type engine struct {
	world       *world
	zone        *zoneWorld
	info        structs.RunnerInfo
	alive       bool
	diedAt      time.Time
	incarnation structs.Incarnation
	used        int64
	replicas    map[structs.RowName]*loaded
	checkpoints *emulator.CheckpointCache
	running     int
	// requests are those that were started here; ended ones are dropped in time.
	requests []*request
	// reading counts the loads and prefetches that read the store.
	reading int
	// ordered counts the reserved loads that will read the store.
	ordered int
	// prefetching is set while a checkpoint is copied to disk ahead of its load.
	prefetching bool

	idleBytes int64
	idleSince time.Time
	// idleSeconds is accelerator seconds.
	idleSeconds float64
}

// loaded is a replica in an engine.
type loaded struct {
	row      structs.Row
	state    structs.ReplicaState
	running  int
	occupied int
}

// account applies a change to a replica and keeps the idle time.
func (e *engine) account(replica *loaded, change func()) {
	e.settle()
	if replica.idle() {
		e.idleBytes -= replica.row.MemoryBytes
	}
	change()
	if replica.idle() {
		e.idleBytes += replica.row.MemoryBytes
	}
}

// settle adds the idle time up to now: accelerators times the idle share of memory.
func (e *engine) settle() {
	passed := e.world.clock.now.Sub(e.idleSince).Seconds()
	share := float64(e.idleBytes) / float64(e.info.MemoryBytes)
	e.idleSeconds += passed * share * float64(e.info.Accelerators)
	e.idleSince = e.world.clock.now
}

func (r *loaded) idle() bool {
	return r.occupied == 0 && (r.state == structs.ReplicaReady || r.state == structs.ReplicaUnloading)
}

// load begins to load the row and calls done at the end, unless the engine dies.
func (e *engine) load(row structs.Row, done func()) {
	if e.replicas[row.Name] != nil {
		e.world.checker.fail("engine", "%s was told to load %s twice", e.info.ID, row.Name)
		return
	}
	replica := &loaded{row: row, state: structs.ReplicaLoading}
	e.replicas[row.Name] = replica
	e.used += row.MemoryBytes
	e.world.checker.loadBegins(e, row)
	tier := e.checkpoints.Tier(row.Name)
	e.world.measure.loadBegins(tier)
	life := e.incarnation
	finish := func() {
		if !e.lives(life) {
			return
		}
		if e.world.faults.loadDies() {
			e.die()
			e.world.clock.after(restartTime, e.restart)
			return
		}
		e.checkpoints.Put(structs.TierMemory, row.Name, row.MemoryBytes)
		e.account(replica, func() { replica.state = structs.ReplicaReady })
		done()
	}
	if tier != structs.TierStore {
		e.checkpoints.Put(tier, row.Name, row.MemoryBytes)
		e.world.clock.after(e.readTime(row.MemoryBytes, tier), finish)
		return
	}
	e.fetch(row, func() {
		e.checkpoints.Put(structs.TierMemory, row.Name, row.MemoryBytes)
		e.world.clock.after(e.readTime(row.MemoryBytes, structs.TierMemory), finish)
	})
}

func (e *engine) lives(life structs.Incarnation) bool { return e.alive && e.incarnation == life }

func (e *engine) readTime(bytes int64, tier structs.CacheTier) time.Duration {
	if tier == structs.TierMemory {
		return loadBase + transferTime(bytes, memorySpeed)
	}
	return loadBase + transferTime(bytes, diskSpeed)
}

// fetch copies a checkpoint from the store to disk.
func (e *engine) fetch(row structs.Row, done func()) {
	e.reading++
	life := e.incarnation
	e.world.store.fetch(e.info.ID, row, func() {
		if !e.lives(life) {
			return
		}
		e.reading--
		e.checkpoints.Put(structs.TierDisk, row.Name, row.MemoryBytes)
		done()
	})
}

// unload frees the replica once no request runs on it, and then calls done.
func (e *engine) unload(row structs.RowName, done func()) {
	replica := e.replicas[row]
	life := e.incarnation
	if replica == nil {
		return
	}
	if replica.running > 0 || replica.state == structs.ReplicaLoading {
		e.world.clock.after(planInterval, func() {
			if e.lives(life) {
				e.unload(row, done)
			}
		})
		return
	}
	e.account(replica, func() { replica.state = structs.ReplicaUnloading })
	e.world.clock.after(unloadTime, func() {
		if !e.lives(life) {
			return
		}
		e.account(replica, func() { replica.state = structs.ReplicaAbsent })
		e.used -= replica.row.MemoryBytes
		delete(e.replicas, row)
		done()
	})
}

// occupy notes that a request begins (1) or ends (-1) on the replica; an
// adapter's request occupies the base as well.
func (e *engine) occupy(replica *loaded, change int) {
	e.running += change
	replica.running += change
	e.account(replica, func() { replica.occupied += change })
	if base := e.replicas[replica.row.Base]; replica.row.NeedsBase() && base != nil {
		e.account(base, func() { base.occupied += change })
	}
}

// die loses replicas and host memory; the disk stays.
func (e *engine) die() {
	e.settle()
	e.alive = false
	e.diedAt = e.world.clock.now
	e.idleBytes = 0
	e.used = 0
	e.running = 0
	e.reading = 0
	e.ordered = 0
	e.prefetching = false
	e.replicas = map[structs.RowName]*loaded{}
	e.checkpoints.ClearMemory()
	e.zone.requeue(e)
}

// vanished reports whether the engine was silent for so long that its replicas
// are replaced.
func (e *engine) vanished() bool {
	return !e.alive && e.world.clock.now.Sub(e.diedAt) > controller.DefaultVanishedAfter
}

// restart brings the engine back empty.
func (e *engine) restart() {
	e.alive = true
	e.incarnation++
	e.info.Incarnation = e.incarnation
	e.info.Leaving = false
	e.idleSince = e.world.clock.now
	e.zone.registerLater(e)
}
