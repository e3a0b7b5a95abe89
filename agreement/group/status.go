package group

import (
	"maps"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// addressOf returns the address of a node, or "" if it is unknown.
func (g *Group) addressOf(node raft.NodeID) string {
	g.stateMutex.RLock()
	defer g.stateMutex.RUnlock()
	return g.addresses.of(node)
}

func (g *Group) learnAddress(node raft.NodeID, address string) {
	if g.addressOf(node) == address {
		return
	}
	g.stateMutex.Lock()
	defer g.stateMutex.Unlock()
	g.addresses.learned[node] = address
}

// Status is the state of a group as one member sees it.
type Status struct {
	Node     raft.NodeID
	IsLeader bool
	// LeaseValid is the validity that LeaderLease reports at the time of Status.
	LeaseValid bool
	Term       uint64
	// LeaderNode is raft.None and LeaderAddress is empty if no leader is known.
	LeaderNode    raft.NodeID
	LeaderAddress string
	CommitIndex   uint64
	AppliedIndex  uint64
	SnapshotIndex uint64
	// Membership is the one in effect, whether committed or not. It is committed once
	// AppliedIndex has reached MembershipIndex.
	Membership      raft.Membership
	MembershipIndex uint64
	// CommittedMembership is the membership at the applied index.
	CommittedMembership raft.Membership
	// Held reports whether Options.Hold still keeps the member passive.
	Held bool
	// Progress is the replication state of the other members; nil unless this node leads.
	Progress map[raft.NodeID]raft.Progress
	// Addresses holds the addresses of all known nodes.
	Addresses map[raft.NodeID]string
	// Names holds the process names of members, including removed ones.
	Names map[raft.NodeID]string
}

// Members returns nodes with their addresses and names.
func (s Status) Members(nodes []raft.NodeID) []Member {
	members := make([]Member, 0, len(nodes))
	for _, node := range nodes {
		members = append(members, Member{Node: node, Address: s.Addresses[node], Name: s.Names[node]})
	}
	return members
}

// Status returns the current status.
func (g *Group) Status() Status {
	g.statusMutex.Lock()
	status := g.status
	lease := g.lease
	g.statusMutex.Unlock()
	status.LeaseValid = g.leaseHolds(lease)
	g.stateMutex.RLock()
	defer g.stateMutex.RUnlock()
	status.LeaderAddress = g.addresses.of(status.LeaderNode)
	status.Addresses = g.addresses.all()
	status.Names = maps.Clone(g.addresses.names)
	return status
}

// Changed returns a channel that is closed at the next change of the applied index, the
// term, the leader, the membership, the lease, or a member's Active or CaughtUp state, and
// when Run returns. The expiry of a lease by the clock is not signaled; its renewal is.
// To miss no change, call Changed before Status.
func (g *Group) Changed() <-chan struct{} {
	g.statusMutex.Lock()
	defer g.statusMutex.Unlock()
	return g.changed
}

// publish updates the status and lease that other goroutines see.
func (g *Group) publish() {
	current := g.loop.node.Status()
	leads := current.Role == raft.Leader
	lease := leaseState{epoch: structs.Epoch(current.Term), start: g.leaseStart(current)}
	lease.held = leads && g.loop.node.LeaseValid() && g.loop.appliedTerm == current.Term
	g.statusMutex.Lock()
	defer g.statusMutex.Unlock()
	previous := g.status
	// The lease may have expired since the last publish.
	heldBefore, validBefore := g.lease.held, g.leaseHolds(g.lease)
	g.lease = lease
	g.status = Status{
		Node:          g.options.Node,
		IsLeader:      leads,
		Term:          current.Term,
		LeaderNode:    current.Leader,
		CommitIndex:   current.Commit,
		AppliedIndex:  g.loop.applied,
		SnapshotIndex: g.loop.snapshots.last,
		Membership:    current.Membership,
		Progress:      current.Progress,

		MembershipIndex:     current.MembershipIndex,
		CommittedMembership: g.loop.node.MembershipAt(g.loop.applied),
		Held:                g.loop.held,
	}
	if heldBefore != lease.held || validBefore != g.leaseHolds(lease) || differs(previous, g.status) {
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

func differs(a, b Status) bool {
	return a.AppliedIndex != b.AppliedIndex || a.Term != b.Term || a.LeaderNode != b.LeaderNode ||
		a.IsLeader != b.IsLeader || a.Held != b.Held || !a.Membership.Equal(b.Membership) ||
		!maps.EqualFunc(a.Progress, b.Progress, sameHealth)
}

func sameHealth(a, b raft.Progress) bool { return a.Active == b.Active && a.CaughtUp == b.CaughtUp }
