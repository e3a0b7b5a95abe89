package residency

import "time"

// snapshot holds the aggregates that a plan is based on, computed once for each plan. Unless noted
// otherwise, rows have no adapter.
type snapshot struct {
	sorted []*runner
	// adapterRates is the part of the demand for a model that needs an adapter.
	adapterRates map[Row]float64
	// idleRates is the expected rate of each idle model, by service.
	idleRates map[string]float64
	// demands and waiting are keyed by model, active by model and instance.
	demands map[Row]modelDemand
	waiting map[Row]int
	active  map[activeKey]int
	// rowActive is keyed by row, which may have an adapter, and instance.
	rowActive map[activeKey]int
	// loads is the number of requests at each instance.
	loads map[string]int
	// holders, coming and copies are those of the planner's index as of this snapshot: the runners on
	// which requests may use a model, those that load it and those with a copy, except for leaving
	// ones.
	holders, coming, copies map[Row][]*runner
	// available lists the runners that take orders, by service.
	available map[string][]*runner
	// isAvailable is the set of the runners in available.
	isAvailable map[*runner]bool
	// reserved lists the runners that reserve memory for a model.
	reserved map[Row][]*runner
	// reservedSlots is the number of reserved slots of the weight stores, by service.
	reservedSlots map[string]int
	// zones lists the zones in which each service has runners, sorted, and zoneRates is the demand
	// for models by zone.
	zones     map[string][]string
	zoneRates map[Row]zoneRates
	// regions lists the regions in which each service has runners, sorted; none for a service in one
	// region.
	regions map[string][]string
	// makingRoom lists the runners that unload others for a model.
	makingRoom map[Row][]*runner
	// copyDemand is the number of requests per second that depend on the copies at each runner.
	copyDemand map[*runner]float64
	// drained is the set of the models that runners of drained zones hold or load.
	drained map[Row]bool
	// hasCold is set if a runner is cold; see coldPeriod.
	hasCold bool
	// unreachable holds the gain of unreachable models; see need.isUnreachable.
	unreachable map[Row]float64
}

type activeKey struct {
	row      Row
	instance string
}

// modelOf returns the row without its adapter.
func modelOf(row Row) Row { return Row{Service: row.Service, Model: row.Model} }

// takeSnapshot aggregates the demand and the holdings of the runners.
func (p *Planner) takeSnapshot(now time.Time) {
	p.index.update()
	t := &snapshot{
		sorted:        p.sorted(),
		adapterRates:  make(map[Row]float64),
		idleRates:     make(map[string]float64),
		demands:       make(map[Row]modelDemand),
		waiting:       make(map[Row]int),
		active:        make(map[activeKey]int),
		rowActive:     make(map[activeKey]int),
		loads:         make(map[string]int),
		holders:       p.index.holders,
		coming:        p.index.coming,
		available:     make(map[string][]*runner),
		copies:        p.index.copies,
		isAvailable:   make(map[*runner]bool),
		reserved:      make(map[Row][]*runner),
		reservedSlots: make(map[string]int),
		makingRoom:    make(map[Row][]*runner),
		zoneRates:     make(map[Row]zoneRates),
		unreachable:   make(map[Row]float64),
		drained:       make(map[Row]bool),
	}
	recent := make(map[Row]float64)
	for row, demand := range p.demands {
		demand.decay(now, p.options.RateTime)
		demand.prune(now, p.options.DemandTTL)
		model := modelOf(row)
		total := t.demands[model]
		total.rate += demand.rate
		recent[model] += demand.recent
		t.addZoneRates(model, demand.byZone)
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
				t.loads[each.Instance] += each.Count
			}
		}
	}
	for model, total := range t.demands {
		total.rate = expectedRate(total.rate, recent[model])
		t.demands[model] = total
	}
	p.addIdleRates(now, t)
	t.listZones(p.index.zones)
	p.listRegions(t)
	for _, r := range t.sorted {
		r.evictions = nil
		t.addDrained(r)
		if p.mayOrder(r) {
			t.addAvailable(r)
		}
	}
	t.addCopyDemand()
	p.snapshot = t
	p.assignDemand()
}

// addIdleRates computes the expected demand for models without recent requests.
func (p *Planner) addIdleRates(now time.Time, t *snapshot) {
	if p.document == nil {
		return
	}
	for name, demand := range p.idleDemand {
		service := p.document.Service(name)
		if service == nil || service.Engine == nil {
			delete(p.idleDemand, name)
			continue
		}
		t.idleRates[name] = demand.ratePerModel(now)
	}
}

// addAvailable adds a runner to those that take orders.
func (t *snapshot) addAvailable(r *runner) {
	service := r.status.Heartbeat.Service
	t.available[service] = append(t.available[service], r)
	t.isAvailable[r] = true
}

// addReservations adds the memory and the slots reserved for models while others are unloaded.
func (t *snapshot) addReservations(now time.Time) {
	for _, r := range t.sorted {
		if r.reserved == "" {
			continue
		}
		row := r.rowOf(r.reserved)
		t.reserved[row] = append(t.reserved[row], r)
		if now.Before(r.storeSlotUntil) {
			t.reserveSlot(row)
		}
		if now.Before(r.unloadBy) && !r.status.Leaving && !r.status.Drained && r.isOccupied() {
			t.makingRoom[row] = append(t.makingRoom[row], r)
		}
	}
}

// reserveSlot counts a slot of the weight store that is reserved for a model while memory is freed.
// No further slot is reserved for it as an unreachable model.
func (t *snapshot) reserveSlot(row Row) {
	t.reservedSlots[row.Service]++
	delete(t.unreachable, row)
}

// withoutStore returns the available runners that may load the model although the weight store has
// no free slot.
func (t *snapshot) withoutStore(row Row) []*runner {
	var listed []*runner
	for _, r := range t.copies[row] {
		if t.isAvailable[r] {
			listed = append(listed, r)
		}
	}
	for _, r := range t.reserved[row] {
		if t.isAvailable[r] && !r.hasCopy(row.Model) {
			listed = append(listed, r)
		}
	}
	return listed
}

// noteSent removes a runner that was sent an order from the available ones.
func (t *snapshot) noteSent(r *runner) {
	delete(t.isAvailable, r)
	service := r.status.Heartbeat.Service
	t.available[service] = runnersExcept(t.available[service], r)
}

// runnersExcept returns a new list of the runners without one of them.
func runnersExcept(runners []*runner, excluded *runner) []*runner {
	others := make([]*runner, 0, len(runners))
	for _, other := range runners {
		if other != excluded {
			others = append(others, other)
		}
	}
	return others
}
