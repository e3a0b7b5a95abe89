package daemon

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// changeWithoutQuorum isolates the leader and starts a change there. It returns once
// the change shows in the membership in force, where it cannot be committed, or has
// failed; begun is false if the change does not show. The function end cancels the
// change and reconnects the leader.
func (s *testSite) changeWithoutQuorum(leader *Daemon, change operatorapi.MemberChange, shows func(raft.Membership) bool) (end func(), begun bool) {
	node := leader.members[globalGroupName]
	for _, settings := range s.settings {
		leader.faults.Cut(settings.Listen.Internal)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = node.change(ctx, change)
	}()
	end = func() {
		cancel()
		<-ended
		for _, settings := range s.settings {
			leader.faults.Heal(settings.Listen.Internal)
		}
	}
	for {
		changed := node.group.Changed()
		if shows(node.group.Status().Membership) {
			return end, true
		}
		select {
		case <-changed:
		case <-ended:
			return end, shows(node.group.Status().Membership)
		}
	}
}

// TestRepeatedRemovalIsNotDoneBeforeItIsCommitted guards against reporting an
// uncommitted removal as done: it may be lost with its leader.
func TestRepeatedRemovalIsNotDoneBeforeItIsCommitted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		s.start(0, 1, 2)
		for begun := false; !begun; {
			members := s.await("the whole group", s.allVotersActive)
			index := s.leaderIndex()
			removal := operatorapi.MemberChange{
				Group:  globalGroupName,
				Action: operatorapi.MemberRemove,
				Daemon: s.settings[(index+1)%len(s.settings)].Daemon,
			}
			removed := raft.NodeID(nodeOf(members, removal.Daemon))
			leader := s.running[s.settings[index].Daemon]
			var end func()
			end, begun = s.changeWithoutQuorum(leader, removal, func(m raft.Membership) bool { return !m.Has(removed) })
			if begun {
				err := leader.members[globalGroupName].change(s.ctx, removal)
				c.Check(err, qt.IsNotNil)
			}
			end()
		}
	})
}

// rejoin removes a daemon and adds it again with an empty disk. It returns the new node
// once it has the whole log.
func (s *testSite) rejoin(leader *Daemon, index int) raft.NodeID {
	daemon := s.settings[index].Daemon
	change := operatorapi.MemberChange{Group: globalGroupName, Action: operatorapi.MemberRemove, Daemon: daemon}
	s.c.Assert(s.operators().ChangeMember(s.ctx, change), qt.IsNil)
	s.loseDisk(index)
	s.start(index)
	change.Action = operatorapi.MemberAdd
	change.Address = s.settings[index].Listen.Internal
	s.c.Assert(s.operators().ChangeMember(s.ctx, change), qt.IsNil)
	added := s.running[daemon].members[globalGroupName].own.Node
	joined := leader.members[globalGroupName].group
	for {
		changed := joined.Changed()
		status := joined.Status()
		if !status.IsLeader || status.Membership.HasVoter(added) || status.Progress[added].CaughtUp {
			return added
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
			s.c.Fatalf("the learner did not get the log: %+v", status)
		}
	}
}

// TestRepeatedPromotionIsNotDoneBeforeItIsCommitted repeats rounds in which the leader
// promoted the learner and committed that before it was isolated.
func TestRepeatedPromotionIsNotDoneBeforeItIsCommitted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		s.start(0, 1, 2)
		for shown := false; !shown; {
			s.await("the whole group", s.allVotersActive)
			index := s.leaderIndex()
			leader := s.running[s.settings[index].Daemon]
			node := leader.members[globalGroupName]
			other := (index + 1) % len(s.settings)
			learner := s.rejoin(leader, other)
			promotion := operatorapi.MemberChange{Group: globalGroupName, Action: operatorapi.MemberPromote, Daemon: s.settings[other].Daemon}
			end, begun := s.changeWithoutQuorum(leader, promotion, func(m raft.Membership) bool { return m.HasVoter(learner) })
			shown = begun && !node.group.Status().CommittedMembership.HasVoter(learner)
			if err := node.change(s.ctx, promotion); err == nil {
				c.Check(node.group.Status().CommittedMembership.HasVoter(learner), qt.IsTrue)
			}
			end()
		}
	})
}

// TestLeaderWithoutAQuorumDoesNotCallAChangeMadeAlready guards against confirming a
// change that a newer leader may have reverted.
func TestLeaderWithoutAQuorumDoesNotCallAChangeMadeAlready(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 3)
		s.start(0, 1, 2)
		for _, change := range []operatorapi.MemberChange{
			{Group: globalGroupName, Action: operatorapi.MemberRemove, Daemon: "unknown"},
			{Group: globalGroupName, Action: operatorapi.MemberPromote, Daemon: "north-0"},
		} {
			s.await("the whole group", s.allVotersActive)
			leader := s.running[s.settings[s.leaderIndex()].Daemon]
			c.Check(leader.members[globalGroupName].change(s.ctx, change), qt.IsNil)
			for _, settings := range s.settings {
				leader.faults.Cut(settings.Listen.Internal)
			}
			c.Check(leader.members[globalGroupName].change(s.ctx, change), qt.IsNotNil)
			for _, settings := range s.settings {
				leader.faults.Heal(settings.Listen.Internal)
			}
		}
	})
}

func TestChangeIsRefusedWhileThePreviousOneIsNotCommitted(t *testing.T) {
	const own, other raft.NodeID = 1, 2
	voter := raft.Membership{Voters: []raft.NodeID{own, other}}
	learner := raft.Membership{Voters: []raft.NodeID{own}, Learners: []raft.NodeID{other}}
	removed := raft.Membership{Voters: []raft.NodeID{own}}
	for _, test := range []struct {
		name      string
		committed raft.Membership
		inForce   raft.Membership
		applied   uint64
		kind      structs.ErrorKind
	}{
		{"promotion in progress", learner, voter, 8, structs.ErrorUnavailable},
		{"removal in progress", learner, removed, 8, structs.ErrorUnavailable},
		{"same membership in progress", voter, voter, 8, structs.ErrorUnavailable},
		{"promotion committed", voter, voter, 9, ""},
		{"removal committed", removed, removed, 9, ""},
	} {
		err := checkCommitted("global", group.Status{
			Node:                own,
			AppliedIndex:        test.applied,
			Membership:          test.inForce,
			MembershipIndex:     9,
			CommittedMembership: test.committed,
		})
		qt.Check(t, structs.KindOf(err), qt.Equals, test.kind, qt.Commentf("%s: %v", test.name, err))
	}
}
