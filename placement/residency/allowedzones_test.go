package residency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// newTwoZonesPlanner returns a planner with a runner in each of two zones; the one in zone n holds
// model a.
func newTwoZonesPlanner() *Planner {
	p := NewPlanner(Options{}, start)
	p.SetDocument(twoModels())
	north := fleet.Heartbeat{Instance: "north", Service: "s", Address: "n:1", Zone: "n", Sequence: 1, Models: []fleet.LoadedModel{{Name: "a"}}}
	south := fleet.Heartbeat{Instance: "south", Service: "s", Address: "s:1", Zone: "s", Sequence: 1}
	p.SetRunners(start, []fleet.Status{{Heartbeat: north}, {Heartbeat: south}})
	p.Reported(start, start, "north", Report{Models: north.Models})
	p.Reported(start, start, "south", Report{})
	return p
}

func waitIn(p *Planner, at time.Time, row Row, zones []string) {
	row.Service = "s"
	p.Observe(at, "router", []Demand{{Row: row, Waiting: 1, Arrived: 1, Zones: zones}})
}

// Requests that may only be served in zone s get their model there, though a runner of zone n holds
// it.
func TestModelIsLoadedInAllowedZone(t *testing.T) {
	c := qt.New(t)
	p := newTwoZonesPlanner()
	waitIn(p, start, Row{Model: "a"}, []string{"s"})
	orders := p.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Instance, qt.Equals, "south")
	c.Assert(orders[0].Operation, qt.Equals, Load)
	demands := []Demand{{Row: Row{Service: "s", Model: "a"}, Waiting: 1, Zones: []string{"s"}}}
	c.Assert(p.IsAnyHeld(demands), qt.IsFalse)
	demands[0].Zones = []string{"n"}
	c.Assert(p.IsAnyHeld(demands), qt.IsTrue)
}

func TestModelIsNotLoadedOutsideAllowedZones(t *testing.T) {
	for name, test := range map[string]struct {
		row   Row
		zones []string
	}{
		"held in an allowed zone":               {Row{Model: "a"}, []string{"n"}},
		"no runner in an allowed zone":          {Row{Model: "b"}, []string{"x"}},
		"adapter, its model is in another zone": {Row{Model: "a", Adapter: "a1"}, []string{"x"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTwoZonesPlanner()
			waitIn(p, start, test.row, test.zones)
			qt.Assert(t, p.Plan(start), qt.HasLen, 0)
		})
	}
}

// Requests that wait for a model in different zones are served at the same time. Guards against
// serving the zones of one group of callers after those of another, or twice what one load serves.
func TestWaitingRequestsInDifferentZones(t *testing.T) {
	for _, test := range []struct {
		name   string
		zones  [][]string
		loaded []string
	}{
		{"different zones", [][]string{{"n"}, {"s"}}, []string{"north", "south"}},
		{"the same zone", [][]string{{"s"}, {"s"}}, []string{"south"}},
		{"one may use any zone", [][]string{nil, {"s"}, nil}, []string{"south"}},
		{"one may use both zones", [][]string{{"n", "s"}, {"s"}}, []string{"south"}},
		{"one may use both of different zones", [][]string{{"n", "s"}, {"s"}, {"n"}}, []string{"north", "south"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTwoZonesPlanner()
			p.runners["north"].holdings = make(map[string]*holding)
			for i, zones := range test.zones {
				demand := Demand{Row: Row{Service: "s", Model: "b"}, Waiting: 1, Arrived: 1, Zones: zones}
				p.Observe(start, fmt.Sprint("router", i), []Demand{demand})
			}
			loaded := loads(p.Plan(start), "b")
			slices.Sort(loaded)
			qt.Assert(t, loaded, qt.DeepEquals, test.loaded)
			qt.Assert(t, loads(p.Plan(start), "b"), qt.HasLen, 0)
		})
	}
}

// While a runner of one zone makes room for a model, one of another zone loads it for callers who may
// not use the first.
func TestRoomIsMadeInOneZoneWhileAnotherLoads(t *testing.T) {
	c := qt.New(t)
	p := newTwoZonesPlanner()
	at := start.Add(2 * time.Second)
	waitIn(p, at, Row{Model: "b"}, []string{"n"})
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Unload)
	p.Answered(at, orders[0], OutcomeAccepted)
	p.Observe(at, "other", []Demand{{Row: Row{Service: "s", Model: "b"}, Waiting: 1, Arrived: 1, Zones: []string{"s"}}})
	c.Assert(loads(p.Plan(at), "b"), qt.DeepEquals, []string{"south"})
}

// Guards against a model that counts once for each group of callers with other zones.
func TestWaitingModelCountsOnceForAllZones(t *testing.T) {
	p := newZonePlanner(zoneRunner{"a", nil, nil}, zoneRunner{"c", nil, nil})
	p.ordersFrom = start.Add(time.Minute)
	for _, zone := range []string{"a", "c"} {
		p.Observe(start, "router-"+zone, []Demand{{Row: Row{Service: "s", Model: "m0"}, Waiting: 1, Zones: []string{zone}}})
	}
	p.Plan(start)
	qt.Assert(t, p.WaitingModels(), qt.Equals, WaitingModels{Unreachable: 1})
}

// Guards against a second load of a model for callers whose zones overlap with those of others, where
// the first load serves both.
func TestOneLoadServesOverlappingZones(t *testing.T) {
	p := newZonePlanner(zoneRunner{"a", []string{"m1"}, nil}, zoneRunner{"b", nil, nil}, zoneRunner{"c", nil, nil})
	at := start.Add(2 * time.Second)
	for i, zones := range [][]string{{"a", "b"}, {"b", "c"}} {
		p.Observe(at, fmt.Sprint("router", i), []Demand{
			{Row: Row{Service: "s", Model: "m0"}, Waiting: 1, Arrived: 1, Zones: zones},
			{Row: Row{Service: "s", Model: "m1"}, Arrived: 1, Active: []ActiveCount{{Instance: "r0", Count: 1}}},
		})
	}
	qt.Assert(t, loads(p.Plan(at), "m0"), qt.DeepEquals, []string{"r1"})
}
