package group

import (
	"maps"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// addressBook holds the addresses of nodes by source.
type addressBook struct {
	// replicated addresses come from the log and are part of snapshots.
	replicated map[raft.NodeID]string
	// configured addresses come from the settings.
	configured map[raft.NodeID]string
	// learned addresses were announced by the nodes themselves.
	learned map[raft.NodeID]string
	// names are replicated with the addresses.
	names map[raft.NodeID]string
}

func newAddressBook(members []Member) addressBook {
	book := addressBook{
		replicated: make(map[raft.NodeID]string),
		configured: make(map[raft.NodeID]string),
		learned:    make(map[raft.NodeID]string),
		names:      make(map[raft.NodeID]string),
	}
	for _, member := range members {
		book.configured[member.Node] = member.Address
	}
	return book
}

// replicate records a member from the log.
func (b addressBook) replicate(member Member) {
	b.replicated[member.Node] = member.Address
	if member.Name != "" {
		b.names[member.Node] = member.Name
	}
}

// all returns the merged addresses. Replicated addresses take precedence over
// configured ones, and those over learned ones.
func (b addressBook) all() map[raft.NodeID]string {
	merged := maps.Clone(b.learned)
	maps.Copy(merged, b.configured)
	maps.Copy(merged, b.replicated)
	return merged
}

func (b addressBook) of(node raft.NodeID) string {
	for _, source := range []map[raft.NodeID]string{b.replicated, b.configured, b.learned} {
		if address := source[node]; address != "" {
			return address
		}
	}
	return ""
}

// restore replaces the replicated addresses and names by those of a snapshot.
func (b *addressBook) restore(decoded groupSnapshot) {
	b.replicated = decoded.Addresses
	b.names = decoded.Names
	if b.replicated == nil {
		b.replicated = map[raft.NodeID]string{}
	}
	if b.names == nil {
		b.names = map[raft.NodeID]string{}
	}
}
