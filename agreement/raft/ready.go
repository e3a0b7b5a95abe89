package raft

// pendingReady accumulates the contents of the next Ready.
type pendingReady struct {
	// outstanding is set between a Ready with work and its Advance.
	outstanding bool
	messages    []Message
	readStates  []ReadState
	snapshot    *Snapshot
	// hardState is the last one returned by Ready, and durableTerm the term of the last one confirmed
	// by Advance.
	hardState   HardState
	durableTerm uint64
	// entriesTo and appliedTo are the indexes that Advance marks stable and applied.
	entriesTo uint64
	appliedTo uint64
}

func (p *pendingReady) truncateFrom(index uint64) {
	p.entriesTo = min(p.entriesTo, index-1)
}

func (p *pendingReady) restore(snapshot *Snapshot) {
	p.snapshot = snapshot
	p.entriesTo = 0
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// HasReady reports whether Ready may have work. It is false between a Ready with
// work and its Advance.
func (n *Node) HasReady() bool {
	p := &n.pending
	if p.outstanding {
		return false
	}
	return len(p.messages) > 0 || len(p.readStates) > 0 || p.snapshot != nil || n.leading.appendDue ||
		n.log.last() > n.log.stable || n.log.commit > n.log.applied || n.hardState() != p.hardState
}

// Ready returns the pending work. It is empty until the previous Ready has been
// confirmed by Advance; an empty Ready needs no Advance.
func (n *Node) Ready() Ready {
	p := &n.pending
	if p.outstanding {
		return Ready{}
	}
	n.flushAppends()
	if !n.HasReady() {
		return Ready{}
	}
	ready := Ready{
		Snapshot:   p.snapshot,
		Entries:    n.log.slice(n.log.stable+1, n.log.last()),
		Messages:   p.messages,
		ReadStates: p.readStates,
	}
	if hardState := n.hardState(); hardState != p.hardState {
		ready.HardState = &hardState
		ready.MustSync = hardState.Term != p.hardState.Term || hardState.Vote != p.hardState.Vote
		p.hardState = hardState
	}
	ready.MustSync = ready.MustSync || ready.Snapshot != nil || len(ready.Entries) > 0
	ready.Committed = n.log.slice(max(n.log.applied, n.log.base)+1, n.log.commit)
	*p = pendingReady{
		outstanding: true,
		hardState:   p.hardState,
		durableTerm: p.durableTerm,
		entriesTo:   n.log.last(),
		appliedTo:   n.log.commit,
	}
	n.leading.roundQueued = false
	return ready
}

// Advance confirms that all work of the last Ready is done.
func (n *Node) Advance() {
	p := &n.pending
	if !p.outstanding {
		return
	}
	p.outstanding = false
	p.durableTerm = p.hardState.Term
	n.log.stable = max(n.log.stable, p.entriesTo)
	n.log.applied = max(n.log.applied, p.appliedTo)
	if n.role == Leader {
		n.advanceCommit()
	}
}

// TakeHeartbeats removes and returns the heartbeats and replies to heartbeats that were queued since
// the last Ready. They may be sent before it is durable, so that a slow disk does not end a leadership:
// they confirm the term alone, and there are none before the term is durable.
func (n *Node) TakeHeartbeats() []Message {
	p := &n.pending
	if p.durableTerm != n.term {
		return nil
	}
	// A later read needs a round that is sent after it was requested.
	n.leading.roundQueued = false
	var heartbeats, others []Message
	for _, message := range p.messages {
		isHeartbeat := message.Kind == MessageHeartbeat || message.Kind == MessageHeartbeatReply
		if isHeartbeat && message.Term == n.term {
			heartbeats = append(heartbeats, message)
		} else {
			others = append(others, message)
		}
	}
	p.messages = others
	return heartbeats
}

// Compact discards the log up to a snapshot, which must be durable before the next Ready is
// handled. The snapshot's Index must be applied, and its Term and Membership must match
// the log at that index (see MembershipAt). The node retains the snapshot for members that
// lag behind. The error is a *structs.Error of kind invalid; compacting again at the same
// index is a no-op.
func (n *Node) Compact(snapshot Snapshot) error {
	if snapshot.Index == n.log.base {
		return nil
	}
	if snapshot.Index < n.log.base || snapshot.Index > n.log.applied {
		return errInvalid("snapshot index is not applied or not after the last snapshot",
			"Take the snapshot at Status().Applied.")
	}
	if !n.log.matches(snapshot.Index, snapshot.Term) {
		return errInvalid("snapshot term does not match the log", "Set Term to that of the applied entry.")
	}
	if !snapshot.valid() || !snapshot.Membership.Equal(n.history.at(snapshot.Index)) {
		return errInvalid("snapshot membership does not match the log",
			"Set Membership to MembershipAt(Index) before the snapshot is stored.")
	}
	n.log.compactTo(snapshot.Index, snapshot.Term)
	n.history.compactTo(snapshot.Index)
	n.snapshot = snapshot
	return nil
}
