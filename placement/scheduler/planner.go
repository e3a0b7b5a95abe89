package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// growthFactor is how far above RequestsPerReplica the work has to be before a
// row gets more replicas, and shrinkFactor how far below it before it loses one.
const (
	growthFactor = 1.25
	shrinkFactor = 0.5
)

const (
	// coldStartBase is what a cold start takes beside reading the weights.
	coldStartBase = time.Second
	// maxColdCost bounds what a cold start is worth.
	maxColdCost = 30 * 24 * time.Hour
)

// planner holds a plan in the making.
type planner struct {
	snapshot Snapshot
	settings Settings
	runners  []*runnerState
	byID     map[structs.RunnerID]*runnerState
	rows     map[structs.RowName]*rowState
	// names are the keys of rows, in order.
	names      []structs.RowName
	cached     map[structs.RowName]map[structs.RunnerID]structs.CacheTier
	storeLoads int
	// largest is the memory of the largest runner.
	largest int64
	failed  map[failureKey]int64
	// reserves is what is kept free for each role, as far as it was asked for.
	reserves map[structs.RunnerRole]int64
	plan     PlanResult
	// tried is the placement that was last weighed.
	tried placement
}

type runnerState struct {
	Runner
	// free is unreserved now; future adds what is being unloaded and takes away
	// what is promised to rows that wait for it.
	free     int64
	future   int64
	replicas []*replicaState
}

type replicaState struct {
	Replica
	row    *rowState
	runner *runnerState
	// going is set once the replica is unloading or planned to be.
	going bool
}

type rowState struct {
	structs.Row
	exists bool
	limit  int
	frozen bool
	// minimum is the zone's part of the row's MinReplicas.
	minimum  int
	demand   Demand
	replicas []*replicaState
	// records counts every replica; usable those that serve or will serve; ready
	// those of them that serve.
	records int
	usable  int
	ready   int
	wanted  int
	// expected is the probability of a use within the next hour.
	expected float64
	// useful is what the row is said to be able to use.
	useful int
	// lastUsed includes the use by adapters.
	lastUsed time.Time
}

// Plan makes a plan from the snapshot. Equal snapshots give equal plans.
func Plan(snapshot Snapshot) PlanResult { return newPlanner(snapshot).run() }

func newPlanner(snapshot Snapshot) *planner {
	p := &planner{
		snapshot:   snapshot,
		settings:   snapshot.Settings,
		byID:       make(map[structs.RunnerID]*runnerState, len(snapshot.Runners)),
		rows:       map[structs.RowName]*rowState{},
		storeLoads: snapshot.StoreLoadsInFlight,
		failed:     map[failureKey]int64{},
		reserves:   map[structs.RunnerRole]int64{},
	}
	p.addRunners()
	for _, demand := range snapshot.Demand {
		row := p.row(demand.Row)
		row.demand = demand
		row.lastUsed = latest(row.lastUsed, demand.LastUsed)
		if row.NeedsBase() {
			base := p.row(row.Base)
			base.lastUsed = latest(base.lastUsed, demand.LastUsed)
		}
	}
	for _, name := range snapshot.Table.RowsWithMinimum() {
		p.row(name)
	}
	p.addExpected()
	p.addReplicas()
	p.names = slices.Sorted(maps.Keys(p.rows))
	return p
}

func (p *planner) run() PlanResult {
	p.planWanted()
	for _, name := range p.names {
		p.planSurplus(p.rows[name])
		p.planLeaving(p.rows[name])
		p.planIdle(p.rows[name])
	}
	p.planLoads()
	p.planPrewarm()
	p.planCompanions()
	p.planReserve()
	return p.plan
}

func (p *planner) addRunners() {
	states := make([]runnerState, len(p.snapshot.Runners))
	p.runners = make([]*runnerState, 0, len(states))
	for i, runner := range p.snapshot.Runners {
		free := runner.MemoryBytes - runner.MemoryReserved
		state := &states[i]
		*state = runnerState{Runner: runner, free: free, future: free}
		p.runners = append(p.runners, state)
		p.byID[runner.ID] = state
		p.largest = max(p.largest, runner.MemoryBytes)
	}
	slices.SortFunc(p.runners, func(a, b *runnerState) int { return cmp.Compare(a.ID, b.ID) })
}

func (p *planner) addReplicas() {
	replicas := sortedReplicas(p.snapshot.Replicas)
	states := make([]replicaState, len(replicas))
	for i, replica := range replicas {
		runner, ok := p.byID[replica.Runner]
		if !ok {
			continue
		}
		row := p.row(replica.Row)
		state := &states[i]
		*state = replicaState{Replica: replica, row: row, runner: runner}
		row.replicas = append(row.replicas, state)
		runner.replicas = append(runner.replicas, state)
		row.records++
		if replica.State == structs.ReplicaUnloading {
			state.going = true
			runner.future += replica.MemoryBytes
			continue
		}
		if !state.misplaced() {
			row.count(state, 1)
		}
	}
}

