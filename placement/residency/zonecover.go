package residency

import (
	"maps"
	"slices"
	"time"
)

const (
	// zoneWeight is the part of the requests that would be late without a zone that counts as late: it is
	// lost far more rarely than a single runner, of which spareGain counts, and with its clients' own way
	// to the others.
	zoneWeight = 0.05
	// copySpread is what it costs to load from the weight store where a machine of the same zone has a copy
	// of the model while other zones have none: it decides between runners that are alike otherwise.
	copySpread = 0.05
)

// zoneRates is the demand in requests a second by the zone of the routers that reported it.
type zoneRates map[string]float64

func (z zoneRates) decay(factor float64) {
	for zone := range z {
		z[zone] *= factor
	}
}

// SetRouterZone takes the zone of a router, which its demand is counted for.
func (p *Planner) SetRouterZone(router, zone string) {
	if zone != "" {
		p.routerZones[router] = zone
	}
}

// ForgetRouter forgets the zone of a router that has ended.
func (p *Planner) ForgetRouter(router string) { delete(p.routerZones, router) }

// listZones lists the zones in which a service has runners that stay, sorted.
func (t *tally) listZones() {
	found := make(map[string]map[string]bool)
	for _, known := range t.sorted {
		heartbeat := &known.status.Heartbeat
		if heartbeat.Zone == "" || !known.status.MayServe() {
			continue
		}
		if found[heartbeat.Service] == nil {
			found[heartbeat.Service] = make(map[string]bool)
		}
		found[heartbeat.Service][heartbeat.Zone] = true
	}
	t.zones = make(map[string][]string, len(found))
	for service, zones := range found {
		t.zones[service] = slices.Sorted(maps.Keys(zones))
	}
}

