package experiment

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// makeRoom unloads the least recently used idle replicas of the runner on which
// the most recently used of those needed was used longest ago. It does nothing
// while memory that is being freed will be enough.
func (p *onDemandPlan) makeRoom(row structs.Row) {
	var best []scheduler.Replica
	for i := range p.snapshot.Runners {
		runner := &p.snapshot.Runners[i]
		if !p.usable(row, runner) {
			continue
		}
		missing := -p.room(row, runner) - p.freeing(runner.ID)
		if missing <= 0 {
			p.free[runner.ID] = -runner.MemoryBytes // promised to this row
			return
		}
		if victims := p.oldest(row, runner.ID, missing); victims != nil && (best == nil || p.older(victims, best)) {
			best = victims
		}
	}
	for _, victim := range best {
		p.unload(victim, scheduler.ReasonEvicted)
	}
}

// freeing is the memory of replicas that are unloading or are planned to.
func (p *onDemandPlan) freeing(runner structs.RunnerID) int64 {
	var bytes int64
	for _, replica := range p.snapshot.Replicas {
		going := replica.State == structs.ReplicaUnloading || p.going[placed{runner, replica.Row}]
		if replica.Runner == runner && going {
			bytes += replica.MemoryBytes
		}
	}
	return bytes
}

// oldest returns the least recently used replicas that free enough, or nil.
func (p *onDemandPlan) oldest(row structs.Row, runner structs.RunnerID, missing int64) []scheduler.Replica {
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

// older reports whether all of a were used before the last used one of b.
func (p *onDemandPlan) older(a, b []scheduler.Replica) bool {
	return p.lastUsed[a[len(a)-1].Row].Before(p.lastUsed[b[len(b)-1].Row])
}

// tellWanted wishes one replica of each row that is loaded or waited for, and of
// the bases.
func (p *onDemandPlan) tellWanted() {
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
