package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxFailedPlacements bounds the rows for which one plan fails to find room.
	maxFailedPlacements = 64
	// maxLoads bounds the loads of one plan.
	maxLoads = 64
	// unloadWait is the placement cost of waiting for memory that is being freed.
	unloadWait = time.Second
)

// failureKey identifies the rows that share a failed search for room.
type failureKey struct {
	role     structs.RunnerRole
	priority structs.Priority
}

// placement is one way to load a row on a runner.
type placement struct {
	runner    *runnerState
	tier      structs.CacheTier
	need      int64
	loadsBase bool
	cost      float64
	victims   []*replicaState
	// fitsNow is true when the memory is already free.
	fitsNow bool
}

func (p *planner) planLoads() {
	short := p.shortRows()
	p.indexCached(short)
	failures := 0
	for _, row := range short {
		for row.usableCount < min(row.wantedReplicas, row.limit) && row.mayGrow() {
			if len(p.plan.Loads) >= maxLoads || failures >= maxFailedPlacements {
				return
			}
			best := p.bestPlacement(row)
			if best == nil {
				failures++
				break
			}
			p.commit(row, best)
		}
	}
}

// shortRows returns the rows that lack replicas, the most urgent first.
func (p *planner) shortRows() []*rowState {
	var short []*rowState
	for _, name := range p.names {
		row := p.rows[name]
		if row.usableCount < min(row.wantedReplicas, row.limit) {
			short = append(short, row)
		}
	}
	slices.SortStableFunc(short, func(a, b *rowState) int {
		return cmp.Or(
			cmp.Compare(b.priority(), a.priority()),
			cmp.Compare(b.urgency(), a.urgency()),
		)
	})
	return short
}

// priority returns the highest priority of the row and its waiting requests.
func (r *rowState) priority() structs.Priority {
	if r.demand.Waiting > 0 {
		return max(r.demand.Highest, r.Priority)
	}
	return r.Priority
}

func (r *rowState) urgency() float64 {
	return float64(max(r.Weight, 1)) * r.demand.OldestWait.Seconds()
}

func (r *rowState) reason() Reason {
	switch {
	case r.demand.Waiting+r.demand.Running > 0:
		return ReasonDemand
	case r.usableCount < r.minimum:
		return ReasonMinimum
	case r.recordCount == 0:
		return ReasonPrewarm
	}
	return ReasonReplace
}

// indexCached records the cache tiers of the rows and their bases on each runner.
func (p *planner) indexCached(short []*rowState) {
	p.cached = map[structs.RowName]map[structs.RunnerID]structs.CacheTier{}
	for _, row := range short {
		p.cached[row.Name] = map[structs.RunnerID]structs.CacheTier{}
		if row.NeedsBase() {
			p.cached[row.Base] = map[structs.RunnerID]structs.CacheTier{}
		}
	}
	if len(short) == 0 {
		return
	}
	for _, runner := range p.runners {
		for _, entry := range runner.Cached {
			if tiers, ok := p.cached[entry.Row]; ok && (tiers[runner.ID] != structs.TierMemory) {
				tiers[runner.ID] = entry.Tier
			}
		}
	}
}

func (p *planner) tier(row structs.RowName, runner structs.RunnerID) structs.CacheTier {
	if tier, ok := p.cached[row][runner]; ok {
		return tier
	}
	return structs.TierStore
}

// bestPlacement returns the cheapest placement of the row, or nil if there is none.
func (p *planner) bestPlacement(row *rowState) *placement {
	key := failureKey{row.Role, row.priority()}
	least, known := p.failed[key]
	if known && !row.NeedsBase() && row.MemoryBytes >= least {
		return nil
	}
	var best *placement
	heldElsewhere := false
	for _, runner := range p.runners {
		if runner.Leaving || runner.Lagging || runner.Role != row.Role {
			continue
		}
		if runner.holds(row.Name) {
			heldElsewhere = true
			continue
		}
		limit := math.Inf(1)
		if best != nil {
			limit = best.cost
		}
		option := p.option(row, runner, limit)
		if option != nil && (best == nil || option.better(best)) {
			kept := *option
			best = &kept
		}
	}
	if best == nil && !heldElsewhere && !row.NeedsBase() && p.storeBudgetLeft() {
		p.failed[key] = row.MemoryBytes
	}
	return best
}

func (p *planner) storeBudgetLeft() bool { return p.storeLoads < p.snapshot.StoreLoadBudget }

func (o *placement) better(other *placement) bool {
	if o.cost != other.cost {
		return o.cost < other.cost
	}
	// Spreads rows, so that losing a few runners loses few rows.
	return o.runner.future-o.need > other.runner.future-other.need
}

