package daemon

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// memberships returns the membership entries of the leader's log after an index.
func (s *testSite) memberships(leader *Daemon, after uint64) []raft.Membership {
	var found []raft.Membership
	for _, store := range leader.stores {
		if store.Identity().Group != globalGroupName {
			continue
		}
		restored, err := store.Load()
		s.c.Assert(err, qt.IsNil)
		for _, entry := range restored.Entries {
			if entry.Kind == raft.EntryMembership && entry.Index > after {
				membership, err := raft.DecodeMembership(entry.Data)
				s.c.Assert(err, qt.IsNil)
				found = append(found, membership)
			}
		}
	}
	return found
}

// TestJoinThatMeetsItsOwnAdditionDoesNotUndoIt guards against a join that removes the
// same node's uncommitted addition, which is lost if the join then fails.
func TestJoinThatMeetsItsOwnAdditionDoesNotUndoIt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const rounds = 20
		c := qt.New(t)
		s := newTestSite(c, 3)
		s.start(0, 1, 2)
		s.await("the founding", s.allVotersActive)
		s.edit("first")
		leader := s.running[s.settings[s.leaderIndex()].Daemon]
		node := leader.members[globalGroupName]
		for range rounds {
			before := node.group.Status().AppliedIndex
			joining := group.Member{Node: group.NewNodeID(), Address: s.testAddress(), Name: "added"}
			added := make(chan error, 1)
			go func() { added <- node.group.AddLearner(s.ctx, joining) }()
			for node.admit(s.ctx, joining) != nil {
				c.Assert(s.ctx.Err(), qt.IsNil)
			}
			<-added
			for _, membership := range s.memberships(leader, before) {
				c.Assert(membership.HasLearner(joining.Node), qt.IsTrue, qt.Commentf("%+v", membership))
			}
			c.Assert(node.group.Remove(s.ctx, joining), qt.IsNil)
		}
	})
}

func TestJoinAdmitsOneRepairAtATime(t *testing.T) {
	const own, other, lost, joining raft.NodeID = 1, 2, 3, 9
	names := map[raft.NodeID]string{own: "a", other: "b", lost: "c", joining: "c"}
	for _, test := range []struct {
		name     string
		voters   []raft.NodeID
		learners []raft.NodeID
		active   []raft.NodeID
		replaced []raft.NodeID
		kind     structs.ErrorKind
	}{
		{"its voter is lost", []raft.NodeID{own, other, lost}, nil, []raft.NodeID{other}, nil, ""},
		{"its learner is lost", []raft.NodeID{own, other}, []raft.NodeID{lost}, []raft.NodeID{other}, []raft.NodeID{lost}, ""},
		{"it is being added", []raft.NodeID{own, other}, []raft.NodeID{joining}, []raft.NodeID{other, joining}, nil, ""},
		{"it is being added beside a lost one", []raft.NodeID{own, other}, []raft.NodeID{lost, joining}, nil, []raft.NodeID{lost}, ""},
		{"it was never added", []raft.NodeID{own, other}, nil, nil, nil, structs.ErrorDenied},
		{"another process answers", []raft.NodeID{own, other, lost}, nil, []raft.NodeID{lost}, nil, structs.ErrorUnavailable},
		{"another repair", []raft.NodeID{own, lost}, []raft.NodeID{other}, nil, nil, structs.ErrorConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			status := group.Status{
				Node: own, IsLeader: true, Names: names, Progress: map[raft.NodeID]raft.Progress{},
				Membership: raft.Membership{Voters: test.voters, Learners: test.learners},
			}
			for _, node := range test.active {
				status.Progress[node] = raft.Progress{Active: true}
			}
			replaced, err := checkRejoin("global", status, group.Member{Node: joining, Name: "c"})
			qt.Check(t, structs.KindOf(err), qt.Equals, test.kind)
			qt.Check(t, replaced, qt.DeepEquals, test.replaced)
		})
	}
}

// TestAdditionThatIsNotCommittedIsMadeAgain guards against reporting an uncommitted addition as
// done: it may be lost with its leader.
func TestAdditionThatIsNotCommittedIsMadeAgain(t *testing.T) {
	const own, added, other raft.NodeID = 1, 9, 3
	names := map[raft.NodeID]string{own: "a", added: "c", other: "b"}
	for _, test := range []struct {
		name      string
		learners  []raft.NodeID
		described DescribeReply
		kind      structs.ErrorKind
	}{
		{"new", nil, DescribeReply{Node: added}, ""},
		{"not committed", []raft.NodeID{added}, DescribeReply{Node: added}, ""},
		{"member as another node", []raft.NodeID{added}, DescribeReply{Node: 10}, structs.ErrorConflict},
		{"of another membership", nil, DescribeReply{Node: added, Voters: []group.Member{{Node: added}}}, structs.ErrorConflict},
		{"during another repair", []raft.NodeID{other}, DescribeReply{Node: added}, structs.ErrorConflict},
	} {
		status := group.Status{Node: own, Names: names, Membership: raft.Membership{Voters: []raft.NodeID{own}, Learners: test.learners}}
		err := checkAddition("global", status, "c", test.described)
		qt.Check(t, structs.KindOf(err), qt.Equals, test.kind, qt.Commentf("%s: %v", test.name, err))
	}
}
