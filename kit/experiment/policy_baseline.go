package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// onDemand loads a row when a request waits for it, on the runner of its role with the
// most free memory, and evicts the least recently used idle replicas. It implements the
// lru, keep-alive and static policies.
type onDemand struct {
	// keepAlive is how long an idle replica stays loaded; 0 means until it is evicted.
	keepAlive time.Duration
	// pinned lists the rows that are loaded at the start and never unloaded.
	pinned map[structs.RunnerID][]structs.RowName
}

// onDemandPlan is the state of one call of onDemand.Plan.
type onDemandPlan struct {
	snapshot  scheduler.Snapshot
	policy    *onDemand
	freeBytes map[structs.RunnerID]int64
	lastUsed  map[structs.RowName]time.Time
	// waiting is the set of rows with waiting requests.
	waiting    map[structs.RowName]bool
	unloading  map[replicaKey]bool
	result     scheduler.PlanResult
	storeReads int
}

type replicaKey struct {
	runner structs.RunnerID
	row    structs.RowName
}

// Plan implements Planner.
func (o *onDemand) Plan(snapshot scheduler.Snapshot) scheduler.PlanResult {
	p := &onDemandPlan{
		snapshot: snapshot, policy: o, freeBytes: map[structs.RunnerID]int64{},
		lastUsed: map[structs.RowName]time.Time{}, waiting: map[structs.RowName]bool{}, unloading: map[replicaKey]bool{}, storeReads: snapshot.StoreLoadsInFlight,
	}
	for _, runner := range snapshot.Runners {
		p.freeBytes[runner.ID] = runner.MemoryBytes - runner.MemoryReserved
	}
	for _, demand := range snapshot.Demand {
		p.lastUsed[demand.Row] = demand.LastUsed
		p.waiting[demand.Row] = demand.Waiting > 0
	}
	for _, replica := range snapshot.Replicas {
		if replica.Base != "" && p.lastUsed[replica.Row].After(p.lastUsed[replica.Base]) {
			p.lastUsed[replica.Base] = p.lastUsed[replica.Row]
		}
	}
	p.unloadSurplus()
	p.unloadIdle()
	for _, runner := range snapshot.Runners {
		for _, row := range o.pinned[runner.ID] {
			p.ensureLoaded(row, runner.ID)
		}
	}
	waiting := slices.DeleteFunc(slices.Clone(snapshot.Demand), func(demand scheduler.Demand) bool { return demand.Waiting == 0 })
	slices.SortStableFunc(waiting, func(a, b scheduler.Demand) int {
		return cmp.Or(cmp.Compare(b.Highest, a.Highest), cmp.Compare(b.OldestWait, a.OldestWait))
	})
	for _, demand := range waiting {
		p.ensureLoaded(demand.Row, "")
	}
	p.addWanted()
	return p.result
}

// unloadSurplus unloads replicas above the grant limits and on leaving runners.
func (p *onDemandPlan) unloadSurplus() {
	counts := map[structs.RowName]int{}
	leaving := map[structs.RunnerID]bool{}
	for _, runner := range p.snapshot.Runners {
		leaving[runner.ID] = runner.Leaving
	}
	for _, replica := range p.snapshot.Replicas {
		counts[replica.Row]++
		if counts[replica.Row] > p.snapshot.Table.Grant(replica.Row).Limit || leaving[replica.Runner] {
			p.unload(replica, scheduler.ReasonSurplus)
		}
	}
}

func (p *onDemandPlan) unloadIdle() {
	if p.policy.keepAlive == 0 {
		return
	}
	for _, replica := range p.snapshot.Replicas {
		used := p.lastUsed[replica.Row]
		if replica.Since.After(used) {
			used = replica.Since
		}
		if p.evictable(replica) && p.snapshot.Now.Sub(used) > p.policy.keepAlive {
			p.unload(replica, scheduler.ReasonIdle)
		}
	}
}

// evictable reports whether the replica is ready and not in use: not pinned, without
// running or waiting requests, and without active adapters.
func (p *onDemandPlan) evictable(replica scheduler.Replica) bool {
	if replica.State != structs.ReplicaReady || replica.Busy > 0 || p.unloading[replicaKey{replica.Runner, replica.Row}] {
		return false
	}
	if slices.Contains(p.policy.pinned[replica.Runner], replica.Row) {
		return false
	}
	if p.waiting[replica.Row] {
		return false
	}
	for _, other := range p.snapshot.Replicas {
		busy := other.Busy > 0 || other.State == structs.ReplicaLoading
		if other.Runner == replica.Runner && other.Base == replica.Row && busy {
			return false
		}
	}
	return true
}

