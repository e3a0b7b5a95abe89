package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

// Each router of many sees few losses of streams, so the leader must tell all of them the common rate, and
// nothing once the losses are over.
func TestRoutersLearnTheRateOfLostStreams(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
		rates := func() map[string]float64 {
			var reply domainapi.WatchReply
			running := &service{node: d.nodes[d.awaitLeader()].Node}
			_ = running.Watch(&domainapi.WatchArguments{Router: "another", Version: 1}, &reply)
			return reply.StreamLosses
		}
		d.c.Assert(rates(), qt.HasLen, 0)
		d.reportDemand(&domainapi.DemandArguments{Streams: []fleet.StreamCount{{Service: "s", Sent: 90, Lost: 5}, {Service: "calm", Sent: 90}}})
		found := rates()
		d.c.Assert(found, qt.HasLen, 1)
		d.c.Assert(found["s"] > 0.03, qt.IsTrue, qt.Commentf("%v", found))
		pause.For(d.ctx, 90*time.Second)
		d.c.Assert(rates(), qt.HasLen, 0)
	})
}
