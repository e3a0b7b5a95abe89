package residency

import (
	"math"
	"slices"
	"time"
)

// serveAdapter finds the order that loads a waited-for adapter where its model is.
func (p *Planner) serveAdapter(now time.Time, wanted waiting) (Order, bool) {
	row := wanted.row
	if row.Adapter == "" {
		return Order{}, false
	}
	holders := p.holders(row)
	if wanted.zones != nil {
		isElsewhere := func(known *runner) bool { return !known.isIn(wanted.zones) }
		holders = slices.DeleteFunc(slices.Clone(holders), isElsewhere)
	}
	for _, known := range holders {
		if known.holdings[row.Model].adapters[row.Adapter] != nil {
			return Order{}, false
		}
	}
	return p.loadAdapter(now, row, holders)
}

// loadAdapter finds the runner on which an adapter costs least.
func (p *Planner) loadAdapter(now time.Time, row Row, holders []*runner) (Order, bool) {
	var best *runner
	var bestVictim adapterName
	lowest := math.Inf(1)
	for _, known := range holders {
		engine := p.engineOf(known)
		if engine == nil || !p.mayOrder(known) || known.incoming() >= maxIncoming {
			continue
		}
		model := engine.ModelByName(row.Model)
		if model == nil {
			continue
		}
		cost := float64(known.adapters())
		var victim adapterName
		if known.adapters() >= engine.MaxAdapters || known.usedMB(engine)+model.AdapterMB > engine.WeightsMB {
			found, age := p.idleAdapter(now, known)
			if found.adapter == "" {
				continue
			}
			victim = found
			cost = 100 + 1/(1+age.Seconds())
		}
		if cost < lowest {
			best, bestVictim, lowest = known, victim, cost
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

// idleAdapter returns the adapter of the runner that has been unused the longest.
func (p *Planner) idleAdapter(now time.Time, known *runner) (adapterName, time.Duration) {
	var found adapterName
	longest := p.options.IdleTime
	for model, held := range known.holdings {
		for name, adapter := range held.adapters {
			age := now.Sub(adapter.usedAt)
			isOlder := age > longest || age == longest && found.adapter != "" && model+name < found.model+found.adapter
			if adapter.phase != phaseReady || !isOlder {
				continue
			}
			row := Row{Service: known.status.Heartbeat.Service, Model: model, Adapter: name}
			if p.tally.rowActive[activeKey{row, known.status.Heartbeat.Instance}] > 0 {
				continue
			}
			found, longest = adapterName{model, name}, age
		}
	}
	return found, longest
}
