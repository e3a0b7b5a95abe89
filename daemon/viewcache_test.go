package daemon

import (
	"bytes"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/router"
	"github.com/lotusferry/lotusferry/structs"
)

func TestRestartedRouterServesByItsLastViewWithoutItsZone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1})
		s.applyRows(1)
		_, err := s.ask(0, streamRequest("warm", "r0", 5))
		s.Assert(err, qt.IsNil)
		before := s.daemons[0].router.view.view()
		s.Assert(s.daemons[0].Stop(s.ctx), qt.Equals, 0)
		// From now on no controller of the zone can be reached.
		s.settings[0].Roles = nil
		s.settings[0].Roles = append(s.settings[0].Roles, "router")
		s.start(0)
		s.Assert(s.daemons[0].router.view.view(), qt.DeepEquals, before)
		request := streamRequest("alone", "r0", 5)
		text, err := s.ask(0, request)
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(request))
	})
}

func TestRouterWithoutAViewSaysThatItKnowsNoTableYet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1})
		s.applyRows(1)
		s.Assert(s.daemons[0].Stop(s.ctx), qt.Equals, 0)
		s.Assert(os.Remove(s.daemons[0].router.viewPath), qt.IsNil)
		s.settings[0].Roles = append(s.settings[0].Roles[:0:0], "router")
		s.start(0)
		_, err := s.ask(0, streamRequest("early", "r0", 5))
		refusal := refusalOf(s.C, err)
		s.Assert(refusal.Error.Kind, qt.Equals, structs.ErrorUnavailable)
		s.Assert(refusal.Execution, qt.Equals, structs.ExecutionNotRun)
	})
}

// viewOf is a view with one row at a revision and one replica at an index.
func viewOf(revision, index uint64) structs.ZoneView {
	return structs.ZoneView{
		Index: index,
		Table: structs.TableDelta{Revision: revision, Full: true, Rows: []structs.Row{{Name: "r", Revision: revision}},
			Grants: []structs.Grant{{Row: "r", Zone: "z", Limit: 1, Sequence: revision}}},
		Placement: &structs.Placement{
			Runners:  []structs.RunnerInfo{{ID: "e"}},
			Replicas: []structs.Replica{{Row: "r", Runner: "e"}},
		},
	}
}

func TestViewCacheNeverGoesBackAndTakesChanges(t *testing.T) {
	c := qt.New(t)
	core := router.New(router.Options{Zone: "z"})
	cache := newViewCache(core)
	adopt := func(view structs.ZoneView) {
		cache.adopt(view)
		core.Step(time.Unix(1000, 0), router.ViewChanged{View: view})
	}
	adopt(viewOf(5, 10))
	whole := cache.view()
	c.Assert(whole, qt.DeepEquals, viewOf(5, 10))
	adopt(viewOf(4, 9))
	c.Assert(cache.view(), qt.DeepEquals, whole)
	adopt(structs.ZoneView{Index: 20, SinceIndex: 11, Placement: &structs.Placement{Partial: true},
		Table: structs.TableDelta{SinceRevision: 6, Revision: 7, Deleted: []structs.RowName{"r"}}})
	c.Assert(cache.view(), qt.DeepEquals, whole, qt.Commentf("changes that do not join on"))
	adopt(structs.ZoneView{Index: 11, SinceIndex: 10, Placement: &structs.Placement{Partial: true, Runners: []structs.RunnerInfo{{ID: "e"}}},
		Table: structs.TableDelta{SinceRevision: 5, Revision: 6, Deleted: []structs.RowName{"r"}}})
	got := cache.view()
	c.Assert(got.Index, qt.Equals, uint64(11))
	c.Assert(got.Table.Rows, qt.HasLen, 0)
	c.Assert(got.Table.Grants, qt.HasLen, 0)
	c.Assert(got.Placement.Runners, qt.HasLen, 1)
	c.Assert(got.Placement.Replicas, qt.HasLen, 0)
}

func TestSavedViewIsRefusedWhenDamagedOrOfAnotherZone(t *testing.T) {
	c := qt.New(t)
	file, err := encodeView(savedView{Zone: "z", View: viewOf(5, 10)})
	c.Assert(err, qt.IsNil)
	view, err := decodeView(file, "z")
	c.Assert(err, qt.IsNil)
	c.Assert(view, qt.DeepEquals, viewOf(5, 10))
	_, err = decodeView(file, "y")
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	for _, damaged := range [][]byte{nil, file[:len(file)-1], bytes.Replace(file, []byte(`"r"`), []byte(`"s"`), 1)} {
		_, err := decodeView(damaged, "z")
		c.Check(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	}
}

func TestControllerAnswersARouterOnlyWithNews(t *testing.T) {
	placement := &structs.Placement{}
	for _, test := range []struct {
		about     string
		view      structs.ZoneView
		arguments ViewArguments
		want      bool
	}{
		{"nothing is applied yet", structs.ZoneView{Placement: placement}, ViewArguments{}, false},
		{"the first entry", structs.ZoneView{Index: 1, Placement: placement}, ViewArguments{}, true},
		{"runners changed", structs.ZoneView{Index: 8, Placement: placement}, ViewArguments{SinceIndex: 7}, true},
		{"other entries", structs.ZoneView{Index: 8}, ViewArguments{SinceIndex: 7}, false},
		{"the table changed", structs.ZoneView{Index: 8, Table: structs.TableDelta{Revision: 3}}, ViewArguments{SinceIndex: 7, SinceTable: 2}, true},
		{"the router has a newer table", structs.ZoneView{Index: 8, Table: structs.TableDelta{Revision: 3}}, ViewArguments{SinceIndex: 8, SinceTable: 4}, false},
	} {
		qt.Check(t, isNews(test.view, test.arguments), qt.Equals, test.want, qt.Commentf(test.about))
	}
}
