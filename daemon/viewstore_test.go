package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

func TestRestartedRouterServesByItsLastViewWithoutItsZone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1})
		s.applyRows(1)
		_, err := s.ask(0, streamRequest("warm", "r0", 5))
		s.Assert(err, qt.IsNil)
		before := s.daemons[0].router.view.View()
		s.Assert(s.daemons[0].Stop(s.ctx), qt.Equals, 0)
		// The daemon no longer runs a controller, and the zone has no other.
		s.settings[0].Roles = nil
		s.settings[0].Roles = append(s.settings[0].Roles, "router")
		s.start(0)
		s.Assert(s.daemons[0].router.view.View(), qt.DeepEquals, before)
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
		s.Assert(os.Remove(s.daemons[0].router.viewStore.basePath), qt.IsNil)
		s.settings[0].Roles = append(s.settings[0].Roles[:0:0], "router")
		s.start(0)
		_, err := s.ask(0, streamRequest("early", "r0", 5))
		refusal := refusalOf(s.C, err)
		s.Assert(refusal.Error.Kind, qt.Equals, structs.ErrorUnavailable)
		s.Assert(refusal.Execution, qt.Equals, structs.ExecutionNotRun)
	})
}

// viewOf returns a view with one row at a revision and one replica at an index.
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

func TestViewCopyIgnoresOlderViewsAndAppliesChanges(t *testing.T) {
	c := qt.New(t)
	core := router.New(router.Options{Zone: "z"})
	cache := router.NewViewCopy(core)
	adopt := func(view structs.ZoneView) {
		cache.Adopt(view)
		core.Step(time.Unix(1000, 0), router.ViewChanged{View: view})
	}
	adopt(viewOf(5, 10))
	whole := cache.View()
	c.Assert(whole, qt.DeepEquals, viewOf(5, 10))
	adopt(viewOf(4, 9))
	c.Assert(cache.View(), qt.DeepEquals, whole)
	adopt(structs.ZoneView{Index: 20, SinceIndex: 11, Placement: &structs.Placement{Partial: true},
		Table: structs.TableDelta{SinceRevision: 6, Revision: 7, Deleted: []structs.RowName{"r"}}})
	c.Assert(cache.View(), qt.DeepEquals, whole, qt.Commentf("changes that do not join on"))
	adopt(structs.ZoneView{Index: 11, SinceIndex: 10, Placement: &structs.Placement{Partial: true, Runners: []structs.RunnerInfo{{ID: "e"}}},
		Table: structs.TableDelta{SinceRevision: 5, Revision: 6, Deleted: []structs.RowName{"r"}}})
	got := cache.View()
	c.Assert(got.Index, qt.Equals, uint64(11))
	c.Assert(got.Table.Rows, qt.HasLen, 0)
	c.Assert(got.Table.Grants, qt.HasLen, 0)
	c.Assert(got.Placement.Runners, qt.HasLen, 1)
	c.Assert(got.Placement.Replicas, qt.HasLen, 0)
}

