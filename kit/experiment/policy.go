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

// Policy names a way to place replicas.
type Policy string

// The policies.
const (
	// PolicyLotusferry is scheduler.Plan with the site's settings; as
	// "lotusferry@120", a second of cold start is worth 120 seconds of an idle runner.
	PolicyLotusferry Policy = "lotusferry"
	// PolicyLRU loads on demand and unloads only to make room.
	PolicyLRU Policy = "lru"
	// PolicyKeepAlive loads on demand and unloads after fixedKeepAlive without use.
	PolicyKeepAlive Policy = "keep-alive"
	// PolicyStatic keeps the most popular rows loaded, and leaves one runner of each
	// role and zone, or room for the largest row, to load others on demand.
	PolicyStatic Policy = "static"
	// PolicyOracle knows all arrivals.
	PolicyOracle Policy = "oracle"
)

// Policies lists all policies.
func Policies() []Policy {
	return []Policy{PolicyLotusferry, PolicyLRU, PolicyKeepAlive, PolicyStatic, PolicyOracle}
}

// fixedKeepAlive is what operators commonly set.
const fixedKeepAlive = 10 * time.Minute

// planFunction makes a Planner of scheduler.Plan.
type planFunction func(scheduler.Snapshot) scheduler.PlanResult

// Plan implements Planner.
func (f planFunction) Plan(snapshot scheduler.Snapshot) scheduler.PlanResult { return f(snapshot) }

// setPlanners gives each zone its planner.
func (w *world) setPlanners(policy Policy) error {
	var newPlanner func(z *zoneWorld) Planner
	interval, short := idlePlanInterval, w.site.Objective == structs.ObjectiveIdle
	policy, err := w.setWorth(policy)
	if err != nil {
		return err
	}
	switch policy {
	case PolicyLotusferry:
		newPlanner = func(*zoneWorld) Planner { return planFunction(scheduler.Plan) }
	case PolicyLRU:
		interval, short = evictionInterval, false
		newPlanner = func(*zoneWorld) Planner { return &onDemand{} }
	case PolicyKeepAlive:
		newPlanner = func(*zoneWorld) Planner { return &onDemand{keepAlive: fixedKeepAlive} }
	case PolicyStatic:
		interval, short = evictionInterval, false
		pinned := w.staticSpread()
		newPlanner = func(*zoneWorld) Planner { return &onDemand{pinned: pinned} }
	case PolicyOracle:
		short = false // It wakes itself for what is to come.
		future := newFuture(w)
		newPlanner = func(z *zoneWorld) Planner { return &oracle{zone: z, future: future} }
	default:
		return structs.NewError(structs.ErrorInvalid, "there is no policy "+string(policy),
			"Choose lotusferry, lru, keep-alive, static or oracle.")
	}
	for _, z := range w.zones {
		z.planner = newPlanner(z)
		z.idleInterval, z.shortInterval = interval, short
		z.wake(demandDelay)
	}
	return nil
}

// worthSeparator stands between PolicyLotusferry and a worth.
const worthSeparator = "@"

// setWorth takes the worth of a cold start from the policy's name, if it has one,
// and returns the policy without it.
func (w *world) setWorth(policy Policy) (Policy, error) {
	name, text, found := strings.Cut(string(policy), worthSeparator)
	if !found {
		return policy, nil
	}
	worth, err := strconv.ParseFloat(text, 64)
	if err != nil || !(worth > 0) || Policy(name) != PolicyLotusferry {
		return "", structs.NewError(structs.ErrorInvalid, "there is no policy "+string(policy),
			"Write lotusferry@ and the seconds of an idle runner that a second of cold start is worth.")
	}
	w.settings.LatencyColdStartWorth = worth
	w.settings.IdleColdStartWorth = worth
	return PolicyLotusferry, nil
}

// staticSpread pins rows to runners, the most called rows of the whole run first,
// each in the zone that calls it most, where its memory still fits.
func (w *world) staticSpread() map[structs.RunnerID][]structs.RowName {
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
	spread := &staticSpread{world: w, pinned: map[structs.RunnerID][]structs.RowName{}, left: map[structs.RunnerID]int64{}}
	for _, z := range w.zones {
		for i, e := range z.engines {
			spread.left[e.info.ID] = w.pinnable(z, i)
		}
	}
	for _, row := range rows {
		zones := slices.Clone(w.zones)
		slices.SortStableFunc(zones, func(a, b *zoneWorld) int {
			return cmp.Compare(calls[row.Name][b.id], calls[row.Name][a.id])
		})
		if totals[row.Name] > 0 {
			spread.pin(row, zones)
		}
	}
	return spread.pinned
}

// pinnable is how much of an engine's memory the static spread may fill.
func (w *world) pinnable(z *zoneWorld, number int) int64 {
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

type staticSpread struct {
	world  *world
	pinned map[structs.RunnerID][]structs.RowName
	left   map[structs.RunnerID]int64
}

// pin puts the row on the runner with the most room in the first zone with any.
func (s *staticSpread) pin(row structs.Row, zones []*zoneWorld) {
	for _, z := range zones {
		var best *engine
		for _, e := range z.engines {
			fits := e.info.Role == row.Role && s.need(row, e.info.ID) <= s.left[e.info.ID]
			if fits && (best == nil || s.left[e.info.ID] > s.left[best.info.ID]) {
				best = e
			}
		}
		if best == nil {
			continue
		}
		id := best.info.ID
		s.left[id] -= s.need(row, id)
		if row.NeedsBase() && !slices.Contains(s.pinned[id], row.Base) {
			s.pinned[id] = append(s.pinned[id], row.Base)
		}
		if !slices.Contains(s.pinned[id], row.Name) {
			s.pinned[id] = append(s.pinned[id], row.Name)
		}
		return
	}
}

func (s *staticSpread) need(row structs.Row, runner structs.RunnerID) int64 {
	need := row.MemoryBytes
	if row.NeedsBase() && !slices.Contains(s.pinned[runner], row.Base) {
		base, _ := s.world.table.Row(row.Base)
		need += base.MemoryBytes
	}
	return need
}
