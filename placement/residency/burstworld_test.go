package residency

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
)

// burstShape is the load of a site that can't hold all of its rare models at once.
type burstShape struct {
	runners int
	// hot lists the requests per second for each model in high demand. rare is the number of rare
	// models, which get rareRate each.
	hot      []float64
	rare     int
	rareRate float64
	// The rate is burstFactor times rareRate from burstFrom until burstTo.
	burstFactor        float64
	burstFrom, burstTo time.Duration
	// objective and deadline apply to requests for rare models.
	objective, deadline time.Duration
	storeTime           time.Duration
	// storeAtOnce loads run at full speed; loads from disk or memory take diskTime.
	storeAtOnce int
	diskTime    time.Duration
	// Every shiftEvery, the models in high demand are others: each rate goes to the model shiftBy
	// places further in the list; 0 for no shift.
	shiftEvery time.Duration
	shiftBy    int
	// sizes are the sizes of the models, in turn; nil for those of two large or four small ones.
	sizes []float64
	// absent is the number of rare models without a copy.
	absent  int
	onDisk  int
	slots   int
	replica float64
}

// messagingShape has 60 runners and mailShape has 90, each with memory for two large models or four
// small ones, as at two deployments.
var (
	messagingShape = burstShape{
		runners: 60, hot: []float64{76, 56, 36, 29, 25, 22, 21, 19, 17, 15, 13, 12, 11, 10, 9, 8, 7, 6, 5, 4},
		rare: 165, rareRate: 0.66, burstFactor: 2.4, burstFrom: 8 * time.Second, burstTo: 14 * time.Second,
		objective: 2500 * time.Millisecond, deadline: 11 * time.Second,
		storeTime: 13200 * time.Millisecond, storeAtOnce: 1, diskTime: 790 * time.Millisecond,
		absent: 3, onDisk: 10, slots: 24, replica: 12,
	}
	mailShape = burstShape{
		runners: 90, hot: []float64{60, 42, 30, 24, 20, 17, 15, 13, 12, 11, 10, 9, 8, 7, 6, 5, 4, 3},
		rare: 248, rareRate: 0.23, burstFactor: 2.5, burstFrom: 8 * time.Second, burstTo: 14 * time.Second,
		objective: 6 * time.Second, deadline: 17 * time.Second,
		storeTime: 10200 * time.Millisecond, storeAtOnce: 2, diskTime: 790 * time.Millisecond,
		absent: 6, onDisk: 10, slots: 12, replica: 8,
	}
)

// burstRequest is one request of the load.
type burstRequest struct {
	model   string
	isRare  bool
	arrived time.Time
}

// burstRunner simulates a runner.
type burstRunner struct {
	heartbeat fleet.Heartbeat
	taken     uint64
	// models holds the end times of the streams of each loaded model.
	models map[string][]time.Time
	// order is executed until endsAt if isBusy is set; an unload waits until the streams have
	// ended.
	order   Order
	isBusy  bool
	endsAt  time.Time
	isStore bool
	// work is the remaining time of a load from the store at full speed.
	work time.Duration
	// isDead is set for stopped runners.
	isDead bool
}

// burstResult counts the requests for rare or for hot models by result.
type burstResult struct {
	asked, inTime, late, refused int
}

// burstWorld simulates a shape against one planner in virtual time.
type burstWorld struct {
	shape    burstShape
	random   *rand.Rand
	now      time.Time
	began    time.Time
	engine   *site.Engine
	planner  *Planner
	runners  []*burstRunner
	waiting  map[string][]burstRequest
	arrived  map[string]int
	hotNames []string
	// places holds the place of each model in the list.
	places   map[string]int
	rare     []string
	rareSeen burstResult
	hotSeen  burstResult
	// swaps and storeLoads count loads, and rejected requests that were sent to a runner without
	// the model.
	swaps, storeLoads, rejected int
	// longest is the longest wait of a request for a rare model.
	longest time.Duration
	// diskFactor scales diskTime.
	diskFactor float64
	// isCold is set if all runners report to be cold.
	isCold bool
	// drain is the drain of a zone; nil for none.
	drain *burstDrain
	// silent is the share of orders whose answer is lost; half of these are executed after
	// silenceTime.
	silent float64
	late   []lateOrder
	// view is the routers' view of the holders, one step older than nextView.
	view, nextView map[string][]*burstRunner
	orders         []Order
}

const (
	burstStep  = 20 * time.Millisecond
	streamTime = 450 * time.Millisecond
	// unloadTakes is the time that a runner takes to unload an unused model and to report it.
	unloadTakes = 60 * time.Millisecond
	firstEvent  = 60 * time.Millisecond
	// silenceTime is the delay of an order whose answer was lost.
	silenceTime = 800 * time.Millisecond
)

