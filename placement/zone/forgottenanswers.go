package zone

import (
	"slices"
)

const (
	// forgottenSpan is how many seconds of expiry share a batch of keys; a key is
	// kept for up to that much longer than it must be.
	forgottenSpan = 1800
	// forgottenRecent bounds the keys of a batch that are not in order yet.
	forgottenRecent = 256
)

// forgottenAnswers holds the keys of finished claims of which nothing else is kept:
// a resend learns that the request ran, and not who has the answer. It costs 8
// bytes a key.
type forgottenAnswers struct {
	// batches are ordered by end.
	batches []forgottenBatch
	count   int
}

// forgottenBatch holds the keys that expire within forgottenSpan before end, in
// seconds since 1970.
type forgottenBatch struct {
	end uint32
	// sorted are the keys in order, recent those that came since they were sorted.
	sorted []keyHash
	recent []keyHash
}

// batchEnd returns the end of the batch of keys that expire at the given time.
func batchEnd(at uint32) uint32 {
	const most = (1<<32 - 1) / forgottenSpan
	return min(at/forgottenSpan+1, most) * forgottenSpan
}

func (f *forgottenAnswers) has(hash keyHash) bool {
	for i := range f.batches {
		if f.batches[i].has(hash) {
			return true
		}
	}
	return false
}

func (b *forgottenBatch) has(hash keyHash) bool {
	if slices.Contains(b.recent, hash) {
		return true
	}
	_, found := slices.BinarySearch(b.sorted, hash)
	return found
}

// add keeps a key until its time; it must not be kept already.
func (f *forgottenAnswers) add(hash keyHash, expiresAt uint32) {
	end := batchEnd(expiresAt)
	at, found := slices.BinarySearchFunc(f.batches, end, func(b forgottenBatch, end uint32) int { return int(b.end) - int(end) })
	if !found {
		f.batches = slices.Insert(f.batches, at, forgottenBatch{end: end})
	}
	f.batches[at].add(hash)
	f.count++
}

func (b *forgottenBatch) add(hash keyHash) {
	b.recent = append(b.recent, hash)
	if len(b.recent) >= forgottenRecent {
		b.sorted = b.all()
		b.recent = b.recent[:0]
	}
}

// all returns the keys in order, in memory of its own.
func (b *forgottenBatch) all() []keyHash {
	recent := slices.Sorted(slices.Values(b.recent))
	merged := make([]keyHash, 0, len(b.sorted)+len(recent))
	rest := b.sorted
	for _, hash := range recent {
		at, _ := slices.BinarySearch(rest, hash)
		merged = append(append(merged, rest[:at]...), hash)
		rest = rest[at:]
	}
	return append(merged, rest...)
}

func (b *forgottenBatch) size() int { return len(b.sorted) + len(b.recent) }

// expire forgets the batches whose keys have all expired.
func (f *forgottenAnswers) expire(now int64) {
	over := 0
	for over < len(f.batches) && int64(f.batches[over].end) <= now {
		f.count -= f.batches[over].size()
		over++
	}
	f.batches = slices.Delete(f.batches, 0, over)
}

// firstEnd returns when the first batch may be forgotten, and false when there is none.
func (f *forgottenAnswers) firstEnd() (uint32, bool) {
	if len(f.batches) == 0 {
		return 0, false
	}
	return f.batches[0].end, true
}
