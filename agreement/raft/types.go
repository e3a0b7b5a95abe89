package raft

// NodeID identifies one incarnation of a member. A member that lost its disk
// rejoins under a new NodeID, so a vote given before the loss is never
// contradicted by the same identity.
type NodeID uint64

// None is the zero NodeID: no node.
const None NodeID = 0

// Role is the part a node plays in its current term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
	Learner
)

// EntryKind tells what a log entry carries.
type EntryKind uint8

// The kinds of log entry.
const (
	// EntryCommand carries a command of the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is appended by a new leader so that it can commit entries of earlier
	// terms. The first leader of a group appends the founding membership instead.
	EntryNoop
	// EntryMembership carries an encoded Membership that replaces the current one.
	EntryMembership
)

// Entry is one record of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that must be durable before any message of the same
// Ready is sent.
type HardState struct {
	Term   uint64
	Vote   NodeID
	Commit uint64
}

// Membership lists the members of a group. Learners receive the log and do not vote.
type Membership struct {
	Voters   []NodeID
	Learners []NodeID
}

// Snapshot is the state of the replicated state machine after Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind tells what a Message asks or answers.
type MessageKind uint8

// The kinds of message between nodes.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageSnapshot
	MessageSnapshotReply
	// MessageTimeoutNow asks the receiver to start an election at once (leadership transfer).
	MessageTimeoutNow
)

// Message is what nodes of a group send each other. One type serves all kinds;
// the comment of each field names the kinds that use it.
type Message struct {
	Kind MessageKind
	From NodeID
	To   NodeID
	Term uint64
	// LogTerm and Index name the entry before Entries (append), the candidate's
	// last entry (votes), or the last entry matched (replies).
	LogTerm uint64
	Index   uint64
	Entries []Entry
	// Commit is the sender's commit index (append, heartbeat and its reply).
	Commit uint64
	// Reject and Hint answer an append that does not match: Hint is the index to try next.
	Reject bool
	Hint   uint64
	// Context is the read-index round that a heartbeat and its reply carry.
	Context  uint64
	Snapshot *Snapshot
	// Transfer is set on the votes of an election that the leader itself asked for
	// (MessageTimeoutNow): receivers answer it although they hear from a leader.
	Transfer bool
}

// ReadState says that a read asked for under Context may be served once the
// state machine has applied Index.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is the work a node hands to its shell. The shell must, in this order:
//
//  1. make Snapshot, Entries and HardState durable (one sync) when any is set;
//  2. send Messages (a reply promises what step 1 made durable);
//  3. restore Snapshot, then apply Committed, in index order;
//  4. serve ReadStates once their Index is applied;
//  5. call Advance.
//
// A Snapshot replaces the whole stored log. Entries replace whatever is stored at
// and after the index of the first of them. The slices are shared with the node
// and are read only.
type Ready struct {
	// MustSync is false when step 1 may skip the sync: nothing but
	// HardState.Commit changed, and a lost commit index is found again.
	MustSync   bool
	HardState  *HardState
	Snapshot   *Snapshot
	Entries    []Entry
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
}
