package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// oracleLead is how long before an arrival the oracle starts to free memory and
	// load. It covers an unload, the slowest load and the report delays.
	oracleLead = 8 * time.Second
	// oracleKeepAlive is the longest gap between requests during which the oracle keeps
	// a replica loaded.
	oracleKeepAlive = 15 * time.Second
	// noFurtherCall is the time until the next request of a row that has none left.
	noFurtherCall = 365 * 24 * time.Hour
)

// arrivalIndex holds the arrivals of each row by zone, in time order.
type arrivalIndex struct {
	sim   *simulation
	rows  []structs.Row
	times map[structs.RowName][]*arrivalTimes
}

// arrivalTimes holds the arrivals of one row in one zone; those before next have
// passed.
type arrivalTimes struct {
	home  structs.ZoneID
	times []time.Time
	next  int
}

func newArrivalIndex(w *simulation) *arrivalIndex {
	f := &arrivalIndex{sim: w, rows: slices.Clone(w.site.Rows), times: map[structs.RowName][]*arrivalTimes{}}
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

// next returns the time until the next request of the row that the zone will serve.
func (f *arrivalIndex) next(z *simulatedZone, row structs.RowName) time.Duration {
	now := f.sim.clock.now
	soonest := noFurtherCall
	for _, list := range f.times[row] {
		for list.next < len(list.times) && !list.times[list.next].After(now) {
			list.next++
		}
		if list.next == len(list.times) {
			continue
		}
		if wait := list.times[list.next].Sub(now); wait < soonest && f.sim.target(list.home, row) == z {
			soonest = wait
		}
	}
	return soonest
}

// oracle loads each row before its next request, unloads it when the next request is
// far off, and evicts the replica whose next use is latest. Apart from its greedy
// choice of runners, it bounds the results of any planner.
type oracle struct {
	zone  *simulatedZone
	index *arrivalIndex
}

// Plan implements Planner by passing a modified snapshot to the onDemand planner.
func (o *oracle) Plan(snapshot scheduler.Snapshot) scheduler.PlanResult {
	demands := map[structs.RowName]scheduler.Demand{}
	for _, demand := range snapshot.Demand {
		demands[demand.Row] = demand
	}
	snapshot.Demand = nil
	soonest := noFurtherCall
	calls := o.nextCalls()
	for _, row := range o.index.rows {
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
		// Reflecting the next use into the past makes least recently used eviction
		// evict the replica with the latest next use.
		demand.LastUsed = snapshot.Now.Add(-next)
		if next <= oracleLead && demand.Running == 0 {
			demand.Waiting = max(demand.Waiting, 1)
		}
		snapshot.Demand = append(snapshot.Demand, demand)
	}
	for i := range snapshot.Replicas {
		snapshot.Replicas[i].Since = time.Time{} // rank by next use alone
	}
	if soonest < idlePlanInterval {
		o.zone.sim.clock.after(soonest, func() { o.zone.schedulePlan(0) })
	}
	planner := onDemand{keepAlive: oracleKeepAlive}
	return planner.Plan(snapshot)
}

// nextCalls returns the time until each row is needed. A base is needed as soon as one
// of its adapters is.
func (o *oracle) nextCalls() map[structs.RowName]time.Duration {
	calls := make(map[structs.RowName]time.Duration, len(o.index.rows))
	for _, row := range o.index.rows {
		next := o.index.next(o.zone, row.Name)
		if known, ok := calls[row.Name]; !ok || next < known {
			calls[row.Name] = next
		}
		if known, ok := calls[row.Base]; row.NeedsBase() && (!ok || next < known) {
			calls[row.Base] = next
		}
	}
	return calls
}
