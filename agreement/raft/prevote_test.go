package raft

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Of two nodes that ask for pre-votes at the same time, the later in the order yields: granted at
// the same time, both would campaign and split the votes.
func TestPreCandidateYields(t *testing.T) {
	for _, test := range []struct {
		name    string
		request Message
		want    Role
	}{
		{"earlier in the order", Message{Kind: MessagePreVote, From: 1, Term: 6, Index: 5, LogTerm: 4}, Follower},
		{"with a log that is behind", Message{Kind: MessagePreVote, From: 1, Term: 6, Index: 4, LogTerm: 4}, PreCandidate},
		{"later in the order", Message{Kind: MessagePreVote, From: 3, Term: 6, Index: 5, LogTerm: 4}, PreCandidate},
		{"of an old term", Message{Kind: MessagePreVote, From: 1, Term: 4, Index: 5, LogTerm: 3}, PreCandidate},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newVoter(t)
			n.id, n.config.ID = 2, 2
			n.startPreVote()
			test.request.To = 2
			qt.Assert(t, n.Step(test.request), qt.IsNil)
			qt.Assert(t, n.Role(), qt.Equals, test.want)
			qt.Assert(t, n.Term(), qt.Equals, uint64(5))
		})
	}
}

// A node that yielded to one that cannot win asks again within few ticks.
func TestPreCandidateThatYieldedAsksAgain(t *testing.T) {
	n := newVoter(t)
	n.id, n.config.ID = 2, 2
	n.startPreVote()
	qt.Assert(t, n.Step(Message{Kind: MessagePreVote, From: 1, To: 2, Term: 6, Index: 5, LogTerm: 4}), qt.IsNil)
	for range 2 * preVoteRetryTicks {
		n.Tick()
	}
	qt.Assert(t, n.Role(), qt.Equals, PreCandidate)
}

// Voters that restart while the first of the order stay off campaign without waiting for them.
func TestRestartedVotersDoNotWaitForThoseThatAreOff(t *testing.T) {
	const seeds = 100
	for seed := range uint64(seeds) {
		c := newCluster(seed, 5, 0)
		c.ticks(60)
		for _, m := range c.members {
			c.stop(m)
		}
		for _, m := range c.members[2:] {
			c.start(m)
		}
		took := c.ticksToLeader(t, None, 60)
		// The election timeout of 10 ticks, 3 until the third in the order asks, and 3 for the votes.
		qt.Check(t, took <= 16, qt.IsTrue, qt.Commentf("seed %d took %d ticks", seed, took))
	}
}
