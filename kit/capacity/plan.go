package capacity

import (
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/structs"
)

func planProbes() []probe {
	return []probe{
		{RoleZone, "round of decisions, 4 replicas a runner", "runner", unitMicros, methodCPU, []int{50, 100, 200, 300, 417}, func(size int) float64 {
			return decideCPU(size, 4*size, 0)
		}},
		{RoleZone, "round of decisions, 200 runners", "replica", unitMicros, methodCPU, []int{200, 400, 800, 1_200, 1_600}, func(size int) float64 {
			return decideCPU(200, size, 0)
		}},
		{RoleZone, "round of decisions, 200 runners, 400 replicas", "row with waiting requests", unitMicros, methodCPU, []int{0, 100, 200, 400, 800}, func(size int) float64 {
			return decideCPU(200, 400, size)
		}},
		{RoleZone, "round of decisions, 100 runners, 200 replicas", "row of the table", unitMicros, methodCPU, tableSizes, func(size int) float64 {
			return decideInput(size, 100, 200, 10).cpu()
		}},
	}
}

// decision is a controller with its input.
type decision struct {
	core  *controller.Core
	input controller.Input
}

func (d decision) cpu() float64 { return cpuTime(func() { d.core.Decide(d.input) }) }

func decideCPU(runners, replicas, waiting int) float64 {
	return decideInput(4_000, runners, replicas, waiting).cpu()
}

// decideInput returns the decision for a zone in steady state: all replicas are in use,
// and the waiting rows have no grant for another replica.
func decideInput(rows, runners, replicas, waiting int) decision {
	m := newZone(rows, runners, replicas)
	d := decision{core: controller.New(controller.Options{Zone: zoneName(0)})}
	d.input = controller.Input{
		Now: probeTime, Epoch: 1, LeaseValid: true, State: m.state, StoreBudget: 1,
		Reports: map[structs.RunnerID]controller.ReportSeen{},
	}
	for index := range runners {
		d.input.Machines = append(d.input.Machines, machineOf(index))
		d.input.Reports[runnerName(index)] = controller.ReportSeen{Report: engineReport(m, index), ReceivedAt: probeTime}
	}
	demand := structs.DemandReport{Daemon: "daemon-001"}
	for index := range replicas {
		demand.Rows = append(demand.Rows, structs.RowDemand{Row: rowName(index), Running: 1, Arrived: 1})
	}
	for index := range waiting {
		demand.Rows = append(demand.Rows, structs.RowDemand{Row: rowName(rows - 1 - index), Waiting: 1, Arrived: 1})
	}
	d.core.ObserveDemand(probeTime, demand)
	return d
}

func machineOf(index int) structs.Machine {
	info := runnerInfo(index)
	return structs.Machine{Runner: info.ID, Zone: info.Zone, Address: info.Address, State: structs.MachineLive}
}

// engineReport returns the report of the engine with the given index, including its
// replicas in the zone.
func engineReport(m *zoneMachine, index int) structs.EngineReport {
	info := runnerInfo(index)
	report := structs.EngineReport{Runner: info.ID, Incarnation: 1, Role: info.Role, MemoryBytes: info.MemoryBytes, Accelerators: info.Accelerators}
	for _, replica := range m.state.ReplicasOn(info.ID) {
		fence := structs.Fence{Epoch: 1, Number: replica.Order}
		report.Fence = fence
		report.Replicas = append(report.Replicas, structs.EngineReplica{Row: replica.Row, State: structs.ReplicaReady, Fence: fence, Running: 1})
		report.MemoryUsed += replica.MemoryBytes
	}
	report.Load = structs.LoadReport{Running: 12, MaxBatch: 64, TokensPerSecond: 1234.5, ObservedAt: probeTime}
	return report
}