func newBurstWorld(shape burstShape, seed uint64) *burstWorld {
	w := &burstWorld{
		shape: shape, random: rand.New(rand.NewPCG(seed, 3)), now: start, began: start.Add(4 * time.Second), diskFactor: 1,
		engine:  &site.Engine{Slots: shape.slots, WeightsMB: 200_000, MaxAdapters: 8, LoadsPerSecond: 50},
		waiting: make(map[string][]burstRequest), arrived: make(map[string]int), places: make(map[string]int),
	}
	sizes := []float64{72_700, 72_700, 65_100, 72_700, 42_700}
	if shape.sizes != nil {
		sizes = shape.sizes
	}
	for i := range len(shape.hot) + shape.rare {
		name := fmt.Sprintf("rare%d", i-len(shape.hot))
		if i < len(shape.hot) {
			name = fmt.Sprintf("hot%d", i)
			w.hotNames = append(w.hotNames, name)
		} else {
			w.rare = append(w.rare, name)
		}
		w.places[name] = i
		w.engine.Models = append(w.engine.Models, site.Model{
			Name: name, SizeMB: sizes[i%len(sizes)], AdapterMB: 60, LoadTime: shape.storeTime,
			DiskLoadTime: shape.diskTime, MemoryLoadTime: shape.diskTime * 3 / 4,
		})
	}
	for i := range shape.runners {
		id := fmt.Sprintf("r%02d", i)
		w.runners = append(w.runners, &burstRunner{
			heartbeat: fleet.Heartbeat{Instance: id, Service: "s", Address: id, Slots: shape.slots, Sequence: 1},
			models:    make(map[string][]time.Time),
		})
	}
	w.placeCopies()
	w.newLeader()
	return w
}

// placeCopies gives hot models the replicas that they need and fills the disks at random.
func (w *burstWorld) placeCopies() {
	for i, name := range w.hotNames {
		for range int(math.Ceil(w.shape.hot[i] / w.shape.replica)) {
			r := w.runners[w.random.IntN(len(w.runners))]
			if w.fits(r, name) {
				r.models[name] = nil
			}
			r.heartbeat.OnDisk = append(r.heartbeat.OnDisk, name)
		}
	}
	for i, name := range w.rare[w.shape.absent:] {
		r := w.runners[(i*7+w.random.IntN(20))%len(w.runners)]
		r.heartbeat.OnDisk = append(r.heartbeat.OnDisk, name)
	}
	for _, r := range w.runners {
		for len(r.heartbeat.OnDisk) < w.shape.onDisk {
			r.heartbeat.OnDisk = append(r.heartbeat.OnDisk, w.rare[w.shape.absent+w.random.IntN(w.shape.rare-w.shape.absent)])
		}
		for _, name := range r.heartbeat.OnDisk {
			if w.fits(r, name) {
				r.models[name] = nil
			}
		}
	}
}

func (w *burstWorld) newLeader() {
	w.planner = NewPlanner(Options{ReplicaRate: w.shape.replica}, w.now)
	routes := []site.Route{{Timeout: w.shape.deadline, Split: []site.Share{{Service: "s"}}}}
	w.planner.SetDocument(site.NewIndex(&site.Document{
		Version: 1, Routes: routes, Services: []site.Service{{Name: "s", Engine: w.engine}},
	}))
	w.orders = nil
}

// fits reports whether the runner has memory for a model besides what it holds and loads.
func (w *burstWorld) fits(r *burstRunner, name string) bool {
	used := 8 * 60.0
	if name != "" {
		used += w.engine.ModelByName(name).SizeMB
	}
	for held := range r.models {
		used += w.engine.ModelByName(held).SizeMB
	}
	if r.isBusy && r.order.Operation == Load {
		used += w.engine.ModelByName(r.order.Model).SizeMB
	}
	return used <= w.engine.WeightsMB
}

// step simulates the next burstStep.
func (w *burstWorld) step() {
	w.now = w.now.Add(burstStep)
	w.stepRunners()
	w.answerOrders()
	w.arrive()
	w.serve()
	w.report()
	w.planner.SetRunners(w.now, w.statuses())
	for _, asked := range w.planner.RunnersToPoll(w.now) {
		for _, r := range w.runners {
			if r.heartbeat.Instance == asked.Heartbeat.Instance && !r.isDead {
				w.planner.Reported(w.now, w.now, asked.Heartbeat.Instance, r.report())
			}
		}
	}
	w.orders = append(w.orders, w.planner.Plan(w.now)...)
	w.planner.checkLists()
	w.takeView()
}