// unload plans to unload the replica, or first its adapters if it has any.
func (p *onDemandPlan) unload(replica scheduler.Replica, reason scheduler.Reason) {
	key := replicaKey{replica.Runner, replica.Row}
	if replica.State == structs.ReplicaUnloading || p.unloading[key] {
		return
	}
	hasAdapters := false
	for _, other := range p.snapshot.Replicas {
		if other.Runner == replica.Runner && other.Base == replica.Row {
			hasAdapters = true
			p.unload(other, reason)
		}
	}
	if hasAdapters {
		return
	}
	p.unloading[key] = true
	p.result.Unloads = append(p.result.Unloads, scheduler.UnloadDecision{Row: replica.Row, Runner: replica.Runner, Reason: reason})
}

// ensureLoaded loads a row that has no replica in the zone, on the given runner or else
// on the one with the most free memory. If none has enough and no runner is given, it
// evicts replicas.
func (p *onDemandPlan) ensureLoaded(name structs.RowName, only structs.RunnerID) {
	row, ok := p.snapshot.Table.Row(name)
	if !ok || p.hasReplica(name) || p.snapshot.Table.Grant(name).Limit == 0 {
		return
	}
	var best *scheduler.Runner
	var bestRoom int64
	for i := range p.snapshot.Runners {
		runner := &p.snapshot.Runners[i]
		if !p.canLoad(row, runner) || (only != "" && runner.ID != only) {
			continue
		}
		if room := p.room(row, runner); best == nil || room > bestRoom {
			best, bestRoom = runner, room
		}
	}
	switch {
	case best == nil:
	case bestRoom >= 0:
		p.load(row, best)
	case only == "":
		p.makeRoom(row)
	}
}

// canLoad reports whether the row may be loaded on the runner. An adapter needs its
// base there, or a grant for another replica of the base.
func (p *onDemandPlan) canLoad(row structs.Row, runner *scheduler.Runner) bool {
	if runner.Role != row.Role || runner.Leaving || runner.Lagging {
		return false
	}
	if !row.NeedsBase() || p.isLoadedOn(row.Base, runner.ID) {
		return true
	}
	count := 0
	for _, replica := range p.snapshot.Replicas {
		if replica.Row == row.Base {
			count++
		}
	}
	return count < p.snapshot.Table.Grant(row.Base).Limit
}

func (p *onDemandPlan) hasReplica(row structs.RowName) bool {
	return slices.ContainsFunc(p.snapshot.Replicas, func(replica scheduler.Replica) bool {
		return replica.Row == row && replica.State != structs.ReplicaUnloading
	})
}

// room returns the bytes left on the runner after loading the row, and its base if
// needed. It is negative if the row does not fit.
func (p *onDemandPlan) room(row structs.Row, runner *scheduler.Runner) int64 {
	room := p.freeBytes[runner.ID] - row.MemoryBytes
	if row.NeedsBase() && !p.isLoadedOn(row.Base, runner.ID) {
		base, _ := p.snapshot.Table.Row(row.Base)
		room -= base.MemoryBytes
	}
	return room
}

func (p *onDemandPlan) isLoadedOn(row structs.RowName, runner structs.RunnerID) bool {
	return slices.ContainsFunc(p.snapshot.Replicas, func(replica scheduler.Replica) bool {
		return replica.Row == row && replica.Runner == runner && replica.State != structs.ReplicaUnloading
	})
}

func (p *onDemandPlan) load(row structs.Row, runner *scheduler.Runner) {
	if row.NeedsBase() && !p.isLoadedOn(row.Base, runner.ID) {
		base, ok := p.snapshot.Table.Row(row.Base)
		if !ok || !p.addLoad(base, runner) {
			return
		}
	}
	p.addLoad(row, runner)
}

func (p *onDemandPlan) addLoad(row structs.Row, runner *scheduler.Runner) bool {
	cached := slices.ContainsFunc(runner.Cached, func(entry structs.CachedRow) bool { return entry.Row == row.Name })
	if !cached && p.storeReads >= p.snapshot.StoreLoadBudget {
		return false
	}
	if !cached {
		p.storeReads++
	}
	p.freeBytes[runner.ID] -= row.MemoryBytes
	p.result.Loads = append(p.result.Loads, scheduler.LoadDecision{Row: row.Name, Runner: runner.ID, Reason: scheduler.ReasonDemand})
	return true
}
