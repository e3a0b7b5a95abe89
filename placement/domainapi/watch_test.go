package domainapi

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// A reply without loads must never reach a router that takes it for "no runner is busy", nor one
// whose loads are of another leader or about to be too old.
func TestRepliesCarryLoadsWhereNeeded(t *testing.T) {
	for _, test := range []struct {
		name      string
		arguments WatchArguments
		held      time.Duration
		want      bool
	}{
		{"previous release", WatchArguments{Term: 3, LoadsAge: time.Millisecond}, 0, true},
		{"router without loads", WatchArguments{Term: 3, TakesPackedLoads: true}, 0, true},
		{"loads of another leader", WatchArguments{Term: 2, TakesPackedLoads: true, LoadsAge: time.Millisecond}, 0, true},
		{"new loads", WatchArguments{Term: 3, TakesPackedLoads: true, LoadsAge: time.Millisecond}, 48 * time.Millisecond, false},
		{"old loads", WatchArguments{Term: 3, TakesPackedLoads: true, LoadsAge: 50 * time.Millisecond}, 0, true},
		{"loads that became old", WatchArguments{Term: 3, TakesPackedLoads: true, LoadsAge: 10 * time.Millisecond}, 40 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.arguments.WantsLoads(3, test.held), qt.Equals, test.want)
		})
	}
}

func TestHashDiffersBetweenListsOfAddresses(t *testing.T) {
	c := qt.New(t)
	seen := make(map[uint64]bool)
	for _, list := range [][]string{nil, {"a:1"}, {"a:1", "b:1"}, {"b:1", "a:1"}, {"a:1b:1"}, {""}} {
		hash := HashAddresses(list)
		c.Assert(seen[hash], qt.IsFalse, qt.Commentf("%v", list))
		c.Assert(hash == 0, qt.Equals, len(list) == 0)
		seen[hash] = true
	}
}

// Watches pass between this release and the previous one, whose messages lack the fields for packed
// loads and for the list of controllers.
func TestWatchesAreCompatibleWithPreviousRelease(t *testing.T) {
	type watchArguments struct {
		Router   string
		Version  uint64
		Term     uint64
		Revision uint64
		Suspects uint64
		MaxHold  time.Duration
	}
	type watchReply struct {
		Term        uint64
		Loads       []fleet.Load
		Routers     int
		Controllers []string
	}
	c := qt.New(t)
	roundTrip := func(from, into any) {
		c.Helper()
		var sent bytes.Buffer
		c.Assert(gob.NewEncoder(&sent).Encode(from), qt.IsNil)
		c.Assert(gob.NewDecoder(&sent).Decode(into), qt.IsNil)
	}
	var arguments WatchArguments
	roundTrip(watchArguments{Router: "r", Version: 1, Term: 3, Revision: 4}, &arguments)
	c.Assert(arguments, qt.Equals, WatchArguments{Router: "r", Version: 1, Term: 3, Revision: 4})
	c.Assert(arguments.WantsLoads(3, 0), qt.IsTrue)
	var previousArguments watchArguments
	arguments.TakesPackedLoads, arguments.LoadsAge, arguments.Controllers = true, time.Second, 7
	roundTrip(arguments, &previousArguments)
	c.Assert(previousArguments, qt.Equals, watchArguments{Router: "r", Version: 1, Term: 3, Revision: 4})

	loads := []fleet.Load{{Instance: "a", Requests: 2, Reading: 0.5}}
	var reply WatchReply
	roundTrip(watchReply{Term: 3, Loads: loads, Controllers: []string{"c:1"}}, &reply)
	c.Assert(reply, qt.DeepEquals, WatchReply{Term: 3, Loads: loads, Controllers: []string{"c:1"}})
	var previousReply watchReply
	roundTrip(WatchReply{Term: 3, Loads: loads, Controllers: []string{"c:1"}}, &previousReply)
	c.Assert(previousReply, qt.DeepEquals, watchReply{Term: 3, Loads: loads, Controllers: []string{"c:1"}})
}
