package residency

import "time"

// tally sums up, once for each plan, what the decisions of the plan ask for again and
// again. The rows name no adapter.
type tally struct {
	sorted []*runner
	// adapterRates is the part of the demand for a model that names an adapter.
	adapterRates map[Row]float64
	// idleRates is at which rate each idle model is expected to be asked for, by
	// service.
	idleRates map[string]float64
	// demands and waiting are by model, active by model and instance.
	demands map[Row]modelDemand
	waiting map[Row]int
	active  map[activeKey]int
	// rowActive is by row, which may name an adapter, and instance.
	rowActive map[activeKey]int
	// loads counts the requests at each instance.
	loads   map[string]int
	holders map[Row][]*runner
	// coming lists the runners that load a model.
	coming map[Row][]*runner
	// available lists the runners that take orders, by service, and copies those of all
	// runners that stay and have a copy of a model.
	available map[string][]*runner
	copies    map[Row][]*runner
	// isAvailable says the same as available of each runner.
	isAvailable map[*runner]bool
	// reserved is the runner that keeps room for a model.
	reserved map[Row]*runner
	// kept counts the places at the weight stores that are kept, by service.
	kept map[string]int
	// zones lists those in which each service has runners, sorted, and zoneRates is the demand for
	// models by zone.
	zones     map[string][]string
	zoneRates map[Row]zoneRates
	// makingRoom says for which models a runner makes room.
	makingRoom map[Row]bool
	// claims is how many requests a second depend on the copies at each runner.
	claims map[*runner]float64
	// unreachable are the models that requests wait for and no copy can be loaded of; see need.
	unreachable map[Row]float64
}

type activeKey struct {
	row      Row
	instance string
}

// modelOf is the row of the model that a row needs.
func modelOf(row Row) Row { return Row{Service: row.Service, Model: row.Model} }

// takeTally sums up the demand and what the runners hold.
func (p *Planner) takeTally(now time.Time) {
	t := &tally{
		sorted:       p.sorted(),
		adapterRates: make(map[Row]float64),
		idleRates:    make(map[string]float64),
		demands:      make(map[Row]modelDemand),
		waiting:      make(map[Row]int),
		active:       make(map[activeKey]int),
		rowActive:    make(map[activeKey]int),
		loads:        make(map[string]int),
		holders:      make(map[Row][]*runner),
		coming:       make(map[Row][]*runner),
		available:    make(map[string][]*runner),
		copies:       make(map[Row][]*runner),
		isAvailable:  make(map[*runner]bool),
		reserved:     make(map[Row]*runner),
		kept:         make(map[string]int),
		makingRoom:   make(map[Row]bool),
		zoneRates:    make(map[Row]zoneRates),
		unreachable:  make(map[Row]float64),
	}
	recent := make(map[Row]float64)
	for row, demand := range p.demands {
		demand.decay(now, p.options.RateTime)
		demand.prune(now, p.options.DemandLife)
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
	t.listZones()
	for _, known := range t.sorted {
		known.weighed = nil
		t.addHoldings(known)
		t.addRunner(known, p.mayOrder(known))
	}
	t.addClaims()
	p.tally = t
	p.spreadDemand()
}

// addIdleRates works out the demand to expect for models that nobody asks for.
func (p *Planner) addIdleRates(now time.Time, t *tally) {
	if p.document == nil {
		return
	}
	for name, known := range p.idleDemand {
		service := p.document.Service(name)
		if service == nil || service.Engine == nil {
			delete(p.idleDemand, name)
			continue
		}
		t.idleRates[name] = known.ratePerModel(now)
	}
}

func (t *tally) addHoldings(known *runner) {
	if !known.status.MayServe() {
		return
	}
	for name, held := range known.holdings {
		row := Row{Service: known.status.Heartbeat.Service, Model: name}
		switch held.phase {
		case phaseReady:
			t.holders[row] = append(t.holders[row], known)
		case phaseLoading, phaseUncertain:
			t.coming[row] = append(t.coming[row], known)
		}
	}
}

// addRunner lists a runner with the copies that it has.
func (t *tally) addRunner(known *runner, mayOrder bool) {
	service := known.status.Heartbeat.Service
	if mayOrder {
		t.available[service] = append(t.available[service], known)
		t.isAvailable[known] = true
	}
	if !known.status.MayServe() {
		return
	}
	for name := range known.copies {
		row := Row{Service: service, Model: name}
		t.copies[row] = append(t.copies[row], known)
	}
}

// addReservations counts what is kept for models for which room is made.
func (t *tally) addReservations(now time.Time) {
	for _, known := range t.sorted {
		if known.reserved == "" {
			continue
		}
		row := known.rowOf(known.reserved)
		t.reserved[row] = known
		if now.Before(known.storeKeptUntil) {
			t.keepPlace(row)
		}
		if now.Before(known.roomBy) && !known.status.Leaving && !known.status.Drained && known.isOccupied() {
			t.makingRoom[row] = true
		}
	}
}

// keepPlace counts a place at the weight store that is kept for a model while room is made for
// it. No other one need be kept because it is out of reach.
func (t *tally) keepPlace(row Row) {
	t.kept[row.Service]++
	delete(t.unreachable, row)
}

// withoutStore lists the runners that take orders and may load the model although the
// weight store takes no further load.
func (t *tally) withoutStore(row Row) []*runner {
	var listed []*runner
	for _, known := range t.copies[row] {
		if t.isAvailable[known] {
			listed = append(listed, known)
		}
	}
	if known := t.reserved[row]; known != nil && t.isAvailable[known] && !known.hasCopy(row.Model) {
		listed = append(listed, known)
	}
	return listed
}

// noteSent takes a runner that was sent an order off the list of those that take one.
func (t *tally) noteSent(known *runner) {
	delete(t.isAvailable, known)
	service := known.status.Heartbeat.Service
	t.available[service] = runnersBut(t.available[service], known)
}

// noteOrder brings the tally up to an order about a model.
func (t *tally) noteOrder(known *runner, operation Operation, model string) {
	row := Row{Service: known.status.Heartbeat.Service, Model: model}
	if operation == Load {
		delete(t.unreachable, row)
		t.coming[row] = append(t.coming[row], known)
		return
	}
	t.holders[row] = runnersBut(t.holders[row], known)
}

// runnersBut returns a new list of the runners without one of them.
func runnersBut(runners []*runner, left *runner) []*runner {
	var others []*runner
	for _, other := range runners {
		if other != left {
			others = append(others, other)
		}
	}
	return others
}
