package raft

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

// scenarios start with three voters, an elected leader, and member 4, whose disk is
// empty.
var scenarios = []struct {
	name string
	play func(t *testing.T, c *cluster, leader, follower *member)
}{
	{"pre-vote keeps the term of an isolated member", func(t *testing.T, c *cluster, leader, follower *member) {
		term := leader.node.Term()
		c.isolate(follower.id, true)
		c.ticks(60)
		qt.Assert(t, follower.node.Role(), qt.Equals, PreCandidate)
		c.heal()
		c.ticks(10)
		qt.Assert(t, follower.node.Term(), qt.Equals, term)
		qt.Assert(t, follower.node.Leader(), qt.Equals, leader.id)
	}},
	{"isolated leader loses its lease, then steps down", func(t *testing.T, c *cluster, leader, _ *member) {
		qt.Assert(t, leader.node.LeaseValid(), qt.IsTrue)
		c.isolate(leader.id, true)
		qt.Assert(t, c.read(leader), qt.IsNil)
		c.ticks(8)
		qt.Assert(t, leader.node.LeaseValid(), qt.IsFalse)
		c.ticks(3)
		qt.Assert(t, leader.node.Role(), qt.Not(qt.Equals), Leader)
		c.ticks(40)
		qt.Assert(t, c.leader().id, qt.Not(qt.Equals), leader.id)
		qt.Assert(t, structs.KindOf(leader.node.ReadIndex(0)), qt.Equals, structs.ErrorNotLeader)
		qt.Assert(t, c.history.reads, qt.Equals, 0)
	}},
	{"transfer", func(t *testing.T, c *cluster, leader, follower *member) {
		qt.Assert(t, leader.node.TransferLeadership(follower.id), qt.IsNil)
		_, _, err := leader.node.Propose(nil)
		qt.Assert(t, structs.KindOf(err), qt.Equals, structs.ErrorNotLeader)
		c.ticks(3)
		qt.Assert(t, c.leader().id, qt.Equals, follower.id)
	}},
	{"leader steps down if the transfer message may still arrive", func(t *testing.T, c *cluster, leader, follower *member) {
		c.filter = func(m Message) bool { return m.Kind != MessageTimeoutNow }
		qt.Assert(t, leader.node.TransferLeadership(follower.id), qt.IsNil)
		c.ticks(3)
		qt.Assert(t, leader.node.Role(), qt.Equals, Leader)
		qt.Assert(t, leader.node.LeaseValid(), qt.IsFalse)
		c.ticks(8)
		qt.Assert(t, leader.node.Role(), qt.Equals, Follower)
	}},
	{"transfer to an unreachable member is aborted", func(t *testing.T, c *cluster, leader, follower *member) {
		c.isolate(follower.id, true)
		_, _, _ = leader.node.Propose(nil)
		qt.Assert(t, leader.node.TransferLeadership(follower.id), qt.IsNil)
		c.ticks(11)
		qt.Assert(t, leader.node.LeaseValid(), qt.IsTrue)
		_, _, err := leader.node.Propose(nil)
		qt.Assert(t, err, qt.IsNil)
	}},
	{"lost snapshot is sent again", func(t *testing.T, c *cluster, leader, follower *member) {
		c.isolate(follower.id, true)
		for range 20 {
			_, _, _ = leader.node.Propose([]byte("x"))
			c.ticks(1)
		}
		qt.Assert(t, c.compact(leader), qt.IsNil)
		snapshots := 0
		c.filter = func(m Message) bool {
			if m.Kind == MessageSnapshot {
				snapshots++
			}
			return m.Kind != MessageSnapshot || snapshots > 1
		}
		c.heal()
		c.ticks(60)
		qt.Assert(t, snapshots, qt.Equals, 2)
		qt.Assert(t, follower.applied, qt.Equals, leader.applied)
	}},
	{"window bounds unacknowledged appends", func(t *testing.T, c *cluster, leader, follower *member) {
		c.blocked[[2]NodeID{follower.id, leader.id}] = true
		var entries []int
		next := leader.node.Status().LastIndex
		c.filter = func(m Message) bool {
			if m.Kind == MessageAppend && m.To == follower.id {
				qt.Assert(t, m.Index, qt.Equals, next)
				next += uint64(len(m.Entries))
				entries = append(entries, len(m.Entries))
			}
			return true
		}
		for i := range 40 {
			_, _, _ = leader.node.Propose(make([]byte, min(i/4, 1)*6))
		}
		c.ticks(5)
		qt.Assert(t, entries, qt.DeepEquals, []int{4, 1, 1}, qt.Commentf("limits: 4 entries, 10 bytes, 3 messages"))
	}},
	{"uncommitted proposals are bounded", func(t *testing.T, c *cluster, leader, _ *member) {
		c.isolate(leader.id, true)
		for range 64 {
			_, _, err := leader.node.Propose(nil)
			qt.Assert(t, err, qt.IsNil)
		}
		_, _, err := leader.node.Propose(nil)
		qt.Assert(t, structs.KindOf(err), qt.Equals, structs.ErrorOverloaded)
	}},
	{"truncated membership is rolled back", func(t *testing.T, c *cluster, leader, _ *member) {
		founding := leader.node.membership()
		c.isolate(leader.id, true)
		c.change(t, leader, []NodeID{1, 2, 3}, 4)
		qt.Assert(t, leader.node.membership().HasLearner(4), qt.IsTrue)
		c.ticks(60)
		c.heal()
		c.ticks(20)
		qt.Assert(t, leader.node.membership(), qt.DeepEquals, founding)
	}},
	{"removed member stops campaigning", func(t *testing.T, c *cluster, leader, follower *member) {
		requests := 0
		c.filter = func(m Message) bool {
			if m.From == follower.id && m.Kind == MessagePreVote {
				requests++
			}
			return true
		}
		c.isolate(follower.id, true)
		c.change(t, leader, without(leader.node.membership().Voters, follower.id))
		c.ticks(6)
		c.heal()
		c.ticks(90)
		qt.Assert(t, requests, qt.Equals, 0)
		qt.Assert(t, follower.node.Status().Role, qt.Equals, Learner)
		qt.Assert(t, leader.node.LeaseValid(), qt.IsTrue)
	}},
	{"leader that removes itself transfers leadership", func(t *testing.T, c *cluster, leader, _ *member) {
		c.change(t, leader, without(leader.node.membership().Voters, leader.id))
		c.ticks(5)
		qt.Assert(t, leader.node.Role(), qt.Equals, Learner)
		qt.Assert(t, c.leader(), qt.Not(qt.IsNil))
	}},
	{"restarted leader replicates its own removal", func(t *testing.T, c *cluster, leader, follower *member) {
		c.change(t, leader, []NodeID{leader.id, follower.id})
		c.ticks(5)
		c.isolate(leader.id, true)
		c.change(t, leader, []NodeID{follower.id})
		c.processReady(leader)
		c.stop(leader)
		c.heal()
		c.ticks(60)
		qt.Assert(t, c.leader().id, qt.Equals, follower.id)
		qt.Assert(t, follower.node.membership().Voters, qt.DeepEquals, []NodeID{follower.id})
	}},
	{"second member lost right after a replacement", func(t *testing.T, c *cluster, leader, follower *member) {
		c.stop(follower)
		voters := without(leader.node.membership().Voters, follower.id)
		c.change(t, leader, voters)
		c.ticks(5)
		c.change(t, leader, voters, 4)
		c.ticks(8)
		c.filter = func(m Message) bool { return m.Kind != MessageAppend || m.To != 4 }
		c.change(t, leader, append(voters, 4))
		c.ticks(3)
		status := leader.node.Status()
		qt.Assert(t, status.Commit >= status.MembershipIndex, qt.IsTrue)
		c.stop(leader)
		c.filter = nil
		c.ticks(60)
		qt.Assert(t, c.leader(), qt.Not(qt.IsNil))
	}},
	{"learner without its own addition is not promoted", func(t *testing.T, c *cluster, leader, _ *member) {
		voters := []NodeID{1, 2, 3}
		c.change(t, leader, voters, 4)
		c.ticks(8)
		c.filter = func(m Message) bool { return m.Kind != MessageAppend || m.To != 4 }
		c.change(t, leader, voters)
		c.ticks(1)
		c.change(t, leader, voters, 4)
		c.ticks(2)
		_, _, err := leader.node.ProposeMembership(Membership{Voters: []NodeID{1, 2, 3, 4}})
		qt.Assert(t, structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
		c.filter = nil
		c.ticks(5)
		c.change(t, leader, []NodeID{1, 2, 3, 4})
	}},
	{"new identity neither votes nor campaigns", func(t *testing.T, c *cluster, _, _ *member) {
		stranger := c.member(4).node
		c.ticks(60)
		err := stranger.Step(Message{Kind: MessageVote, From: 1, To: 4, Term: 9, Index: 9, LogTerm: 8, Transfer: true})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, stranger.HasReady(), qt.IsFalse)
		qt.Assert(t, stranger.Status().Term, qt.Equals, uint64(0))
	}},
	{"invalid memberships are rejected", func(t *testing.T, c *cluster, leader, _ *member) {
		for _, refused := range []struct {
			voters, learners []NodeID
			kind             structs.ErrorKind
		}{
			{nil, []NodeID{1}, structs.ErrorInvalid},
			{[]NodeID{1, 2, 3, 3}, nil, structs.ErrorInvalid},
			{[]NodeID{1, 2, 3}, []NodeID{3}, structs.ErrorInvalid},
			{[]NodeID{1}, nil, structs.ErrorInvalid},
			{[]NodeID{1, 2, 3, 4}, nil, structs.ErrorUnavailable},
		} {
			_, _, err := leader.node.ProposeMembership(Membership{refused.voters, refused.learners})
			qt.Check(t, structs.KindOf(err), qt.Equals, refused.kind, qt.Commentf("%v", refused))
		}
		c.change(t, leader, []NodeID{1, 2, 3}, 4)
		_, _, err := leader.node.ProposeMembership(Membership{Voters: []NodeID{1, 2, 3}})
		qt.Assert(t, structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
	}},
}

func TestScenarios(t *testing.T) {
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			c := newCluster(7, 3, 1)
			c.ticks(40)
			scenario.play(t, c, c.leader(), c.follower())
			qt.Assert(t, c.history.violated, qt.Equals, "", qt.Commentf(c.history.detail))
		})
	}
}

