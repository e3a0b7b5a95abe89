package daemon

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

func TestCacheEventsOfEnginesInUseReachTheRouter(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1})
		s.applyRows(1)
		request := streamRequest("cached", "r0", 3)
		for len(request.Prompt) < 4*engineapi.BlockBytes {
			request.Prompt += " and more"
		}
		_, err := s.ask(0, request)
		s.Assert(err, qt.IsNil)
		own := s.daemons[0].router
		own.readCaches(s.ctx)
		own.mutex.Lock()
		defer own.mutex.Unlock()
		followed := own.followed["engine-zone-0"]
		s.Assert(followed, qt.Not(qt.IsNil))
		s.Assert(followed.after > 0, qt.IsTrue)
	})
}

func TestCachePagePositionSurvivesGapsAndRestarts(t *testing.T) {
	c := qt.New(t)
	own := &requestRouter{followed: map[structs.RunnerID]*followedEngine{"e": {}}}
	page := engineapi.EventPage{Incarnation: 1, Next: 7, Events: []engineapi.CacheEvent{
		{Sequence: 4, Kind: engineapi.CacheStored, Row: "r", Blocks: []uint64{11, 12}},
		{Sequence: 7, Kind: engineapi.CacheEvicted, Row: "r", Blocks: []uint64{11}},
	}}
	c.Assert(own.takeCachePage("e", page), qt.DeepEquals, []router.Event{
		router.CacheEvent{Runner: "e", Sequence: 4, Row: "r", PrefixHash: 11},
		router.CacheEvent{Runner: "e", Sequence: 4, Row: "r", PrefixHash: 12},
		router.CacheEvent{Runner: "e", Sequence: 7, Row: "r", PrefixHash: 11, Evicted: true},
	})
	c.Assert(own.followed["e"].after, qt.Equals, uint64(7))
	late := engineapi.EventPage{Incarnation: 1, Next: 5}
	c.Assert(own.takeCachePage("e", late), qt.HasLen, 0)
	c.Assert(own.followed["e"].after, qt.Equals, uint64(7))
	c.Assert(own.takeCachePage("e", engineapi.EventPage{Incarnation: 2, Next: 7}), qt.DeepEquals,
		[]router.Event{router.CacheEvent{Runner: "e", Cleared: true}})
	c.Assert(own.followed["e"].after, qt.Equals, uint64(0))
	c.Assert(own.takeCachePage("gone", page), qt.HasLen, 0)
}
