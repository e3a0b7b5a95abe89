package residency

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// unloadTime is what it takes until an unused model has made way: an order, its answer
// and the runner's next heartbeat.
const unloadTime = 100 * time.Millisecond

// roomTime is what it takes until one of the models in use at a runner is not, as a rule:
// the rest of a stream of some seconds, and Options.IdleTime.
const roomTime = 1500 * time.Millisecond

// forecast works out when the models that requests wait for should be ready, after the
// needs have been gone through.
func (p *Planner) forecast(now time.Time, needs []need) {
	p.readyAt = make(map[Row]time.Time)
	p.unmet = p.unmet[:0]
	for row := range p.tally.coming {
		if !p.isServed(now, row, nil) {
			p.readyAt[row] = now.Add(p.comingIn(now, row))
		}
	}
	before := &queues{store: make(map[string]int), turns: make(map[*runner]time.Duration)}
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

// comingIn is how long the quickest load of a model under way still takes.
func (p *Planner) comingIn(now time.Time, row Row) time.Duration {
	var quickest time.Duration = -1
	for _, known := range p.coming(row) {
		if held := known.holdings[row.Model]; held != nil {
			if left := p.remaining(now, known, row.Model, held); quickest < 0 || left < quickest {
				quickest = left
			}
		}
	}
	return max(0, quickest)
}

// queues are the needs that were gone through before one.
type queues struct {
	// store counts the models of each service that wait for the weight store.
	store map[string]int
	// turns is how long the loads from copies take that each runner should begin before.
	turns map[*runner]time.Duration
}

// readyIn is how long it takes until a model is ready that is not being loaded yet. free says
// how long the loads from its weight store under way still take. The model is added to what
// later ones wait for.
func (p *Planner) readyIn(now time.Time, wanted need, before *queues, free []time.Duration) (time.Duration, bool) {
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
		orderedIn += roomTime
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

// copyReadyIn is how long a load from a copy takes at the runner where it ends first, the turns
// of others there included; negative if there is none.
func (p *Planner) copyReadyIn(now time.Time, wanted need, model *site.Model, before *queues) time.Duration {
	var first *runner
	var readyIn time.Duration = -1
	for _, known := range p.tally.copies[wanted.row] {
		in := p.occupiedFor(now, known) + before.turns[known] + unloadTime + loadTime(known, model)
		if first == nil || in < readyIn {
			first, readyIn = known, in
		}
	}
	if first != nil && wanted.obstacle != ObstacleNone {
		before.turns[first] += unloadTime + loadTime(first, model)
	}
	return readyIn
}

// storesFree lists for each service how long the loads under way from its weight store still
// take, the one that ends first at the beginning.
func (p *Planner) storesFree(now time.Time) map[string][]time.Duration {
	free := make(map[string][]time.Duration)
	for row, runners := range p.tally.coming {
		for _, known := range runners {
			if held := known.holdings[row.Model]; held != nil && held.fromStore {
				free[row.Service] = append(free[row.Service], p.remaining(now, known, row.Model, held))
			}
		}
	}
	for _, left := range free {
		slices.Sort(left)
	}
	return free
}

// Forecast is how long it should take until the model of a row is ready.
type Forecast struct {
	Row Row
	In  time.Duration
}

// Forecasts lists what the last plan expects for those of the rows that are waited for
// and not ready.
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
	// IsWaitedFor is set if requests wait for it.
	IsWaitedFor bool
}

// Unmet lists what the last plan could not bring about, the largest gain first.
func (p *Planner) Unmet() []UnmetNeed {
	listed := make([]UnmetNeed, len(p.unmet))
	for i, wanted := range p.unmet {
		listed[i] = UnmetNeed{wanted.row, wanted.gain, wanted.obstacle, wanted.isWaitedFor}
	}
	return listed
}
