package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

var testNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// newTestSnapshot has rows a, b and the adapter t of a, each granted two
// replicas, and the empty runners r1 and r2 with room for a or b, but not both.
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

// place adds a replica that has been there for an hour.
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

// The setups change a snapshot for one case of TestPlan.
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

func minimumElsewhere(s *Snapshot) {
	s.setRow("a", func(r *structs.Row) { r.MinReplicas = 1 })
}

func gaps(row structs.RowName, gap time.Duration) setup {
	return func(s *Snapshot) {
		for s.Interarrivals[row] = (&Interarrivals{}); s.Interarrivals[row].total < interarrivalMinimum; {
			s.Interarrivals[row].Observe(gap)
		}
	}
}

func cachedOnSecond(tier structs.CacheTier) setup {
	return func(s *Snapshot) { s.Runners[1].Cached = []structs.CachedRow{{Row: "a", Tier: tier}} }
}

func oneRunner(s *Snapshot)     { s.Runners = s.Runners[:1] }
func firstLeaves(s *Snapshot)   { s.Runners[0].Leaving = true }
func firstLags(s *Snapshot)     { s.Runners[0].Lagging = true }
func firstSearches(s *Snapshot) { s.Runners[0].Role = "search" }
func firstIsLarge(s *Snapshot)  { s.Runners[0].MemoryBytes = 200 }
func justLoaded(s *Snapshot)    { s.Replicas[0].Since = testNow.Add(-time.Second) }
func longWait(s *Snapshot)      { s.Demand[1].OldestWait = time.Second }
func storeIsBusy(s *Snapshot)   { s.StoreLoadsInFlight = 8 }
func oneStoreLoad(s *Snapshot)  { s.StoreLoadBudget = 1 }
func keepsLong(s *Snapshot)     { s.Settings.MinimumKeepAlive = time.Hour }
func deleted(s *Snapshot)       { delete(s.Table.(testTable).rows, "a") }

// steps are the loads or the unloads of a plan by "row@runner".
type steps map[string]Reason

var noSteps = steps{}

