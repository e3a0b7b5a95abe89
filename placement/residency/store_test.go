package residency

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
)

// manyModels returns a service with 20 models of which a runner holds one at a time.
func manyModels() *site.Index {
	engine := &site.Engine{WeightsMB: 100, MaxAdapters: 2, LoadsPerSecond: 10}
	for i := range 20 {
		engine.Models = append(engine.Models, site.Model{
			Name: fmt.Sprint("m", i), SizeMB: 80, LoadTime: 6 * time.Second,
			DiskLoadTime: time.Second, MemoryLoadTime: 500 * time.Millisecond,
		})
	}
	return site.NewIndex(&site.Document{Version: 1, Services: []site.Service{{Name: "s", Engine: engine}}})
}

// newStorePlanner returns a planner of count runners that have reported the state given by set.
func newStorePlanner(count int, set func(i int, heartbeat *fleet.Heartbeat)) *Planner {
	p := NewPlanner(Options{}, start)
	p.SetDocument(manyModels())
	var statuses []fleet.Status
	for i := range count {
		name := fmt.Sprint("r", i)
		heartbeat := fleet.Heartbeat{Instance: name, Service: "s", Address: name, Sequence: 1}
		set(i, &heartbeat)
		statuses = append(statuses, fleet.Status{Heartbeat: heartbeat})
	}
	p.SetRunners(start, statuses)
	for _, status := range statuses {
		p.Reported(start, start, status.Heartbeat.Instance, Report{Models: status.Heartbeat.Models})
	}
	return p
}

func waitForModels(p *Planner, at time.Time, first, count int) {
	var demands []Demand
	for i := range count {
		row := Row{Service: "s", Model: fmt.Sprint("m", first+i)}
		demands = append(demands, Demand{Row: row, Waiting: 1, Arrived: 1})
	}
	p.Observe(at, "router", demands)
}

// Guards against unloading models for loads that the store has no slot for.
func TestNoEvictionForLoadWithoutSlot(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(9, func(i int, heartbeat *fleet.Heartbeat) {
		heartbeat.Models = []fleet.LoadedModel{{Name: fmt.Sprint("m", i)}}
	})
	at := start.Add(2 * time.Second)
	waitForModels(p, at, 10, 9)
	unloads := 0
	for _, order := range p.Plan(at) {
		if order.Operation == Unload {
			unloads++
		}
	}
	c.Assert(unloads, qt.Equals, p.store("s").Limit())
}

func TestConcurrentLoadsAreLimited(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(9, func(int, *fleet.Heartbeat) {})
	waitForModels(p, start, 10, 9)
	orders := p.Plan(start)
	c.Assert(orders, qt.HasLen, p.store("s").Limit())
	for _, order := range orders {
		p.Answered(start, order, OutcomeAccepted)
	}
	later := start.Add(time.Second)
	waitForModels(p, later, 10, 9)
	c.Assert(p.Plan(later), qt.HasLen, 0)
}

func TestLoadFromCopyNeedsNoStoreSlot(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(9, func(i int, heartbeat *fleet.Heartbeat) {
		if i >= 4 {
			heartbeat.OnDisk = []string{fmt.Sprint("m", 10+i)}
		}
	})
	waitForModels(p, start, 10, 9)
	c.Assert(p.Plan(start), qt.HasLen, 9)
}

// A load at a runner with a copy that finishes another load first may be quicker than one from the
// store.
func TestCopyAtBusyRunnerIsAwaited(t *testing.T) {
	for _, test := range []struct {
		name      string
		isOnDisk  bool
		isOrdered bool
	}{
		{"busy for a short time", true, false},
		{"busy for a long time", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newStorePlanner(2, func(i int, heartbeat *fleet.Heartbeat) {
				if i == 0 {
					heartbeat.OnDisk = []string{"m1"}
				}
				if i == 0 && test.isOnDisk {
					heartbeat.OnDisk = []string{"m0", "m1"}
				}
			})
			waitForModels(p, start, 0, 1)
			orders := p.Plan(start)
			c.Assert(orders, qt.HasLen, 1)
			c.Assert(orders[0].Instance, qt.Equals, "r0")
			p.Answered(start, orders[0], OutcomeAccepted)
			at := start.Add(100 * time.Millisecond)
			waitForModels(p, at, 1, 1)
			c.Assert(len(p.Plan(at)) > 0, qt.Equals, test.isOrdered)
		})
	}
}

