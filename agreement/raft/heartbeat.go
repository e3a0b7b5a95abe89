package raft

import "github.com/lotusferry/lotusferry/structs"

// maxPendingReads bounds the reads that wait for their heartbeat round.
const maxPendingReads = 1 << 16

// roundTick says that the rounds from round on were sent at tick or later.
type roundTick struct {
	round uint64
	tick  uint64
}

// readRequest is a read that waits until a quorum has answered round.
type readRequest struct {
	context uint64
	index   uint64
	round   uint64
}

// broadcastHeartbeat starts a heartbeat round.
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
		// A member is never told a commit index past what it is known to have.
		commit := min(l.progress[id].match, n.log.commit)
		n.send(Message{Kind: MessageHeartbeat, To: id, Commit: commit, Context: l.round})
	}
}

// recordRound notes that the member answered a heartbeat round. The lease counts
// from the tick at which the round was sent, not from the answer.
func (n *Node) recordRound(round uint64, member *progress) {
	if round <= member.ackedRound {
		return
	}
	member.ackedRound = round
	ticks := n.leading.roundTicks
	for i := len(ticks) - 1; i >= 0; i-- {
		if ticks[i].round <= round {
			member.heardUntil = ticks[i].tick + uint64(n.config.ElectionTicks)
			return
		}
	}
}

// quorumHeardUntil returns the tick that is ElectionTicks after the newest round
// that a quorum answered, or 0.
func (n *Node) quorumHeardUntil() uint64 {
	return n.quorumValue(func(id NodeID) uint64 {
		if id == n.id {
			return n.now + uint64(n.config.ElectionTicks)
		}
		if member := n.leading.progress[id]; member != nil {
			return member.heardUntil
		}
		return 0
	})
}

// quorumLost reports whether the leader has not heard from a quorum for ElectionTicks.
func (n *Node) quorumLost() bool {
	if n.now < n.leading.electedAt+uint64(n.config.ElectionTicks) {
		return false
	}
	return n.quorumHeardUntil() <= n.now
}

// LeaseValid reports whether no other node can have become leader yet: a quorum
// answered a heartbeat that this leader sent less than about ElectionTicks ago (see
// the package comment), and leadership is not being handed over.
func (n *Node) LeaseValid() bool {
	if n.role != Leader || n.leading.transferSent {
		return false
	}
	margin := n.config.ElectionTicks - n.config.leaseTicks()
	return n.quorumHeardUntil() > n.now+uint64(margin)
}

// ReadIndex asks for a linearizable read; the answer comes as a ReadState with the
// same context, or never if the node stops leading. The error is a *structs.Error
// of kind not_leader, or overloaded when too many reads wait.
func (n *Node) ReadIndex(context uint64) error {
	l := &n.leading
	if n.role != Leader {
		return n.errNotLeader()
	}
	if len(l.reads) >= maxPendingReads {
		return structs.NewError(structs.ErrorOverloaded, "too many reads wait for a quorum", "Retry later; if it lasts, check that a majority of the members runs and is reachable.")
	}
	if !l.roundQueued {
		n.broadcastHeartbeat()
	}
	index := max(n.log.commit, l.firstIndex)
	l.reads = append(l.reads, readRequest{context: context, index: index, round: l.round})
	n.answerReads()
	return nil
}

// answerReads hands out the reads whose round a quorum has answered.
func (n *Node) answerReads() {
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
