package relay

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domain"
)

// Guards against a drain that is acknowledged before relayed routers know it.
func TestDrainIsAcknowledgedOnceRelayedRoutersKnowIt(t *testing.T) {
	t.Parallel()
	inRegions(t, true, 3, func(s *regionalSite) {
		for index := range regionalZones {
			if index == s.leader() {
				continue
			}
			ctx, cancel := context.WithTimeout(s.ctx, time.Second)
			began := time.Now()
			s.c.Assert(s.controllers[index].DrainZone(ctx, domain.ZoneDrain{Zone: "a1", IsDrained: true}), qt.IsNil)
			s.c.Assert(s.allTake(runnerInstance(0), false), qt.IsTrue)
			s.c.Assert(time.Since(began) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			s.c.Assert(s.controllers[index].DrainZone(ctx, domain.ZoneDrain{Zone: "a1"}), qt.IsNil)
			cancel()
			s.await("the end of the drain", func() bool { return s.allTake(runnerInstance(0), true) })
		}
	})
}

// A router of the previous release watches the leader, beside others that watch relays, and counts
// like them.
func TestRouterWithoutRelaysBesideOthers(t *testing.T) {
	t.Parallel()
	inRegions(t, true, 1, func(s *regionalSite) {
		zone := s.relayIn("b")
		s.routers[zone].end()
		s.hasRelays = false
		previous := s.newRouter(zone, 0)
		s.hasRelays = true
		s.routers[zone] = previous
		pause.For(s.ctx, 3*time.Second)
		s.c.Assert(previous.follows(), qt.Equals, "")
		s.depart(runnerInstance(0))
		s.c.Assert(s.allTake(runnerInstance(0), false), qt.IsTrue)
		previous.Router.mutex.Lock()
		defer previous.Router.mutex.Unlock()
		s.c.Assert(previous.routerCount.routers, qt.Equals, len(s.routers))
	})
}
