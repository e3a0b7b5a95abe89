package raft

import "github.com/lotusferry/lotusferry/structs"

// maxPendingReads bounds the reads waiting for a heartbeat round.
const maxPendingReads = 1 << 16

// roundTick records that heartbeat rounds from round on were sent at tick or later.
type roundTick struct {
	round uint64
	tick  uint64
}

// readRequest is a read that completes once a quorum has answered round.
type readRequest struct {
	context uint64
	index   uint64
	round   uint64
}

// broadcastHeartbeat starts a heartbeat round and queues its messages.
func (n *Node) broadcastHeartbeat() {
	l := &n.leading
	n.heartbeatElapsed = 0
	l.round++
	l.roundQueued = true
	if count := len(l.roundTicks); count == 0 || l.roundTicks[count-1].tick != n.now {
		l.roundTicks = append(l.roundTicks, roundTick{l.round, n.now})
	}
	if l.roundTicks[0].tick+uint64(n.config.ElectionTicks) < n.now {
		l.roundTicks = append(l.roundTicks[:0], l.roundTicks[1:]...)
	}
	for _, id := range l.peers {
		// The commit index sent never exceeds what the member is known to have.
		commit := min(l.progress[id].match, n.log.commit)
		n.send(Message{Kind: MessageHeartbeat, To: id, Commit: commit, Context: l.round})
	}
}

// recordRound records that the member answered a heartbeat round. The lease counts
// from the tick at which the round was sent, not from the reply.
func (n *Node) recordRound(round uint64, member *progress) {
	if round <= member.ackedRound {
		return
	}
	member.ackedRound = round
	ticks := n.leading.roundTicks
	for i := len(ticks) - 1; i >= 0; i-- {
		if ticks[i].round <= round {
			member.activeUntil = ticks[i].tick + uint64(n.config.ElectionTicks)
			return
		}
	}
}

// quorumActiveUntil returns the tick ElectionTicks after the newest round that a
// quorum answered, or 0.
func (n *Node) quorumActiveUntil() uint64 {
	return n.quorumValue(func(id NodeID) uint64 {
		if id == n.id {
			return n.now + uint64(n.config.ElectionTicks)
		}
		if member := n.leading.progress[id]; member != nil {
			return member.activeUntil
		}
		return 0
	})
}

// quorumLost reports whether the leader has not heard from a quorum for ElectionTicks.
func (n *Node) quorumLost() bool {
	if n.now < n.leading.electedAt+uint64(n.config.ElectionTicks) {
		return false
	}
	return n.quorumActiveUntil() <= n.now
}

// LeaseValid reports whether the leader's lease is valid, so that no other node can
// have become leader: a quorum answered a heartbeat sent within the lease period (see
// the package comment), and no leadership transfer has been sent.
func (n *Node) LeaseValid() bool {
	if n.role != Leader || n.leading.transferSent {
		return false
	}
	margin := n.config.ElectionTicks - n.config.leaseTicks()
	return n.quorumActiveUntil() > n.now+uint64(margin)
}

// ReadIndex requests a linearizable read. The result is a ReadState with the same
// context; there is none if the node stops leading. The error is a *structs.Error of
// kind not_leader, or overloaded when too many reads are pending.
func (n *Node) ReadIndex(context uint64) error {
	l := &n.leading
	if n.role != Leader {
		return n.errNotLeader()
	}
	if len(l.reads) >= maxPendingReads {
		return structs.NewError(structs.ErrorOverloaded, "too many reads are waiting for a quorum", "Retry later; if the error persists, check that a majority of the members is running and reachable.")
	}
	if !l.roundQueued {
		n.broadcastHeartbeat()
	}
	index := max(n.log.commit, l.firstIndex)
	l.reads = append(l.reads, readRequest{context: context, index: index, round: l.round})
	n.releaseReads()
	return nil
}

// releaseReads completes the reads whose round a quorum has answered.
func (n *Node) releaseReads() {
	l := &n.leading
	if len(l.reads) == 0 {
		return
	}
	answered := n.quorumValue(func(id NodeID) uint64 {
		if id == n.id {
			return l.round
		}
		if member := l.progress[id]; member != nil {
			return member.ackedRound
		}
		return 0
	})
	served := 0
	for served < len(l.reads) && l.reads[served].round <= answered {
		read := l.reads[served]
		n.pending.readStates = append(n.pending.readStates, ReadState{Context: read.context, Index: read.index})
		served++
	}
	l.reads = append(l.reads[:0], l.reads[served:]...)
}
