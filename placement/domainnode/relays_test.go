package domainnode

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/mirror"
	"github.com/lotusferry/lotusferry/structs"
)

// leadership returns the leadership of the leader and calls at it.
func (d *testDomain) leadership() (*leadership, *service) {
	var current *leadership
	leading := d.nodes[d.awaitLeader()]
	d.await("the leadership", func() bool {
		m, err := leading.current()
		if err == nil {
			current = m.currentLeadership()
		}
		return current != nil
	})
	return current, &service{node: leading.Node}
}

// poll asks for what has changed since a relay's last answer and returns the next question.
func (d *testDomain) poll(calls *service, question *domainapi.MirrorArguments) *domainapi.MirrorReply {
	d.c.Helper()
	reply := &domainapi.MirrorReply{}
	d.c.Assert(calls.Mirror(question, reply), qt.IsNil)
	d.c.Assert(structs.AsError(reply.Error), qt.IsNil)
	if reply.State.Suspects != nil {
		question.Suspects = reply.State.Suspects.Revision
	}
	question.Term, question.Revision, question.Announced = reply.State.Term, reply.State.Revision, reply.Announced
	question.Version, question.Members, question.Routers = reply.State.Confirmed, reply.Members, nil
	return reply
}

func inDomainWithRelay(t *testing.T, test func(d *testDomain, current *leadership, calls *service, question *domainapi.MirrorArguments)) {
	t.Helper()
	inDomain(t, func(d *testDomain) {
		d.regions, d.hasNoRelays = map[string]string{"zone-0": "a", "zone-1": "b"}, true
		d.bootstrapWithRunners()
		current, calls := d.leadership()
		question := &domainapi.MirrorArguments{Relay: "relay", Address: "10.5.5.5:1", Zone: "zone-1"}
		d.poll(calls, question)
		test(d, current, calls, question)
	})
}

func TestRelayGetsChangesOnce(t *testing.T) {
	inDomainWithRelay(t, func(d *testDomain, current *leadership, calls *service, question *domainapi.MirrorArguments) {
		asked := time.Now()
		reply := d.poll(calls, question)
		d.c.Assert(time.Since(asked), qt.Equals, domainapi.RelayHold)
		d.c.Assert(reply.State.View, qt.IsNil)
		d.c.Assert(reply.State.Document, qt.IsNil)
		d.c.Assert(reply.State.Confirmed, qt.Equals, uint64(3))
		d.c.Assert(reply.RelayList.Relays, qt.DeepEquals, []domainapi.Relay{{Address: "10.5.5.5:1", Zone: "zone-1"}},
			qt.Commentf("a relay is listed once it has a view"))
		d.c.Assert(d.poll(calls, question).RelayList.Relays, qt.HasLen, 0, qt.Commentf("the list is sent once"))
		current.receiveHeartbeat(fleet.Heartbeat{Instance: "r2", Service: "s", Address: "10.9.9.3:1", Zone: "zone-1", Slots: 4, Sequence: 1})
		current.wakePlan()
		reply = d.poll(calls, question)
		view, err := reply.State.View.Decode()
		d.c.Assert(err, qt.IsNil)
		d.c.Assert(view.Partial, qt.IsTrue)
		d.c.Assert(view.Runners[0].Instance, qt.Equals, "r2")
	})
}

// A relay that is no longer heard must not be named to routers.
func TestSilentRelayIsListedNoMore(t *testing.T) {
	inDomainWithRelay(t, func(d *testDomain, current *leadership, calls *service, question *domainapi.MirrorArguments) {
		d.poll(calls, question)
		watch := &domainapi.WatchArguments{Router: "router", Relays: domainapi.NoRelays}
		d.c.Assert(current.relaysFor(watch).Relays, qt.HasLen, 1)
		pause.For(d.ctx, relayExpiry)
		d.c.Assert(current.relaysFor(watch).Relays, qt.HasLen, 0)
		d.c.Assert(current.relaysFor(&domainapi.WatchArguments{Router: "router"}), qt.IsNil, qt.Commentf("a router that uses no relays"))
	})
}

