package experiment

import (
	"maps"
	"slices"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// demand sums the zone's queues, and adds the rows that are loaded.
func (z *zoneWorld) demand() []scheduler.Demand {
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
		demand := scheduler.Demand{Row: row, LastUsed: z.learned.lastUsed(row)}
		if queue := z.queues[row]; queue != nil {
			demand.Waiting = len(queue.waiting)
			demand.Running = queue.running
			for _, waiting := range queue.waiting {
				demand.Highest = max(demand.Highest, waiting.Priority)
				demand.OldestWait = max(demand.OldestWait, z.world.clock.now.Sub(waiting.arrivedAt))
			}
			if demand.Waiting+demand.Running > 0 {
				demand.LastUsed = z.world.clock.now
			}
		}
		list = append(list, demand)
	}
	return list
}
