package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/domainapi"
)

// An unresponsive member may delay a new leader's orders but not its replies to routers.
func TestNewLeaderServesRoutersBeforeItKnowsWhenItMayOrder(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.fences = true
		d.bootstrap(0, 1, 2)
		d.put(3)
		leader := d.awaitLeader()
		d.kill(leader)
		// The former leader's address accepts connections and never replies.
		listener, err := d.network.Listen(d.ctx, address(leader))
		d.c.Assert(err, qt.IsNil)
		defer listener.Close()
		next := d.awaitLeader()
		d.await("the group's lease", func() bool {
			m, err := d.nodes[next].current()
			if err != nil {
				return false
			}
			_, isValid := m.group.LeaderLease()
			return isValid
		})
		began := time.Now()
		d.await("the leadership", func() bool {
			var reply domainapi.WatchReply
			_ = (&service{node: d.nodes[next].Node}).Watch(&domainapi.WatchArguments{Router: "router", Version: 3}, &reply)
			return reply.Error == nil && reply.Confirmed == 3
		})
		d.c.Assert(time.Since(began) <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	})
}
