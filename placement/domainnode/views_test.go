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

// largeFleet has the leader hear so many runners, and says which of them a call is about.
func (d *testDomain) largeFleet(leading *runningNode, runners int, sequence uint64) {
	joined, err := leading.current()
	d.c.Assert(err, qt.IsNil)
	for index := range runners {
		joined.leads().heard(largeRunner(index, sequence))
	}
	joined.leads().wakePlan()
}

func largeRunner(index int, sequence uint64) fleet.Heartbeat {
	return fleet.Heartbeat{
		Instance: fmt.Sprintf("i-%08x", uint32(index)*2654435761), Service: "s", Address: fmt.Sprintf("10.%d.%d.%d:8080", index>>16, index>>8&255, index&255),
		Zone: fmt.Sprint("zone-", index%2), Slots: 12, Sequence: sequence, Models: []fleet.LoadedModel{{Name: fmt.Sprint("m", index%100)}},
	}
}

// testFollower is what a router does with the replies to its watches.
type testFollower struct {
	d         *testDomain
	arguments domainapi.WatchArguments
	known     *fleet.Directory
	// bytes are those of the last view, whole is set if it was one.
	bytes   int
	isWhole bool
}

func (d *testDomain) newFollower(name string) *testFollower {
	return &testFollower{d: d, known: fleet.NewDirectory(), arguments: domainapi.WatchArguments{Router: name, MaxHold: domainapi.MostHold, Version: 1}}
}

// watch asks the leader once.
func (f *testFollower) watch() {
	var reply domainapi.WatchReply
	f.d.await("an answer to a watch", func() bool {
		reply = domainapi.WatchReply{}
		_ = (&service{node: f.d.nodes[f.d.awaitLeader()].Node}).Watch(&f.arguments, &reply)
		return reply.Error == nil
	})
	f.bytes, f.isWhole = 0, false
	if reply.View != nil {
		view, err := reply.View.Decode()
		f.d.c.Assert(err, qt.IsNil)
		f.bytes, f.isWhole = len(reply.View.Bytes), !view.Partial
		f.known.Learn(view)
	}
	f.arguments.Term, f.arguments.Revision = reply.Term, reply.Revision
}

// A new leader of a large fleet tells routers that followed the one before what is new, at once and shortly, and the
// whole view in their turn. Meanwhile they know what they knew; one that knows nothing gets all at once.
func TestRoutersOfALargeFleetKeepWhatTheyKnowAtANewLeader(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		const runners = 2000
		document := []byte(`{"Version":1,"Services":[{"Name":"s","Engine":{"WeightsMB":1000,"MaxAdapters":8,"LoadsPerSecond":9,` +
			`"Models":[{"Name":"m1","SizeMB":1}]}}]}`)
		d.found(0, 1, 2)
		d.await("the document", func() bool { return d.nodes[0].PutDocument(d.ctx, document) == nil })
		d.largeFleet(d.nodes[d.awaitLeader()], runners, 1)
		pause.For(d.ctx, 3*time.Second)
		router := d.newFollower("router")
		router.watch()
		d.c.Assert(router.isWhole, qt.IsTrue)
		d.c.Assert(router.known.Len(), qt.Equals, runners)
		d.kill(d.awaitLeader())
		next := d.nodes[d.awaitLeader()]
		gone := largeRunner(7, 0).Instance
		d.await("a departure", func() bool { return next.Depart(d.ctx, gone, 0) == nil })
		router.watch()
		d.c.Assert(router.isWhole, qt.IsFalse)
		d.c.Assert(router.bytes < 1000, qt.IsTrue, qt.Commentf("%d bytes", router.bytes))
		d.c.Assert(router.known.Len(), qt.Equals, runners-1)
		d.c.Assert(router.known.Runner(gone), qt.IsNil)
		d.c.Assert(router.known.Runner(largeRunner(8, 0).Instance).Models, qt.HasLen, 1)
		fresh := d.newFollower("fresh")
		fresh.watch()
		d.c.Assert(fresh.isWhole, qt.IsTrue)
		d.largeFleet(next, runners, 2)
		for range 10 {
			router.watch()
			fresh.watch()
		}
		for index := range runners {
			instance := largeRunner(index, 0).Instance
			d.c.Assert(router.known.Runner(instance), qt.DeepEquals, fresh.known.Runner(instance), qt.Commentf("%s", instance))
		}
	})
}

// A router whose requests wait for a model that it was not told of gets the whole view at once.
func TestWaitingRouterGetsTheWholeViewAtOnce(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.found(0, 1, 2)
		d.put(1)
		leading := d.nodes[d.awaitLeader()]
		d.largeFleet(leading, 2000, 1)
		pause.For(d.ctx, 2*time.Second)
		joined, err := leading.current()
		d.c.Assert(err, qt.IsNil)
		current := joined.leads()
		router := d.newFollower("router")
		router.watch()
		current.mutex.Lock()
		known := current.routers["router"]
		known.isBehind = true
		current.routers["router"] = known
		// All turns are taken for long.
		current.wholeViews.free = current.now().Add(time.Hour)
		current.notify("router")
		current.mutex.Unlock()
		began := time.Now()
		router.watch()
		d.c.Assert(router.isWhole, qt.IsTrue)
		d.c.Assert(time.Since(began) < 50*time.Millisecond, qt.IsTrue)
	})
}
