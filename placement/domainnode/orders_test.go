package domainnode

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/residency"
)

// slowEngines takes a time to connect, and then never answers.
type slowEngines struct {
	connectTime time.Duration
	// begun receives whether an order was begun, and ended how long its context lasted.
	begun chan bool
	ended chan time.Duration
}

func (e *slowEngines) order(ctx context.Context, mayBegin func() bool) residency.Outcome {
	began := time.Now()
	pause.For(ctx, e.connectTime)
	isBegun := mayBegin()
	e.begun <- isBegun
	if !isBegun {
		return residency.OutcomeNotSent
	}
	<-ctx.Done()
	e.ended <- time.Since(began)
	return residency.OutcomeUnknown
}

// orderSlowly has the leader of a domain send an order by slow engines.
func (d *testDomain) orderSlowly(connectTime time.Duration) (*slowEngines, int) {
	d.c.Helper()
	d.bootstrap(0, 1, 2)
	leader := d.awaitLeader()
	m, err := d.nodes[leader].current()
	d.c.Assert(err, qt.IsNil)
	d.await("the leadership", func() bool { return m.currentLeadership() != nil })
	engines := &slowEngines{connectTime: connectTime, begun: make(chan bool, 1), ended: make(chan time.Duration, 1)}
	d.engines.mutex.Lock()
	d.engines.slow = engines
	d.engines.mutex.Unlock()
	go m.currentLeadership().sendOrder(d.ctx, residency.Order{Instance: "r", Address: "10.9.9.9:1", Operation: residency.Load, Model: "m"})
	synctest.Wait()
	return engines, leader
}

// isolate ends the nodes other than the leader, so that its lease ends.
func (d *testDomain) isolate(leader int) {
	for index := range 3 {
		if index != leader {
			d.kill(index)
		}
	}
}

// The connection of an order may be there only after the lease has ended.
func TestOrderIsNotBegunAfterTheLease(t *testing.T) {
	for isIsolated, want := range map[bool]bool{false: true, true: false} {
		t.Run(fmt.Sprint("isolated ", isIsolated), func(t *testing.T) {
			inDomain(t, func(d *testDomain) {
				engines, leader := d.orderSlowly(900 * time.Millisecond)
				if isIsolated {
					d.isolate(leader)
				}
				d.c.Assert(<-engines.begun, qt.Equals, want)
			})
		})
	}
}

// Orders in progress end with the leadership, and are not begun by a process that stops.
func TestOrderEndsWithTheLeadership(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		engines, leader := d.orderSlowly(0)
		d.c.Assert(<-engines.begun, qt.IsTrue)
		d.nodes[leader].Stop(d.ctx)
		d.c.Assert(<-engines.ended < 200*time.Millisecond, qt.IsTrue)
	})
}

// The timers of a machine stand still while it is suspended, but an order must not go on for the
// rest of its timeout afterwards.
func TestOrderEndsAfterASuspension(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		engines, leader := d.orderSlowly(0)
		d.c.Assert(<-engines.begun, qt.IsTrue)
		d.suspended[leader].Add(int64(2 * time.Second))
		d.c.Assert(<-engines.ended <= orderClockInterval, qt.IsTrue)
	})
}
