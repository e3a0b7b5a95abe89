package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/controller"
)

func TestRouterReadsTheReportsOfAZoneWithManyRunners(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1, absent: controller.MinSharedRunners})
		s.applyRows(1)
		observer := s.daemons[0].leader.observer
		relayed := func() bool {
			observer.mutex.Lock()
			defer observer.mutex.Unlock()
			_, found := observer.shares.Relayed(time.Now(), observer.digests)["engine-zone-0"]
			return found
		}
		for s.ctx.Err() == nil && !relayed() {
			pause.For(s.ctx, leadercall.RetryDelay)
		}
		s.Assert(relayed(), qt.IsTrue)
		// Rows loaded afterwards are read by the leader itself.
		request := streamRequest("first", "r0", 5)
		text, err := s.ask(0, request)
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(request))
	})
}
