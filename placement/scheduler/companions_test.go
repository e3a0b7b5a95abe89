package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// withBase has the base a ready on r1, where its small adapter t has room.
func withBase() Snapshot {
	s := newTestSnapshot()
	s.Settings.LatencyColdStartWorth = 10_000
	s.place("a", 0, structs.ReplicaReady, 1)
	s.setRow("t", func(r *structs.Row) { r.MemoryBytes = 1 })
	s.want("a", 0, 1)
	return s
}

// reserveOfOneRunner leaves one runner with 120 bytes, 40 of which are to be kept free.
func reserveOfOneRunner(s *Snapshot) {
	s.Settings.ReserveBytes = 40
	s.Runners = s.Runners[:1]
	s.Runners[0].MemoryBytes = 120
}

// otherAdapter has another adapter ready beside the base for so long.
func otherAdapter(ago time.Duration) setup {
	return func(s *Snapshot) {
		s.setRow("u", func(r *structs.Row) { r.Base, r.Kind, r.MemoryBytes = "a", structs.RowAdapter, 1 })
		s.place("u", 0, structs.ReplicaReady, 0)
		s.Replicas[len(s.Replicas)-1].Since = testNow.Add(-ago)
	}
}

func TestAdaptersAreLoadedAheadBesideTheirBase(t *testing.T) {
	for _, test := range []struct {
		name  string
		setup setup
		loads int
	}{
		{"worth its few bytes", func(*Snapshot) {}, 1},
		{"not with the idle objective", func(s *Snapshot) { s.Settings.Objective = structs.ObjectiveIdle }, 0},
		{"not when it is large", memory("t", 40), 0},
		{"not without room", func(s *Snapshot) { s.place("b", 0, structs.ReplicaReady, 1); s.Runners[0].MemoryBytes = 110 }, 0},
		{"beside the reserve", reserveOfOneRunner, 1},
		{"not into the reserve", func(s *Snapshot) { reserveOfOneRunner(s); s.place("b", 0, structs.ReplicaReady, 1) }, 0},
		{"not above its limit", limits("t", 0), 0},
		{"not while frozen", frozen("t"), 0},
		{"not twice", places("t", 0, structs.ReplicaLoading, 0), 0},
		{"not beside a base that is loading", func(s *Snapshot) { s.Replicas[0].State = structs.ReplicaLoading }, 0},
		{"not on a runner that leaves", firstLeaves, 0},
		{"not on a runner that lags", firstLags, 0},
		{"not with the last store read", oneStoreLoad, 0},
		{"a minute after another one", otherAdapter(companionInterval), 1},
		{"not sooner after another one", otherAdapter(companionInterval - time.Millisecond), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			snapshot := withBase()
			test.setup(&snapshot)
			ahead := 0
			for _, load := range Plan(snapshot).Loads {
				if load.Row == "t" {
					qt.Check(t, load.Runner, qt.Equals, structs.RunnerID("r1"))
					qt.Check(t, load.Reason, qt.Equals, ReasonPrewarm)
					ahead++
				}
			}
			qt.Check(t, ahead, qt.Equals, test.loads)
		})
	}
}

// However many adapters there are, a plan looks at a few, and its successors at the others.
func TestPlansTakeTurnsWithTheAdapters(t *testing.T) {
	const count = 3 * maxCompanions
	snapshot := withBase()
	for i := range count {
		name := structs.RowName(fmt.Sprintf("t%04d", i))
		snapshot.setRow(name, func(r *structs.Row) { r.Base, r.Kind, r.MemoryBytes = "a", structs.RowAdapter, 1 })
	}
	last := structs.RowName(fmt.Sprintf("t%04d", count-1))
	snapshot.Table.(testTable).limits["t"] = 0
	snapshot.Table.(testTable).limits[last] = 1
	found := 0
	for range count + 1 {
		snapshot.Now = snapshot.Now.Add(1e9)
		for _, load := range Plan(snapshot).Loads {
			qt.Assert(t, load.Row, qt.Equals, last)
			found++
		}
	}
	qt.Assert(t, found >= maxCompanions && found < count/2, qt.IsTrue, qt.Commentf("%d", found))
}
