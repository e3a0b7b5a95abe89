package residency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
)

// simulatedRunner executes orders like a runner: one order about a model at a time, and only if its
// expected number matches.
type simulatedRunner struct {
	id       string
	beats    uint64
	taken    uint64
	models   map[string]map[string]bool
	loading  string
	loadedAt time.Time
	late     []lateOrder
	// seen holds former states, for reports that lag.
	seen []seenState
}

type lateOrder struct {
	order Order
	at    time.Time
}

type seenState struct {
	at     time.Time
	report Report
}

// world is a site of simulated runners with one planner, which is replaced to simulate a change of
// the leader.
type world struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	planner *Planner
	index   *site.Index
	engine  *site.Engine
	runners []*simulatedRunner
	// calls holds future events: heartbeats and answers in transit.
	calls  []call
	loads  []time.Time
	orders int
	// lossRate is the share of orders whose answer is lost and that are executed late.
	lossRate float64
}

type call struct {
	at  time.Time
	run func()
}

func newWorld(t *testing.T, seed uint64) *world {
	engine := &site.Engine{Slots: 64, WeightsMB: 200_000, MaxAdapters: 8, LoadsPerSecond: 2}
	for i, sizeMB := range []float64{72_700, 72_700, 65_100, 42_700, 42_700, 65_100, 72_700, 42_700} {
		engine.Models = append(engine.Models, site.Model{
			Name: fmt.Sprint("m", i), SizeMB: sizeMB, Adapters: 12, AdapterMB: 66,
			LoadTime: 3 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: time.Second,
		})
	}
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), engine: engine,
		index: site.NewIndex(&site.Document{Version: 1, Services: []site.Service{{Name: "s", Engine: engine}}}),
	}
	for i := range 3 {
		w.runners = append(w.runners, &simulatedRunner{id: fmt.Sprint("r", i), models: map[string]map[string]bool{
			fmt.Sprint("m", i): {}, fmt.Sprint("m", i+3): {},
		}})
	}
	w.newLeader()
	return w
}

func (w *world) newLeader() {
	w.planner = NewPlanner(Options{}, w.now.Add(3*time.Second))
	w.planner.SetDocument(w.index)
	w.calls = nil
}

func (w *world) later(after time.Duration, run func()) {
	w.calls = append(w.calls, call{w.now.Add(after), run})
}

func (r *simulatedRunner) report(busy bool) Report {
	report := Report{Busy: busy, Taken: r.taken}
	for name, adapters := range r.models {
		model := fleet.LoadedModel{Name: name}
		for adapter := range adapters {
			model.Adapters = append(model.Adapters, adapter)
		}
		slices.Sort(model.Adapters)
		report.Models = append(report.Models, model)
	}
	return report
}

// execute executes an order at the runner and returns the outcome.
func (w *world) execute(r *simulatedRunner, order Order) Outcome {
	if order.Expected != r.taken || r.loading != "" {
		return OutcomeConflict
	}
	adapters, held := r.models[order.Model]
	switch {
	case order.Adapter == "" && order.Operation == Load && held, order.Adapter == "" && order.Operation == Unload && !held:
		return OutcomeHeld
	case order.Adapter == "" && order.Operation == Load:
		r.loading, r.loadedAt = order.Model, w.now.Add(3*time.Second)
		w.loads = append(w.loads, w.now)
	case order.Adapter == "":
		delete(r.models, order.Model)
	case !held:
		return OutcomeRejected
	case order.Operation == Load:
		adapters[order.Adapter] = true
	default:
		delete(adapters, order.Adapter)
	}
	r.taken++
	w.check(r)
	return OutcomeAccepted
}

func (w *world) check(r *simulatedRunner) {
	used, adapters := 0.0, 0
	for name, held := range r.models {
		used += w.engine.ModelByName(name).SizeMB + 66*float64(len(held))
		adapters += len(held)
	}
	if r.loading != "" {
		used += w.engine.ModelByName(r.loading).SizeMB
	}
	if used > w.engine.WeightsMB || adapters > w.engine.MaxAdapters {
		w.t.Fatalf("runner %s holds %.0f MB and %d adapters", r.id, used, adapters)
	}
}