// Guards against a router that has only what changed at a takeover, and whose relay takes it for one
// with the full view.
func TestRouterWithoutFullViewGetsNoRelays(t *testing.T) {
	inDomainWithRelay(t, func(d *testDomain, current *leadership, calls *service, question *domainapi.MirrorArguments) {
		current.mutex.Lock()
		current.routers["router"] = routerContact{at: current.now(), lacksFullView: true}
		current.mutex.Unlock()
		d.c.Assert(current.relaysFor(&domainapi.WatchArguments{Router: "router", Relays: domainapi.NoRelays}), qt.IsNil)
	})
}

// Guards against a contact from before a router came to a new leader, stated late by its former
// relay, after which the leader takes the changes that the router got for the full view.
func TestLateRelayedContactKeepsThatFullViewIsLacking(t *testing.T) {
	inDomainWithRelay(t, func(d *testDomain, current *leadership, calls *service, question *domainapi.MirrorArguments) {
		known := routerContact{at: current.now(), revision: 1, hold: domainapi.MaxHold, lacksFullView: true, wantsFullView: true}
		current.mutex.Lock()
		current.routers["router"] = known
		current.mutex.Unlock()
		pause.For(d.ctx, 20*time.Millisecond)
		report := *question
		report.IsReport = true
		for _, test := range []struct {
			revision uint64
			lacks    bool
		}{{0, true}, {1, false}} {
			report.Routers = []domainapi.RelayedRouter{{Router: "router", Revision: test.revision, HoldMS: 500}}
			d.c.Assert(calls.Mirror(&report, &domainapi.MirrorReply{}), qt.IsNil)
			current.mutex.Lock()
			known = current.routers["router"]
			current.mutex.Unlock()
			d.c.Assert(known.relay, qt.Equals, "relay")
			d.c.Assert(known.lacksFullView, qt.Equals, test.lacks, qt.Commentf("revision %d", test.revision))
			d.c.Assert(known.wantsFullView, qt.Equals, test.lacks, qt.Commentf("revision %d", test.revision))
		}
	})
}

func TestRelayedRoutersAreCountedOnce(t *testing.T) {
	inDomainWithRelay(t, func(d *testDomain, current *leadership, calls *service, question *domainapi.MirrorArguments) {
		current.recordContact("direct", 1, domainapi.MaxHold)
		current.recordContact("moved", 1, domainapi.MaxHold)
		pause.For(d.ctx, 20*time.Millisecond)
		report := *question
		report.IsReport = true
		report.Routers = []domainapi.RelayedRouter{
			{Router: "moved", Revision: 1, AgeMS: 1, HoldMS: 500},
			{Router: "relayed", Revision: 1, AgeMS: 1, HoldMS: 500},
			{Router: "direct", Revision: 9, AgeMS: 900, HoldMS: 500},
		}
		d.poll(calls, &report)
		current.mutex.Lock()
		defer current.mutex.Unlock()
		d.c.Assert(current.routers, qt.HasLen, 3)
		d.c.Assert(current.routers["moved"].relay, qt.Equals, "relay")
		d.c.Assert(current.routers["direct"].relay, qt.Equals, "", qt.Commentf("an earlier contact with a relay"))
		d.c.Assert(current.routers["direct"].revision, qt.Equals, uint64(1))
		d.c.Assert(current.haveRoutersSeen(current.now(), 1), qt.IsTrue)
		d.c.Assert(current.haveRoutersSeen(current.now(), 2), qt.IsFalse)
	})
}

// Guards against a late message of a relay that takes back a revision, and against a revision that
// outlives the router's process.
func TestRevisionOfRelayedRouterGoesBackOnlyAfterItsRestart(t *testing.T) {
	inDomainWithRelay(t, func(d *testDomain, current *leadership, calls *service, question *domainapi.MirrorArguments) {
		for _, test := range []struct{ stated, want uint64 }{{5, 5}, {4, 5}, {0, 0}, {6, 6}} {
			report := *question
			report.IsReport = true
			report.Routers = []domainapi.RelayedRouter{{Router: "r", Revision: test.stated, HoldMS: 500}}
			d.poll(calls, &report)
			current.mutex.Lock()
			d.c.Assert(current.routers["r"].revision, qt.Equals, test.want)
			current.mutex.Unlock()
		}
	})
}

