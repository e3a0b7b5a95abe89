package residency

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// coldRunner describes a runner of newColdPlanner.
type coldRunner struct {
	models, onDisk []string
	isCold         bool
	coldFor        time.Duration
}

// newColdPlanner returns a planner of a service with the cold rate; a runner that is not cold serves
// 40 requests a second.
func newColdPlanner(coldRate float64, runners ...coldRunner) *Planner {
	p := NewPlanner(Options{ReplicaRate: 40}, start)
	document := manyModels()
	document.Service("s").ColdRate = coldRate
	p.SetDocument(document)
	var statuses []fleet.Status
	for i, each := range runners {
		name := fmt.Sprint("r", i)
		heartbeat := fleet.Heartbeat{Instance: name, Service: "s", Address: name, Sequence: 1, OnDisk: each.onDisk}
		for _, model := range each.models {
			heartbeat.Models = append(heartbeat.Models, fleet.LoadedModel{Name: model})
		}
		statuses = append(statuses, fleet.Status{Heartbeat: heartbeat, Cold: each.isCold, ColdFor: each.coldFor})
	}
	p.SetRunners(start, statuses)
	for _, status := range statuses {
		p.Reported(start, start, status.Heartbeat.Instance, Report{Models: status.Heartbeat.Models})
	}
	return p
}

// The capacity of a cold runner is the mean of its cold rate and its warm capacity over the horizon
// of 10 s.
func TestCapacityOfColdRunner(t *testing.T) {
	for name, test := range map[string]struct {
		coldRate float64
		runner   coldRunner
		capacity float64
		left     time.Duration
	}{
		"warm":                            {10, coldRunner{}, 40, 0},
		"no cold rate":                    {0, coldRunner{isCold: true, coldFor: 4 * time.Second}, 40, 0},
		"cold for 4 s":                    {10, coldRunner{isCold: true, coldFor: 4 * time.Second}, 28, 4 * time.Second},
		"cold beyond the horizon":         {10, coldRunner{isCold: true, coldFor: time.Minute}, 10, time.Minute},
		"cold for an unknown time":        {10, coldRunner{isCold: true}, 25, unknownColdTime},
		"cold rate above the warm one":    {90, coldRunner{isCold: true, coldFor: 4 * time.Second}, 40, 4 * time.Second},
		"no longer cold, with a time set": {10, coldRunner{coldFor: time.Second}, 40, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newColdPlanner(test.coldRate, test.runner)
			p.takeSnapshot(start)
			r := p.runners["r0"]
			c.Check(r.capacity, qt.Equals, test.capacity)
			c.Check(r.cold.left, qt.Equals, test.left)
			c.Check(r.warmCapacity, qt.Equals, 40.0)
			c.Check(r.isCold(), qt.Equals, test.left > 0)
			c.Check(r.rateIn(time.Hour), qt.Equals, 40.0)
			c.Check(r.rateIn(0), qt.Equals, min(40, max(test.coldRate, map[bool]float64{false: 40}[r.isCold()])))
		})
	}
}

// Requests beyond the cold rate are late until the runner is warm.
func TestLateShareOfColdRunner(t *testing.T) {
	c := qt.New(t)
	p := newColdPlanner(10, coldRunner{isCold: true, coldFor: 5 * time.Second})
	p.takeSnapshot(start)
	r := p.runners["r0"]
	c.Check(r.lateShare(10), qt.Equals, 0.0)
	c.Check(r.lateShare(20), qt.Equals, 0.25)
	c.Check(r.lateShare(80), qt.Equals, 0.5*(1-10.0/80)+0.5*0.5)
}

// askEvenly reports a demand for m0 that has been even for the averaging time.
func askEvenly(p *Planner, rate, waiting int) {
	row := Row{Service: "s", Model: "m0"}
	p.Observe(start, "router", []Demand{{
		Row: row, Arrived: rate * int(p.options.RateTime.Seconds()), Objective: time.Second, Waiting: waiting,
		Active: []ActiveCount{{Instance: "r0", Count: 1}, {Instance: "r1", Count: 1}},
	}})
	p.demands[row].recent = float64(rate)
}

