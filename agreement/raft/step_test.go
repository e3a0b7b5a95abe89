package raft

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

// newVoter returns node 1 of three voters, in term 5, with entries of terms 1 1 2 2 4 of
// which two are applied. The node has not heard from a leader recently.
func newVoter(t testing.TB) *Node {
	restored := Restored{
		HardState: HardState{Term: 5, Commit: 2},
		Snapshot:  Snapshot{Membership: Membership{Voters: []NodeID{1, 2, 3}}},
	}
	for i, term := range []uint64{1, 1, 2, 2, 4} {
		restored.Entries = append(restored.Entries, Entry{Index: uint64(i + 1), Term: term})
	}
	config := Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 1, Random: rand.New(rand.NewPCG(1, 1))}
	n, err := New(config, restored)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n.Ready().Committed, qt.HasLen, 2)
	n.Advance()
	n.ticksSinceLeader = config.ElectionTicks
	return n
}

func TestStepAnswers(t *testing.T) {
	whole := &Snapshot{Index: 9, Term: 5, Membership: Membership{Voters: []NodeID{2}}}
	cases := []struct {
		name     string
		sent     Message
		answered Message
		commit   uint64 // 2 when left at 0
	}{
		{"vote for a complete log", Message{Kind: MessageVote, Term: 6, Index: 5, LogTerm: 4}, Message{Kind: MessageVoteReply, Term: 6}, 0},
		{"vote in the current term", Message{Kind: MessageVote, Term: 5, Index: 5, LogTerm: 4}, Message{Kind: MessageVoteReply, Term: 5}, 0},
		{"no vote for a shorter log", Message{Kind: MessageVote, Term: 6, Index: 4, LogTerm: 4}, Message{Kind: MessageVoteReply, Term: 6, Reject: true}, 0},
		{"no vote for an older log", Message{Kind: MessageVote, Term: 6, Index: 9, LogTerm: 3}, Message{Kind: MessageVoteReply, Term: 6, Reject: true}, 0},
		{"pre-vote keeps the term", Message{Kind: MessagePreVote, Term: 6, Index: 5, LogTerm: 4}, Message{Kind: MessagePreVoteReply, Term: 6}, 0},
		{"pre-vote of an old term", Message{Kind: MessagePreVote, Term: 4}, Message{Kind: MessagePreVoteReply, Term: 5, Reject: true}, 0},
		{"append that matches", Message{Kind: MessageAppend, Term: 5, Index: 5, LogTerm: 4, Entries: []Entry{{Term: 5, Index: 6}}}, Message{Kind: MessageAppendReply, Term: 5, Index: 6}, 0},
		{"append that truncates", Message{Kind: MessageAppend, Term: 5, Index: 3, LogTerm: 2, Entries: []Entry{{Term: 3, Index: 4}}}, Message{Kind: MessageAppendReply, Term: 5, Index: 4}, 0},
		{"append beyond the end of the log", Message{Kind: MessageAppend, Term: 5, Index: 9, LogTerm: 5}, Message{Kind: MessageAppendReply, Term: 5, Index: 9, Reject: true, Hint: 5, LogTerm: 4}, 0},
		{"rejection hint skips terms", Message{Kind: MessageAppend, Term: 5, Index: 5, LogTerm: 1}, Message{Kind: MessageAppendReply, Term: 5, Index: 5, Reject: true, Hint: 2, LogTerm: 1}, 0},
		{"append commits only matching entries", Message{Kind: MessageAppend, Term: 5, Index: 3, LogTerm: 2, Commit: 5}, Message{Kind: MessageAppendReply, Term: 5, Index: 3}, 3},
		{"append before the commit index", Message{Kind: MessageAppend, Term: 5, Index: 1, LogTerm: 1}, Message{Kind: MessageAppendReply, Term: 5, Index: 2}, 0},
		{"append of an old term", Message{Kind: MessageAppend, Term: 4, Index: 1, LogTerm: 1}, Message{Kind: MessageAppendReply, Term: 5, Reject: true, Index: 1, Hint: 2}, 0},
		{"heartbeat", Message{Kind: MessageHeartbeat, Term: 5, Context: 7, Commit: math.MaxInt32}, Message{Kind: MessageHeartbeatReply, Term: 5, Context: 7, Commit: 5}, 5},
		{"snapshot that matches the log", Message{Kind: MessageSnapshot, Term: 5, Snapshot: &Snapshot{Index: 4, Term: 2, Membership: whole.Membership}}, Message{Kind: MessageSnapshotReply, Term: 5, Index: 4}, 4},
		{"snapshot below the commit index", Message{Kind: MessageSnapshot, Term: 5, Snapshot: &Snapshot{Index: 1, Term: 2, Membership: whole.Membership}}, Message{Kind: MessageSnapshotReply, Term: 5, Index: 2}, 0},
		{"snapshot", Message{Kind: MessageSnapshot, Term: 5, Snapshot: whole}, Message{Kind: MessageSnapshotReply, Term: 5, Index: 9}, 9},
	}
	for _, test := range cases {
		n := newVoter(t)
		test.sent.From, test.sent.To = 2, 1
		test.answered.From, test.answered.To = 1, 2
		qt.Check(t, n.Step(test.sent), qt.IsNil, qt.Commentf(test.name))
		ready := n.Ready()
		qt.Check(t, ready.Messages, qt.DeepEquals, []Message{test.answered}, qt.Commentf(test.name))
		qt.Check(t, n.Status().Commit, qt.Equals, max(test.commit, 2), qt.Commentf(test.name))
		qt.Check(t, ready.Snapshot != nil, qt.Equals, test.sent.Snapshot == whole, qt.Commentf(test.name))
		if test.answered.Kind == MessageVoteReply && !test.answered.Reject {
			qt.Check(t, ready.MustSync && ready.HardState.Vote == 2, qt.IsTrue, qt.Commentf(test.name))
		}
	}
}

