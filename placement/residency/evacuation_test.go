package residency

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// zoneState is the state of zone "a" in newEvacuationPlanner.
type zoneState struct {
	isDrained bool
	coldFor   time.Duration
}

// newEvacuationPlanner returns a planner of a service with a cold rate. Zone "a" has the given
// state; runners are named in order.
func newEvacuationPlanner(zone zoneState, runners ...zoneRunner) *Planner {
	p := newZonePlanner(runners...)
	p.document.Service("s").ColdRate = 5
	setZone(p, start, zone, runners...)
	return p
}

// setZone sets the state of zone "a".
func setZone(p *Planner, at time.Time, zone zoneState, runners ...zoneRunner) {
	var statuses []fleet.Status
	for i, each := range runners {
		name := fmt.Sprint("r", i)
		status := fleet.Status{Heartbeat: fleet.Heartbeat{
			Instance: name, Service: "s", Address: name, Zone: each.zone, Sequence: 1, OnDisk: each.onDisk,
		}}
		for _, model := range each.models {
			status.Heartbeat.Models = append(status.Heartbeat.Models, fleet.LoadedModel{Name: model})
		}
		if each.zone == "a" {
			status.Drained, status.Cold, status.ColdFor = zone.isDrained, zone.coldFor > 0, zone.coldFor
		}
		statuses = append(statuses, status)
	}
	p.SetRunners(at, statuses)
}

// askFor reports demands in requests per second that have been even for the averaging time. No
// request waits.
func askFor(p *Planner, at time.Time, rates map[string]int) {
	for name, rate := range rates {
		row := Row{Service: "s", Model: name}
		p.Observe(at, "router", []Demand{{Row: row, Arrived: rate * int(p.options.RateTime.Seconds()), Objective: time.Second / 2}})
		p.demands[row].recent = float64(rate)
	}
}

// A model in demand that only a drained zone holds is loaded elsewhere with the first plan, though no
// request waits yet: the zone's runners still take its requests.
func TestModelOfDrainedZoneIsLoadedWithNextPlan(t *testing.T) {
	disk := []string{"m0"}
	for _, test := range []struct {
		name      string
		isDrained bool
		rate      int
		elsewhere zoneRunner
		loaded    []string
	}{
		{"from a copy", true, 1, zoneRunner{"b", nil, disk}, []string{"r1"}},
		{"from the store", true, 1, zoneRunner{"b", nil, nil}, []string{"r1"}},
		{"held elsewhere too", true, 1, zoneRunner{"b", disk, nil}, nil},
		{"without demand", true, 0, zoneRunner{"b", nil, disk}, nil},
		{"no drain", false, 1, zoneRunner{"b", nil, disk}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			runners := []zoneRunner{{"a", disk, nil}, test.elsewhere, {"b", []string{"m9"}, nil}}
			p := newEvacuationPlanner(zoneState{isDrained: test.isDrained}, runners...)
			askFor(p, start, map[string]int{"m0": test.rate})
			qt.Assert(t, loads(p.Plan(start), "m0"), qt.DeepEquals, test.loaded)
		})
	}
}

// Models lost with a drained zone are loaded in the order of their demand, and one with a copy
// elsewhere before one in somewhat higher demand that must come from the weight store.
func TestOrderOfEvacuation(t *testing.T) {
	for _, test := range []struct {
		name   string
		onDisk []string
		rates  map[string]int
		first  string
	}{
		{"the higher demand", []string{"m0", "m1"}, map[string]int{"m0": 2, "m1": 3}, "m1"},
		{"a copy before the store", []string{"m0"}, map[string]int{"m0": 2, "m1": 3}, "m0"},
		{"the store for a far higher demand", []string{"m0"}, map[string]int{"m0": 2, "m1": 12}, "m1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			runners := []zoneRunner{{"a", []string{"m0"}, nil}, {"a", []string{"m1"}, nil}, {"b", nil, test.onDisk}}
			p := newEvacuationPlanner(zoneState{isDrained: true}, runners...)
			askFor(p, start, test.rates)
			p.Plan(start)
			c.Assert(p.runners["r2"].holdings[test.first], qt.IsNotNil)
			c.Assert(p.Coverages()[0].Evacuated, qt.Equals, 1, qt.Commentf("the runner executes one order at a time"))
		})
	}
}

