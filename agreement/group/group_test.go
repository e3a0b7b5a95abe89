package group

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/structs"
)

func TestGroupSurvivesLeaderRestart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{})
		first := cl.leader(cl.members...)
		cl.propose(0, 10)
		first.stop()
		second := cl.leader(cl.others(first)...)
		c.Assert(second.Status().Term > first.Status().Term, qt.IsTrue)
		cl.propose(10, 10)
		first.start()
		cl.assertConverged(20)
		for _, each := range cl.members {
			each.stop()
		}
		for _, each := range cl.members {
			each.start()
		}
		cl.propose(20, 1)
		cl.assertConverged(21)
	})
}

func TestFollowerErrorNamesLeader(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{})
		leader := cl.leader(cl.members...)
		follower := cl.others(leader)[0]
		follower.waitFor("the leader's name", func(status Status) bool { return status.LeaderNode == leader.node })
		_, err := follower.Propose(cl.ctx, []byte("command"))
		for _, err := range []error{err, follower.Read(cl.ctx), follower.TransferLeadership(cl.ctx)} {
			var typed *structs.Error
			c.Assert(errors.As(err, &typed), qt.IsTrue)
			c.Assert(typed.Kind, qt.Equals, structs.ErrorNotLeader)
			c.Assert(typed.Leader, qt.Equals, leader.address)
		}
		_, valid := follower.LeaderLease()
		c.Assert(valid, qt.IsFalse)
		_, err = leader.Propose(cl.ctx, make([]byte, MaxCommandBytes+1))
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	})
}

func TestLaggingMemberCatchesUpBySnapshot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{SnapshotEntries: 20})
		leader := cl.leader(cl.members...)
		behind := cl.others(leader)[0]
		cl.propose(0, 5)
		behind.stop()
		cl.propose(5, 100)
		behind.start()
		c.Assert(behind.Status().AppliedIndex < leader.Status().SnapshotIndex, qt.IsTrue)
		cl.assertConverged(105)
		c.Assert(behind.Status().SnapshotIndex > 20, qt.IsTrue)
		leader.stop() // a restart restores the snapshot
		leader.start()
		cl.assertConverged(105)
	})
}

func TestPartitionedLeaderLosesLeaseAndReportsUnknownOutcome(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{})
		old := cl.leader(cl.members...)
		cl.propose(0, 3)
		epoch, _ := old.LeaderLease()
		old.partition()
		_, err := old.Propose(cl.ctx, []byte("lost"))
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
		c.Assert(err, qt.ErrorMatches, "the outcome of the command is unknown: .*same edit or claim ID.*")
		c.Assert(old.Read(cl.ctx), qt.IsNotNil)
		_, valid := old.LeaderLease()
		c.Assert(valid, qt.IsFalse)
		elected := cl.leader(cl.others(old)...)
		next, _ := elected.LeaderLease()
		c.Assert(next > epoch, qt.IsTrue)
		cl.propose(3, 3)
		old.heal()
		cl.assertConverged(6)
	})
}

func TestProposalWithEndedContextIsNotMade(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 1, Options{})
		leader := cl.leader(cl.members...)
		ctx, cancel := context.WithCancel(cl.ctx)
		cancel()
		for range 20 {
			_, err := leader.Propose(ctx, []byte("given up"))
			c.Assert(err, qt.IsNotNil)
		}
		cl.propose(0, 1)
	})
}

func TestStalledPeerDoesNotBlockGroup(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{})
		leader := cl.leader(cl.members...)
		stalled, other := cl.others(leader)[0], cl.others(leader)[1]
		for _, each := range []*member{leader, other} {
			each.faults.Delay(stalled.address, time.Hour)
		}
		cl.propose(0, 2*maxQueuedMessages)
		c.Assert(leader.Read(cl.ctx), qt.IsNil)
		for _, each := range []*member{leader, other} {
			each.faults.Heal(stalled.address)
		}
		cl.assertConverged(2 * maxQueuedMessages)
	})
}

