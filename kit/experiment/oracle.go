package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// oracleLead is how long before an arrival the oracle begins to make room and
	// to load: as long as an unload and the slowest load take, and reports.
	oracleLead = 8 * time.Second
	// oracleKeep is the gap through which the oracle keeps a replica; through a
	// longer one it unloads and loads again in time.
	oracleKeep = 15 * time.Second
	// oracleNever stands for a row without further calls.
	oracleNever = 365 * 24 * time.Hour
)

// future holds the arrivals of each row in each zone, in order.
type future struct {
	world *world
	rows  []structs.Row
	times map[structs.RowName][]*arrivalTimes
}

// arrivalTimes are the calls of one row in one zone; those before next are past.
type arrivalTimes struct {
	home  structs.ZoneID
	times []time.Time
	next  int
}

func newFuture(w *world) *future {
	f := &future{world: w, rows: slices.Clone(w.site.Rows), times: map[structs.RowName][]*arrivalTimes{}}
	slices.SortFunc(f.rows, func(a, b structs.Row) int { return cmp.Compare(a.Name, b.Name) })
	for _, row := range f.rows {
		for _, z := range w.zones {
			f.times[row.Name] = append(f.times[row.Name], &arrivalTimes{home: z.id})
		}
	}
	for _, arrival := range w.arrivals {
		for _, list := range f.times[arrival.Row] {
			if list.home == arrival.Zone {
				list.times = append(list.times, startTime.Add(arrival.At))
			}
		}
	}
	return f
}

// next returns how long it is until the next call of the row that the zone will serve.
func (f *future) next(z *zoneWorld, row structs.RowName) time.Duration {
	now := f.world.clock.now
	soonest := oracleNever
	for _, list := range f.times[row] {
		for list.next < len(list.times) && !list.times[list.next].After(now) {
			list.next++
		}
		if list.next == len(list.times) {
			continue
		}
		if wait := list.times[list.next].Sub(now); wait < soonest && f.world.target(list.home, row) == z {
			soonest = wait
		}
	}
	return soonest
}

// oracle loads each row in time for its next call and unloads it when that is
// far; to make room it unloads what is called last. It bounds what any planner
// can reach in the same harness, but for its greedy choice of runners.
type oracle struct {
	zone   *zoneWorld
	future *future
}

// Plan implements Planner, on the simple baseline's plan.
func (o *oracle) Plan(snapshot scheduler.Snapshot) scheduler.PlanResult {
	demands := map[structs.RowName]scheduler.Demand{}
	for _, demand := range snapshot.Demand {
		demands[demand.Row] = demand
	}
	snapshot.Demand = nil
	soonest := oracleNever
	calls := o.nextCalls()
	for _, row := range o.future.rows {
		demand, known := demands[row.Name]
		next := calls[row.Name]
		if next > oracleLead {
			soonest = min(soonest, next-oracleLead)
		}
		if demand.Waiting+demand.Running > 0 {
			next = 0
		}
		if next > oracleLead && !known {
			continue
		}
		demand.Row = row.Name
		// The order of eviction is that of next use, of which this is the mirror image.
		demand.LastUsed = snapshot.Now.Add(-next)
		if next <= oracleLead && demand.Running == 0 {
			demand.Waiting = max(demand.Waiting, 1)
		}
		snapshot.Demand = append(snapshot.Demand, demand)
	}
	for i := range snapshot.Replicas {
		snapshot.Replicas[i].Since = time.Time{} // Only the next use counts.
	}
	if soonest < idlePlanInterval {
		o.zone.world.clock.after(soonest, func() { o.zone.wake(0) })
	}
	planner := onDemand{keepAlive: oracleKeep}
	return planner.Plan(snapshot)
}

// nextCalls returns how long it is until each row is needed; a base is needed as
// soon as its adapters are.
func (o *oracle) nextCalls() map[structs.RowName]time.Duration {
	calls := make(map[structs.RowName]time.Duration, len(o.future.rows))
	for _, row := range o.future.rows {
		next := o.future.next(o.zone, row.Name)
		if known, ok := calls[row.Name]; !ok || next < known {
			calls[row.Name] = next
		}
		if known, ok := calls[row.Base]; row.NeedsBase() && (!ok || next < known) {
			calls[row.Base] = next
		}
	}
	return calls
}
