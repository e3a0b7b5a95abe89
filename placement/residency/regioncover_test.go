package residency

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

var twoRegions = map[string]string{"a1": "A", "a2": "A", "b1": "B"}

// A model in demand in two regions gets a replica in each, from the weight store if it is idle, so
// that the loss of a region or of the link leaves callers served on both sides.
func TestModelInDemandHasReplicaInEachRegion(t *testing.T) {
	for _, test := range []struct {
		name    string
		regions map[string]string
		rates   map[string]int
		onDisk  []string
		loaded  []string
	}{
		{"from a copy", twoRegions, map[string]int{"a1": 4, "b1": 4}, []string{"m0"}, []string{"r2"}},
		{"from the idle store", twoRegions, map[string]int{"a1": 4, "b1": 4}, nil, []string{"r2"}},
		{"low demand in the other region", twoRegions, map[string]int{"a1": 4, "b1": 1}, nil, nil},
		{"one region", map[string]string{"a1": "A", "a2": "A", "b1": "A"}, map[string]int{"a1": 4, "b1": 4}, nil, nil},
		{"one region and a zone without one", map[string]string{"a1": "A", "a2": "A"}, map[string]int{"a1": 4, "b1": 4}, nil, nil},
		{"no regions", nil, map[string]int{"a1": 4, "b1": 4}, nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			held := []string{"m0"}
			p := newZonePlanner(zoneRunner{"a1", held, nil}, zoneRunner{"a2", held, nil}, zoneRunner{"b1", nil, test.onDisk})
			p.options.ReplicaRate, p.options.Regions = 20, test.regions
			at := ask(p, start, 10, "m0", test.rates)
			qt.Assert(t, loads(p.Plan(at), "m0"), qt.DeepEquals, test.loaded)
		})
	}
}

// A further replica goes to the region without one rather than to another zone of the same region,
// and the only replica of a region is worth more than one of two.
func TestReplicasAreSpreadOverRegions(t *testing.T) {
	c := qt.New(t)
	held := []string{"m0"}
	p := newZonePlanner(zoneRunner{"a1", held, nil}, zoneRunner{"a2", nil, held}, zoneRunner{"b1", nil, held})
	p.options.ReplicaRate, p.options.Regions = 20, twoRegions
	at := ask(p, start, 10, "m0", map[string]int{"a1": 3, "a2": 3, "b1": 3})
	c.Assert(loads(p.Plan(at), "m0"), qt.DeepEquals, []string{"r2"})

	p = newZonePlanner(zoneRunner{"a1", held, nil}, zoneRunner{"a2", held, nil}, zoneRunner{"b1", held, nil})
	p.options.ReplicaRate, p.options.Regions = 20, twoRegions
	at = ask(p, start, 10, "m0", map[string]int{"a1": 3, "a2": 3, "b1": 3})
	p.Plan(at)
	row := Row{Service: "s", Model: "m0"}
	c.Assert(p.zoneValue(p.runners["r2"], row) > p.zoneValue(p.runners["r0"], row), qt.IsTrue)
}