func TestReadReflectsEarlierProposals(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{})
		leader := cl.leader(cl.members...)
		for number := range 20 {
			cl.propose(number, 1)
			c.Assert(leader.Read(cl.ctx), qt.IsNil)
			c.Assert(leader.commands(), qt.HasLen, number+1)
		}
		const readers = 50
		answers := make(chan error)
		for range readers {
			go func() { answers <- leader.Read(cl.ctx) }()
		}
		for range readers {
			c.Assert(<-answers, qt.IsNil)
		}
	})
}

func TestConcurrentProposalsAreAppliedOnceInSameOrder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{SnapshotEntries: 50})
		leader := cl.leader(cl.members...)
		const proposers, each = 16, 20
		results := make(chan int)
		for proposer := range proposers {
			go func() {
				for number := range each {
					result, err := leader.Propose(cl.ctx, fmt.Appendf(nil, "%d/%d", proposer, number))
					if err != nil {
						result = 0
					}
					results <- result.(int)
				}
			}()
		}
		var positions []int
		for range proposers * each {
			positions = append(positions, <-results)
		}
		slices.Sort(positions)
		for number, position := range positions {
			c.Assert(position, qt.Equals, number+1)
		}
		expected := leader.commands()
		for _, follower := range cl.others(leader) {
			follower.waitFor("all commands", func(Status) bool { return len(follower.commands()) == len(expected) })
			c.Assert(follower.commands(), qt.DeepEquals, expected)
		}
	})
}

func TestLeadershipIsTransferred(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{})
		old := cl.leader(cl.members...)
		cl.propose(0, 1)
		c.Assert(old.TransferLeadership(cl.ctx), qt.IsNil)
		_, valid := old.LeaderLease()
		c.Assert(valid, qt.IsFalse)
		cl.propose(1, 1)
		cl.assertConverged(2)
	})
}

func TestJoinedNodeReplacesVoter(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{SnapshotEntries: 10})
		leader := cl.leader(cl.members...)
		cl.propose(0, 40)
		joining := cl.add(Options{})
		joining.knowsNoPeers = true
		joining.start()
		added := Member{Node: joining.node, Address: joining.address}
		c.Assert(structs.KindOf(leader.Promote(cl.ctx, added)), qt.Equals, structs.ErrorNotFound)
		c.Assert(leader.AddLearner(cl.ctx, added), qt.IsNil)
		leader.waitFor("the learner to catch up", func(status Status) bool { return status.Progress[joining.node].CaughtUp })
		c.Assert(leader.Promote(cl.ctx, added), qt.IsNil)
		removed := cl.others(leader)[0]
		c.Assert(leader.Remove(cl.ctx, Member{Node: removed.node}), qt.IsNil)
		removed.stop()
		cl.members = cl.others(removed)
		cl.propose(40, 5)
		cl.assertConverged(45)
		for _, each := range cl.members {
			membership := each.Status().Membership
			c.Assert(membership.Voters, qt.HasLen, 3)
			c.Assert(membership.HasVoter(joining.node), qt.IsTrue)
			c.Assert(each.Status().Addresses[joining.node], qt.Equals, joining.address)
		}
		// The address must survive a restart.
		other := cl.others(leader)[0]
		other.stop()
		other.start()
		c.Assert(leader.TransferLeadership(cl.ctx), qt.IsNil)
		cl.propose(45, 1)
		cl.assertConverged(46)
	})
}

func TestStorageFailureEndsRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{})
		leader := cl.leader(cl.members...)
		cl.propose(0, 3)
		c.Assert(leader.store.Close(), qt.IsNil)
		_, err := leader.Propose(cl.ctx, []byte("not durable here"))
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
		c.Assert(<-leader.runResult, qt.ErrorMatches, ".*writing .* failed.*")
		_, valid := leader.LeaderLease()
		c.Assert(valid, qt.IsFalse)
		_, err = leader.Propose(cl.ctx, []byte("too late"))
		c.Assert(err, qt.ErrorMatches, ".*is stopped.*nothing was done.*")
		cl.leader(cl.others(leader)...)
	})
}

func TestNewRejectsOptionsWithoutLease(t *testing.T) {
	c := qt.New(t)
	for _, options := range []Options{{ElectionTicks: 4, HeartbeatTicks: 1}, {ElectionTicks: 10, HeartbeatTicks: 6}} {
		_, err := New(log.NewNopLogger(), options)
		c.Check(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	}
}
