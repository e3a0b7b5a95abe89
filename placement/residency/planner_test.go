package residency

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
)

var start = time.Unix(5000, 0)

// twoModels returns a service whose runners hold one of its two models at a time.
func twoModels() *site.Index {
	engine := &site.Engine{WeightsMB: 100, MaxAdapters: 2, LoadsPerSecond: 2, Models: []site.Model{
		{Name: "a", SizeMB: 80, AdapterMB: 1, LoadTime: 3 * time.Second},
		{Name: "b", SizeMB: 80, AdapterMB: 1, LoadTime: 3 * time.Second},
	}}
	return site.NewIndex(&site.Document{Version: 1, Services: []site.Service{{Name: "s", Engine: engine}}})
}

func status(sequence uint64, models ...string) []fleet.Status {
	heartbeat := fleet.Heartbeat{Instance: "r", Service: "s", Address: "r:1", Sequence: sequence}
	for _, model := range models {
		heartbeat.Models = append(heartbeat.Models, fleet.LoadedModel{Name: model})
	}
	return []fleet.Status{{Heartbeat: heartbeat}}
}

func newTestPlanner(models ...string) *Planner {
	p := NewPlanner(Options{}, start)
	p.SetDocument(twoModels())
	p.SetRunners(start, status(1, models...))
	return p
}

func waitFor(p *Planner, at time.Time, row Row) {
	row.Service = "s"
	p.Observe(at, "router", []Demand{{Row: row, Waiting: 1, Arrived: 1}})
}

func TestNoOrderBeforeOrdersFrom(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(Options{}, start.Add(3*time.Second))
	p.SetDocument(twoModels())
	p.SetRunners(start, status(1))
	p.Reported(start.Add(time.Second), start.Add(time.Second), "r", Report{})
	waitFor(p, start.Add(2999*time.Millisecond), Row{Model: "a"})
	c.Assert(p.Plan(start.Add(2999*time.Millisecond)), qt.HasLen, 0)
	c.Assert(p.Plan(start.Add(3*time.Second)), qt.HasLen, 1)
}

func TestOrderExpectsReportedNumber(t *testing.T) {
	c := qt.New(t)
	p := newTestPlanner()
	waitFor(p, start, Row{Model: "a"})
	c.Assert(p.Plan(start), qt.HasLen, 0, qt.Commentf("the number of taken orders is unknown"))
	c.Assert(p.RunnersToPoll(start), qt.HasLen, 1)
	c.Assert(p.RunnersToPoll(start), qt.HasLen, 0, qt.Commentf("already polled"))
	p.Reported(start, start, "r", Report{Taken: 7})
	orders := p.Plan(start)
	c.Assert(orders, qt.DeepEquals, []Order{{Instance: "r", Address: "r:1", Operation: Load, Model: "a", Expected: 7}})
	c.Assert(p.Plan(start), qt.HasLen, 0, qt.Commentf("one order at a time"))
}

// A new leader polls a runner that executes an order of the previous leader.
func TestBusyRunnerIsPolledAgain(t *testing.T) {
	c := qt.New(t)
	p := newTestPlanner()
	waitFor(p, start, Row{Model: "a"})
	p.RunnersToPoll(start)
	p.Reported(start, start, "r", Report{Taken: 7, Busy: true})
	c.Assert(p.Plan(start), qt.HasLen, 0)
	again := start.Add(time.Second)
	waitFor(p, again, Row{Model: "a"})
	c.Assert(p.RunnersToPoll(again), qt.HasLen, 1)
	p.Reported(again, again, "r", Report{Taken: 7, Models: []fleet.LoadedModel{{Name: "b"}}})
	waitFor(p, again.Add(2*time.Second), Row{Model: "a"})
	orders := p.Plan(again.Add(2 * time.Second))
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Unload)
	c.Assert(orders[0].Model, qt.Equals, "b")
}

