package raft

// Status is a snapshot of a node's state and, on a leader, of the members' progress.
type Status struct {
	ID NodeID
	// Role is Learner for a follower that is not a voter in its own membership.
	Role Role
	Term uint64
	// Leader is None when no leader of the term is known.
	Leader     NodeID
	Commit     uint64
	Applied    uint64
	FirstIndex uint64
	LastIndex  uint64
	// Membership is the one in effect, whether committed or not.
	Membership Membership
	// MembershipIndex is the index of the membership's entry; the change is committed
	// once Commit has reached it.
	MembershipIndex uint64
	// Progress is set on a leader only and excludes the leader itself.
	Progress   map[NodeID]Progress
	LeaseValid bool
}

// Progress is the replication state of another member, as the leader knows it.
type Progress struct {
	// Match is the index of the last entry known to be durable on the member; Next is
	// the index of the next entry to send.
	Match uint64
	Next  uint64
	State ProgressState
	// Active reports whether the member answered a heartbeat sent within ElectionTicks.
	Active bool
	// CaughtUp reports whether the member is a learner that may be promoted.
	CaughtUp bool
}

// Status returns the current status of the node.
func (n *Node) Status() Status {
	record := n.history.current()
	status := Status{
		ID:              n.id,
		Role:            n.Role(),
		Term:            n.term,
		Leader:          n.leader,
		Commit:          n.log.commit,
		Applied:         n.log.applied,
		FirstIndex:      n.log.first(),
		LastIndex:       n.log.last(),
		Membership:      record.membership.sorted(),
		MembershipIndex: record.index,
		LeaseValid:      n.LeaseValid(),
	}
	if n.role != Leader {
		return status
	}
	status.Progress = make(map[NodeID]Progress, len(n.leading.progress))
	for id, member := range n.leading.progress {
		if member.removalIndex != 0 {
			continue
		}
		status.Progress[id] = Progress{
			Match:    member.match,
			Next:     member.next,
			State:    member.state,
			Active:   member.activeUntil > n.now,
			CaughtUp: n.caughtUp(id),
		}
	}
	return status
}

// Role returns the role that Status reports, without building a Status.
func (n *Node) Role() Role {
	if n.role == Follower && !n.isVoter() {
		return Learner
	}
	return n.role
}

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the leader of the current term, or None.
func (n *Node) Leader() NodeID { return n.leader }
