package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
)

// Guards against runners that repeat a call without an answer and cause another look at all runners and
// another announcement to all routers each time, while the leader is already too slow to answer them.
func TestRepeatedDepartureIsNotAnnouncedAgain(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
		current, _ := d.leadership()
		pause.For(d.ctx, time.Second)
		departure := domain.Departure{Instance: "r1"}
		d.c.Assert(current.applyDeparture(d.ctx, departure), qt.IsNil)
		published, isPublished := current.publishedDeparture(departure)
		d.c.Assert(isPublished, qt.IsTrue)
		d.c.Assert(published.revision, qt.Equals, current.currentRevision())
		announced, refreshes := current.announcer.count.Load(), current.node.workload.refreshes.Load()
		current.receiveHeartbeat(largeFleetHeartbeat(1, 1))
		for range 3 {
			d.c.Assert(current.applyDeparture(d.ctx, departure), qt.IsNil)
		}
		d.c.Assert(current.announcer.count.Load(), qt.Equals, announced)
		d.c.Assert(current.node.workload.refreshes.Load(), qt.Equals, refreshes)
		departure.Gone = true
		d.c.Assert(current.applyDeparture(d.ctx, departure), qt.IsNil)
		d.c.Assert(current.node.workload.refreshes.Load() > refreshes, qt.IsTrue, qt.Commentf("a runner that is gone is another departure"))
	})
}

func (l *leadership) currentRevision() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.views.Revision()
}

// Guards against runners whose departure is never acknowledged while routers are stopped one after the
// other: each call waits for a router that is gone, for longer than the runner does.
func TestRepeatedDepartureDoesNotWaitAnewForLostRouters(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
		current, _ := d.leadership()
		pause.For(d.ctx, time.Second)
		departure := domain.Departure{Instance: "r1"}
		current.recordContact("lost", 1, domainapi.MaxHold)
		began := time.Now()
		d.c.Assert(current.applyDeparture(d.ctx, departure), qt.IsNil)
		d.c.Assert(time.Since(began) >= routerAckTimeout, qt.IsTrue)
		current.recordContact("lost too", 1, domainapi.MaxHold)
		began = time.Now()
		d.c.Assert(current.applyDeparture(d.ctx, departure), qt.IsNil)
		d.c.Assert(time.Since(began) <= 2*routerPollInterval, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	})
}
