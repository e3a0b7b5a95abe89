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

// watchAll starts routers that watch the leader until its leadership ends. views returns the
// number of views received.
func (d *testDomain) watchAll(leading *runningNode, routers int) (watching *sync.WaitGroup, views func() int) {
	var mutex sync.Mutex
	count := 0
	watching = &sync.WaitGroup{}
	for index := range routers {
		watching.Go(func() {
			arguments := domainapi.WatchArguments{Router: fmt.Sprint("router-", index), MaxHold: domainapi.MaxHold}
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

// Departures of 200 runners at once are acknowledged once all routers have them, and share
// few refreshes and views.
func TestConcurrentDeparturesShareViews(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		const leaving, routers = 200, 20
		d.bootstrap(0, 1, 2)
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
		m, err := leading.current()
		d.c.Assert(err, qt.IsNil)
		current := m.currentLeadership()
		// Refreshes take no virtual time, so set the duration of one of a large fleet.
		current.mutex.Lock()
		current.refreshDuration = 30 * time.Millisecond
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

// receiveLargeFleet applies heartbeats of many runners at the leader.
func (d *testDomain) receiveLargeFleet(leading *runningNode, runners int, sequence uint64) {
	m, err := leading.current()
	d.c.Assert(err, qt.IsNil)
	for index := range runners {
		m.currentLeadership().receiveHeartbeat(largeFleetHeartbeat(index, sequence))
	}
	m.currentLeadership().wakePlan()
}

func largeFleetHeartbeat(index int, sequence uint64) fleet.Heartbeat {
	return fleet.Heartbeat{
		Instance: fmt.Sprintf("i-%08x", uint32(index)*2654435761), Service: "s", Address: fmt.Sprintf("10.%d.%d.%d:8080", index>>16, index>>8&255, index&255),
		Zone: fmt.Sprint("zone-", index%2), Slots: 12, Sequence: sequence, Models: []fleet.LoadedModel{{Name: fmt.Sprint("m", index%100)}},
	}
}

// testRouter applies the replies to its watches as a router does.
type testRouter struct {
	d         *testDomain
	arguments domainapi.WatchArguments
	known     *fleet.Directory
	// bytes is the size of the last view; isFull is set if it was a full one.
	bytes  int
	isFull bool
}

func (d *testDomain) newTestRouter(name string) *testRouter {
	return &testRouter{d: d, known: fleet.NewDirectory(), arguments: domainapi.WatchArguments{Router: name, MaxHold: domainapi.MaxHold, Version: 1}}
}

// watch sends one watch to the leader.
func (f *testRouter) watch() {
	var reply domainapi.WatchReply
	f.d.await("an answer to a watch", func() bool {
		reply = domainapi.WatchReply{}
		_ = (&service{node: f.d.nodes[f.d.awaitLeader()].Node}).Watch(&f.arguments, &reply)
		return reply.Error == nil
	})
	f.bytes, f.isFull = 0, false
	if reply.View != nil {
		view, err := reply.View.Decode()
		f.d.c.Assert(err, qt.IsNil)
		f.bytes, f.isFull = len(reply.View.Bytes), !view.Partial
		f.known.ApplyView(view)
	}
	f.arguments.Term, f.arguments.Revision = reply.Term, reply.Revision
}

// A new leader of a large fleet sends only changes to routers that followed the previous
// leader, and full views later. Routers keep their view meanwhile; a new router gets the full
// view immediately.
func TestRoutersKeepViewAtNewLeaderOfLargeFleet(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		const runners = 2000
		document := []byte(`{"Version":1,"Services":[{"Name":"s","Engine":{"WeightsMB":1000,"MaxAdapters":8,"LoadsPerSecond":9,` +
			`"Models":[{"Name":"m1","SizeMB":1}]}}]}`)
		d.bootstrap(0, 1, 2)
		d.await("the document", func() bool { return d.nodes[0].PutDocument(d.ctx, document) == nil })
		d.receiveLargeFleet(d.nodes[d.awaitLeader()], runners, 1)
		pause.For(d.ctx, 3*time.Second)
		router := d.newTestRouter("router")
		router.watch()
		d.c.Assert(router.isFull, qt.IsTrue)
		d.c.Assert(router.known.Len(), qt.Equals, runners)
		d.kill(d.awaitLeader())
		next := d.nodes[d.awaitLeader()]
		gone := largeFleetHeartbeat(7, 0).Instance
		d.await("a departure", func() bool { return next.Depart(d.ctx, gone, 0) == nil })
		router.watch()
		d.c.Assert(router.isFull, qt.IsFalse)
		d.c.Assert(router.bytes < 1000, qt.IsTrue, qt.Commentf("%d bytes", router.bytes))
		d.c.Assert(router.known.Len(), qt.Equals, runners-1)
		d.c.Assert(router.known.Runner(gone), qt.IsNil)
		d.c.Assert(router.known.Runner(largeFleetHeartbeat(8, 0).Instance).Models, qt.HasLen, 1)
		fresh := d.newTestRouter("fresh")
		fresh.watch()
		d.c.Assert(fresh.isFull, qt.IsTrue)
		d.receiveLargeFleet(next, runners, 2)
		for range 10 {
			router.watch()
			fresh.watch()
		}
		for index := range runners {
			instance := largeFleetHeartbeat(index, 0).Instance
			d.c.Assert(router.known.Runner(instance), qt.DeepEquals, fresh.known.Runner(instance), qt.Commentf("%s", instance))
		}
	})
}

// A router whose requests wait for an unlisted model gets the full view without waiting for
// its turn.
func TestWaitingRouterGetsFullViewImmediately(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.put(1)
		leading := d.nodes[d.awaitLeader()]
		d.receiveLargeFleet(leading, 2000, 1)
		pause.For(d.ctx, 2*time.Second)
		m, err := leading.current()
		d.c.Assert(err, qt.IsNil)
		current := m.currentLeadership()
		router := d.newTestRouter("router")
		router.watch()
		current.mutex.Lock()
		known := current.routers["router"]
		known.lacksFullView = true
		current.routers["router"] = known
		// All slots for full views are taken.
		current.fullViewPacer.nextFree = current.now().Add(time.Hour)
		current.notify("router")
		current.mutex.Unlock()
		began := time.Now()
		router.watch()
		d.c.Assert(router.isFull, qt.IsTrue)
		d.c.Assert(time.Since(began) < 50*time.Millisecond, qt.IsTrue)
	})
}