// Of two unused models, the one with a copy on the runner's disk is evicted, as it can be loaded
// again quickly.
func TestModelWithCopyIsEvictedFirst(t *testing.T) {
	for _, copied := range []string{"m0", "m1"} {
		t.Run(copied, func(t *testing.T) {
			c := qt.New(t)
			index := manyModels()
			index.Document.Services[0].Engine.WeightsMB = 200
			p := NewPlanner(Options{}, start)
			p.SetDocument(index)
			models := []fleet.LoadedModel{{Name: "m0"}, {Name: "m1"}}
			heartbeat := fleet.Heartbeat{Instance: "r", Service: "s", Address: "r", Sequence: 1, Models: models, OnDisk: []string{copied}}
			p.SetRunners(start, []fleet.Status{{Heartbeat: heartbeat}})
			p.Reported(start, start, "r", Report{Models: models})
			var demands []Demand
			for _, model := range models {
				demands = append(demands, Demand{Row: Row{Service: "s", Model: model.Name}, Arrived: 1, Objective: 2 * time.Second})
			}
			p.Observe(start, "router", demands)
			at := start.Add(2 * time.Second)
			waitForModels(p, at, 10, 3)
			orders := p.Plan(at)
			c.Assert(orders, qt.HasLen, 1)
			c.Assert(orders[0].Model, qt.Equals, copied)
		})
	}
}

// A new leader starts with the limit that the previous one had learned.
func TestStoreLimitIsRecalled(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(9, func(int, *fleet.Heartbeat) {})
	p.RecallStore(start, "s", 3, true)
	waitForModels(p, start, 10, 9)
	c.Assert(p.Plan(start), qt.HasLen, 3)
	c.Assert(p.Stores(), qt.DeepEquals, []StoreState{{Service: "s", InProgress: 3, Limit: 3, Learned: 3, IsCrowded: true}})
}

// A new document may lack a service whose runner is loading a model.
func TestServiceIsRemovedDuringLoad(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(2, func(int, *fleet.Heartbeat) {})
	waitForModels(p, start, 10, 1)
	orders := p.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	p.Answered(start, orders[0], OutcomeAccepted)
	p.SetDocument(site.NewIndex(&site.Document{Version: 2}))
	waitForModels(p, start, 10, 2)
	c.Assert(p.Plan(start.Add(time.Second)), qt.HasLen, 0)
	c.Assert(p.Stores(), qt.HasLen, 0)
}

// The only runner with a copy never has free memory, and waiting requests are rejected and replaced
// by others, so that none of them has waited for long.
func TestWaitForCopyWithoutFreeMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	inUse := []fleet.LoadedModel{{Name: "m0"}}
	p := newStorePlanner(2, func(i int, heartbeat *fleet.Heartbeat) {
		if i == 0 {
			heartbeat.Models, heartbeat.OnDisk = inUse, []string{"m1"}
		}
	})
	var loads []Order
	var waited time.Duration
	for ; waited < 10*time.Second && len(loads) == 0; waited += 100 * time.Millisecond {
		at := start.Add(2*time.Second + waited)
		p.Observe(at, "router", []Demand{
			{Row: Row{Service: "s", Model: "m0"}, Active: []ActiveCount{{Instance: "r0", Count: 1}}},
			{Row: Row{Service: "s", Model: "m1"}, Waiting: 1, Oldest: time.Second, Arrived: 1},
		})
		loads = p.Plan(at)
	}
	c.Assert(loads, qt.HasLen, 1)
	c.Assert(loads[0].Instance, qt.Equals, "r1")
	c.Assert(loads[0].Model, qt.Equals, "m1")
	c.Assert(waited < 6*time.Second, qt.IsTrue, qt.Commentf("longer than a load from the store: %v", waited))
}