func TestIdleModelIsEvictedForWaitingRequests(t *testing.T) {
	c := qt.New(t)
	p := newTestPlanner("b")
	p.Reported(start, start, "r", Report{Taken: 1, Models: []fleet.LoadedModel{{Name: "b"}}})
	at := start.Add(2 * time.Second)
	waitFor(p, at, Row{Model: "a"})
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Unload)
	c.Assert(p.Loaded("r"), qt.HasLen, 0, qt.Commentf("no new request may use it"))
	p.Answered(at, orders[0], OutcomeAccepted)
	waitFor(p, at, Row{Model: "a"})
	c.Assert(p.Plan(at), qt.HasLen, 0, qt.Commentf("no heartbeat has confirmed the unload"))
	p.SetRunners(at, status(2))
	orders = p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Load)
	c.Assert(orders[0].Expected, qt.Equals, uint64(2))
}

func TestModelInUseIsNotEvicted(t *testing.T) {
	c := qt.New(t)
	p := newTestPlanner("b")
	p.Reported(start, start, "r", Report{Taken: 1, Models: []fleet.LoadedModel{{Name: "b"}}})
	at := start.Add(2 * time.Second)
	p.Observe(at, "router", []Demand{{Row: Row{Service: "s", Model: "b"}, Active: []ActiveCount{{Instance: "r", Count: 1}}}})
	waitFor(p, at, Row{Model: "a"})
	c.Assert(p.Plan(at), qt.HasLen, 0)
}

func TestUnansweredOrderIsSettledByReport(t *testing.T) {
	c := qt.New(t)
	p := newTestPlanner()
	p.Reported(start, start, "r", Report{Taken: 1})
	waitFor(p, start, Row{Model: "a"})
	first := p.Plan(start)
	c.Assert(first, qt.HasLen, 1)
	at := start.Add(time.Second)
	p.Answered(at, first[0], OutcomeUnknown)
	waitFor(p, at, Row{Model: "a"})
	c.Assert(p.Plan(at), qt.HasLen, 0)
	at = at.Add(time.Second)
	c.Assert(p.RunnersToPoll(at), qt.HasLen, 1)
	// The runner has not taken the order, but may later. The next order expects the same number, so
	// that only one of the two is executed.
	p.Reported(at, at, "r", Report{Taken: 1})
	waitFor(p, at, Row{Model: "a"})
	second := p.Plan(at)
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Expected, qt.Equals, first[0].Expected)
}

func TestReplacedRunnerGetsNoOrders(t *testing.T) {
	c := qt.New(t)
	p := newTestPlanner()
	p.Reported(start, start, "r", Report{Taken: 1})
	waitFor(p, start, Row{Model: "a"})
	orders := p.Plan(start)
	p.Answered(start, orders[0], OutcomeGone)
	at := start.Add(time.Second)
	waitFor(p, at, Row{Model: "a"})
	c.Assert(p.RunnersToPoll(at), qt.HasLen, 0)
	p.SetRunners(at, status(2))
	c.Assert(p.RunnersToPoll(at), qt.HasLen, 1)
}

func TestAdapterWaitsForEvictionAndLoad(t *testing.T) {
	c := qt.New(t)
	p := newTestPlanner("a")
	p.Reported(start, start, "r", Report{Taken: 1, Models: []fleet.LoadedModel{{Name: "a", Adapters: []string{"x", "y"}}}})
	at := start.Add(2 * time.Second)
	waitFor(p, at, Row{Model: "a", Adapter: "z"})
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Unload)
	c.Assert(orders[0].Adapter, qt.Not(qt.Equals), "")
	p.Answered(at, orders[0], OutcomeHeld)
	waitFor(p, at, Row{Model: "a", Adapter: "z"})
	orders = p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Load)
	c.Assert(orders[0].Adapter, qt.Equals, "z")
	p.Answered(at, orders[0], OutcomeAccepted)
	c.Assert(p.Loaded("r")[0].Adapters, qt.Not(qt.Contains), "z")
	p.Plan(at.Add(time.Second))
	c.Assert(p.Loaded("r")[0].Adapters, qt.Contains, "z")
}

