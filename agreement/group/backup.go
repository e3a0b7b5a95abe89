package group

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// nodeIDBits keeps node IDs exact in every JSON reader; the highest bit is set, so
// that they differ from small numbers given by hand.
const nodeIDBits = 53

// restoreTerms is by how many terms a restored group is ahead of its backup. A
// group that held an election every second for twelve days since the backup is
// still behind it, so that orders of its leaders are fenced off.
const restoreTerms = 1 << 20

// NewNodeID makes the identity of a new store. It is random, so that a store that
// replaces a lost one never has the identity that voted before.
func NewNodeID() raft.NodeID {
	var random [8]byte
	// Reading never fails.
	_, _ = rand.Read(random[:])
	const highest = uint64(1) << (nodeIDBits - 1)
	return raft.NodeID(binary.BigEndian.Uint64(random[:])&(highest-1) | highest)
}

// backup asks the loop for a snapshot.
type backup struct{ answer chan outcome }

// Backup returns a snapshot of this member, the leader, that holds every command
// whose Propose had returned before Backup was called, with the membership and the
// members' addresses and names. The errors are those of Read.
func (g *Group) Backup(ctx context.Context) (raft.Snapshot, error) {
	if err := g.Read(ctx); err != nil {
		return raft.Snapshot{}, err
	}
	asked := &backup{answer: newAnswer()}
	if err := g.submit(ctx, asked); err != nil {
		return raft.Snapshot{}, err
	}
	result, err := g.await(ctx, asked.answer, g.lateReadError)
	if err != nil {
		return raft.Snapshot{}, err
	}
	return result.(raft.Snapshot), nil
}

// start implements request.
func (b *backup) start(g *Group) {
	snapshot, err := g.takeSnapshot()
	b.answer <- outcome{result: snapshot, err: err}
}

// Refound makes of a backup what the store of the only voter of a restored group
// holds. No other member of the old group belongs to the new one, and its terms
// begin above those of the old one.
func Refound(backup raft.Snapshot, member Member) (raft.Snapshot, raft.HardState, error) {
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
	return backup, raft.HardState{Term: backup.Term + restoreTerms, Commit: backup.Index}, nil
}
