package experiment

import (
	"maps"
	"slices"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// demand returns the demand for each row that has requests in the zone or a replica
// there, sorted by row.
func (z *simulatedZone) demand() []scheduler.Demand {
	rows := map[structs.RowName]bool{}
	for _, replica := range z.state.Replicas() {
		rows[replica.Row] = true
	}
	for row, queue := range z.queues {
		if len(queue.waiting)+queue.running > 0 {
			rows[row] = true
		}
	}
	list := make([]scheduler.Demand, 0, len(rows))
	for _, row := range slices.Sorted(maps.Keys(rows)) {
		demand := scheduler.Demand{Row: row, LastUsed: z.usage.lastUsed(row)}
		if queue := z.queues[row]; queue != nil {
			demand.Waiting = len(queue.waiting)
			demand.Running = queue.running
			for _, waiting := range queue.waiting {
				demand.Highest = max(demand.Highest, waiting.Priority)
				demand.OldestWait = max(demand.OldestWait, z.sim.clock.now.Sub(waiting.arrivedAt))
			}
			if demand.Waiting+demand.Running > 0 {
				demand.LastUsed = z.sim.clock.now
			}
		}
		list = append(list, demand)
	}
	return list
}
