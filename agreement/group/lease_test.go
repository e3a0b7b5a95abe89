package group

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// A process that was stopped and goes on has read no message yet, but its clock
// tells that the lease is over.
func TestPausedLeaderDoesNotBelieveItsOldLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 3, Options{})
		leader := cl.leader(cl.members...).Group
		leader.statusMutex.Lock()
		lease := leader.lease
		leader.statusMutex.Unlock()
		c.Assert(lease.start >= 0, qt.IsTrue)
		lease.held = true
		for _, test := range []struct {
			name  string
			pause time.Duration
			valid bool
		}{
			{"just short of the lease", leader.leaseDuration() - 1, true},
			{"the lease", leader.leaseDuration(), false},
			{"long", time.Hour, false},
		} {
			paused := &Group{options: leader.options, lease: lease}
			paused.now = func() time.Duration { return lease.start + test.pause }
			_, valid := paused.LeaderLease()
			c.Check(valid, qt.Equals, test.valid, qt.Commentf(test.name))
		}
		timeout := leader.electionTimeout()
		c.Assert(leader.leaseDuration() < timeout-leaseMarginTicks*leader.options.TickInterval, qt.IsTrue)
	})
}

// A process that stalls longer than its lease finds it renewed when it goes on. Who
// saw it over must be woken: nothing else may ever change in an idle group.
func TestRenewalOfALeaseThatHadRunOutIsSignalled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 0, Options{})
		alone := cl.add(Options{Bootstrap: raft.Membership{Voters: []raft.NodeID{1}}})
		alone.open()
		defer alone.client.Close()
		defer alone.store.Close()
		clock := time.Second
		alone.now = func() time.Duration { return clock }
		var senders sync.WaitGroup
		hurry{}.start(alone.Group)
		c.Assert(alone.process(cl.ctx, &senders), qt.IsNil)
		_, valid := alone.LeaderLease()
		c.Assert(valid, qt.IsTrue)

		clock += alone.leaseDuration()
		changed := alone.Applied()
		_, valid = alone.LeaderLease()
		c.Assert(valid, qt.IsFalse)
		c.Assert(alone.process(cl.ctx, &senders), qt.IsNil)
		_, valid = alone.LeaderLease()
		c.Assert(valid, qt.IsTrue)
		select {
		case <-changed:
		default:
			c.Fatal("nobody is told that the lease holds again")
		}
	})
}

// The lease counts from the moment before the oldest batch of the newest quorum.
func TestLeaseCountsFromTheQuorumsEchoesOfThisTerm(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name     string
		voters   []raft.NodeID
		echoes   map[raft.NodeID]acknowledgement
		expected time.Duration
	}{
		{"alone", []raft.NodeID{1}, nil, 100},
		{"no echo", []raft.NodeID{1, 2, 3}, nil, -1},
		{"one of two", []raft.NodeID{1, 2, 3}, map[raft.NodeID]acknowledgement{2: {70, 5}}, 70},
		{"the newer of two", []raft.NodeID{1, 2, 3}, map[raft.NodeID]acknowledgement{2: {70, 5}, 3: {90, 5}}, 90},
		{"an older term", []raft.NodeID{1, 2, 3}, map[raft.NodeID]acknowledgement{2: {70, 4}}, -1},
		{"no voter", []raft.NodeID{1, 2, 3}, map[raft.NodeID]acknowledgement{4: {70, 5}}, -1},
		{"both of three others", []raft.NodeID{1, 2, 3, 4}, map[raft.NodeID]acknowledgement{2: {70, 5}, 3: {90, 5}}, 70},
		{"leader is no voter", []raft.NodeID{2, 3}, map[raft.NodeID]acknowledgement{2: {70, 5}, 3: {90, 5}}, 70},
	} {
		g := &Group{options: Options{Node: 1}, now: func() time.Duration { return 100 }}
		g.loop.echoes.acknowledged = test.echoes
		status := raft.Status{Term: 5, Membership: raft.Membership{Voters: test.voters}}
		c.Check(g.leaseStart(status), qt.Equals, test.expected, qt.Commentf(test.name))
	}
}