// A router of a lost relay counts as active for its hold time and a second, and keeps its share of
// the grants as long as other routers do.
func TestRoutersOfALostRelayExpire(t *testing.T) {
	inDomainWithRelay(t, func(d *testDomain, current *leadership, calls *service, question *domainapi.MirrorArguments) {
		report := *question
		report.IsReport = true
		report.Routers = []domainapi.RelayedRouter{{Router: "r", Revision: 1, HoldMS: 500}}
		d.poll(calls, &report)
		for _, test := range []struct {
			after    time.Duration
			isActive bool
		}{{0, true}, {1499 * time.Millisecond, true}, {1500 * time.Millisecond, false}} {
			current.mutex.Lock()
			d.c.Assert(!current.haveRoutersSeen(contactTime(current).Add(test.after), 1000), qt.Equals, test.isActive, qt.Commentf("%v", test.after))
			current.mutex.Unlock()
		}
		pause.For(d.ctx, routerExpiry+time.Millisecond)
		current.recordContact("other", 1, domainapi.MaxHold)
		current.mutex.Lock()
		defer current.mutex.Unlock()
		d.c.Assert(current.routers, qt.HasLen, 1)
	})
}

// contactTime returns the time of the contact with router r.
func contactTime(l *leadership) time.Time { return l.routers["r"].at }

// Guards against a router whose requests wait for a model and that learns of it only with the next
// announcement, since it watches a relay.
func TestNotificationOfRelayedRouterGoesThroughItsRelay(t *testing.T) {
	inDomainWithRelay(t, func(d *testDomain, current *leadership, calls *service, question *domainapi.MirrorArguments) {
		d.poll(calls, question)
		question.Routers = []domainapi.RelayedRouter{{Router: "r", HoldMS: 500}, {Router: "s", HoldMS: 500}}
		answered := make(chan *domainapi.MirrorReply, 1)
		asked := time.Now()
		go func() { answered <- d.poll(calls, question) }()
		pause.For(d.ctx, 10*time.Millisecond)
		current.mutex.Lock()
		current.notify("r")
		current.mutex.Unlock()
		reply := <-answered
		d.c.Assert(reply.Notify, qt.DeepEquals, []string{"r"})
		d.c.Assert(time.Since(asked), qt.Equals, 10*time.Millisecond)
		d.c.Assert(d.poll(calls, question).Notify, qt.HasLen, 0)
	})
}

// Guards against a held question that is answered before the leader began to wait, so that the relay
// tells of its routers only with its next question.
func TestRelayIsToldOfAwaitedRevisionAtOnce(t *testing.T) {
	inDomainWithRelay(t, func(d *testDomain, current *leadership, calls *service, question *domainapi.MirrorArguments) {
		d.poll(calls, question)
		answered := make(chan *domainapi.MirrorReply, 1)
		asked := time.Now()
		go func() { answered <- d.poll(calls, question) }()
		pause.For(d.ctx, 10*time.Millisecond)
		go d.drain(0, true)
		reply := <-answered
		d.c.Assert(time.Since(asked) < 100*time.Millisecond, qt.IsTrue)
		d.c.Assert(reply.Awaited > 0, qt.IsTrue)
		d.c.Assert(reply.State.Revision >= reply.Awaited, qt.IsTrue)
	})
}

// Where the settings name one region or none and there are few routers, the leader names no relays, no
// controller asks it for its state, and a router that would allow a relay is sent to the leader.
func TestControllerOfSmallSiteIsNoRelay(t *testing.T) {
	for name, regions := range map[string]map[string]string{"none": nil, "one": {"zone-0": "a", "zone-1": "a"}} {
		t.Run(name, func(t *testing.T) {
			inDomain(t, func(d *testDomain) {
				d.regions = regions
				d.bootstrap(0, 1, 2)
				current, _ := d.leadership()
				current.addRouters(minRelayedRouters - 1)
				pause.For(d.ctx, 2*unwantedDelay)
				leader := d.awaitLeader()
				calls := &service{node: d.nodes[(leader+1)%3].Node}
				var reply domainapi.WatchReply
				d.c.Assert(calls.Watch(&domainapi.WatchArguments{Router: "r", AllowsRelay: true, Relays: domainapi.NoRelays}, &reply), qt.IsNil)
				d.c.Assert(reply.Error.Kind, qt.Equals, structs.ErrorNotLeader)
				d.c.Assert(reply.Error.Leader, qt.Equals, address(leader))
				d.c.Assert(current.relaysFor(&domainapi.WatchArguments{Router: "r", Relays: domainapi.NoRelays}).Relays, qt.HasLen, 0)
				current.mutex.Lock()
				defer current.mutex.Unlock()
				d.c.Assert(current.relays.byName, qt.HasLen, 0)
			})
		})
	}
}

