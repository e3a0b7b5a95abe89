package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/placement/weightstore"
)

// Planner decides on loads and unloads. It is not safe for concurrent use.
type Planner struct {
	options Options
	// ordersFrom is the time from which orders may be sent; see NewPlanner.
	ordersFrom time.Time
	document   *site.Index
	runners    map[string]*runner
	// order lists the runners sorted by instance; valid while isOrdered is set.
	order     []*runner
	isOrdered bool
	demands   map[Row]*rowDemand
	// idleDemand is keyed by service.
	idleDemand map[string]*idleDemand
	// routerZones is keyed by router.
	routerZones map[string]string
	// runnersAt is the time at which a runner was last added.
	runnersAt time.Time
	// prewarmedAt is the time of the last prewarm of each model.
	prewarmedAt map[Row]time.Time
	// observedFrom is the time of the first report of demand.
	observedFrom time.Time
	// stores limit the loads from the weight stores, by service.
	stores map[string]*weightstore.Limiter
	// recalledStores is keyed by service; see RecallStore.
	recalledStores map[string]recalledStore
	// awaitedCopies is the time since which a copy of a model has been awaited.
	awaitedCopies map[Row]time.Time
	// paces learns the speed of the runners.
	paces  *pace.Learner
	pauses pauses
	// capacityModels is keyed by service.
	capacityModels map[string]*capacityModel
	// judgements is keyed by instance, as of judgedAt; judged lists those that have changed.
	judgements map[string]Judgement
	judgedAt   time.Time
	judged     []Judgement
	// slowness is the last known slowness at each endpoint.
	slowness map[endpoint]float64
	// pollAllowance is the number of polls allowed, as of pollAllowanceAt.
	pollAllowance   float64
	pollAllowanceAt time.Time
	// snapshot is the state that the current plan is based on.
	snapshot *snapshot
	// unmet lists the needs that the last plan could not meet.
	unmet []need
	// listing is the number of calls of SetRunners.
	listing uint64
	// readyAt is the expected time at which each model with waiting requests is ready.
	readyAt map[Row]time.Time
	// arrived holds the rows that have become ready since the last call of TakeArrived.
	arrived map[Row]bool
}

// NewPlanner returns a planner for a new leader. It plans no orders before ordersFrom, by which
// time the orders of the previous leader have been executed or have expired.
func NewPlanner(options Options, ordersFrom time.Time) *Planner {
	return &Planner{
		options:    options.withDefaults(),
		ordersFrom: ordersFrom,
		runners:    make(map[string]*runner),
		demands:    make(map[Row]*rowDemand),
		idleDemand: make(map[string]*idleDemand),

		routerZones: make(map[string]string),

		stores: make(map[string]*weightstore.Limiter),

		recalledStores: make(map[string]recalledStore),
		awaitedCopies:  make(map[Row]time.Time),
		prewarmedAt:    make(map[Row]time.Time),

		paces:          pace.NewLearner(),
		pauses:         make(pauses),
		capacityModels: make(map[string]*capacityModel),
		judgements:     make(map[string]Judgement),
		slowness:       make(map[endpoint]float64),
		arrived:        make(map[Row]bool),
	}
}

// SetOrdersFrom sets the time from which orders are planned.
func (p *Planner) SetOrdersFrom(ordersFrom time.Time) { p.ordersFrom = ordersFrom }

// SetDocument sets the site document.
func (p *Planner) SetDocument(document *site.Index) { p.document = document }

// Loaded returns the models that requests may use at the runner.
func (p *Planner) Loaded(instance string) []fleet.LoadedModel {
	if r := p.runners[instance]; r != nil {
		return r.loaded()
	}
	return nil
}

// SetRunners sets the live runners, each listed once.
func (p *Planner) SetRunners(now time.Time, statuses []fleet.Status) {
	p.listing++
	for i := range statuses {
		p.setRunner(now, &statuses[i])
	}
	if len(p.runners) > len(statuses) {
		p.forgetUnlisted()
	}
}

