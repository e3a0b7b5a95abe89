package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
)

// A suspended leader must not rely on its lease: others may have elected a new leader,
// although its own timers have not advanced.
func TestLeaseOfALeaderIsOverAfterASuspension(t *testing.T) {
	for name, suspended := range map[string]time.Duration{"not suspended": 0, "suspended": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			inDomain(t, func(d *testDomain) {
				d.bootstrap(0, 1, 2)
				d.put(1)
				leader := d.awaitLeader()
				for index := range 3 {
					if index != leader {
						d.kill(index)
					}
				}
				d.suspended[leader].Add(int64(suspended))
				var reply domainapi.WatchReply
				_ = (&service{node: d.nodes[leader].Node}).Watch(&domainapi.WatchArguments{Router: "router"}, &reply)
				d.c.Assert(reply.Error == nil, qt.Equals, suspended == 0)
			})
		})
	}
}

// A suspended leader continues once a quorum has renewed its lease.
func TestLeaderGoesOnAfterAShortSuspension(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.put(1)
		leader := d.awaitLeader()
		d.suspended[leader].Add(int64(2 * time.Second))
		pause.For(d.ctx, 200*time.Millisecond)
		d.c.Assert(d.leader(), qt.Equals, leader)
		d.put(2)
		d.c.Assert(d.read(leader), qt.Equals, string(source(2)))
	})
}
