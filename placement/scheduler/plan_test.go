package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

var testNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// newTestSnapshot returns a snapshot of rows a, b and the adapter t of a, each granted
// two replicas, and the empty runners r1 and r2 with room for a or b, but not both.
func newTestSnapshot() Snapshot {
	table := testTable{rows: map[structs.RowName]structs.Row{}, limits: map[structs.RowName]int{"a": 2, "b": 2, "t": 2}}
	for _, row := range []structs.Row{
		{Name: "a", Kind: structs.RowModel, MemoryBytes: 60},
		{Name: "b", Kind: structs.RowModel, MemoryBytes: 50},
		{Name: "t", Kind: structs.RowAdapter, Base: "a", MemoryBytes: 10},
	} {
		row.Priority = structs.PriorityStandard
		table.rows[row.Name] = row
	}
	settings := DefaultSettings()
	settings.LatencyColdStartWorth = 500
	return Snapshot{
		Now: testNow, Table: table, StoreLoadBudget: 8, Settings: settings,
		Interarrivals: map[structs.RowName]*Interarrivals{},
		Runners:       []Runner{{ID: "r1", MemoryBytes: 100}, {ID: "r2", MemoryBytes: 100}},
	}
}

func (s *Snapshot) setRow(name structs.RowName, change func(*structs.Row)) {
	row := s.Table.(testTable).rows[name]
	row.Name = name
	change(&row)
	s.Table.(testTable).rows[name] = row
}

// place adds a replica that has been in its state for an hour.
func (s *Snapshot) place(row structs.RowName, runner int, state structs.ReplicaState, busy int) {
	spec := s.Table.(testTable).rows[row]
	s.Runners[runner].MemoryReserved += spec.MemoryBytes
	s.Replicas = append(s.Replicas, Replica{
		Row: row, Base: spec.Base, Runner: s.Runners[runner].ID, State: state,
		MemoryBytes: spec.MemoryBytes, Since: testNow.Add(-time.Hour), Busy: busy,
	})
}

func (s *Snapshot) want(row structs.RowName, waiting, running int) {
	s.Demand = append(s.Demand, Demand{Row: row, Waiting: waiting, Running: running, LastUsed: testNow})
}

func used(row structs.RowName, ago time.Duration) Demand {
	return Demand{Row: row, LastUsed: testNow.Add(-ago)}
}

// setup changes a snapshot for one test case.
type setup func(*Snapshot)

func wants(row structs.RowName, waiting, running int) setup {
	return func(s *Snapshot) { s.want(row, waiting, running) }
}

func places(row structs.RowName, runner int, state structs.ReplicaState, busy int) setup {
	return func(s *Snapshot) { s.place(row, runner, state, busy) }
}

func usedAgo(row structs.RowName, ago time.Duration) setup {
	return func(s *Snapshot) { s.Demand = append(s.Demand, used(row, ago)) }
}

func limits(row structs.RowName, limit int) setup {
	return func(s *Snapshot) { s.Table.(testTable).limits[row] = limit }
}

func memory(row structs.RowName, bytes int64) setup {
	return func(s *Snapshot) { s.setRow(row, func(r *structs.Row) { r.MemoryBytes = bytes }) }
}

func priority(row structs.RowName, value structs.Priority) setup {
	return func(s *Snapshot) { s.setRow(row, func(r *structs.Row) { r.Priority = value }) }
}

func frozen(row structs.RowName) setup {
	return func(s *Snapshot) {
		table := s.Table.(testTable)
		table.frozen = row
		s.Table = table
	}
}

func minimum(s *Snapshot) {
	s.setRow("a", func(r *structs.Row) { r.MinReplicas = 1 })
	table := s.Table.(testTable)
	table.minimum = []structs.RowName{"a"}
	s.Table = table
}

func minInOtherZone(s *Snapshot) {
	s.setRow("a", func(r *structs.Row) { r.MinReplicas = 1 })
}

func gaps(row structs.RowName, gap time.Duration) setup {
	return func(s *Snapshot) {
		for s.Interarrivals[row] = (&Interarrivals{}); s.Interarrivals[row].total < minInterarrivalSamples; {
			s.Interarrivals[row].Observe(gap)
		}
	}
}

func secondRunnerCachesA(tier structs.CacheTier) setup {
	return func(s *Snapshot) { s.Runners[1].Cached = []structs.CachedRow{{Row: "a", Tier: tier}} }
}

