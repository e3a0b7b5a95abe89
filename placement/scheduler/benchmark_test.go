package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// newLargeSnapshot returns a snapshot of 58,000 rows with eight recently used replicas
// per runner, waiting requests for a tenth as many rows as there are runners, and 256
// expected rows.
func newLargeSnapshot(runners int) Snapshot {
	const rows, perRunner = 58_000, 8
	table := testTable{
		adapters: map[structs.RowName][]structs.RowName{}, rows: map[structs.RowName]structs.Row{}, limits: map[structs.RowName]int{},
	}
	name := func(i int) structs.RowName { return structs.RowName(fmt.Sprintf("row-%05d", i%rows)) }
	for i := range rows {
		table.rows[name(i)] = structs.Row{Name: name(i), Kind: structs.RowModel, MemoryBytes: 10 << 30, Weight: 1}
		table.limits[name(i)] = 2
	}
	s := Snapshot{Now: testNow, Table: table, StoreLoadBudget: 8, Settings: DefaultSettings()}
	used := map[structs.RowName]bool{}
	for i := range runners {
		runner := Runner{ID: structs.RunnerID(fmt.Sprintf("runner-%05d", i)), MemoryBytes: 90 << 30}
		for k := range perRunner {
			row := name(i*perRunner + k)
			runner.Cached = append(runner.Cached, structs.CachedRow{Row: row, Tier: structs.TierMemory})
			s.Runners = append(s.Runners[:i], runner)
			s.place(row, i, structs.ReplicaReady, 0)
			runner = s.Runners[i]
			if !used[row] {
				used[row] = true
				s.Demand = append(s.Demand, Demand{Row: row, Running: 1, LastUsed: testNow})
			}
		}
	}
	for i := range max(1, runners/10) {
		row := name(rows - 1 - i)
		if !used[row] {
			s.Demand = append(s.Demand, Demand{Row: row, Waiting: 5, LastUsed: testNow, OldestWait: time.Second})
		}
	}
	for i := range 256 {
		s.Expected = append(s.Expected, Expectation{name(rows/2 + i), 0.9})
	}
	return s
}

func BenchmarkPlan(b *testing.B) {
	for _, runners := range []int{12, 420, 10_000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			snapshot := newLargeSnapshot(runners)
			b.ReportAllocs()
			for b.Loop() {
				Plan(snapshot)
			}
		})
	}
}

// BenchmarkQuietPlan measures a plan without waiting requests, in which 250 models have
// 58,000 adapters.
func BenchmarkQuietPlan(b *testing.B) {
	const models, adapters = 250, 58_000
	for _, runners := range []int{12, 420, 10_000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			snapshot := newLargeSnapshot(runners)
			snapshot.Demand = slices.DeleteFunc(snapshot.Demand, func(demand Demand) bool { return demand.Waiting > 0 })
			snapshot.Expected = nil
			table := snapshot.Table.(testTable)
			for i := range adapters {
				base := structs.RowName(fmt.Sprintf("row-%05d", i%models))
				name := structs.RowName(fmt.Sprintf("%s/%05d", base, i))
				table.rows[name] = structs.Row{Name: name, Kind: structs.RowAdapter, Base: base, MemoryBytes: 1 << 28, Weight: 1}
				table.adapters[base] = append(table.adapters[base], name)
			}
			b.ReportAllocs()
			for b.Loop() {
				Plan(snapshot)
			}
		})
	}
}

func BenchmarkExpected(b *testing.B) {
	history := NewUsageHistory()
	for i := range 58_000 {
		history.Observe(monday, structs.RowName(fmt.Sprintf("row-%05d", i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		history.Expected(monday.Add(24*time.Hour), 0.5, 256)
	}
}
