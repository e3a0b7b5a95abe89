package capacity

import "github.com/lotusferry/lotusferry/structs"

func engineProbes() []probe {
	sizes := []int{1, 2, 4, 8, 16, 32}
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
		{RoleEngine, "machine list", "machine", unitBytes, methodJSON, []int{100, 200, 400, 800, 1_600}, func(size int) float64 {
			var list []structs.Machine
			for index := range size {
				list = append(list, machineOf(index))
			}
			return jsonBytes(list)
		}},
		{RoleEngine, "order to load, with reply", "order", unitBytes, methodJSON, []int{1, 2, 4, 8, 16}, orderBytes},
	}
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