// addRouters adds routers that watch the leader.
func (l *leadership) addRouters(count int) {
	for index := range count {
		l.recordContact(fmt.Sprint("router-", index), 1, domainapi.MaxHold)
	}
}

// listed returns the list of relays for a router that has none yet.
func (l *leadership) listed() *domainapi.RelayList {
	return l.relaysFor(&domainapi.WatchArguments{Router: "r", Relays: domainapi.NoRelays})
}

// Guards against a leader that answers the watches of all routers of a large site itself: each change
// then takes it longer than its lease.
func TestControllersOfLargeSiteRelayInOneRegion(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.regions = map[string]string{"zone-0": "a", "zone-1": "a"}
		d.bootstrapWithRunners()
		current, _ := d.leadership()
		current.addRouters(minRelayedRouters)
		pause.For(d.ctx, unwantedDelay+time.Second)
		list := current.listed()
		d.c.Assert(list.Relays, qt.HasLen, 2)
		d.c.Assert(list.SparesLeader, qt.IsTrue)
		calls := &service{node: d.nodes[(d.awaitLeader()+1)%3].Node}
		var relayed domainapi.WatchReply
		d.c.Assert(calls.Watch(&domainapi.WatchArguments{Router: "r", AllowsRelay: true}, &relayed), qt.IsNil)
		d.c.Assert(structs.AsError(relayed.Error), qt.IsNil)
		d.c.Assert(relayed.View, qt.IsNotNil)
	})
}

// Guards against a new leader that closes the relays of its predecessor because it does not know their
// routers yet, so that all of them come to it at once.
func TestNewLeaderOfLargeSiteKeepsRelays(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.regions = map[string]string{"zone-0": "a", "zone-1": "a"}
		d.bootstrapWithRunners()
		current, _ := d.leadership()
		current.addRouters(minRelayedRouters)
		pause.For(d.ctx, unwantedDelay+time.Second)
		former := d.awaitLeader()
		d.kill(former)
		next, _ := d.leadership()
		pause.For(d.ctx, domainapi.RelayHold)
		d.c.Assert(next.listed().Relays, qt.HasLen, 1)
		other := d.nodes[3-former-d.awaitLeader()]
		other.relay.mutex.Lock()
		defer other.relay.mutex.Unlock()
		d.c.Assert(other.relay.mirror.Term(), qt.Equals, uint64(next.term))
	})
}

// Guards against a new leader that names its first relay to all routers.
func TestNewLeaderNamesRelaysOnceThereAreEnough(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.hasNoRelays = true
		d.bootstrapWithRunners()
		current, calls := d.leadership()
		current.addRouters(2 * routersPerRelay)
		relay := func(name string) *domainapi.MirrorArguments {
			question := &domainapi.MirrorArguments{Relay: name, Address: name + ":1"}
			d.poll(calls, question)
			question.HoldMS = 1
			d.poll(calls, question)
			return question
		}
		relay("first")
		d.c.Assert(current.listed().Relays, qt.HasLen, 0)
		relay("second")
		d.c.Assert(current.listed().Relays, qt.HasLen, 2)
		pause.For(d.ctx, takeoverTime)
		relay("first")
		d.c.Assert(current.listed().Relays, qt.HasLen, 1, qt.Commentf("others may be down"))
	})
}

// Guards against routers that come to a new leader and stay there until it has sent each of them the
// full view, while the relays would have it.
func TestRouterWithoutFullViewGetsItFromARelayThatSparesTheLeader(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.hasNoRelays = true
		d.bootstrapWithRunners()
		current, calls := d.leadership()
		current.addRouters(minRelayedRouters)
		question := &domainapi.MirrorArguments{Relay: "relay", Address: "10.5.5.5:1"}
		d.poll(calls, question)
		question.HoldMS = 1
		d.poll(calls, question)
		current.mutex.Lock()
		current.routers["r"] = routerContact{at: current.now(), lacksFullView: true}
		current.startedAt = current.startedAt.Add(-takeoverTime)
		current.mutex.Unlock()
		current.fullViewPacer.mutex.Lock()
		current.fullViewPacer.nextFree = current.now().Add(time.Minute)
		current.fullViewPacer.mutex.Unlock()
		watch := &domainapi.WatchArguments{Router: "r", Relays: domainapi.NoRelays, Term: uint64(current.term), Revision: 1, Version: 3}
		var reply domainapi.WatchReply
		d.c.Assert(calls.Watch(watch, &reply), qt.IsNil)
		d.c.Assert(reply.Relays.Relays, qt.HasLen, 1)
		d.c.Assert(reply.View, qt.IsNil)
		d.c.Assert(reply.Revision, qt.Equals, uint64(0), qt.Commentf("the relay gives the full view to a router without one"))
	})
}

