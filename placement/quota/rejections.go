package quota

import "time"

const (
	// maxRejections bounds the remembered rejections per tenant.
	maxRejections = 4096
	// maxAwayShare is the largest part of a caller's remaining time that it may wait before a
	// retry. The remaining time is estimated from it.
	maxAwayShare = 1.0 / 3
)

// rejections remembers callers that were rejected without a booking. A caller that retries when
// told to gets another chance. One that retries earlier, or is rejected again, is admitted only
// without contention, so that frequent retries have no advantage.
type rejections struct {
	byDigest map[uint64]rejection
	// entries are in order of insertion.
	entries []rejectionEntry
}

// rejection is the state of one caller: its retries are too early until tooEarlyUntil, and its time
// is over at forgetAt.
type rejection struct {
	tooEarlyUntil time.Time
	forgetAt      time.Time
}

type rejectionEntry struct {
	digest   uint64
	forgetAt time.Time
}

// add records the rejection of a caller that may wait for the given time before it retries.
func (n *rejections) add(at time.Time, digest uint64, away time.Duration) {
	if digest == 0 || len(n.entries) >= maxRejections {
		return
	}
	if n.byDigest == nil {
		n.byDigest = make(map[uint64]rejection)
	}
	if known, isKnown := n.byDigest[digest]; isKnown {
		known.tooEarlyUntil = known.forgetAt
		n.byDigest[digest] = known
		return
	}
	forgetAt := at.Add(time.Duration(float64(away)/maxAwayShare) + bookingTTL)
	n.byDigest[digest] = rejection{tooEarlyUntil: at.Add(away), forgetAt: forgetAt}
	n.entries = append(n.entries, rejectionEntry{digest, forgetAt})
}

// isEarly reports whether a request is retried too early.
func (n *rejections) isEarly(at time.Time, digest uint64) bool {
	return at.Before(n.byDigest[digest].tooEarlyUntil)
}

// expire deletes callers whose time is over. An entry behind a longer-lived one is deleted with
// that one.
func (n *rejections) expire(at time.Time) {
	expired := 0
	for expired < len(n.entries) && !at.Before(n.entries[expired].forgetAt) {
		delete(n.byDigest, n.entries[expired].digest)
		expired++
	}
	n.entries = n.entries[expired:]
}
