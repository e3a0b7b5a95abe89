package residency

import "time"

// addDrained records the models that a runner of a drained zone holds or loads. They are lost with
// the zone unless another runner holds them.
func (t *snapshot) addDrained(r *runner) {
	if !r.status.Drained {
		return
	}
	for name, held := range r.holdings {
		if held.phase != phaseUnloading {
			t.drained[r.rowOf(name)] = true
		}
	}
}

// isEvacuated reports whether only runners of drained zones hold or load the model.
func (p *Planner) isEvacuated(row Row) bool {
	return p.snapshot.drained[row] && len(p.holders(row)) == 0 && len(p.coming(row)) == 0
}

// evacuationGain returns the number of requests within the horizon that are late unless a model that
// is lost with a drained zone is loaded elsewhere; 0 for other models. Requests don't wait for it
// yet, since the zone's runners still take them for a while. It is weighted like the value of a
// model's last replica, so that no replica is evicted for a model of less value.
func (p *Planner) evacuationGain(row Row) float64 {
	if !p.isEvacuated(row) {
		return 0
	}
	model := p.listedModel(row)
	if model == nil {
		return 0
	}
	demand, weight := p.modelDemand(row), 1.0
	if demand.objective > p.quickestLoad(row, model) {
		weight = inTimeLoadWeight
	}
	return demand.rate * p.options.Horizon.Seconds() * weight
}

// evacuationWeight returns the weight of the gain of a model that is lost with a drained zone: the
// number of loads from its quickest copy in the time of one from the weight store, at most
// dueWeight. Models with copies elsewhere precede others, as several of them load in the time of one
// load from the store.
func (p *Planner) evacuationWeight(row Row) float64 {
	if !p.isEvacuated(row) {
		return 1
	}
	model := p.listedModel(row)
	if model == nil {
		return 1
	}
	quickest := max(time.Millisecond, p.quickestLoad(row, model))
	return min(dueWeight, max(1, model.LoadTime.Seconds()/quickest.Seconds()))
}
