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

// Planner decides on loads and unloads. Its methods must not run at the same time.
type Planner struct {
	options Options
	// ordersFrom is when orders may begin; see NewPlanner.
	ordersFrom time.Time
	document   *site.Index
	runners    map[string]*runner
	// order is that of the runners by instance, as long as isOrdered is set: they come and go seldom.
	order     []*runner
	isOrdered bool
	demands   map[Row]*rowDemand
	// idleDemand are by service.
	idleDemand map[string]*idleDemand
	// routerZones are by router.
	routerZones map[string]string
	// runnersAt is when a runner was last added.
	runnersAt time.Time
	// aheadAt is when models were last loaded ahead of need.
	aheadAt map[Row]time.Time
	// observedFrom is when the first demand was reported.
	observedFrom time.Time
	// stores bound the loads from the weight store, by service.
	stores map[string]*weightstore.Limiter
	// recalledStores are by service; see RecallStore.
	recalledStores map[string]recalledStore
	// awaitedCopies is since when a copy of a model has been waited for.
	awaitedCopies map[Row]time.Time
	// paces learns what work takes at the runners.
	paces  *pace.Learner
	pauses pauses
	// bearings are by service.
	bearings map[string]*bearing
	// judgements is by instance, as of judgedAt; judged are those that have changed.
	judgements map[string]Judgement
	judgedAt   time.Time
	judged     []Judgement
	// slowness is what was last believed of the runner in each place.
	slowness map[place]float64
	// questions may be asked, as of questionsAt.
	questions   float64
	questionsAt time.Time
	// tally is that of the plan under way.
	tally *tally
	// unmet are the needs that the last plan could not bring about.
	unmet []need
	// listing numbers the calls of SetRunners.
	listing uint64
	// readyAt is when models that requests wait for should be ready.
	readyAt map[Row]time.Time
	// arrived are the rows that have become ready since they were last taken.
	arrived map[Row]bool
}

// NewPlanner makes the planner of a leadership. No order is planned before
// ordersFrom, by when orders of the leader before are out of the way.
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
		aheadAt:        make(map[Row]time.Time),

		paces:      pace.NewLearner(),
		pauses:     make(pauses),
		bearings:   make(map[string]*bearing),
		judgements: make(map[string]Judgement),
		slowness:   make(map[place]float64),
		arrived:    make(map[Row]bool),
	}
}

// SetOrdersFrom changes the time from which orders are planned.
func (p *Planner) SetOrdersFrom(ordersFrom time.Time) { p.ordersFrom = ordersFrom }

// SetDocument adopts a site document.
func (p *Planner) SetDocument(document *site.Index) { p.document = document }

// Loaded lists the models that requests may use at the runner.
func (p *Planner) Loaded(instance string) []fleet.LoadedModel {
	if known := p.runners[instance]; known != nil {
		return known.loaded()
	}
	return nil
}

// SetRunners adopts the runners that live, each listed once.
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
	known := p.runners[instance]
	isAdded := known == nil
	if isAdded {
		known = &runner{holdings: make(map[string]*holding)}
		p.runners[instance] = known
		p.runnersAt = now
		p.isOrdered = false
	}
	wasHeard := !isAdded && !known.status.Recalled
	isNew := !status.Recalled && (!wasHeard || status.Heartbeat.Sequence > known.status.Heartbeat.Sequence)
	known.status, known.listing = *status, p.listing
	if isAdded {
		p.paces.Expect(now, instance, p.slowness[known.place()])
	}
	if isNew {
		known.isGone = false
		known.noteCopies()
		before := known.loaded()
		known.hear(now, status.Heartbeat.Models, p.options.ReportLag)
		p.noteChange(before, known)
	}
}

// forgetUnlisted drops the runners that the last listing lacks.
func (p *Planner) forgetUnlisted() {
	for instance, known := range p.runners {
		if known.listing != p.listing {
			delete(p.runners, instance)
		}
	}
	p.isOrdered = false
	isListed := func(instance string) bool { return p.runners[instance] != nil }
	p.paces.Forget(isListed)
	p.pauses.forget(isListed)
}

// Observe takes a router's report of demand.
func (p *Planner) Observe(now time.Time, router string, demands []Demand) {
	if p.observedFrom.IsZero() {
		p.observedFrom = now
	}
	for _, demand := range demands {
		known := p.demands[demand.Row]
		if known == nil {
			known = &rowDemand{reports: make(map[string]routerDemand)}
			p.demands[demand.Row] = known
		}
		known.add(now, router, demand, p.options.RateTime)
		known.addZone(p.routerZones[router], demand.Arrived, p.options.RateTime)
		if demand.Arrived > 0 {
			p.idleDemandOf(demand.Row.Service).observe(now, demand.Row.Model, p.listedModels(demand.Row.Service))
		}
		for _, active := range demand.Active {
			if active.Count > 0 {
				p.noteUse(now, active.Instance, demand.Row)
			}
			if known := p.runners[active.Instance]; known != nil && active.Prompt > 0 {
				known.read.add(now, active.Prompt)
			}
		}
	}
}

// listedModels counts the models that the document lists for a service.
func (p *Planner) listedModels(service string) int {
	if p.document == nil || p.document.Service(service) == nil || p.document.Service(service).Engine == nil {
		return 0
	}
	return len(p.document.Service(service).Engine.Models)
}

func (p *Planner) idleDemandOf(service string) *idleDemand {
	known := p.idleDemand[service]
	if known == nil {
		known = newIdleDemand()
		p.idleDemand[service] = known
	}
	return known
}

