package zone

import (
	"encoding/gob"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
	"pgregory.net/rapid"
)

// testRouter maintains a placement from views, as a router does.
type testRouter struct {
	index    uint64
	runners  map[structs.RunnerID]structs.RunnerInfo
	replicas map[structs.RunnerID][]structs.Replica
}

// recordsChecker checks that records change only together with RecordsIndex.
type recordsChecker struct {
	recordsIndex uint64
	records      []any
}

// check compares the records with those last seen at the same RecordsIndex.
func (f *recordsChecker) check(t *rapid.T, s *State) {
	records := []any{s.Runners(), s.Replicas()}
	if f.records != nil && f.recordsIndex == s.RecordsIndex() {
		equal(t, records, f.records)
	}
	f.recordsIndex = s.RecordsIndex()
	f.records = records
}

func (f *testRouter) adopt(view structs.ZoneView) {
	f.index = view.Index
	if view.Placement == nil {
		return
	}
	if !view.Placement.Partial {
		f.runners = map[structs.RunnerID]structs.RunnerInfo{}
		f.replicas = map[structs.RunnerID][]structs.Replica{}
	}
	for _, info := range view.Placement.Runners {
		f.runners[info.ID] = info
		f.replicas[info.ID] = nil
	}
	for _, replica := range view.Placement.Replicas {
		f.replicas[replica.Runner] = append(f.replicas[replica.Runner], replica)
	}
}

// pollView updates the router from the machine or the restored state and compares its
// placement with the full one.
func (m *randomMachine) pollView(t *rapid.T, f *testRouter) {
	source := m.State
	if rapid.Bool().Draw(t, "twin") {
		source = m.restored
	}
	f.adopt(source.View(0, f.index))
	whole := &testRouter{}
	whole.adopt(m.View(0, 0))
	equal(t, f.runners, whole.runners)
	equal(t, f.replicas, whole.replicas)
}

func TestViewContainsOnlyChangedRunners(t *testing.T) {
	c := qt.New(t)
	m := newTestMachine()
	seen := m.View(0, 0)
	c.Assert(seen.Placement.Partial, qt.IsFalse)
	m.must(registration(testRunner("b", 3)))
	view := m.View(0, seen.Index)
	c.Assert(view.SinceIndex, qt.Equals, seen.Index)
	c.Assert(view.Placement.Partial, qt.IsTrue)
	c.Assert(len(view.Placement.Runners), qt.Equals, 1)
	c.Assert(view.Placement.Runners[0].ID, qt.Equals, structs.RunnerID("b"))
	c.Assert(view.Placement.Replicas, qt.HasLen, 0)
}

// BenchmarkViewOfOneChange compares the view of one changed runner with that of the
// whole placement.
func BenchmarkViewOfOneChange(b *testing.B) {
	m := newLargeState(420, 58_000)
	before := m.Index()
	m.must(Command{Drain: &DrainCommand{Runner: "runner-007", Draining: true}})
	for name, since := range map[string]uint64{"changes": before, "whole": 0} {
		b.Run(name, func(b *testing.B) {
			var view structs.ZoneView
			for b.Loop() {
				view = m.View(m.TableRevision(), since)
			}
			var sent countingWriter
			qt.Assert(b, gob.NewEncoder(&sent).Encode(view), qt.IsNil)
			b.ReportMetric(float64(sent), "gob-bytes")
		})
	}
}

// countingWriter counts the bytes written to it.
type countingWriter int

func (w *countingWriter) Write(data []byte) (int, error) {
	*w += countingWriter(len(data))
	return len(data), nil
}
