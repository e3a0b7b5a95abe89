package residency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/placement/site"
)

// indexWorld changes the runners of a planner at random.
type indexWorld struct {
	random   *rand.Rand
	planner  *Planner
	now      time.Time
	statuses []fleet.Status
	orders   []Order
	// sequence is that of the last heartbeat of any runner.
	sequence uint64
}

const indexModels = 8

func newIndexWorld(seed uint64) *indexWorld {
	engine := &site.Engine{WeightsMB: 300, MaxAdapters: 4, LoadsPerSecond: 36}
	for i := range indexModels {
		engine.Models = append(engine.Models, site.Model{
			Name: fmt.Sprint("m", i), SizeMB: 80, Adapters: 3, AdapterMB: 1, LoadTime: 3 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: time.Second / 2,
		})
	}
	options := Options{PollRate: 20, PollBurst: 10}
	w := &indexWorld{random: rand.New(rand.NewPCG(seed, seed)), planner: NewPlanner(options, start.Add(2*time.Second)), now: start}
	w.planner.SetDocument(site.NewIndex(&site.Document{Version: 1, Services: []site.Service{{Name: "s", Engine: engine}, {Name: "plain"}}}))
	return w
}

func (w *indexWorld) chance(ofHundred int) bool { return w.random.IntN(100) < ofHundred }

func (w *indexWorld) model() string { return fmt.Sprint("m", w.random.IntN(indexModels)) }

func (w *indexWorld) models() []string {
	var listed []string
	for range w.random.IntN(4) {
		listed = append(listed, w.model())
	}
	return listed
}

func (w *indexWorld) loadedModels() []fleet.LoadedModel {
	var listed []fleet.LoadedModel
	for _, name := range w.models() {
		if slices.ContainsFunc(listed, func(other fleet.LoadedModel) bool { return other.Name == name }) {
			continue
		}
		model := fleet.LoadedModel{Name: name}
		if w.chance(30) {
			model.Adapters = []string{fmt.Sprint("a", w.random.IntN(3))}
		}
		listed = append(listed, model)
	}
	return listed
}

// changeRunners adds, removes and changes runners.
func (w *indexWorld) changeRunners() {
	w.statuses = slices.DeleteFunc(w.statuses, func(fleet.Status) bool { return w.chance(3) })
	for w.chance(50) && len(w.statuses) < 40 {
		instance := fmt.Sprintf("i-%03d", w.random.IntN(100))
		isSame := func(other fleet.Status) bool { return other.Heartbeat.Instance == instance }
		if !slices.ContainsFunc(w.statuses, isSame) {
			service := []string{"s", "s", "s", "plain"}[w.random.IntN(4)]
			heartbeat := fleet.Heartbeat{Instance: instance, Service: service, Address: instance, Zone: "z0", Slots: 4, Sequence: w.sequence + 1}
			w.sequence++
			w.statuses = append(w.statuses, fleet.Status{Heartbeat: heartbeat, Recalled: w.chance(30)})
		}
	}
	slices.SortFunc(w.statuses, func(a, b fleet.Status) int { return strings.Compare(a.Heartbeat.Instance, b.Heartbeat.Instance) })
	for i := range w.statuses {
		w.changeStatus(&w.statuses[i])
	}
	listed := slices.Clone(w.statuses)
	if w.chance(20) {
		w.random.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	}
	w.planner.SetRunners(w.now, listed)
}

func (w *indexWorld) changeStatus(status *fleet.Status) {
	if w.chance(5) {
		status.Leaving, status.Lost, status.Drained = w.chance(30), w.chance(30), w.chance(30)
	}
	if w.chance(60) {
		return
	}
	status.Recalled = false
	heartbeat := &status.Heartbeat
	w.sequence++
	heartbeat.Sequence = w.sequence
	if w.chance(5) {
		heartbeat.Zone = fmt.Sprint("z", w.random.IntN(3))
	}
	if w.chance(30) {
		heartbeat.Models = w.loadedModels()
	}
	if w.chance(20) {
		heartbeat.OnDisk, heartbeat.InMemory = w.models(), w.models()
	}
}

