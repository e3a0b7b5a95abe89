package daemon

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/structs"
)

func globalGroupOf(running *Daemon) *group.Group { return running.global.group }
func zoneGroupOf(running *Daemon) *group.Group   { return running.zone.group }

// awaitLeader waits until one of the daemons awaitLeader the group, and returns its index.
func (s *testSite) awaitLeader(groupOf func(*Daemon) *group.Group, indexes ...int) int {
	for s.ctx.Err() == nil {
		for _, index := range indexes {
			running := s.running[s.settings[index].Daemon]
			if running != nil && groupOf(running).Status().LeaseValid {
				return index
			}
		}
		pause.For(s.ctx, leadercall.RetryDelay)
	}
	s.c.Fatalf("none of the daemons %v leads", indexes)
	return 0
}

// standbySite returns a site in which all daemons except the preferred ones are
// standbys.
func standbySite(c *qt.C, preferred ...int) *testSite {
	s := newTestSite(c, 3)
	members := s.settings[0].Site.Zones[0].Controllers
	for i := range members {
		members[i].Standby = true
	}
	for _, index := range preferred {
		members[index].Standby = false
	}
	for i := range s.settings {
		s.settings[i].Site.GlobalVoters = members
	}
	s.start(0, 1, 2)
	s.await("the founding", s.allVotersActive)
	return s
}

func TestStandbyThatLeadsHandsOverToTheControlMachineThatIsBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := standbySite(c, 0)
		s.awaitLeader(globalGroupOf, 0)
		s.awaitLeader(zoneGroupOf, 0)
		s.kill(0)
		s.awaitLeader(globalGroupOf, 1, 2)
		s.awaitLeader(zoneGroupOf, 1, 2)
		s.edit("edited-meanwhile")
		s.start(0)
		s.awaitLeader(globalGroupOf, 0)
		s.awaitLeader(zoneGroupOf, 0)
		c.Assert(s.rows(), qt.DeepEquals, []structs.RowName{"edited-meanwhile"})
	})
}

func TestPlannedStopHandsLeadershipOver(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := standbySite(c, 0, 1)
		leader := s.awaitLeader(globalGroupOf, 0, 1)
		successor := 1 - leader
		stopping := s.running[s.settings[leader].Daemon]
		delete(s.running, s.settings[leader].Daemon)
		term := stopping.global.group.Status().Term
		c.Assert(stopping.Stop(context.Background()), qt.Equals, 0)
		// The daemon observed the election that it requested before it stopped, which a
		// daemon that is no standby wins.
		c.Assert(stopping.global.group.Status().Term > term, qt.IsTrue)
		s.awaitLeader(globalGroupOf, successor)
	})
}
