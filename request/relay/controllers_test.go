package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/structs"
)

var relayTestRegions = map[structs.ZoneID]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}

func TestRouterPrefersItsZoneThenItsRegionThenTheLeader(t *testing.T) {
	relays := []domainapi.Relay{{Address: "1", Zone: "a1"}, {Address: "2", Zone: "a2"}, {Address: "4", Zone: "b1"}}
	leader := domainapi.Relay{Address: "5", Zone: "b2"}
	for name, test := range map[string]struct {
		zone   structs.ZoneID
		leader domainapi.Relay
		failed []string
		want   string
		near   nearness
	}{
		"a relay in its zone":                 {zone: "a1", leader: leader, want: "1", near: nearZone},
		"a failed relay in its zone":          {zone: "a1", leader: leader, failed: []string{"1"}, want: "2", near: nearRegion},
		"no relay left in its region":         {zone: "a1", leader: leader, failed: []string{"1", "2"}, near: nearLeader},
		"the leader in its zone":              {zone: "b2", leader: leader, near: nearLeader},
		"a relay in the leader's region":      {zone: "b1", leader: leader, want: "4", near: nearZone},
		"the leader in another of its zones":  {zone: "a1", leader: domainapi.Relay{Address: "3", Zone: "a3"}, want: "1", near: nearZone},
		"a zone that the settings don't know": {zone: "c1", leader: leader, near: nearLeader},
		"no zone":                             {leader: domainapi.Relay{Address: "5"}, near: nearLeader},
	} {
		t.Run(name, func(t *testing.T) {
			choice := newControllerChoice("router", test.zone, relayTestRegions)
			choice.adopt(&domainapi.RelayList{Version: 7, Leader: test.leader, Relays: relays}, true)
			at := time.Unix(1000, 0)
			for _, address := range test.failed {
				choice.fail(at, address)
			}
			address, near := choice.next(at)
			qt.Assert(t, address, qt.Equals, test.want)
			qt.Assert(t, near, qt.Equals, test.near)
		})
	}
}

func TestFailedRelayIsLeftAloneForAWhile(t *testing.T) {
	c := qt.New(t)
	choice := newControllerChoice("router", "a1", relayTestRegions)
	choice.adopt(&domainapi.RelayList{Version: 7, Relays: []domainapi.Relay{{Address: "1", Zone: "a1"}}}, true)
	at := time.Unix(1000, 0)
	choice.fail(at, "1")
	for _, test := range []struct {
		after time.Duration
		want  string
	}{{0, ""}, {failedRelayPause - 1, ""}, {failedRelayPause, "1"}} {
		address, _ := choice.next(at.Add(test.after))
		c.Assert(address, qt.Equals, test.want, qt.Commentf("after %v", test.after))
	}
}

// Guards against routers that stay with the leader for long after their relay has redirected them,
// although the relay is up: they all do so at once when the leader is slow.
func TestRelayThatRedirectsIsAskedAgainSoon(t *testing.T) {
	c := qt.New(t)
	choice := newControllerChoice("router", "a1", relayTestRegions)
	choice.adopt(&domainapi.RelayList{Version: 7, Relays: []domainapi.Relay{{Address: "1", Zone: "a1"}}}, true)
	at := time.Unix(1000, 0)
	assertPause := func(pause time.Duration) {
		c.Helper()
		address, _ := choice.next(at.Add(pause - 1))
		c.Assert(address, qt.Equals, "", qt.Commentf("%v", pause))
		at = at.Add(pause)
		address, _ = choice.next(at)
		c.Assert(address, qt.Equals, "1", qt.Commentf("%v", pause))
	}
	for _, pause := range []time.Duration{redirectPause, 2 * redirectPause, 4 * redirectPause, 8 * redirectPause, failedRelayPause, failedRelayPause} {
		choice.redirect(at, "1")
		assertPause(pause)
	}
	choice.succeed("1")
	choice.redirect(at, "1")
	assertPause(redirectPause)
	choice.fail(at, "1")
	assertPause(failedRelayPause)
}

// Guards against a leader that is slow for a moment and stays so, since all routers watch it for seconds
// afterwards.
func TestLeaderThatWasSlowIsLeftSoon(t *testing.T) {
	const (
		routers     = 300
		hold        = domainapi.MinHold
		slowFor     = 1500 * time.Millisecond
		observed    = 10 * time.Second
		mostWatches = 3
	)
	watches := 0
	for router := range routers {
		choice := newControllerChoice(fmt.Sprint("router-", router), "a1", relayTestRegions)
		choice.adopt(&domainapi.RelayList{Version: 7, Relays: []domainapi.Relay{{Address: "1", Zone: "a1"}, {Address: "2", Zone: "a2"}}}, true)
		began := time.Unix(1000, 0)
		for at := began; at.Before(began.Add(observed)); {
			address, _ := choice.next(at)
			switch {
			case address == "":
				watches++
				at = at.Add(hold)
			case at.Before(began.Add(slowFor)):
				choice.redirect(at, address)
			default:
				choice.succeed(address)
				at = at.Add(hold)
			}
		}
	}
	t.Log("watches of a router at the leader", float64(watches)/routers)
	qt.Assert(t, watches <= mostWatches*routers, qt.IsTrue, qt.Commentf("%d watches of %d routers", watches, routers))
}

