package raft

import (
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// Node is one member of a raft group. Use New to make one.
type Node struct {
	config Config
	id     NodeID

	role   Role
	term   uint64
	vote   NodeID
	leader NodeID

	log     memoryLog
	history membershipHistory
	// snapshot is the newest one, sent to members that need dropped entries.
	snapshot Snapshot

	// now counts the ticks since New.
	now              uint64
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	// silence is the ticks since a leader was last heard, up to ElectionTicks.
	silence int
	// votes holds the answers of the current election.
	votes map[NodeID]bool

	leading leadership
	pending pendingReady
	scratch []uint64
}

// leadership is the state that only a leader has.
type leadership struct {
	progress map[NodeID]*progress
	// peers lists the keys of progress in order.
	peers []NodeID
	// firstIndex is the index of the noop of this term; electedAt is in ticks.
	firstIndex uint64
	electedAt  uint64
	appendDue  bool

	round       uint64
	roundQueued bool
	roundTicks  []roundTick
	reads       []readRequest

	transferee      NodeID
	transferElapsed int
	// transferSent is set once the transferee was told to start an election.
	transferSent bool
}

// New makes a node from what the shell found on its disk. The error is a
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
	n.silence = config.ElectionTicks
	if n.term > 0 {
		n.silence = 0
	}
	n.becomeFollower(n.term, None)
	if n.term > 0 {
		n.awaitTurn()
	}
	return n, nil
}

func (n *Node) restoreState(restored Restored) error {
	snapshot := restored.Snapshot
	if snapshot.Index > 0 && !snapshot.valid() {
		return errCorruptState("snapshot has no term or no valid membership")
	}
	if !snapshot.Membership.empty() && !snapshot.Membership.valid() {
		return errCorruptState("membership lists no voter or an ID twice")
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
		return errCorruptState("snapshot is of a later term than the hard state")
	}
	n.appendEntries(entries)
	n.log.stable = n.log.last()
	if restored.HardState.Commit > n.log.last() {
		return errCorruptState("commit index is past the log")
	}
	n.log.commit = max(snapshot.Index, restored.HardState.Commit)
	n.log.applied = snapshot.Index
	n.pending.hardState = restored.HardState
	return nil
}

func errCorruptState(message string) error {
	return structs.NewError(structs.ErrorCorrupt, "stored raft state is not usable: "+message,
		"Remove this member and add it again with an empty disk under a new node ID.")
}

// Tick advances the node's clock by one tick.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.silence = min(n.silence+1, n.config.ElectionTicks)
	n.electionElapsed++
	if n.electionElapsed < n.electionTimeout {
		return
	}
	n.resetElectionTimer()
	if n.mayCampaign() {
		n.awaitPreVote()
		n.startPreVote()
	}
}

func (n *Node) tickLeader() {
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.config.HeartbeatTicks {
		n.broadcastHeartbeat()
		n.retrySnapshots()
		n.forgetDeparted()
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

const (
	// turnTicks separate the turns in which the voters campaign when their leader falls
	// silent, or after a restart: the first has won before the second begins.
	turnTicks = 3
	// preVoteTicks is the least pause between two pre-votes, of which those that come a
	// moment too early are not answered.
	preVoteTicks = 3
)

// awaitTurn sets the election timer by the node's place among the voters that do not
// lead. Turns only make split votes rare: each later timeout is random.
func (n *Node) awaitTurn() {
	turn := 0
	for _, id := range n.membership().Voters {
		if id < n.id && id != n.leader {
			turn++
		}
	}
	n.electionElapsed = 0
	n.electionTimeout = n.config.ElectionTicks + 1 + min(turn*turnTicks, n.config.ElectionTicks-1)
}

// awaitPreVote sets the election timer to the next pre-vote, which disturbs nobody.
func (n *Node) awaitPreVote() {
	n.electionTimeout = preVoteTicks + n.config.Random.IntN(preVoteTicks)
}

func (n *Node) becomeFollower(term uint64, leader NodeID) {
	if term != n.term {
		n.term = term
		n.vote = None
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.leading = leadership{}
	n.resetElectionTimer()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.votes = nil
	n.silence = n.config.ElectionTicks
	n.leading = leadership{
		progress:   make(map[NodeID]*progress),
		firstIndex: n.log.last() + 1,
		electedAt:  n.now,
	}
	n.refreshProgress()
	n.appendEntries([]Entry{n.firstEntry()})
	n.leading.appendDue = true
	n.broadcastHeartbeat()
}

// firstEntry is what a new leader appends. The first leader of a group writes the
// founding membership into the log, so that members that join later learn it.
func (n *Node) firstEntry() Entry {
	entry := Entry{Term: n.term, Index: n.leading.firstIndex, Kind: EntryNoop}
	if n.history.current().index == 0 {
		entry.Kind = EntryMembership
		entry.Data = EncodeMembership(n.membership())
	}
	return entry
}

// membership is the one in force: the last in the log, committed or not.
func (n *Node) membership() Membership { return n.history.current().membership }

func (n *Node) isVoter() bool { return n.membership().HasVoter(n.id) }

// appendEntries puts entries, which are valid, at the end of the log.
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

// truncateFrom drops the entries at and after index, with their memberships.
func (n *Node) truncateFrom(index uint64) {
	n.log.truncateFrom(index)
	n.history.truncateFrom(index)
	n.pending.truncateFrom(index)
}

// quorumValue returns the highest value that a majority of the voters has reached.
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