// planTests say what a plan does with the test snapshot after some setups.
var planTests = []struct {
	name    string
	setups  []setup
	loads   steps
	unloads steps
}{
	{"nothing without demand", nil, noSteps, noSteps},
	{"one load for a burst", []setup{wants("a", 30, 0)}, steps{"a@r1": ReasonDemand}, noSteps},
	{"none while it loads", []setup{places("a", 0, structs.ReplicaLoading, 0), wants("a", 30, 0)}, noSteps, noSteps},
	{"two for much work", []setup{wants("a", 60, 0)}, steps{"a@r1": ReasonDemand, "a@r2": ReasonDemand}, noSteps},
	{"no more than the limit", []setup{limits("a", 1), wants("a", 900, 0)}, steps{"a@r1": ReasonDemand}, noSteps},
	{"none while the grant is frozen", []setup{frozen("a"), wants("a", 30, 0)}, noSteps, noSteps},
	{"no base while its grant is frozen", []setup{frozen("a"), wants("t", 1, 0)}, noSteps, noSteps},
	{"nothing makes room for a frozen row", []setup{
		oneRunner, frozen("b"), places("a", 0, structs.ReplicaReady, 0), usedAgo("a", time.Second), wants("b", 1, 0),
	}, noSteps, noSteps},
	{"not a second for a little more work", []setup{places("a", 0, structs.ReplicaReady, 32), wants("a", 4, 32)}, noSteps, noSteps},
	{"the second stays for a little less", []setup{places("a", 0, structs.ReplicaReady, 0), places("a", 1, structs.ReplicaReady, 0), wants("a", 0, 30)}, noSteps, noSteps},
	{"the second goes for much less", []setup{places("a", 0, structs.ReplicaReady, 1), places("a", 1, structs.ReplicaReady, 0), wants("a", 0, 1)}, noSteps, steps{"a@r2": ReasonIdle}},
	{"unloading counts against the limit", []setup{limits("a", 1), places("a", 0, structs.ReplicaUnloading, 0), wants("a", 1, 0)}, noSteps, noSteps},
	{"minimum that another zone keeps", []setup{minimumElsewhere}, noSteps, noSteps},
	{"minimum that another zone keeps is unloaded here", []setup{
		minimumElsewhere, places("a", 0, structs.ReplicaReady, 0), usedAgo("a", time.Hour),
	}, noSteps, steps{"a@r1": ReasonIdle}},
	{"minimum", []setup{minimum}, steps{"a@r1": ReasonMinimum}, noSteps},
	{"cached runner first", []setup{cachedOnSecond(structs.TierDisk), wants("a", 1, 0)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"not on a leaving runner", []setup{firstLeaves, wants("a", 1, 0)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"not on a lagging runner", []setup{firstLags, wants("a", 1, 0)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"not on a runner of another role", []setup{firstSearches, wants("a", 1, 0)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"store budget used up", []setup{storeIsBusy, wants("a", 1, 0)}, noSteps, noSteps},
	{"store budget spares the cached", []setup{storeIsBusy, cachedOnSecond(structs.TierMemory), wants("a", 1, 0)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"adapter with its base", []setup{wants("t", 1, 0)}, steps{"a@r1": ReasonBase, "t@r1": ReasonDemand}, noSteps},
	{"adapter shares a base", []setup{places("a", 1, structs.ReplicaReady, 0), wants("t", 1, 0)}, steps{"t@r2": ReasonDemand}, noSteps},
	{"base first when one store load is left", []setup{oneStoreLoad, wants("t", 1, 0)}, steps{"a@r1": ReasonBase}, noSteps},
	{"higher priority first", []setup{oneRunner, priority("b", structs.PriorityLive), wants("a", 1, 0), wants("b", 1, 0)}, steps{"b@r1": ReasonDemand}, noSteps},
	{"longer wait first", []setup{oneRunner, wants("a", 1, 0), wants("b", 1, 0), longWait}, steps{"b@r1": ReasonDemand}, noSteps},
	{"idle row makes room", []setup{oneRunner, places("a", 0, structs.ReplicaReady, 0), usedAgo("a", time.Second), wants("b", 1, 0)}, noSteps, steps{"a@r1": ReasonEvicted}},
	{"the row less likely to be used makes room", []setup{
		places("a", 0, structs.ReplicaReady, 0), places("b", 1, structs.ReplicaReady, 0), limits("c", 1), memory("c", 90),
		priority("c", structs.PriorityStandard), gaps("a", 3*time.Hour), gaps("b", 2*time.Minute), keepsLong,
		usedAgo("a", time.Minute), usedAgo("b", time.Minute), wants("c", 1, 0),
	}, noSteps, steps{"a@r1": ReasonEvicted}},
	{"row with waiting requests stays", []setup{oneRunner, places("a", 0, structs.ReplicaReady, 0), wants("a", 1, 0), wants("b", 1, 0)}, noSteps, noSteps},
	{"minimum stays, whoever waits and however long it is idle", []setup{oneRunner, minimum, places("a", 0, structs.ReplicaReady, 0), wants("b", 1, 0)}, noSteps, noSteps},
	{"memory that a more urgent row waits for is not taken", []setup{
		oneRunner, places("a", 0, structs.ReplicaUnloading, 0), memory("b", 90), priority("b", structs.PriorityLive),
		memory("c", 30), limits("c", 1), wants("b", 1, 0), wants("c", 1, 0),
	}, noSteps, noSteps},
	{"nothing is unloaded on a lagging runner", []setup{firstLags, places("a", 0, structs.ReplicaReady, 0)}, noSteps, noSteps},
	{"a row on all runners leaves room for others", []setup{
		firstIsLarge, limits("a", 3), memory("b", 70), places("a", 0, structs.ReplicaReady, 30), places("a", 1, structs.ReplicaReady, 30),
		wants("a", 900, 60), wants("b", 1, 0),
	}, steps{"b@r1": ReasonDemand}, noSteps},
	{"busy row stays", []setup{oneRunner, places("a", 0, structs.ReplicaReady, 1), wants("a", 0, 1), wants("b", 1, 0)}, noSteps, noSteps},
	{"row of higher priority in use lately stays", []setup{
		oneRunner, places("a", 0, structs.ReplicaReady, 0), priority("a", structs.PriorityLive), usedAgo("a", time.Second), wants("b", 1, 0),
	}, noSteps, noSteps},
	{"row just loaded stays", []setup{oneRunner, places("a", 0, structs.ReplicaReady, 0), justLoaded, wants("b", 1, 0)}, noSteps, noSteps},
	{"adapter goes before its base", []setup{
		oneRunner, places("a", 0, structs.ReplicaReady, 0), places("t", 0, structs.ReplicaReady, 0), usedAgo("t", time.Second), wants("b", 1, 0),
	}, noSteps, steps{"t@r1": ReasonEvicted}},
	{"no second eviction while one goes on", []setup{
		places("a", 0, structs.ReplicaUnloading, 0), places("a", 1, structs.ReplicaReady, 0), usedAgo("a", time.Second), wants("b", 1, 0),
	}, noSteps, noSteps},
	{"idle beyond its time", []setup{places("a", 0, structs.ReplicaReady, 0), usedAgo("a", time.Hour)}, noSteps, steps{"a@r1": ReasonIdle}},
	{"lowered limit, also when busy", []setup{limits("a", 0), places("a", 0, structs.ReplicaReady, 5), wants("a", 1, 5)}, noSteps, steps{"a@r1": ReasonSurplus}},
	{"deleted row", []setup{places("a", 0, structs.ReplicaReady, 0), deleted}, noSteps, steps{"a@r1": ReasonSurplus}},
	{"leaving runner is replaced first", []setup{firstLeaves, places("a", 0, structs.ReplicaReady, 1), wants("a", 0, 1)}, steps{"a@r2": ReasonDemand}, noSteps},
	{"and emptied once the replacement is ready", []setup{
		firstLeaves, places("a", 0, structs.ReplicaReady, 1), places("a", 1, structs.ReplicaReady, 0), wants("a", 0, 1),
	}, noSteps, steps{"a@r1": ReasonLeaving}},
	{"or once idle while the grant is frozen", []setup{
		firstLeaves, frozen("a"), places("a", 0, structs.ReplicaReady, 0), wants("a", 1, 0),
	}, noSteps, steps{"a@r1": ReasonLeaving}},
	{"or once idle when the limit leaves no room", []setup{
		firstLeaves, limits("a", 1), places("a", 0, structs.ReplicaReady, 0), wants("a", 1, 0),
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

func TestWantedNamesBasesAndWhatIsKept(t *testing.T) {
	snapshot := newTestSnapshot()
	snapshot.Table.(testTable).limits["a"] = 0
	snapshot.place("b", 0, structs.ReplicaReady, 0)
	snapshot.Demand = append(snapshot.Demand, used("b", time.Second))
	snapshot.want("t", 60, 0)
	plan := Plan(snapshot)
	qt.Assert(t, plan.Wanted, qt.DeepEquals, []RowWanted{{"a", 2}, {"b", 1}, {"t", 2}})
	qt.Assert(t, plan.Loads, qt.HasLen, 0)
}

func TestKeepAliveFollowsArrivalsAndWorth(t *testing.T) {
	settings := DefaultSettings()
	settings.MinimumKeepAlive = time.Second
	const high, low = 480 * time.Second, 16 * time.Second
	for _, test := range []struct {
		name     string
		gap      time.Duration
		coldCost time.Duration
		want     time.Duration
	}{
		{"a costly start keeps through the usual gap", 3 * time.Minute, high, 256 * time.Second},
		{"a cheap one does not", 3 * time.Minute, low, settings.MinimumKeepAlive},
		{"a cheap one keeps through a short gap", 6 * time.Second, low, 8 * time.Second},
		{"a costly one gives up on a long gap", 3 * time.Hour, high, settings.MinimumKeepAlive},
		{"nothing known, costly", 0, high, high},
		{"nothing known, cheap", 0, low, low},
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

func TestColdCostFollowsObjectiveAndSize(t *testing.T) {
	settings := DefaultSettings()
	settings.StoreBytesPerSecond = 20
	p := newPlanner(Snapshot{Settings: settings, Table: testTable{}, Runners: []Runner{{ID: "r", MemoryBytes: 120}}})
	// 60 bytes are read in 3 s, the rest of the start takes 1 s, on half a runner.
	qt.Assert(t, p.coldCostOf(structs.ObjectiveLatency, 60).Seconds(), qt.Equals, 4*settings.LatencyColdStartWorth*2)
	qt.Assert(t, p.coldCostOf(structs.ObjectiveIdle, 60).Seconds(), qt.Equals, 4*settings.IdleColdStartWorth*2)
	// A small row is kept longer than one that fills the runner.
	qt.Assert(t, p.coldCostOf(structs.ObjectiveIdle, 1) > p.coldCostOf(structs.ObjectiveIdle, 120), qt.IsTrue)
}

func TestABaseIsMissedByItsAdapters(t *testing.T) {
	snapshot := newTestSnapshot()
	snapshot.place("a", 0, structs.ReplicaReady, 0)
	snapshot.place("t", 0, structs.ReplicaReady, 0)
	snapshot.Demand = []Demand{used("a", time.Minute), used("t", time.Minute)}
	gaps("a", 8*time.Hour)(&snapshot)
	gaps("t", 2*time.Minute)(&snapshot)
	p := newPlanner(snapshot)
	base := p.rows["a"].replicas[0]
	alone := p.rowReturns(p.rows["a"], evictionHorizon)
	adapter := p.rowReturns(p.rows["t"], evictionHorizon)
	qt.Assert(t, alone < 0.1 && adapter > 0.7, qt.IsTrue, qt.Commentf("%v, %v", alone, adapter))
	qt.Assert(t, p.returnWithin(base, evictionHorizon), qt.Equals, 1-(1-alone)*(1-adapter))
}

func TestAdaptersAloneDoNotKeepABase(t *testing.T) {
	snapshot := newTestSnapshot()
	snapshot.place("a", 0, structs.ReplicaReady, 0)
	snapshot.place("t", 0, structs.ReplicaReady, 0)
	snapshot.Demand = []Demand{used("a", 10*time.Hour), used("t", 30*time.Minute)}
	gaps("a", time.Second)(&snapshot)
	gaps("t", 25*time.Minute)(&snapshot)
	plan := Plan(snapshot)
	qt.Assert(t, plan.Unloads, qt.DeepEquals, []UnloadDecision{{"t", "r1", ReasonIdle}})
}

func TestRowsAreSpreadOverRunnersThatCostTheSame(t *testing.T) {
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
		if load.Row == "t" { // An adapter goes where its base is.
			used[load.Runner]--
		}
	}
	qt.Assert(t, used, qt.HasLen, len(snapshot.Runners))
}

func TestAnOpenPrefetchIsNeitherRepeatedNorCountedTwice(t *testing.T) {
	snapshot := newTestSnapshot()
	snapshot.StoreLoadBudget, snapshot.StoreLoadsInFlight = 1, 1
	snapshot.Runners[0].Prefetching = "b"
	snapshot.Runners[1].Lagging = true
	snapshot.want("b", 1, 0)
	// It has room now: the load joins the read that is under way.
	qt.Assert(t, Plan(snapshot).Loads, qt.DeepEquals, []LoadDecision{{"b", "r1", structs.TierStore, ReasonDemand}})
	// While it waits for room, nothing is asked for again, and another gets no room.
	snapshot.place("a", 0, structs.ReplicaUnloading, 0)
	plan := Plan(snapshot)
	qt.Assert(t, len(plan.Loads)+len(plan.Prefetches), qt.Equals, 0)
}

func TestAPrefetchCountsAsAReadOfTheStore(t *testing.T) {
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
