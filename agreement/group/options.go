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

// The defaults for options that are zero.
const (
	DefaultTickInterval    = 100 * time.Millisecond
	DefaultElectionTicks   = 12
	DefaultHeartbeatTicks  = 2
	DefaultSnapshotEntries = 10_000
)

const (
	// minElectionTicks leaves a lease after its margin (see leaseDuration).
	minElectionTicks = 5
	// maxMessageEntries bounds the entries of one append.
	maxMessageEntries = 256
	// maxInflightMessages bounds the appends to one peer that are not answered.
	maxInflightMessages = 64
	// maxUncommittedEntries bounds the entries that wait for a quorum.
	maxUncommittedEntries = 8192
	// MaxCommandBytes bounds one command.
	MaxCommandBytes = 16 << 20
)

// StateMachine is what the group replicates. The group never calls its methods
// at the same time, nor during a View. It sends no heartbeat while one of them
// runs, so each must take much less than the election timeout.
type StateMachine interface {
	// Apply executes the command of the entry at index and returns its result to
	// the proposer. It must depend on nothing but its arguments and earlier calls.
	Apply(index, term uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by one that Snapshot encoded.
	Restore(data []byte) error
}

// Member is a node with the address (host:port) of its transport server and the
// name of the process that holds it, which outlives a replaced disk.
type Member struct {
	Node    raft.NodeID
	Address string
	Name    string
}

// Options configure a Group.
type Options struct {
	// Name tells apart the groups that share a transport.
	Name string
	Node raft.NodeID
	// Members gives the addresses known from the settings. Addresses of members
	// added later come with the log.
	Members []Member
	// Bootstrap is the first membership. It must be the same at all first members,
	// and empty at a node that joins an existing group. It is read only when the
	// store is empty.
	Bootstrap raft.Membership
	// Hold keeps a member that knows no membership from taking part until Found or
	// Admit: a new store must not vote, nor take a log, before it is known whether
	// its group exists.
	Hold bool
	// Standbys names the processes that vote and keep the log but lead only while no
	// other voter is fit to. It should be the same at all members.
	Standbys []string
	// Store is opened and closed by the caller.
	Store        *logstore.Store
	Client       *transport.Client
	Server       *transport.Server
	StateMachine StateMachine
	TickInterval time.Duration
	// ElectionTicks is how many ticks without a leader lead to an election;
	// HeartbeatTicks is how many ticks lie between a leader's heartbeats.
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries is how many applied entries lead to a snapshot.
	SnapshotEntries uint64
	// Seed makes the random election timeouts; members need different ones.
	Seed uint64
	// Now is the clock that leases are held against, which counts suspensions of the machine;
	// nil means clock.Now.
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
			fmt.Sprintf("group %s: %d election ticks and %d heartbeat ticks do not fit", o.Name, o.ElectionTicks, o.HeartbeatTicks),
			fmt.Sprintf("Set at least %d election ticks, and at most half as many heartbeat ticks.", minElectionTicks))
	}
	return o, nil
}