// changeDemand reports requests of a router.
func (w *indexWorld) changeDemand() {
	demand := Demand{Row: Row{Service: "s", Model: w.model()}, Arrived: w.random.IntN(5), Objective: time.Second}
	if w.chance(20) {
		demand.Row.Adapter = fmt.Sprint("a", w.random.IntN(3))
	}
	if w.chance(30) {
		demand.Waiting, demand.Oldest = 1, time.Second
	}
	if len(w.statuses) > 0 {
		instance := w.statuses[w.random.IntN(len(w.statuses))].Heartbeat.Instance
		demand.Active = []ActiveCount{{Instance: instance, Count: w.random.IntN(3), Prompt: int64(w.random.IntN(2000))}}
		w.planner.ObservePace(w.now, []Pace{{
			Service: "s", Model: w.model(), Instance: instance, Gap: time.Duration(20+w.random.IntN(40)) * time.Millisecond,
			First: 50 * time.Millisecond, Prompt: 500, Events: 10, Paused: w.chance(20),
		}})
	}
	w.planner.Observe(w.now, fmt.Sprint("router-", w.random.IntN(3)), []Demand{demand})
}

// expectedPolls returns the runners to poll, by going through all of them in the order of their last
// polls.
func (w *indexWorld) expectedPolls() []string {
	p := w.planner
	p.refillPollAllowance(w.now)
	candidates := slices.Clone(p.sorted())
	slices.SortStableFunc(candidates, func(a, b *runner) int { return a.polledAt.Compare(b.polledAt) })
	var expected []string
	for _, each := range candidates {
		isFree := !each.isGone && !each.sent && !each.isTakenKnown && !w.now.Before(each.pausedUntil)
		isDue := w.now.Sub(each.changedAt) >= p.options.ReportLag && w.now.Sub(each.polledAt) >= p.options.PollInterval
		isEarly := w.now.Before(p.ordersFrom.Add(-p.options.PollInterval)) && (!each.status.Recalled || len(each.holdings) > 0)
		if len(expected) < int(p.pollAllowance) && p.engineOf(each) != nil && each.status.MayServe() && isFree && isDue && !isEarly {
			expected = append(expected, each.status.Heartbeat.Instance)
		}
	}
	return expected
}

// plan polls the runners and answers some of the orders.
func (w *indexWorld) plan(c *qt.C) {
	c.Helper()
	expected := w.expectedPolls()
	polled := w.planner.RunnersToPoll(w.now)
	c.Assert(polled, qt.HasLen, len(expected))
	for i := range polled {
		c.Assert(polled[i].Heartbeat.Instance, qt.Equals, expected[i])
	}
	for _, status := range polled {
		if w.chance(70) {
			report := Report{Models: w.loadedModels(), Busy: w.chance(20)}
			w.planner.Reported(w.now, w.now, status.Heartbeat.Instance, report)
		}
	}
	w.orders = append(w.orders, w.planner.Plan(w.now)...)
	outcomes := []Outcome{OutcomeAccepted, OutcomeAccepted, OutcomeAccepted, OutcomeHeld, OutcomeConflict, OutcomeGone, OutcomeUnknown, OutcomeNotSent}
	w.orders = slices.DeleteFunc(w.orders, func(order Order) bool {
		isAnswered := w.chance(50)
		if isAnswered {
			w.planner.Answered(w.now, order, outcomes[w.random.IntN(len(outcomes))])
		}
		return isAnswered
	})
}

// listAll lists the runners by model from scratch, as the index does from changes.
func listAll(p *Planner) *runnerIndex {
	x := newRunnerIndex()
	sorted := make([]*runner, 0, len(p.runners))
	for _, r := range p.runners {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, byInstance)
	for _, r := range sorted {
		x.services[r.status.Heartbeat.Service]++
		if !r.status.MayServe() {
			continue
		}
		if zone := r.status.Heartbeat.Zone; zone != "" {
			x.zones[serviceZone{r.status.Heartbeat.Service, zone}]++
		}
		for name, held := range r.holdings {
			switch held.phase {
			case phaseReady:
				x.holders[r.rowOf(name)] = append(x.holders[r.rowOf(name)], r)
			case phaseLoading, phaseUncertain:
				x.coming[r.rowOf(name)] = append(x.coming[r.rowOf(name)], r)
			}
		}
		for name := range r.copies {
			x.copies[r.rowOf(name)] = append(x.copies[r.rowOf(name)], r)
		}
	}
	return x
}

