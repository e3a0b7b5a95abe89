package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// need is a model that should get a further replica.
type need struct {
	row Row
	// gain is the number of late requests within the horizon that the load would avoid.
	gain float64
	// capacity is the total capacity of the replicas, those being loaded included, in requests per
	// second.
	capacity float64
	// isWaitedFor is set if requests wait that no runner can serve.
	isWaitedFor bool
	priority    int
	// oldest is the waiting time of the oldest request.
	oldest time.Duration
	// isDue is set if a request becomes late unless the model is loaded next.
	isDue bool
	// isUnreachable is set if no runner has the model, or its requests are late and no runner with
	// a copy can evict enough to load it.
	isUnreachable bool
	// isFromCopy is set if the model may only be loaded from a copy: it is already being loaded
	// from the weight store, or the replica only protects against the loss of a zone and must not
	// delay requests that wait for the store.
	isFromCopy bool
	// isOnlyForLoss is set if the replica only provides for the loss of a zone or region.
	isOnlyForLoss bool
	// weight multiplies the gain in the rank; see evacuationWeight.
	weight float64
	// isPrewarm is set if there is no demand for the model yet.
	isPrewarm bool
	// zones lists the zones in which the model is to be loaded; nil for any.
	zones []string
	// obstacle is the reason why the plan did not load the model.
	obstacle Obstacle
	// coldLeft is the time until a cold replica is warm, from which the gain is only warmGain; 0 if
	// it doesn't depend on cold replicas.
	coldLeft time.Duration
	warmGain float64
	// spread is computed when a placement is searched; nil before.
	spread *spread
}

// needs returns the models that should be loaded, sorted by byRank.
func (p *Planner) needs(now time.Time) []need {
	found, others := p.waitingNeeds(now)
	for row := range p.snapshot.demands {
		p.addReplicaNeed(found, row)
	}
	var listed []need
	for _, each := range found {
		others = append(others, each)
	}
	for _, each := range others {
		each.capacity = totalCapacity(p.replicas(each.row))
		if each.isWaitedFor {
			each.gain += p.modelDemand(each.row).rate * p.options.Horizon.Seconds()
			each.gain *= urgency(each.priority)
			each.isDue = p.isDue(each)
			each.isUnreachable = p.isUnreachable(now, each)
			if each.isUnreachable {
				p.snapshot.unreachable[each.row] = max(each.gain, p.snapshot.unreachable[each.row])
			}
		}
		each.weight = p.evacuationWeight(each.row)
		listed = append(listed, *each)
	}
	listed = append(listed, p.prewarmNeeds(now, listed)...)
	slices.SortFunc(listed, byRank)
	return listed
}

// waitingNeeds returns the needs of waiting requests: one for each model, and further ones for requests
// for the same model that a load in the zones of the first doesn't serve.
func (p *Planner) waitingNeeds(now time.Time) (found map[Row]*need, others []*need) {
	found = make(map[Row]*need)
	for _, wanted := range p.waits(now) {
		row := modelOf(wanted.row)
		isComing := isAnyIn(p.coming(row), wanted.zones)
		if p.isServed(now, row, wanted.zones) || isComing && !p.isCopyQuicker(now, row) {
			continue
		}
		each := found[row]
		if each != nil && !isWithin(each.zones, wanted.zones) && !isWithin(wanted.zones, each.zones) {
			each = needOf(others, row, wanted.zones)
		}
		if each == nil {
			each = &need{row: row, isWaitedFor: true, priority: wanted.priority, isFromCopy: isComing}
			if found[row] == nil {
				found[row] = each
			} else {
				others = append(others, each)
			}
		}
		each.add(wanted)
	}
	return found, others
}

// isAnyIn reports whether one of the runners is in one of the zones; nil stands for all zones.
func isAnyIn(runners []*runner, zones []string) bool {
	return slices.ContainsFunc(runners, func(r *runner) bool { return r.isIn(zones) })
}

// isIn reports whether the runner is in one of the zones; nil stands for all zones.
func (r *runner) isIn(zones []string) bool {
	return zones == nil || slices.Contains(zones, r.status.Heartbeat.Zone)
}

