package domainnode

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

// watchAll has so many routers watch the leader, as routers do, until it leads no more, and counts the views that
// they get.
func (d *testDomain) watchAll(leading *runningNode, routers int) (watching *sync.WaitGroup, views func() int) {
	var mutex sync.Mutex
	count := 0
	watching = &sync.WaitGroup{}
	for index := range routers {
		watching.Go(func() {
			arguments := domainapi.WatchArguments{Router: fmt.Sprint("router-", index), MaxHold: domainapi.MostHold}
			for d.ctx.Err() == nil {
				var reply domainapi.WatchReply
				_ = (&service{node: leading.Node}).Watch(&arguments, &reply)
				if reply.Error != nil {
					return
				}
				arguments.Term, arguments.Revision, arguments.Version = reply.Term, reply.Revision, 1
				if reply.View != nil {
					mutex.Lock()
					count++
					mutex.Unlock()
				}
			}
		})
	}
	return watching, func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return count
	}
}

// Two hundred runners leave at once: each is acknowledged once all routers know, and they share a few looks at the
// fleet and a few words to each router.
func TestRunnersThatLeaveTogetherShareAFewViews(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		const leaving, routers = 200, 20
		d.found(0, 1, 2)
		d.put(1)
		leading := d.nodes[d.awaitLeader()]
		for index := range leaving {
			heartbeat := fleet.Heartbeat{
				Instance: fmt.Sprint("r", index), Service: "s", Address: fmt.Sprint("10.9.0.", index, ":1"), Zone: "zone-0", Sequence: 1,
			}
			d.await("a heartbeat", func() bool { return leading.Heartbeat(d.ctx, heartbeat) == nil })
		}
		watching, views := d.watchAll(leading, routers)
		pause.For(d.ctx, 2*time.Second)
		joined, err := leading.current()
		d.c.Assert(err, qt.IsNil)
		current := joined.leads()
		// A look at a large fleet takes long; virtual time passes for it as it is told to.
		current.mutex.Lock()
		current.refreshTook = 30 * time.Millisecond
		current.mutex.Unlock()
		before := views()
		var departing sync.WaitGroup
		for index := range leaving {
			departing.Go(func() {
				began := time.Now()
				err := leading.Depart(d.ctx, fmt.Sprint("r", index), 0)
				d.c.Check(err, qt.IsNil)
				d.c.Check(time.Since(began) <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			})
		}
		departing.Wait()
		told := views() - before
		d.c.Assert(told <= 6*routers, qt.IsTrue, qt.Commentf("%d views for %d routers", told, routers))
		current.mutex.Lock()
		left := current.views.Runners()
		current.mutex.Unlock()
		d.c.Assert(left, qt.Equals, 0)
		d.kill(d.leader())
		watching.Wait()
	})
}
