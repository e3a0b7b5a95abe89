package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// Requests wait for a model whose only replica asked their router for rest: it is loaded elsewhere if the rest lasts longer than
// that takes, six seconds here, and not at a runner that rests as well.
func TestModelWhoseRunnerRestsForLongIsLoadedElsewhere(t *testing.T) {
	const loadTime = 6 * time.Second
	for _, test := range []struct {
		name    string
		rests   time.Duration
		waiting int
		loaded  []string
	}{
		{"no rest", 0, 1, nil},
		{"a rest shorter than a load", loadTime, 1, nil},
		{"a rest longer than a load", loadTime + time.Second, 1, []string{"r2"}},
		{"nobody waits", time.Hour, 0, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newStorePlanner(3, func(i int, heartbeat *fleet.Heartbeat) {
				if i == 0 {
					heartbeat.Models = []fleet.LoadedModel{{Name: "m0"}}
				}
			})
			c.Assert(p.document.Service("s").Engine.ModelByName("m0").LoadTime, qt.Equals, loadTime)
			p.ObserveRest(start, "r0", test.rests)
			p.ObserveRest(start, "r1", test.rests)
			p.ObserveRest(start, "nobody", test.rests)
			row := Row{Service: "s", Model: "m0"}
			demands := []Demand{{Row: row, Waiting: test.waiting}}
			p.Observe(start, "router", demands)
			var loaded []string
			for _, order := range p.Plan(start) {
				if order.Model == row.Model && order.Operation == Load {
					loaded = append(loaded, order.Instance)
				}
			}
			c.Assert(loaded, qt.DeepEquals, test.loaded)
			// Routers are told when it will be there.
			c.Assert(len(p.Forecasts(start, demands)) > 0, qt.Equals, test.loaded != nil)
			// The rest ends, and nothing is wanted any more.
			at := start.Add(test.rests)
			p.takeTally(at)
			c.Assert(p.isServed(at, row, nil), qt.IsTrue)
		})
	}
}

// A runner that turned an order or a question of a controller away, and asked for rest, is asked again after it, and ordered
// nothing before it has answered.
func TestRunnerThatWantsNoOrdersGetsNeitherOrdersNorQuestions(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(1, func(int, *fleet.Heartbeat) {})
	at := start.Add(time.Minute)
	p.PauseOrders(at, "r0", 3*time.Second)
	p.PauseOrders(at, "nobody", 3*time.Second)
	p.PauseOrders(at, "r0", time.Second)
	waitForModels(p, at, 0, 1)
	c.Assert(p.Plan(at), qt.HasLen, 0)
	c.Assert(p.Questions(at.Add(2999*time.Millisecond)), qt.HasLen, 0)
	at = at.Add(3 * time.Second)
	c.Assert(p.Questions(at), qt.HasLen, 1)
	p.Reported(at, at, "r0", Report{})
	waitForModels(p, at, 0, 1)
	c.Assert(p.Plan(at), qt.HasLen, 1)
}
