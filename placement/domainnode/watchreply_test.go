package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

// watchWoken watches for the given time, with a reply every 50 ms, as a router that takes packed
// loads or as one of the previous release. It returns the replies.
func (d *testDomain) watchWoken(leading *runningNode, takesPacked bool, during time.Duration) (replies []domainapi.WatchReply) {
	d.c.Helper()
	current := leading.member.currentLeadership()
	arguments := domainapi.WatchArguments{Router: "router", MaxHold: domainapi.MaxHold, TakesPackedLoads: takesPacked}
	var loadsAt time.Time
	for end := time.Now().Add(during); time.Now().Before(end); {
		go func() {
			pause.For(d.ctx, 50*time.Millisecond)
			current.mutex.Lock()
			defer current.mutex.Unlock()
			current.announcer.notify("router")
		}()
		if takesPacked && !loadsAt.IsZero() {
			arguments.LoadsAge = max(1, time.Since(loadsAt))
		}
		var reply domainapi.WatchReply
		d.c.Assert((&service{node: leading.Node}).Watch(&arguments, &reply), qt.IsNil)
		d.c.Assert(reply.Error == nil, qt.IsTrue)
		arguments.Term, arguments.Revision, arguments.Version = reply.Term, reply.Revision, 1
		if takesPacked && len(reply.Controllers) > 0 {
			arguments.Controllers = domainapi.HashAddresses(reply.Controllers)
		}
		if len(reply.PackedLoads) > 0 {
			loadsAt = time.Now()
		}
		replies = append(replies, reply)
	}
	return replies
}

// inBusyDomain runs a test in a domain whose leader has a busy runner.
func inBusyDomain(t *testing.T, test func(d *testDomain, leading *runningNode)) {
	t.Helper()
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.put(1)
		leading := d.nodes[d.awaitLeader()]
		heartbeat := fleet.Heartbeat{Instance: "r", Service: "s", Address: "10.9.0.1:1", Zone: "zone-0", Slots: 4, Sequence: 1}
		d.await("a heartbeat", func() bool { return leading.Heartbeat(d.ctx, heartbeat) == nil })
		test(d, leading)
	})
}

// A router that is answered 60 times a second gets loads every 50 ms only, and the list of
// controllers once.
func TestRouterGetsLoadsAndControllersOnlyWhenDue(t *testing.T) {
	inBusyDomain(t, func(d *testDomain, leading *runningNode) {
		replies := d.watchWoken(leading, true, 3*time.Second)
		loads, controllers := 0, 0
		for _, reply := range replies {
			d.c.Assert(reply.Loads, qt.HasLen, 0)
			d.c.Assert(reply.KeepsLoads, qt.Equals, len(reply.PackedLoads) == 0)
			if len(reply.PackedLoads) > 0 {
				loads++
				_, err := fleet.UnpackLoads(reply.PackedLoads)
				d.c.Assert(err, qt.IsNil)
			}
			if len(reply.Controllers) > 0 {
				controllers++
			}
		}
		d.c.Assert(len(replies) >= 50, qt.IsTrue, qt.Commentf("%d replies", len(replies)))
		d.c.Assert(loads >= 50 && loads <= 61, qt.IsTrue, qt.Commentf("%d of %d replies with loads", loads, len(replies)))
		d.c.Assert(controllers, qt.Equals, 1)
	})
}

// A router of the previous release takes a reply without loads to mean that no runner is busy.
func TestRouterOfPreviousReleaseGetsLoadsWithEachReply(t *testing.T) {
	inBusyDomain(t, func(d *testDomain, leading *runningNode) {
		current := leading.member.currentLeadership()
		busy := []fleet.Load{{Instance: "r", Requests: 3, Reading: 0.5}}
		current.mutex.Lock()
		current.setLoads(busy)
		current.mutex.Unlock()
		for _, reply := range d.watchWoken(leading, false, time.Second) {
			d.c.Assert(reply.PackedLoads, qt.HasLen, 0)
			d.c.Assert(reply.KeepsLoads, qt.IsFalse)
			d.c.Assert(reply.Controllers, qt.HasLen, 3)
		}
		reply, arguments := domainapi.WatchReply{}, domainapi.WatchArguments{Term: uint64(current.term)}
		current.mutex.Lock()
		current.setLoads(busy)
		current.mutex.Unlock()
		current.fillLoads(&reply, &arguments, 0)
		d.c.Assert(reply.Loads, qt.DeepEquals, busy)
	})
}
