package residency

import (
	"slices"
	"time"
)

const (
	// zoneWeight is the cost of a request that would be late if a zone were lost, in late requests.
	// Zones are lost far less often than runners, see redundantGain, and clients then reach the
	// other zones by themselves.
	zoneWeight = 0.05
	// copySpreadCost is the cost of a load from the weight store at a runner whose zone has a copy
	// of the model while other zones have none. It breaks ties between runners.
	copySpreadCost = 0.05
)

// zoneRates is the demand in requests per second by the zone of the reporting routers.
type zoneRates map[string]float64

func (z zoneRates) decay(factor float64) {
	for zone := range z {
		z[zone] *= factor
	}
}

// SetRouterZone sets the zone to which the demand of a router is attributed.
func (p *Planner) SetRouterZone(router, zone string) {
	if zone != "" {
		p.routerZones[router] = zone
	}
}

// ForgetRouter deletes the zone of a router that has ended.
func (p *Planner) ForgetRouter(router string) { delete(p.routerZones, router) }

// listZones lists the zones in which each service has runners that are not leaving, sorted.
func (t *snapshot) listZones(counts map[serviceZone]int) {
	t.zones = make(map[string][]string)
	for each := range counts {
		t.zones[each.service] = append(t.zones[each.service], each.zone)
	}
	for _, zones := range t.zones {
		slices.Sort(zones)
	}
}

// addZoneRates adds the demand for a row of the model.
func (t *snapshot) addZoneRates(model Row, rates zoneRates) {
	if len(rates) == 0 {
		return
	}
	if t.zoneRates[model] == nil {
		t.zoneRates[model] = make(zoneRates)
	}
	for zone, rate := range rates {
		t.zoneRates[model][zone] += rate
	}
}

// zoneCover is the distribution of a model's demand and replicas over the zones of its service.
type zoneCover struct {
	zones []string
	// rates and capacities are the demand of the clients and the capacity of the replicas in each
	// zone, in requests per second.
	rates, capacities []float64
	// replicaCapacity is the capacity of a further replica.
	replicaCapacity float64
}

// coverOf returns the distribution of the given replicas. Demand without a known zone is spread
// evenly. The result is empty for a service in one zone.
func (p *Planner) coverOf(row Row, replicas []*runner) zoneCover {
	zones := p.snapshot.zones[row.Service]
	rate := p.modelDemand(row).rate
	if len(zones) < 2 || rate <= redundantRate {
		return zoneCover{}
	}
	cover := zoneCover{zones: zones, rates: make([]float64, len(zones)), capacities: make([]float64, len(zones)), replicaCapacity: p.capacityAt(row.Service, 1)}
	demand, sum := p.snapshot.zoneRates[row], 0.0
	for _, zone := range zones {
		sum += demand[zone]
	}
	for i, zone := range zones {
		cover.rates[i] = rate / float64(len(zones))
		if sum > 0 {
			cover.rates[i] = rate * demand[zone] / sum
		}
	}
	for _, each := range replicas {
		if i, isListed := slices.BinarySearch(zones, each.status.Heartbeat.Zone); isListed {
			cover.capacities[i] += each.capacity
		}
	}
	return cover
}

// unserved returns the requests per second that could not be served if a zone were partitioned, inside
// and outside of it, averaged over the zones.
func (c *zoneCover) unserved() float64 {
	rate, totalServed := 0.0, 0.0
	for i := range c.zones {
		rate += c.rates[i]
		totalServed += c.capacities[i]
	}
	total := 0.0
	for i := range c.zones {
		total += max(0, c.rates[i]-c.capacities[i])
		total += max(0, rate-c.rates[i]-(totalServed-c.capacities[i]))
	}
	return total / max(1, float64(len(c.zones)))
}

// relief returns the reduction of unserved by a further replica in a zone.
func (c *zoneCover) relief(index int) float64 {
	before := c.unserved()
	c.capacities[index] += c.replicaCapacity
	after := c.unserved()
	c.capacities[index] -= c.replicaCapacity
	return before - after
}

