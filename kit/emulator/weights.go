package emulator

import (
	"maps"
	"slices"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// replica is a loading, ready or unloading row, or one that was dropped after a failed
// load (absent).
type replica struct {
	row       structs.RowName
	base      structs.RowName
	sizeBytes int64
	state     structs.ReplicaState
	fence     structs.Fence
	// weightsRead is set once the weights of a loading adapter are read and only its
	// base is missing.
	weightsRead bool
	// running and queued count the requests of the row itself; pending is their sum.
	running int
	queued  int
	pending int
	// occupied is the number of running requests of the row and of its adapters.
	occupied int
}

// idle reports whether the memory of the replica counts as idle.
func (r *replica) idle() bool {
	return r.occupied == 0 && (r.state == structs.ReplicaReady || r.state == structs.ReplicaUnloading)
}

// fetch is a pending read of a checkpoint from the weight store.
type fetch struct {
	sizeBytes int64
	// load is set if a replica waits for the checkpoint, toMemory if the checkpoint is
	// to be kept in host memory.
	load     bool
	toMemory bool
}

// setState changes the state of a replica and updates memory use and records.
func (e *Engine) setState(target *replica, state structs.ReplicaState) {
	e.updateIdle(target, func() { target.state = state })
	if state == structs.ReplicaAbsent {
		e.memoryUsed -= target.sizeBytes
	}
	e.records.PeakMemory = max(e.records.PeakMemory, e.memoryUsed)
	change := ReplicaChange{At: e.now, Row: target.row, State: state, MemoryUsed: e.memoryUsed}
	e.records.ReplicaChanges = appendLimited(e.records.ReplicaChanges, change, e.options.RecordLimit, &e.records.Dropped)
}

// updateIdle applies a change to a replica and updates the sum of idle bytes.
func (e *Engine) updateIdle(target *replica, change func()) {
	if target.idle() {
		e.idleBytes -= target.sizeBytes
	}
	change()
	if target.idle() {
		e.idleBytes += target.sizeBytes
	}
}

// occupy adds change (1 or -1) to the running requests of the replica and of its base.
func (e *Engine) occupy(current *sequence, change int) {
	target := current.replica
	target.running += change
	e.updateIdle(target, func() { target.occupied += change })
	if base := e.replicas[target.base]; target.base != "" && base != nil {
		e.updateIdle(base, func() { base.occupied += change })
	}
}

// releaseReplica removes an ended request from its replica. An unloading replica is
// freed after its last request.
func (e *Engine) releaseReplica(current *sequence) {
	target := current.replica
	if current.execution == nil {
		target.queued--
	}
	target.pending--
	if target.state == structs.ReplicaUnloading && target.pending == 0 {
		e.finishUnload(target)
	}
}

// servingReplica returns the ready replica of a row, or a refusal.
func (e *Engine) servingReplica(row structs.RowName) (*replica, *structs.Rejection) {
	target := e.replicas[row]
	if target == nil || target.state != structs.ReplicaReady {
		return nil, notRun(structs.NewError(structs.ErrorUnavailable,
			"the row is not loaded on this engine", "Refresh the placement and choose another replica."))
	}
	return target, nil
}

// dependants returns the adapters of a base that are not absent, sorted by name.
func (e *Engine) dependants(base structs.RowName) []*replica {
	var found []*replica
	for _, row := range slices.Sorted(maps.Keys(e.replicas)) {
		other := e.replicas[row]
		if other.base == base && other.state != structs.ReplicaAbsent {
			found = append(found, other)
		}
	}
	return found
}

// beginLoad loads the weights from the nearest cache tier.
func (e *Engine) beginLoad(target *replica) {
	switch e.checkpoints.Tier(target.row) {
	case structs.TierMemory:
		e.checkpoints.Put(structs.TierMemory, target.row, target.sizeBytes)
		e.readWeights(target, e.options.MemorySpeed)
	case structs.TierDisk:
		e.checkpoints.Put(structs.TierDisk, target.row, target.sizeBytes)
		e.readWeights(target, e.options.DiskSpeed)
	default:
		e.beginFetch(target.row, fetch{sizeBytes: target.sizeBytes, load: true, toMemory: true})
	}
}

// readWeights schedules the end of the load after the weights are read at the given
// speed.
func (e *Engine) readWeights(target *replica, speed int64) {
	duration := e.faults.slow(e.options.LoadBase + transferTime(target.sizeBytes, speed))
	if e.faults.DieOnLoad {
		e.faults.DieOnLoad = false
		e.after(duration/2, e.crash)
	}
	e.after(duration, func() {
		if target.state == structs.ReplicaLoading {
			e.checkpoints.Put(structs.TierMemory, target.row, target.sizeBytes)
			e.report.stale = true
			target.weightsRead = true
			e.becomeReady(target)
		}
	})
}

// becomeReady completes a load and those of the adapters that wait for it. An adapter
// waits until its base is ready.
func (e *Engine) becomeReady(target *replica) {
	if target.base != "" {
		base := e.replicas[target.base]
		if base == nil || base.state != structs.ReplicaReady {
			return
		}
	}
	e.setState(target, structs.ReplicaReady)
	for _, adapter := range e.dependants(target.row) {
		if adapter.state == structs.ReplicaLoading && adapter.weightsRead {
			e.becomeReady(adapter)
		}
	}
}

// beginFetch starts to fetch a checkpoint from the weight store, or joins a fetch in
// progress.
func (e *Engine) beginFetch(row structs.RowName, wanted fetch) {
	if current := e.fetches[row]; current != nil {
		current.load = current.load || wanted.load
		current.toMemory = current.toMemory || wanted.toMemory
		return
	}
	if e.fetches == nil {
		e.fetches = make(map[structs.RowName]*fetch)
	}
	e.fetches[row] = &wanted
	if e.options.FetchTime != nil {
		duration, ok := e.options.FetchTime(row, wanted.sizeBytes)
		e.after(duration, func() { e.fetched(row, !ok) })
		return
	}
	request := engineapi.FetchRequest{Row: row, SizeBytes: wanted.sizeBytes, Runner: e.options.Runner}
	e.emit(EngineOutput{Kind: OutputFetch, Fetch: &request})
}

// fetched completes a fetch.
func (e *Engine) fetched(row structs.RowName, failed bool) {
	ended := e.fetches[row]
	if ended == nil {
		return
	}
	delete(e.fetches, row)
	if !failed {
		e.checkpoints.Put(structs.TierDisk, row, ended.sizeBytes)
		if ended.toMemory {
			e.checkpoints.Put(structs.TierMemory, row, ended.sizeBytes)
		}
		e.report.stale = true
	}
	target := e.replicas[row]
	if !ended.load || target == nil || target.state != structs.ReplicaLoading {
		return
	}
	if failed {
		e.failLoad(target)
		return
	}
	e.readWeights(target, e.options.MemorySpeed)
}

// failLoad drops a replica whose weights could not be read, with its adapters.
func (e *Engine) failLoad(target *replica) {
	e.setState(target, structs.ReplicaAbsent)
	for _, adapter := range e.dependants(target.row) {
		e.failLoad(adapter)
	}
}

// finishUnload frees the memory of a replica that has no requests.
func (e *Engine) finishUnload(target *replica) {
	e.after(e.faults.slow(e.options.UnloadTime), func() {
		e.setState(target, structs.ReplicaAbsent)
		delete(e.replicas, target.row)
		if e.prefix.removeRow(target.row) > 0 {
			e.publish(engineapi.CacheCleared, target.row, nil)
		}
	})
}
