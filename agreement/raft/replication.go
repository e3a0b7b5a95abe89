package raft

// flushAppends queues the appends that are due. It runs once per Ready, so that
// proposals made since the last one share messages.
func (n *Node) flushAppends() {
	if !n.leading.appendDue {
		return
	}
	n.leading.appendDue = false
	for _, id := range n.leading.peers {
		member := n.leading.progress[id]
		for member.wantsAppend(n.log.last(), n.log.commit) {
			n.sendAppend(id, member)
		}
	}
}

func (n *Node) sendAppend(id NodeID, member *progress) {
	previous := member.next - 1
	previousTerm, known := n.log.term(previous)
	if !known {
		n.sendSnapshot(id, member)
		return
	}
	last := min(n.log.last(), previous+uint64(n.config.MaxMessageEntries))
	entries := limitBytes(n.log.slice(member.next, last), n.config.MaxMessageBytes)
	last = previous + uint64(len(entries))
	n.send(Message{
		Kind:    MessageAppend,
		To:      id,
		Index:   previous,
		LogTerm: previousTerm,
		Entries: entries,
		Commit:  n.log.commit,
	})
	member.sent(last, len(entries), n.log.commit)
}

// limitBytes returns the longest prefix of entries whose data fits into limit, and at
// least one entry.
func limitBytes(entries []Entry, limit int) []Entry {
	size := 0
	for i, entry := range entries {
		size += len(entry.Data)
		if size > limit && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

func (n *Node) sendSnapshot(id NodeID, member *progress) {
	snapshot := n.snapshot
	n.send(Message{Kind: MessageSnapshot, To: id, Snapshot: &snapshot})
	member.becomeSnapshot(snapshot.Index, n.now)
}

// retrySnapshots probes the members whose snapshot reply is overdue. The probe
// succeeds if only the reply was lost; otherwise its rejection triggers a new snapshot.
func (n *Node) retrySnapshots() {
	for _, id := range n.leading.peers {
		member := n.leading.progress[id]
		if member.snapshotOverdue(n.now, n.config.ElectionTicks) {
			member.becomeProbe(member.pendingSnapshot + 1)
			n.leading.appendDue = true
		}
	}
}

// handleMemberReply processes a reply to a message of the leader.
func (n *Node) handleMemberReply(m *Message) {
	if n.role != Leader {
		return
	}
	member := n.leading.progress[m.From]
	if member == nil {
		return
	}
	switch {
	case m.Kind == MessageHeartbeatReply:
		n.handleHeartbeatReply(m, member)
	case m.Reject:
		n.handleReject(m, member)
	default:
		n.handleAcknowledge(m, member)
	}
}

func (n *Node) handleReject(m *Message, member *progress) {
	next, _ := n.log.lastAtOrBelowTerm(m.Hint, m.LogTerm)
	if member.rejected(m.Index, next+1) {
		n.leading.appendDue = true
	}
}

func (n *Node) handleAcknowledge(m *Message, member *progress) {
	wasPaused := member.paused()
	moved := member.acknowledged(m.Index)
	if moved {
		n.advanceCommit()
		if n.role != Leader {
			return
		}
	}
	if moved || wasPaused {
		n.leading.appendDue = true
	}
	if m.From == n.leading.transferee {
		n.continueTransfer()
	}
}

func (n *Node) handleHeartbeatReply(m *Message, member *progress) {
	n.recordRound(m.Context, member)
	member.knownCommit = max(member.knownCommit, m.Commit)
	switch member.state {
	case ProgressProbe:
		member.probing = false
	case ProgressReplicate:
		if member.inflight.full() {
			member.inflight.freeOldest()
		}
	}
	if member.match < n.log.last() && member.state != ProgressSnapshot {
		member.probeWanted = true
		n.leading.appendDue = true
	}
	n.releaseReads()
}

// advanceCommit commits the entries that a majority of the voters has made durable.
// Only entries of the current term are committed by counting replicas; earlier entries
// are committed with them.
func (n *Node) advanceCommit() {
	index := n.quorumValue(func(id NodeID) uint64 {
		if id == n.id {
			return n.log.stable
		}
		if member := n.leading.progress[id]; member != nil {
			return member.match
		}
		return 0
	})
	term, known := n.log.term(index)
	if !known || term != n.term || !n.log.commitTo(index) {
		return
	}
	n.leading.appendDue = true
	n.stepDownIfRemoved()
}

// stepDownIfRemoved makes the leader step down once a membership in which it is no
// voter is committed. It transfers leadership to the voter with the longest log.
func (n *Node) stepDownIfRemoved() {
	record := n.history.current()
	if n.isVoter() || record.index > n.log.commit {
		return
	}
	n.flushAppends()
	best := None
	for _, id := range record.membership.Voters {
		member := n.leading.progress[id]
		if best == None || member.match > n.leading.progress[best].match {
			best = id
		}
	}
	n.send(Message{Kind: MessageTimeoutNow, To: best})
	n.becomeFollower(n.term, None)
}