// bestRelief returns the largest relief over all zones.
func (c *zoneCover) bestRelief() float64 {
	best := 0.0
	for i := range c.zones {
		best = max(best, c.relief(i))
	}
	return best
}

// zoneGain returns the gain of a further replica for the case that a zone is lost, in requests
// within the horizon.
func (p *Planner) zoneGain(row Row) float64 {
	replicas := p.replicas(row)
	if len(replicas) == 0 {
		return 0
	}
	cover := p.coverOf(row, replicas)
	return zoneWeight * cover.bestRelief() * p.options.Horizon.Seconds()
}

// spread is the distribution of a model's demand, replicas and copies. It is computed once for each
// need and snapshot.
type spread struct {
	// rate is the demand for the model in requests per second.
	rate float64
	// zones lists the zones of the service, sorted, and costs the lower zone gain of a replica in
	// each of them relative to the best one; nil if zones don't matter.
	zones []string
	costs []float64
	// copyZones lists the zones with a copy; hasAllZones is set if these are all zones.
	copyZones   []string
	hasAllZones bool
}

// spreadOf returns the spread of the model of a need.
func (p *Planner) spreadOf(wanted *need) *spread {
	if wanted.spread == nil {
		wanted.spread = p.newSpread(wanted.row)
	}
	return wanted.spread
}

func (p *Planner) newSpread(row Row) *spread {
	found := &spread{rate: p.modelDemand(row).rate}
	zones := p.snapshot.zones[row.Service]
	if len(zones) < 2 {
		return found
	}
	cover := p.coverOf(row, p.replicas(row))
	if found.zones = cover.zones; len(cover.zones) > 0 {
		best := cover.bestRelief()
		for i := range cover.zones {
			found.costs = append(found.costs, zoneWeight*(best-cover.relief(i))*p.options.Horizon.Seconds())
		}
		p.regionCosts(row, cover, found.costs)
	}
	for _, each := range p.snapshot.copies[row] {
		if zone := each.status.Heartbeat.Zone; !slices.Contains(found.copyZones, zone) {
			found.copyZones = append(found.copyZones, zone)
		}
	}
	found.hasAllZones = len(found.copyZones) >= len(zones)
	return found
}

// zoneCost returns the cost of a replica at the runner relative to the best zone: for the
// distribution of replicas, and for that of copies if its zone already has a copy and another zone
// has none.
func (s *spread) zoneCost(r *runner, model string) float64 {
	zone, cost := r.status.Heartbeat.Zone, 0.0
	if i, isListed := slices.BinarySearch(s.zones, zone); isListed {
		cost += s.costs[i]
	}
	if !s.hasAllZones && slices.Contains(s.copyZones, zone) && !r.hasCopy(model) {
		cost += copySpreadCost
	}
	return cost
}

// zoneValue returns the value of the runner's replica for the case that a zone is lost, in requests
// within the horizon.
func (p *Planner) zoneValue(r *runner, row Row) float64 {
	with := p.coverOf(row, p.holders(row))
	without := p.coverOf(row, p.holdersExcept(r, row))
	value := zoneWeight * max(0, without.unserved()-with.unserved())
	if len(p.snapshot.regions[row.Service]) > 0 {
		withRegions, withoutRegions := p.regionCoverOf(row, with), p.regionCoverOf(row, without)
		value += regionWeight * max(0, withoutRegions.unserved()-withRegions.unserved())
	}
	return value * p.options.Horizon.Seconds()
}

// isZoneBound reports whether a model in demand is held in only one of several zones.
func (p *Planner) isZoneBound(row Row) bool {
	if len(p.snapshot.zones[row.Service]) < 2 || p.modelDemand(row).rate <= redundantRate {
		return false
	}
	zones := make(map[string]bool)
	for _, r := range p.holders(row) {
		zones[r.status.Heartbeat.Zone] = true
	}
	return len(zones) == 1
}

// addZone counts the requests of a router for its zone.
func (d *rowDemand) addZone(zone string, arrived int, rateTime time.Duration) {
	if zone == "" {
		return
	}
	if d.byZone == nil {
		d.byZone = make(zoneRates)
	}
	d.byZone[zone] += float64(arrived) / rateTime.Seconds()
}
