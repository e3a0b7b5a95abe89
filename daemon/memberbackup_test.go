package daemon

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/ctl"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

func (s *testSite) ctl(arguments ...string) {
	var output, problems bytes.Buffer
	code := ctl.Run(s.ctx, arguments, ctl.Environment{
		Output: &output,
		Errors: &problems,
		Connect: func(ctl.Options) (operatorapi.Service, error) {
			return s.operators(), nil
		},
	})
	s.c.Assert(code, qt.Equals, ctl.ExitOK, qt.Commentf("%v: %s", arguments, problems.String()))
}

func (s *testSite) revision() uint64 {
	view, err := s.operators().Table(s.ctx)
	s.c.Assert(err, qt.IsNil)
	return view.Revision
}

// awaitInForce waits until the revision is in force in the zone.
func (s *testSite) awaitInForce(revision uint64) structs.ZoneStatus {
	for s.ctx.Err() == nil {
		status, err := s.operators().Status(s.ctx)
		if err == nil && status.Zones[0].TableRevision >= revision {
			return status.Zones[0]
		}
		pause.For(s.ctx, leadercall.RetryDelay)
	}
	s.c.Fatalf("revision %d did not come into force", revision)
	return structs.ZoneStatus{}
}

func TestWholeSiteIsRestoredAndFencesTheOldOne(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		s.start(0, 1, 2)
		s.await("the founding", s.allVotersActive)
		s.edit("first")
		// The registration of the zone has its own revision.
		s.awaitInForce(s.revision())
		saved := s.revision()
		folder := c.TempDir()
		groups := []string{"zone-north", globalGroupName}
		for _, name := range groups {
			s.ctl("snapshot", "save", "--group", name, filepath.Join(folder, name))
			s.ctl("snapshot", "inspect", filepath.Join(folder, name))
		}
		s.edit("lost")
		var oldTerm uint64
		for _, running := range s.running {
			oldTerm = max(oldTerm, running.zone.group.Status().Term)
		}

		for index := range s.settings {
			s.loseDisk(index)
			s.settings[index].Bootstrap = false
		}
		for _, name := range groups {
			s.ctl("snapshot", "restore", filepath.Join(folder, name), "--daemon", "north-0",
				"--store", filepath.Join(s.settings[0].DataFolder, name+".db"))
		}
		s.start(0)
		c.Assert(s.rows(), qt.DeepEquals, []structs.RowName{"first"})
		c.Assert(s.revision(), qt.Equals, saved)
		s.start(1, 2)
		for _, index := range []int{1, 2} {
			for _, name := range groups {
				s.ctl("member", "add", string(s.settings[index].Daemon), "--group", name, "--internal", s.settings[index].Listen.Internal)
				s.await("a new voter", func(members operatorapi.GroupMembers) bool {
					listed := s.operators().groupMembers(s.ctx, name)
					return len(listed.Members) == index+1 && listed.Members[index].Voter && listed.Members[index-1].Voter
				})
			}
		}
		s.await("the whole site", s.allVotersActive)
		s.edit("second")
		c.Assert(s.revision() > saved, qt.IsTrue)
		s.awaitInForce(s.revision())
		c.Assert(s.rows(), qt.DeepEquals, []structs.RowName{"first", "second"})
		epoch, leads := s.running["north-0"].zone.group.LeaderLease()
		c.Assert(!leads || uint64(epoch) > oldTerm, qt.IsTrue)
		c.Assert(s.running["north-0"].zone.group.Status().Term > oldTerm, qt.IsTrue)
	})
}

func TestDataFolderOfAnotherIsRefusedWithTheRemedy(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		s.start(0, 1, 2)
		s.await("the founding", s.allVotersActive)
		s.kill(1)
		s.kill(2)
		tests := []struct {
			name   string
			damage func()
			kind   structs.ErrorKind
			remedy string
		}{
			{"of another daemon", func() { s.settings[1].DataFolder = s.settings[2].DataFolder }, structs.ErrorConflict, ".*its own data folder.*"},
			{"in use", func() {
				s.settings[1].DataFolder = s.settings[0].DataFolder
			}, structs.ErrorUnavailable, ".*Stop the other daemon.*"},
			{"torn", func() {
				path := filepath.Join(s.settings[2].DataFolder, "global.db")
				s.settings[1] = s.settings[2]
				truncateHalf(c, path)
			}, structs.ErrorCorrupt, ".*remove its data folder.*"},
		}
		for _, test := range tests {
			test.damage()
			refused, err := s.newDaemon(1)
			if refused != nil {
				refused.Close(context.Background())
			}
			c.Check(structs.KindOf(err), qt.Equals, test.kind, qt.Commentf(test.name))
			c.Check(err, qt.ErrorMatches, test.remedy, qt.Commentf(test.name))
		}
	})
}
