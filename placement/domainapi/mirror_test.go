package domainapi

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// previousWatch has the fields of watches known to the release without relays.
type previousWatch struct {
	Router                  string
	Version, Term, Revision uint64
	Suspects                uint64
	MaxHold                 time.Duration
}

// previousWatched has a subset of the fields of replies known to that release.
type previousWatched struct {
	Term, Revision, Confirmed uint64
	Routers                   int
}

func convert(c *qt.C, from, into any) {
	c.Helper()
	var sent bytes.Buffer
	c.Assert(gob.NewEncoder(&sent).Encode(from), qt.IsNil)
	c.Assert(gob.NewDecoder(&sent).Decode(into), qt.IsNil)
}

// Guards against a router of the previous release that is answered by a relay, and against one of
// this release that takes a previous leader's answer for a list of no relays.
func TestWatchesWithoutRelaysDecode(t *testing.T) {
	c := qt.New(t)
	var arguments WatchArguments
	convert(c, previousWatch{Router: "r", Version: 5, Term: 7, Revision: 9, MaxHold: time.Second}, &arguments)
	c.Assert(arguments, qt.Equals, WatchArguments{Router: "r", Version: 5, Term: 7, Revision: 9, MaxHold: time.Second})
	var reply WatchReply
	convert(c, previousWatched{Term: 7, Revision: 9, Confirmed: 5, Routers: 2}, &reply)
	c.Assert(reply, qt.DeepEquals, WatchReply{Term: 7, Revision: 9, Confirmed: 5, Routers: 2})
}

func TestPreviousReleaseSkipsRelays(t *testing.T) {
	c := qt.New(t)
	var arguments previousWatch
	convert(c, WatchArguments{Router: "r", Term: 7, AllowsRelay: true, Relays: 12}, &arguments)
	c.Assert(arguments, qt.Equals, previousWatch{Router: "r", Term: 7})
	var reply previousWatched
	convert(c, WatchReply{Term: 7, Age: 1, ConfirmedBefore: 1, Relays: &RelayList{Version: 3, Relays: []Relay{{"a", "z"}}}}, &reply)
	c.Assert(reply, qt.Equals, previousWatched{Term: 7})
}

// Where the settings name one region or none, the fields stay zero, which gob does not send.
func TestWatchesWithoutRelaysHaveTheirFormerValues(t *testing.T) {
	c := qt.New(t)
	size := func(value any) int {
		var sent bytes.Buffer
		encoder := gob.NewEncoder(&sent)
		c.Assert(encoder.Encode(value), qt.IsNil)
		described := sent.Len()
		c.Assert(encoder.Encode(value), qt.IsNil)
		return sent.Len() - described
	}
	c.Assert(size(WatchArguments{Router: "r", Term: 7, Revision: 300, MaxHold: time.Second}), qt.Equals,
		size(previousWatch{Router: "r", Term: 7, Revision: 300, MaxHold: time.Second}))
	c.Assert(size(WatchReply{Term: 7, Revision: 300, Confirmed: 5, Routers: 2}) < size(WatchReply{Term: 7, Revision: 300, Confirmed: 5, Routers: 2, Age: 1}), qt.IsTrue)
}