// sortedReplicas returns the replicas in the order of their runners and rows, in
// which a caller mostly has them.
func sortedReplicas(replicas []Replica) []Replica {
	order := func(a, b Replica) int {
		return cmp.Or(cmp.Compare(a.Runner, b.Runner), cmp.Compare(a.Row, b.Row))
	}
	if slices.IsSortedFunc(replicas, order) {
		return replicas
	}
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, order)
	return sorted
}

// misplaced reports whether the replica's runner is not one for its row.
func (r *replicaState) misplaced() bool {
	return r.runner.Leaving || (r.row.exists && r.row.Role != r.runner.Role)
}

func (r *rowState) count(replica *replicaState, change int) {
	r.usable += change
	if replica.State == structs.ReplicaReady {
		r.ready += change
	}
}

func (p *planner) row(name structs.RowName) *rowState {
	if row, ok := p.rows[name]; ok {
		return row
	}
	state := &rowState{}
	state.Row, state.exists = p.snapshot.Table.Row(name)
	state.Name = name
	if state.exists {
		grant := p.snapshot.Table.Grant(name)
		state.limit, state.minimum, state.frozen = grant.Limit, grant.Minimum, grant.Frozen
	}
	p.rows[name] = state
	return state
}

// mayGrow reports whether the zone may begin to load another replica.
func (r *rowState) mayGrow() bool { return r.exists && !r.frozen && r.records < r.limit }

// planWanted works out how many replicas each row could use. To the global group
// it also names the bases that adapters need, and what is kept for later use.
func (p *planner) planWanted() {
	for _, name := range p.names {
		row := p.rows[name]
		row.wanted = p.wanted(row)
		// The whole MinReplicas, and not the zone's part: that follows the limit, and a
		// wish that follows the limit would make it move for ever.
		row.useful = max(row.useful, row.wanted, row.MinReplicas, min(row.usable, row.limit))
		if base, ok := p.rows[row.Base]; ok && row.NeedsBase() {
			base.useful = max(base.useful, row.wanted)
		}
	}
	for _, name := range p.names {
		if row := p.rows[name]; row.exists && row.useful > 0 {
			p.plan.Wanted = append(p.plan.Wanted, RowWanted{name, row.useful})
		}
	}
}

// wanted returns how many replicas the row could use, whatever its limit.
func (p *planner) wanted(row *rowState) int {
	if !row.exists {
		return 0
	}
	wanted := row.minimum
	if work := row.demand.Waiting + row.demand.Running; work > 0 {
		wanted = max(wanted, p.neededFor(work, row.usable))
	}
	if row.hasMisplaced() && p.idleFor(row) < p.keepAlive(row) {
		wanted = max(wanted, 1)
	}
	return wanted
}

// neededFor returns the replicas for the work: the first one at once, more only
// when the work is well above what the present ones carry.
func (p *planner) neededFor(work, usable int) int {
	capacity := float64(p.settings.RequestsPerReplica)
	grown := int(math.Ceil(float64(work) / (capacity * growthFactor)))
	shrunk := int(math.Ceil(float64(work) / (capacity * shrinkFactor)))
	return max(1, min(max(usable, grown), shrunk))
}

func (r *rowState) hasMisplaced() bool {
	return slices.ContainsFunc(r.replicas, (*replicaState).misplaced)
}

func (p *planner) idleFor(row *rowState) time.Duration {
	return p.snapshot.Now.Sub(row.lastUsed)
}

func (p *planner) keepAlive(row *rowState) time.Duration {
	return p.snapshot.Interarrivals[row.Name].KeepAlive(p.coldCost(row), p.settings)
}

// keepAliveWithBase is how long a base is kept for the sake of an adapter.
func (p *planner) keepAliveWithBase(adapter, base *rowState) time.Duration {
	cost := p.coldCostOf(p.objective(adapter), adapter.MemoryBytes+base.MemoryBytes)
	return p.snapshot.Interarrivals[adapter.Name].KeepAlive(cost, p.settings)
}

func (p *planner) coldCost(row *rowState) time.Duration {
	return p.coldCostOf(p.objective(row), row.MemoryBytes)
}

// coldCostOf is what a cold start is worth, in time that replicas of so many
// bytes are idle: the smaller their share of a runner's memory, the longer.
func (p *planner) coldCostOf(objective structs.Objective, bytes int64) time.Duration {
	worth := p.settings.LatencyColdStartWorth
	if objective == structs.ObjectiveIdle {
		worth = p.settings.IdleColdStartWorth
	}
	cost := (p.readTime(bytes, structs.TierStore) + coldStartBase).Seconds() * worth
	if share := float64(bytes) / float64(max(p.largest, 1)); share > 0 && share < 1 {
		cost /= share
	}
	return time.Duration(min(cost, maxColdCost.Seconds()) * float64(time.Second))
}

func (p *planner) objective(row *rowState) structs.Objective {
	if row.Objective != "" {
		return row.Objective
	}
	return p.settings.Objective
}

func (p *planner) readTime(bytes int64, tier structs.CacheTier) time.Duration {
	rate := p.settings.StoreBytesPerSecond
	switch tier {
	case structs.TierMemory:
		rate = p.settings.MemoryBytesPerSecond
	case structs.TierDisk:
		rate = p.settings.DiskBytesPerSecond
	}
	return time.Duration(float64(bytes) / float64(max(rate, 1)) * float64(time.Second))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
