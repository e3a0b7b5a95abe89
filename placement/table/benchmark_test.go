package table

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	benchmarkModels   = 250
	benchmarkAdapters = 58_000 - benchmarkModels
	benchmarkZones    = 24
)

// benchmarkState returns a state of 58,000 rows and 24 zones. If full is set, every
// zone has wished for every row and so has a grant entry for it.
func benchmarkState(b *testing.B, full bool) *State {
	b.Helper()
	state := stateWith(benchmarkZones)
	var changes []structs.RowChange
	for i := range benchmarkModels {
		changes = append(changes, put(modelRow(benchmarkModel(i), 24), 0))
	}
	for i := range benchmarkAdapters {
		changes = append(changes, put(adapterRow(benchmarkAdapter(i), benchmarkModel(i%benchmarkModels), 4), 0))
	}
	mustApply(b, state, editOf("make", changes...))
	if !full {
		return state
	}
	random := rand.New(rand.NewPCG(1, 2))
	for _, zone := range state.Zones() {
		wishes := make([]structs.GrantWish, 0, len(changes))
		for _, change := range changes {
			wishes = append(wishes, structs.GrantWish{Row: change.Row.Name, Wanted: 1 + random.IntN(3)})
		}
		mustApply(b, state, Command{Wish: &WishCommand{Zone: zone.Zone, Wishes: wishes}})
	}
	return state
}

func benchmarkModel(i int) string   { return fmt.Sprintf("model-%03d", i) }
func benchmarkAdapter(i int) string { return fmt.Sprintf("adapter-%05d", i) }

func benchmarkEdit(b *testing.B, state *State, i int) Command {
	name := benchmarkAdapter(i % benchmarkAdapters)
	row, isThere := state.Row(structs.RowName(name))
	qt.Assert(b, isThere, qt.IsTrue)
	row.MaxReplicas = 4 + (row.MaxReplicas+1)%4
	return editOf(fmt.Sprintf("edit-%d", i), put(row, row.Revision))
}

func BenchmarkApplyEdit(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("full=%v", full), func(b *testing.B) {
			state := benchmarkState(b, full)
			i := 0
			for b.Loop() {
				state.Apply(benchmarkEdit(b, state, i))
				i++
			}
			qt.Assert(b, len(state.History(0)), qt.Equals, min(i+1, HistoryRetention))
		})
	}
}

func BenchmarkApplyWish(b *testing.B) {
	state := benchmarkState(b, true)
	i := 0
	for b.Loop() {
		state.Apply(wishOf("a", benchmarkAdapter(i%benchmarkAdapters), i%5))
		i++
	}
}

func BenchmarkDeltaOf500Changes(b *testing.B) {
	state := benchmarkState(b, true)
	since := state.Revision()
	for i := range 500 {
		mustApplyFast(b, state, benchmarkEdit(b, state, i))
	}
	for b.Loop() {
		qt.Assert(b, state.Delta("a", since).Rows, qt.HasLen, 500)
	}
}

func mustApplyFast(b *testing.B, state *State, command Command) {
	b.Helper()
	qt.Assert(b, state.Apply(command).Edit.Accepted, qt.IsTrue)
}

func BenchmarkSnapshot(b *testing.B) {
	before := heapBytes()
	state := benchmarkState(b, true)
	heap := heapBytes() - before
	size := 0
	for b.Loop() {
		data, err := state.Snapshot()
		qt.Assert(b, err, qt.IsNil)
		size = len(data)
	}
	b.ReportMetric(float64(heap)/1e6, "state-MB")
	b.ReportMetric(float64(size)/1e6, "snapshot-MB")
}

func BenchmarkRestore(b *testing.B) {
	data, err := benchmarkState(b, true).Snapshot()
	qt.Assert(b, err, qt.IsNil)
	for b.Loop() {
		qt.Assert(b, New().Restore(data), qt.IsNil)
	}
}

func BenchmarkFullDelta(b *testing.B) {
	state := benchmarkState(b, true)
	for b.Loop() {
		qt.Assert(b, len(state.Delta("a", 0).Rows), qt.Equals, benchmarkModels+benchmarkAdapters)
	}
}

// BenchmarkBaseMovesWithItsAdapters moves a base and its adapters between two zones.
// Each iteration applies the wishes that move the base and the releases of the base.
func BenchmarkBaseMovesWithItsAdapters(b *testing.B) {
	for _, adapters := range []int{0, 58, 232, 928} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			state := stateWith(benchmarkZones)
			changes := []structs.RowChange{put(modelRow("base", 1), 0)}
			for i := range adapters {
				changes = append(changes, put(adapterRow(benchmarkAdapter(i), "base", 4), 0))
			}
			mustApply(b, state, editOf("make", changes...))
			zones := []string{"a", "b"}
			splits := 0
			for b.Loop() {
				to, from := zones[splits%2], zones[1-splits%2]
				state.Apply(wishOf(from, "base", 0))
				state.Apply(wishOf(to, "base", 1))
				releaseAll(state, "base")
				splits++
			}
			qt.Assert(b, grantOf(state, "base", zones[(splits-1)%2]).Limit, qt.Equals, 1)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(2*splits), "µs/base-change")
		})
	}
}

func BenchmarkZoneWeight(b *testing.B) {
	state := benchmarkState(b, false)
	weight := 1
	for b.Loop() {
		weight = 3 - weight
		state.Apply(Command{Zone: &ZoneCommand{Zone: "y", Weight: weight}})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
