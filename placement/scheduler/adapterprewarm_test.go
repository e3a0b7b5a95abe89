package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// newReadyBaseSnapshot has the base a ready on r1, with room for its small adapter t.
func newReadyBaseSnapshot() Snapshot {
	s := newTestSnapshot()
	s.Settings.LatencyColdStartWorth = 10_000
	s.place("a", 0, structs.ReplicaReady, 1)
	s.setRow("t", func(r *structs.Row) { r.MemoryBytes = 1 })
	s.want("a", 0, 1)
	return s
}

// singleRunnerReserve leaves one runner of 120 bytes, 40 of which are the reserve.
func singleRunnerReserve(s *Snapshot) {
	s.Settings.ReserveBytes = 40
	s.Runners = s.Runners[:1]
	s.Runners[0].MemoryBytes = 120
}

// otherAdapterReady adds another adapter that became ready on the runner of its base that long ago.
func otherAdapterReady(ago time.Duration) setup {
	return func(s *Snapshot) {
		s.setRow("u", func(r *structs.Row) { r.Base, r.Kind, r.MemoryBytes = "a", structs.RowAdapter, 1 })
		s.place("u", 0, structs.ReplicaReady, 0)
		s.Replicas[len(s.Replicas)-1].Since = testNow.Add(-ago)
	}
}

func TestAdapterPrewarm(t *testing.T) {
	for _, test := range []struct {
		name  string
		setup setup
		loads int
	}{
		{"small adapter", func(*Snapshot) {}, 1},
		{"idle objective", func(s *Snapshot) { s.Settings.Objective = structs.ObjectiveIdle }, 0},
		{"large adapter", memory("t", 40), 0},
		{"no free memory", func(s *Snapshot) { s.place("b", 0, structs.ReplicaReady, 1); s.Runners[0].MemoryBytes = 110 }, 0},
		{"reserve is left free", singleRunnerReserve, 1},
		{"would use the reserve", func(s *Snapshot) { singleRunnerReserve(s); s.place("b", 0, structs.ReplicaReady, 1) }, 0},
		{"limit is zero", limits("t", 0), 0},
		{"grant is frozen", frozen("t"), 0},
		{"already loading", places("t", 0, structs.ReplicaLoading, 0), 0},
		{"base is loading", func(s *Snapshot) { s.Replicas[0].State = structs.ReplicaLoading }, 0},
		{"runner is leaving", firstRunnerLeaving, 0},
		{"runner is lagging", firstRunnerLagging, 0},
		{"last store read is left for requests", storeBudgetOne, 0},
		{"a minute after another adapter", otherAdapterReady(adapterPrewarmInterval), 1},
		{"less than a minute after another adapter", otherAdapterReady(adapterPrewarmInterval - time.Millisecond), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			snapshot := newReadyBaseSnapshot()
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

// Guards against adapters beyond maxAdapterCandidates never being considered: successive
// plans must start at different ones.
func TestPlansRotateThroughAdapterCandidates(t *testing.T) {
	const count = 3 * maxAdapterCandidates
	snapshot := newReadyBaseSnapshot()
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
	qt.Assert(t, found >= maxAdapterCandidates && found < count/2, qt.IsTrue, qt.Commentf("%d", found))
}