// The position of a model in the document is no reason to load it.
func TestPositionInDocumentCausesNoLoad(t *testing.T) {
	for _, busy := range []string{"a", "b"} {
		t.Run(busy, func(t *testing.T) {
			c := qt.New(t)
			p := NewPlanner(Options{}, start)
			p.SetDocument(twoModels())
			statuses := append(status(1, busy), status(1)...)
			statuses[0].Heartbeat.Instance, statuses[1].Heartbeat.Instance = "holder", "spare"
			p.SetRunners(start, statuses)
			p.Reported(start, start, "holder", Report{Models: []fleet.LoadedModel{{Name: busy}}})
			p.Reported(start, start, "spare", Report{})
			active := []ActiveCount{{Instance: "holder", Count: 1}}
			p.Observe(start, "router", []Demand{{Row: Row{Service: "s", Model: busy}, Arrived: 2, Active: active}})
			c.Assert(p.Plan(start), qt.HasLen, 0)
		})
	}
}

// A late heartbeat, as after a change of the leader, may be older than the last report. Guards
// against a load without free memory.
func TestLateHeartbeatDoesNotOverrideReport(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(Options{}, start)
	p.SetDocument(twoModels())
	recalled := status(0)
	recalled[0].Recalled = true
	p.SetRunners(start, recalled)
	p.Reported(start, start, "r", Report{Taken: 83, Models: []fleet.LoadedModel{{Name: "b"}}})
	at := start.Add(2 * time.Second)
	p.SetRunners(at, status(7))
	waitFor(p, at, Row{Model: "a"})
	for _, order := range p.Plan(at) {
		c.Assert(order.Operation, qt.Equals, Unload, qt.Commentf("the memory is in use"))
	}
	c.Assert(p.RunnersToPoll(at), qt.HasLen, 1, qt.Commentf("the runner is polled"))
	p.Reported(at, at, "r", Report{Taken: 84})
	waitFor(p, at, Row{Model: "a"})
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Load)
}

// Guards against a new leader that polls all runners of a large site at once.
func TestPollsAreRateLimited(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(Options{PollRate: 10, PollBurst: 4}, start)
	p.SetDocument(twoModels())
	var statuses []fleet.Status
	for i := range 20 {
		each := status(1)[0]
		each.Heartbeat.Instance = fmt.Sprintf("r%02d", i)
		statuses = append(statuses, each)
	}
	p.SetRunners(start, statuses)
	asked := make(map[string]bool)
	ask := func(at time.Time) int {
		polledRunners := p.RunnersToPoll(at)
		for _, each := range polledRunners {
			asked[each.Heartbeat.Instance] = true
		}
		return len(polledRunners)
	}
	c.Assert(ask(start), qt.Equals, 4)
	c.Assert(ask(start), qt.Equals, 0)
	c.Assert(ask(start.Add(200*time.Millisecond)), qt.Equals, 2)
	for second := range 4 {
		ask(start.Add(time.Duration(second+1) * time.Second))
	}
	c.Assert(asked, qt.HasLen, 20, qt.Commentf("no runner is polled twice before all have been polled"))
}

