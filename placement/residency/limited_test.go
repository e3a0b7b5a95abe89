package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// A model whose only replica is at a runner with a rate limit below its demand is loaded at another
// runner, but not at one that is limited as well.
func TestModelOfRateLimitedRunnerIsLoadedElsewhere(t *testing.T) {
	for _, test := range []struct {
		name   string
		limit  float64
		loaded []string
	}{
		{"no limit", 0, nil},
		{"a limit above the demand", 20, nil},
		{"a limit below the demand", 0.1, []string{"r2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			holders := func(i int, heartbeat *fleet.Heartbeat) {
				if i == 0 {
					heartbeat.Models = []fleet.LoadedModel{{Name: "m0"}}
				}
			}
			p := newStorePlanner(3, holders)
			var orders []Order
			for second := range 8 {
				at := start.Add(time.Duration(second) * time.Second)
				statuses := []fleet.Status{
					{Heartbeat: fleet.Heartbeat{Instance: "r0", Service: "s", Address: "r0", Sequence: 1, Models: []fleet.LoadedModel{{Name: "m0"}}}, Limit: test.limit},
					{Heartbeat: fleet.Heartbeat{Instance: "r1", Service: "s", Address: "r1", Sequence: 1}, Limit: test.limit},
					{Heartbeat: fleet.Heartbeat{Instance: "r2", Service: "s", Address: "r2", Sequence: 1}},
				}
				p.SetRunners(at, statuses)
				p.Observe(at, "router", []Demand{{Row: Row{Service: "s", Model: "m0"}, Arrived: (second + 1) % 2, Active: []ActiveCount{{Instance: "r0", Count: 1}}}})
				orders = append(orders, p.Plan(at)...)
			}
			var loaded []string
			for _, order := range orders {
				// Other models may be prewarmed.
				if order.Model == "m0" {
					loaded = append(loaded, order.Instance)
				}
			}
			c.Assert(loaded, qt.DeepEquals, test.loaded)
		})
	}
}
