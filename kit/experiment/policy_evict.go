package experiment

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// makeRoom evicts the least recently used idle replicas of one runner to fit the row.
// It picks the runner whose most recently used victim was used least recently. It
// evicts nothing if memory that is already being freed suffices.
func (p *onDemandPlan) makeRoom(row structs.Row) {
	var best []scheduler.Replica
	for i := range p.snapshot.Runners {
		runner := &p.snapshot.Runners[i]
		if !p.canLoad(row, runner) {
			continue
		}
		missing := -p.room(row, runner) - p.freeing(runner.ID)
		if missing <= 0 {
			p.freeBytes[runner.ID] = -runner.MemoryBytes // keep the freed memory for this row
			return
		}
		if victims := p.leastRecentlyUsed(row, runner.ID, missing); victims != nil && (best == nil || p.usedBefore(victims, best)) {
			best = victims
		}
	}
	for _, victim := range best {
		p.unload(victim, scheduler.ReasonEvicted)
	}
}

// freeing returns the bytes of replicas that are unloading or planned to unload.
func (p *onDemandPlan) freeing(runner structs.RunnerID) int64 {
	var bytes int64
	for _, replica := range p.snapshot.Replicas {
		going := replica.State == structs.ReplicaUnloading || p.unloading[replicaKey{runner, replica.Row}]
		if replica.Runner == runner && going {
			bytes += replica.MemoryBytes
		}
	}
	return bytes
}

// leastRecentlyUsed returns the least recently used evictable replicas that together
// free the missing bytes, or nil if there are not enough.
func (p *onDemandPlan) leastRecentlyUsed(row structs.Row, runner structs.RunnerID, missing int64) []scheduler.Replica {
	var candidates []scheduler.Replica
	for _, replica := range p.snapshot.Replicas {
		if replica.Runner == runner && replica.Row != row.Base && p.evictable(replica) {
			candidates = append(candidates, replica)
		}
	}
	slices.SortStableFunc(candidates, func(a, b scheduler.Replica) int {
		return p.lastUsed[a.Row].Compare(p.lastUsed[b.Row])
	})
	for i, candidate := range candidates {
		missing -= candidate.MemoryBytes
		if missing <= 0 {
			return candidates[:i+1]
		}
	}
	return nil
}

// usedBefore reports whether the most recently used replica of a was used before that
// of b.
func (p *onDemandPlan) usedBefore(a, b []scheduler.Replica) bool {
	return p.lastUsed[a[len(a)-1].Row].Before(p.lastUsed[b[len(b)-1].Row])
}

// addWanted requests one replica of each row that is loaded, pinned or in demand, and
// of their bases.
func (p *onDemandPlan) addWanted() {
	wanted := map[structs.RowName]bool{}
	add := func(name structs.RowName) {
		wanted[name] = true
		if row, ok := p.snapshot.Table.Row(name); ok && row.NeedsBase() {
			wanted[row.Base] = true
		}
	}
	for _, replica := range p.snapshot.Replicas {
		add(replica.Row)
	}
	for _, demand := range p.snapshot.Demand {
		if demand.Waiting+demand.Running > 0 {
			add(demand.Row)
		}
	}
	for _, rows := range p.policy.pinned {
		for _, row := range rows {
			add(row)
		}
	}
	for row := range wanted {
		p.result.Wanted = append(p.result.Wanted, scheduler.RowWanted{Row: row, Replicas: 1})
	}
	slices.SortFunc(p.result.Wanted, func(a, b scheduler.RowWanted) int { return cmp.Compare(a.Row, b.Row) })
}
