package experiment

import (
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/structs"
)

// engine models the model engine of a runner.
type engine struct {
	sim          *simulation
	zone         *simulatedZone
	info         structs.RunnerInfo
	alive        bool
	terminatedAt time.Time
	incarnation  structs.Incarnation
	used         int64
	replicas     map[structs.RowName]*engineReplica
	checkpoints  *emulator.CheckpointCache
	running      int
	// requests are those started on the engine that have not ended.
	requests []*request
	// storeReads counts the loads and prefetches that are reading from the store.
	storeReads int
	// pendingStoreReads counts the reserved loads that will read from the store.
	pendingStoreReads int
	// prefetching is set while a checkpoint is copied to disk for a later load.
	prefetching bool

	idleBytes int64
	idleSince time.Time
	// idleSeconds is in accelerator seconds.
	idleSeconds float64
}

// engineReplica is a replica held by an engine.
type engineReplica struct {
	row       structs.Row
	state     structs.ReplicaState
	running   int
	occupancy int
}

// updateReplica applies a change to a replica and updates the idle memory.
func (e *engine) updateReplica(replica *engineReplica, change func()) {
	e.accrueIdleTime()
	if replica.isIdle() {
		e.idleBytes -= replica.row.MemoryBytes
	}
	change()
	if replica.isIdle() {
		e.idleBytes += replica.row.MemoryBytes
	}
}

// accrueIdleTime adds the idle time since the last call: seconds times accelerators
// times the idle share of memory.
func (e *engine) accrueIdleTime() {
	passed := e.sim.clock.now.Sub(e.idleSince).Seconds()
	share := float64(e.idleBytes) / float64(e.info.MemoryBytes)
	e.idleSeconds += passed * share * float64(e.info.Accelerators)
	e.idleSince = e.sim.clock.now
}

func (r *engineReplica) isIdle() bool {
	return r.occupancy == 0 && (r.state == structs.ReplicaReady || r.state == structs.ReplicaUnloading)
}

// load starts to load the row and calls done when it is ready, unless the engine
// terminates first.
func (e *engine) load(row structs.Row, done func()) {
	if e.replicas[row.Name] != nil {
		e.sim.checker.fail("engine", "%s was ordered to load %s, which it already holds", e.info.ID, row.Name)
		return
	}
	replica := &engineReplica{row: row, state: structs.ReplicaLoading}
	e.replicas[row.Name] = replica
	e.used += row.MemoryBytes
	e.sim.checker.checkLoad(e, row)
	tier := e.checkpoints.Tier(row.Name)
	e.sim.recorder.loadStarted(tier)
	incarnation := e.incarnation
	finish := func() {
		if !e.isCurrent(incarnation) {
			return
		}
		if e.sim.faults.crashesOnLoad() {
			e.terminate()
			e.sim.clock.after(restartTime, e.restart)
			return
		}
		e.checkpoints.Put(structs.TierMemory, row.Name, row.MemoryBytes)
		e.updateReplica(replica, func() { replica.state = structs.ReplicaReady })
		done()
	}
	if tier != structs.TierStore {
		e.checkpoints.Put(tier, row.Name, row.MemoryBytes)
		e.sim.clock.after(e.readTime(row.MemoryBytes, tier), finish)
		return
	}
	e.fetch(row, func() {
		e.checkpoints.Put(structs.TierMemory, row.Name, row.MemoryBytes)
		e.sim.clock.after(e.readTime(row.MemoryBytes, structs.TierMemory), finish)
	})
}

func (e *engine) isCurrent(incarnation structs.Incarnation) bool {
	return e.alive && e.incarnation == incarnation
}

func (e *engine) readTime(bytes int64, tier structs.CacheTier) time.Duration {
	if tier == structs.TierMemory {
		return loadBase + transferTime(bytes, memorySpeed)
	}
	return loadBase + transferTime(bytes, diskSpeed)
}

// fetch copies a checkpoint from the store to disk and then calls done.
func (e *engine) fetch(row structs.Row, done func()) {
	e.storeReads++
	incarnation := e.incarnation
	e.sim.store.fetch(e.info.ID, row, func() {
		if !e.isCurrent(incarnation) {
			return
		}
		e.storeReads--
		e.checkpoints.Put(structs.TierDisk, row.Name, row.MemoryBytes)
		done()
	})
}

// unload frees the replica once no request runs on it, and then calls done.
func (e *engine) unload(row structs.RowName, done func()) {
	replica := e.replicas[row]
	incarnation := e.incarnation
	if replica == nil {
		return
	}
	if replica.running > 0 || replica.state == structs.ReplicaLoading {
		e.sim.clock.after(planInterval, func() {
			if e.isCurrent(incarnation) {
				e.unload(row, done)
			}
		})
		return
	}
	e.updateReplica(replica, func() { replica.state = structs.ReplicaUnloading })
	e.sim.clock.after(unloadTime, func() {
		if !e.isCurrent(incarnation) {
			return
		}
		e.updateReplica(replica, func() { replica.state = structs.ReplicaAbsent })
		e.used -= replica.row.MemoryBytes
		delete(e.replicas, row)
		done()
	})
}

// changeRunning adds change, 1 for a request that starts or -1 for one that ends, to
// the running requests of the replica. A request of an adapter also occupies its base.
func (e *engine) changeRunning(replica *engineReplica, change int) {
	e.running += change
	replica.running += change
	e.updateReplica(replica, func() { replica.occupancy += change })
	if base := e.replicas[replica.row.Base]; replica.row.NeedsBase() && base != nil {
		e.updateReplica(base, func() { base.occupancy += change })
	}
}

// terminate drops the replicas and the checkpoints in host memory, and requeues the
// requests. Checkpoints on disk remain.
func (e *engine) terminate() {
	e.accrueIdleTime()
	e.alive = false
	e.terminatedAt = e.sim.clock.now
	e.idleBytes = 0
	e.used = 0
	e.running = 0
	e.storeReads = 0
	e.pendingStoreReads = 0
	e.prefetching = false
	e.replicas = map[structs.RowName]*engineReplica{}
	e.checkpoints.ClearMemory()
	e.zone.requeue(e)
}

// vanished reports whether the engine has been down for so long that its replicas are
// replaced.
func (e *engine) vanished() bool {
	return !e.alive && e.sim.clock.now.Sub(e.terminatedAt) > controller.DefaultVanishedAfter
}

// restart starts the engine without replicas, under a new incarnation.
func (e *engine) restart() {
	e.alive = true
	e.incarnation++
	e.info.Incarnation = e.incarnation
	e.info.Leaving = false
	e.idleSince = e.sim.clock.now
	e.zone.registerLater(e)
}