// Guards against documents that leave the leader without a slot for their bytes, all at once at the end
// of the routers' watches.
func TestDocumentWithoutReplySlotIsNotSent(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.put(1)
		current, calls := d.leadership()
		pause.For(d.ctx, time.Second)
		current.replyPacer.mutex.Lock()
		current.replyPacer.nextFree = current.now().Add(domainapi.MinHold + 100*time.Millisecond)
		current.replyPacer.mutex.Unlock()
		watch := &domainapi.WatchArguments{Router: "r", MaxHold: domainapi.MaxHold}
		var reply domainapi.WatchReply
		d.c.Assert(calls.Watch(watch, &reply), qt.IsNil)
		d.c.Assert(reply.Document, qt.IsNil)
		d.c.Assert(calls.Watch(watch, &reply), qt.IsNil)
		d.c.Assert(reply.Document.Version, qt.Equals, uint64(1))
	})
}

// A router of the previous release does not say that it allows a relay.
func TestRelaySendsOtherRoutersToTheLeader(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.regions = map[string]string{"zone-0": "a", "zone-1": "b"}
		d.bootstrapWithRunners()
		pause.For(d.ctx, 2*time.Second)
		leader := d.awaitLeader()
		calls := &service{node: d.nodes[(leader+1)%3].Node}
		var refused, relayed domainapi.WatchReply
		d.c.Assert(calls.Watch(&domainapi.WatchArguments{Router: "r"}, &refused), qt.IsNil)
		d.c.Assert(refused.Error.Kind, qt.Equals, structs.ErrorNotLeader)
		d.c.Assert(refused.Error.Leader, qt.Equals, address(leader))
		d.c.Assert(calls.Watch(&domainapi.WatchArguments{Router: "r", AllowsRelay: true}, &relayed), qt.IsNil)
		d.c.Assert(structs.AsError(relayed.Error), qt.IsNil)
		d.c.Assert(relayed.View, qt.IsNotNil)
		d.c.Assert(relayed.Confirmed, qt.Equals, uint64(3))
	})
}

// Guards against a stop that takes as long as the held watches.
func TestStopEndsHeldWatchesOfARelay(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.regions = map[string]string{"zone-0": "a", "zone-1": "b"}
		d.bootstrapWithRunners()
		pause.For(d.ctx, 2*time.Second)
		stopped := d.nodes[(d.awaitLeader()+1)%3]
		calls := &service{node: stopped.Node}
		known := domainapi.WatchArguments{Router: "r", AllowsRelay: true, MaxHold: domainapi.MaxHold}
		for range 3 {
			var reply domainapi.WatchReply
			d.c.Assert(calls.Watch(&known, &reply), qt.IsNil)
			known.Term, known.Revision, known.Version = reply.Term, reply.Revision, reply.Confirmed
			if reply.Suspects != nil {
				known.Suspects = reply.Suspects.Revision
			}
		}
		var reply domainapi.WatchReply
		ended := make(chan time.Time, 1)
		go func() {
			_ = calls.Watch(&known, &reply)
			ended <- time.Now()
		}()
		pause.For(d.ctx, 100*time.Millisecond)
		at := time.Now()
		stopped.Stop(d.ctx)
		d.c.Assert((<-ended).Sub(at), qt.Equals, time.Duration(0))
		d.c.Assert(reply.Error.Kind, qt.Equals, structs.ErrorNotLeader)
	})
}

// Guards against a stopping controller that goes on asking the leader and is named to routers, which
// it redirects.
func TestStoppingRelayIsListedNoMore(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.regions = map[string]string{"zone-0": "a", "zone-1": "b"}
		d.bootstrapWithRunners()
		pause.For(d.ctx, 2*time.Second)
		current, _ := d.leadership()
		listed := func() int {
			current.mutex.Lock()
			defer current.mutex.Unlock()
			return len(current.relayList().Relays)
		}
		d.c.Assert(listed(), qt.Equals, 2)
		d.nodes[(d.awaitLeader()+1)%3].Stop(d.ctx)
		pause.For(d.ctx, relayExpiry+domainapi.RelayHold)
		d.c.Assert(listed(), qt.Equals, 1)
	})
}

