package capacity

import (
	"encoding/json"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

func engineProbes() []probe {
	sizes := []int{1, 2, 4, 8, 16, 32}
	machines := []int{1_000, 2_000, 4_000, 7_000, 10_000}
	return []probe{
		{RoleEngine, "engine report", "replica", unitBytes, methodJSON, sizes, func(size int) float64 {
			return jsonBytes(engineReport(newZone(100, 1, size), 0))
		}},
		{RoleEngine, "engine report", "cached checkpoint", unitBytes, methodJSON, sizes, func(size int) float64 {
			report := engineReport(newZone(100, 1, 1), 0)
			for index := range size {
				report.Cached = append(report.Cached, structs.CachedRow{Row: rowName(index), Tier: structs.TierDisk})
			}
			return jsonBytes(report)
		}},
		{RoleEngine, "engine reports of 4 replicas decoded", "report", unitMicros, methodCPU, []int{50, 100, 200, 300, 417}, reportCPU},
		{RoleEngine, "machine list", "machine", unitBytes, methodJSON, machines, func(size int) float64 {
			return jsonBytes(machineList(size))
		}},
		{RoleEngine, "machine list decoded", "machine", unitMicros, methodCPU, machines, func(size int) float64 {
			data := must(json.Marshal(machineList(size)))
			return cpuTime(func() { decode(data, &[]structs.Machine{}) })
		}},
		{RoleEngine, "order to load, with reply", "order", unitBytes, methodJSON, []int{1, 2, 4, 8, 16}, orderBytes},
		{RoleEngine, "changes of the machine list", "changed machine", unitBytes, methodJSON, sizes, func(size int) float64 {
			return jsonBytes(engineapi.MachineChanges{Version: listVersion, Machines: machineList(size)})
		}},
		{RoleEngine, "router's word on its share, with reply", "changed report", unitBytes, methodGob, []int{1, 2, 4, 8, 13}, relayBytes},
	}
}

// listVersion is a typical version of a machine list.
const listVersion = "8a2f6c1e-5b7d-4c3a-9e1f-0d2b4c6a8e1f.123456"

// relayBytes returns the encoded size of a call from a router to the zone leader that
// relays changed reports of four replicas each.
func relayBytes(changed int) float64 {
	relay := structs.ReportRelay{Daemon: "daemon-123", Epoch: 3, Version: 7, OldestAge: 1_500_000_000}
	for index := range changed {
		said := structs.RelayedReport{Runner: runnerName(index), Digest: 1<<60 + uint64(index), Busy: []int{12, 0, 33, 5}}
		relay.Changed = append(relay.Changed, said)
	}
	return requestBytes(methodReports, daemon.ReportsArguments{Relay: relay}) + replyBytes(methodReports, daemon.ReportsReply{})
}

func machineList(size int) []structs.Machine {
	var list []structs.Machine
	for index := range size {
		list = append(list, machineOf(index))
	}
	return list
}

func decode(data []byte, into any) {
	if err := json.Unmarshal(data, into); err != nil {
		panic(err)
	}
}

// reportCPU returns the processor time to decode the given number of engine reports,
// as a zone leader does in each interval.
func reportCPU(reports int) float64 {
	const replicas = 4
	data := must(json.Marshal(engineReport(newZone(100, 1, replicas), 0)))
	return cpuTime(func() {
		for range reports {
			decode(data, &structs.EngineReport{})
		}
	})
}

func orderBytes(orders int) float64 {
	bytes := 0.0
	for index := range orders {
		fence := structs.Fence{Epoch: 3, Number: structs.OrderNumber(1<<20 + index)}
		order := structs.Order{
			Fence: fence, Kind: structs.OrderLoad, Runner: runnerName(index), Incarnation: 1,
			Row: rowName(index), Base: "model-001", MemoryBytes: replicaBytes,
		}
		bytes += jsonBytes(order) + jsonBytes(structs.OrderReply{Accepted: true, Fence: fence, Incarnation: 1})
	}
	return bytes
}
