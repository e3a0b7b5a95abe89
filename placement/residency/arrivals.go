package residency

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// noteChange records that the holdings of a runner have changed, and the models and adapters that
// have become ready there.
func (p *Planner) noteChange(before []fleet.LoadedModel, r *runner) {
	p.trackHoldings(r)
	after := r.loaded()
	for _, model := range after {
		former := slices.IndexFunc(before, func(other fleet.LoadedModel) bool { return other.Name == model.Name })
		if former < 0 {
			p.noteArrival(r.rowOf(model.Name))
		}
		for _, adapter := range model.Adapters {
			if former < 0 || !slices.Contains(before[former].Adapters, adapter) {
				p.noteArrival(r.rowOfAdapter(model.Name, adapter))
			}
		}
	}
}

// trackHoldings updates what is derived from the holdings of a runner after a change.
func (p *Planner) trackHoldings(r *runner) {
	r.isDerived = false
	p.index.noteChanged(r)
	if r.isActive() {
		p.active[r] = struct{}{}
	} else {
		delete(p.active, r)
	}
}

func (p *Planner) noteArrival(row Row) { p.arrived[row] = true }

// TakeArrived returns the rows that have become ready at a further runner since the last call.
func (p *Planner) TakeArrived() []Row {
	var arrived []Row
	for row := range p.arrived {
		arrived = append(arrived, row)
	}
	clear(p.arrived)
	return arrived
}

// WaitingRouters returns the names of the routers with requests waiting for one of the rows,
// sorted.
func (p *Planner) WaitingRouters(now time.Time, rows []Row) []string {
	waiting := make(map[string]bool)
	for _, row := range rows {
		demand := p.demands[row]
		if demand == nil {
			continue
		}
		for router, report := range demand.reports {
			if report.demand.Waiting > 0 && now.Sub(report.at) <= p.options.DemandTTL {
				waiting[router] = true
			}
		}
	}
	var names []string
	for router := range waiting {
		names = append(names, router)
	}
	slices.Sort(names)
	return names
}

// IsAnyHeld reports whether some runner holds what waiting requests of the demands need.
func (p *Planner) IsAnyHeld(demands []Demand) bool {
	return slices.ContainsFunc(demands, func(demand Demand) bool {
		return demand.Waiting > 0 && p.isHeld(demand.Row, demand.Zones)
	})
}

// isHeld reports whether requests for the row may be sent to a runner of the zones; nil stands for
// all zones.
func (p *Planner) isHeld(row Row, zones []string) bool {
	if p.snapshot == nil {
		return false
	}
	return slices.ContainsFunc(p.holders(row), func(r *runner) bool {
		if !r.isIn(zones) {
			return false
		}
		held := r.holdings[row.Model]
		if held == nil || held.phase != phaseReady || row.Adapter == "" {
			return held != nil && held.phase == phaseReady
		}
		adapter := held.adapters[row.Adapter]
		return adapter != nil && adapter.phase == phaseReady
	})
}

// NextArrival returns the time until the next adapter load is expected to complete.
func (p *Planner) NextArrival(now time.Time) (time.Duration, bool) {
	var next time.Duration
	isKnown := false
	for r := range p.active {
		for _, held := range r.holdings {
			for _, adapter := range held.adapters {
				if adapter.phase != phaseLoading {
					continue
				}
				in := max(0, adapter.since.Add(p.options.AdapterTime).Sub(now))
				if !isKnown || in < next {
					next, isKnown = in, true
				}
			}
		}
	}
	return next, isKnown
}
