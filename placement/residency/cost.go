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
	// loadWeight is the cost of a second of loading in late requests, as the runner takes no other
	// order meanwhile. arrivalWeight is the share of the requests that arrive in that second and
	// are late, if no other runner holds the model.
	loadWeight    = 0.05
	arrivalWeight = 0.3
)

// costOf returns the cost of a load of the model at the runner, in late requests: those for evicted
// models, and the time of the load. victim is the first model to unload, or "". The load is not
// possible if it costs more than it gains.
func (p *Planner) costOf(now time.Time, r *runner, engine *site.Engine, model *site.Model, wanted *need) (cost float64, victim string, isPossible bool) {
	cost = p.placementCost(now, r, engine, model, wanted)
	found := p.evictionsAt(now, r, engine)
	free := found.freeMB - float64(min(reservedAdapters, engine.MaxAdapters))*model.AdapterMB
	if free >= model.SizeMB {
		return cost, "", true
	}
	for _, leaving := range found.candidates {
		if leaving.isInUse && !wanted.isDue || wanted.isPrewarm && !p.hasOtherSource(r, leaving.name) {
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

// evictions holds the inputs to the cost of a load at a runner that don't depend on the model. It is
// computed once in each plan.
type evictions struct {
	freeMB float64
	// candidates are the models that may be evicted, the least valuable first.
	candidates []candidate
	// adapterWaitRate is the rate of requests that would wait for an adapter while the runner loads
	// a model and takes no order.
	adapterWaitRate float64
}

// candidate is a model that may be evicted.
type candidate struct {
	name   string
	sizeMB float64
	value  float64
	// isInUse is set if requests use the model and no other replica can serve them.
	isInUse bool
}

// evictionsAt returns the evictions of a runner, computed once in each plan.
func (p *Planner) evictionsAt(now time.Time, r *runner, engine *site.Engine) *evictions {
	if r.evictions != nil {
		return r.evictions
	}
	found := &evictions{freeMB: engine.WeightsMB - r.usedMB(engine)}
	warmUp := p.warmUpFactor(now)
	for name, held := range r.holdings {
		row := r.rowOf(name)
		if replicas := len(p.holders(row)); replicas > 0 {
			found.adapterWaitRate += p.snapshot.adapterRates[row] / float64(replicas) * adapterMissShare
		}
		listed := engine.ModelByName(name)
		switch {
		case listed == nil:
			found.candidates = append(found.candidates, candidate{name: name, sizeMB: engine.WeightsMB})
		case held.phase != phaseReady:
		case p.isIdle(now, r, name, held):
			found.candidates = append(found.candidates, candidate{name: name, sizeMB: listed.SizeMB, value: p.value(r, listed) * warmUp})
		case p.isRedundant(r, row):
			found.candidates = append(found.candidates, candidate{name: name, sizeMB: listed.SizeMB, value: p.value(r, listed)*warmUp + drainCost})
		case p.isPreemptible(now, row, held):
			found.candidates = append(found.candidates, candidate{name, listed.SizeMB, p.value(r, listed)*warmUp + drainCost, true})
		}
	}
	slices.SortFunc(found.candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.value, b.value), strings.Compare(a.name, b.name))
	})
	r.evictions = found
	return found
}

// adapterMissShare is the share of the requests with an adapter whose adapter is not loaded yet.
const adapterMissShare = 0.5

// placementCost returns the cost of a load of the model at the runner that is due to its duration,
// its zone and the capacity of the runner.
func (p *Planner) placementCost(now time.Time, r *runner, engine *site.Engine, model *site.Model, wanted *need) float64 {
	found := p.evictionsAt(now, r, engine)
	spread := p.spreadOf(wanted)
	rate := wanted.newReplicaRate(r, spread.rate)
	seconds := loadTime(r, model).Seconds()
	horizon := p.options.Horizon.Seconds()
	cost := seconds*loadWeight + spread.zoneCost(r, wanted.row.Model)
	cost += seconds * found.adapterWaitRate
	if wanted.isWaitedFor {
		cost += seconds * arrivalWeight * rate
	}
	switch {
	case wanted.capacity > 0:
		lacking := wanted.gain / horizon
		cost += (r.addedLateOthers(rate) + max(0, lacking-r.spareCapacity())) * horizon
	case !wanted.isPrewarm:
		// Requests wait for the model, or will once the drained zone that holds it is gone.
		cost += r.addedLate(rate) * horizon
	}
	return cost + slowRunnerWeight*rate*horizon*(r.typicalCapacity/r.capacity-1)
}

