package zone

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

var testTime = time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC)

// testMachine applies commands at rising indexes.
type testMachine struct {
	*State
	next uint64
}

func (m *testMachine) do(command Command) Result {
	m.next++
	return m.Apply(m.next, command)
}

func testRow(name structs.RowName, memory int64) structs.Row {
	return structs.Row{Name: name, Kind: structs.RowModel, MaxReplicas: 9, MemoryBytes: memory, Role: "answers"}
}

func testGrant(row structs.RowName, limit, held int) structs.Grant {
	return structs.Grant{Row: row, Zone: "z", Limit: limit, Held: held, Sequence: 1}
}

func testRunner(id structs.RunnerID, incarnation structs.Incarnation) structs.RunnerInfo {
	return structs.RunnerInfo{ID: id, Zone: "z", Role: "answers", Incarnation: incarnation, MemoryBytes: 100}
}

func reserve(row structs.RowName, runner structs.RunnerID, incarnation structs.Incarnation) Command {
	return Command{Reserve: &ReserveCommand{Row: row, Runner: runner, Incarnation: incarnation, At: testTime}}
}

func transition(row structs.RowName, runner structs.RunnerID, order structs.OrderNumber, to structs.ReplicaState) Command {
	return Command{Transition: &TransitionCommand{Row: row, Runner: runner, Order: order, To: to, At: testTime}}
}

func remove(row structs.RowName, runner structs.RunnerID, order structs.OrderNumber) Command {
	return Command{Remove: &RemoveCommand{Row: row, Runner: runner, Order: order}}
}

func registration(info structs.RunnerInfo) Command {
	return Command{Runner: &RunnerCommand{Info: info}}
}

// must applies a command and panics if it fails.
func (m *testMachine) must(command Command) {
	if result := m.do(command); result.Error != nil {
		panic(result.Error)
	}
}

// newTestMachine returns a machine with the rows "model", "big" and "ungranted", the
// adapter "tuned" of "model", and the runners "a" and "b" of incarnation 2; "model"
// is loading on "a" under order 4.
func newTestMachine() *testMachine {
	m := &testMachine{State: New("z")}
	adapter := testRow("tuned", 10)
	adapter.Kind, adapter.Base = structs.RowAdapter, "model"
	m.must(Command{Adopt: &structs.TableDelta{
		Revision: 5, Full: true,
		Rows:   []structs.Row{testRow("model", 60), testRow("big", 50), adapter, testRow("ungranted", 1)},
		Grants: []structs.Grant{testGrant("model", 2, 2), testGrant("big", 9, 9), testGrant("tuned", 9, 9)},
	}})
	m.must(registration(testRunner("a", 2)))
	m.must(registration(testRunner("b", 2)))
	m.must(reserve("model", "a", 2))
	return m
}