func TestDecodeViewRejectsDamageAndOtherZones(t *testing.T) {
	c := qt.New(t)
	file, err := encodeView(savedView{Zone: "z", View: viewOf(5, 10)})
	c.Assert(err, qt.IsNil)
	view, rest, err := decodeView(file, "z")
	c.Assert(err, qt.IsNil)
	c.Assert(rest, qt.HasLen, 0)
	c.Assert(view, qt.DeepEquals, viewOf(5, 10))
	_, _, err = decodeView(file, "y")
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	for _, damaged := range [][]byte{nil, file[:len(file)-1], bytes.Replace(file, []byte(`"r"`), []byte(`"s"`), 1)} {
		_, _, err := decodeView(damaged, "z")
		c.Check(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	}
}

// changeOf returns the change to a revision and an index from the preceding ones.
func changeOf(revision, index uint64) structs.ZoneView {
	return structs.ZoneView{
		Index: index, SinceIndex: index - 1,
		Table: structs.TableDelta{SinceRevision: revision - 1, Revision: revision, Rows: []structs.Row{{Name: "r", Revision: revision}}},
	}
}

func newTestStore(c *qt.C, folder string, zone structs.ZoneID) *viewStore {
	store := &viewStore{zone: zone, basePath: filepath.Join(folder, viewBaseFile), changesPath: filepath.Join(folder, viewChangesFile)}
	c.Cleanup(store.close)
	return store
}

// revisions loads the saved views and returns their table revisions.
func (s *viewStore) revisions() ([]uint64, error) {
	views, err := s.load()
	var revisions []uint64
	for _, view := range views {
		revisions = append(revisions, view.Table.Revision)
	}
	return revisions, err
}

func TestViewStoreRecoversFromTornChanges(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	store := newTestStore(c, folder, "z")
	revisions, err := store.revisions()
	c.Assert(err, qt.IsNil)
	c.Assert(revisions, qt.HasLen, 0)
	c.Assert(store.isDue(), qt.IsTrue)
	c.Assert(store.replace(viewOf(5, 10)), qt.IsNil)
	c.Assert(store.append(changeOf(6, 11), true), qt.IsNil)
	whole, err := os.ReadFile(store.changesPath)
	c.Assert(err, qt.IsNil)
	c.Assert(store.append(changeOf(7, 12), true), qt.IsNil)
	file, err := os.ReadFile(store.changesPath)
	c.Assert(err, qt.IsNil)
	revisions, err = store.revisions()
	c.Assert(err, qt.IsNil)
	c.Assert(revisions, qt.DeepEquals, []uint64{5, 6, 7})
	for length := range file {
		c.Assert(os.WriteFile(store.changesPath, file[:length], 0o600), qt.IsNil)
		wanted := []uint64{5}
		if length >= len(whole) {
			wanted = append(wanted, 6)
		}
		revisions, err = store.revisions()
		c.Assert(revisions, qt.DeepEquals, wanted, qt.Commentf("torn at %d", length))
		c.Assert(err == nil, qt.Equals, length == 0 || length == len(whole), qt.Commentf("torn at %d", length))
	}
}

func TestViewStoreRejectsDamageAndOtherZones(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	store := newTestStore(c, folder, "z")
	c.Assert(store.replace(viewOf(5, 10)), qt.IsNil)
	c.Assert(store.append(changeOf(6, 11), true), qt.IsNil)
	other := newTestStore(c, folder, "y")
	revisions, err := other.revisions()
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	c.Assert(revisions, qt.HasLen, 0)
	c.Assert(os.Truncate(store.basePath, 40), qt.IsNil)
	revisions, err = store.revisions()
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	c.Assert(revisions, qt.HasLen, 0)
	c.Assert(os.Remove(store.basePath), qt.IsNil)
	revisions, err = store.revisions()
	c.Assert(err, qt.IsNil)
	c.Assert(revisions, qt.HasLen, 0, qt.Commentf("changes without the view that they follow"))
}

func TestViewStoreIgnoresChangesOlderThanView(t *testing.T) {
	c := qt.New(t)
	store := newTestStore(c, c.TempDir(), "z")
	c.Assert(store.replace(viewOf(5, 10)), qt.IsNil)
	c.Assert(store.append(changeOf(6, 11), true), qt.IsNil)
	left, err := os.ReadFile(store.changesPath)
	c.Assert(err, qt.IsNil)
	c.Assert(store.replace(viewOf(8, 20)), qt.IsNil)
	c.Assert(os.WriteFile(store.changesPath, left, 0o600), qt.IsNil)
	views, err := store.load()
	c.Assert(err, qt.IsNil)
	core := router.New(router.Options{Zone: "z"})
	kept := router.NewViewCopy(core)
	for _, view := range views {
		kept.Adopt(view)
		core.Step(time.Unix(1000, 0), router.ViewChanged{View: view})
	}
	c.Assert(kept.View(), qt.DeepEquals, viewOf(8, 20))
}

func TestKilledRouterStartsAtTheRevisionItWorkedBy(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1})
		s.applyRows(2)
		_, err := s.ask(0, streamRequest("warm", "r0", 5))
		s.Assert(err, qt.IsNil)
		worked := s.daemons[0].router
		worked.mutex.Lock()
		revision := worked.core.TableRevision()
		worked.mutex.Unlock()
		// Copies the files as a killed process leaves them, with a torn end.
		folder := s.C.TempDir()
		for _, name := range []string{viewBaseFile, viewChangesFile} {
			content, err := os.ReadFile(filepath.Join(s.settings[0].DataFolder, name))
			s.Assert(err, qt.IsNil)
			if name == viewChangesFile {
				content = append(content, viewHeader...)
			}
			s.Assert(os.WriteFile(filepath.Join(folder, name), content, 0o600), qt.IsNil)
		}
		s.Assert(s.daemons[0].Stop(s.ctx), qt.Equals, 0)
		s.settings[0].DataFolder = folder
		s.settings[0].Roles = append(s.settings[0].Roles[:0:0], "router")
		s.start(0)
		known := s.daemons[0].router.view.View()
		s.Assert(known.Table.Revision >= revision, qt.IsTrue)
		request := streamRequest("alone", "r0", 5)
		text, err := s.ask(0, request)
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(request))
	})
}

func TestViewPartLimiterBoundsRate(t *testing.T) {
	c := qt.New(t)
	var limiter viewPartLimiter
	now := time.Unix(1000, 0)
	sent := 0
	for range 1000 {
		wait, free := limiter.reserve(now)
		c.Assert(free, qt.Equals, time.Duration(sent)*ViewPartInterval < maxWait)
		if free {
			c.Assert(wait, qt.Equals, time.Duration(sent)*ViewPartInterval)
			sent++
		}
	}
	// Rejected reservations do not delay later ones.
	wait, free := limiter.reserve(now.Add(time.Hour))
	c.Assert(free, qt.IsTrue)
	c.Assert(wait, qt.Equals, time.Duration(0))
}

func TestViewIsNewsOnlyWhenChanged(t *testing.T) {
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
		qt.Check(t, test.view.HasChanges(test.arguments.SinceTable), qt.Equals, test.want, qt.Commentf(test.about))
	}
}