func (r *runnerState) holds(row structs.RowName) bool {
	return r.replicaOf(row) != nil
}

func (r *runnerState) replicaOf(row structs.RowName) *replicaState {
	for _, replica := range r.replicas {
		if replica.Row == row {
			return replica
		}
	}
	return nil
}

// option returns the placement of the row on the runner, or nil if it is impossible or
// costs more than the limit. The result is valid until the next call: it points to a
// buffer, since few of the evaluated placements are kept.
func (p *planner) option(row *rowState, runner *runnerState, limit float64) *placement {
	option := &p.scratch
	*option = placement{runner: runner, tier: p.tier(row.Name, runner.ID), need: row.MemoryBytes}
	read := p.readTime(row.MemoryBytes, option.tier)
	if row.NeedsBase() {
		base := runner.replicaOf(row.Base)
		if base != nil && base.unloading {
			return nil
		}
		if base == nil {
			state := p.row(row.Base)
			if state.Role != row.Role || !state.mayGrow() {
				return nil
			}
			option.loadsBase = true
			option.need += state.MemoryBytes
			read += p.readTime(state.MemoryBytes, p.tier(row.Base, runner.ID))
		}
	}
	if p.placementReadsStore(row, option) && !p.storeBudgetLeft() {
		return nil
	}
	option.cost = read.Seconds()
	if option.cost > limit {
		return nil
	}
	return p.makeRoom(row, option)
}

// placementReadsStore reports whether the option starts a new read of the store.
func (p *planner) placementReadsStore(row *rowState, option *placement) bool {
	if option.loadsBase && p.needsStoreRead(row.Base, option.runner) {
		return true
	}
	return option.tier == structs.TierStore && option.runner.Prefetching != row.Name
}

// needsStoreRead reports whether loading the row on the runner starts a new read of
// the store, rather than using a cached checkpoint or an open prefetch.
func (p *planner) needsStoreRead(row structs.RowName, runner *runnerState) bool {
	return p.tier(row, runner.ID) == structs.TierStore && runner.Prefetching != row
}

// makeRoom adds to the option how its memory is obtained, or returns nil if it cannot be.
func (p *planner) makeRoom(row *rowState, option *placement) *placement {
	runner := option.runner
	if option.need <= min(runner.free, runner.future) {
		option.fitsNow = true
		return option
	}
	option.cost += unloadWait.Seconds()
	if option.need <= runner.future {
		return option
	}
	if option.need > runner.MemoryBytes {
		return nil
	}
	victims, cost := p.victims(row, option)
	if victims == nil {
		return nil
	}
	option.victims = victims
	option.cost += cost
	return option
}

// commit adds the placement to the plan.
func (p *planner) commit(row *rowState, option *placement) {
	runner := option.runner
	reason := row.reason()
	for _, victim := range option.victims {
		p.unload(victim, ReasonEvicted)
	}
	runner.future -= option.need
	row.usableCount++
	row.recordCount++
	if option.loadsBase {
		p.row(row.Base).recordCount++
	}
	if !option.fitsNow {
		if option.tier == structs.TierStore && runner.Prefetching == "" {
			runner.Prefetching = row.Name
			p.plan.Prefetches = append(p.plan.Prefetches, PrefetchDecision{row.Name, runner.ID})
			p.storeLoads++
		}
		return
	}
	runner.free -= option.need
	if option.loadsBase {
		base := p.row(row.Base)
		p.addLoad(base, runner, ReasonBase)
		base.usableCount++
		if p.needsStoreRead(row.Name, runner) && !p.storeBudgetLeft() {
			return // A later plan loads the adapter while the base loads.
		}
	}
	p.addLoad(row, runner, reason)
}

// addLoad adds a load to the plan and to the planner's view of the runner.
func (p *planner) addLoad(row *rowState, runner *runnerState, reason Reason) {
	tier := p.tier(row.Name, runner.ID)
	p.plan.Loads = append(p.plan.Loads, LoadDecision{row.Name, runner.ID, tier, reason})
	if p.needsStoreRead(row.Name, runner) {
		p.storeLoads++
	}
	replica := Replica{
		Row: row.Name, Runner: runner.ID, State: structs.ReplicaLoading,
		MemoryBytes: row.MemoryBytes, Since: p.snapshot.Now,
	}
	if row.NeedsBase() {
		replica.Base = row.Base
	}
	runner.replicas = append(runner.replicas, &replicaState{Replica: replica, row: row, runner: runner})
}
