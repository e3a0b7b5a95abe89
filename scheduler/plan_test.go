package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

var testNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// testTable is a Table of literal rows and limits.
type testTable struct {
	rows    map[structs.RowName]structs.Row
	limits  map[structs.RowName]int
	minimum []structs.RowName
}

func (t testTable) Row(name structs.RowName) (structs.Row, bool) {
	row, ok := t.rows[name]
	return row, ok
}

func (t testTable) Grant(name structs.RowName) structs.Grant {
	return structs.Grant{Row: name, Limit: t.limits[name]}
}

func (t testTable) RowsWithMinimum() []structs.RowName { return t.minimum }

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
	return Snapshot{
		Now: testNow, Table: table, StoreLoadBudget: 8, Settings: DefaultSettings(),
		Runners: []Runner{{ID: "r1", MemoryBytes: 100}, {ID: "r2", MemoryBytes: 100}},
	}
}

func (s *Snapshot) setRow(name structs.RowName, change func(*structs.Row)) {
	row := s.Table.(testTable).rows[name]
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

func TestPlan(t *testing.T) {
	type steps map[string]Reason // "row@runner"
	ready, loading := structs.ReplicaReady, structs.ReplicaLoading
	for _, test := range []struct {
		name    string
		change  func(*Snapshot)
		loads   steps
		unloads steps
	}{
		{"nothing without demand", func(s *Snapshot) {}, nil, nil},
		{"one load for a burst", func(s *Snapshot) { s.want("a", 30, 0) }, steps{"a@r1": ReasonDemand}, nil},
		{"none while it loads", func(s *Snapshot) { s.place("a", 0, loading, 0); s.want("a", 30, 0) }, nil, nil},
		{"two for much work", func(s *Snapshot) { s.want("a", 60, 0) }, steps{"a@r1": ReasonDemand, "a@r2": ReasonDemand}, nil},
		{"no more than the limit", func(s *Snapshot) { s.Table.(testTable).limits["a"] = 1; s.want("a", 900, 0) }, steps{"a@r1": ReasonDemand}, nil},
		{"not a second for a little more work", func(s *Snapshot) { s.place("a", 0, ready, 32); s.want("a", 4, 32) }, nil, nil},
		{"the second stays for a little less", func(s *Snapshot) { s.place("a", 0, ready, 0); s.place("a", 1, ready, 0); s.want("a", 0, 30) }, nil, nil},
		{"the second goes for much less", func(s *Snapshot) { s.place("a", 0, ready, 1); s.place("a", 1, ready, 0); s.want("a", 0, 1) }, nil, steps{"a@r2": ReasonIdle}},
		{"unloading counts against the limit", func(s *Snapshot) {
			s.Table.(testTable).limits["a"] = 1
			s.place("a", 0, structs.ReplicaUnloading, 0)
			s.want("a", 1, 0)
		}, nil, nil},
		{"minimum", func(s *Snapshot) {
			s.setRow("a", func(r *structs.Row) { r.MinReplicas = 1 })
			s.Table = testTable{s.Table.(testTable).rows, s.Table.(testTable).limits, []structs.RowName{"a"}}
		}, steps{"a@r1": ReasonMinimum}, nil},
		{"cached runner first", func(s *Snapshot) {
			s.Runners[1].Cached = []structs.CachedRow{{Row: "a", Tier: structs.TierDisk}}
			s.want("a", 1, 0)
		}, steps{"a@r2": ReasonDemand}, nil},
		{"not on a leaving or lagging runner", func(s *Snapshot) {
			s.Runners[0].Leaving, s.Runners[1].Lagging = true, true
			s.want("a", 1, 0)
		}, nil, nil},
		{"not on a runner of another role", func(s *Snapshot) { s.Runners[0].Role = "search"; s.want("a", 1, 0) }, steps{"a@r2": ReasonDemand}, nil},
		{"store budget used up", func(s *Snapshot) { s.StoreLoadsInFlight = 8; s.want("a", 1, 0) }, nil, nil},
		{"store budget spares the cached", func(s *Snapshot) {
			s.StoreLoadsInFlight = 8
			s.Runners[1].Cached = []structs.CachedRow{{Row: "a", Tier: structs.TierMemory}}
			s.want("a", 1, 0)
		}, steps{"a@r2": ReasonDemand}, nil},
		{"adapter with its base", func(s *Snapshot) { s.want("t", 1, 0) }, steps{"a@r1": ReasonBase, "t@r1": ReasonDemand}, nil},
		{"adapter shares a base", func(s *Snapshot) { s.place("a", 1, ready, 0); s.want("t", 1, 0) }, steps{"t@r2": ReasonDemand}, nil},
		{"base first when one store load is left", func(s *Snapshot) { s.StoreLoadBudget = 1; s.want("t", 1, 0) }, steps{"a@r1": ReasonBase}, nil},
		{"higher priority first", func(s *Snapshot) {
			s.Runners = s.Runners[:1]
			s.setRow("b", func(r *structs.Row) { r.Priority = structs.PriorityLive })
			s.want("a", 1, 0)
			s.want("b", 1, 0)
		}, steps{"b@r1": ReasonDemand}, nil},
		{"idle row makes room", func(s *Snapshot) {
			s.Runners = s.Runners[:1]
			s.place("a", 0, ready, 0)
			s.Demand = append(s.Demand, used("a", time.Second))
			s.want("b", 1, 0)
		}, nil, steps{"a@r1": ReasonEvicted}},
		{"the row less likely to be used makes room", func(s *Snapshot) {
			s.place("a", 0, ready, 0)
			s.place("b", 1, ready, 0)
			s.Table.(testTable).rows["c"] = structs.Row{Name: "c", MemoryBytes: 90, Priority: structs.PriorityStandard}
			s.Table.(testTable).limits["c"] = 1
			s.Interarrivals = map[structs.RowName]*Interarrivals{"a": {}, "b": {}}
			for range 10 {
				s.Interarrivals["a"].Observe(2 * time.Minute)
				s.Interarrivals["b"].Observe(3 * time.Hour)
			}
			s.Settings.MinimumKeepAlive = time.Hour
			s.Demand = append(s.Demand, used("a", time.Minute), used("b", time.Minute))
			s.want("c", 1, 0)
		}, nil, steps{"b@r2": ReasonEvicted}},
		{"a row on all runners leaves room for others", func(s *Snapshot) {
			s.Runners[0].MemoryBytes = 200
			s.Table.(testTable).limits["a"] = 3
			s.setRow("b", func(r *structs.Row) { r.MemoryBytes = 70 })
			s.place("a", 0, ready, 30)
			s.place("a", 1, ready, 30)
			s.want("a", 900, 60)
			s.want("b", 1, 0)
		}, steps{"b@r1": ReasonDemand}, nil},
		{"longer wait first", func(s *Snapshot) {
			s.Runners = s.Runners[:1]
			s.want("a", 1, 0)
			s.want("b", 1, 0)
			s.Demand[1].OldestWait = time.Second
		}, steps{"b@r1": ReasonDemand}, nil},
		{"row with waiting requests stays", func(s *Snapshot) {
			s.Runners = s.Runners[:1]
			s.place("a", 0, ready, 0)
			s.want("a", 1, 0)
			s.want("b", 1, 0)
		}, nil, nil},
		{"minimum stays, whoever waits and however long it is idle", func(s *Snapshot) {
			s.Runners = s.Runners[:1]
			s.place("a", 0, ready, 0)
			s.setRow("a", func(r *structs.Row) { r.MinReplicas = 1 })
			s.want("b", 1, 0)
		}, nil, nil},
		{"memory that a more urgent row waits for is not taken", func(s *Snapshot) {
			s.Runners = s.Runners[:1]
			s.place("a", 0, structs.ReplicaUnloading, 0)
			s.setRow("b", func(r *structs.Row) { r.MemoryBytes, r.Priority = 90, structs.PriorityLive })
			s.Table.(testTable).rows["c"] = structs.Row{Name: "c", MemoryBytes: 30}
			s.Table.(testTable).limits["c"] = 1
			s.want("b", 1, 0)
			s.want("c", 1, 0)
		}, nil, nil},
		{"nothing is unloaded on a lagging runner", func(s *Snapshot) {
			s.Runners[0].Lagging = true
			s.place("a", 0, ready, 0)
		}, nil, nil},
		{"busy row stays", func(s *Snapshot) {
			s.Runners = s.Runners[:1]
			s.place("a", 0, ready, 1)
			s.want("a", 0, 1)
			s.want("b", 1, 0)
		}, nil, nil},
		{"row of higher priority in use lately stays", func(s *Snapshot) {
			s.Runners = s.Runners[:1]
			s.place("a", 0, ready, 0)
			s.setRow("a", func(r *structs.Row) { r.Priority = structs.PriorityLive })
			s.Demand = append(s.Demand, used("a", time.Second))
			s.want("b", 1, 0)
		}, nil, nil},
		{"row just loaded stays", func(s *Snapshot) {
			s.Runners = s.Runners[:1]
			s.place("a", 0, ready, 0)
			s.Replicas[0].Since = testNow.Add(-time.Second)
			s.want("b", 1, 0)
		}, nil, nil},
		{"adapter goes before its base", func(s *Snapshot) {
			s.Runners = s.Runners[:1]
			s.place("a", 0, ready, 0)
			s.place("t", 0, ready, 0)
			s.Demand = append(s.Demand, used("t", time.Second))
			s.want("b", 1, 0)
		}, nil, steps{"t@r1": ReasonEvicted}},
		{"no second eviction while one goes on", func(s *Snapshot) {
			s.place("a", 0, structs.ReplicaUnloading, 0)
			s.place("a", 1, ready, 0)
			s.Demand = append(s.Demand, used("a", time.Second))
			s.want("b", 1, 0)
		}, nil, nil},
		{"idle beyond its time", func(s *Snapshot) { s.place("a", 0, ready, 0); s.Demand = append(s.Demand, used("a", time.Hour)) }, nil, steps{"a@r1": ReasonIdle}},
		{"lowered limit, also when busy", func(s *Snapshot) { s.Table.(testTable).limits["a"] = 0; s.place("a", 0, ready, 5); s.want("a", 1, 5) }, nil, steps{"a@r1": ReasonSurplus}},
		{"deleted row", func(s *Snapshot) { s.place("a", 0, ready, 0); delete(s.Table.(testTable).rows, "a") }, nil, steps{"a@r1": ReasonSurplus}},
		{"leaving runner is replaced first", func(s *Snapshot) { s.Runners[0].Leaving = true; s.place("a", 0, ready, 1); s.want("a", 0, 1) }, steps{"a@r2": ReasonDemand}, nil},
		{"and emptied once the replacement is ready", func(s *Snapshot) {
			s.Runners[0].Leaving = true
			s.place("a", 0, ready, 1)
			s.place("a", 1, ready, 0)
			s.want("a", 0, 1)
		}, nil, steps{"a@r1": ReasonLeaving}},
		{"or once idle when the limit leaves no room", func(s *Snapshot) {
			s.Runners[0].Leaving = true
			s.Table.(testTable).limits["a"] = 1
			s.place("a", 0, ready, 0)
			s.want("a", 1, 0)
		}, nil, steps{"a@r1": ReasonLeaving}},
	} {
		t.Run(test.name, func(t *testing.T) {
			snapshot := newTestSnapshot()
			test.change(&snapshot)
			plan := Plan(snapshot)
			loads, unloads := steps{}, steps{}
			for _, load := range plan.Loads {
				loads[string(load.Row)+"@"+string(load.Runner)] = load.Reason
			}
			for _, unload := range plan.Unloads {
				unloads[string(unload.Row)+"@"+string(unload.Runner)] = unload.Reason
			}
			if test.loads == nil {
				test.loads = steps{}
			}
			if test.unloads == nil {
				test.unloads = steps{}
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

func TestKeepAliveFollowsArrivalsAndObjective(t *testing.T) {
	settings := DefaultSettings()
	settings.MinimumKeepAlive = time.Second
	reload := 4 * time.Second
	for _, test := range []struct {
		name      string
		gap       time.Duration
		objective structs.Objective
		want      time.Duration
	}{
		{"latency keeps through the usual gap", 3 * time.Minute, structs.ObjectiveLatency, 256 * time.Second},
		{"idle does not", 3 * time.Minute, structs.ObjectiveIdle, settings.MinimumKeepAlive},
		{"idle keeps through a short gap", 6 * time.Second, structs.ObjectiveIdle, 8 * time.Second},
		{"latency gives up on a long gap", 3 * time.Hour, structs.ObjectiveLatency, settings.MinimumKeepAlive},
		{"nothing known, latency", 0, structs.ObjectiveLatency, 480 * time.Second},
		{"nothing known, idle", 0, structs.ObjectiveIdle, 16 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			gaps := &Interarrivals{}
			for range 1000 {
				if test.gap > 0 {
					gaps.Observe(test.gap)
				}
			}
			qt.Assert(t, gaps.KeepAlive(test.objective, reload, settings), qt.Equals, test.want)
		})
	}
}
