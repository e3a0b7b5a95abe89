package group

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

func TestHeldMemberIsPassiveUntilAdmitted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{})
		leader := cl.leader(cl.members...)
		cl.propose(0, 5)
		joining := cl.add(Options{Hold: true})
		joining.knowsNoPeers = true
		joining.start()
		added := Member{Node: joining.node, Address: joining.address, Name: "fourth"}
		c.Assert(leader.AddLearner(cl.ctx, added), qt.IsNil)
		// The held member drops the leader's first append and the heartbeats after it.
		before := leader.server.Stats().BytesIn
		cl.propose(5, 5)
		c.Assert(leader.server.Stats().BytesIn > before, qt.IsTrue)
		c.Assert(joining.Status().Held, qt.IsTrue)
		c.Assert(joining.Status().Term, qt.Equals, uint64(0))
		c.Assert(leader.Status().Progress[joining.node].Match, qt.Equals, uint64(0))
		c.Assert(joining.Admit(cl.ctx), qt.IsNil)
		leader.waitFor("the learner to catch up", func(status Status) bool { return status.Progress[joining.node].CaughtUp })
		c.Assert(leader.Promote(cl.ctx, added), qt.IsNil)
		cl.assertConverged(10)
		joining.waitFor("the names", func(status Status) bool { return status.Names[joining.node] == "fourth" })
	})
}

func TestFoundIsDurableAndIdempotent(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 0, Options{})
		var members []Member
		for range 3 {
			each := cl.add(Options{Hold: true})
			members = append(members, Member{Node: each.node, Address: each.address, Name: each.address})
		}
		for _, each := range cl.members {
			each.start()
			c.Assert(structs.KindOf(each.Found(cl.ctx, members[:each.node-1])) != "", qt.IsTrue) // the list lacks this node
			c.Assert(each.Found(cl.ctx, members), qt.IsNil)
			c.Assert(each.Found(cl.ctx, members), qt.IsNil)
			other := append([]Member{{Node: 9, Address: each.address}}, members...)
			c.Assert(structs.KindOf(each.Found(cl.ctx, other)), qt.Equals, structs.ErrorConflict)
		}
		cl.propose(0, 3)
		cl.assertConverged(3)
		restarted := cl.members[0]
		restarted.stop()
		restarted.start()
		c.Assert(restarted.Status().Held, qt.IsFalse)
		c.Assert(restarted.Status().Membership.Voters, qt.DeepEquals, []raft.NodeID{1, 2, 3})
		c.Assert(restarted.Status().Names[2], qt.Equals, members[1].Name)
		cl.propose(3, 1)
		cl.assertConverged(4)
	})
}

func TestRestoredGroupStartsAtLaterTerm(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{})
		leader := cl.leader(cl.members...)
		cl.propose(0, 4)
		saved, err := leader.Backup(cl.ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(saved.Membership.Voters, qt.DeepEquals, []raft.NodeID{1, 2, 3})
		node := NewNodeID()
		restored, state, err := RestoreBackup(saved, Member{Node: node, Name: "new"})
		c.Assert(err, qt.IsNil)
		c.Assert(restored.Index, qt.Equals, saved.Index)
		c.Assert(restored.Membership.Voters, qt.DeepEquals, []raft.NodeID{node})
		c.Assert(state.Term > saved.Term+restoreTermIncrement-1, qt.IsTrue)
		_, _, err = RestoreBackup(raft.Snapshot{Index: 1, Term: 1, Data: []byte{0xc1}}, Member{Node: node})
		c.Assert(err, qt.IsNotNil)
	})
}

func TestLostLearnerIsReplacedInOneChange(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 1, Options{})
		leader := cl.leader(cl.members...)
		lost, joining := Member{Node: 8, Address: "127.0.0.1:1"}, Member{Node: 9, Address: "127.0.0.1:2"}
		c.Assert(leader.AddLearner(cl.ctx, lost), qt.IsNil)
		before := leader.Status().AppliedIndex
		c.Assert(leader.AddLearner(cl.ctx, joining, lost.Node), qt.IsNil)
		restored, err := leader.store.Load()
		c.Assert(err, qt.IsNil)
		var memberships []raft.Membership
		for _, entry := range restored.Entries {
			if entry.Kind == raft.EntryMembership && entry.Index > before {
				membership, err := raft.DecodeMembership(entry.Data)
				c.Assert(err, qt.IsNil)
				memberships = append(memberships, membership)
			}
		}
		c.Assert(memberships, qt.DeepEquals, []raft.Membership{{Voters: []raft.NodeID{1}, Learners: []raft.NodeID{joining.Node}}})
		c.Assert(leader.Status().Membership.Learners, qt.DeepEquals, []raft.NodeID{joining.Node})
	})
}
