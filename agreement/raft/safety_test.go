package raft

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	seededRuns  = 150
	faultSteps  = 2500
	healedTicks = 200
)

// injectFault makes one random choice of fault, proposal, read, snapshot, transfer or
// membership change.
func (c *cluster) injectFault() {
	m := c.members[c.random.IntN(len(c.members))]
	other := c.members[c.random.IntN(len(c.members))]
	if leader := c.leader(); leader != nil && c.chance(0.3) {
		m = leader
	}
	switch choice := c.random.IntN(100); {
	case choice < 1:
		clear(c.blocked)
	case choice < 2:
		c.isolate(m.id, c.chance(0.5))
	case choice < 6:
		c.blocked[[2]NodeID{m.id, other.id}] = c.chance(0.5)
	case choice < 8 && m.node != nil:
		c.stop(m)
	case choice < 14 && m.node == nil:
		c.start(m)
	case m.node == nil:
	case choice < 17:
		if err := c.compact(m); err != nil {
			c.history.check(false, snapshotFaithful, "compact: %v", err)
		}
	case choice < 60:
		_, _, _ = m.node.Propose(fmt.Appendf(nil, "%d", c.now))
	case choice < 80:
		_ = c.read(m)
	case choice < 82:
		_ = m.node.TransferLeadership(other.id)
	case choice < 92:
		c.changeMembership(m, other.id)
	}
}

func without(ids []NodeID, id NodeID) []NodeID {
	return slices.DeleteFunc(slices.Clone(ids), func(other NodeID) bool { return other == id })
}

// changeMembership moves id to the next state of absent, learner, voter, absent.
func (c *cluster) changeMembership(m *member, id NodeID) {
	next := m.node.membership().sorted()
	switch {
	case next.HasVoter(id) && len(next.Voters) > 3:
		next.Voters = without(next.Voters, id)
	case next.HasLearner(id):
		next.Learners, next.Voters = without(next.Learners, id), append(next.Voters, id)
	case !next.Has(id):
		next.Learners = append(next.Learners, id)
	}
	_, _, _ = m.node.ProposeMembership(next)
}

// runWithFaults runs a cluster with seeded faults, heals it and checks that it makes
// progress.
func runWithFaults(seed uint64, mutate func(*Node), losesVotes bool) *history {
	return runWithDisks(seed, 1+int(seed%5)*2, mutate, losesVotes)
}

// runWithDisks is runWithFaults with disks that take up to the given number of steps for a write.
func runWithDisks(seed uint64, diskDelay int, mutate func(*Node), losesVotes bool) *history {
	c := newCluster(seed, 3+2*int(seed%2), 2)
	c.mutate, c.losesVotes = mutate, losesVotes
	c.loss, c.duplicate, c.crash = 0.05, 0.05, 0.001
	c.delay, c.diskDelay = 1+int(seed%12), diskDelay
	for range faultSteps {
		c.step()
		if c.chance(0.3) {
			c.injectFault()
		}
		if c.history.violated != "" {
			return c.history
		}
	}
	c.heal()
	c.ticks(healedTicks)
	leader := c.leader()
	c.history.check(leader != nil, progressAfterHealed, "no leader")
	if leader == nil {
		return c.history
	}
	index, _, err := leader.node.Propose([]byte("last"))
	c.history.check(err == nil, progressAfterHealed, "proposal rejected: %v", err)
	c.ticks(healedTicks / 2)
	c.history.check(uint64(len(c.history.committed)) >= index, progressAfterHealed, "entry %d not committed", index)
	for _, id := range leader.node.membership().all() {
		c.history.checkConverged(id, c.member(id).applied)
	}
	return c.history
}

func TestSeededFaultsKeepEveryCheck(t *testing.T) {
	committed, leaders, reads := 0, 0, 0
	for seed := range uint64(seededRuns) {
		h := runWithFaults(seed, nil, false)
		qt.Assert(t, h.violated, qt.Equals, "", qt.Commentf("seed %d: %s", seed, h.detail))
		committed += len(h.committed)
		leaders += len(h.leaders)
		reads += h.reads
	}
	t.Logf("%d runs: %d entries committed, %d terms with a leader, %d reads", seededRuns, committed, leaders, reads)
	qt.Assert(t, committed > 20*seededRuns, qt.IsTrue)
	qt.Assert(t, leaders > 2*seededRuns, qt.IsTrue)
	qt.Assert(t, reads > 2*seededRuns, qt.IsTrue)
}

