package raft

// ProgressState says how a leader sends the log to a member.
type ProgressState uint8

// The states of a member's progress.
const (
	// ProgressProbe: the leader looks for the last common entry, one message at a time.
	ProgressProbe ProgressState = iota
	// ProgressReplicate: the leader sends entries ahead of their acknowledgement.
	ProgressReplicate
	// ProgressSnapshot: the leader waits until the member has restored a snapshot.
	ProgressSnapshot
)

// maxSnapshotBackoff bounds how often the wait for a snapshot's reply is doubled.
const maxSnapshotBackoff = 6

// progress is what a leader knows of one other member.
type progress struct {
	match uint64
	next  uint64
	state ProgressState
	// probing is set between the sending of a probe and an answer to it.
	probing bool
	// probeWanted asks for an append even when there is no entry to send.
	probeWanted bool
	// sentCommit is the highest commit index sent in an append.
	sentCommit uint64
	inflight   inflightWindow
	// ackedRound is the newest heartbeat round answered; heardUntil is the tick
	// ElectionTicks after that round was sent, 0 before any answer.
	ackedRound uint64
	heardUntil uint64

	pendingSnapshot  uint64
	snapshotSentAt   uint64
	snapshotAttempts int

	// knownCommit is the commit index that the member told in a heartbeat reply.
	knownCommit uint64
	// departsAt is the index of the entry that removed the member, 0 for members.
	// The member is sent the log until it knows that the entry is committed, or until
	// departsUntil.
	departsAt    uint64
	departsUntil uint64
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

// sent records an append of the entries up to last.
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

// acknowledged records that the member has the log up to index; true when new.
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

// rejected goes back to probing at next after an append behind rejectedIndex was
// refused; false when the refusal is stale.
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

// snapshotOverdue reports whether the reply to a snapshot is given up on; the
// wait doubles with every attempt.
func (p *progress) snapshotOverdue(now uint64, electionTicks int) bool {
	if p.state != ProgressSnapshot {
		return false
	}
	backoff := min(p.snapshotAttempts-1, maxSnapshotBackoff)
	return now-p.snapshotSentAt >= uint64(electionTicks)<<backoff
}

// departed reports whether a removed member needs the log no longer.
func (p *progress) departed(now uint64) bool {
	if p.departsAt == 0 {
		return false
	}
	return now >= p.departsUntil || p.knownCommit >= p.departsAt
}

// inflightWindow is a ring of the last indexes of the appends that are not
// acknowledged yet.
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
