package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// onDemand is what operators set up by hand: a row is loaded when a request waits
// for it, on the runner of its role with the most room, and the least recently
// used idle replicas make room. It serves as all three simple baselines.
type onDemand struct {
	// keepAlive is how long an idle replica stays; 0 means until it is evicted.
	keepAlive time.Duration
	// pinned replicas are loaded at the start and never unloaded.
	pinned map[structs.RunnerID][]structs.RowName
}

// onDemandPlan is one plan of an onDemand planner.
type onDemandPlan struct {
	snapshot scheduler.Snapshot
	policy   *onDemand
	free     map[structs.RunnerID]int64
	lastUsed map[structs.RowName]time.Time
	// waiting holds the rows with waiting requests.
	waiting map[structs.RowName]bool
	going   map[placed]bool
	result  scheduler.PlanResult
	reads   int
}

type placed struct {
	runner structs.RunnerID
	row    structs.RowName
}

// Plan implements Planner.
func (o *onDemand) Plan(snapshot scheduler.Snapshot) scheduler.PlanResult {
	p := &onDemandPlan{
		snapshot: snapshot, policy: o, free: map[structs.RunnerID]int64{},
		lastUsed: map[structs.RowName]time.Time{}, waiting: map[structs.RowName]bool{}, going: map[placed]bool{}, reads: snapshot.StoreLoadsInFlight,
	}
	for _, runner := range snapshot.Runners {
		p.free[runner.ID] = runner.MemoryBytes - runner.MemoryReserved
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
			p.want(row, runner.ID)
		}
	}
	waiting := slices.DeleteFunc(slices.Clone(snapshot.Demand), func(demand scheduler.Demand) bool { return demand.Waiting == 0 })
	slices.SortStableFunc(waiting, func(a, b scheduler.Demand) int {
		return cmp.Or(cmp.Compare(b.Highest, a.Highest), cmp.Compare(b.OldestWait, a.OldestWait))
	})
	for _, demand := range waiting {
		p.want(demand.Row, "")
	}
	p.tellWanted()
	return p.result
}

// unloadSurplus gives way to lowered grants and leaving runners.
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

// evictable reports whether nothing runs on the replica, waits for it or needs it.
func (p *onDemandPlan) evictable(replica scheduler.Replica) bool {
	if replica.State != structs.ReplicaReady || replica.Busy > 0 || p.going[placed{replica.Runner, replica.Row}] {
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

// unload plans to unload the replica, its adapters first.
func (p *onDemandPlan) unload(replica scheduler.Replica, reason scheduler.Reason) {
	key := placed{replica.Runner, replica.Row}
	if replica.State == structs.ReplicaUnloading || p.going[key] {
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
	p.going[key] = true
	p.result.Unloads = append(p.result.Unloads, scheduler.UnloadDecision{Row: replica.Row, Runner: replica.Runner, Reason: reason})
}

// want loads a row of which the zone has no replica, on the runner if one is
// named, or else where there is most room, or makes room.
func (p *onDemandPlan) want(name structs.RowName, only structs.RunnerID) {
	row, ok := p.snapshot.Table.Row(name)
	if !ok || p.has(name) || p.snapshot.Table.Grant(name).Limit == 0 {
		return
	}
	var best *scheduler.Runner
	var bestRoom int64
	for i := range p.snapshot.Runners {
		runner := &p.snapshot.Runners[i]
		if !p.usable(row, runner) || (only != "" && runner.ID != only) {
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

// usable reports whether the row may be loaded on the runner: a base is not loaded
// a second time when the grants allow no more of it.
func (p *onDemandPlan) usable(row structs.Row, runner *scheduler.Runner) bool {
	if runner.Role != row.Role || runner.Leaving || runner.Lagging {
		return false
	}
	if !row.NeedsBase() || p.on(row.Base, runner.ID) {
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

func (p *onDemandPlan) has(row structs.RowName) bool {
	return slices.ContainsFunc(p.snapshot.Replicas, func(replica scheduler.Replica) bool {
		return replica.Row == row && replica.State != structs.ReplicaUnloading
	})
}

// room is what is left on the runner after loading the row, with its base if needed.
func (p *onDemandPlan) room(row structs.Row, runner *scheduler.Runner) int64 {
	room := p.free[runner.ID] - row.MemoryBytes
	if row.NeedsBase() && !p.on(row.Base, runner.ID) {
		base, _ := p.snapshot.Table.Row(row.Base)
		room -= base.MemoryBytes
	}
	return room
}

func (p *onDemandPlan) on(row structs.RowName, runner structs.RunnerID) bool {
	return slices.ContainsFunc(p.snapshot.Replicas, func(replica scheduler.Replica) bool {
		return replica.Row == row && replica.Runner == runner && replica.State != structs.ReplicaUnloading
	})
}

func (p *onDemandPlan) load(row structs.Row, runner *scheduler.Runner) {
	if row.NeedsBase() && !p.on(row.Base, runner.ID) {
		base, ok := p.snapshot.Table.Row(row.Base)
		if !ok || !p.addLoad(base, runner) {
			return
		}
	}
	p.addLoad(row, runner)
}

func (p *onDemandPlan) addLoad(row structs.Row, runner *scheduler.Runner) bool {
	cached := slices.ContainsFunc(runner.Cached, func(entry structs.CachedRow) bool { return entry.Row == row.Name })
	if !cached && p.reads >= p.snapshot.StoreLoadBudget {
		return false
	}
	if !cached {
		p.reads++
	}
	p.free[runner.ID] -= row.MemoryBytes
	p.result.Loads = append(p.result.Loads, scheduler.LoadDecision{Row: row.Name, Runner: runner.ID, Reason: scheduler.ReasonDemand})
	return true
}