// While its runners are cold, a zone that was given back makes no replica elsewhere superfluous.
func TestReplicaStaysUntilGivenBackZoneIsWarm(t *testing.T) {
	for name, test := range map[string]struct {
		coldRate  float64
		coldFor   time.Duration
		isEvicted bool
	}{
		"cold":                {5, 4 * time.Second, false},
		"warm":                {5, 0, true},
		"without a cold rate": {0, 4 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			runners := []zoneRunner{{"a", []string{"m0"}, nil}, {"b", []string{"m0"}, []string{"m1"}}}
			p := newEvacuationPlanner(zoneState{coldFor: test.coldFor}, runners...)
			p.document.Service("s").ColdRate = test.coldRate
			at := start.Add(5 * time.Second)
			p.Observe(at, "router", []Demand{
				{Row: Row{Service: "s", Model: "m0"}, Arrived: 8, Active: []ActiveCount{{Instance: "r1", Count: 1}}},
				{Row: Row{Service: "s", Model: "m1"}, Waiting: 1, Arrived: 1, Zones: []string{"b"}},
			})
			evicts := false
			for _, order := range p.Plan(at) {
				evicts = evicts || order.Operation == Unload && order.Instance == "r1"
			}
			qt.Assert(t, evicts, qt.Equals, test.isEvicted)
		})
	}
}

// A zone that was given back is not filled with replicas for the loss of a zone before its runners
// are warm.
func TestGivenBackZoneIsFilledOnceWarm(t *testing.T) {
	for coldFor, loaded := range map[time.Duration][]string{4 * time.Second: nil, 0: {"r2"}} {
		t.Run(coldFor.String(), func(t *testing.T) {
			held := []string{"m0"}
			runners := []zoneRunner{{"b", held, nil}, {"b", held, nil}, {"a", nil, held}}
			p := newEvacuationPlanner(zoneState{coldFor: coldFor}, runners...)
			at := ask(p, start, 10, "m0", map[string]int{"a": 2, "b": 2})
			qt.Assert(t, loads(p.Plan(at), "m0"), qt.DeepEquals, loaded)
		})
	}
}

// A replica that only provides for the loss of a region goes to no cold runner, also where the idle
// weight store could load it.
func TestGivenBackRegionIsFilledOnceWarm(t *testing.T) {
	for coldFor, loaded := range map[time.Duration][]string{4 * time.Second: nil, 0: {"r2"}} {
		t.Run(coldFor.String(), func(t *testing.T) {
			held := []string{"m0"}
			runners := []zoneRunner{{"b", held, nil}, {"c", held, nil}, {"a", nil, nil}}
			p := newEvacuationPlanner(zoneState{coldFor: coldFor}, runners...)
			p.options.ReplicaRate, p.options.Regions = 20, map[string]string{"a": "A", "b": "B", "c": "B"}
			at := ask(p, start, 10, "m0", map[string]int{"a": 4, "b": 4})
			qt.Assert(t, loads(p.Plan(at), "m0"), qt.DeepEquals, loaded)
		})
	}
}

// A model lost with a drained zone is loaded at an idle runner rather than at one whose models
// already use its capacity.
func TestEvacuationAvoidsBusyRunners(t *testing.T) {
	disk := []string{"m0"}
	runners := []zoneRunner{{"a", disk, nil}, {"b", []string{"m1"}, disk}, {"b", nil, disk}}
	p := newEvacuationPlanner(zoneState{isDrained: true}, runners...)
	p.document.Service("s").Engine.WeightsMB *= 3
	p.options.ReplicaRate = 20
	askFor(p, start, map[string]int{"m0": 5, "m1": 20})
	qt.Assert(t, loads(p.Plan(start), "m0"), qt.DeepEquals, []string{"r2"})
}