func (c *cluster) change(t *testing.T, leader *member, voters []NodeID, learners ...NodeID) {
	_, _, err := leader.node.ProposeMembership(Membership{voters, learners})
	qt.Assert(t, err, qt.IsNil)
}

// TestLeaseNeverOverlaps blocks messages from the leader to one member, then isolates
// the leader while the third member restarts. The first member is elected as early as
// possible, which must not be before the old lease ends.
func TestLeaseNeverOverlaps(t *testing.T) {
	cases := map[string]struct {
		mutate func(n *Node)
		breaks string
	}{
		"correct": {},
		"votes while it hears from a leader": {func(n *Node) {
			if n.role != Leader {
				n.ticksSinceLeader = n.config.ElectionTicks
			}
		}, leaseExclusive},
		"votes right after a restart": {func(n *Node) {
			if n.now < 10 && n.role != Leader {
				n.ticksSinceLeader = n.config.ElectionTicks
			}
		}, leaseExclusive},
	}
	for name, test := range cases {
		violated := ""
		for seed := uint64(0); seed < 200 && violated == ""; seed++ {
			c := newCluster(seed, 3, 0)
			c.delay = 1 + int(seed%3)*6
			c.ticks(60)
			leader, eager := c.leader(), c.follower()
			c.mutate = test.mutate
			c.blocked[[2]NodeID{leader.id, eager.id}] = true
			c.ticks(c.random.IntN(20))
			c.isolate(leader.id, true)
			third := c.member(6 - leader.id - eager.id)
			c.stop(third)
			c.start(third)
			c.ticks(20)
			violated = c.history.violated
		}
		qt.Check(t, violated, qt.Equals, test.breaks, qt.Commentf(name))
	}
}