// addZoneRates adds the demand for a row of the model.
func (t *tally) addZoneRates(model Row, rates zoneRates) {
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

// zoneCover is how a model's replicas and its demand are spread over the zones of its service.
type zoneCover struct {
	zones []string
	// rates and borne are the demand of each zone's clients, and what its replicas bear, in requests a
	// second.
	rates, borne []float64
	// one is what one replica more would bear.
	one float64
}

// coverOf works out how the replicas are spread. Clients of which no zone is known are spread evenly. It
// is empty for a service in one zone.
func (p *Planner) coverOf(row Row, replicas []*runner) zoneCover {
	zones := p.tally.zones[row.Service]
	rate := p.modelDemand(row).rate
	if len(zones) < 2 || rate <= spareRate {
		return zoneCover{}
	}
	cover := zoneCover{zones: zones, rates: make([]float64, len(zones)), borne: make([]float64, len(zones)), one: p.borneAt(row.Service, 1)}
	known, sum := p.tally.zoneRates[row], 0.0
	for _, zone := range zones {
		sum += known[zone]
	}
	for i, zone := range zones {
		cover.rates[i] = rate / float64(len(zones))
		if sum > 0 {
			cover.rates[i] = rate * known[zone] / sum
		}
	}
	for _, each := range replicas {
		if i, isListed := slices.BinarySearch(zones, each.status.Heartbeat.Zone); isListed {
			cover.borne[i] += each.borne
		}
	}
	return cover
}

// exposed is how many requests a second nobody could serve if a zone were cut off, on average over the
// zones: those outside it, and those of its own clients inside.
func (c *zoneCover) exposed() float64 {
	rate, borne := 0.0, 0.0
	for i := range c.zones {
		rate += c.rates[i]
		borne += c.borne[i]
	}
	total := 0.0
	for i := range c.zones {
		total += max(0, c.rates[i]-c.borne[i])
		total += max(0, rate-c.rates[i]-(borne-c.borne[i]))
	}
	return total / max(1, float64(len(c.zones)))
}

// relief is by how much one replica more in a zone lowers what is exposed.
func (c *zoneCover) relief(index int) float64 {
	before := c.exposed()
	c.borne[index] += c.one
	after := c.exposed()
	c.borne[index] -= c.one
	return before - after
}

// bestRelief is that of the zone in which a replica more helps most.
func (c *zoneCover) bestRelief() float64 {
	best := 0.0
	for i := range c.zones {
		best = max(best, c.relief(i))
	}
	return best
}

// zoneGain is how many requests of the horizon one replica more of the model is worth as it makes the
// loss of a zone lighter.
func (p *Planner) zoneGain(row Row) float64 {
	replicas := p.replicas(row)
	if len(replicas) == 0 {
		return 0
	}
	cover := p.coverOf(row, replicas)
	return zoneWeight * cover.bestRelief() * p.options.Horizon.Seconds()
}

// spread is how a model's demand, replicas and copies are spread, by which all runners are weighed that may get a
// replica. It is worked out once for a need, as long as the tally stands.
type spread struct {
	// rate is the demand for the model, in requests a second.
	rate float64
	// zones are those of the service, sorted, and costs how much less than in the best of them a replica is worth in
	// each for the loss of a zone; nil if that does not matter.
	zones []string
	costs []float64
	// copyZones are those in which a machine has a copy; hasAllZones is set if these are all.
	copyZones   []string
	hasAllZones bool
}

// spreadOf works out how the model of a need is spread, unless that is known.
func (p *Planner) spreadOf(wanted *need) *spread {
	if wanted.spread == nil {
		wanted.spread = p.newSpread(wanted.row)
	}
	return wanted.spread
}

func (p *Planner) newSpread(row Row) *spread {
	found := &spread{rate: p.modelDemand(row).rate}
	zones := p.tally.zones[row.Service]
	if len(zones) < 2 {
		return found
	}
	cover := p.coverOf(row, p.replicas(row))
	if found.zones = cover.zones; len(cover.zones) > 0 {
		best := cover.bestRelief()
		for i := range cover.zones {
			found.costs = append(found.costs, zoneWeight*(best-cover.relief(i))*p.options.Horizon.Seconds())
		}
	}
	for _, each := range p.tally.copies[row] {
		if zone := each.status.Heartbeat.Zone; !slices.Contains(found.copyZones, zone) {
			found.copyZones = append(found.copyZones, zone)
		}
	}
	found.hasAllZones = len(found.copyZones) >= len(zones)
	return found
}

// zoneCost is how much less than elsewhere a replica at the runner is worth for the loss of a zone: of replicas, and of
// copies, where a machine of its zone has one and another zone has none.
func (s *spread) zoneCost(known *runner, model string) float64 {
	zone, cost := known.status.Heartbeat.Zone, 0.0
	if i, isListed := slices.BinarySearch(s.zones, zone); isListed {
		cost += s.costs[i]
	}
	if !s.hasAllZones && slices.Contains(s.copyZones, zone) && !known.hasCopy(model) {
		cost += copySpread
	}
	return cost
}

// zoneValue is how many requests of the horizon the runner's replica of the model is worth for the loss
// of a zone.
func (p *Planner) zoneValue(known *runner, row Row) float64 {
	with := p.coverOf(row, p.holders(row))
	without := p.coverOf(row, p.holdersBut(known, row))
	return zoneWeight * max(0, without.exposed()-with.exposed()) * p.options.Horizon.Seconds()
}

// isZoneBound reports whether a model in demand is held in one zone alone though there are more.
func (p *Planner) isZoneBound(row Row) bool {
	if len(p.tally.zones[row.Service]) < 2 || p.modelDemand(row).rate <= spareRate {
		return false
	}
	zones := make(map[string]bool)
	for _, known := range p.holders(row) {
		zones[known.status.Heartbeat.Zone] = true
	}
	return len(zones) == 1
}

// addZone counts a router's requests for its zone.
func (d *rowDemand) addZone(zone string, arrived int, rateTime time.Duration) {
	if zone == "" {
		return
	}
	if d.byZone == nil {
		d.byZone = make(zoneRates)
	}
	d.byZone[zone] += float64(arrived) / rateTime.Seconds()
}
