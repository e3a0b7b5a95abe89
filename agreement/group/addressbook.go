package group

import (
	"maps"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// addressBook holds the addresses of nodes by where they are known from.
type addressBook struct {
	// replicated ones came with the log and are part of snapshots.
	replicated map[raft.NodeID]string
	// configured ones are from the settings.
	configured map[raft.NodeID]string
	// learned ones were named by the node itself.
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

// replicate notes a member that came with the log.
func (b addressBook) replicate(member Member) {
	b.replicated[member.Node] = member.Address
	if member.Name != "" {
		b.names[member.Node] = member.Name
	}
}

// all merges the addresses; replicated ones prevail, learned ones give way.
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

// restore replaces what is replicated by what a snapshot holds.
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
