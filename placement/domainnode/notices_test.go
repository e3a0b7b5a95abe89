package domainnode

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/residency"
)

// reportLeaving reports as a router that a runner announced that it is leaving.
func (d *testDomain) reportLeaving(instance string) {
	d.reportDemand(&domainapi.DemandArguments{Notices: []notice.Report{{Instance: instance, IsLeaving: true}}})
}

// A runner announces to one router that it is leaving, but not in its heartbeats. The view
// lists it as leaving, also at a new leader once the router has reported again.
func TestLeavingNoticeToOneRouterReachesAllRouters(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
		pause.For(d.ctx, 5*time.Second)
		d.reportLeaving("r0")
		d.await("the departure in the view", func() bool { return d.isLeaving("r0") })
		d.c.Assert(d.isLeaving("r1"), qt.IsFalse)
		// Later heartbeats without the notice do not revoke it.
		pause.For(d.ctx, 5*time.Second)
		d.c.Assert(d.isLeaving("r0"), qt.IsTrue)
		d.kill(d.awaitLeader())
		d.reportLeaving("r0")
		d.await("the departure in the next leader's view", func() bool { return d.isLeaving("r0") })
		d.reportLeaving("nobody")
		d.c.Assert(d.runner("nobody"), qt.IsNil)
	})
}

// A runner announces that it is leaving only in responses to the leader.
func TestLeavingNoticeInResponseToLeaderIsApplied(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		held := []fleet.LoadedModel{{Name: "m"}}
		d.engines.report = residency.Report{Models: held}
		d.engines.notices = map[string]notice.Notice{"r0": {IsLeaving: true, Problems: []string{"unreadable"}}}
		d.bootstrap(0, 1, 2)
		document := []byte(`{"Version":3,"Services":[{"Name":"s","Engine":{"WeightsMB":1000,"MaxAdapters":8,"LoadsPerSecond":9,` +
			`"Models":[{"Name":"m","SizeMB":1,"Adapters":50}]}}]}`)
		d.await("the document", func() bool { return d.nodes[0].PutDocument(d.ctx, document) == nil })
		for i := range 2 {
			heartbeat := fleet.Heartbeat{
				Instance: fmt.Sprint("r", i), Service: "s", Address: fmt.Sprint("10.9.9.", i, ":1"), Sequence: 1, Models: held,
			}
			d.await("a heartbeat", func() bool { return d.nodes[d.awaitLeader()].Heartbeat(d.ctx, heartbeat) == nil })
		}
		d.await("the departure in the view", func() bool { return d.isLeaving("r0") })
		d.c.Assert(d.isLeaving("r1"), qt.IsFalse)
	})
}
