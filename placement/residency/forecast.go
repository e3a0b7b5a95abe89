package residency

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// unloadTime is the time until an unused model is unloaded: an order, its answer and the next
// heartbeat of the runner.
const unloadTime = 100 * time.Millisecond

// useTime is the typical time until one of the models in use at a runner becomes idle: the rest of
// a stream of some seconds, and Options.IdleTime.
const useTime = 1500 * time.Millisecond

// forecast computes when the models that requests wait for should be ready, after the plan has
// handled the needs.
func (p *Planner) forecast(now time.Time, needs []need) {
	p.readyAt = make(map[Row]time.Time)
	p.unmet = p.unmet[:0]
	for row := range p.snapshot.coming {
		if !p.isServed(now, row, nil) {
			p.readyAt[row] = now.Add(p.loadingLeft(now, row))
		}
	}
	p.forecastCold(now)
	before := &backlog{store: make(map[string]int), copies: make(map[*runner]time.Duration)}
	free := p.storesFree(now)
	for _, wanted := range needs {
		if wanted.obstacle != ObstacleNone {
			p.unmet = append(p.unmet, wanted)
		}
		comingAt, isComing := p.readyAt[wanted.row]
		if isComing && !wanted.isFromCopy || !wanted.isWaitedFor {
			continue
		}
		in, isKnown := p.readyIn(now, wanted, before, free[wanted.row.Service])
		if isKnown && (!isComing || now.Add(in).Before(comingAt)) {
			p.readyAt[wanted.row] = now.Add(in)
		}
	}
}

// forecastCold forecasts when the requests that wait for models at cold runners alone are served: by
// these runners, or by a load in progress elsewhere if that ends sooner.
func (p *Planner) forecastCold(now time.Time) {
	if !p.snapshot.hasCold {
		return
	}
	for row, waiting := range p.snapshot.waiting {
		if waiting == 0 || !p.isServed(now, row, nil) {
			continue
		}
		in, isKnown := p.coldReadyIn(row)
		if !isKnown {
			continue
		}
		if len(p.coming(row)) > 0 {
			in = min(in, p.loadingLeft(now, row))
		}
		p.readyAt[row] = now.Add(in)
	}
}

// loadingLeft returns the remaining time of the load of the model that ends first.
func (p *Planner) loadingLeft(now time.Time, row Row) time.Duration {
	var quickest time.Duration = -1
	for _, r := range p.coming(row) {
		if held := r.holdings[row.Model]; held != nil {
			if left := p.remaining(now, r, row.Model, held); quickest < 0 || left < quickest {
				quickest = left
			}
		}
	}
	return max(0, quickest)
}

// backlog holds the needs that precede another one.
type backlog struct {
	// store is the number of models of each service that wait for the weight store.
	store map[string]int
	// copies is the time of the preceding loads from copies at each runner.
	copies map[*runner]time.Duration
}

// readyIn returns the time until a model that is not being loaded yet is ready, and adds the model
// to the backlog. free lists the remaining times of the loads in progress from its weight store.
func (p *Planner) readyIn(now time.Time, wanted need, before *backlog, free []time.Duration) (time.Duration, bool) {
	service := wanted.row.Service
	store := p.store(service)
	if store == nil {
		return 0, false
	}
	model := p.document.Service(service).Engine.ModelByName(wanted.row.Model)
	if model == nil {
		return 0, false
	}
	fromCopy := p.copyReadyIn(now, wanted, model, before)
	orderedIn := max(0, p.ordersFrom.Sub(now))
	if wanted.obstacle == ObstacleRoom {
		orderedIn += useTime
	}
	if fromCopy >= 0 {
		return orderedIn + fromCopy, true
	}
	if wanted.obstacle == ObstacleNone {
		return unloadTime + store.Expected(model.LoadTime), true
	}
	place := before.store[service]
	before.store[service]++
	if len(free) == 0 {
		rounds := time.Duration(place / store.Limit())
		return orderedIn + unloadTime + rounds*model.LoadTime + store.Expected(model.LoadTime), true
	}
	rounds := time.Duration(place / len(free))
	return max(orderedIn, free[place%len(free)]) + rounds*model.LoadTime + unloadTime + model.LoadTime, true
}

// copyReadyIn returns the time until the model is ready by the load from a copy that ends first,
// preceding loads at that runner included; negative if there is no copy.
func (p *Planner) copyReadyIn(now time.Time, wanted need, model *site.Model, before *backlog) time.Duration {
	var first *runner
	var readyIn time.Duration = -1
	for _, r := range p.snapshot.copies[wanted.row] {
		in := p.occupiedFor(now, r) + before.copies[r] + unloadTime + loadTime(r, model)
		if first == nil || in < readyIn {
			first, readyIn = r, in
		}
	}
	if first != nil && wanted.obstacle != ObstacleNone {
		before.copies[first] += unloadTime + loadTime(first, model)
	}
	return readyIn
}

// storesFree returns the remaining times of the loads in progress from the weight store of each
// service, in ascending order.
func (p *Planner) storesFree(now time.Time) map[string][]time.Duration {
	free := make(map[string][]time.Duration)
	for row, runners := range p.snapshot.coming {
		for _, r := range runners {
			if held := r.holdings[row.Model]; held != nil && held.fromStore {
				free[row.Service] = append(free[row.Service], p.remaining(now, r, row.Model, held))
			}
		}
	}
	for _, left := range free {
		slices.Sort(left)
	}
	return free
}

// Forecast is the expected time until the model of a row is ready.
type Forecast struct {
	Row Row
	In  time.Duration
}

// Forecasts returns the forecasts of the last plan for those of the rows that have waiting requests
// and are not ready.
func (p *Planner) Forecasts(now time.Time, demands []Demand) []Forecast {
	var found []Forecast
	for _, demand := range demands {
		if demand.Waiting == 0 {
			continue
		}
		if readyAt, isKnown := p.readyAt[modelOf(demand.Row)]; isKnown {
			found = append(found, Forecast{Row: demand.Row, In: max(0, readyAt.Sub(now))})
		}
	}
	return found
}

// UnmetNeed is a model that should be loaded and is not.
type UnmetNeed struct {
	Row      Row
	Gain     float64
	Obstacle Obstacle
	// IsWaitedFor is set if requests wait for the model.
	IsWaitedFor bool
}

// Unmet returns the needs that the last plan could not meet, the largest gain first.
func (p *Planner) Unmet() []UnmetNeed {
	listed := make([]UnmetNeed, len(p.unmet))
	for i, wanted := range p.unmet {
		listed[i] = UnmetNeed{wanted.row, wanted.gain, wanted.obstacle, wanted.isWaitedFor}
	}
	return listed
}