func TestCommandsAreRefused(t *testing.T) {
	unloading := transition("model", "a", 4, structs.ReplicaUnloading)
	other := testRunner("b", 2)
	other.Role = "search"
	small := testRunner("a", 2)
	small.MemoryBytes = 59
	roleOfFull := testRunner("a", 2)
	roleOfFull.Role = "search"
	leaving := testRunner("b", 2)
	leaving.Leaving = true
	lower := Command{Adopt: &structs.TableDelta{SinceRevision: 5, Revision: 6, Grants: []structs.Grant{testGrant("model", 1, 2)}}}
	frozenGrant := testGrant("model", 2, 2)
	frozenGrant.Frozen = true
	frozen := Command{Adopt: &structs.TableDelta{SinceRevision: 5, Revision: 6, Grants: []structs.Grant{frozenGrant}}}
	for _, test := range []struct {
		name   string
		before []Command
		then   Command
		kind   structs.ErrorKind
	}{
		{"gap in the table", nil, Command{Adopt: &structs.TableDelta{SinceRevision: 6, Revision: 7}}, structs.ErrorConflict},
		{"another zone's grant", nil, Command{Adopt: &structs.TableDelta{SinceRevision: 5, Revision: 6, Grants: []structs.Grant{{Row: "model", Zone: "y"}}}}, structs.ErrorInvalid},
		{"no field set", nil, Command{}, structs.ErrorInvalid},
		{"two fields set", nil, Command{Drain: &DrainCommand{}, Reserve: &ReserveCommand{}}, structs.ErrorInvalid},
		{"older incarnation registers", nil, registration(testRunner("a", 1)), structs.ErrorConflict},
		{"memory below what is reserved", nil, registration(small), structs.ErrorLimit},
		{"role of a runner with replicas", nil, registration(roleOfFull), structs.ErrorConflict},
		{"vouch for another incarnation", nil, Command{Runner: &RunnerCommand{Info: testRunner("a", 1), Vouch: true}}, structs.ErrorConflict},
		{"vouch for an unknown runner", nil, Command{Runner: &RunnerCommand{Info: testRunner("x", 1), Vouch: true}}, structs.ErrorNotFound},
		{"drain of an unknown runner", nil, Command{Drain: &DrainCommand{Runner: "x"}}, structs.ErrorNotFound},
		{"prefetch of an unknown row", nil, Command{Prefetch: &PrefetchCommand{"none", "a", 2}}, structs.ErrorLimit},
		{"prefetch under another incarnation", nil, Command{Prefetch: &PrefetchCommand{"big", "a", 1}}, structs.ErrorLimit},
		{"unknown row", nil, reserve("none", "b", 2), structs.ErrorLimit},
		{"row without grant", nil, reserve("ungranted", "b", 2), structs.ErrorLimit},
		{"lowered limit", []Command{lower}, reserve("model", "b", 2), structs.ErrorLimit},
		{"frozen grant", []Command{frozen}, reserve("model", "b", 2), structs.ErrorLimit},
		{"unloading counts against the limit", []Command{unloading, lower}, reserve("model", "b", 2), structs.ErrorLimit},
		{"unknown runner", nil, reserve("model", "x", 2), structs.ErrorLimit},
		{"leaving runner", []Command{registration(leaving)}, reserve("model", "b", 2), structs.ErrorLimit},
		{"draining runner", []Command{{Drain: &DrainCommand{Runner: "b", Draining: true}}}, reserve("model", "b", 2), structs.ErrorLimit},
		{"runner confirmed gone", []Command{{Runner: &RunnerCommand{Info: testRunner("b", 2), Vouch: true}}}, reserve("model", "b", 2), structs.ErrorLimit},
		{"another incarnation", nil, reserve("model", "b", 1), structs.ErrorLimit},
		{"another role", []Command{registration(other)}, reserve("model", "b", 2), structs.ErrorLimit},
		{"row already there", nil, reserve("model", "a", 2), structs.ErrorLimit},
		{"too little memory", nil, reserve("big", "a", 2), structs.ErrorLimit},
		{"memory of an unloading replica", []Command{unloading}, reserve("big", "a", 2), structs.ErrorLimit},
		{"adapter without base", nil, reserve("tuned", "b", 2), structs.ErrorLimit},
		{"adapter on an unloading base", []Command{unloading}, reserve("tuned", "a", 2), structs.ErrorLimit},
		{"base unloads under its adapter", []Command{reserve("tuned", "a", 2)}, unloading, structs.ErrorLimit},
		{"base removed under its adapter", []Command{reserve("tuned", "a", 2)}, remove("model", "a", 4), structs.ErrorLimit},
		{"transition of an unknown replica", nil, transition("big", "a", 4, structs.ReplicaReady), structs.ErrorNotFound},
		{"transition under an older order", nil, transition("model", "a", 3, structs.ReplicaReady), structs.ErrorConflict},
		{"back to loading", nil, transition("model", "a", 4, structs.ReplicaLoading), structs.ErrorInvalid},
		{"unloading to ready", []Command{unloading}, transition("model", "a", 5, structs.ReplicaReady), structs.ErrorInvalid},
		{"late removal under an older order", []Command{unloading}, remove("model", "a", 4), structs.ErrorConflict},
		{"removal of a ready replica", []Command{transition("model", "a", 4, structs.ReplicaReady)}, remove("model", "a", 4), structs.ErrorInvalid},
		{"touch of a ready replica", []Command{transition("model", "a", 4, structs.ReplicaReady)}, Command{Touch: &TouchCommand{"model", "a", 4}}, structs.ErrorInvalid},
		{"touch under an older order", nil, Command{Touch: &TouchCommand{"model", "a", 3}}, structs.ErrorConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := newTestMachine()
			for _, command := range test.before {
				m.must(command)
			}
			before := m.snapshotData()
			result := m.do(test.then)
			c.Assert(result.Error != nil, qt.IsTrue)
			c.Assert(result.Error.Kind, qt.Equals, test.kind)
			c.Assert(result.Error.Remedy, qt.Not(qt.Equals), "")
			after := m.snapshotData()
			before.Index = after.Index
			c.Assert(after, qt.DeepEquals, before)
			c.Assert(m.CheckInvariants(), qt.IsNil)
		})
	}
}

