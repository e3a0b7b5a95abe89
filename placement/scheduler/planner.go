package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// growthFactor and shrinkFactor are the hysteresis around RequestsPerReplica: a row
// gets more replicas above the first and loses one below the second.
const (
	growthFactor = 1.25
	shrinkFactor = 0.5
)

const (
	// coldStartBase is the time of a cold start without reading the weights.
	coldStartBase = time.Second
	// maxColdStartCost bounds the cost of a cold start, in idle time.
	maxColdStartCost = 30 * 24 * time.Hour
)

// planner is the working state of one plan.
type planner struct {
	snapshot Snapshot
	settings Settings
	runners  []*runnerState
	byID     map[structs.RunnerID]*runnerState
	rows     map[structs.RowName]*rowState
	// names are the sorted keys of rows.
	names      []structs.RowName
	cached     map[structs.RowName]map[structs.RunnerID]structs.CacheTier
	storeLoads int
	// largestMemory is the memory of the largest runner, in bytes.
	largestMemory int64
	failed        map[failureKey]int64
	// reserveByRole caches the result of reserve.
	reserveByRole map[structs.RunnerRole]int64
	plan          PlanResult
	// scratch is the result of the last call of option, reused to avoid allocation.
	scratch placement
}

type runnerState struct {
	Runner
	// free is the unreserved memory. future also counts what unloading replicas will
	// free, less what is promised to rows that wait for it.
	free     int64
	future   int64
	replicas []*replicaState
}

type replicaState struct {
	Replica
	row    *rowState
	runner *runnerState
	// unloading is set once the replica is unloading or planned to be unloaded.
	unloading bool
}

type rowState struct {
	structs.Row
	exists bool
	limit  int
	frozen bool
	// minimum is the zone's share of the row's MinReplicas.
	minimum  int
	demand   Demand
	replicas []*replicaState
	// recordCount counts all replicas, usableCount those that serve or will serve, and
	// readyCount those that serve now.
	recordCount    int
	usableCount    int
	readyCount     int
	wantedReplicas int
	// useProbability is the probability of a use within the next hour.
	useProbability float64
	// usefulReplicas is reported to the global group as RowWanted.Replicas.
	usefulReplicas int
	// lastUsed includes use through adapters.
	lastUsed time.Time
}

// Plan returns the plan for the snapshot. It is deterministic: equal snapshots give
// equal plans.
func Plan(snapshot Snapshot) PlanResult { return newPlanner(snapshot).run() }

func newPlanner(snapshot Snapshot) *planner {
	p := &planner{
		snapshot:      snapshot,
		settings:      snapshot.Settings,
		byID:          make(map[structs.RunnerID]*runnerState, len(snapshot.Runners)),
		rows:          map[structs.RowName]*rowState{},
		storeLoads:    snapshot.StoreLoadsInFlight,
		failed:        map[failureKey]int64{},
		reserveByRole: map[structs.RunnerRole]int64{},
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
	p.addExpectations()
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
	p.planAdapterPrewarm()
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
		p.largestMemory = max(p.largestMemory, runner.MemoryBytes)
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
		row.recordCount++
		if replica.State == structs.ReplicaUnloading {
			state.unloading = true
			runner.future += replica.MemoryBytes
			continue
		}
		if !state.misplaced() {
			row.count(state, 1)
		}
	}
}

// sortedReplicas returns the replicas sorted by runner and row. Callers usually pass them
// sorted already.
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

// misplaced reports whether the replica's runner is leaving or has another role than
// the row.
func (r *replicaState) misplaced() bool {
	return r.runner.Leaving || (r.row.exists && r.row.Role != r.runner.Role)
}

func (r *rowState) count(replica *replicaState, change int) {
	r.usableCount += change
	if replica.State == structs.ReplicaReady {
		r.readyCount += change
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

// mayGrow reports whether the zone may load another replica of the row.
func (r *rowState) mayGrow() bool { return r.exists && !r.frozen && r.recordCount < r.limit }

// planWanted computes how many replicas each row could use. The numbers reported to the
// global group include bases that adapters need and replicas kept for later use.
func (p *planner) planWanted() {
	for _, name := range p.names {
		row := p.rows[name]
		row.wantedReplicas = p.wanted(row)
		// Uses the whole MinReplicas instead of the zone's share: the share follows the
		// limit, and a request that followed the limit would make it oscillate.
		row.usefulReplicas = max(row.usefulReplicas, row.wantedReplicas, row.MinReplicas, min(row.usableCount, row.limit))
		if base, ok := p.rows[row.Base]; ok && row.NeedsBase() {
			base.usefulReplicas = max(base.usefulReplicas, row.wantedReplicas)
		}
	}
	for _, name := range p.names {
		if row := p.rows[name]; row.exists && row.usefulReplicas > 0 {
			p.plan.Wanted = append(p.plan.Wanted, RowWanted{name, row.usefulReplicas})
		}
	}
}

// wanted returns how many replicas the row could use, regardless of its limit.
func (p *planner) wanted(row *rowState) int {
	if !row.exists {
		return 0
	}
	wanted := row.minimum
	if work := row.demand.Waiting + row.demand.Running; work > 0 {
		wanted = max(wanted, p.replicasFor(work, row.usableCount))
	}
	if row.hasMisplaced() && p.idleFor(row) < p.keepAlive(row) {
		wanted = max(wanted, 1)
	}
	return wanted
}

// replicasFor returns the number of replicas for the work. The first one is loaded at
// once, more only when the work is well above the capacity of the present ones.
func (p *planner) replicasFor(work, usable int) int {
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
	return p.snapshot.Interarrivals[row.Name].KeepAlive(p.coldStartCost(row), p.settings)
}

// keepAliveWithBase returns how long a base is kept for the adapter.
func (p *planner) keepAliveWithBase(adapter, base *rowState) time.Duration {
	cost := p.coldStartCostOf(p.objective(adapter), adapter.MemoryBytes+base.MemoryBytes)
	return p.snapshot.Interarrivals[adapter.Name].KeepAlive(cost, p.settings)
}

func (p *planner) coldStartCost(row *rowState) time.Duration {
	return p.coldStartCostOf(p.objective(row), row.MemoryBytes)
}

// coldStartCostOf returns the idle time of replicas of the given size that one cold
// start is worth. It grows as their share of a runner's memory shrinks.
func (p *planner) coldStartCostOf(objective structs.Objective, bytes int64) time.Duration {
	worth := p.settings.LatencyColdStartWorth
	if objective == structs.ObjectiveIdle {
		worth = p.settings.IdleColdStartWorth
	}
	cost := (p.readTime(bytes, structs.TierStore) + coldStartBase).Seconds() * worth
	if share := float64(bytes) / float64(max(p.largestMemory, 1)); share > 0 && share < 1 {
		cost /= share
	}
	return time.Duration(min(cost, maxColdStartCost.Seconds()) * float64(time.Second))
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
