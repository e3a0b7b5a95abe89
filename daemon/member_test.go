package daemon

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

func TestSecondDiskLostRightAfterARepairLosesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		s.start(0, 1, 2)
		before := s.await("the founding", s.allVotersActive)
		s.edit("first")

		s.loseDisk(0)
		s.edit("second")
		s.start(0)
		repaired := s.await("the first repair", s.allVotersActiveWithout(nodeOf(before, "north-0")))

		s.loseDisk(1)
		s.edit("third")
		s.start(1)
		again := s.await("the second repair", s.allVotersActiveWithout(nodeOf(before, "north-1")))
		c.Assert(nodeOf(again, "north-0"), qt.Equals, nodeOf(repaired, "north-0"))
		c.Assert(s.rows(), qt.DeepEquals, []structs.RowName{"first", "second", "third"})
	})
}

// TestMemberWithAnEmptyDiskDoesNotFoundItsGroupAgain empties the disk of the daemon
// that the site lists first, the only one that creates groups.
func TestMemberWithAnEmptyDiskDoesNotFoundItsGroupAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		s.start(0, 1, 2)
		before := s.await("the founding", s.allVotersActive)
		s.edit("first")
		s.kill(1)
		s.kill(2)
		s.loseDisk(0)

		// With the others down it cannot know whether the group exists.
		s.start(0)
		alone := s.running["north-0"].members[globalGroupName]
		c.Assert(structs.KindOf(alone.tryJoin(s.ctx)), qt.Equals, structs.ErrorUnavailable)
		c.Assert(alone.group.Status().Held, qt.IsTrue)
		c.Assert(alone.group.Status().Term, qt.Equals, uint64(0))

		s.start(1, 2)
		s.await("the repair", s.allVotersActiveWithout(nodeOf(before, "north-0")))
		c.Assert(s.rows(), qt.DeepEquals, []structs.RowName{"first"})
	})
}

func TestGroupIsNotFoundedWithoutTheSettingsWord(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		for i := range s.settings {
			s.settings[i].Bootstrap = false
		}
		s.start(0, 1, 2)
		member := s.running["north-0"].members[globalGroupName]
		c.Assert(member.tryJoin(s.ctx), qt.ErrorMatches, ".*no reachable listed member belongs to group global: .*--bootstrap.*")
		c.Assert(member.group.Status().Held, qt.IsTrue)
	})
}

func TestFoundingThatWasCutShortIsFinished(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		for i := range s.settings {
			s.settings[i].Bootstrap = false
		}
		s.start(0, 1, 2)
		founder := s.running["north-0"].members[globalGroupName]
		second := s.running["north-1"].members[globalGroupName]
		third := s.running["north-2"].members[globalGroupName]
		// Only one of the three receives the initial membership before the first daemon
		// stops.
		c.Assert(second.group.Found(s.ctx, []group.Member{founder.own, second.own, third.own}), qt.IsNil)
		s.kill(0)
		s.start(0)
		s.await("the founding", s.allVotersActive)
	})
}

func TestOnlyOneRepairAtATimeAndNoRemovalWithoutAMajority(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		s.start(0, 1, 2)
		members := s.await("the founding", s.allVotersActive)
		s.kill(2)
		s.await("the loss to show", func(members operatorapi.GroupMembers) bool {
			return !s.allVotersActive(members) && members.Problem == ""
		})
		remove := func(daemon structs.DaemonID) error {
			return s.operators().ChangeMember(s.ctx, operatorapi.MemberChange{Group: globalGroupName, Action: operatorapi.MemberRemove, Daemon: daemon})
		}
		for _, member := range members.Members {
			if member.Daemon != "north-2" {
				c.Assert(remove(member.Daemon), qt.ErrorMatches, ".*after the removal only 1 of 2 voters would answer.*")
				break
			}
		}
		c.Assert(remove("north-2"), qt.IsNil)
		left := s.await("the removal", func(members operatorapi.GroupMembers) bool { return len(members.Members) == 2 })
		c.Assert(nodeOf(left, "north-2"), qt.Equals, uint64(0))

		// A removed identity cannot rejoin: the daemon must be added under a new one.
		s.start(2)
		add := operatorapi.MemberChange{Group: globalGroupName, Action: operatorapi.MemberAdd, Daemon: "north-2", Address: s.settings[2].Listen.Internal}
		c.Assert(s.operators().ChangeMember(s.ctx, add), qt.ErrorMatches, ".*holds node .* of a membership that this group has not.*")
		s.loseDisk(2)
		s.start(2)
		c.Assert(s.operators().ChangeMember(s.ctx, add), qt.IsNil)
		s.await("the new member", s.allVotersActive)
	})
}

func TestDaemonWhoseDiskFailsEndsWithTheRemedyAndTheOthersGoOn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		s.start(0, 1, 2)
		s.await("the founding", s.allVotersActive)
		s.edit("first")
		failing := s.running["north-0"]
		for _, store := range failing.stores {
			c.Assert(store.Close(), qt.IsNil)
		}
		s.edit("second")
		select {
		case err := <-failing.Failed():
			c.Assert(err, qt.ErrorMatches, ".*Check the disk for free space.*")
		case <-s.ctx.Done():
			c.Fatal("the daemon went on")
		}
		s.kill(0)
		c.Assert(s.rows(), qt.DeepEquals, []structs.RowName{"first", "second"})
	})
}
