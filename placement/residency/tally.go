package residency

import "time"

// tally sums up, once for each plan, what the decisions of the plan ask for again and
// again. The rows name no adapter.
type tally struct {
	sorted []*runner
	// adapterRates is the part of the demand for a model that names an adapter.
	adapterRates map[Row]float64
	// demands and waiting are by model, active by model and instance.
	demands map[Row]modelDemand
	waiting map[Row]int
	active  map[activeKey]int
	// rowActive is by row, which may name an adapter, and instance.
	rowActive map[activeKey]int
	holders   map[Row][]*runner
	// coming lists the runners that load a model.
	coming map[Row][]*runner
}

type activeKey struct {
	row      Row
	instance string
}

// modelOf is the row of the model that a row needs.
func modelOf(row Row) Row { return Row{Service: row.Service, Model: row.Model} }

// takeTally sums up the demand and what the runners hold.
func (p *Planner) takeTally(now time.Time) {
	t := &tally{
		sorted:       p.sorted(),
		adapterRates: make(map[Row]float64),
		demands:      make(map[Row]modelDemand),
		waiting:      make(map[Row]int),
		active:       make(map[activeKey]int),
		rowActive:    make(map[activeKey]int),
		holders:      make(map[Row][]*runner),
		coming:       make(map[Row][]*runner),
	}
	recent := make(map[Row]float64)
	for row, demand := range p.demands {
		demand.decay(now, p.options.RateTime)
		demand.prune(now, p.options.DemandLife)
		model := modelOf(row)
		total := t.demands[model]
		total.rate += demand.rate
		recent[model] += demand.recent
		if row.Adapter != "" {
			t.adapterRates[model] += demand.rate
		}
		if demand.objective > 0 && (total.objective == 0 || demand.objective < total.objective) {
			total.objective = demand.objective
		}
		t.demands[model] = total
		for _, report := range demand.reports {
			t.waiting[model] += report.demand.Waiting
			for _, each := range report.demand.Active {
				t.active[activeKey{model, each.Instance}] += each.Count
				t.rowActive[activeKey{row, each.Instance}] += each.Count
			}
		}
	}
	for model, total := range t.demands {
		total.rate = max(total.rate, recentWeight*recent[model]+(1-recentWeight)*total.rate)
		t.demands[model] = total
	}
	for _, known := range t.sorted {
		t.addHoldings(known)
	}
	p.tally = t
}

// recentWeight is the weight of the short average when demand rises.
const recentWeight = 0.75

func (t *tally) addHoldings(known *runner) {
	if known.status.Leaving {
		return
	}
	for name, held := range known.holdings {
		row := Row{Service: known.status.Heartbeat.Service, Model: name}
		switch held.phase {
		case phaseReady:
			t.holders[row] = append(t.holders[row], known)
		case phaseLoading, phaseUncertain:
			t.coming[row] = append(t.coming[row], known)
		}
	}
}

// noteOrder brings the tally up to an order about a model.
func (t *tally) noteOrder(known *runner, operation Operation, model string) {
	row := Row{Service: known.status.Heartbeat.Service, Model: model}
	if operation == Load {
		t.coming[row] = append(t.coming[row], known)
		return
	}
	var others []*runner
	for _, holder := range t.holders[row] {
		if holder != known {
			others = append(others, holder)
		}
	}
	t.holders[row] = others
}
