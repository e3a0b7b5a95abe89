package capacity

import (
	"fmt"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// The dimensions of a zone at the design size.
const (
	zoneRunners  = 417
	runnerBytes  = 8 * 80 << 30
	replicaBytes = 200 << 20
)

func zoneProbes() []probe {
	rows := tableSizes
	runners := []int{50, 100, 200, 300, 417}
	replicas := []int{200, 400, 800, 1_200, 1_600}
	return []probe{
		{RoleZone, "zone state, rows", "row", unitBytes, methodHeap, rows, func(size int) float64 {
			return retainedHeap(func() any { return newZone(size, 0, 0).state })
		}},
		{RoleZone, "zone state, runners", "runner", unitBytes, methodHeap, runners, func(size int) float64 {
			return retainedHeap(func() any { return newZone(10, size, 0).state })
		}},
		{RoleZone, "zone state, replicas on 100 runners", "replica", unitBytes, methodHeap, replicas, func(size int) float64 {
			return retainedHeap(func() any { return newZone(2_000, 100, size).state })
		}},
		{RoleZone, "log bytes of an adopted delta", "row", unitBytes, methodMsgpack, rows, func(size int) float64 {
			return float64(len(must(zone.EncodeCommand(zone.Command{Adopt: fullDelta(size)}))))
		}},
		{RoleZone, "apply of an adopted delta", "row", unitMicros, methodCPU, rows, adoptCPU},
		{RoleZone, "snapshot of the zone", "row", unitBytes, methodMsgpack, rows, func(size int) float64 {
			return float64(len(must(newZone(size, zoneRunners, 0).state.Snapshot())))
		}},
		{RoleZone, "snapshot restored", "row", unitMicros, methodCPU, rows, func(size int) float64 {
			data := must(newZone(size, zoneRunners, 0).state.Snapshot())
			return cpuTime(func() {
				if err := zone.New(zoneName(0)).Restore(data); err != nil {
					panic(err)
				}
			})
		}},
		{RoleZone, "load from reservation to ready: log bytes", "load", unitBytes, methodMsgpack, []int{1, 2, 4, 8, 16}, loadLogBytes},
	}
}

// zoneMachine applies commands to the state of a zone. Commands pass through the codec,
// as those read from a log do.
type zoneMachine struct {
	state *zone.State
	index uint64
}

func (m *zoneMachine) apply(command zone.Command) zone.Result {
	m.index++
	decoded := must(zone.DecodeCommand(must(zone.EncodeCommand(command))))
	result := m.state.Apply(m.index, decoded)
	if result.Error != nil {
		panic(result.Error)
	}
	return result
}

func runnerName(index int) structs.RunnerID {
	return structs.RunnerID(fmt.Sprintf("runner-%05d", index))
}

func runnerInfo(index int) structs.RunnerInfo {
	return structs.RunnerInfo{
		ID: runnerName(index), Zone: zoneName(0), Address: fmt.Sprintf("127.0.%d.%d:7000", index>>8, index&0xff),
		Role: "answers", Incarnation: 1, MemoryBytes: runnerBytes, Accelerators: 8,
	}
}

// fullDelta returns the full table as sent to a zone in which every row is held. Each
// row is listed in one other zone too.
func fullDelta(rows int) *structs.TableDelta {
	delta := &structs.TableDelta{Revision: 1, Full: true}
	for _, row := range makeRows(rows, adapterReplicas) {
		row.Revision = 1
		delta.Rows = append(delta.Rows, row)
		delta.Grants = append(delta.Grants, structs.Grant{Row: row.Name, Zone: zoneName(0), Limit: 1, Held: 1, Sequence: 1})
		delta.Elsewhere = append(delta.Elsewhere, structs.RowZones{Row: row.Name, Zones: []structs.ZoneID{zoneName(0), zoneName(1)}})
	}
	return delta
}

// newZone returns a zone with ready replicas distributed evenly over its runners.
func newZone(rows, runners, replicas int) *zoneMachine {
	m := &zoneMachine{state: zone.New(zoneName(0))}
	m.apply(zone.Command{Adopt: fullDelta(rows)})
	for index := range runners {
		m.apply(zone.Command{Runner: &zone.RunnerCommand{Info: runnerInfo(index)}})
	}
	for index := range replicas {
		m.load(rowName(index), runnerName(index%runners))
	}
	return m
}

func (m *zoneMachine) load(row structs.RowName, runner structs.RunnerID) {
	for _, command := range loadCommands(row, runner, m.index+1) {
		m.apply(command)
	}
}

// loadCommands returns the log entries of one load; order is the index of the first.
func loadCommands(row structs.RowName, runner structs.RunnerID, order uint64) []zone.Command {
	return []zone.Command{
		{Reserve: &zone.ReserveCommand{Row: row, Runner: runner, Incarnation: 1, At: probeTime}},
		{Transition: &zone.TransitionCommand{
			Row: row, Runner: runner, Order: structs.OrderNumber(order), To: structs.ReplicaReady, At: probeTime,
		}},
	}
}

func loadLogBytes(loads int) float64 {
	bytes := 0
	for index := range loads {
		for _, command := range loadCommands(rowName(index), runnerName(index), uint64(2*index+1)) {
			bytes += len(must(zone.EncodeCommand(command)))
		}
	}
	return float64(bytes)
}

func adoptCPU(rows int) float64 {
	encoded := must(zone.EncodeCommand(zone.Command{Adopt: fullDelta(rows)}))
	return cpuTime(func() {
		command := must(zone.DecodeCommand(encoded))
		zone.New(zoneName(0)).Apply(1, command)
	})
}
