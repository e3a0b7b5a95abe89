package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// loadWeight is how many late requests a second of loading counts for, as the runner
	// takes no other order meanwhile. arrivalWeight is the share of the requests that
	// come in that second and are late, if nobody else holds the model.
	loadWeight    = 0.05
	arrivalWeight = 0.3
)

// costOf weighs a load of the model on the runner: the requests that will be late
// because of what must make way, and the time of the load. victim is the first model
// to unload, or "". It is not possible if more is lost than gained.
func (p *Planner) costOf(now time.Time, known *runner, engine *site.Engine, model *site.Model, wanted *need) (cost float64, victim string, isPossible bool) {
	cost = p.placeCost(now, known, engine, model, wanted)
	found := p.weigh(now, known, engine)
	free := found.freeMB - float64(min(keptAdapters, engine.MaxAdapters))*model.AdapterMB
	if free >= model.SizeMB {
		return cost, "", true
	}
	for _, leaving := range found.candidates {
		if leaving.isInUse && !wanted.isDue || wanted.isAhead && !p.isElsewhere(known, leaving.name) {
			continue
		}
		if victim == "" {
			victim = leaving.name
		}
		if leaving.value > wanted.gain {
			break
		}
		cost += leaving.value + evictionCost
		free += leaving.sizeMB
		if free >= model.SizeMB {
			return cost, victim, true
		}
	}
	return 0, "", false
}

// weighed is what loads at a runner are weighed by in one plan. It does not change with the
// model, so that it is worked out once for all models that a plan looks for places for.
type weighed struct {
	freeMB float64
	// candidates may make way, the least valuable first.
	candidates []candidate
	// adapterHarm is how many requests a second must wait for an adapter while the runner
	// takes no order because it loads a model.
	adapterHarm float64
}

// candidate is a model that may make way.
type candidate struct {
	name   string
	sizeMB float64
	value  float64
	// isInUse is set if requests use the model, and no other replica serves them.
	isInUse bool
}

// weigh weighs a runner, once in a plan.
func (p *Planner) weigh(now time.Time, known *runner, engine *site.Engine) *weighed {
	if known.weighed != nil {
		return known.weighed
	}
	found := &weighed{freeMB: engine.WeightsMB - known.usedMB(engine)}
	unobserved := p.unobserved(now)
	for name, held := range known.holdings {
		row := known.rowOf(name)
		if replicas := len(p.holders(row)); replicas > 0 {
			found.adapterHarm += p.tally.adapterRates[row] / float64(replicas) * adapterMiss
		}
		listed := engine.ModelByName(name)
		switch {
		case listed == nil:
			found.candidates = append(found.candidates, candidate{name: name, sizeMB: engine.WeightsMB})
		case held.phase != phaseReady:
		case p.isIdle(now, known, name, held):
			found.candidates = append(found.candidates, candidate{name: name, sizeMB: listed.SizeMB, value: p.value(known, listed) * unobserved})
		case p.isSpare(known, row):
			found.candidates = append(found.candidates, candidate{name: name, sizeMB: listed.SizeMB, value: p.value(known, listed)*unobserved + drainCost})
		case p.hadItsTurn(now, row, held):
			found.candidates = append(found.candidates, candidate{name, listed.SizeMB, p.value(known, listed)*unobserved + drainCost, true})
		}
	}
	slices.SortFunc(found.candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.value, b.value), strings.Compare(a.name, b.name))
	})
	known.weighed = found
	return found
}

// adapterMiss is the part of the requests for adapters that need one which the runner
// does not hold yet.
const adapterMiss = 0.5

// placeCost weighs a load of the model on the runner by the time that it takes and by how
// well the runner can serve the model beside what it holds.
func (p *Planner) placeCost(now time.Time, known *runner, engine *site.Engine, model *site.Model, wanted *need) float64 {
	found := p.weigh(now, known, engine)
	spread := p.spreadOf(wanted)
	rate := wanted.shareOf(known, spread.rate)
	seconds := loadTime(known, model).Seconds()
	horizon := p.options.Horizon.Seconds()
	cost := seconds*loadWeight + spread.zoneCost(known, wanted.row.Model)
	cost += seconds * found.adapterHarm
	if wanted.isWaitedFor {
		cost += seconds * arrivalWeight * rate
	}
	switch {
	case wanted.borne > 0:
		lacking := wanted.gain / horizon
		cost += (known.harmToOthers(rate) + max(0, lacking-known.room())) * horizon
	case wanted.isWaitedFor:
		cost += known.addedLate(rate) * horizon
	}
	return cost + slowPlaceHarm*rate*horizon*(known.usual/known.borne-1)
}

