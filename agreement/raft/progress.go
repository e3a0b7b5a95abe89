package raft

// ProgressState is how a leader replicates the log to a member.
type ProgressState uint8

// The states of a member's progress.
const (
	// ProgressProbe: the leader searches for the last common entry, one append at a time.
	ProgressProbe ProgressState = iota
	// ProgressReplicate: the leader sends entries ahead of their acknowledgement.
	ProgressReplicate
	// ProgressSnapshot: the leader waits until the member has restored a snapshot.
	ProgressSnapshot
)

// maxSnapshotBackoff bounds the number of doublings of the snapshot reply timeout.
const maxSnapshotBackoff = 6

// progress tracks the replication to one other member.
type progress struct {
	match uint64
	next  uint64
	state ProgressState
	// probing is set while a probe awaits its reply.
	probing bool
	// probeWanted requests an append even if there are no entries to send.
	probeWanted bool
	// sentCommit is the highest commit index sent in an append.
	sentCommit uint64
	inflight   inflightWindow
	// ackedRound is the newest heartbeat round answered; activeUntil is the tick
	// ElectionTicks after that round was sent, 0 before any reply.
	ackedRound  uint64
	activeUntil uint64

	pendingSnapshot  uint64
	snapshotSentAt   uint64
	snapshotAttempts int

	// knownCommit is the highest commit index the member reported in a heartbeat reply.
	knownCommit uint64
	// removalIndex is the index of the entry that removed the member, 0 for current members.
	// The leader keeps replicating to it until the member knows that the entry is
	// committed, or until removalDeadline.
	removalIndex    uint64
	removalDeadline uint64
}

func newProgress(last uint64, window int) *progress {
	return &progress{
		next:        last + 1,
		probeWanted: true,
		inflight:    inflightWindow{limit: window},
	}
}

func (p *progress) becomeProbe(next uint64) {
	p.state = ProgressProbe
	p.probing = false
	p.probeWanted = true
	p.inflight.reset()
	p.next = max(next, p.match+1)
}

func (p *progress) becomeReplicate() {
	p.state = ProgressReplicate
	p.probing = false
	p.inflight.reset()
	p.next = p.match + 1
	p.snapshotAttempts = 0
}

func (p *progress) becomeSnapshot(index, now uint64) {
	p.state = ProgressSnapshot
	p.probeWanted = false
	p.inflight.reset()
	p.pendingSnapshot = index
	p.snapshotSentAt = now
	p.snapshotAttempts++
}

func (p *progress) paused() bool {
	switch p.state {
	case ProgressProbe:
		return p.probing
	case ProgressReplicate:
		return p.inflight.full()
	default:
		return true
	}
}

// wantsAppend reports whether an append to the member is due.
func (p *progress) wantsAppend(last, commit uint64) bool {
	if p.paused() {
		return false
	}
	return p.next <= last || p.probeWanted || p.sentCommit < commit
}

// sent records that an append with count entries, up to last, was sent.
func (p *progress) sent(last uint64, count int, commit uint64) {
	p.probeWanted = false
	p.sentCommit = commit
	if p.state == ProgressProbe {
		p.probing = true
		return
	}
	if count > 0 {
		p.next = last + 1
		p.inflight.add(last)
	}
}

// acknowledged records that the member has the log up to index, and reports whether
// that is progress.
func (p *progress) acknowledged(index uint64) bool {
	moved := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.inflight.freeUpTo(index)
	switch p.state {
	case ProgressProbe:
		p.becomeReplicate()
	case ProgressSnapshot:
		if p.match >= p.pendingSnapshot {
			p.becomeReplicate()
		}
	}
	return moved
}

// rejected returns to probing at next after the member rejected an append at
// rejectedIndex. It reports false if the rejection is stale.
func (p *progress) rejected(rejectedIndex, next uint64) bool {
	switch p.state {
	case ProgressReplicate:
		if rejectedIndex <= p.match || rejectedIndex >= p.next {
			return false
		}
		p.becomeProbe(p.match + 1)
	case ProgressProbe:
		if rejectedIndex != p.next-1 {
			return false
		}
		p.becomeProbe(min(rejectedIndex, next))
	default:
		return false
	}
	return true
}

// snapshotOverdue reports whether the reply to a snapshot has timed out. The timeout
// doubles with every attempt.
func (p *progress) snapshotOverdue(now uint64, electionTicks int) bool {
	if p.state != ProgressSnapshot {
		return false
	}
	backoff := min(p.snapshotAttempts-1, maxSnapshotBackoff)
	return now-p.snapshotSentAt >= uint64(electionTicks)<<backoff
}

// removalDone reports whether a removed member no longer needs the log.
func (p *progress) removalDone(now uint64) bool {
	if p.removalIndex == 0 {
		return false
	}
	return now >= p.removalDeadline || p.knownCommit >= p.removalIndex
}

// inflightWindow is a ring buffer of the last index of each unacknowledged append.
type inflightWindow struct {
	limit  int
	start  int
	count  int
	buffer []uint64
}

func (w *inflightWindow) full() bool { return w.count >= w.limit }

func (w *inflightWindow) reset() { w.start, w.count = 0, 0 }

func (w *inflightWindow) add(last uint64) {
	if w.full() {
		return
	}
	if w.buffer == nil {
		w.buffer = make([]uint64, w.limit)
	}
	w.buffer[(w.start+w.count)%w.limit] = last
	w.count++
}

func (w *inflightWindow) freeUpTo(index uint64) {
	for w.count > 0 && w.buffer[w.start] <= index {
		w.freeOldest()
	}
}

func (w *inflightWindow) freeOldest() {
	if w.count == 0 {
		return
	}
	w.start = (w.start + 1) % w.limit
	w.count--
}