func oneRunner(s *Snapshot)            { s.Runners = s.Runners[:1] }
func firstRunnerLeaving(s *Snapshot)   { s.Runners[0].Leaving = true }
func firstRunnerLagging(s *Snapshot)   { s.Runners[0].Lagging = true }
func firstRunnerOtherRole(s *Snapshot) { s.Runners[0].Role = "search" }
func firstRunnerLarge(s *Snapshot)     { s.Runners[0].MemoryBytes = 200 }
func firstReplicaNew(s *Snapshot)      { s.Replicas[0].Since = testNow.Add(-time.Second) }
func secondDemandWaits(s *Snapshot)    { s.Demand[1].OldestWait = time.Second }
func storeBudgetUsed(s *Snapshot)      { s.StoreLoadsInFlight = 8 }
func storeBudgetOne(s *Snapshot)       { s.StoreLoadBudget = 1 }
func longKeepAlive(s *Snapshot)        { s.Settings.MinKeepAlive = time.Hour }
func deleted(s *Snapshot)              { delete(s.Table.(testTable).rows, "a") }

// steps maps "row@runner" to the reason of a load or an unload.
type steps map[string]Reason

var noSteps = steps{}

// planTests are the loads and unloads of a plan of the test snapshot after the setups.
var planTests = []struct {
	name    string
	setups  []setup
	loads   steps
	unloads steps
}{
	{"no demand", nil, noSteps, noSteps},
	{"one replica serves a burst", []setup{wants("a", 30, 0)}, steps{"a@r1": ReasonDemand}, noSteps},
	{"replica is loading already", []setup{places("a", 0, structs.ReplicaLoading, 0), wants("a", 30, 0)}, noSteps, noSteps},
	{"two replicas for much work", []setup{wants("a", 60, 0)}, steps{"a@r1": ReasonDemand, "a@r2": ReasonDemand}, noSteps},
	{"limit is respected", []setup{limits("a", 1), wants("a", 900, 0)}, steps{"a@r1": ReasonDemand}, noSteps},
	{"frozen grant", []setup{frozen("a"), wants("a", 30, 0)}, noSteps, noSteps},
	{"frozen grant of the base", []setup{frozen("a"), wants("t", 1, 0)}, noSteps, noSteps},
	{"no eviction for a frozen row", []setup{
		oneRunner, frozen("b"), places("a", 0, structs.ReplicaReady, 0), usedAgo("a", time.Second), wants("b", 1, 0),
	}, noSteps, noSteps},
	{"no second replica slightly above capacity", []setup{places("a", 0, structs.ReplicaReady, 32), wants("a", 4, 32)}, noSteps, noSteps},
	{"second replica is kept slightly below capacity", []setup{places("a", 0, structs.ReplicaReady, 0), places("a", 1, structs.ReplicaReady, 0), wants("a", 0, 30)}, noSteps, noSteps},
	{"second replica is unloaded far below capacity", []setup{places("a", 0, structs.ReplicaReady, 1), places("a", 1, structs.ReplicaReady, 0), wants("a", 0, 1)}, noSteps, steps{"a@r2": ReasonIdle}},
	{"unloading replica counts toward the limit", []setup{limits("a", 1), places("a", 0, structs.ReplicaUnloading, 0), wants("a", 1, 0)}, noSteps, noSteps},
	{"minimum belongs to another zone", []setup{minInOtherZone}, noSteps, noSteps},
	{"idle replica is unloaded if the minimum belongs to another zone", []setup{
		minInOtherZone, places("a", 0, structs.ReplicaReady, 0), usedAgo("a", time.Hour),
	}, noSteps, steps{"a@r1": ReasonIdle}},
	{"minimum", []setup{minimum}, steps{"a@r1": ReasonMinimum}, noSteps},
	{"runner with cached checkpoint is preferred", []setup{secondRunnerCachesA(structs.TierDisk), wants("a", 1, 0)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"leaving runner is skipped", []setup{firstRunnerLeaving, wants("a", 1, 0)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"lagging runner is skipped", []setup{firstRunnerLagging, wants("a", 1, 0)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"runner of another role is skipped", []setup{firstRunnerOtherRole, wants("a", 1, 0)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"store budget is exhausted", []setup{storeBudgetUsed, wants("a", 1, 0)}, noSteps, noSteps},
	{"cached checkpoint needs no store budget", []setup{storeBudgetUsed, secondRunnerCachesA(structs.TierMemory), wants("a", 1, 0)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"adapter is loaded with its base", []setup{wants("t", 1, 0)}, steps{"a@r1": ReasonBase, "t@r1": ReasonDemand}, noSteps},
	{"adapter is loaded beside a loaded base", []setup{places("a", 1, structs.ReplicaReady, 0), wants("t", 1, 0)}, steps{"t@r2": ReasonDemand}, noSteps},
	{"base is loaded first with one store load left", []setup{storeBudgetOne, wants("t", 1, 0)}, steps{"a@r1": ReasonBase}, noSteps},
	{"higher priority is loaded first", []setup{oneRunner, priority("b", structs.PriorityLive), wants("a", 1, 0), wants("b", 1, 0)}, steps{"b@r1": ReasonDemand}, noSteps},
	{"longer wait is loaded first", []setup{oneRunner, wants("a", 1, 0), wants("b", 1, 0), secondDemandWaits}, steps{"b@r1": ReasonDemand}, noSteps},
	{"idle row is evicted", []setup{oneRunner, places("a", 0, structs.ReplicaReady, 0), usedAgo("a", time.Second), wants("b", 1, 0)}, noSteps, steps{"a@r1": ReasonEvicted}},
	{"row less likely to be used is evicted", []setup{
		places("a", 0, structs.ReplicaReady, 0), places("b", 1, structs.ReplicaReady, 0), limits("c", 1), memory("c", 90),
		priority("c", structs.PriorityStandard), gaps("a", 3*time.Hour), gaps("b", 2*time.Minute), longKeepAlive,
		usedAgo("a", time.Minute), usedAgo("b", time.Minute), wants("c", 1, 0),
	}, noSteps, steps{"a@r1": ReasonEvicted}},
	{"row with waiting requests is not evicted", []setup{oneRunner, places("a", 0, structs.ReplicaReady, 0), wants("a", 1, 0), wants("b", 1, 0)}, noSteps, noSteps},
	{"minimum replica is neither evicted nor idle-unloaded", []setup{oneRunner, minimum, places("a", 0, structs.ReplicaReady, 0), wants("b", 1, 0)}, noSteps, noSteps},
	{"memory promised to a more urgent row is not taken", []setup{
		oneRunner, places("a", 0, structs.ReplicaUnloading, 0), memory("b", 90), priority("b", structs.PriorityLive),
		memory("c", 30), limits("c", 1), wants("b", 1, 0), wants("c", 1, 0),
	}, noSteps, noSteps},
	{"no unload on a lagging runner", []setup{firstRunnerLagging, places("a", 0, structs.ReplicaReady, 0)}, noSteps, noSteps},
	{"row that holds all runners does not block others", []setup{
		firstRunnerLarge, limits("a", 3), memory("b", 70), places("a", 0, structs.ReplicaReady, 30), places("a", 1, structs.ReplicaReady, 30),
		wants("a", 900, 60), wants("b", 1, 0),
	}, steps{"b@r1": ReasonDemand}, noSteps},
	{"busy row is not evicted", []setup{oneRunner, places("a", 0, structs.ReplicaReady, 1), wants("a", 0, 1), wants("b", 1, 0)}, noSteps, noSteps},
	{"recently used row of higher priority is not evicted", []setup{
		oneRunner, places("a", 0, structs.ReplicaReady, 0), priority("a", structs.PriorityLive), usedAgo("a", time.Second), wants("b", 1, 0),
	}, noSteps, noSteps},
	{"row within its minimum residence is not evicted", []setup{oneRunner, places("a", 0, structs.ReplicaReady, 0), firstReplicaNew, wants("b", 1, 0)}, noSteps, noSteps},
	{"adapter is unloaded before its base", []setup{
		oneRunner, places("a", 0, structs.ReplicaReady, 0), places("t", 0, structs.ReplicaReady, 0), usedAgo("t", time.Second), wants("b", 1, 0),
	}, noSteps, steps{"t@r1": ReasonEvicted}},
	{"no second eviction while one is in progress", []setup{
		places("a", 0, structs.ReplicaUnloading, 0), places("a", 1, structs.ReplicaReady, 0), usedAgo("a", time.Second), wants("b", 1, 0),
	}, noSteps, noSteps},
	{"idle beyond the keep-alive time", []setup{places("a", 0, structs.ReplicaReady, 0), usedAgo("a", time.Hour)}, noSteps, steps{"a@r1": ReasonIdle}},
	{"busy replica above a lowered limit", []setup{limits("a", 0), places("a", 0, structs.ReplicaReady, 5), wants("a", 1, 5)}, noSteps, steps{"a@r1": ReasonSurplus}},
	{"deleted row is unloaded", []setup{places("a", 0, structs.ReplicaReady, 0), deleted}, noSteps, steps{"a@r1": ReasonSurplus}},
	{"replacement is loaded before a leaving runner is emptied", []setup{firstRunnerLeaving, places("a", 0, structs.ReplicaReady, 1), wants("a", 0, 1)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"leaving runner is emptied once the replacement is ready", []setup{
		firstRunnerLeaving, places("a", 0, structs.ReplicaReady, 1), places("a", 1, structs.ReplicaReady, 0), wants("a", 0, 1),
	}, noSteps, steps{"a@r1": ReasonLeaving}},
	{"leaving runner is emptied once idle if the grant is frozen", []setup{
		firstRunnerLeaving, frozen("a"), places("a", 0, structs.ReplicaReady, 0), wants("a", 1, 0),
	}, noSteps, steps{"a@r1": ReasonLeaving}},
	{"leaving runner is emptied once idle if the limit leaves no room", []setup{
		firstRunnerLeaving, limits("a", 1), places("a", 0, structs.ReplicaReady, 0), wants("a", 1, 0),
	}, noSteps, steps{"a@r1": ReasonLeaving}},
}

func TestPlan(t *testing.T) {
	for _, test := range planTests {
		t.Run(test.name, func(t *testing.T) {
			snapshot := newTestSnapshot()
			for _, change := range test.setups {
				change(&snapshot)
			}
			plan := Plan(snapshot)
			loads, unloads := steps{}, steps{}
			for _, load := range plan.Loads {
				loads[string(load.Row)+"@"+string(load.Runner)] = load.Reason
			}
			for _, unload := range plan.Unloads {
				unloads[string(unload.Row)+"@"+string(unload.Runner)] = unload.Reason
			}
			qt.Assert(t, loads, qt.DeepEquals, test.loads)
			qt.Assert(t, unloads, qt.DeepEquals, test.unloads)
			qt.Assert(t, Plan(snapshot), qt.DeepEquals, plan)
		})
	}
}

func TestWantedIncludesBasesAndKeptRows(t *testing.T) {
	snapshot := newTestSnapshot()
	snapshot.Table.(testTable).limits["a"] = 0
	snapshot.place("b", 0, structs.ReplicaReady, 0)
	snapshot.Demand = append(snapshot.Demand, used("b", time.Second))
	snapshot.want("t", 60, 0)
	plan := Plan(snapshot)
	qt.Assert(t, plan.Wanted, qt.DeepEquals, []RowWanted{{"a", 2}, {"b", 1}, {"t", 2}})
	qt.Assert(t, plan.Loads, qt.HasLen, 0)
}

func TestKeepAliveFollowsInterarrivalsAndColdCost(t *testing.T) {
	settings := DefaultSettings()
	settings.MinKeepAlive = time.Second
	const high, low = 480 * time.Second, 16 * time.Second
	for _, test := range []struct {
		name     string
		gap      time.Duration
		coldCost time.Duration
		want     time.Duration
	}{
		{"costly start, usual gap", 3 * time.Minute, high, 256 * time.Second},
		{"cheap start, usual gap", 3 * time.Minute, low, settings.MinKeepAlive},
		{"cheap start, short gap", 6 * time.Second, low, 8 * time.Second},
		{"costly start, long gap", 3 * time.Hour, high, settings.MinKeepAlive},
		{"no samples, costly start", 0, high, high},
		{"no samples, cheap start", 0, low, low},
	} {
		t.Run(test.name, func(t *testing.T) {
			gaps := &Interarrivals{}
			for range 1000 {
				if test.gap > 0 {
					gaps.Observe(test.gap)
				}
			}
			qt.Assert(t, gaps.KeepAlive(test.coldCost, settings), qt.Equals, test.want)
		})
	}
}

func TestColdStartCostFollowsObjectiveAndSize(t *testing.T) {
	settings := DefaultSettings()
	settings.StoreBytesPerSecond = 20
	p := newPlanner(Snapshot{Settings: settings, Table: testTable{}, Runners: []Runner{{ID: "r", MemoryBytes: 120}}})
	// Reading 60 bytes takes 3 s and the rest of the start 1 s, on half a runner.
	qt.Assert(t, p.coldStartCostOf(structs.ObjectiveLatency, 60).Seconds(), qt.Equals, 4*settings.LatencyColdStartWorth*2)
	qt.Assert(t, p.coldStartCostOf(structs.ObjectiveIdle, 60).Seconds(), qt.Equals, 4*settings.IdleColdStartWorth*2)
	// A small row is worth more idle time than one that fills the runner.
	qt.Assert(t, p.coldStartCostOf(structs.ObjectiveIdle, 1) > p.coldStartCostOf(structs.ObjectiveIdle, 120), qt.IsTrue)
}

func TestReturnProbabilityOfBaseIncludesAdapters(t *testing.T) {
	snapshot := newTestSnapshot()
	snapshot.place("a", 0, structs.ReplicaReady, 0)
	snapshot.place("t", 0, structs.ReplicaReady, 0)
	snapshot.Demand = []Demand{used("a", time.Minute), used("t", time.Minute)}
	gaps("a", 8*time.Hour)(&snapshot)
	gaps("t", 2*time.Minute)(&snapshot)
	p := newPlanner(snapshot)
	base := p.rows["a"].replicas[0]
	alone := p.rowReturnProbability(p.rows["a"], evictionHorizon)
	adapter := p.rowReturnProbability(p.rows["t"], evictionHorizon)
	qt.Assert(t, alone < 0.1 && adapter > 0.7, qt.IsTrue, qt.Commentf("%v, %v", alone, adapter))
	qt.Assert(t, p.replicaReturnProbability(base, evictionHorizon), qt.Equals, 1-(1-alone)*(1-adapter))
}

func TestAdaptersAloneDoNotKeepBase(t *testing.T) {
	snapshot := newTestSnapshot()
	snapshot.place("a", 0, structs.ReplicaReady, 0)
	snapshot.place("t", 0, structs.ReplicaReady, 0)
	snapshot.Demand = []Demand{used("a", 10*time.Hour), used("t", 30*time.Minute)}
	gaps("a", time.Second)(&snapshot)
	gaps("t", 25*time.Minute)(&snapshot)
	plan := Plan(snapshot)
	qt.Assert(t, plan.Unloads, qt.DeepEquals, []UnloadDecision{{"t", "r1", ReasonIdle}})
}

func TestRowsSpreadOverRunnersOfEqualCost(t *testing.T) {
	snapshot := newTestSnapshot()
	snapshot.Runners = nil
	snapshot.StoreLoadBudget = 16
	used := map[structs.RunnerID]int{}
	for i := range 8 {
		snapshot.Runners = append(snapshot.Runners, Runner{ID: structs.RunnerID(rune('A' + i)), MemoryBytes: 100})
		name := structs.RowName(rune('k' + i))
		snapshot.setRow(name, func(r *structs.Row) { r.MemoryBytes = 10 })
		snapshot.Table.(testTable).limits[name] = 1
		snapshot.want(name, 1, 0)
	}
	snapshot.want("t", 1, 0)
	for _, load := range Plan(snapshot).Loads {
		used[load.Runner]++
		if load.Row == "t" { // An adapter is placed with its base.
			used[load.Runner]--
		}
	}
	qt.Assert(t, used, qt.HasLen, len(snapshot.Runners))
}

func TestOpenPrefetchIsNeitherRepeatedNorCountedTwice(t *testing.T) {
	snapshot := newTestSnapshot()
	snapshot.StoreLoadBudget, snapshot.StoreLoadsInFlight = 1, 1
	snapshot.Runners[0].Prefetching = "b"
	snapshot.Runners[1].Lagging = true
	snapshot.want("b", 1, 0)
	// With room, the load shares the store read in progress.
	qt.Assert(t, Plan(snapshot).Loads, qt.DeepEquals, []LoadDecision{{"b", "r1", structs.TierStore, ReasonDemand}})
	// Without room, no second prefetch is planned and nothing else is evicted.
	snapshot.place("a", 0, structs.ReplicaUnloading, 0)
	plan := Plan(snapshot)
	qt.Assert(t, len(plan.Loads)+len(plan.Prefetches), qt.Equals, 0)
}

func TestPrefetchCountsAgainstStoreBudget(t *testing.T) {
	snapshot := newTestSnapshot()
	snapshot.StoreLoadBudget = 1
	snapshot.Runners[0].MemoryBytes = 60
	snapshot.place("a", 0, structs.ReplicaUnloading, 0)
	snapshot.Runners[1].Role = "search"
	snapshot.setRow("c", func(r *structs.Row) { r.MemoryBytes, r.Role = 50, "search" })
	snapshot.Table.(testTable).limits["c"] = 1
	snapshot.setRow("b", func(r *structs.Row) { r.Priority = structs.PriorityLive })
	snapshot.want("b", 1, 0)
	snapshot.want("c", 1, 0)
	plan := Plan(snapshot)
	qt.Assert(t, plan.Prefetches, qt.DeepEquals, []PrefetchDecision{{"b", "r1"}})
	qt.Assert(t, plan.Loads, qt.HasLen, 0)
}
