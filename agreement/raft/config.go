package raft

import (
	"fmt"
	"math/rand/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// The values of Config fields that are left at zero.
const (
	DefaultMaxMessageEntries     = 256
	DefaultMaxMessageBytes       = 1 << 20
	DefaultMaxInflightMessages   = 64
	DefaultMaxUncommittedEntries = 1 << 14
)

// minimumLeaseTicks is how many ticks longer than a heartbeat interval an election
// timeout must be, so that a lease can outlast the interval.
const minimumLeaseTicks = 2

// leaseDriftDivisor is the share of ElectionTicks kept for clocks of unequal rate.
const leaseDriftDivisor = 10

// maxPosition bounds terms and indexes, so that no sum of them overflows. A group
// that appends a billion entries a second reaches it after 146 years.
const maxPosition = 1 << 62

// Config says how a Node runs.
type Config struct {
	// ID is this node's identity; it must never have been used before with another disk.
	ID NodeID
	// ElectionTicks is the least number of ticks without a leader before an election;
	// the timeout of each one is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the interval of heartbeats.
	HeartbeatTicks int
	// MaxMessageEntries is the greatest number of entries in one append.
	MaxMessageEntries int
	// MaxMessageBytes bounds the data of the entries in one append; an entry that is
	// larger travels alone.
	MaxMessageBytes int
	// MaxInflightMessages is how many appends a leader sends a member ahead of their
	// acknowledgement.
	MaxInflightMessages int
	// MaxUncommittedEntries is how many entries may wait for their commit before
	// proposals are refused.
	MaxUncommittedEntries int
	// Random is seeded by the caller.
	Random *rand.Rand
}

// Restored is what the shell found on its disk.
type Restored struct {
	HardState HardState
	// Snapshot is the newest one. A zero Index with a Membership set starts a new
	// group; every founding member must be given the same Membership.
	Snapshot Snapshot
	// Entries follow the snapshot without a gap; older ones at their head are ignored.
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
		return errInvalid("raft node has no random source", "Set Config.Random to a seeded one.")
	case c.HeartbeatTicks < 1:
		return errInvalid("heartbeat interval is below one tick", "Set Config.HeartbeatTicks to 1 or more.")
	case c.ElectionTicks < c.HeartbeatTicks+minimumLeaseTicks:
		return errInvalid("election timeout is too close to the heartbeat interval",
			"Set Config.ElectionTicks to several times HeartbeatTicks.")
	case min(c.MaxMessageEntries, c.MaxMessageBytes, c.MaxInflightMessages, c.MaxUncommittedEntries) < 1:
		return errInvalid("a limit of the raft node is negative", "Leave the limit at 0 for its default.")
	}
	return nil
}

// leaseTicks is how long the leader trusts a heartbeat round that a quorum answered.
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