// Disks whose writes last up to twice the election timeout must not break a check.
func TestSlowDisksKeepEveryCheck(t *testing.T) {
	committed := 0
	for seed := range uint64(seededRuns) {
		h := runWithDisks(seed, 1+int(seed%80), nil, false)
		qt.Assert(t, h.violated, qt.Equals, "", qt.Commentf("seed %d: %s", seed, h.detail))
		committed += len(h.committed)
	}
	t.Logf("%d runs: %d entries committed", seededRuns, committed)
}

// Guards against leaders that change with each write, if all disks need longer for it than an election
// timeout.
func TestSlowDisksKeepTheLeader(t *testing.T) {
	const writeTicks = 12 // The election timeout is 10.
	c := newCluster(3, 3, 0)
	c.ticks(40)
	leader, term := c.leader(), c.leader().node.Term()
	c.diskDelay = writeTicks * stepsPerTick
	c.diskIsUniform = true
	before := len(c.history.committed)
	for range 40 {
		_, _, err := leader.node.Propose([]byte("x"))
		qt.Assert(t, err, qt.IsNil)
		c.ticks(writeTicks)
		qt.Assert(t, leader.node.LeaseValid(), qt.IsTrue)
	}
	qt.Assert(t, leader.node.Role(), qt.Equals, Leader)
	qt.Assert(t, leader.node.Term(), qt.Equals, term)
	qt.Assert(t, len(c.history.committed)-before >= 30, qt.IsTrue, qt.Commentf("%d", len(c.history.committed)-before))
	qt.Assert(t, c.history.violated, qt.Equals, "", qt.Commentf(c.history.detail))
}

// TestChecksDetectFaultyNodes injects one protocol violation at a time, which a run
// must detect.
func TestChecksDetectFaultyNodes(t *testing.T) {
	cases := []struct {
		name       string
		mutate     func(*Node)
		losesVotes bool
		breaks     []string
	}{
		{name: "votes twice", mutate: func(n *Node) { n.vote = None }, breaks: []string{oneVote, electionSafety}},
		{name: "disk loses the vote", losesVotes: true, breaks: []string{oneVote, electionSafety}},
		{name: "leader commits alone", mutate: func(n *Node) {
			if n.role == Leader {
				n.log.commit = n.log.stable
			}
		}, breaks: []string{stateMachineSafety, leaderCompleteness, electionSafety}},
		{name: "reads without a quorum", mutate: func(n *Node) {
			n.leading.electedAt = n.now
			for _, read := range n.leading.reads {
				n.pending.readStates = append(n.pending.readStates, ReadState{read.context, read.index})
			}
			n.leading.reads = nil
		}, breaks: []string{readLinearizable}},
		{name: "never elects", mutate: func(n *Node) { n.electionElapsed = 0 }, breaks: []string{progressAfterHealed}},
		{name: "heartbeats before the term is stored", mutate: func(n *Node) { n.pending.durableTerm = n.term }, breaks: []string{heartbeatTermStored}},
		{name: "lease outlives the quorum", mutate: func(n *Node) {
			for _, p := range n.leading.progress {
				p.activeUntil = n.now + 100
			}
		}, breaks: []string{leaseExclusive}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(seededRuns) {
				if h := runWithFaults(seed, test.mutate, test.losesVotes); h.violated != "" {
					t.Logf("seed %d: %s: %s", seed, h.violated, h.detail)
					qt.Assert(t, test.breaks, qt.Contains, h.violated)
					return
				}
			}
			t.Fatal("no run detected the fault")
		})
	}
}