func TestReplicaMemoryIsFreedOnRemoval(t *testing.T) {
	c := qt.New(t)
	m := newTestMachine()
	c.Assert(m.do(transition("model", "a", 4, structs.ReplicaReady)).Order, qt.Equals, structs.OrderNumber(4))
	c.Assert(m.do(transition("model", "a", 4, structs.ReplicaUnloading)).Order, qt.Equals, structs.OrderNumber(6))
	c.Assert(m.do(Command{Touch: &TouchCommand{"model", "a", 6}}).Order, qt.Equals, structs.OrderNumber(7))
	c.Assert(m.MemoryReserved("a"), qt.Equals, int64(60))
	m.must(remove("model", "a", 7))
	c.Assert(m.MemoryReserved("a"), qt.Equals, int64(0))
	m.must(reserve("big", "a", 2))
}

func TestNewIncarnationAndVouchRemoveReplicas(t *testing.T) {
	for _, command := range []RunnerCommand{
		{Info: testRunner("a", 3)},
		{Info: testRunner("a", 2), Vouch: true},
	} {
		c := qt.New(t)
		m := newTestMachine()
		m.must(registration(testRunner("a", 2)))
		c.Assert(m.CountOf("model"), qt.Equals, 1)
		m.must(Command{Runner: &command})
		c.Assert(m.CountOf("model"), qt.Equals, 0)
		c.Assert(m.MemoryReserved("a"), qt.Equals, int64(0))
		c.Assert(m.CheckInvariants(), qt.IsNil)
	}
}

func TestTableRevisionNeverDecreasesAndViewsFollow(t *testing.T) {
	c := qt.New(t)
	m := newTestMachine()
	seen := m.View(0, 0)
	c.Assert(len(seen.Table.Rows), qt.Equals, 4)
	c.Assert(len(seen.Placement.Replicas), qt.Equals, 1)
	old := structs.TableDelta{Revision: 4, Full: true}
	c.Assert(m.do(Command{Adopt: &old}).TableRevision, qt.Equals, uint64(5))
	c.Assert(len(m.Rows()), qt.Equals, 4)
	change := structs.TableDelta{SinceRevision: 3, Revision: 7, Deleted: []structs.RowName{"big"},
		Grants: []structs.Grant{testGrant("model", 0, 2)}}
	c.Assert(m.do(Command{Adopt: &change}).TableRevision, qt.Equals, uint64(7))
	view := m.View(seen.Table.Revision, seen.Index)
	c.Assert(view.Placement, qt.IsNil)
	c.Assert(view.Table.Deleted, qt.DeepEquals, []structs.RowName{"big"})
	c.Assert(view.Table.Rows, qt.DeepEquals, []structs.Row{testRow("model", 60)})
	c.Assert(m.Surplus(), qt.DeepEquals, []structs.RowSurplus{{Row: "model", Replicas: 1, Limit: 0}})
	c.Assert(m.LoweredGrants(), qt.DeepEquals, []structs.Grant{testGrant("model", 0, 2)})
}