func TestRoutersAreSpreadOverRelays(t *testing.T) {
	c := qt.New(t)
	counts := make(map[string]int)
	for i := range 300 {
		choice := newControllerChoice(fmt.Sprint("router-", i), "a1", relayTestRegions)
		choice.adopt(&domainapi.RelayList{Version: 7, Relays: []domainapi.Relay{
			{Address: "10.0.0.1:7000", Zone: "a2"}, {Address: "10.0.0.2:7000", Zone: "a2"}, {Address: "10.0.0.3:7000", Zone: "a3"},
		}}, true)
		address, _ := choice.next(time.Unix(1000, 0))
		counts[address]++
	}
	c.Assert(counts, qt.HasLen, 3)
	for address, count := range counts {
		c.Assert(count > 60, qt.IsTrue, qt.Commentf("%s: %d", address, count))
	}
}

// Where the settings name no regions, routers must not even say that they know relays.
func TestRouterWithoutRegionUsesNoRelays(t *testing.T) {
	choice := newControllerChoice("router", "a1", nil)
	qt.Assert(t, choice.version(), qt.Equals, uint64(0))
	choice.adopt(&domainapi.RelayList{Version: 7, Relays: []domainapi.Relay{{Address: "1", Zone: "a1"}}, SparesLeader: true}, true)
	address, _ := choice.next(time.Unix(1000, 0))
	qt.Assert(t, address, qt.Equals, "")
	qt.Assert(t, choice.version(), qt.Equals, uint64(0))
}

// Where there is one region, routers use relays only if the leader names some.
func TestRouterOfOneRegionUsesTheRelaysThatTheLeaderNames(t *testing.T) {
	choice := newControllerChoice("router", "a1", map[structs.ZoneID]string{"a1": "a", "a2": "a"})
	leader := domainapi.Relay{Address: "9", Zone: "a2"}
	for _, test := range []struct {
		list domainapi.RelayList
		want string
	}{
		{domainapi.RelayList{Version: 7, Leader: leader}, ""},
		{domainapi.RelayList{Version: 8, Leader: leader, Relays: []domainapi.Relay{{Address: "1", Zone: "a1"}}, SparesLeader: true}, "1"},
		{domainapi.RelayList{Version: 7, Leader: leader}, ""},
	} {
		choice.adopt(&test.list, false)
		address, _ := choice.next(time.Unix(1000, 0))
		qt.Assert(t, address, qt.Equals, test.want)
		qt.Assert(t, choice.version(), qt.Equals, test.list.Version)
	}
}

// Guards against a leader that answers all routers of its own zone, a fifth of them, though other
// controllers there could.
func TestLeaderInTheZoneIsSparedIfItSaysSo(t *testing.T) {
	leader := domainapi.Relay{Address: "9", Zone: "a1"}
	for name, test := range map[string]struct {
		relay domainapi.Relay
		near  nearness
	}{
		"a relay in the zone":   {domainapi.Relay{Address: "1", Zone: "a1"}, nearZone},
		"a relay in the region": {domainapi.Relay{Address: "1", Zone: "a2"}, nearRegion},
	} {
		t.Run(name, func(t *testing.T) {
			choice := newControllerChoice("router", "a1", relayTestRegions)
			choice.adopt(&domainapi.RelayList{Version: 7, Leader: leader, Relays: []domainapi.Relay{test.relay}, SparesLeader: true}, true)
			address, near := choice.next(time.Unix(1000, 0))
			qt.Assert(t, address, qt.Equals, "1")
			qt.Assert(t, near, qt.Equals, test.near)
		})
	}
}

// Guards against a thousand routers that each ask all controllers, one after the other, when no relay
// has a current state.
func TestRouterOfLargeSiteAsksFewRelaysBeforeTheLeader(t *testing.T) {
	c := qt.New(t)
	var relays []domainapi.Relay
	for i := range 24 {
		relays = append(relays, domainapi.Relay{Address: fmt.Sprint(i), Zone: "a1"})
	}
	choice := newControllerChoice("router", "a1", relayTestRegions)
	choice.adopt(&domainapi.RelayList{Version: 7, Relays: relays, SparesLeader: true}, true)
	at, asked := time.Unix(1000, 0), 0
	for address, _ := choice.next(at); address != ""; address, _ = choice.next(at) {
		choice.redirect(at, address)
		asked++
	}
	c.Assert(asked, qt.Equals, maxRelayChoices)
	address, _ := choice.next(at.Add(redirectPause))
	c.Assert(address, qt.Not(qt.Equals), "")
}

func TestListOfRelaysBelongsToATerm(t *testing.T) {
	c := qt.New(t)
	choice := newControllerChoice("router", "a1", relayTestRegions)
	c.Assert(choice.version(), qt.Equals, uint64(domainapi.NoRelays))
	choice.adopt(&domainapi.RelayList{Version: 7, Relays: []domainapi.Relay{{Address: "1", Zone: "a1"}}}, true)
	choice.adopt(nil, false)
	c.Assert(choice.version(), qt.Equals, uint64(7), qt.Commentf("unchanged"))
	choice.adopt(nil, true)
	c.Assert(choice.version(), qt.Equals, uint64(domainapi.NoRelays), qt.Commentf("a leader of a previous release names no relays"))
}