// names replaces the runners of the lists by their instances.
func names(lists map[Row][]*runner) map[Row][]string {
	named := make(map[Row][]string, len(lists))
	for row, runners := range lists {
		for _, r := range runners {
			named[row] = append(named[row], r.status.Heartbeat.Instance)
		}
	}
	return named
}

// check compares what the planner derives from changes with the same from all runners.
func (w *indexWorld) check(c *qt.C) {
	c.Helper()
	p, all := w.planner, listAll(w.planner)
	c.Assert(names(p.snapshot.holders), qt.DeepEquals, names(all.holders))
	c.Assert(names(p.snapshot.coming), qt.DeepEquals, names(all.coming))
	c.Assert(names(p.snapshot.copies), qt.DeepEquals, names(all.copies))
	c.Assert(p.index.services, qt.DeepEquals, all.services)
	c.Assert(p.index.zones, qt.DeepEquals, all.zones, qt.Commentf("zones"))
	c.Assert(slices.IsSortedFunc(p.sorted(), byInstance), qt.IsTrue)
	c.Assert(p.sorted(), qt.HasLen, len(p.runners))
	for _, r := range p.sorted() {
		instance := r.status.Heartbeat.Instance
		c.Assert(p.runners[instance], qt.Equals, r)
		c.Assert(r.listed, qt.DeepEquals, r.listLoaded())
		c.Assert(r.activity, qt.Equals, r.listActivity())
		_, isActive := p.active[r]
		c.Assert(isActive, qt.Equals, r.isBusy || r.listActivity() != activity{})
		c.Assert(p.judgementOf(instance), qt.Equals, r.judgement)
		c.Assert(r.pace, qt.Equals, p.paces.Runner(r.status.Heartbeat.Service, instance))
		w.checkCopies(c, r)
		isWaitedFor := false
		for model := range r.holdings {
			isWaitedFor = isWaitedFor || p.snapshot.waiting[r.rowOf(model)] > 0
		}
		for model := range r.copies {
			isWaitedFor = isWaitedFor || p.snapshot.waiting[r.rowOf(model)] > 0
		}
		c.Assert(r.isWaitedFor(p.waitedModels()), qt.Equals, isWaitedFor)
	}
	for r := range p.active {
		c.Assert(p.runners[r.status.Heartbeat.Instance], qt.Equals, r)
	}
	w.checkLoads(c)
}

// checkCopies compares the recorded copies with the last heartbeat.
func (w *indexWorld) checkCopies(c *qt.C, r *runner) {
	c.Helper()
	if r.status.Recalled {
		return
	}
	listed := make(map[string]copyLocation)
	for _, name := range r.status.Heartbeat.OnDisk {
		listed[name] = copyOnDisk
	}
	for _, name := range r.status.Heartbeat.InMemory {
		listed[name] = copyInMemory
	}
	c.Assert(r.copies, qt.DeepEquals, listed)
}

// checkLoads compares the listed loads with those of each runner.
func (w *indexWorld) checkLoads(c *qt.C) {
	c.Helper()
	p := w.planner
	for _, load := range p.Loads(w.now) {
		r := p.runners[load.Instance]
		c.Assert(load.Requests, qt.Equals, p.snapshot.loads[load.Instance])
		if speed := p.paces.Runner(r.status.Heartbeat.Service, load.Instance); speed == (pace.Runner{}) {
			c.Assert(load.Reading, qt.Equals, 0.0)
		}
	}
}

// Guards against runners that a plan takes for holders of a model, or for idle, as a change of theirs
// was not noticed.
func TestIndexOfChangesEqualsListOfAll(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			w := newIndexWorld(seed)
			for range 400 {
				w.now = w.now.Add(time.Duration(w.random.IntN(200)) * time.Millisecond)
				w.changeRunners()
				w.changeDemand()
				w.plan(c)
				w.planner.takeSnapshot(w.now)
				w.check(c)
			}
		})
	}
}