// slowRunnerWeight is the cost, in late requests, of a request in time that takes twice as long as
// at a typical runner. It breaks ties between runners in favor of the fast ones.
const slowRunnerWeight = 0.01

// spareCapacity returns the unused capacity of the runner in requests per second.
func (r *runner) spareCapacity() float64 { return max(0, r.capacity-r.load) }

// addedLateOthers returns the increase in late requests per second for the models of the runner if
// it gets the additional rate for a model whose other replicas get less.
func (r *runner) addedLateOthers(rate float64) float64 {
	return r.load * (r.lateShare(r.load+rate) - r.lateShare(r.load))
}

// newReplicaRate returns the part of the demand for the model that a new replica at the runner
// gets; for a first replica, up to the capacity of a typical runner.
func (n *need) newReplicaRate(r *runner, demand float64) float64 {
	if n.capacity <= 0 {
		return min(demand, r.typicalCapacity)
	}
	return demand * r.capacity / (n.capacity + r.capacity)
}

// addedLate returns the increase in late requests per second at the runner, over all of its models,
// if it gets the additional rate.
func (r *runner) addedLate(rate float64) float64 {
	both := r.load + rate
	return both*r.lateShare(both) - r.load*r.lateShare(r.load)
}

// isIdle reports whether no request uses or waits for the model at the runner.
func (p *Planner) isIdle(now time.Time, r *runner, name string, held *holding) bool {
	if now.Sub(held.usedAt) < p.options.IdleTime {
		return false
	}
	row := r.rowOf(name)
	if p.snapshot.active[activeKey{row, r.status.Heartbeat.Instance}] > 0 {
		return false
	}
	return p.snapshot.waiting[row] == 0 || len(p.holders(row)) > 1
}

// isRedundant reports whether the other replicas of the model can serve its demand. Then this one
// may be evicted while in use: the runner ends its requests first, and new ones go to the others.
// Cold replicas don't count, so that replicas that served for a drained zone stay until its runners
// are warm.
func (p *Planner) isRedundant(r *runner, row Row) bool {
	others := p.warmHoldersExcept(r, row)
	return len(others) > 0 && p.modelDemand(row).rate <= redundantUtilization*p.replicaCapacity(row, others)
}

// replicaCapacity returns the part of the demand for the model that the runners can serve.
func (p *Planner) replicaCapacity(row Row, runners []*runner) float64 {
	return p.availableCapacity(runners, p.modelDemand(row).rate, totalCapacity(p.replicas(row)))
}

// holdersExcept returns the other runners on which requests may use the model.
func (p *Planner) holdersExcept(r *runner, row Row) []*runner {
	return runnersExcept(p.holders(row), r)
}

const (
	// redundantUtilization is the largest utilization of the other replicas at which a replica in
	// use may be evicted. It leaves a margin for bursts.
	redundantUtilization = 0.7
	// drainCost is the cost of evicting a model in use: the runner ends its requests first and
	// takes no other order for the two seconds of a typical stream.
	drainCost = 0.3
	// evictionCost makes a runner with free memory preferable to one without.
	evictionCost = 0.05
	// inTimeLoadWeight is the cost, in late requests, of a request that waits for a load within its
	// objective.
	inTimeLoadWeight = 0.2
	// spareValue keeps replicas of models with some demand longer than others.
	spareValue = 0.02
)

// minObserved bounds warmUpFactor.
const minObserved = time.Second

// warmUpFactor returns the factor by which the averaged demand is too low because the planner has
// not observed it for long. Without it, a new leader would take every replica for idle.
func (p *Planner) warmUpFactor(now time.Time) float64 {
	observed := max(minObserved, now.Sub(p.observedFrom))
	return 1 / (1 - math.Exp(-observed.Seconds()/(p.options.RateTime.Seconds()*recentShare)))
}

// value returns the number of requests within the horizon that are expected to be late without the
// runner's replica of the model. The last replica of an idle model has a value as well, since any
// model may be requested next.
func (p *Planner) value(r *runner, model *site.Model) float64 {
	row := r.rowOf(model.Name)
	demand := p.modelDemand(row)
	horizon := p.options.Horizon.Seconds()
	others := p.warmHoldersExcept(r, row)
	if len(others) == 0 {
		weight := 1.0
		if demand.objective > loadTime(r, model) {
			weight = inTimeLoadWeight
		}
		return (demand.rate + p.snapshot.idleRates[row.Service]) * horizon * weight
	}
	excess := demand.rate - p.replicaCapacity(row, others)
	return min(max(0, excess), r.maxRate)*horizon + demand.rate*spareValue + p.zoneValue(r, row)
}
