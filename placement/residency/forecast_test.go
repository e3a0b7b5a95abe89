package residency

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// forecastOf returns the forecast for the model with the number.
func forecastOf(c *qt.C, p *Planner, at time.Time, number int) time.Duration {
	c.Helper()
	found := p.Forecasts(at, []Demand{{Row: Row{Service: "s", Model: fmt.Sprint("m", number)}, Waiting: 1}})
	c.Assert(found, qt.HasLen, 1)
	return found[0].In
}

func TestForecastIncludesQueueOfStore(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(9, func(int, *fleet.Heartbeat) {})
	waitForModels(p, start, 10, 9)
	p.Plan(start)
	rounds := make(map[time.Duration]int)
	for number := 10; number < 19; number++ {
		rounds[forecastOf(c, p, start, number).Round(time.Second)]++
	}
	limit := p.store("s").Limit()
	c.Assert(rounds, qt.DeepEquals, map[time.Duration]int{6 * time.Second: limit, 12 * time.Second: limit, 18 * time.Second: 1})
}

func TestForecastOfLoadFromCopy(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(1, func(_ int, heartbeat *fleet.Heartbeat) { heartbeat.OnDisk = []string{"m10"} })
	waitForModels(p, start, 10, 1)
	p.Plan(start)
	c.Assert(forecastOf(c, p, start, 10), qt.Equals, time.Second)
}

// A new leader may not send orders yet, but knows from when it may.
func TestForecastIncludesTimeUntilOrdersMayBeSent(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(1, func(int, *fleet.Heartbeat) {})
	p.ordersFrom = start.Add(3 * time.Second)
	waitForModels(p, start, 10, 1)
	c.Assert(p.Plan(start), qt.HasLen, 0)
	c.Assert(forecastOf(c, p, start, 10), qt.Equals, 9*time.Second+unloadTime)
	c.Assert(p.Unmet()[0].Obstacle, qt.Equals, ObstacleLease)
}

func TestReadyModelHasNoForecast(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(1, func(_ int, heartbeat *fleet.Heartbeat) { heartbeat.Models = []fleet.LoadedModel{{Name: "m10"}} })
	waitForModels(p, start, 10, 1)
	p.Plan(start)
	c.Assert(p.Forecasts(start, []Demand{{Row: Row{Service: "s", Model: "m10"}, Waiting: 1}}), qt.HasLen, 0)
}

// Guards against evicting models at a further runner in each plan until the first has unloaded.
func TestModelsAreEvictedAtOneRunner(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(3, func(i int, heartbeat *fleet.Heartbeat) {
		heartbeat.Models = []fleet.LoadedModel{{Name: fmt.Sprint("m", i)}}
	})
	at := start.Add(2 * time.Second)
	waitForModels(p, at, 10, 1)
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Unload)
	p.Answered(at, orders[0], OutcomeAccepted)
	soon := at.Add(50 * time.Millisecond)
	waitForModels(p, soon, 10, 1)
	c.Assert(p.Plan(soon), qt.HasLen, 0)
	// After a slow unload, another runner is tried.
	late := at.Add(idleUnloadTimeout + time.Millisecond)
	waitForModels(p, late, 10, 1)
	c.Assert(p.Plan(late), qt.HasLen, 1)
}

// Requests for the model have left, so that the freed memory is used for others at once.
func TestUnneededReservationIsReleased(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(1, func(_ int, heartbeat *fleet.Heartbeat) { heartbeat.Models = []fleet.LoadedModel{{Name: "m0"}} })
	at := start.Add(2 * time.Second)
	waitForModels(p, at, 10, 1)
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	p.Answered(at, orders[0], OutcomeAccepted)
	p.SetRunners(at, []fleet.Status{{Heartbeat: fleet.Heartbeat{Instance: "r0", Service: "s", Address: "r0", Sequence: 2}}})
	p.Observe(at, "router", []Demand{{Row: Row{Service: "s", Model: "m10"}}})
	waitForModels(p, at, 11, 1)
	orders = p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Model, qt.Equals, "m11")
}

// Four models wait for the runner with the copies of all of them. Each forecast includes the loads
// before it.
func TestForecastIncludesPrecedingLoadsFromCopies(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(1, func(_ int, heartbeat *fleet.Heartbeat) {
		heartbeat.OnDisk = []string{"m0", "m1", "m2", "m3"}
	})
	waitForModels(p, start, 0, 4)
	p.Plan(start)
	var waits []Demand
	for i := range 4 {
		waits = append(waits, Demand{Row: Row{Service: "s", Model: fmt.Sprint("m", i)}, Waiting: 1})
	}
	found := p.Forecasts(start, waits)
	slices.SortFunc(found, func(a, b Forecast) int { return cmp.Compare(a.In, b.In) })
	c.Assert(found, qt.HasLen, 4)
	for i, each := range found[1:] {
		c.Assert(each.In-found[i].In >= time.Second, qt.IsTrue, qt.Commentf("%v", found))
	}
}