func (p *Planner) setRunner(now time.Time, status *fleet.Status) {
	instance := status.Heartbeat.Instance
	r := p.runners[instance]
	isAdded := r == nil
	if isAdded {
		r = &runner{holdings: make(map[string]*holding)}
		p.runners[instance] = r
		p.runnersAt = now
		p.isOrdered = false
	}
	hadHeartbeat := !isAdded && !r.status.Recalled
	isNew := !status.Recalled && (!hadHeartbeat || status.Heartbeat.Sequence > r.status.Heartbeat.Sequence)
	r.status, r.listing = *status, p.listing
	if isAdded {
		p.paces.Expect(now, instance, p.slowness[r.endpoint()])
	}
	if isNew {
		r.isGone = false
		r.noteCopies()
		before := r.loaded()
		r.applyHeartbeat(now, status.Heartbeat.Models, p.options.ReportLag)
		p.noteChange(before, r)
	}
}

// forgetUnlisted deletes the runners that are missing from the last call of SetRunners.
func (p *Planner) forgetUnlisted() {
	for instance, r := range p.runners {
		if r.listing != p.listing {
			delete(p.runners, instance)
		}
	}
	p.isOrdered = false
	isListed := func(instance string) bool { return p.runners[instance] != nil }
	p.paces.Forget(isListed)
	p.pauses.forget(isListed)
}

// Observe records a router's report of demand.
func (p *Planner) Observe(now time.Time, router string, demands []Demand) {
	if p.observedFrom.IsZero() {
		p.observedFrom = now
	}
	for _, demand := range demands {
		total := p.demands[demand.Row]
		if total == nil {
			total = &rowDemand{reports: make(map[string]routerDemand)}
			p.demands[demand.Row] = total
		}
		total.add(now, router, demand, p.options.RateTime)
		total.addZone(p.routerZones[router], demand.Arrived, p.options.RateTime)
		if demand.Arrived > 0 {
			p.idleDemandOf(demand.Row.Service).observe(now, demand.Row.Model, p.listedModels(demand.Row.Service))
		}
		for _, active := range demand.Active {
			if active.Count > 0 {
				p.noteUse(now, active.Instance, demand.Row)
			}
			if r := p.runners[active.Instance]; r != nil && active.Prompt > 0 {
				r.read.add(now, active.Prompt)
			}
		}
	}
}

// listedModels returns the number of models that the document lists for a service.
func (p *Planner) listedModels(service string) int {
	if p.document == nil || p.document.Service(service) == nil || p.document.Service(service).Engine == nil {
		return 0
	}
	return len(p.document.Service(service).Engine.Models)
}

func (p *Planner) idleDemandOf(service string) *idleDemand {
	demand := p.idleDemand[service]
	if demand == nil {
		demand = newIdleDemand()
		p.idleDemand[service] = demand
	}
	return demand
}

func (p *Planner) noteUse(now time.Time, instance string, row Row) {
	r := p.runners[instance]
	if r == nil || r.holdings[row.Model] == nil {
		return
	}
	held := r.holdings[row.Model]
	held.usedAt = now
	if adapter := held.adapters[row.Adapter]; adapter != nil {
		adapter.usedAt = now
	}
}

// RunnersToPoll returns the runners to poll for a report now, those polled the longest ago first.
func (p *Planner) RunnersToPoll(now time.Time) []fleet.Status {
	p.refillPollAllowance(now)
	isEarly := now.Before(p.ordersFrom.Add(-p.options.PollInterval))
	candidates := slices.Clone(p.sorted())
	slices.SortStableFunc(candidates, func(a, b *runner) int { return a.polledAt.Compare(b.polledAt) })
	orderable := p.countOrderable(candidates)
	var polled []fleet.Status
	for _, each := range candidates {
		if p.pollAllowance < 1 {
			break
		}
		if isEarly && (!each.status.Recalled || len(each.holdings) > 0) {
			continue
		}
		if p.engineOf(each) == nil || !each.status.MayServe() || each.isGone || each.sent || each.isTakenKnown {
			continue
		}
		if now.Before(each.pausedUntil) || now.Sub(each.changedAt) < p.options.ReportLag || now.Sub(each.polledAt) < p.options.PollInterval {
			continue
		}
		if orderable.isEnough(each) && !p.isWaitedFor(each) {
			continue
		}
		each.polledAt = now
		p.pollAllowance--
		polled = append(polled, each.status)
	}
	return polled
}

// minOrderable is the number of runners of a service with a known number of taken orders from which
// others are only polled if requests wait for one of their models. It exceeds the orders of any
// plan. A new leader would need about a minute to poll ten thousand runners.
const minOrderable = 512

