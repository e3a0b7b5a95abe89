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

// hearLeaving has a router report that a runner told it that it is leaving.
func (d *testDomain) hearLeaving(instance string) {
	d.report(&domainapi.DemandArguments{Notices: []notice.Report{{Instance: instance, IsLeaving: true}}})
}

// One router was told by a runner that it is leaving, while its heartbeats say nothing of it: all routers are told. A new
// leader is told again by those who know.
func TestRunnerThatToldOneRouterThatItIsLeavingLeavesForAll(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.foundWithRunners()
		pause.For(d.ctx, 5*time.Second)
		d.hearLeaving("r0")
		d.await("the news in the view", func() bool { return d.isLeaving("r0") })
		d.c.Assert(d.isLeaving("r1"), qt.IsFalse)
		// Its next heartbeats say nothing, and take nothing back.
		pause.For(d.ctx, 5*time.Second)
		d.c.Assert(d.isLeaving("r0"), qt.IsTrue)
		d.kill(d.awaitLeader())
		d.hearLeaving("r0")
		d.await("the news in the next leader's view", func() bool { return d.isLeaving("r0") })
		d.hearLeaving("nobody")
		d.c.Assert(d.runner("nobody"), qt.IsNil)
	})
}

// A runner says that it is leaving in its answers to the leader's questions and orders, and in no heartbeat.
func TestLeaderHearsInAnswersOfRunnersThatTheyAreLeaving(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		held := []fleet.LoadedModel{{Name: "m"}}
		d.engines.report = residency.Report{Models: held}
		d.engines.says = map[string]notice.Notice{"r0": {IsLeaving: true, Problems: []string{"unreadable"}}}
		d.found(0, 1, 2)
		document := []byte(`{"Version":3,"Services":[{"Name":"s","Engine":{"WeightsMB":1000,"MaxAdapters":8,"LoadsPerSecond":9,` +
			`"Models":[{"Name":"m","SizeMB":1,"Adapters":50}]}}]}`)
		d.await("the document", func() bool { return d.nodes[0].PutDocument(d.ctx, document) == nil })
		for i := range 2 {
			heartbeat := fleet.Heartbeat{
				Instance: fmt.Sprint("r", i), Service: "s", Address: fmt.Sprint("10.9.9.", i, ":1"), Sequence: 1, Models: held,
			}
			d.await("a heartbeat", func() bool { return d.nodes[d.awaitLeader()].Heartbeat(d.ctx, heartbeat) == nil })
		}
		d.await("the news in the view", func() bool { return d.isLeaving("r0") })
		d.c.Assert(d.isLeaving("r1"), qt.IsFalse)
	})
}