func TestStepRejectsMalformedMessages(t *testing.T) {
	for name, m := range map[string]Message{
		"unknown kind":                  {Kind: MessageTimeoutNow + 1, From: 2, To: 1, Term: 5},
		"another receiver":              {Kind: MessageHeartbeat, From: 2, To: 3, Term: 5},
		"own message":                   {Kind: MessageHeartbeat, From: 1, To: 1, Term: 5},
		"no term":                       {Kind: MessageHeartbeat, From: 2, To: 1},
		"second leader of the term":     {Kind: MessageHeartbeat, From: 3, To: 1, Term: 5},
		"term out of range":             {Kind: MessageVote, From: 2, To: 1, Term: math.MaxUint64},
		"index out of range":            {Kind: MessageAppend, From: 2, To: 1, Term: 5, Index: math.MaxUint64},
		"no snapshot":                   {Kind: MessageSnapshot, From: 2, To: 1, Term: 5},
		"empty snapshot":                {Kind: MessageSnapshot, From: 2, To: 1, Term: 5, Snapshot: &Snapshot{}},
		"gap in entries":                {Kind: MessageAppend, From: 2, To: 1, Term: 5, Index: 5, LogTerm: 4, Entries: []Entry{{Index: 7, Term: 5}}},
		"falling terms":                 {Kind: MessageAppend, From: 2, To: 1, Term: 5, Index: 5, LogTerm: 4, Entries: []Entry{{Index: 6, Term: 3}}},
		"invalid membership":            {Kind: MessageAppend, From: 2, To: 1, Term: 5, Index: 5, LogTerm: 4, Entries: []Entry{{Index: 6, Term: 5, Kind: EntryMembership}}},
		"conflict with committed entry": {Kind: MessageAppend, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 3}}},
	} {
		n := newVoter(t)
		n.leader = 2
		qt.Check(t, structs.KindOf(n.Step(m)), qt.Equals, structs.ErrorInvalid, qt.Commentf(name))
		qt.Check(t, n.HasReady(), qt.IsFalse, qt.Commentf(name))
	}
}

func TestNewRejectsCorruptState(t *testing.T) {
	config := newVoter(t).config
	for name, restored := range map[string]Restored{
		"commit beyond the log":  {HardState: HardState{Term: 1, Commit: 1}},
		"gap":                    {HardState: HardState{Term: 1}, Entries: []Entry{{Index: 2, Term: 1}}},
		"entry of a later term":  {HardState: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 2}}},
		"invalid snapshot":       {HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1}},
		"member listed twice":    {Snapshot: Snapshot{Membership: Membership{Voters: []NodeID{1, 1}}}},
		"snapshot of later term": {Snapshot: Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: []NodeID{1}}}},
	} {
		_, err := New(config, restored)
		qt.Check(t, structs.KindOf(err), qt.Equals, structs.ErrorCorrupt, qt.Commentf(name))
	}
	config.ElectionTicks = config.HeartbeatTicks
	_, err := New(config, Restored{})
	qt.Check(t, structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
}

