package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domain"
)

// Guards against runners that repeat a call without an answer and cause another look at all runners and
// another announcement to all routers each time, while the leader is already too slow to answer them.
func TestRepeatedDepartureIsNotAnnouncedAgain(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
		current, _ := d.leadership()
		pause.For(d.ctx, time.Second)
		departure := domain.Departure{Instance: "r1"}
		current.applyDeparture(d.ctx, departure)
		revision, isKnown := current.knownDeparture(departure)
		d.c.Assert(isKnown, qt.IsTrue)
		d.c.Assert(revision, qt.Equals, current.currentRevision())
		announced, refreshes := current.announcer.count.Load(), current.node.workload.refreshes.Load()
		current.receiveHeartbeat(largeFleetHeartbeat(1, 1))
		for range 3 {
			current.applyDeparture(d.ctx, departure)
		}
		d.c.Assert(current.announcer.count.Load(), qt.Equals, announced)
		d.c.Assert(current.node.workload.refreshes.Load(), qt.Equals, refreshes)
		departure.Gone = true
		current.applyDeparture(d.ctx, departure)
		d.c.Assert(current.node.workload.refreshes.Load() > refreshes, qt.IsTrue, qt.Commentf("a runner that is gone is another departure"))
	})
}

func (l *leadership) currentRevision() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.views.Revision()
}