// slowPlaceHarm is how much of a late request one is that is in time, but takes twice as long as
// at a usual runner: little, so that it decides between places that are alike otherwise, and so that
// models in demand go to the quick ones.
const slowPlaceHarm = 0.01

// room is how many more requests a second the runner bears.
func (r *runner) room() float64 { return max(0, r.borne-r.load) }

// harmToOthers is how many requests a second for what the runner has are late that were not, if it
// gets so many more for a model whose other replicas get fewer.
func (r *runner) harmToOthers(rate float64) float64 {
	return r.load * (r.lateAt(r.load+rate) - r.lateAt(r.load))
}

// shareOf is how many requests a second of the demand for the model a new replica at a runner
// gets beside those that there are: at first all that a usual runner bears.
func (n *need) shareOf(known *runner, demand float64) float64 {
	if n.borne <= 0 {
		return min(demand, known.usual)
	}
	return demand * known.borne / (n.borne + known.borne)
}

// addedLate is how many requests a second are late at a runner that were not, if it gets so many
// more: those for all of its models share its time.
func (r *runner) addedLate(rate float64) float64 {
	both := r.load + rate
	return both*r.lateAt(both) - r.load*r.lateAt(r.load)
}

// isIdle reports whether no request uses the model at the runner, nor waits for it.
func (p *Planner) isIdle(now time.Time, known *runner, name string, held *holding) bool {
	if now.Sub(held.usedAt) < p.options.IdleTime {
		return false
	}
	row := known.rowOf(name)
	if p.tally.active[activeKey{row, known.status.Heartbeat.Instance}] > 0 {
		return false
	}
	return p.tally.waiting[row] == 0 || len(p.holders(row)) > 1
}

// isSpare reports whether the other replicas of the model can serve the demand for it. Then
// this one may make way though requests use it: the runner ends these first, and new ones
// go to the others.
func (p *Planner) isSpare(known *runner, row Row) bool {
	others := p.holdersBut(known, row)
	return len(others) > 0 && p.modelDemand(row).rate <= spareShare*p.capacityFor(row, others)
}

// capacityFor is what some of a model's replicas bear of the demand for it.
func (p *Planner) capacityFor(row Row, runners []*runner) float64 {
	return p.capacity(runners, p.modelDemand(row).rate, totalBorne(p.replicas(row)))
}

// holdersBut lists the runners but one on which requests may use the model.
func (p *Planner) holdersBut(known *runner, row Row) []*runner {
	return runnersBut(p.holders(row), known)
}

const (
	// spareShare is how much of what the other replicas bear the demand may be for a replica
	// in use to make way: less than all of it, since demand comes in bursts.
	spareShare = 0.7
	// drainCost is what it costs to take a model away that requests use: the runner ends
	// them first and takes no other order for the two seconds of a usual stream, at the
	// weight of a load and of the requests that arrive at it in vain.
	drainCost = 0.3
	// evictionCost makes a runner with room preferable to one without.
	evictionCost = 0.05
	// patientHarm is how much of a late request it is to let a request wait for a load
	// that its objective leaves time for.
	patientHarm = 0.2
	// spareValue keeps replicas of models with some demand a little longer than others.
	spareValue = 0.02
)

// leastObserved bounds how much is made of the first requests of all.
const leastObserved = time.Second

// unobserved is by how much the averages of the demand are too low because the planner
// has not observed it for long: a new leader must not take every replica for idle.
func (p *Planner) unobserved(now time.Time) float64 {
	observed := max(leastObserved, now.Sub(p.observedFrom))
	return 1 / (1 - math.Exp(-observed.Seconds()/(p.options.RateTime.Seconds()*recentShare)))
}

// value is how many requests of the horizon are expected to be late without the
// runner's replica of the model. The last replica of an idle model has a value as
// well: any of them may be asked for next.
func (p *Planner) value(known *runner, model *site.Model) float64 {
	row := known.rowOf(model.Name)
	demand := p.modelDemand(row)
	horizon := p.options.Horizon.Seconds()
	others := p.holdersBut(known, row)
	if len(others) == 0 {
		harm := 1.0
		if demand.objective > loadTime(known, model) {
			harm = patientHarm
		}
		return (demand.rate + p.tally.idleRates[row.Service]) * horizon * harm
	}
	excess := demand.rate - p.capacityFor(row, others)
	return min(max(0, excess), known.most)*horizon + demand.rate*spareValue + p.zoneValue(known, row)
}