// TestOnlyCurrentTermEntriesAreCommittedByCounting tests figure 8 of the Raft paper.
func TestOnlyCurrentTermEntriesAreCommittedByCounting(t *testing.T) {
	n := newVoter(t)
	n.history[0].index = 1
	n.startElection(false)
	qt.Assert(t, n.Step(Message{Kind: MessageVoteReply, From: 2, To: 1, Term: 6}), qt.IsNil)
	ready := n.Ready()
	qt.Assert(t, ready.MustSync, qt.IsTrue)
	qt.Assert(t, n.Step(Message{Kind: MessageAppendReply, From: 2, To: 1, Term: 6, Index: 5}), qt.IsNil)
	qt.Assert(t, n.Ready(), qt.DeepEquals, Ready{}, qt.Commentf("Ready returned work before Advance"))
	n.Advance()
	qt.Assert(t, n.Status().Commit, qt.Equals, uint64(2))
	_, _, err := n.ProposeMembership(Membership{Voters: []NodeID{1, 2}})
	qt.Assert(t, structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
	qt.Assert(t, n.Step(Message{Kind: MessageAppendReply, From: 2, To: 1, Term: 6, Index: 6}), qt.IsNil)
	qt.Assert(t, n.Status().Commit, qt.Equals, uint64(6))
	qt.Assert(t, n.Ready().Entries, qt.HasLen, 0, qt.Commentf("Ready returned entries twice"))
}

func TestLeaseStartsAtHeartbeatSend(t *testing.T) {
	for ticks, valid := range map[int]bool{0: true, 7: true, 8: false, 9: false} {
		n := newVoter(t)
		n.startElection(false)
		qt.Assert(t, n.Step(Message{Kind: MessageVoteReply, From: 2, To: 1, Term: 6}), qt.IsNil)
		for range ticks {
			n.Tick()
		}
		qt.Assert(t, n.LeaseValid(), qt.IsFalse)
		qt.Assert(t, n.Step(Message{Kind: MessageHeartbeatReply, From: 2, To: 1, Term: 6, Context: 1}), qt.IsNil)
		qt.Check(t, n.LeaseValid(), qt.Equals, valid, qt.Commentf("%d ticks", ticks))
	}
}

func TestStalePreVoteGrantIsNotCounted(t *testing.T) {
	n := newVoter(t)
	n.startPreVote()
	qt.Assert(t, n.Step(Message{Kind: MessagePreVoteReply, From: 2, To: 1, Term: 5}), qt.IsNil)
	qt.Assert(t, n.Role(), qt.Equals, PreCandidate)
	qt.Assert(t, n.Step(Message{Kind: MessagePreVoteReply, From: 3, To: 1, Term: 6}), qt.IsNil)
	qt.Assert(t, n.Role(), qt.Equals, Candidate)
}

// TestAdvanceConfirmsOnlyReturnedReady replaces the log between Ready and
// Advance.
func TestAdvanceConfirmsOnlyReturnedReady(t *testing.T) {
	n := newVoter(t)
	old := []Entry{{Index: 6, Term: 5}, {Index: 7, Term: 5}, {Index: 8, Term: 5}}
	qt.Assert(t, n.Step(Message{Kind: MessageAppend, From: 2, To: 1, Term: 5, Index: 5, LogTerm: 4, Entries: old}), qt.IsNil)
	handed := n.Ready().Entries
	snapshot := &Snapshot{Index: 6, Term: 6, Membership: Membership{Voters: []NodeID{1, 2, 3}}}
	qt.Assert(t, n.Step(Message{Kind: MessageSnapshot, From: 3, To: 1, Term: 6, Snapshot: snapshot}), qt.IsNil)
	renewed := []Entry{{Index: 7, Term: 6}}
	qt.Assert(t, n.Step(Message{Kind: MessageAppend, From: 3, To: 1, Term: 6, Index: 6, LogTerm: 6, Entries: renewed}), qt.IsNil)
	n.Advance()
	ready := n.Ready()
	qt.Assert(t, ready.Entries, qt.DeepEquals, renewed)
	qt.Assert(t, ready.Snapshot, qt.DeepEquals, snapshot)
	n.truncateFrom(7)
	n.appendEntries([]Entry{{Index: 7, Term: 7}})
	qt.Assert(t, [][]Entry{handed, ready.Entries}, qt.DeepEquals, [][]Entry{old, renewed}, qt.Commentf("entries of an earlier Ready changed"))
}

// Guards against a read that is confirmed by replies to heartbeats from before it was requested.
func TestReadAfterEarlyHeartbeatsStartsARound(t *testing.T) {
	n := newVoter(t)
	n.startPreVote()
	qt.Assert(t, n.Step(Message{Kind: MessagePreVoteReply, From: 2, To: 1, Term: 6}), qt.IsNil)
	qt.Assert(t, n.Step(Message{Kind: MessageVoteReply, From: 2, To: 1, Term: 6}), qt.IsNil)
	qt.Assert(t, n.Role(), qt.Equals, Leader)
	n.Ready()
	n.Advance()
	_, _, err := n.Propose([]byte("written slowly"))
	qt.Assert(t, err, qt.IsNil)
	n.Ready()
	for range n.config.HeartbeatTicks {
		n.Tick()
	}
	early := n.TakeHeartbeats()
	qt.Assert(t, early, qt.HasLen, 2)
	qt.Assert(t, n.TakeHeartbeats(), qt.HasLen, 0)
	round := early[0].Context
	qt.Assert(t, n.Step(Message{Kind: MessageHeartbeatReply, From: 2, To: 1, Term: 6, Context: round}), qt.IsNil)
	n.Advance()
	qt.Assert(t, n.ReadIndex(7), qt.IsNil)
	ready := n.Ready()
	qt.Assert(t, ready.ReadStates, qt.HasLen, 0)
	rounds := 0
	for _, message := range ready.Messages {
		if message.Kind == MessageHeartbeat {
			qt.Assert(t, message.Context > round, qt.IsTrue)
			rounds++
		}
	}
	qt.Assert(t, rounds, qt.Equals, 2)
}

// TestUncommittedRemovalKeepsVote checks that a node votes until its removal is
// committed, because the removal may be truncated.
func TestUncommittedRemovalKeepsVote(t *testing.T) {
	n := newVoter(t)
	removal := Entry{Index: 6, Term: 5, Kind: EntryMembership, Data: EncodeMembership(Membership{Voters: []NodeID{2, 3}})}
	n.appendEntries([]Entry{removal})
	qt.Assert(t, n.Role(), qt.Equals, Learner)
	request := Message{Kind: MessagePreVote, From: 2, To: 1, Term: 6, Index: 6, LogTerm: 5}
	qt.Assert(t, n.Step(request), qt.IsNil)
	qt.Assert(t, n.Ready().Messages, qt.HasLen, 1)
	n.Advance()
	n.log.commitTo(6)
	qt.Assert(t, n.Step(request), qt.IsNil)
	qt.Assert(t, n.Ready().Messages, qt.HasLen, 0)
}

// fuzzNumbers are the numeric values of fuzzed messages.
var fuzzNumbers = []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, maxPosition - 1, maxPosition, maxPosition + 1, math.MaxUint64}

