package experiment

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// Policy names a replica placement policy.
type Policy string

// The placement policies.
const (
	// PolicyLotusferry is scheduler.Plan with the settings of the site. A suffix sets
	// the cost of a cold start: with "lotusferry@120", a second of cold start costs as
	// much as 120 idle runner seconds.
	PolicyLotusferry Policy = "lotusferry"
	// PolicyLRU loads on demand and evicts least recently used replicas to free memory.
	PolicyLRU Policy = "lru"
	// PolicyKeepAlive loads on demand and unloads after fixedKeepAlive without use.
	PolicyKeepAlive Policy = "keep-alive"
	// PolicyStatic keeps the most popular rows loaded. It loads others on demand, in
	// one runner of each role and zone, or in memory reserved for the largest row if
	// there is only one runner.
	PolicyStatic Policy = "static"
	// PolicyOracle plans with knowledge of all future arrivals.
	PolicyOracle Policy = "oracle"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyLotusferry, PolicyLRU, PolicyKeepAlive, PolicyStatic, PolicyOracle}
}

// fixedKeepAlive is a common setting for keep-alive policies.
const fixedKeepAlive = 10 * time.Minute

// planFunction adapts a function such as scheduler.Plan to Planner.
type planFunction func(scheduler.Snapshot) scheduler.PlanResult

// Plan implements Planner.
func (f planFunction) Plan(snapshot scheduler.Snapshot) scheduler.PlanResult { return f(snapshot) }

// setPlanners creates the planner of each zone and schedules its first plan. It returns
// an error of kind structs.ErrorInvalid for an unknown policy.
func (w *simulation) setPlanners(policy Policy) error {
	var newPlanner func(z *simulatedZone) Planner
	interval, short := idlePlanInterval, w.site.Objective == structs.ObjectiveIdle
	policy, err := w.setColdStartCost(policy)
	if err != nil {
		return err
	}
	switch policy {
	case PolicyLotusferry:
		newPlanner = func(*simulatedZone) Planner { return planFunction(scheduler.Plan) }
	case PolicyLRU:
		interval, short = evictionInterval, false
		newPlanner = func(*simulatedZone) Planner { return &onDemand{} }
	case PolicyKeepAlive:
		newPlanner = func(*simulatedZone) Planner { return &onDemand{keepAlive: fixedKeepAlive} }
	case PolicyStatic:
		interval, short = evictionInterval, false
		pinned := w.staticPlacement()
		newPlanner = func(*simulatedZone) Planner { return &onDemand{pinned: pinned} }
	case PolicyOracle:
		short = false // The oracle schedules plans for future arrivals.
		index := newArrivalIndex(w)
		newPlanner = func(z *simulatedZone) Planner { return &oracle{zone: z, index: index} }
	default:
		return structs.NewError(structs.ErrorInvalid, "unknown policy "+string(policy),
			"Choose lotusferry, lru, keep-alive, static or oracle.")
	}
	for _, z := range w.zones {
		z.planner = newPlanner(z)
		z.idleInterval, z.shortInterval = interval, short
		z.schedulePlan(demandDelay)
	}
	return nil
}

// costSeparator separates PolicyLotusferry from the cold start cost.
const costSeparator = "@"

// setColdStartCost parses and applies the cold start cost in the policy's name, if any,
// and returns the policy without it.
func (w *simulation) setColdStartCost(policy Policy) (Policy, error) {
	name, text, found := strings.Cut(string(policy), costSeparator)
	if !found {
		return policy, nil
	}
	cost, err := strconv.ParseFloat(text, 64)
	if err != nil || !(cost > 0) || Policy(name) != PolicyLotusferry {
		return "", structs.NewError(structs.ErrorInvalid, "unknown policy "+string(policy),
			"Use lotusferry@ followed by the idle runner seconds that a second of cold start costs, a positive number.")
	}
	w.settings.LatencyColdStartWorth = cost
	w.settings.IdleColdStartWorth = cost
	return PolicyLotusferry, nil
}

// staticPlacement pins rows to runners in descending order of requests over the whole
// run. Each row is pinned in the zone with the most requests for it that has enough
// memory left.
func (w *simulation) staticPlacement() map[structs.RunnerID][]structs.RowName {
	calls := map[structs.RowName]map[structs.ZoneID]int{}
	totals := map[structs.RowName]int{}
	for _, arrival := range w.arrivals {
		if calls[arrival.Row] == nil {
			calls[arrival.Row] = map[structs.ZoneID]int{}
		}
		calls[arrival.Row][arrival.Zone]++
		totals[arrival.Row]++
	}
	rows := slices.Clone(w.site.Rows)
	slices.SortStableFunc(rows, func(a, b structs.Row) int { return cmp.Compare(totals[b.Name], totals[a.Name]) })
	placer := &staticPlacer{sim: w, pinned: map[structs.RunnerID][]structs.RowName{}, freeBytes: map[structs.RunnerID]int64{}}
	for _, z := range w.zones {
		for i, e := range z.engines {
			placer.freeBytes[e.info.ID] = w.pinnable(z, i)
		}
	}
	for _, row := range rows {
		zones := slices.Clone(w.zones)
		slices.SortStableFunc(zones, func(a, b *simulatedZone) int {
			return cmp.Compare(calls[row.Name][b.id], calls[row.Name][a.id])
		})
		if totals[row.Name] > 0 {
			placer.pin(row, zones)
		}
	}
	return placer.pinned
}

// pinnable returns how many bytes of an engine's memory staticPlacement may fill.
func (w *simulation) pinnable(z *simulatedZone, number int) int64 {
	e := z.engines[number]
	others, last := false, true
	for i, other := range z.engines {
		if i != number && other.info.Role == e.info.Role {
			others = true
			last = last && i < number
		}
	}
	switch {
	case others && last:
		return 0
	case others:
		return e.info.MemoryBytes
	}
	largest := int64(0)
	for _, row := range w.site.Rows {
		if row.Role == e.info.Role {
			largest = max(largest, row.MemoryBytes)
		}
	}
	return e.info.MemoryBytes - largest
}

type staticPlacer struct {
	sim       *simulation
	pinned    map[structs.RunnerID][]structs.RowName
	freeBytes map[structs.RunnerID]int64
}

// pin pins the row to the runner with the most free memory in the first zone where it
// fits.
func (s *staticPlacer) pin(row structs.Row, zones []*simulatedZone) {
	for _, z := range zones {
		var best *engine
		for _, e := range z.engines {
			fits := e.info.Role == row.Role && s.requiredBytes(row, e.info.ID) <= s.freeBytes[e.info.ID]
			if fits && (best == nil || s.freeBytes[e.info.ID] > s.freeBytes[best.info.ID]) {
				best = e
			}
		}
		if best == nil {
			continue
		}
		id := best.info.ID
		s.freeBytes[id] -= s.requiredBytes(row, id)
		if row.NeedsBase() && !slices.Contains(s.pinned[id], row.Base) {
			s.pinned[id] = append(s.pinned[id], row.Base)
		}
		if !slices.Contains(s.pinned[id], row.Name) {
			s.pinned[id] = append(s.pinned[id], row.Name)
		}
		return
	}
}

func (s *staticPlacer) requiredBytes(row structs.Row, runner structs.RunnerID) int64 {
	need := row.MemoryBytes
	if row.NeedsBase() && !slices.Contains(s.pinned[runner], row.Base) {
		base, _ := s.sim.table.Row(row.Base)
		need += base.MemoryBytes
	}
	return need
}