// byRank sorts needs by descending rank, then by priority and name.
func byRank(a, b need) int {
	return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(a.priority, b.priority), strings.Compare(a.row.Model, b.row.Model), slices.Compare(a.zones, b.zones))
}

// isCopyQuicker reports whether the loads of the model in progress take longer than the horizon, and
// a load from a copy would end sooner. For shorter loads, a second replica of a cold model would
// only evict another model.
func (p *Planner) isCopyQuicker(now time.Time, row Row) bool {
	left := p.loadingLeft(now, row)
	if left <= p.options.Horizon {
		return false
	}
	for _, r := range p.snapshot.copies[row] {
		engine := p.engineOf(r)
		if engine == nil {
			continue
		}
		model := engine.ModelByName(row.Model)
		if model != nil && r.holdings[row.Model] == nil && unloadTime+loadTime(r, model) < left {
			return true
		}
	}
	return false
}

// agingTime is the waiting time that doubles the weight of a request, so that rare models don't
// starve.
const agingTime = 3 * time.Second

// priorityStep is the ratio of the weight of a request to that of one with the next more urgent
// priority: urgent requests go first, but many less urgent ones go before few. The document ranks
// routes without saying how much more one is worth (docs/design/further.md).
const priorityStep = 0.4

// urgency returns the weight of waiting requests by the priority of their route; 0 is the most
// urgent.
func urgency(priority int) float64 {
	return 2 * math.Pow(priorityStep, float64(min(max(0, priority), 9)))
}

// addReplicaNeed adds the model to the needs if it should have a further replica.
func (p *Planner) addReplicaNeed(found map[Row]*need, row Row) {
	if found[row] != nil {
		return
	}
	if gain := p.evacuationGain(row); gain > 0 {
		found[row] = &need{row: row, gain: gain}
		return
	}
	overload, zoneGain, regionGain := p.overload(row), p.zoneGain(row), p.regionGain(row)
	if gain := overload + zoneGain + regionGain; gain > 0 {
		// A replica for a region may come from the weight store while no other load uses it.
		mayUseStore := overload > 0 || regionGain > 0 && p.isStoreIdle(row.Service)
		found[row] = &need{row: row, gain: gain, isFromCopy: !mayUseStore, isOnlyForLoss: overload == 0}
		p.limitToCold(found[row], overload)
	}
}

const (
	// redundantRate is the demand in requests per second from which a model should have a second
	// replica, and redundantGain the share of its requests that the replica is worth.
	redundantRate = 1
	redundantGain = 0.1
)

// overload returns the number of requests within the horizon that are late for lack of replicas,
// including those being loaded: requests beyond their capacity, and late ones at overloaded or slow
// runners. It is not limited to what one replica more would serve, so that a model with one replica
// for 130 requests per second comes before one with two for 30. A model in demand with a single
// replica gets a small value, since it would be lost with its runner.
func (p *Planner) overload(row Row) float64 {
	return p.overloadWith(row, p.replicas(row), capacityOf)
}

// overloadWith is overload for the given capacity of each replica.
func (p *Planner) overloadWith(row Row, replicas []*runner, capacity func(*runner) float64) float64 {
	rate := p.modelDemand(row).rate
	if len(replicas) == 0 {
		return 0
	}
	total := totalCapacity(replicas)
	gain := max(0, rate-availableWith(replicas, rate, total, capacity))
	for _, r := range replicas {
		gain = max(gain, r.lateRate(rate*r.capacity/total, capacity(r)))
	}
	if len(replicas) == 1 && rate > redundantRate {
		gain = max(gain, rate*redundantGain)
	}
	return gain * p.options.Horizon.Seconds()
}

// lateRate returns the late requests per second among those for a model at an overloaded runner; 0
// if its load doesn't exceed the capacity.
func (r *runner) lateRate(rate, capacity float64) float64 {
	if r.load <= capacity {
		return 0
	}
	return rate * r.lateShare(r.load)
}
