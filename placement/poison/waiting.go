package poison

import (
	"slices"
	"strings"
	"time"
)

const (
	// waitingTTL is how long after its last question a request counts as waiting for a trial. It exceeds the interval of the
	// questions of a router.
	waitingTTL = 400 * time.Millisecond
	// maxWaitingSets bounds the sets of suspects that are remembered.
	maxWaitingSets = 256
)

// waitingSets holds the sets of suspects of the requests that wait for a trial, by their digests in the order of the prompt.
type waitingSets map[string]waitingSet

// waitingSet is the set of suspects of a waiting request, and when one with it asked last.
type waitingSet struct {
	suspects []Digest
	askedAt  time.Time
}

// setKey returns the key of a set of suspects.
func setKey(suspects []Digest) string {
	var key strings.Builder
	for _, digest := range suspects {
		key.Write(digest[:])
	}
	return key.String()
}

// add remembers that a request with the suspects waits.
func (w waitingSets) add(now time.Time, suspects []Digest) {
	key := setKey(suspects)
	if _, isKnown := w[key]; !isKnown && len(w) >= maxWaitingSets {
		return
	}
	w[key] = waitingSet{suspects: suspects, askedAt: now}
}

// remove forgets a set of suspects, one of whose requests is tried.
func (w waitingSets) remove(suspects []Digest) { delete(w, setKey(suspects)) }

// has reports whether a request waits whose suspects meet the condition.
func (w waitingSets) has(now time.Time, condition func(suspects []Digest) bool) bool {
	for _, each := range w {
		if now.Sub(each.askedAt) <= waitingTTL && condition(each.suspects) {
			return true
		}
	}
	return false
}

// isSubset reports whether one set is a proper subset of another.
func isSubset(set, of []Digest) bool {
	if len(set) >= len(of) {
		return false
	}
	return !slices.ContainsFunc(set, func(digest Digest) bool { return !slices.Contains(of, digest) })
}

// intersects reports whether two sets share a digest.
func intersects(a, b []Digest) bool {
	return slices.ContainsFunc(a, func(digest Digest) bool { return slices.Contains(b, digest) })
}

// expire forgets the requests that have not asked again.
func (w waitingSets) expire(now time.Time) {
	for key, each := range w {
		if now.Sub(each.askedAt) > waitingTTL {
			delete(w, key)
		}
	}
}
