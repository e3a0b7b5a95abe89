package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// zoneRunner describes a runner in a zone.
type zoneRunner struct {
	zone   string
	models []string
	// onDisk lists the models of which the machine has a copy.
	onDisk []string
}

func newZonePlanner(runners ...zoneRunner) *Planner {
	return newStorePlanner(len(runners), func(i int, heartbeat *fleet.Heartbeat) {
		heartbeat.Zone = runners[i].zone
		heartbeat.OnDisk = runners[i].onDisk
		for _, name := range runners[i].models {
			heartbeat.Models = append(heartbeat.Models, fleet.LoadedModel{Name: name})
		}
	})
}

// ask reports requests per second for a model by the zone of the routers, for a number of seconds.
func ask(p *Planner, from time.Time, seconds int, model string, rates map[string]int) time.Time {
	at := from
	for range seconds {
		at = at.Add(time.Second)
		for zone, rate := range rates {
			p.SetRouterZone("router-"+zone, zone)
			p.Observe(at, "router-"+zone, []Demand{{Row: Row{Service: "s", Model: model}, Arrived: rate}})
		}
	}
	return at
}

// loads returns the runners at which the model is ordered to be loaded.
func loads(orders []Order, model string) []string {
	var listed []string
	for _, order := range orders {
		if order.Operation == Load && order.Model == model {
			listed = append(listed, order.Instance)
		}
	}
	return listed
}

// A further replica of an overloaded model is loaded in a zone without one, so that the loss of
// either zone leaves a replica.
func TestFurtherReplicaIsLoadedInAnotherZone(t *testing.T) {
	c := qt.New(t)
	disk := []string{"m0"}
	p := newZonePlanner(zoneRunner{"a", disk, nil}, zoneRunner{"a", nil, disk}, zoneRunner{"a", nil, disk}, zoneRunner{"b", nil, disk})
	at := ask(p, start, 10, "m0", map[string]int{"a": 4, "b": 4})
	c.Assert(loads(p.Plan(at), "m0"), qt.DeepEquals, []string{"r3"})
}

// All replicas are in one zone, with enough capacity, and half of the clients in another. A runner
// there loads the model only from a copy, as the weight store is left to waiting requests.
func TestReplicaForZoneLossIsLoadedFromCopy(t *testing.T) {
	for _, test := range []struct {
		name   string
		onDisk []string
		zone   string
		loads  []string
	}{
		{"a copy in the other zone", []string{"m0"}, "b", []string{"r2"}},
		{"no copy in the other zone", nil, "b", nil},
		{"a single zone", []string{"m0"}, "a", nil},
		{"no zones", []string{"m0"}, "", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := "a"
			if test.zone == "" {
				first = ""
			}
			held := []string{"m0"}
			p := newZonePlanner(zoneRunner{first, held, nil}, zoneRunner{first, held, nil}, zoneRunner{test.zone, nil, test.onDisk})
			at := ask(p, start, 10, "m0", map[string]int{first: 2, test.zone: 2})
			c.Assert(loads(p.Plan(at), "m0"), qt.DeepEquals, test.loads)
			p.Plan(at)
			isBound := first != "" && test.zone == "b"
			c.Assert(p.Coverages()[0].ZoneBound == 1, qt.Equals, isBound)
		})
	}
}

// Clients move to another zone, and the next replica follows within seconds.
func TestReplicaFollowsClients(t *testing.T) {
	for _, test := range []struct {
		name  string
		rates map[string]int
		loads []string
	}{
		{"most in b", map[string]int{"a": 1, "b": 7, "c": 1}, []string{"r1"}},
		{"most in c", map[string]int{"a": 1, "b": 1, "c": 7}, []string{"r2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			disk := []string{"m0"}
			p := newZonePlanner(zoneRunner{"a", disk, nil}, zoneRunner{"b", nil, disk}, zoneRunner{"c", nil, disk})
			at := ask(p, start, 20, "m0", map[string]int{"a": 3})
			at = ask(p, at, 4, "m0", test.rates)
			c.Assert(loads(p.Plan(at), "m0"), qt.DeepEquals, test.loads)
		})
	}
}

// A model that was only held in a lost zone is loaded elsewhere, from a copy.
func TestModelOfLostZoneIsLoadedInAnother(t *testing.T) {
	c := qt.New(t)
	held := []string{"m0"}
	p := newZonePlanner(zoneRunner{"a", held, nil}, zoneRunner{"a", nil, held}, zoneRunner{"b", nil, held})
	at := ask(p, start, 2, "m0", map[string]int{"a": 1, "b": 1})
	statuses := []fleet.Status{
		{Heartbeat: fleet.Heartbeat{Instance: "r0", Service: "s", Address: "r0", Zone: "a", Sequence: 1}, Lost: true},
		{Heartbeat: fleet.Heartbeat{Instance: "r1", Service: "s", Address: "r1", Zone: "a", Sequence: 1, OnDisk: held}, Lost: true},
		{Heartbeat: fleet.Heartbeat{Instance: "r2", Service: "s", Address: "r2", Zone: "b", Sequence: 1, OnDisk: held}},
	}
	p.SetRunners(at, statuses)
	p.Observe(at, "router-b", []Demand{{Row: Row{Service: "s", Model: "m0"}, Waiting: 2, Arrived: 1}})
	c.Assert(loads(p.Plan(at), "m0"), qt.DeepEquals, []string{"r2"})
}

// The only replica of a zone is more valuable than one of three in another.
func TestOnlyReplicaOfZoneIsMoreValuable(t *testing.T) {
	c := qt.New(t)
	held := []string{"m0"}
	p := newZonePlanner(zoneRunner{"a", held, nil}, zoneRunner{"a", held, nil}, zoneRunner{"a", held, nil}, zoneRunner{"b", held, nil})
	at := ask(p, start, 10, "m0", map[string]int{"a": 3, "b": 3})
	p.Plan(at)
	row := Row{Service: "s", Model: "m0"}
	c.Assert(p.zoneValue(p.runners["r3"], row) > p.zoneValue(p.runners["r0"], row), qt.IsTrue)
}

func TestUnservedRequests(t *testing.T) {
	for _, test := range []struct {
		name              string
		rates, capacities []float64
		unserved          float64
	}{
		{"each zone can serve all", []float64{2, 2}, []float64{5, 5}, 0},
		// Without zone a, nobody serves the 2 of b, nor does anyone within b; without b, a serves
		// both.
		{"all in one zone", []float64{2, 2}, []float64{10, 0}, 2},
		{"each zone can serve its own clients", []float64{4, 4}, []float64{4, 4}, 0},
		{"no replicas", []float64{4, 4}, []float64{0, 0}, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cover := zoneCover{zones: []string{"a", "b"}, rates: test.rates, capacities: test.capacities}
			c.Assert(cover.unserved(), qt.Equals, test.unserved)
		})
	}
}
