package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxFailedPlacements bounds the rows for which one plan looks for room in vain.
	maxFailedPlacements = 64
	// maxLoads bounds the loads of one plan.
	maxLoads = 64
	// unloadWait is what waiting for memory that is being freed counts as.
	unloadWait = time.Second
)

// failureKey names a kind of placement that found no room.
type failureKey struct {
	role     structs.RunnerRole
	priority structs.Priority
}

// placement is a way to load a row on a runner.
type placement struct {
	runner  *runnerState
	tier    structs.CacheTier
	need    int64
	base    bool
	cost    float64
	victims []*replicaState
	// now is true when the memory is free already.
	now bool
}

func (p *planner) planLoads() {
	short := p.shortRows()
	p.indexCached(short)
	failures := 0
	for _, row := range short {
		for row.usable < min(row.wanted, row.limit) && row.mayGrow() {
			if len(p.plan.Loads) >= maxLoads || failures >= maxFailedPlacements {
				return
			}
			best := p.bestPlacement(row)
			if best == nil {
				failures++
				break
			}
			p.take(row, best)
		}
	}
}

// shortRows returns the rows that lack replicas, the most urgent first.
func (p *planner) shortRows() []*rowState {
	var short []*rowState
	for _, name := range p.names {
		row := p.rows[name]
		if row.usable < min(row.wanted, row.limit) {
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

// priority is that of the waiting requests, or the row's own without any.
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
	case r.usable < r.minimum:
		return ReasonMinimum
	case r.records == 0:
		return ReasonPrewarm
	}
	return ReasonReplace
}

// indexCached notes where the checkpoints of the short rows and their bases are.
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
			if where, ok := p.cached[entry.Row]; ok && (where[runner.ID] != structs.TierMemory) {
				where[runner.ID] = entry.Tier
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

// bestPlacement returns the cheapest way to load the row, or nil.
func (p *planner) bestPlacement(row *rowState) *placement {
	key := failureKey{row.Role, row.priority()}
	least, known := p.failed[key]
	if known && !row.NeedsBase() && row.MemoryBytes >= least {
		return nil
	}
	var best *placement
	elsewhere := false
	for _, runner := range p.runners {
		if runner.Leaving || runner.Lagging || runner.Role != row.Role {
			continue
		}
		if runner.holds(row.Name) {
			elsewhere = true
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
	if best == nil && !elsewhere && !row.NeedsBase() && p.storeOpen() {
		p.failed[key] = row.MemoryBytes
	}
	return best
}

func (p *planner) storeOpen() bool { return p.storeLoads < p.snapshot.StoreLoadBudget }

func (o *placement) better(other *placement) bool {
	if o.cost != other.cost {
		return o.cost < other.cost
	}
	// Rows are spread, so that the loss of a few runners takes few of them.
	return o.runner.future-o.need > other.runner.future-other.need
}

func (r *runnerState) holds(row structs.RowName) bool {
	return r.find(row) != nil
}

func (r *runnerState) find(row structs.RowName) *replicaState {
	for _, replica := range r.replicas {
		if replica.Row == row {
			return replica
		}
	}
	return nil
}

// option works out what loading the row on the runner takes; nil when it is not
// possible or costs the limit or more without a tie. What it returns holds until the
// next call: of the many that are weighed few are kept.
func (p *planner) option(row *rowState, runner *runnerState, limit float64) *placement {
	option := &p.tried
	*option = placement{runner: runner, tier: p.tier(row.Name, runner.ID), need: row.MemoryBytes}
	read := p.readTime(row.MemoryBytes, option.tier)
	if row.NeedsBase() {
		base := runner.find(row.Base)
		if base != nil && base.going {
			return nil
		}
		if base == nil {
			state := p.row(row.Base)
			if state.Role != row.Role || !state.mayGrow() {
				return nil
			}
			option.base = true
			option.need += state.MemoryBytes
			read += p.readTime(state.MemoryBytes, p.tier(row.Base, runner.ID))
		}
	}
	if p.readsStore(row, option) && !p.storeOpen() {
		return nil
	}
	option.cost = read.Seconds()
	if option.cost > limit {
		return nil
	}
	return p.makeRoom(row, option)
}

// readsStore reports whether the option reads a checkpoint from the store.
func (p *planner) readsStore(row *rowState, option *placement) bool {
	if option.base && p.newStoreRead(row.Base, option.runner) {
		return true
	}
	return option.tier == structs.TierStore && option.runner.Prefetching != row.Name
}

// newStoreRead reports whether loading the row on the runner reads the store, and
// not what an open prefetch reads already.
func (p *planner) newStoreRead(row structs.RowName, runner *runnerState) bool {
	return p.tier(row, runner.ID) == structs.TierStore && runner.Prefetching != row
}

// makeRoom completes the option by how it gets its memory.
func (p *planner) makeRoom(row *rowState, option *placement) *placement {
	runner := option.runner
	if option.need <= min(runner.free, runner.future) {
		option.now = true
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

// take puts the placement into the plan.
func (p *planner) take(row *rowState, option *placement) {
	runner := option.runner
	reason := row.reason()
	for _, victim := range option.victims {
		p.unload(victim, ReasonEvicted)
	}
	runner.future -= option.need
	row.usable++
	row.records++
	if option.base {
		p.row(row.Base).records++
	}
	if !option.now {
		if option.tier == structs.TierStore && runner.Prefetching == "" {
			runner.Prefetching = row.Name
			p.plan.Prefetches = append(p.plan.Prefetches, PrefetchDecision{row.Name, runner.ID})
			p.storeLoads++
		}
		return
	}
	runner.free -= option.need
	if option.base {
		base := p.row(row.Base)
		p.addLoad(base, runner, ReasonBase)
		base.usable++
		if p.newStoreRead(row.Name, runner) && !p.storeOpen() {
			return // The adapter follows in a later plan, while the base loads.
		}
	}
	p.addLoad(row, runner, reason)
}

// addLoad plans a load and lets later rows of this plan see it.
func (p *planner) addLoad(row *rowState, runner *runnerState, reason Reason) {
	tier := p.tier(row.Name, runner.ID)
	p.plan.Loads = append(p.plan.Loads, LoadDecision{row.Name, runner.ID, tier, reason})
	if p.newStoreRead(row.Name, runner) {
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