// The copies of recalled runners are unknown until their first heartbeat.
func TestNoLoadBeforeCopiesAreKnown(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(Options{}, start)
	p.SetDocument(manyModels())
	heartbeat := fleet.Heartbeat{Instance: "r", Service: "s", Address: "r"}
	p.SetRunners(start, []fleet.Status{{Heartbeat: heartbeat, Recalled: true}})
	p.Reported(start, start, "r", Report{})
	waitForModels(p, start, 1, 1)
	c.Assert(p.Plan(start), qt.HasLen, 0)
	heartbeat.Sequence, heartbeat.OnDisk = 1, []string{"m1"}
	p.SetRunners(start, []fleet.Status{{Heartbeat: heartbeat}})
	c.Assert(p.Plan(start), qt.HasLen, 1)
	c.Assert(p.Stores()[0].InProgress, qt.Equals, 0)
}

// Guards against overloaded models that wait until a load of a cold model ends.
func TestStoreReservesSlotsForOverloadedModels(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(15, func(i int, heartbeat *fleet.Heartbeat) {
		if i == 0 {
			heartbeat.Models = []fleet.LoadedModel{{Name: "m0"}}
		}
	})
	p.RecallStore(start, "s", 10, true)
	waitForModels(p, start, 1, 14)
	orders := p.Plan(start)
	c.Assert(orders, qt.HasLen, 8)
	for _, order := range orders {
		p.Answered(start, order, OutcomeAccepted)
	}
	at := start.Add(time.Second)
	p.Observe(at, "router", []Demand{{Row: Row{Service: "s", Model: "m0"}, Arrived: 200}})
	loads := 0
	for orders = p.Plan(at); len(orders) > 0; orders = p.Plan(at) {
		loads++
		c.Assert(orders, qt.HasLen, 1)
		c.Assert(orders[0].Model, qt.Equals, "m0")
		p.Answered(at, orders[0], OutcomeAccepted)
	}
	c.Assert(loads, qt.Equals, 6, qt.Commentf("two slots were reserved, and four loads exceed the limit"))
}

// A model is being loaded from the weight store, which takes long. A load from a copy at a runner
// that has become free is quicker.
func TestCopyIsLoadedDuringSlowLoadFromStore(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(2, func(i int, heartbeat *fleet.Heartbeat) {})
	waitForModels(p, start, 3, 1)
	orders := p.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	p.Answered(start, orders[0], OutcomeAccepted)
	at := start.Add(time.Second)
	// The other runner gets a copy.
	var statuses []fleet.Status
	for i := range 2 {
		name := fmt.Sprint("r", i)
		heartbeat := fleet.Heartbeat{Instance: name, Service: "s", Address: name, Sequence: 2}
		if name != orders[0].Instance {
			heartbeat.OnDisk = []string{"m3"}
		}
		statuses = append(statuses, fleet.Status{Heartbeat: heartbeat})
	}
	p.SetRunners(at, statuses)
	waitForModels(p, at, 3, 1)
	c.Assert(p.Plan(at), qt.HasLen, 0, qt.Commentf("the load from the store ends within the horizon"))
	at = start.Add(6*time.Second + 11*time.Second)
	waitForModels(p, at, 3, 1)
	again := p.Plan(at)
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].Instance != orders[0].Instance, qt.IsTrue)
	c.Assert(again[0].Operation, qt.Equals, Load)
}

func TestFirstLoadsByLoadTime(t *testing.T) {
	for _, test := range []struct {
		loadTime time.Duration
		runners  int
		first    int
	}{{40 * time.Second, 140, 1}, {20 * time.Second, 140, 2}, {6 * time.Second, 9, 4}, {6 * time.Second, 140, 5}, {time.Second, 140, 7}, {0, 140, 7}} {
		t.Run(fmt.Sprint(test.loadTime, test.runners), func(t *testing.T) {
			p := NewPlanner(Options{}, start)
			p.SetDocument(site.NewIndex(&site.Document{
				Routes:   []site.Route{{Timeout: 35 * time.Second, Split: []site.Share{{Service: "s", Weight: 1}}}},
				Services: []site.Service{{Name: "s", Engine: &site.Engine{Models: []site.Model{{Name: "m", LoadTime: test.loadTime}}}}},
			}))
			qt.Assert(t, p.firstLoads("s", test.runners), qt.Equals, test.first)
		})
	}
}