func (p *Planner) noteUse(now time.Time, instance string, row Row) {
	known := p.runners[instance]
	if known == nil || known.holdings[row.Model] == nil {
		return
	}
	held := known.holdings[row.Model]
	held.usedAt = now
	if adapter := held.adapters[row.Adapter]; adapter != nil {
		adapter.usedAt = now
	}
}

// Questions lists the runners that should be asked for a report now. Those that have
// waited the longest come first.
func (p *Planner) Questions(now time.Time) []fleet.Status {
	p.refillQuestions(now)
	isEarly := now.Before(p.ordersFrom.Add(-p.options.AskAgain))
	candidates := slices.Clone(p.sorted())
	slices.SortStableFunc(candidates, func(a, b *runner) int { return a.askedAt.Compare(b.askedAt) })
	known := p.knownRunners(candidates)
	var asked []fleet.Status
	for _, each := range candidates {
		if p.questions < 1 {
			break
		}
		if isEarly && (!each.status.Recalled || len(each.holdings) > 0) {
			continue
		}
		if p.engineOf(each) == nil || !each.status.MayServe() || each.isGone || each.sent || each.isTakenKnown {
			continue
		}
		if now.Before(each.pausedUntil) || now.Sub(each.changedAt) < p.options.ReportLag || now.Sub(each.askedAt) < p.options.AskAgain {
			continue
		}
		if known.areEnough(each) && !p.isWaitedFor(each) {
			continue
		}
		each.askedAt = now
		p.questions--
		asked = append(asked, each.status)
	}
	return asked
}

// enoughKnown is of how many runners of a service it must be known how many orders they have taken, besides those
// that hold what requests wait for: more than any plan orders at once. To ask ten thousand takes a leader a
// minute, a fifth of its time and a question to each.
const enoughKnown = 512

// knownRunners counts, by service, the runners that could be given an order.
type knownRunners map[string]int

func (p *Planner) knownRunners(candidates []*runner) knownRunners {
	known := make(knownRunners)
	for _, each := range candidates {
		if each.isTakenKnown && each.status.MayServe() {
			known[each.status.Heartbeat.Service]++
		}
	}
	return known
}

// areEnough reports whether a runner need not be asked only so that there are some to order loads from.
func (k knownRunners) areEnough(asked *runner) bool {
	return k[asked.status.Heartbeat.Service] >= enoughKnown
}

// isWaitedFor reports whether requests wait for a model that the runner holds or has a copy of.
func (p *Planner) isWaitedFor(known *runner) bool {
	if p.tally == nil {
		return false
	}
	for model := range known.holdings {
		if p.tally.waiting[known.rowOf(model)] > 0 {
			return true
		}
	}
	for model := range known.copies {
		if p.tally.waiting[known.rowOf(model)] > 0 {
			return true
		}
	}
	return false
}

// refillQuestions allows what the time since the last call allows: a new leader of a
// large site must not ask thousands of runners at once.
func (p *Planner) refillQuestions(now time.Time) {
	if p.questionsAt.IsZero() {
		p.questions = p.options.QuestionBurst
	} else {
		p.questions += now.Sub(p.questionsAt).Seconds() * p.options.QuestionRate
	}
	p.questions = min(p.questions, p.options.QuestionBurst)
	p.questionsAt = now
}

// Reported takes the answer to a question that was asked at askedAt.
func (p *Planner) Reported(now, askedAt time.Time, instance string, report Report) {
	known := p.runners[instance]
	if known == nil || known.sent || askedAt.Sub(known.changedAt) < p.options.ReportLag {
		return
	}
	before := known.loaded()
	known.reconcile(now, report)
	p.noteChange(before, known)
}

func (p *Planner) engineOf(known *runner) *site.Engine {
	if p.document == nil {
		return nil
	}
	service := p.document.Service(known.status.Heartbeat.Service)
	if service == nil {
		return nil
	}
	return service.Engine
}

// sorted lists the runners by instance. The list must not be changed.
func (p *Planner) sorted() []*runner {
	if p.isOrdered {
		return p.order
	}
	p.order = make([]*runner, 0, len(p.runners))
	for _, known := range p.runners {
		p.order = append(p.order, known)
	}
	slices.SortFunc(p.order, func(a, b *runner) int {
		return strings.Compare(a.status.Heartbeat.Instance, b.status.Heartbeat.Instance)
	})
	p.isOrdered = true
	return p.order
}

// waits lists the rows that wait, the most urgent first.
func (p *Planner) waits(now time.Time) []waiting {
	var rows []waiting
	for row, demand := range p.demands {
		demand.decay(now, p.options.RateTime)
		if found := demand.waits(now, row, p.options.DemandLife); found.count > 0 {
			rows = append(rows, found)
		} else if demand.rate < 1e-4 {
			delete(p.demands, row)
		}
	}
	slices.SortFunc(rows, func(a, b waiting) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(b.oldest, a.oldest),
			strings.Compare(a.row.Model, b.row.Model), strings.Compare(a.row.Adapter, b.row.Adapter))
	})
	return rows
}

// modelDemand is the demand for a model with all of its adapters.
type modelDemand struct {
	// rate is the larger of the long and the short average, in requests a second.
	rate float64
	// objective is the shortest of its rows; 0 if none is known.
	objective time.Duration
}

// modelDemand is the demand for a model.
func (p *Planner) modelDemand(row Row) modelDemand { return p.tally.demands[modelOf(row)] }

// Doubt notes runners that refused requests for what they were thought to hold. They
// are asked for a report.
func (p *Planner) Doubt(now time.Time, instances []string) {
	for _, instance := range instances {
		if known := p.runners[instance]; known != nil && now.Sub(known.askedAt) >= p.options.AskAgain {
			known.isTakenKnown = false
		}
	}
}