// FuzzStep applies arbitrary messages, ticks and proposals. The node must not panic,
// and committed entries must not change.
func FuzzStep(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 4, 2, 1, 5, 4, 5, 1, 5, 0, 6, 1})
	f.Add([]byte{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 3, 6, 2, 1, 6, 0, 0, 0, 0, 0, 0, 2, 4})
	f.Fuzz(func(t *testing.T, data []byte) {
		n := newVoter(t)
		number := func() uint64 {
			if len(data) == 0 {
				return 0
			}
			value := fuzzNumbers[int(data[0])%len(fuzzNumbers)]
			data = data[1:]
			return value
		}
		applied, term := uint64(2), uint64(5)
		for len(data) > 0 {
			switch number() {
			case 1:
				n.Tick()
			case 2:
				_, _, _ = n.Propose(nil)
				_ = n.ReadIndex(number())
				_ = n.TransferLeadership(NodeID(number()))
			case 3:
				_, _, _ = n.ProposeMembership(Membership{Voters: []NodeID{1, 2, 3}, Learners: []NodeID{NodeID(number())}})
			case 4:
				entryTerm, _ := n.log.term(n.log.applied)
				_ = n.Compact(Snapshot{Index: n.log.applied, Term: entryTerm, Membership: n.MembershipAt(n.log.applied)})
			default:
				_ = n.Step(fuzzMessage(number))
			}
			status := n.Status()
			qt.Assert(t, status.Term >= term && status.Commit <= status.LastIndex, qt.IsTrue, qt.Commentf("%+v", status))
			term = status.Term
			ready := n.Ready()
			if ready.Snapshot != nil {
				qt.Assert(t, ready.Snapshot.Index > applied, qt.IsTrue)
				applied = ready.Snapshot.Index
			}
			for _, entry := range ready.Committed {
				applied++
				qt.Assert(t, entry.Index, qt.Equals, applied)
			}
			n.Advance()
		}
	})
}

func fuzzMessage(number func() uint64) Message {
	m := Message{
		Kind: MessageKind(number()), From: NodeID(number()), To: 1, Term: number(), Index: number(), LogTerm: number(),
		Commit: number(), Hint: number(), Context: number(), Reject: number() == 1, Transfer: number() == 1,
	}
	for range number() % 4 {
		m.Entries = append(m.Entries, Entry{Index: number(), Term: number(), Kind: EntryKind(number())})
	}
	if number() == 1 {
		m.Snapshot = &Snapshot{Index: number(), Term: number(), Membership: Membership{Voters: []NodeID{NodeID(number())}}}
	}
	return m
}
