package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
)

func TestRoutersWatchTheControllerOfTheirZone(t *testing.T) {
	inRegions(t, true, 2, func(s *regionalSite) {
		s.c.Assert(s.allTake(runnerInstance(3), true), qt.IsTrue)
		pause.For(s.ctx, 20*time.Second)
		for _, router := range s.routers {
			s.c.Assert(router.follows(), qt.Equals, s.expected(router.zone))
			s.c.Assert(router.relayFailures, qt.Equals, 0)
			router.Router.mutex.Lock()
			s.c.Check(router.routerCount.routers, qt.Equals, len(s.routers), qt.Commentf("each router counts once"))
			router.Router.mutex.Unlock()
		}
	})
}
