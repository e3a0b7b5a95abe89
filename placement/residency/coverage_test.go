package residency

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

func TestCoverageCountsEachModelOnce(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(3, func(i int, heartbeat *fleet.Heartbeat) {
		switch i {
		case 0:
			heartbeat.Models, heartbeat.OnDisk = []fleet.LoadedModel{{Name: "m0"}}, []string{"m0", "m1"}
		case 1:
			heartbeat.Models = []fleet.LoadedModel{{Name: "m0"}}
		}
	})
	waitForModels(p, start, 2, 1)
	orders := p.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(p.Coverages(), qt.DeepEquals, []Coverage{
		{Service: "s", Loaded: 1, Coming: 1, Copied: 1, Absent: 17, Replicas: 2},
	})
}
