package raft

import (
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// Node is one member of a Raft group, created by New.
type Node struct {
	config Config
	id     NodeID

	role   Role
	term   uint64
	vote   NodeID
	leader NodeID

	log     memoryLog
	history membershipHistory
	// snapshot is the latest snapshot, sent to members that need compacted entries.
	snapshot Snapshot

	// now counts the ticks since New.
	now              uint64
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	// ticksSinceLeader counts the ticks since the last message of a leader, up to
	// ElectionTicks.
	ticksSinceLeader int
	// writeTicks is how long a write to the store takes; see SetWriteTicks.
	writeTicks int
	// votes holds the replies of the current election, by voter.
	votes map[NodeID]bool

	leading leaderState
	pending pendingReady
	scratch []uint64
}

// leaderState is the state that only a leader maintains.
type leaderState struct {
	progress map[NodeID]*progress
	// peers lists the keys of progress in ascending order.
	peers []NodeID
	// firstIndex is the index of the first entry of this term; electedAt is in ticks.
	firstIndex uint64
	electedAt  uint64
	appendDue  bool

	round       uint64
	roundQueued bool
	roundTicks  []roundTick
	reads       []readRequest

	transferee      NodeID
	transferElapsed int
	// transferSent is set once MessageTimeoutNow was sent to the transferee.
	transferSent bool
}

// New returns a node that starts from the restored state. The error is a
// *structs.Error of kind invalid (config) or corrupt (restored state).
func New(config Config, restored Restored) (*Node, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	n := &Node{config: config, id: config.ID}
	if err := n.restoreState(restored); err != nil {
		return nil, err
	}
	n.ticksSinceLeader = config.ElectionTicks
	if n.term > 0 {
		n.ticksSinceLeader = 0
	}
	n.becomeFollower(n.term, None)
	if n.term > 0 {
		n.setStaggeredTimeout(restartStaggerTicks)
	}
	return n, nil
}

func (n *Node) restoreState(restored Restored) error {
	snapshot := restored.Snapshot
	if snapshot.Index > 0 && !snapshot.valid() {
		return errCorruptState("snapshot has no term or no valid membership")
	}
	if !snapshot.Membership.empty() && !snapshot.Membership.valid() {
		return errCorruptState("membership has no voter or a duplicate ID")
	}
	n.snapshot = snapshot
	n.term, n.vote = restored.HardState.Term, restored.HardState.Vote
	n.log = memoryLog{base: snapshot.Index, baseTerm: snapshot.Term}
	n.history = membershipHistory{{index: snapshot.Index, membership: snapshot.Membership.sorted()}}
	entries := restored.Entries
	for len(entries) > 0 && entries[0].Index <= snapshot.Index {
		entries = entries[1:]
	}
	if err := validateEntries(entries, snapshot.Index, snapshot.Term, n.term); err != nil {
		return errCorruptState(err.Error())
	}
	if snapshot.Term > n.term {
		return errCorruptState("snapshot term is above the term of the hard state")
	}
	n.appendEntries(entries)
	n.log.stable = n.log.last()
	if restored.HardState.Commit > n.log.last() {
		return errCorruptState("commit index is beyond the end of the log")
	}
	n.log.commit = max(snapshot.Index, restored.HardState.Commit)
	n.log.applied = snapshot.Index
	n.pending.hardState, n.pending.durableTerm = restored.HardState, restored.HardState.Term
	return nil
}

func errCorruptState(message string) error {
	return structs.NewError(structs.ErrorCorrupt, "stored raft state is invalid: "+message,
		"Remove this member and add it again with an empty disk under a new node ID.")
}

// Tick advances the node's logical clock by one tick.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.ticksSinceLeader = min(n.ticksSinceLeader+1, n.config.ElectionTicks)
	n.electionElapsed++
	if n.electionElapsed < n.electionTimeout {
		return
	}
	n.resetElectionTimer()
	if n.mayCampaign() {
		n.setPreVoteTimeout()
		n.startPreVote()
	}
}

func (n *Node) tickLeader() {
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.config.HeartbeatTicks {
		n.broadcastHeartbeat()
		n.retrySnapshots()
		n.dropRemovedMembers()
	}
	if n.quorumLost() {
		n.becomeFollower(n.term, None)
		return
	}
	n.tickTransfer()
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.config.ElectionTicks + n.config.Random.IntN(n.config.ElectionTicks)
}

