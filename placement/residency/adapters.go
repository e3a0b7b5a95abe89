package residency

import (
	"math"
	"slices"
	"time"
)

// serveAdapter returns the order that loads a requested adapter at a runner that holds its model.
func (p *Planner) serveAdapter(now time.Time, wanted waiting) (Order, bool) {
	row := wanted.row
	if row.Adapter == "" {
		return Order{}, false
	}
	holders := p.holders(row)
	if wanted.zones != nil {
		isElsewhere := func(r *runner) bool { return !r.isIn(wanted.zones) }
		holders = slices.DeleteFunc(slices.Clone(holders), isElsewhere)
	}
	for _, r := range holders {
		if r.holdings[row.Model].adapters[row.Adapter] != nil {
			return Order{}, false
		}
	}
	return p.loadAdapter(now, row, holders)
}

// loadAdapter returns the order that loads the adapter at the runner with the lowest cost, or
// unloads an idle adapter there first.
func (p *Planner) loadAdapter(now time.Time, row Row, holders []*runner) (Order, bool) {
	var best *runner
	var bestVictim adapterName
	lowest := math.Inf(1)
	for _, r := range holders {
		engine := p.engineOf(r)
		if engine == nil || !p.mayOrder(r) || r.incoming() >= maxIncoming {
			continue
		}
		model := engine.ModelByName(row.Model)
		if model == nil {
			continue
		}
		cost := float64(r.adapters())
		var victim adapterName
		if r.adapters() >= engine.MaxAdapters || r.usedMB(engine)+model.AdapterMB > engine.WeightsMB {
			found, age := p.idleAdapter(now, r)
			if found.adapter == "" {
				continue
			}
			victim = found
			cost = 100 + 1/(1+age.Seconds())
		}
		if cost < lowest {
			best, bestVictim, lowest = r, victim, cost
		}
	}
	switch {
	case best == nil:
		return Order{}, false
	case bestVictim.adapter != "":
		return p.send(now, best, Unload, bestVictim.model, bestVictim.adapter), true
	}
	return p.send(now, best, Load, row.Model, row.Adapter), true
}

type adapterName struct{ model, adapter string }

// idleAdapter returns the adapter of the runner that has been idle the longest.
func (p *Planner) idleAdapter(now time.Time, r *runner) (adapterName, time.Duration) {
	var found adapterName
	longest := p.options.IdleTime
	for model, held := range r.holdings {
		for name, adapter := range held.adapters {
			age := now.Sub(adapter.usedAt)
			isOlder := age > longest || age == longest && found.adapter != "" && model+name < found.model+found.adapter
			if adapter.phase != phaseReady || !isOlder {
				continue
			}
			row := Row{Service: r.status.Heartbeat.Service, Model: model, Adapter: name}
			if p.snapshot.rowActive[activeKey{row, r.status.Heartbeat.Instance}] > 0 {
				continue
			}
			found, longest = adapterName{model, name}, age
		}
	}
	return found, longest
}
