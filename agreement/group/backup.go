package group

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// nodeIDBits keeps node IDs exact in JSON readers that use float64. The highest bit is
// set to distinguish them from small IDs assigned manually.
const nodeIDBits = 53

// restoreTermIncrement is added to the term of a backup, so that a restored group's
// terms exceed those that the old group can have reached since. The fencing epochs of
// the old leaders are then stale.
const restoreTermIncrement = 1 << 20

// NewNodeID returns a random node ID for a new store, so that a store that replaces a
// lost one does not reuse an ID that may have voted.
func NewNodeID() raft.NodeID {
	var random [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(random[:])
	const highest = uint64(1) << (nodeIDBits - 1)
	return raft.NodeID(binary.BigEndian.Uint64(random[:])&(highest-1) | highest)
}

// backupRequest requests a snapshot from the loop.
type backupRequest struct{ answer chan outcome }

// Backup returns a snapshot of this member, which must be the leader. It includes every
// command whose Propose returned before Backup was called, the membership, and the
// members' addresses and names. The errors are those of Read.
func (g *Group) Backup(ctx context.Context) (raft.Snapshot, error) {
	if err := g.Read(ctx); err != nil {
		return raft.Snapshot{}, err
	}
	asked := &backupRequest{answer: newAnswer()}
	if err := g.submit(ctx, asked); err != nil {
		return raft.Snapshot{}, err
	}
	result, err := g.await(ctx, asked.answer, g.readTimeoutError)
	if err != nil {
		return raft.Snapshot{}, err
	}
	return result.(raft.Snapshot), nil
}

// start implements request.
func (b *backupRequest) start(g *Group) {
	snapshot, err := g.takeSnapshot()
	b.answer <- outcome{result: snapshot, err: err}
}

// RestoreBackup returns the snapshot and hard state with which member, as the only voter,
// restores a group from a backup. No other member of the old group belongs to the new
// one, and its terms start above those of the old one.
func RestoreBackup(backup raft.Snapshot, member Member) (raft.Snapshot, raft.HardState, error) {
	decoded, err := decodeGroupSnapshot(backup.Data)
	if err != nil {
		return raft.Snapshot{}, raft.HardState{}, err
	}
	book := newAddressBook(nil)
	if member.Address != "" {
		book.replicated[member.Node] = member.Address
	}
	book.names[member.Node] = member.Name
	data, err := msgpack.Marshal(&groupSnapshot{Addresses: book.replicated, Names: book.names, State: decoded.State})
	if err != nil {
		return raft.Snapshot{}, raft.HardState{}, errors.Wrap(err, "encode group snapshot")
	}
	backup.Data = data
	backup.Membership = raft.Membership{Voters: []raft.NodeID{member.Node}}
	return backup, raft.HardState{Term: backup.Term + restoreTermIncrement, Commit: backup.Index}, nil
}
