package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/go-kit/log"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
)

// With many routers, a router's own requests do not show which runner is loaded.
func TestRouterAvoidsRunnersLoadedByOthers(t *testing.T) {
	for _, test := range []struct {
		name  string
		loads []fleet.Load
		most  int
		// isBusy is set if all slots of the loaded runner are taken.
		isBusy bool
	}{
		{"one is loaded", []fleet.Load{{Instance: "a", Requests: 10}}, 5, false},
		{"one is full", []fleet.Load{{Instance: "a", Requests: 12}}, 5, true},
		{"none is loaded", nil, 36, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := New(Options{Logger: log.NewNopLogger(), Name: "router", Seed: 1})
			models := []fleet.LoadedModel{{Name: "m"}}
			r.adoptView(fleet.View{Complete: true, Runners: []fleet.Runner{
				{Instance: "a", Service: "s", Address: "10.0.0.1:1", Slots: 12, Models: models},
				{Instance: "b", Service: "s", Address: "10.0.0.2:1", Slots: 12, Models: models},
			}})
			r.takeLoads(test.loads, 0)
			c.Assert(r.isBusy("a", time.Now()), qt.Equals, test.isBusy)
			crowded := 0
			for range 50 {
				choice, found := r.pick(&waiter{row: residency.Row{Service: "s", Model: "m"}})
				c.Assert(found, qt.IsTrue)
				if choice.Runner() == "a" {
					crowded++
				}
				r.releaseLocked(residency.Row{Service: "s", Model: "m"}, choice, 1)
			}
			c.Assert(crowded <= test.most, qt.IsTrue, qt.Commentf("%d of 50", crowded))
			c.Assert(test.loads != nil || crowded >= 14, qt.IsTrue, qt.Commentf("%d of 50", crowded))
		})
	}
}