func TestCheckInvariantsReportsEachViolation(t *testing.T) {
	for name, breakState := range map[string]func(*State){
		"held":        func(s *State) { s.table.grants["model"] = testGrant("model", 0, 0) },
		"memory":      func(s *State) { s.runners["a"].MemoryBytes = 59 },
		"reserved":    func(s *State) { s.reserved["a"]-- },
		"order":       func(s *State) { s.replicas[placementKey{"a", "model"}].Order = 99 },
		"incarnation": func(s *State) { s.runners["a"].Incarnation = 3 },
		"state":       func(s *State) { s.replicas[placementKey{"a", "model"}].State = "" },
		"base":        func(s *State) { s.replicas[placementKey{"a", "model"}].Base = "other" },
		"index":       func(s *State) { delete(s.replicas, placementKey{"a", "model"}) },
		"claim index": func(s *State) { s.claims.held["k"] = &claimRecord{} },
		"claim state": func(s *State) {
			s.claims.open["k"] = &claimRecord{claim: structs.Claim{State: structs.ClaimFinished}}
		},
		"claim twice": func(s *State) {
			s.claims.open["k"] = &claimRecord{claim: structs.Claim{State: structs.ClaimUnknown}}
			s.claims.keyOnly.add(hashKey("k"), 1)
		},
		"claim expiry":    func(s *State) { s.claims.finished.expiry = append(s.claims.finished.expiry, expiryEntry{}) },
		"claim holder":    func(s *State) { s.claims.finished.byKey[1] = finishedClaim{} },
		"claim key count": func(s *State) { s.claims.keyOnly.count++ },
		"claim key order": func(s *State) {
			s.claims.keyOnly.keyBatches = []keyBatch{{end: 1, sorted: []keyHash{2, 1}}}
			s.claims.keyOnly.count = 2
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newTestMachine()
			c.Assert(m.CheckInvariants(), qt.IsNil)
			breakState(m.State)
			c.Assert(m.CheckInvariants(), qt.IsNotNil)
		})
	}
}

func TestAdaptersOf(t *testing.T) {
	s := New("z")
	revision := uint64(0)
	adopt := func(delta structs.TableDelta) {
		delta.SinceRevision, delta.Revision = revision, revision+1
		revision++
		qt.Assert(t, s.Apply(revision, Command{Adopt: &delta}).Error == nil, qt.IsTrue)
	}
	adapter := func(name, base structs.RowName) structs.Row {
		return structs.Row{Name: name, Base: base, Kind: structs.RowAdapter, MaxReplicas: 1, MemoryBytes: 1, Role: "answers"}
	}
	adopt(structs.TableDelta{Full: true, Rows: []structs.Row{testRow("a", 1), testRow("b", 1), adapter("y", "a"), adapter("x", "a")}})
	qt.Check(t, s.AdaptersOf("a"), qt.DeepEquals, []structs.RowName{"x", "y"})
	adopt(structs.TableDelta{Rows: []structs.Row{adapter("x", "b"), adapter("z", "b")}})
	qt.Check(t, s.AdaptersOf("a"), qt.DeepEquals, []structs.RowName{"y"})
	qt.Check(t, s.AdaptersOf("b"), qt.DeepEquals, []structs.RowName{"x", "z"})
	adopt(structs.TableDelta{Deleted: []structs.RowName{"x", "y"}})
	qt.Check(t, s.AdaptersOf("a"), qt.HasLen, 0)
	qt.Check(t, s.AdaptersOf("b"), qt.DeepEquals, []structs.RowName{"z"})
	data, err := s.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := New("z")
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	qt.Check(t, restored.AdaptersOf("b"), qt.DeepEquals, []structs.RowName{"z"})
	adopt(structs.TableDelta{Full: true})
	qt.Check(t, s.AdaptersOf("b"), qt.HasLen, 0)
}