// takeView records the holders to which requests may be sent in the next step.
func (w *burstWorld) takeView() {
	w.view, w.nextView = w.nextView, make(map[string][]*burstRunner)
	for _, r := range w.runners {
		for _, model := range w.planner.Loaded(r.heartbeat.Instance) {
			w.nextView[model.Name] = append(w.nextView[model.Name], r)
		}
	}
	if w.drain != nil {
		w.drain.hide(w.now, w.nextView)
	}
}

func (r *burstRunner) report() Report {
	report := Report{Busy: r.isBusy, Taken: r.taken}
	for _, name := range r.loaded() {
		report.Models = append(report.Models, fleet.LoadedModel{Name: name})
	}
	return report
}

// lose stops runners together with their copies.
func (w *burstWorld) lose(isLost func(i int) bool) {
	for i, r := range w.runners {
		if isLost(i) {
			r.isDead = true
		}
	}
}

func (r *burstRunner) loaded() []string {
	var names []string
	for name := range r.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w *burstWorld) statuses() []fleet.Status {
	var listed []fleet.Status
	for _, r := range w.runners {
		if r.isDead {
			continue
		}
		r.heartbeat.Models = r.report().Models
		status := fleet.Status{Heartbeat: r.heartbeat}
		if w.isCold {
			status.Cold, status.ColdFor = true, 5*time.Second
		}
		if w.drain != nil {
			w.drain.mark(w.now, r, &status)
		}
		listed = append(listed, status)
	}
	return listed
}

// stepRunners ends streams, loads and unloads.
func (w *burstWorld) stepRunners() {
	fromStore := w.storesBusy()
	for _, r := range w.runners {
		for name, ends := range r.models {
			r.models[name] = slices.DeleteFunc(ends, func(at time.Time) bool { return !at.After(w.now) })
		}
		if r.isBusy && !r.isDead {
			w.stepOrder(r, fromStore)
		}
	}
}

func (w *burstWorld) stepOrder(r *burstRunner, fromStore int) {
	name := r.order.Model
	switch {
	case r.order.Operation == Unload && len(r.models[name]) > 0:
		r.endsAt = w.now.Add(unloadTakes)
		return
	case r.isStore:
		r.work -= burstStep * time.Duration(min(fromStore, w.shape.storeAtOnce)) / time.Duration(fromStore)
		if r.work > 0 {
			return
		}
		r.heartbeat.OnDisk = append(r.heartbeat.OnDisk, name)
	case w.now.Before(r.endsAt):
		return
	}
	r.isBusy, r.isStore = false, false
	r.heartbeat.Sequence++
	if r.order.Operation == Unload {
		delete(r.models, name)
		return
	}
	r.models[name] = nil
}

// answerOrders executes the orders of the previous step.
func (w *burstWorld) answerOrders() {
	for _, order := range w.orders {
		outcome := OutcomeUnknown
		switch {
		case w.random.Float64() >= w.silent:
			outcome = w.execute(order)
		case w.random.IntN(2) == 0:
			w.late = append(w.late, lateOrder{order, w.now.Add(silenceTime)})
		}
		w.planner.Answered(w.now, order, outcome)
	}
	w.orders = nil
	w.late = slices.DeleteFunc(w.late, func(each lateOrder) bool {
		isDue := !w.now.Before(each.at)
		if isDue {
			w.execute(each.order)
		}
		return isDue
	})
}

// execute executes an order at its runner and returns the outcome.
func (w *burstWorld) execute(order Order) Outcome {
	r := w.runners[slices.IndexFunc(w.runners, func(r *burstRunner) bool { return r.heartbeat.Instance == order.Instance })]
	switch _, isHeld := r.models[order.Model]; {
	case r.isDead:
		return OutcomeUnknown
	case r.isBusy || order.Expected != r.taken:
		return OutcomeConflict
	case isHeld == (order.Operation == Load):
		r.taken++
		return OutcomeHeld
	}
	w.begin(r, order)
	return OutcomeAccepted
}

func (w *burstWorld) begin(r *burstRunner, order Order) {
	r.order, r.isBusy = order, true
	r.taken++
	r.endsAt = w.now.Add(unloadTakes)
	if order.Operation == Unload {
		return
	}
	w.swaps++
	r.isStore = !slices.Contains(r.heartbeat.OnDisk, order.Model)
	r.endsAt, r.work = w.now.Add(time.Duration(float64(w.shape.diskTime)*w.diskFactor)), w.shape.storeTime
	if r.isStore {
		w.storeLoads++
	}
	if !w.fits(r, "") {
		panic("the runner exceeds its memory")
	}
}

