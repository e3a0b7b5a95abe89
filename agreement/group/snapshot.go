package group

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// retainedLogDivisor sets the number of entries that compaction retains,
// SnapshotEntries/retainedLogDivisor, so that a slightly lagging member needs no snapshot.
const retainedLogDivisor = 4

// groupSnapshot is the data of a raft.Snapshot.
type groupSnapshot struct {
	Addresses map[raft.NodeID]string
	State     []byte
	Names     map[raft.NodeID]string
}

// snapshotState tracks the snapshots of this member.
type snapshotState struct {
	// last is the index of the latest snapshot, taken or restored.
	last uint64
	// pending is a snapshot to which the log is not compacted yet, or nil.
	pending *raft.Snapshot
}

func decodeGroupSnapshot(data []byte) (groupSnapshot, error) {
	var decoded groupSnapshot
	err := msgpack.Unmarshal(data, &decoded)
	return decoded, errors.Wrap(err, "decode group snapshot")
}

func (g *Group) restoreSnapshot(snapshot raft.Snapshot) error {
	decoded, err := decodeGroupSnapshot(snapshot.Data)
	if err != nil {
		return err
	}
	g.stateMutex.Lock()
	defer g.stateMutex.Unlock()
	if err := g.options.StateMachine.Restore(decoded.State); err != nil {
		return errors.Wrap(err, "restore state machine")
	}
	g.addresses.restore(decoded)
	g.loop.applied = snapshot.Index
	g.loop.appliedTerm = snapshot.Term
	g.loop.snapshots = snapshotState{last: snapshot.Index}
	return nil
}

// compact takes a snapshot once SnapshotEntries entries have been applied since the last
// one, and compacts the log to it after the entries to retain have been applied.
func (g *Group) compact(sending context.Context, senders *sync.WaitGroup) error {
	state := &g.loop.snapshots
	interval := g.options.SnapshotEntries
	if state.pending == nil && g.loop.applied >= state.last+interval {
		taken, err := g.takeSnapshot()
		if err != nil {
			return err
		}
		state.pending = &taken
		state.last = taken.Index
	}
	if state.pending == nil || g.loop.applied < state.pending.Index+interval/retainedLogDivisor {
		return nil
	}
	snapshot := *state.pending
	state.pending = nil
	// The node goes on during the write, and may take a later snapshot from a leader.
	if err := g.loop.node.Compact(snapshot); err != nil {
		return errors.Wrap(err, "compact raft log")
	}
	return g.awaitWrite(sending, senders, "snapshot", func() error { return g.options.Store.Compact(snapshot) })
}

func (g *Group) takeSnapshot() (raft.Snapshot, error) {
	g.stateMutex.RLock()
	defer g.stateMutex.RUnlock()
	state, err := g.options.StateMachine.Snapshot()
	if err != nil {
		return raft.Snapshot{}, errors.Wrap(err, "take snapshot")
	}
	data, err := msgpack.Marshal(&groupSnapshot{Addresses: g.addresses.replicated, Names: g.addresses.names, State: state})
	if err != nil {
		return raft.Snapshot{}, errors.Wrap(err, "encode group snapshot")
	}
	return raft.Snapshot{
		Index:      g.loop.applied,
		Term:       g.loop.appliedTerm,
		Membership: g.loop.node.MembershipAt(g.loop.applied),
		Data:       data,
	}, nil
}