// A model whose only replicas are at cold runners is loaded at a warm one if that ends before a
// replica is warm. Guards against planning with the warm capacity of cold runners. The replicas
// serve 80 requests a second once they are warm, of 76.
func TestModelOfColdRunnersIsLoadedElsewhere(t *testing.T) {
	const second = time.Second
	disk := []string{"m0"}
	for _, test := range []struct {
		name     string
		coldRate float64
		left     time.Duration
		other    coldRunner
		loaded   []string
	}{
		{"a copy is quicker", 5, 4 * second, coldRunner{onDisk: disk}, []string{"r2"}},
		{"without a cold rate", 0, 4 * second, coldRunner{onDisk: disk}, nil},
		{"no replica is cold", 5, 0, coldRunner{onDisk: disk}, nil},
		{"the runners are warm before a copy is loaded", 5, 900 * time.Millisecond, coldRunner{onDisk: disk}, nil},
		{"the runners are warm before the store has loaded it", 5, 4 * second, coldRunner{}, nil},
		{"the store is quicker", 5, 8 * second, coldRunner{}, []string{"r2"}},
		{"the other runner is cold too", 5, 4 * second, coldRunner{onDisk: disk, isCold: true, coldFor: 4 * second}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			holder := coldRunner{models: disk, isCold: test.left > 0, coldFor: test.left}
			p := newColdPlanner(test.coldRate, holder, holder, test.other)
			askEvenly(p, 76, 0)
			qt.Assert(t, loads(p.Plan(start), "m0"), qt.DeepEquals, test.loaded)
		})
	}
}

// Requests that wait for a model at cold runners are served at the cold rate, so that routers must
// not hold more of them than are served in time.
func TestForecastAtColdRunners(t *testing.T) {
	for _, test := range []struct {
		name     string
		coldRate float64
		waiting  int
		in       time.Duration
	}{
		{"served while cold", 5, 20, 2 * time.Second},
		{"served in part once warm", 5, 120, 5 * time.Second},
		{"without a cold rate", 0, 120, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			holder := coldRunner{models: []string{"m0"}, isCold: true, coldFor: 4 * time.Second}
			p := newColdPlanner(test.coldRate, holder, holder)
			askEvenly(p, 4, test.waiting)
			p.Plan(start)
			forecasts := p.Forecasts(start, []Demand{{Row: Row{Service: "s", Model: "m0"}, Waiting: test.waiting}})
			if test.in < 0 {
				qt.Assert(t, forecasts, qt.HasLen, 0)
				return
			}
			qt.Assert(t, forecasts, qt.HasLen, 1)
			qt.Assert(t, forecasts[0].In, qt.Equals, test.in)
		})
	}
}

// Guards against a forecast by the cold rate of a runner that takes no requests, as it has requested
// a cooldown: the model is loaded elsewhere, which takes longer.
func TestForecastOfColdRunnerInCooldown(t *testing.T) {
	c := qt.New(t)
	p := newColdPlanner(5, coldRunner{models: []string{"m0"}, isCold: true, coldFor: 4 * time.Second}, coldRunner{})
	loadTime := p.document.Service("s").Engine.ModelByName("m0").LoadTime
	p.ObserveCooldown(start, "r0", 2*loadTime)
	demands := []Demand{{Row: Row{Service: "s", Model: "m0"}, Waiting: 1}}
	p.Observe(start, "router", demands)
	c.Assert(loads(p.Plan(start), "m0"), qt.DeepEquals, []string{"r1"})
	forecasts := p.Forecasts(start, demands)
	c.Assert(forecasts, qt.HasLen, 1)
	c.Assert(forecasts[0].In >= loadTime, qt.IsTrue, qt.Commentf("%v", forecasts[0].In))
}

// Models in demand that are ready at cold runners alone are counted for operators.
func TestCoverageCountsColdBoundModels(t *testing.T) {
	c := qt.New(t)
	holder := coldRunner{models: []string{"m0"}, isCold: true, coldFor: 4 * time.Second}
	for want, other := range []coldRunner{{models: []string{"m0"}}, holder} {
		p := newColdPlanner(5, holder, other)
		askEvenly(p, 4, 0)
		p.Plan(start)
		c.Check(p.Coverages()[0].ColdBound, qt.Equals, want)
	}
}

// Guards against a change of plans where no service has a cold rate: a site whose runners report to
// be cold gets the same orders as one whose runners don't.
func TestPlanWithoutColdRateIgnoresColdRunners(t *testing.T) {
	c := qt.New(t)
	ordersOf := func(isCold bool) []Order {
		w := newBurstWorld(smallShape(), 1)
		w.isCold = isCold
		var orders []Order
		for end := w.began.Add(10 * time.Second); w.now.Before(end); {
			w.step()
			orders = append(orders, w.orders...)
		}
		return orders
	}
	warm, cold := ordersOf(false), ordersOf(true)
	c.Assert(len(warm) > 50, qt.IsTrue)
	c.Assert(cold, qt.DeepEquals, warm)
}