// TestChecksDetectInvalidHistory violates each check with a history of its own.
func TestChecksDetectInvalidHistory(t *testing.T) {
	entry := func(index, term uint64, data string) Entry {
		return Entry{Index: index, Term: term, Data: []byte(data)}
	}
	cases := []struct {
		check string
		spoil func(h *history)
	}{
		{electionSafety, func(h *history) { h.recordLeader(1, 2, &memoryLog{base: 1}); h.recordLeader(2, 2, &memoryLog{base: 1}) }},
		{oneVote, func(h *history) { h.recordVote(1, 2, 3); h.recordVote(1, 3, 3) }},
		{logMatching, func(h *history) { h.recordEntry(1, entry(2, 2, "a")); h.recordEntry(1, entry(2, 2, "b")) }},
		{logMatching, func(h *history) { h.recordEntry(1, entry(2, 2, "a")); h.recordEntry(2, entry(2, 2, "a")) }},
		{stateMachineSafety, func(h *history) { h.recordApply(2, entry(1, 1, "other"), 7) }},
		{stateMachineSafety, func(h *history) { h.recordApply(2, entry(1, 1, "first"), 8) }},
		{stateMachineSafety, func(h *history) { h.recordApply(2, entry(3, 1, "gap"), 9) }},
		{stateMachineSafety, func(h *history) { h.recordApply(2, entry(2, 1, "uncommitted"), 9) }},
		{stateMachineSafety, func(h *history) { h.recordCommit(2, position{1, 2}) }},
		{stateMachineSafety, func(h *history) { h.recordCommit(2, position{3, 1}) }},
		{leaderCompleteness, func(h *history) { h.recordLeader(1, 2, &memoryLog{}) }},
		{leaderCompleteness, func(h *history) { h.recordLeader(1, 2, &memoryLog{entries: []Entry{entry(1, 2, "other")}}) }},
		// The entry was committed before the election; its acknowledgement arrived late.
		{leaderCompleteness, func(h *history) { h.recordLeader(1, 3, &memoryLog{base: 1}); h.recordCommit(2, position{2, 1}) }},
		{leaderCompleteness, func(h *history) {
			h.recordCommit(4, position{2, 1})
			h.recordLeader(1, 3, &memoryLog{base: 1})
			h.recordCommit(2, position{2, 1})
		}},
		{snapshotFaithful, func(h *history) { h.recordRestore(1, 1, 8) }},
		{readLinearizable, func(h *history) { h.checkRead(1, 0) }},
		{leaseExclusive, func(h *history) { h.checkLeases(2) }},
		{heartbeatTermStored, func(h *history) { h.checkHeartbeat(Message{Kind: MessageHeartbeat, Term: 3}, 2) }},
		{heartbeatTermStored, func(h *history) { h.checkHeartbeat(Message{Kind: MessageAppendReply, Term: 2}, 2) }},
		{commitWithinLog, func(h *history) { h.checkStatus(Status{Commit: 2, LastIndex: 1}) }},
		{committedNeverLost, func(h *history) { h.checkConverged(3, 0) }},
	}
	for _, test := range cases {
		h := newHistory()
		h.recordCommit(1, position{1, 1})
		h.recordApply(1, entry(1, 1, "first"), 7)
		qt.Check(t, h.violated, qt.Equals, "")
		test.spoil(h)
		qt.Check(t, h.violated, qt.Equals, test.check, qt.Commentf("%s", h.detail))
	}
}

// A candidate of term 2 whose votes arrive late may become leader after term 3 has
// committed entries. Leader completeness does not require it to have them.
func TestLeaderOfEarlierTermMayLackLaterEntries(t *testing.T) {
	first := []Entry{{Index: 1, Term: 1}}
	for _, test := range []struct {
		name     string
		term     uint64
		log      memoryLog
		violated string
	}{
		{"earlier term without the later entry", 2, memoryLog{entries: first}, ""},
		{"earlier term without the earlier entry", 2, memoryLog{}, leaderCompleteness},
		{"later term without the later entry", 4, memoryLog{entries: first}, leaderCompleteness},
	} {
		h := newHistory()
		h.recordLeader(1, 1, &memoryLog{})
		h.recordCommits(1, &memoryLog{entries: first, commit: 1})
		h.recordLeader(3, 3, &memoryLog{entries: first})
		h.recordCommits(3, &memoryLog{entries: append(first, Entry{Index: 2, Term: 3}), commit: 2})
		h.recordLeader(2, test.term, &test.log)
		qt.Check(t, h.violated, qt.Equals, test.violated, qt.Commentf("%s: %s", test.name, h.detail))
	}
}