// The models of a runner share its batch, so that two models in demand are kept apart. Requests for
// adapters wait while their runner loads a model.
func TestLoadsAvoidRunnersInDemand(t *testing.T) {
	engine := &site.Engine{WeightsMB: 200, MaxAdapters: 2, LoadsPerSecond: 2, Models: []site.Model{
		{Name: "a", SizeMB: 80, AdapterMB: 1, LoadTime: 3 * time.Second},
		{Name: "b", SizeMB: 80, AdapterMB: 1, LoadTime: 3 * time.Second},
	}}
	document := &site.Document{Version: 1, Services: []site.Service{{Name: "s", Engine: engine}}}
	for _, test := range []struct {
		name   string
		demand Demand
	}{
		{"model in demand", Demand{Row: Row{Service: "s", Model: "a"}, Arrived: 16}},
		{"adapters in demand", Demand{Row: Row{Service: "s", Model: "a", Adapter: "x"}, Arrived: 8}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := NewPlanner(Options{}, start)
			p.SetDocument(site.NewIndex(document))
			statuses := twoRunners("a-busy", "b-free")
			statuses[0].Heartbeat.Models = []fleet.LoadedModel{{Name: "a"}}
			p.SetRunners(start, statuses)
			for _, instance := range []string{"a-busy", "b-free"} {
				p.Reported(start, start, instance, Report{Models: p.Loaded(instance)})
			}
			p.Observe(start, "router", []Demand{test.demand, {Row: Row{Service: "s", Model: "b"}, Waiting: 1, Arrived: 8}})
			var loaded []string
			for _, order := range p.Plan(start) {
				if order.Model == "b" {
					loaded = append(loaded, order.Instance)
				}
			}
			c.Assert(loaded, qt.DeepEquals, []string{"b-free"})
		})
	}
}

// A new leader has observed little demand. Guards against evicting a model that has been requested
// since it started.
func TestNewLeaderKeepsRequestedModel(t *testing.T) {
	for _, test := range []struct {
		name     string
		observed time.Duration
		orders   int
	}{
		{"new leader", time.Second, 0},
		{"demand known", time.Minute, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestPlanner("a")
			p.Reported(start, start, "r", Report{Models: []fleet.LoadedModel{{Name: "a"}}})
			p.Observe(start, "router", nil)
			at := start.Add(test.observed)
			p.Observe(at, "router", []Demand{{Row: Row{Service: "s", Model: "a"}, Arrived: 5}})
			p.Observe(at, "other", []Demand{{Row: Row{Service: "s", Model: "b"}, Waiting: 2, Arrived: 2}})
			orders := p.Plan(at.Add(1100 * time.Millisecond))
			c.Assert(orders, qt.HasLen, test.orders)
		})
	}
}

// Guards against waiting for the heartbeat timeout of a lost runner.
func TestModelOfLostRunnerIsLoadedElsewhere(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(2, func(i int, heartbeat *fleet.Heartbeat) {
		if i == 0 {
			heartbeat.Models = []fleet.LoadedModel{{Name: "m0"}}
		}
	})
	waitForModels(p, start, 0, 1)
	c.Assert(p.Plan(start), qt.HasLen, 0)
	p.SetRunners(start, []fleet.Status{
		{Heartbeat: fleet.Heartbeat{Instance: "r0", Service: "s", Address: "r0", Sequence: 1}, Lost: true},
		{Heartbeat: fleet.Heartbeat{Instance: "r1", Service: "s", Address: "r1", Sequence: 1}},
	})
	orders := p.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Instance, qt.Equals, "r1")
}

// Requests spread over many replicas of a model in little demand, so that none of them is ever
// idle. One is evicted all the same.
func TestRedundantReplicaInUseIsEvicted(t *testing.T) {
	for _, test := range []struct {
		name      string
		rate      int
		isOrdered bool
	}{
		{"low demand", 2, true},
		{"as much as the other replicas can serve", 12, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newStorePlanner(4, func(i int, heartbeat *fleet.Heartbeat) {
				heartbeat.Models = []fleet.LoadedModel{{Name: "m0"}}
			})
			var at time.Time
			for tenth := range 100 {
				at = start.Add(time.Duration(tenth) * 100 * time.Millisecond)
				demand := Demand{Row: Row{Service: "s", Model: "m0"}}
				if tenth%10 == 0 {
					demand.Arrived = test.rate
				}
				for i := range 4 {
					demand.Active = append(demand.Active, ActiveCount{Instance: fmt.Sprint("r", i), Count: 1})
				}
				p.Observe(at, "router", []Demand{demand})
			}
			waitForModels(p, at, 1, 1)
			orders := p.Plan(at)
			c.Assert(len(orders) > 0, qt.Equals, test.isOrdered)
		})
	}
}
