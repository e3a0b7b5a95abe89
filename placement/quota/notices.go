package quota

import "time"

const (
	// maxNotices bounds the refused callers of a tenant that are remembered.
	maxNotices = 4096
	// awayShare is the part of its time that a caller stays away, at most: what it has left is told
	// by that.
	awayShare = 1.0 / 3
)

// notices remembers callers that were refused without a promise. One that comes back as it was told, or
// as its time allows, has a second chance. One that repeats sooner, or again, has none at the
// expense of others: a caller that repeats often would be served before all that do as they are
// told.
type notices struct {
	byDigest map[uint64]notice
	// listed are in the order in which they were made.
	listed []listedNotice
}

// notice is about one caller: until when it comes too early, and when its time is over.
type notice struct {
	until    time.Time
	forgetAt time.Time
}

type listedNotice struct {
	digest   uint64
	forgetAt time.Time
}

// add notes that a caller that may stay away for some time was refused.
func (n *notices) add(at time.Time, digest uint64, away time.Duration) {
	if digest == 0 || len(n.listed) >= maxNotices {
		return
	}
	if n.byDigest == nil {
		n.byDigest = make(map[uint64]notice)
	}
	if known, isKnown := n.byDigest[digest]; isKnown {
		known.until = known.forgetAt
		n.byDigest[digest] = known
		return
	}
	over := at.Add(time.Duration(float64(away)/awayShare) + promiseLife)
	n.byDigest[digest] = notice{until: at.Add(away), forgetAt: over}
	n.listed = append(n.listed, listedNotice{digest, over})
}

// isEarly reports whether a request comes before it may have another chance.
func (n *notices) isEarly(at time.Time, digest uint64) bool {
	return at.Before(n.byDigest[digest].until)
}

// expire forgets callers whose time is over. One behind another whose time is longer is kept as
// long.
func (n *notices) expire(at time.Time) {
	kept := 0
	for kept < len(n.listed) && !at.Before(n.listed[kept].forgetAt) {
		delete(n.byDigest, n.listed[kept].digest)
		kept++
	}
	n.listed = n.listed[kept:]
}