// Guards against a relay that repeats a report without a pause while the leader that answers it is of
// another term than its mirror, as at a change of leaders.
func TestReportToALeaderOfAnotherTermIsRepeatedAfterAPause(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.regions = map[string]string{"zone-0": "a", "zone-1": "b"}
		d.bootstrapWithRunners()
		pause.For(d.ctx, 2*time.Second)
		current, _ := d.leadership()
		views := fleet.NewPublisher()
		views.Publish(fleet.View{Runners: []fleet.Runner{{Instance: "r1"}}})
		view, err := views.EncodedSince(0)
		d.c.Assert(err, qt.IsNil)
		r := d.nodes[(d.awaitLeader()+1)%3].relay
		r.mutex.Lock()
		now := r.node.now()
		other := mirror.New(nil)
		reply := &domainapi.MirrorReply{State: domainapi.WatchReply{Term: uint64(current.term) + 1, Revision: 1, View: &view}}
		err = other.Adopt(now, now, now, &domainapi.MirrorArguments{}, reply)
		other.Observe(now, &domainapi.WatchArguments{Router: "r"}, domainapi.MinHold)
		r.mirror = other
		r.mutex.Unlock()
		d.c.Assert(err, qt.IsNil)
		d.c.Assert(r.report(d.ctx), qt.IsTrue)
	})
}

func TestListOfRelaysHasAVersionOfItsContent(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	r := newRelays()
	leader := domainapi.Relay{Address: "l", Zone: "z"}
	versions := make(map[uint64]bool)
	for i := range 4 {
		versions[r.list(at, leader).Version] = true
		r.observe(at, &domainapi.MirrorArguments{Relay: fmt.Sprint(i), Address: fmt.Sprint("a", i), Zone: "z"}, true)
	}
	c.Assert(versions, qt.HasLen, 4)
	c.Assert(versions[domainapi.NoRelays], qt.IsFalse)
	c.Assert(r.list(at, leader), qt.DeepEquals, r.list(at, leader))
}

// watchAsNew answers the watch of a router that has started and has a list of relays of the given version.
func (d *testDomain) watchAsNew(calls *service, relays uint64) domainapi.WatchReply {
	d.c.Helper()
	var reply domainapi.WatchReply
	watch := &domainapi.WatchArguments{Router: "started", MaxHold: domainapi.MaxHold, Relays: relays}
	d.c.Assert(calls.Watch(watch, &reply), qt.IsNil)
	d.c.Assert(structs.AsError(reply.Error), qt.IsNil)
	return reply
}

// Guards against a leader that sends the full view and the document to each router that starts, while
// the relays have them: its link and processor are busy with a herd of routers for longer than its lease.
func TestRouterThatStartsGetsFirstViewFromARelayThatSparesTheLeader(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.hasNoRelays = true
		d.bootstrapWithRunners()
		current, calls := d.leadership()
		d.c.Assert(d.watchAsNew(calls, domainapi.NoRelays).View, qt.IsNotNil, qt.Commentf("no relay has a view yet"))
		current.addRouters(minRelayedRouters)
		question := &domainapi.MirrorArguments{Relay: "relay", Address: "10.5.5.5:1"}
		d.poll(calls, question)
		question.HoldMS = 1
		d.poll(calls, question)
		current.mutex.Lock()
		current.startedAt = current.startedAt.Add(-takeoverTime)
		current.mutex.Unlock()

		reply := d.watchAsNew(calls, domainapi.NoRelays)
		d.c.Assert(reply.Relays.Relays, qt.HasLen, 1)
		d.c.Assert(reply.Term, qt.Equals, uint64(current.term))
		d.c.Assert(reply.View, qt.IsNil)
		d.c.Assert(reply.Document, qt.IsNil)
		d.c.Assert(reply.Revision, qt.Equals, uint64(0))

		reply = d.watchAsNew(calls, reply.Relays.Version)
		d.c.Assert(reply.View, qt.IsNotNil, qt.Commentf("its relays did not answer it"))
		d.c.Assert(reply.Document, qt.IsNotNil)
	})
}
