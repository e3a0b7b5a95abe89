package group

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/clock"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/structs"
)

// Defaults of Options fields that are zero.
const (
	DefaultTickInterval    = 100 * time.Millisecond
	DefaultElectionTicks   = 12
	DefaultHeartbeatTicks  = 2
	DefaultSnapshotEntries = 10_000
)

const (
	// minElectionTicks leaves a positive lease duration; see leaseDuration.
	minElectionTicks = 5
	// maxMessageEntries bounds the number of entries in one append.
	maxMessageEntries = 256
	// maxInflightMessages bounds the unacknowledged appends to one peer.
	maxInflightMessages = 64
	// maxUncommittedEntries bounds the uncommitted entries of a leader.
	maxUncommittedEntries = 8192
	// MaxCommandBytes is the maximum size of a command.
	MaxCommandBytes = 16 << 20
)

// StateMachine is the replicated state machine. The group never calls its methods
// concurrently, and calls neither Apply nor Restore during a View. It sends no heartbeats
// while a method runs, so each must take much less than the election timeout.
type StateMachine interface {
	// Apply executes the command of the entry at index and returns the result for the
	// proposer. It must be deterministic.
	Apply(index, term uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state with one encoded by Snapshot.
	Restore(data []byte) error
}

// Store is the durable state of a member; see logstore.Store.
type Store interface {
	Load() (raft.Restored, error)
	Save(hardState *raft.HardState, entries []raft.Entry, snapshot *raft.Snapshot) error
	Compact(snapshot raft.Snapshot) error
}

var _ Store = (*logstore.Store)(nil)

// Member is a node, the address (host:port) of its transport server, and the name of
// its process, which is kept when a disk is replaced.
type Member struct {
	Node    raft.NodeID
	Address string
	Name    string
}

// Options configure a Group.
type Options struct {
	// Name identifies the group among those that share a transport.
	Name string
	Node raft.NodeID
	// Members lists the addresses from the settings. Addresses of members added later
	// are replicated in the log.
	Members []Member
	// Bootstrap is the initial membership. It must be the same on all initial members,
	// and empty on a node that joins an existing group. It is used only if the store is
	// empty.
	Bootstrap raft.Membership
	// Hold keeps a member without a membership passive until Found or Admit is called: a
	// new store must neither vote nor accept a log before it is known whether its group
	// exists.
	Hold bool
	// Standbys names the processes whose nodes vote and store the log but lead only while
	// no other voter can. It should be the same on all members.
	Standbys []string
	// Store is opened and closed by the caller. Tests replace the *logstore.Store by one whose
	// writes are slow.
	Store        Store
	Client       *transport.Client
	Server       *transport.Server
	StateMachine StateMachine
	TickInterval time.Duration
	// ElectionTicks is the minimum number of ticks without a leader before an election;
	// HeartbeatTicks is the interval between a leader's heartbeats.
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// Seed seeds the random election timeouts, together with Node.
	Seed uint64
	// OnWrite, if set, is called with the duration of each synced write to the store. It must not
	// block.
	OnWrite func(took time.Duration)
	// OnTick, if set, is called with how late each tick of the member was handled: the time for which
	// its goroutine waited for the processor, was busy or was suspended. It must not block.
	OnTick func(late time.Duration)
	// OnRoundTrip, if set, is called with the time of each answered batch of messages. It must be safe
	// for concurrent use and must not block.
	OnRoundTrip func(took time.Duration)
	// Now is the clock for leases, which must include machine suspensions; nil means
	// clock.Now.
	Now func() time.Time
}

func (o Options) withDefaults() (Options, error) {
	if o.Now == nil {
		o.Now = clock.Now
	}
	if o.TickInterval <= 0 {
		o.TickInterval = DefaultTickInterval
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = DefaultElectionTicks
	}
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.ElectionTicks < minElectionTicks || o.HeartbeatTicks*2 > o.ElectionTicks {
		return o, structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("group %s: %d election ticks are too few for %d heartbeat ticks", o.Name, o.ElectionTicks, o.HeartbeatTicks),
			fmt.Sprintf("Set at least %d election ticks, and at most half as many heartbeat ticks.", minElectionTicks))
	}
	return o, nil
}