func (w *world) step() {
	w.now = w.now.Add(10 * time.Millisecond)
	due := w.calls
	w.calls = nil
	for _, each := range due {
		if each.at.After(w.now) {
			w.calls = append(w.calls, each)
			continue
		}
		each.run()
	}
	for _, r := range w.runners {
		w.stepRunner(r)
	}
	w.demand()
	w.planner.SetRunners(w.now, w.statuses())
	for _, status := range w.planner.RunnersToPoll(w.now) {
		w.answerPoll(status.Heartbeat.Instance)
	}
	orders := w.planner.Plan(w.now)
	w.planner.checkLists()
	for _, order := range orders {
		w.orders++
		w.sendOrder(order)
	}
}

func (w *world) stepRunner(r *simulatedRunner) {
	if r.loading != "" && !w.now.Before(r.loadedAt) {
		r.models[r.loading] = map[string]bool{}
		r.loading = ""
		r.beats++
	}
	r.late = slices.DeleteFunc(r.late, func(late lateOrder) bool {
		if late.at.After(w.now) {
			return false
		}
		w.execute(r, late.order)
		return true
	})
	if w.random.IntN(120) == 0 {
		r.beats++
	}
	r.seen = append(r.seen, seenState{w.now, r.report(r.loading != "")})
	if len(r.seen) > 30 {
		r.seen = r.seen[1:]
	}
}

func (w *world) statuses() []fleet.Status {
	var statuses []fleet.Status
	for _, r := range w.runners {
		statuses = append(statuses, fleet.Status{Heartbeat: fleet.Heartbeat{
			Instance: r.id, Service: "s", Address: r.id, Sequence: r.beats + 1, Models: r.report(false).Models,
		}})
	}
	return statuses
}

func (w *world) runner(id string) *simulatedRunner {
	for _, r := range w.runners {
		if r.id == id {
			return r
		}
	}
	w.t.Fatalf("no runner %s", id)
	return nil
}

// answerPoll answers with a state that is up to 200 ms old.
func (w *world) answerPoll(id string) {
	r, polledAt, planner := w.runner(id), w.now, w.planner
	old := r.seen[max(0, len(r.seen)-1-w.random.IntN(20))]
	w.later(10*time.Millisecond, func() { planner.Reported(w.now, polledAt, id, old.report) })
}

func (w *world) sendOrder(order Order) {
	r, planner := w.runner(order.Instance), w.planner
	if w.random.Float64() < w.lossRate {
		r.late = append(r.late, lateOrder{order, w.now.Add(time.Duration(2+w.random.IntN(10)) * time.Second)})
		w.later(time.Second, func() { planner.Answered(w.now, order, OutcomeUnknown) })
		return
	}
	w.later(10*time.Millisecond, func() {
		outcome := w.execute(r, order)
		planner.Answered(w.now, order, outcome)
	})
}

func (w *world) demand() {
	if w.random.IntN(15) != 0 {
		return
	}
	row := Row{Service: "s", Model: fmt.Sprint("m", w.random.IntN(8))}
	if w.random.IntN(2) == 0 {
		row.Adapter = fmt.Sprint("a", w.random.IntN(12))
	}
	w.planner.Observe(w.now, "router", []Demand{{Row: row, Waiting: 1, Arrived: 1}})
}

func TestRunnersNeverExceedMemory(t *testing.T) {
	for seed := range uint64(6) {
		w := newWorld(t, seed)
		w.lossRate = float64(seed%4) * 0.2
		for step := range 6000 {
			w.step()
			if seed%2 == 1 && step%1500 == 1499 {
				w.newLeader()
			}
		}
		if w.orders < 50 {
			t.Fatalf("seed %d: only %d orders were sent", seed, w.orders)
		}
		w.checkLoads(seed)
	}
}

// checkLoads checks the rate of loads from the weight store, with a margin for orders that are
// executed late.
func (w *world) checkLoads(seed uint64) {
	const window = 5 * time.Second
	slices.SortFunc(w.loads, time.Time.Compare)
	for first := range w.loads {
		count := 0
		for _, at := range w.loads[first:] {
			if at.Sub(w.loads[first]) < window {
				count++
			}
		}
		if limit := int(w.engine.LoadsPerSecond*window.Seconds()*1.1) + 3; count > limit {
			w.t.Fatalf("seed %d: %d loads in %v", seed, count, window)
		}
	}
}
