package residency

import "slices"

const (
	// regionWeight is the cost of a request that only another region can serve, in late requests: it
	// takes 40 ms more, moves bytes between regions, and is late if the region or the link is lost.
	regionWeight = 0.1
	// minRegionRate is the demand of a region in requests per second from which a model should have a
	// replica there.
	minRegionRate = 2
)

// regionOf returns the region of a zone; "" if it is unknown.
func (p *Planner) regionOf(zone string) string { return p.options.Regions[zone] }

// listRegions computes the regions in which each service has runners, sorted; none for a service in
// one region.
func (p *Planner) listRegions(t *snapshot) {
	if !namesSeveral(p.options.Regions) {
		return
	}
	t.regions = make(map[string][]string)
	for service, zones := range t.zones {
		var regions []string
		for _, zone := range zones {
			if region := p.regionOf(zone); !slices.Contains(regions, region) {
				regions = append(regions, region)
			}
		}
		if len(regions) > 1 {
			slices.Sort(regions)
			t.regions[service] = regions
		}
	}
}

// namesSeveral reports whether zones are mapped to more than one region.
func namesSeveral(regions map[string]string) bool {
	first, hasFirst := "", false
	for _, region := range regions {
		if hasFirst && region != first {
			return true
		}
		first, hasFirst = region, true
	}
	return false
}

// regionCoverOf returns the distribution over the regions of a service from that over its zones; empty
// for a service in one region. Demand below minRegionRate may be served by other regions.
func (p *Planner) regionCoverOf(row Row, zones zoneCover) zoneCover {
	regions := p.snapshot.regions[row.Service]
	if len(regions) == 0 || len(zones.zones) == 0 {
		return zoneCover{}
	}
	cover := zoneCover{
		zones: regions, rates: make([]float64, len(regions)), capacities: make([]float64, len(regions)),
		replicaCapacity: zones.replicaCapacity,
	}
	for i, zone := range zones.zones {
		at, _ := slices.BinarySearch(regions, p.regionOf(zone))
		cover.rates[at] += zones.rates[i]
		cover.capacities[at] += zones.capacities[i]
	}
	for i, rate := range cover.rates {
		if rate < minRegionRate {
			cover.rates[i] = 0
		}
	}
	return cover
}

// regionGain returns the gain of a further replica in the region that lacks one most, in requests
// within the horizon.
func (p *Planner) regionGain(row Row) float64 {
	if len(p.snapshot.regions[row.Service]) == 0 {
		return 0
	}
	replicas := p.replicas(row)
	if len(replicas) == 0 {
		return 0
	}
	cover := p.regionCoverOf(row, p.coverOf(row, replicas))
	return regionWeight * cover.bestRelief() * p.options.Horizon.Seconds()
}

// regionCosts adds to the costs of a replica in each zone the lower gain relative to the best region.
func (p *Planner) regionCosts(row Row, zones zoneCover, costs []float64) {
	cover := p.regionCoverOf(row, zones)
	if len(cover.zones) == 0 {
		return
	}
	best := cover.bestRelief()
	for i, zone := range zones.zones {
		at, _ := slices.BinarySearch(cover.zones, p.regionOf(zone))
		costs[i] += regionWeight * (best - cover.relief(at)) * p.options.Horizon.Seconds()
	}
}

// isStoreIdle reports whether no load from the weight store of the service is in progress.
func (p *Planner) isStoreIdle(service string) bool {
	store := p.store(service)
	return store != nil && store.InProgress() == 0
}