// arrive adds the requests of the step.
func (w *burstWorld) arrive() {
	if w.now.Before(w.began) {
		return
	}
	rate := w.shape.rareRate
	if since := w.now.Sub(w.began); since >= w.shape.burstFrom && since < w.shape.burstTo {
		rate *= w.shape.burstFactor
	}
	for _, name := range w.rare {
		if w.hotRate(name) == 0 {
			w.ask(name, rate, true)
		}
	}
	for _, name := range w.hotNames {
		if w.hotRate(name) == 0 {
			w.ask(name, rate, true)
		}
	}
	for i := range w.shape.hot {
		w.ask(w.hotName(i), w.shape.hot[i], false)
	}
}

func (w *burstWorld) ask(name string, rate float64, isRare bool) {
	for expected := rate * burstStep.Seconds(); expected > 0; expected-- {
		if w.random.Float64() >= expected {
			continue
		}
		w.waiting[name] = append(w.waiting[name], burstRequest{name, isRare, w.now})
		w.arrived[name]++
		w.seen(isRare).asked++
	}
}

func (w *burstWorld) seen(isRare bool) *burstResult {
	if isRare {
		return &w.rareSeen
	}
	return &w.hotSeen
}

// serve sends waiting requests to the holder with the fewest streams, or drops them after their
// deadline.
func (w *burstWorld) serve() {
	for _, name := range slices.Sorted(maps.Keys(w.waiting)) {
		requests := w.waiting[name]
		w.waiting[name] = slices.DeleteFunc(requests, func(each burstRequest) bool {
			waited := w.now.Sub(each.arrived)
			isSent := w.send(name)
			objective, deadline := w.shape.objective, w.shape.deadline
			if !each.isRare {
				objective, deadline = 400*time.Millisecond, 5*time.Second
			}
			switch seen := w.seen(each.isRare); {
			case isSent && waited+firstEvent <= objective:
				seen.inTime++
			case isSent:
				seen.late++
			case waited+firstEvent > deadline:
				seen.refused++
			default:
				return false
			}
			if each.isRare {
				w.longest = max(w.longest, waited)
			}
			return true
		})
	}
}

func (w *burstWorld) send(name string) bool {
	holders := w.view[name]
	if w.drain != nil {
		holders = w.drain.withToken(w.now, holders)
	}
	if len(holders) == 0 {
		return false
	}
	least := slices.MinFunc(holders, func(a, b *burstRunner) int { return cmp.Compare(len(a.models[name]), len(b.models[name])) })
	ends, isHeld := least.models[name]
	if least.isDead || !isHeld || least.isBusy && least.order.Operation == Unload && least.order.Model == name {
		w.rejected++
		return false
	}
	if len(ends) >= w.shape.slots {
		return false
	}
	if w.drain != nil {
		w.drain.takeToken(w.now, least)
	}
	least.models[name] = append(ends, w.now.Add(streamTime))
	return true
}

// report sends the demand to the planner: all of it every fifth step, and waiting requests in each
// step.
func (w *burstWorld) report() {
	isWhole := w.now.UnixMilli()/burstStep.Milliseconds()%5 == 0
	var demands []Demand
	for i := range w.engine.Models {
		name := w.engine.Models[i].Name
		if demand := w.demandFor(name); isWhole || demand.Waiting > 0 {
			demands = append(demands, demand)
			w.arrived[name] = 0
		}
	}
	w.planner.Observe(w.now, "router", demands)
}

func (w *burstWorld) demandFor(name string) Demand {
	demand := Demand{Row: Row{Service: "s", Model: name}, Arrived: w.arrived[name], Waiting: len(w.waiting[name]), Objective: 400 * time.Millisecond}
	if w.hotRate(name) == 0 {
		demand.Objective, demand.Priority = w.shape.objective, 1
	}
	for _, each := range w.waiting[name] {
		demand.Oldest = max(demand.Oldest, w.now.Sub(each.arrived))
	}
	for _, r := range w.runners {
		if count := len(r.models[name]); count > 0 {
			demand.Active = append(demand.Active, ActiveCount{Instance: r.heartbeat.Instance, Count: count})
		}
	}
	return demand
}

// play runs the simulation until the given time after the start of the traffic.
func (w *burstWorld) play(during time.Duration) {
	for end := w.began.Add(during); w.now.Before(end); {
		w.step()
	}
}

func (w *burstWorld) String() string {
	return fmt.Sprintf("rare %+v, hot %+v, %d swaps, %d from the store, %d turned away, longest wait %v",
		w.rareSeen, w.hotSeen, w.swaps, w.storeLoads, w.rejected, w.longest)
}
