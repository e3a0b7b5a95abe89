package residency

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
)

// The store has one slot. An absent model takes precedence over a second replica of a model, but
// not over an overloaded model with one replica.
func TestAbsentModelWithOneStoreSlot(t *testing.T) {
	for _, test := range []struct {
		name    string
		arrived int
		first   string
	}{
		{"beside a model with a single replica", 16, "m1"},
		{"beside an overloaded model", 500, "m0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newStorePlanner(3, func(i int, heartbeat *fleet.Heartbeat) {
				if i == 0 {
					heartbeat.Models = []fleet.LoadedModel{{Name: "m0"}}
				}
			})
			p.RecallStore(start, "s", 1, true)
			p.Observe(start, "router", []Demand{
				{Row: Row{Service: "s", Model: "m0"}, Arrived: test.arrived},
				{Row: Row{Service: "s", Model: "m1"}, Arrived: 1, Waiting: 1, Priority: 1},
			})
			orders := p.Plan(start)
			c.Assert(orders, qt.HasLen, 1)
			c.Assert(orders[0].Model, qt.Equals, test.first)
			p.Answered(start, orders[0], OutcomeAccepted)
			c.Assert(p.Plan(start.Add(time.Second)), qt.HasLen, 0, qt.Commentf("a concurrent load would slow down the first"))
		})
	}
}

// A load from the weight store occupies its runner for long. It goes to a runner whose copies exist
// elsewhere too.
func TestStoreLoadAvoidsRunnersWithOnlyCopies(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(4, func(i int, heartbeat *fleet.Heartbeat) {
		heartbeat.OnDisk = []string{fmt.Sprint("m", 10+i)}
		if i == 2 {
			heartbeat.OnDisk = []string{"m10"}
		}
	})
	demands := []Demand{{Row: Row{Service: "s", Model: "m1"}, Arrived: 1, Waiting: 1}}
	for _, name := range []string{"m10", "m11", "m13"} {
		demands = append(demands, Demand{Row: Row{Service: "s", Model: name}, Arrived: 4})
	}
	p.Observe(start, "router", demands)
	orders := p.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Model, qt.Equals, "m1")
	c.Assert(orders[0].Instance == "r0" || orders[0].Instance == "r2", qt.IsTrue, qt.Commentf("%v", orders[0]))
}

// duePlanner returns a planner of a runner with model m0 in use and copies of m0 and m1, with a
// request that has waited for m1.
func duePlanner(waited time.Duration) *Planner {
	p := newStorePlanner(1, func(_ int, heartbeat *fleet.Heartbeat) {
		heartbeat.Models = []fleet.LoadedModel{{Name: "m0"}}
		heartbeat.OnDisk = []string{"m0", "m1"}
	})
	at := start.Add(minResidency)
	p.Observe(at, "router", []Demand{
		{Row: Row{Service: "s", Model: "m0"}, Arrived: 1, Objective: 4 * time.Second, Active: []ActiveCount{{Instance: "r0", Count: 1}}},
		{Row: Row{Service: "s", Model: "m1"}, Arrived: 1, Objective: 4 * time.Second, Waiting: 1, Oldest: waited},
	})
	return p
}

// A model in use is only evicted for one that is due, so that the wait for a copy at a busy runner
// is bounded.
func TestModelInUseIsEvictedForDueModel(t *testing.T) {
	c := qt.New(t)
	at := start.Add(minResidency)
	p := duePlanner(time.Second)
	c.Assert(p.Plan(at), qt.HasLen, 0)
	c.Assert(p.WaitingModels(), qt.Equals, WaitingModels{Gathering: 1, Oldest: time.Second})
	orders := duePlanner(2500 * time.Millisecond).Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Unload)
	c.Assert(orders[0].Model, qt.Equals, "m0")
}

// Guards against evicting a model before its queued requests have been sent.
func TestModelWithWaitingRequestsIsKept(t *testing.T) {
	c := qt.New(t)
	p := duePlanner(2500 * time.Millisecond)
	at := start.Add(minResidency)
	p.Observe(at, "other", []Demand{{Row: Row{Service: "s", Model: "m0"}, Waiting: 1, Objective: 4 * time.Second}})
	c.Assert(p.Plan(at), qt.HasLen, 0)
}

// A request that can't be in time preempts no model in use before agingTime.
func TestLateRequestIsDueAfterAgingTime(t *testing.T) {
	c := qt.New(t)
	for waited, isDue := range map[time.Duration]bool{time.Second: false, agingTime: true} {
		p := duePlanner(waited)
		p.Plan(start.Add(minResidency))
		p.demands[Row{Service: "s", Model: "m1"}].objective = 400 * time.Millisecond
		p.takeSnapshot(start.Add(minResidency))
		wanted := need{row: Row{Service: "s", Model: "m1"}, oldest: waited}
		c.Check(p.isDue(&wanted), qt.Equals, isDue, qt.Commentf("%v", waited))
	}
}

// Requests may still wait for a model that is missing from a newer document.
func TestNothingIsDueForRemovedService(t *testing.T) {
	c := qt.New(t)
	p := duePlanner(10 * time.Second)
	p.SetDocument(site.NewIndex(&site.Document{Version: 2}))
	c.Assert(p.Plan(start.Add(minResidency)), qt.HasLen, 0)
	c.Assert(p.WaitingModels().Due, qt.Equals, 0)
}

// The store has two slots. One is reserved for an absent model while memory is freed, and the other
// is used for a further replica of a model in demand.
func TestAbsentModelReservesOneStoreSlot(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(3, func(i int, heartbeat *fleet.Heartbeat) {
		heartbeat.Models = []fleet.LoadedModel{{Name: fmt.Sprint("m", i)}}
	})
	p.RecallStore(start, "s", 2, true)
	at := start.Add(2 * time.Second)
	p.Observe(at, "router", []Demand{
		{Row: Row{Service: "s", Model: "m0"}, Arrived: 16, Active: []ActiveCount{{Instance: "r0", Count: 1}}},
		{Row: Row{Service: "s", Model: "m10"}, Arrived: 1, Waiting: 1},
	})
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 2)
	c.Assert(p.snapshot.reservedSlots["s"], qt.Equals, 2)
	// Later plans, made while the runners unload, must not reserve the slot twice.
	for _, order := range orders {
		c.Assert(order.Operation, qt.Equals, Unload)
		p.Answered(at, order, OutcomeAccepted)
	}
	p.Plan(at.Add(100 * time.Millisecond))
	c.Assert(p.snapshot.unreachable, qt.HasLen, 0)
}