// orderableCounts holds the number of runners that may be sent an order, by service.
type orderableCounts map[string]int

func (p *Planner) countOrderable(candidates []*runner) orderableCounts {
	counts := make(orderableCounts)
	for _, each := range candidates {
		if each.isTakenKnown && each.status.MayServe() {
			counts[each.status.Heartbeat.Service]++
		}
	}
	return counts
}

// isEnough reports whether the runner need not be polled just to make it available for orders.
func (k orderableCounts) isEnough(polled *runner) bool {
	return k[polled.status.Heartbeat.Service] >= minOrderable
}

// isWaitedFor reports whether requests wait for a model that the runner holds or has a copy of.
func (p *Planner) isWaitedFor(r *runner) bool {
	if p.snapshot == nil {
		return false
	}
	for model := range r.holdings {
		if p.snapshot.waiting[r.rowOf(model)] > 0 {
			return true
		}
	}
	for model := range r.copies {
		if p.snapshot.waiting[r.rowOf(model)] > 0 {
			return true
		}
	}
	return false
}

// refillPollAllowance refills the allowance of polls, which prevents a new leader of a large site from
// polling thousands of runners at once.
func (p *Planner) refillPollAllowance(now time.Time) {
	if p.pollAllowanceAt.IsZero() {
		p.pollAllowance = p.options.PollBurst
	} else {
		p.pollAllowance += now.Sub(p.pollAllowanceAt).Seconds() * p.options.PollRate
	}
	p.pollAllowance = min(p.pollAllowance, p.options.PollBurst)
	p.pollAllowanceAt = now
}

// Reported applies the report of a runner that was polled at polledAt.
func (p *Planner) Reported(now, polledAt time.Time, instance string, report Report) {
	r := p.runners[instance]
	if r == nil || r.sent || polledAt.Sub(r.changedAt) < p.options.ReportLag {
		return
	}
	before := r.loaded()
	r.applyReport(now, report)
	p.noteChange(before, r)
}

func (p *Planner) engineOf(r *runner) *site.Engine {
	if p.document == nil {
		return nil
	}
	service := p.document.Service(r.status.Heartbeat.Service)
	if service == nil {
		return nil
	}
	return service.Engine
}

// sorted returns the runners by instance. The list must not be modified.
func (p *Planner) sorted() []*runner {
	if p.isOrdered {
		return p.order
	}
	p.order = make([]*runner, 0, len(p.runners))
	for _, r := range p.runners {
		p.order = append(p.order, r)
	}
	slices.SortFunc(p.order, func(a, b *runner) int {
		return strings.Compare(a.status.Heartbeat.Instance, b.status.Heartbeat.Instance)
	})
	p.isOrdered = true
	return p.order
}

// waits returns the rows with waiting requests, the most urgent first.
func (p *Planner) waits(now time.Time) []waiting {
	var rows []waiting
	for row, demand := range p.demands {
		demand.decay(now, p.options.RateTime)
		if found := demand.waits(now, row, p.options.DemandTTL); len(found) > 0 {
			rows = append(rows, found...)
		} else if demand.rate < 1e-4 {
			delete(p.demands, row)
		}
	}
	slices.SortFunc(rows, func(a, b waiting) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(b.oldest, a.oldest),
			strings.Compare(a.row.Model, b.row.Model), strings.Compare(a.row.Adapter, b.row.Adapter), slices.Compare(a.zones, b.zones))
	})
	return rows
}

// modelDemand is the demand for a model including all of its adapters.
type modelDemand struct {
	// rate is the larger of the long and the short average, in requests per second.
	rate float64
	// objective is the shortest objective of its rows; 0 if none is known.
	objective time.Duration
}

// modelDemand returns the demand for the model of a row.
func (p *Planner) modelDemand(row Row) modelDemand { return p.snapshot.demands[modelOf(row)] }

// RequestPolls has runners polled that rejected requests for models they were listed with.
func (p *Planner) RequestPolls(now time.Time, instances []string) {
	for _, instance := range instances {
		if r := p.runners[instance]; r != nil && now.Sub(r.polledAt) >= p.options.PollInterval {
			r.isTakenKnown = false
		}
	}
}
