package raft

// pendingReady is the work for the shell.
type pendingReady struct {
	// outstanding is set between a Ready with work and its Advance.
	outstanding bool
	messages    []Message
	readStates  []ReadState
	snapshot    *Snapshot
	// hardState is the last one handed out.
	hardState HardState
	// entriesTo and appliedTo are what Advance confirms.
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

// Ready hands out the work that has come up. It is empty until the one before it
// has been confirmed by Advance; a Ready without work needs no Advance.
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
		entriesTo:   n.log.last(),
		appliedTo:   n.log.commit,
	}
	n.leading.roundQueued = false
	return ready
}

// Advance says that the shell has done all the work of the last Ready.
func (n *Node) Advance() {
	p := &n.pending
	if !p.outstanding {
		return
	}
	p.outstanding = false
	n.log.stable = max(n.log.stable, p.entriesTo)
	n.log.applied = max(n.log.applied, p.appliedTo)
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact drops the log up to a snapshot that the shell made durable. The
// snapshot's Index must be applied, and its Term and Membership those of the log
// there (see MembershipAt). The node keeps it to send to other members. The error
// is a *structs.Error of kind invalid; compacting twice at an index is no error.
func (n *Node) Compact(snapshot Snapshot) error {
	if snapshot.Index == n.log.base {
		return nil
	}
	if snapshot.Index < n.log.base || snapshot.Index > n.log.applied {
		return errInvalid("snapshot is not at an applied index after the last snapshot",
			"Take the snapshot at Status().Applied.")
	}
	if !n.log.matches(snapshot.Index, snapshot.Term) {
		return errInvalid("snapshot has another term than the log", "Set Term to that of the applied entry.")
	}
	if !snapshot.valid() || !snapshot.Membership.Equal(n.history.at(snapshot.Index)) {
		return errInvalid("snapshot has another membership than the log",
			"Set Membership to MembershipAt(Index) before the snapshot is stored.")
	}
	n.log.compactTo(snapshot.Index, snapshot.Term)
	n.history.compactTo(snapshot.Index)
	n.snapshot = snapshot
	return nil
}
