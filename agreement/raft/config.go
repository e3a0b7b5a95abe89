package raft

import (
	"fmt"
	"math/rand/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// Defaults of Config fields that are zero.
const (
	DefaultMaxMessageEntries     = 256
	DefaultMaxMessageBytes       = 1 << 20
	DefaultMaxInflightMessages   = 64
	DefaultMaxUncommittedEntries = 1 << 14
)

// minLeaseTicks is the minimum difference between the election timeout and the
// heartbeat interval, so that a lease can outlast the interval.
const minLeaseTicks = 2

// leaseDriftDivisor sets the lease margin for clock drift: 1/leaseDriftDivisor of
// ElectionTicks.
const leaseDriftDivisor = 10

// maxPosition bounds terms and indexes, so that sums of them do not overflow.
const maxPosition = 1 << 62

// Config holds the parameters of a Node.
type Config struct {
	// ID identifies this node; it must never have been used with another disk.
	ID NodeID
	// ElectionTicks is the minimum number of ticks without a leader before an election;
	// each timeout is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval.
	HeartbeatTicks int
	// MaxMessageEntries is the maximum number of entries in one append.
	MaxMessageEntries int
	// MaxMessageBytes bounds the entry data in one append; a larger entry is sent
	// alone.
	MaxMessageBytes int
	// MaxInflightMessages is the maximum number of unacknowledged appends to one
	// member.
	MaxInflightMessages int
	// MaxUncommittedEntries is the maximum number of uncommitted entries; Propose
	// fails beyond it.
	MaxUncommittedEntries int
	// Random is the source of election timeouts, seeded by the caller.
	Random *rand.Rand
}

// Restored is the state that a node starts from, as read from stable storage.
type Restored struct {
	HardState HardState
	// Snapshot is the latest snapshot. A zero Index with a Membership set starts a
	// new group; all initial members must be given the same Membership.
	Snapshot Snapshot
	// Entries follow the snapshot without a gap; leading entries that the snapshot
	// covers are ignored.
	Entries []Entry
}

func (c Config) withDefaults() Config {
	if c.MaxMessageEntries == 0 {
		c.MaxMessageEntries = DefaultMaxMessageEntries
	}
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if c.MaxInflightMessages == 0 {
		c.MaxInflightMessages = DefaultMaxInflightMessages
	}
	if c.MaxUncommittedEntries == 0 {
		c.MaxUncommittedEntries = DefaultMaxUncommittedEntries
	}
	return c
}

func (c Config) validate() error {
	switch {
	case c.ID == None:
		return errInvalid("raft node has no ID", "Set Config.ID to the node's own ID.")
	case c.Random == nil:
		return errInvalid("raft node has no random source", "Set Config.Random to a seeded source.")
	case c.HeartbeatTicks < 1:
		return errInvalid("heartbeat interval is below one tick", "Set Config.HeartbeatTicks to 1 or more.")
	case c.ElectionTicks < c.HeartbeatTicks+minLeaseTicks:
		return errInvalid("election timeout is too close to the heartbeat interval",
			"Set Config.ElectionTicks to several times HeartbeatTicks.")
	case min(c.MaxMessageEntries, c.MaxMessageBytes, c.MaxInflightMessages, c.MaxUncommittedEntries) < 1:
		return errInvalid("a limit of the raft node is negative", "Leave the limit at 0 for its default.")
	}
	return nil
}

// leaseTicks returns the lease length, counted from the sending of a heartbeat round
// that a quorum answered.
func (c Config) leaseTicks() int {
	return c.ElectionTicks - 1 - c.ElectionTicks/leaseDriftDivisor
}

func errInvalid(message, remedy string) error {
	return structs.NewError(structs.ErrorInvalid, message, remedy)
}

func (n *Node) errNotLeader() error {
	message := fmt.Sprintf("node %d is not the leader", n.id)
	if n.leader == None {
		return structs.NewError(structs.ErrorNotLeader, message, "Retry once a majority of the members runs and has elected a leader.")
	}
	return structs.NewError(structs.ErrorNotLeader, message, fmt.Sprintf("Ask node %d.", n.leader))
}
