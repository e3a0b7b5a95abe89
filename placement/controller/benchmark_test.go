package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// BenchmarkDecide measures a decision in a zone of 420 runners and 58,000 rows, 40 of which
// have waiting requests. It has eight ready replicas per runner, each of another row, or four
// per runner of 290 rows.
func BenchmarkDecide(b *testing.B) {
	b.Run("rows=3360", func(b *testing.B) { benchmarkDecide(b, 8, 3_360) })
	b.Run("rows=290", func(b *testing.B) { benchmarkDecide(b, 4, 290) })
}

func benchmarkDecide(b *testing.B, perRunner, used int) {
	const runners, rows, waiting = 420, 58_000, 40
	state := zone.New("z")
	index := uint64(0)
	apply := func(command zone.Command) {
		index++
		if result := state.Apply(index, command); result.Error != nil {
			b.Fatal(result.Error)
		}
	}
	delta := &structs.TableDelta{Revision: 1, Full: true}
	for i := range rows {
		name := structs.RowName(fmt.Sprintf("row-%05d", i))
		delta.Rows = append(delta.Rows, structs.Row{Name: name, Kind: structs.RowModel, MemoryBytes: 10, Weight: 1})
		delta.Grants = append(delta.Grants, structs.Grant{Row: name, Zone: "z", Limit: 64, Held: 64})
	}
	apply(zone.Command{Adopt: delta})
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	core := New(Options{})
	input := Input{Now: now, Epoch: 1, LeaseValid: true, State: state, StoreBudget: 8, Reports: map[structs.RunnerID]ReportSeen{}}
	demand := structs.DemandReport{Daemon: "router"}
	for i := range runners {
		id := structs.RunnerID(fmt.Sprintf("runner-%03d", i))
		apply(zone.Command{Runner: &zone.RunnerCommand{Info: structs.RunnerInfo{ID: id, Zone: "z", Incarnation: 1, MemoryBytes: 80}}})
		report := structs.EngineReport{Runner: id, Incarnation: 1, MemoryBytes: 80}
		for k := range perRunner {
			row := delta.Rows[(i*perRunner+k)%used].Name
			apply(zone.Command{Reserve: &zone.ReserveCommand{Row: row, Runner: id, Incarnation: 1, At: now}})
			order := structs.OrderNumber(index)
			apply(zone.Command{Transition: &zone.TransitionCommand{Row: row, Runner: id, Order: order, To: structs.ReplicaReady, At: now}})
			report.Fence = structs.Fence{Epoch: 1, Number: order}
			report.Replicas = append(report.Replicas, structs.EngineReplica{Row: row, State: structs.ReplicaReady, Fence: report.Fence})
			demand.Rows = append(demand.Rows, structs.RowDemand{Row: row, Running: k % 2})
		}
		input.Reports[id] = ReportSeen{report, now}
		input.Machines = append(input.Machines, structs.Machine{Runner: id, Zone: "z", State: structs.MachineLive})
	}
	for i := range waiting {
		demand.Rows = append(demand.Rows, structs.RowDemand{Row: delta.Rows[rows-1-i].Name, Waiting: 2, Arrived: 2})
	}
	core.ObserveDemand(now, demand)
	b.ReportAllocs()
	for b.Loop() {
		core.Decide(input)
	}
}
