package group

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// A process that resumes after a pause must see its lease expired before it has read any
// message.
func TestPausedLeaderSeesLeaseExpired(t *testing.T) {
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
			{"just below the lease duration", leader.leaseDuration() - 1, true},
			{"exactly the lease duration", leader.leaseDuration(), false},
			{"much longer than the lease", time.Hour, false},
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

// A lease that expired and was renewed must signal waiters that saw it expired, because
// nothing else may change in an idle group.
func TestRenewalOfExpiredLeaseIsSignaled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, 0, Options{})
		single := cl.add(Options{Bootstrap: raft.Membership{Voters: []raft.NodeID{1}}})
		single.open()
		defer single.client.Close()
		defer single.store.Close()
		clock := time.Second
		single.now = func() time.Duration { return clock }
		var senders sync.WaitGroup
		electNow{}.start(single.Group)
		c.Assert(single.process(cl.ctx, &senders), qt.IsNil)
		_, valid := single.LeaderLease()
		c.Assert(valid, qt.IsTrue)

		clock += single.leaseDuration()
		changed := single.Changed()
		_, valid = single.LeaderLease()
		c.Assert(valid, qt.IsFalse)
		c.Assert(single.process(cl.ctx, &senders), qt.IsNil)
		_, valid = single.LeaderLease()
		c.Assert(valid, qt.IsTrue)
		select {
		case <-changed:
		default:
			c.Fatal("the renewed lease was not signaled")
		}
	})
}

// The lease starts at the oldest reading of the quorum with the newest echoes.
func TestLeaseStartsAtQuorumEchoOfCurrentTerm(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name     string
		voters   []raft.NodeID
		echoes   map[raft.NodeID]clockReading
		expected time.Duration
	}{
		{"single voter", []raft.NodeID{1}, nil, 100},
		{"no echo", []raft.NodeID{1, 2, 3}, nil, -1},
		{"one of two", []raft.NodeID{1, 2, 3}, map[raft.NodeID]clockReading{2: {70, 5}}, 70},
		{"the newer of two", []raft.NodeID{1, 2, 3}, map[raft.NodeID]clockReading{2: {70, 5}, 3: {90, 5}}, 90},
		{"an older term", []raft.NodeID{1, 2, 3}, map[raft.NodeID]clockReading{2: {70, 4}}, -1},
		{"echo of a non-voter", []raft.NodeID{1, 2, 3}, map[raft.NodeID]clockReading{4: {70, 5}}, -1},
		{"both of three others", []raft.NodeID{1, 2, 3, 4}, map[raft.NodeID]clockReading{2: {70, 5}, 3: {90, 5}}, 70},
		{"leader is not a voter", []raft.NodeID{2, 3}, map[raft.NodeID]clockReading{2: {70, 5}, 3: {90, 5}}, 70},
	} {
		g := &Group{options: Options{Node: 1}, now: func() time.Duration { return 100 }}
		g.loop.echoes.acknowledged = test.echoes
		status := raft.Status{Term: 5, Membership: raft.Membership{Voters: test.voters}}
		c.Check(g.leaseStart(status), qt.Equals, test.expected, qt.Commentf(test.name))
	}
}
