package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// A model whose only replica is cooling down is loaded elsewhere if the cooldown exceeds the time of
// a load, here six seconds, and not at a runner that is cooling down as well.
func TestModelOfCoolingRunnerIsLoadedElsewhere(t *testing.T) {
	const loadTime = 6 * time.Second
	for _, test := range []struct {
		name     string
		cooldown time.Duration
		waiting  int
		loaded   []string
	}{
		{"no backoff", 0, 1, nil},
		{"a backoff as long as a load", loadTime, 1, nil},
		{"a backoff longer than a load", loadTime + time.Second, 1, []string{"r2"}},
		{"no waiting request", time.Hour, 0, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newStorePlanner(3, func(i int, heartbeat *fleet.Heartbeat) {
				if i == 0 {
					heartbeat.Models = []fleet.LoadedModel{{Name: "m0"}}
				}
			})
			c.Assert(p.document.Service("s").Engine.ModelByName("m0").LoadTime, qt.Equals, loadTime)
			p.ObserveCooldown(start, "r0", test.cooldown)
			p.ObserveCooldown(start, "r1", test.cooldown)
			p.ObserveCooldown(start, "nobody", test.cooldown)
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
			// Routers get a forecast.
			c.Assert(len(p.Forecasts(start, demands)) > 0, qt.Equals, test.loaded != nil)
			// After the cooldown, no load is needed.
			at := start.Add(test.cooldown)
			p.takeSnapshot(at)
			c.Assert(p.isServed(at, row, nil), qt.IsTrue)
		})
	}
}

// A runner that rejected an order or a poll and asked for a pause is polled after the pause, and
// gets no order before it has reported.
func TestPausedRunnerGetsNoOrdersOrPolls(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(1, func(int, *fleet.Heartbeat) {})
	at := start.Add(time.Minute)
	p.PauseOrders(at, "r0", 3*time.Second)
	p.PauseOrders(at, "nobody", 3*time.Second)
	p.PauseOrders(at, "r0", time.Second)
	waitForModels(p, at, 0, 1)
	c.Assert(p.Plan(at), qt.HasLen, 0)
	c.Assert(p.RunnersToPoll(at.Add(2999*time.Millisecond)), qt.HasLen, 0)
	at = at.Add(3 * time.Second)
	c.Assert(p.RunnersToPoll(at), qt.HasLen, 1)
	p.Reported(at, at, "r0", Report{})
	waitForModels(p, at, 0, 1)
	c.Assert(p.Plan(at), qt.HasLen, 1)
}
