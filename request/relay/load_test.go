package relay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/go-kit/log"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
)

// Each of many routers has a request now and then, so that its own do not tell it which
// runner is crowded.
func TestRouterSparesRunnersThatOthersCrowd(t *testing.T) {
	for _, test := range []struct {
		name  string
		loads []fleet.Load
		most  int
	}{
		{"one is crowded", []fleet.Load{{Instance: "a", Requests: 10}}, 5},
		{"none is", nil, 36},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := New(Options{Logger: log.NewNopLogger(), Name: "router", Seed: 1})
			models := []fleet.LoadedModel{{Name: "m"}}
			r.adoptView(fleet.View{Complete: true, Runners: []fleet.Runner{
				{Instance: "a", Service: "s", Address: "10.0.0.1:1", Slots: 12, Models: models},
				{Instance: "b", Service: "s", Address: "10.0.0.2:1", Slots: 12, Models: models},
			}})
			r.takeLoads(test.loads)
			crowded := 0
			for range 50 {
				choice, found := r.pick(&waiter{row: residency.Row{Service: "s", Model: "m"}})
				c.Assert(found, qt.IsTrue)
				if choice.Runner() == "a" {
					crowded++
				}
				r.giveBack(residency.Row{Service: "s", Model: "m"}, choice, 1)
			}
			c.Assert(crowded <= test.most, qt.IsTrue, qt.Commentf("%d of 50", crowded))
			c.Assert(test.loads != nil || crowded >= 14, qt.IsTrue, qt.Commentf("%d of 50", crowded))
		})
	}
}
