package raft

// Step processes a message from another node. The error is a *structs.Error of kind
// invalid if no correct node could have sent the message; the node is then unchanged.
func (n *Node) Step(m Message) error {
	if err := n.validate(&m); err != nil {
		return err
	}
	if (m.Kind == MessageVote || m.Kind == MessagePreVote) && n.ignoresVoteRequest(&m) {
		return nil
	}
	if m.Term < n.term {
		n.rejectStaleTerm(&m)
		return nil
	}
	if err := n.validateInState(&m); err != nil {
		return err
	}
	if m.Term > n.term && confirmsTerm(&m) {
		n.becomeFollower(m.Term, None)
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		n.handleVoteRequest(&m)
	case MessagePreVoteReply, MessageVoteReply:
		n.handleVoteReply(&m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.handleLeaderMessage(&m)
	case MessageAppendReply, MessageHeartbeatReply, MessageSnapshotReply:
		n.handleMemberReply(&m)
	case MessageTimeoutNow:
		n.handleTimeoutNow(&m)
	}
	return nil
}

// confirmsTerm reports whether a message of a later term proves that the term has
// started. A pre-vote and its grant name a term that may never start.
func confirmsTerm(m *Message) bool {
	if m.Kind == MessagePreVoteReply {
		return m.Reject
	}
	return m.Kind != MessagePreVote
}

// validateInState rejects messages of the current term that contradict the node's
// state.
func (n *Node) validateInState(m *Message) error {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		if m.Term == n.term && n.leader != None && n.leader != m.From {
			return errMessage(m, "the term has another leader")
		}
		if m.Kind == MessageAppend && n.contradictsCommitted(m) {
			return errMessage(m, "entries conflict with committed entries")
		}
	case MessageAppendReply, MessageSnapshotReply:
		if m.Term == n.term && n.role == Leader && m.Index > n.log.last() {
			return errMessage(m, "acknowledges entries that were never sent")
		}
	case MessageHeartbeatReply:
		if m.Term == n.term && n.role == Leader && m.Context > n.leading.round {
			return errMessage(m, "answers a heartbeat that was never sent")
		}
	}
	return nil
}

// contradictsCommitted reports whether an append conflicts with an entry at or
// below the commit index.
func (n *Node) contradictsCommitted(m *Message) bool {
	for _, entry := range m.Entries {
		if entry.Index > n.log.commit {
			return false
		}
		if own, known := n.log.term(entry.Index); known && own != entry.Term {
			return true
		}
	}
	return false
}

// rejectStaleTerm answers a message of an earlier term with the current term. A leader
// that was partitioned, or that a member with a later term cannot follow, steps down
// on this reply.
func (n *Node) rejectStaleTerm(m *Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: n.log.commit})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) handleLeaderMessage(m *Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(n.term, m.From)
		n.setStaggeredTimeout(staggerTicks)
	}
	n.electionElapsed = 0
	n.ticksSinceLeader = 0
	switch m.Kind {
	case MessageAppend:
		n.handleAppend(m)
	case MessageHeartbeat:
		n.log.commitTo(m.Commit)
		n.send(Message{Kind: MessageHeartbeatReply, To: m.From, Context: m.Context, Commit: n.log.commit})
	case MessageSnapshot:
		n.handleSnapshot(m)
	}
}

func (n *Node) handleAppend(m *Message) {
	if m.Index < n.log.commit {
		n.send(Message{Kind: MessageAppendReply, To: m.From, Index: n.log.commit})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		n.rejectAppend(m)
		return
	}
	for i, entry := range m.Entries {
		if n.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= n.log.last() {
			n.truncateFrom(entry.Index)
		}
		n.appendEntries(m.Entries[i:])
		break
	}
	matched := m.Index + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, matched))
	n.send(Message{Kind: MessageAppendReply, To: m.From, Index: matched})
}

// rejectAppend replies with a hint, the last entry that can match the leader's log:
// later entries have terms above the leader's term at that index.
func (n *Node) rejectAppend(m *Message) {
	bound := min(m.Index, n.log.last())
	hint, hintTerm := n.log.lastAtOrBelowTerm(bound, m.LogTerm)
	if hint < n.log.commit {
		hint = n.log.commit
		hintTerm, _ = n.log.term(hint)
	}
	n.send(Message{
		Kind:    MessageAppendReply,
		To:      m.From,
		Reject:  true,
		Index:   m.Index,
		Hint:    hint,
		LogTerm: hintTerm,
	})
}

func (n *Node) handleSnapshot(m *Message) {
	snapshot := *m.Snapshot
	if snapshot.Index > n.log.commit {
		if n.log.matches(snapshot.Index, snapshot.Term) {
			n.log.commitTo(snapshot.Index)
		} else {
			n.restoreSnapshot(snapshot)
		}
	}
	n.send(Message{Kind: MessageSnapshotReply, To: m.From, Index: n.log.commit})
}

func (n *Node) restoreSnapshot(snapshot Snapshot) {
	snapshot.Membership = snapshot.Membership.sorted()
	n.log.restore(snapshot.Index, snapshot.Term)
	n.history = membershipHistory{{index: snapshot.Index, membership: snapshot.Membership}}
	n.snapshot = snapshot
	n.pending.restore(&snapshot)
}
