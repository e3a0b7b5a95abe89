package relay

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
)

func TestRoutersWatchTheControllerOfTheirZone(t *testing.T) {
	t.Parallel()
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

// Guards against a relay that acknowledges a departure for routers that do not have it yet.
func TestDepartureIsAcknowledgedOnceRelayedRoutersKnowIt(t *testing.T) {
	t.Parallel()
	inRegions(t, true, 3, func(s *regionalSite) {
		for index := range 8 {
			instance := runnerInstance(index)
			began := time.Now()
			s.depart(instance)
			took := time.Since(began)
			s.c.Assert(s.allTake(instance, false), qt.IsTrue, qt.Commentf("departure %d", index))
			s.c.Assert(took < 300*time.Millisecond, qt.IsTrue, qt.Commentf("departure %d: %v", index, took))
			pause.For(s.ctx, 73*time.Millisecond)
		}
	})
}

// A departure waits for a relayed router that does not answer as long as for one that watches the
// leader, and no longer than until its contact expires.
func TestDepartureWaitsForSilentRouter(t *testing.T) {
	t.Parallel()
	took := make(map[bool]time.Duration)
	for _, hasRelays := range []bool{false, true} {
		t.Run(fmt.Sprint("relays ", hasRelays), func(t *testing.T) {
			inRegions(t, hasRelays, 2, func(s *regionalSite) {
				zone := s.relayIn("b")
				s.network.isolate(routerIP(zone, 0), true)
				began := time.Now()
				s.depart(runnerInstance(0))
				took[hasRelays] = time.Since(began)
				pause.For(s.ctx, domainapi.MaxHold+domainapi.ContactMargin)
				began = time.Now()
				s.depart(runnerInstance(1))
				s.c.Assert(time.Since(began) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				s.network.isolate(routerIP(zone, 0), false)
				s.await("the departures", func() bool { return s.allTake(runnerInstance(0), false) && s.allTake(runnerInstance(1), false) })
				s.awaitSettled()
			})
		})
	}
	t.Log("time until a departure was acknowledged beside a silent router", took)
	qt.Assert(t, took[true] > 590*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
	// Controllers repeat the call after 0.4 s, so the times differ by up to one call.
	qt.Assert(t, took[true] < took[false]+400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
}

// frozenSilence bounds the time without an answer when a relay stops answering: the timeout of a
// watch, the hold time of the next one, and the round trips.
const frozenSilence = domainapi.MinHold + watchMargin + domainapi.MinHold + 150*time.Millisecond

func TestFailureOfARelayCostsOneCall(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		fail func(s *regionalSite, relay int)
		heal func(s *regionalSite, relay int)
		most time.Duration
	}{
		"lost": {
			fail: func(s *regionalSite, relay int) { s.kill(relay) },
			heal: func(s *regionalSite, relay int) { s.startController(relay, false) },
			most: 2*domainapi.MinHold + 150*time.Millisecond,
		},
		"frozen": {
			fail: func(s *regionalSite, relay int) { s.network.isolate(controllerIP(relay), true) },
			heal: func(s *regionalSite, relay int) { s.network.isolate(controllerIP(relay), false) },
			most: frozenSilence,
		},
		"cut off from the leader": {
			fail: func(s *regionalSite, relay int) {
				for other := range regionalZones {
					s.network.cut(controllerIP(relay), controllerIP(other), other != relay)
				}
			},
			heal: func(s *regionalSite, relay int) {
				for other := range regionalZones {
					s.network.cut(controllerIP(relay), controllerIP(other), false)
				}
			},
			most: frozenSilence,
		},
		"stopping": {
			fail: func(s *regionalSite, relay int) { s.controllers[relay].Stop(s.ctx) },
			heal: func(s *regionalSite, relay int) { s.kill(relay); s.startController(relay, false) },
			most: 2*domainapi.MinHold + 150*time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			inRegions(t, true, 2, func(s *regionalSite) {
				relay, leader := s.relayIn("b"), s.leader()
				zone := regionalZones[relay]
				measured := s.watchSilence()
				test.fail(s, relay)
				began := time.Now()
				s.await("another controller", func() bool {
					for _, router := range s.routers {
						if router.follows() == regionalAddress(relay) {
							return false
						}
					}
					return true
				})
				s.c.Assert(time.Since(began) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				s.c.Assert(s.allTake(runnerInstance(2), true), qt.IsTrue, qt.Commentf("the failure costs no view"))
				s.depart(runnerInstance(3))
				s.c.Assert(s.allTake(runnerInstance(3), false), qt.IsTrue)
				pause.For(s.ctx, 2*time.Second)
				longest := measured.max(zone)
				s.c.Assert(longest < test.most, qt.IsTrue, qt.Commentf("%v", longest))
				s.c.Assert(s.leader(), qt.Equals, leader)
				test.heal(s, relay)
				s.awaitSettled()
			})
		})
	}
}

// Guards against routers that stay with a relay of a deposed leader.
func TestRelayOfFormerLeaderIsLeft(t *testing.T) {
	t.Parallel()
	inRegions(t, true, 2, func(s *regionalSite) {
		former := s.leader()
		relay := s.relayIn("b")
		for other := range regionalZones {
			if other != former && other != relay {
				s.network.cut(controllerIP(former), controllerIP(other), true)
				s.network.cut(controllerIP(relay), controllerIP(other), true)
			}
		}
		measured := s.watchSilence()
		s.await("the next leader", func() bool {
			for index, controller := range s.controllers {
				if index != former && controller.Leads() {
					return true
				}
			}
			return false
		})
		s.await("the new term at all routers", func() bool {
			for _, router := range s.routers {
				if router.follows() == regionalAddress(relay) || router.follows() == regionalAddress(former) {
					return false
				}
			}
			return true
		})
		pause.For(s.ctx, 3*time.Second)
		longest := measured.max(regionalZones[relay])
		s.c.Assert(longest < 3*time.Second, qt.IsTrue, qt.Commentf("%v", longest))
		for other := range regionalZones {
			s.network.cut(controllerIP(former), controllerIP(other), false)
			s.network.cut(controllerIP(relay), controllerIP(other), false)
		}
		s.awaitSettled()
		s.depart(runnerInstance(1))
		s.c.Assert(s.allTake(runnerInstance(1), false), qt.IsTrue)
	})
}

func TestRelaysFollowTheNextLeader(t *testing.T) {
	t.Parallel()
	longest := make(map[bool]time.Duration)
	for _, hasRelays := range []bool{false, true} {
		t.Run(fmt.Sprint("relays ", hasRelays), func(t *testing.T) {
			inRegions(t, hasRelays, 2, func(s *regionalSite) {
				former := s.leader()
				measured := s.watchSilence()
				s.kill(former)
				s.await("the next leader", func() bool { return s.leader() >= 0 })
				pause.For(s.ctx, 3*time.Second)
				longest[hasRelays] = measured.max("")
				s.c.Assert(s.allTake(runnerInstance(1), true), qt.IsTrue)
				s.startController(former, false)
				s.awaitSettled()
				s.depart(runnerInstance(1))
				s.c.Assert(s.allTake(runnerInstance(1), false), qt.IsTrue)
			})
		})
	}
	t.Log("longest silence at a change of the leader", longest)
	qt.Assert(t, longest[true] < longest[false]+500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", longest))
}

// A relay that misses the leader's answers for less than the time for which it is current passes
// on what it has; the departure waits for its routers.
func TestRelayBehindDoesNotAcknowledge(t *testing.T) {
	t.Parallel()
	inRegions(t, true, 2, func(s *regionalSite) {
		relay, leader := s.relayIn("b"), s.leader()
		s.network.cut(controllerIP(relay), controllerIP(leader), true)
		began := time.Now()
		acknowledged := make(chan time.Duration, 1)
		go func() {
			s.depart(runnerInstance(0))
			acknowledged <- time.Since(began)
		}()
		pause.For(s.ctx, 200*time.Millisecond)
		s.c.Assert(acknowledged, qt.HasLen, 0)
		s.network.cut(controllerIP(relay), controllerIP(leader), false)
		took := <-acknowledged
		s.c.Assert(took < 350*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		s.c.Assert(s.allTake(runnerInstance(0), false), qt.IsTrue)
	})
}

// Guards against a router that starts beside a relay that is behind, and gets a view from before
// an acknowledged departure.
func TestNewRouterDoesNotGetAcknowledgedDeparture(t *testing.T) {
	t.Parallel()
	inRegions(t, true, 1, func(s *regionalSite) {
		relay, leader := s.relayIn("b"), s.leader()
		s.routers[relay].end()
		pause.For(s.ctx, domainapi.MaxHold+domainapi.ContactMargin)
		s.network.cut(controllerIP(relay), controllerIP(leader), true)
		s.depart(runnerInstance(0))
		// The new router asks the relay, which still has the runner, first.
		started := s.newRouter(relay, 1)
		s.routers[relay] = started
		for began := time.Now(); time.Since(began) < 3*time.Second; pause.For(s.ctx, time.Millisecond) {
			s.c.Assert(started.takes(runnerInstance(0)), qt.IsFalse)
		}
		s.c.Assert(started.takes(runnerInstance(1)), qt.IsTrue)
		s.network.cut(controllerIP(relay), controllerIP(leader), false)
		s.awaitSettled()
	})
}

// Guards against relays that delay changes by more than the further hop. At the announcement the
// question of a router or relay in the other region may be under way, and the answer goes back; the
// answers to the routers are spaced. With relays, the same holds once more within the region.
func TestLastRouterKnowsAsSoonAsWithoutRelays(t *testing.T) {
	t.Parallel()
	const departures, routersPerZone = 8, 3
	spacing := time.Duration(routersPerZone*len(regionalZones)) * 250 * time.Microsecond
	const sampling = time.Millisecond
	for hasRelays, most := range map[bool]time.Duration{
		false: 2*regionLatency + spacing + sampling,
		true:  2*regionLatency + spacing + sampling + 2*zoneLatency,
	} {
		t.Run(fmt.Sprint("relays ", hasRelays), func(t *testing.T) {
			inRegions(t, hasRelays, routersPerZone, func(s *regionalSite) {
				var longest time.Duration
				for index := range departures {
					longest = max(longest, s.spreadOfDeparture(runnerInstance(index)))
					pause.For(s.ctx, 137*time.Millisecond)
				}
				t.Log("longest time from the first to the last router that knows a departure, relays", hasRelays, longest)
				s.c.Assert(longest <= most, qt.IsTrue, qt.Commentf("%v, at most %v", longest, most))
			})
		})
	}
}

// Guards against watches that cross the region border once a router. The rest of the traffic between
// controllers, mostly of raft, is the same with relays and without.
func TestWatchesCrossTheRegionBorderOnceARelay(t *testing.T) {
	t.Parallel()
	ofRouters, ofControllers := make(map[bool]int), make(map[bool]int)
	for _, hasRelays := range []bool{false, true} {
		t.Run(fmt.Sprint("relays ", hasRelays), func(t *testing.T) {
			inRegions(t, hasRelays, 14, func(s *regionalSite) {
				routersBefore, controllersBefore := s.network.bytesBeyond()
				for index := range 16 {
					s.addRunner(fmt.Sprint("late-", index))
					pause.For(s.ctx, 500*time.Millisecond)
				}
				routers, controllers := s.network.bytesBeyond()
				ofRouters[hasRelays], ofControllers[hasRelays] = routers-routersBefore, controllers-controllersBefore
			})
		})
	}
	t.Log("bytes between regions in 8 s with 84 routers, of routers", ofRouters, "and of controllers", ofControllers)
	qt.Assert(t, ofRouters[true], qt.Equals, 0)
	qt.Assert(t, 5*(ofControllers[true]-ofControllers[false]) <= ofRouters[false], qt.IsTrue)
}

// Guards against routers that answer by a former document for as long as the leader does not answer
// their relays: the relays have the next one, as it is replicated to them.
func TestDocumentReachesRoutersWithoutAnswersOfTheLeader(t *testing.T) {
	t.Parallel()
	inRegions(t, true, 2, func(s *regionalSite) {
		leader := s.leader()
		// Two relays, so that the leader keeps a quorum. Their routers reach no other controller.
		muted := s.relaysBeyond(leader)[:2]
		var waiting []*regionalRouter
		for _, relay := range muted {
			s.network.mute(controllerIP(relay), controllerIP(leader), true)
			for i := range 2 {
				for other := range regionalZones {
					s.network.cut(routerIP(relay, i), controllerIP(other), !slices.Contains(muted, other))
				}
				waiting = append(waiting, s.routers[2*relay+i])
			}
		}
		pause.For(s.ctx, 3*time.Second)
		s.c.Assert(s.leader(), qt.Equals, leader)
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		defer cancel()
		s.c.Assert(s.leading().PutDocument(ctx, regionalDocument(2)), qt.IsNil)
		pause.For(s.ctx, documentWithin)
		for _, router := range waiting {
			s.c.Assert(router.version(), qt.Equals, uint64(2), qt.Commentf(router.options.Name))
		}
		s.network.set(func() {
			clear(s.network.muted)
			clear(s.network.cuts)
		})
		s.awaitSettled()
	})
}

// documentWithin bounds the time until a router has a document that its relay has and that the leader
// does not answer for: the users allow 3 s.
const documentWithin = 3 * time.Second

// A controller without relays, as one of a previous release, beside those with them: its routers
// ask the leader, and nothing else changes.
func TestControllersWithoutRelaysBesideOthers(t *testing.T) {
	t.Parallel()
	inRegions(t, true, 2, func(s *regionalSite) {
		s.hasRelays = false
		relay := s.relayIn("b")
		s.kill(relay)
		s.startController(relay, false)
		pause.For(s.ctx, 8*time.Second)
		for _, router := range s.routers {
			s.c.Assert(router.follows(), qt.Not(qt.Equals), regionalAddress(relay))
		}
		s.depart(runnerInstance(0))
		s.c.Assert(s.allTake(runnerInstance(0), false), qt.IsTrue)
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		defer cancel()
		s.c.Assert(s.leading().PutDocument(ctx, regionalDocument(2)), qt.IsNil)
		s.await("the document", func() bool {
			for _, router := range s.routers {
				if router.version() != 2 {
					return false
				}
			}
			return true
		})
	})
}
