package versions

import (
	"slices"
	"time"
)

const (
	// CertainTime is how long after the leader said so a router believes that runners of one version alone serve.
	CertainTime = 3 * time.Second
	// certainMargin is added to CertainTime by the leader, as clocks differ in speed.
	certainMargin = 300 * time.Millisecond
)

// Introductions hold new software versions back until no router takes the ones before for the only ones: each router has been told of the
// new version, or what it was told before is older than CertainTime. Otherwise a stream that the new version began might be taken up
// at a router that has not heard of it, and go on at another version. Create one with NewIntroductions.
type Introductions struct {
	// startedAt is when the leadership began. Routers may believe what the leader before said until CertainTime later.
	startedAt time.Time
	pending   map[Key]introduction
}

// introduction is a version that routers have been told of since the time at. Those that have the revision know it.
type introduction struct {
	at       time.Time
	revision uint64
}

// NewIntroductions returns the Introductions of a leadership that began at the given time, without any version held back.
func NewIntroductions(startedAt time.Time) *Introductions {
	return &Introductions{startedAt: startedAt, pending: make(map[Key]introduction)}
}

// Begin holds a version back of which routers are told from now on, together with the given revision and later ones. A version that is
// held back already stays so.
func (i *Introductions) Begin(now time.Time, key Key, revision uint64) {
	if _, isPending := i.pending[key]; !isPending {
		i.pending[key] = introduction{now, revision}
	}
}

// Released is a version that was held back.
type Released struct {
	Key Key
	// HeldFor is for how long it was, and IsKnownToAll is set if all routers know it.
	HeldFor      time.Duration
	IsKnownToAll bool
}

// End releases the versions whose time has come, and returns them sorted. known is the lowest revision of the routers that may believe
// what they were told.
func (i *Introductions) End(now time.Time, known uint64) (released []Released) {
	for key, begun := range i.pending {
		ended := Released{key, now.Sub(begun.at), known >= begun.revision}
		hasForgottenFormer := now.Sub(i.startedAt) >= CertainTime+certainMargin
		if ended.IsKnownToAll && hasForgottenFormer || ended.HeldFor >= CertainTime+certainMargin {
			released = append(released, ended)
			delete(i.pending, key)
		}
	}
	slices.SortFunc(released, func(a, b Released) int { return CompareKeys(a.Key, b.Key) })
	return released
}

// IsPending reports whether a version is held back.
func (i *Introductions) IsPending(key Key) bool {
	_, isPending := i.pending[key]
	return isPending
}

// Awaited returns the highest revision for which versions are held back; 0 for none.
func (i *Introductions) Awaited() (revision uint64) {
	for _, begun := range i.pending {
		revision = max(revision, begun.revision)
	}
	return revision
}
