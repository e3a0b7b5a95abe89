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
	// listed is the buffer of SetRunners for the runners as they are listed.
	listed []*runner
	// index lists the runners by model, and active is the set of those at which orders are or may be
	// in progress.
	index   *runnerIndex
	active  map[*runner]struct{}
	demands map[Row]*rowDemand
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
	// judgedAt is the time of the last assessment of the runners; judged lists the judgements that have
	// changed. formerJudgements holds those of runners that were removed since, by instance.
	judgedAt         time.Time
	judged           []Judgement
	formerJudgements map[string]Judgement
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
		index:      newRunnerIndex(),
		active:     make(map[*runner]struct{}),
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
		slowness:       make(map[endpoint]float64),
		arrived:        make(map[Row]bool),

		formerJudgements: make(map[string]Judgement),
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
	known := cursor{runners: p.runners}
	if p.isOrdered {
		known.left = p.order
	}
	p.listed = p.listed[:0]
	isSorted := true
	for i := range statuses {
		instance := statuses[i].Heartbeat.Instance
		isSorted = isSorted && (i == 0 || statuses[i-1].Heartbeat.Instance < instance)
		p.listed = append(p.listed, p.setRunner(now, known.find(instance), &statuses[i]))
	}
	if len(p.runners) > len(statuses) {
		p.forgetUnlisted()
	}
	if !p.isOrdered && isSorted {
		p.order, p.isOrdered = slices.Clone(p.listed), true
	}
	if p.snapshot == nil {
		// Without a plan, forgotten runners would stay in the index.
		p.index.update()
	}
}

// cursor finds runners by instance, without a search if they are asked for in the order of left.
type cursor struct {
	runners map[string]*runner
	// left lists the runners that were not passed yet, sorted by instance.
	left []*runner
}

// find returns the runner of an instance; nil if there is none.
func (c *cursor) find(instance string) *runner {
	for len(c.left) > 0 {
		order := strings.Compare(c.left[0].status.Heartbeat.Instance, instance)
		if order > 0 {
			break
		}
		first := c.left[0]
		c.left = c.left[1:]
		if order == 0 {
			return first
		}
	}
	return c.runners[instance]
}

// setRunner sets the status of a runner, which is nil if it is new, and returns the runner.
func (p *Planner) setRunner(now time.Time, r *runner, status *fleet.Status) *runner {
	instance := status.Heartbeat.Instance
	isAdded := r == nil
	if isAdded {
		r = &runner{holdings: make(map[string]*holding)}
		p.runners[instance] = r
		p.runnersAt = now
		p.isOrdered = false
	}
	hadHeartbeat := !isAdded && !r.status.Recalled
	isNew := !status.Recalled && (!hadHeartbeat || status.Heartbeat.Sequence > r.status.Heartbeat.Sequence)
	isMoved := r.status.MayServe() != status.MayServe() || r.status.Heartbeat.Service != status.Heartbeat.Service || r.status.Heartbeat.Zone != status.Heartbeat.Zone
	r.status, r.listing = *status, p.listing
	if isAdded {
		p.paces.Expect(now, instance, p.slowness[r.endpoint()])
		r.judgement = p.formerJudgements[instance]
	}
	if isAdded || isMoved {
		p.index.noteChanged(r)
		r.pace = p.paces.Runner(status.Heartbeat.Service, instance)
	}
	if isNew {
		p.receiveHeartbeat(now, r)
	}
	return r
}

// receiveHeartbeat applies the last heartbeat of a runner.
func (p *Planner) receiveHeartbeat(now time.Time, r *runner) {
	r.isGone = false
	if r.noteCopies() {
		p.index.noteChanged(r)
	}
	before := r.loaded()
	if r.applyHeartbeat(now, r.status.Heartbeat.Models, p.options.ReportLag) {
		p.noteChange(before, r)
	}
}

// forgetUnlisted deletes the runners that are missing from the last call of SetRunners.
func (p *Planner) forgetUnlisted() {
	for instance, r := range p.runners {
		if r.listing != p.listing {
			delete(p.runners, instance)
			delete(p.active, r)
			r.isForgotten = true
			p.formerJudgements[instance] = r.judgement
			p.index.noteChanged(r)
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
	slices.SortFunc(p.order, byInstance)
	p.isOrdered = true
	return p.order
}

func byInstance(a, b *runner) int {
	return strings.Compare(a.status.Heartbeat.Instance, b.status.Heartbeat.Instance)
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
