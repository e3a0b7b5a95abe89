package raft

// NodeID identifies one incarnation of a member. A member that lost its disk rejoins
// under a new NodeID, so that no NodeID votes twice in a term.
type NodeID uint64

// None is the zero NodeID: no node.
const None NodeID = 0

// Role is the role of a node in its current term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
	Learner
)

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of log entry.
const (
	// EntryCommand carries a command of the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is appended by a new leader so that it can commit entries of earlier
	// terms. The first leader of a group appends the initial membership instead.
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

// HardState must be durable before any message of the same Ready is sent.
type HardState struct {
	Term   uint64
	Vote   NodeID
	Commit uint64
}

// Membership lists the members of a group. Learners receive the log but do not vote.
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

// MessageKind is the kind of a Message.
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

// Message is a message between nodes of a group. One type serves all kinds; the field
// comments name the kinds that use them.
type Message struct {
	Kind MessageKind
	From NodeID
	To   NodeID
	Term uint64
	// LogTerm and Index identify the entry before Entries (append), the candidate's
	// last entry (votes), or the last entry matched (replies).
	LogTerm uint64
	Index   uint64
	Entries []Entry
	// Commit is the sender's commit index (append, heartbeat and its reply).
	Commit uint64
	// Reject is set in replies that reject a vote or an append; Hint is the index to try
	// next after a rejected append.
	Reject bool
	Hint   uint64
	// Context is the number of the heartbeat round (heartbeat and its reply).
	Context  uint64
	Snapshot *Snapshot
	// Transfer is set on the vote requests of an election that the leader asked for
	// (MessageTimeoutNow); receivers answer them even while they hear from a leader.
	Transfer bool
}

// ReadState reports that the read requested with Context may be served once the state
// machine has applied Index.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is the work that a node returns to its driver. The driver must, in this order:
//
//  1. make Snapshot, Entries and HardState durable (one sync) when any is set;
//  2. send Messages (replies acknowledge what step 1 made durable);
//  3. restore Snapshot, then apply Committed, in index order;
//  4. serve ReadStates once their Index is applied;
//  5. call Advance.
//
// Between Ready and Advance the driver may go on with Tick and Step, and send what TakeHeartbeats
// returns.
//
// A Snapshot replaces the whole stored log. Entries replace everything stored at and
// after the index of the first of them. The slices are shared with the node and must
// not be modified.
type Ready struct {
	// MustSync is false if step 1 may skip the sync: only HardState.Commit changed, and
	// a lost commit index is recovered from the other members.
	MustSync   bool
	HardState  *HardState
	Snapshot   *Snapshot
	Entries    []Entry
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
}