// maxWriteTimeouts bounds, in election timeouts, the write time for which an election waits, so that a
// write that hung once does not delay the next leader for long.
const maxWriteTimeouts = 3

// SetWriteTicks sets how long a write to the store takes at present, in ticks. An election waits that
// much longer for votes, since candidate and voter each write before they go on: with disks that need
// an election timeout for a write, no election would end otherwise.
func (n *Node) SetWriteTicks(ticks int) {
	n.writeTicks = min(ticks, maxWriteTimeouts*n.config.ElectionTicks)
}

// awaitVotes resets the election timer for the time of an election.
func (n *Node) awaitVotes() {
	n.resetElectionTimer()
	n.electionTimeout += 2 * n.writeTicks
}

const (
	// staggerTicks is the delay between the first election timeouts of successive voters,
	// long enough for an election to end before the next voter campaigns.
	staggerTicks = 3
	// restartStaggerTicks is the same after a restart. Voters that restart together do so at
	// different times, and the first of the order may be off, so that a longer delay costs more
	// than the few split votes that yieldsTo leaves.
	restartStaggerTicks = 1
	// preVoteRetryTicks is the minimum delay between pre-votes. One that is sent too early
	// gets no reply.
	preVoteRetryTicks = 3
)

// setStaggeredTimeout sets the election timeout by the node's rank among the voters other
// than the leader, which makes split votes rare. Later timeouts are random.
func (n *Node) setStaggeredTimeout(stagger int) {
	rank := 0
	for _, id := range n.membership().Voters {
		if id < n.id && id != n.leader {
			rank++
		}
	}
	n.electionElapsed = 0
	n.electionTimeout = n.config.ElectionTicks + 1 + min(rank*stagger, n.config.ElectionTicks-1)
}

// setPreVoteTimeout sets the election timeout to the time of the next pre-vote.
func (n *Node) setPreVoteTimeout() {
	n.electionTimeout = preVoteRetryTicks + n.config.Random.IntN(preVoteRetryTicks)
}

func (n *Node) becomeFollower(term uint64, leader NodeID) {
	if term != n.term {
		n.term = term
		n.vote = None
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.leading = leaderState{}
	n.resetElectionTimer()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.votes = nil
	n.ticksSinceLeader = n.config.ElectionTicks
	n.leading = leaderState{
		progress:   make(map[NodeID]*progress),
		firstIndex: n.log.last() + 1,
		electedAt:  n.now,
	}
	n.refreshProgress()
	n.appendEntries([]Entry{n.firstEntry()})
	n.leading.appendDue = true
	n.broadcastHeartbeat()
}

// firstEntry returns the entry that a new leader appends: a no-op, or, for the first
// leader of a group, the initial membership, so that it is in the log.
func (n *Node) firstEntry() Entry {
	entry := Entry{Term: n.term, Index: n.leading.firstIndex, Kind: EntryNoop}
	if n.history.current().index == 0 {
		entry.Kind = EntryMembership
		entry.Data = EncodeMembership(n.membership())
	}
	return entry
}

// membership returns the membership in effect: the last in the log, committed or not.
func (n *Node) membership() Membership { return n.history.current().membership }

func (n *Node) isVoter() bool { return n.membership().HasVoter(n.id) }

// appendEntries appends entries, which must be valid, to the log.
func (n *Node) appendEntries(entries []Entry) {
	n.log.append(entries...)
	changed := false
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		if membership, err := DecodeMembership(entry.Data); err == nil {
			n.history = append(n.history, membershipRecord{entry.Index, membership.sorted()})
			changed = true
		}
	}
	if changed && n.role == Leader {
		n.refreshProgress()
	}
}

// truncateFrom removes the entries at and after index, and their memberships.
func (n *Node) truncateFrom(index uint64) {
	n.log.truncateFrom(index)
	n.history.truncateFrom(index)
	n.pending.truncateFrom(index)
}

// quorumValue returns the highest value that a majority of the voters has reached, or 0
// without voters.
func (n *Node) quorumValue(valueOf func(id NodeID) uint64) uint64 {
	voters := n.membership().Voters
	if len(voters) == 0 {
		return 0
	}
	n.scratch = n.scratch[:0]
	for _, id := range voters {
		n.scratch = append(n.scratch, valueOf(id))
	}
	slices.Sort(n.scratch)
	return n.scratch[(len(voters)-1)/2]
}

func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	n.pending.messages = append(n.pending.messages, m)
}
