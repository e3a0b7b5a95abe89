package zone

import (
	"slices"
)

const (
	// keyBatchSeconds is the span of expiry times in a batch. A key may be kept for
	// up to that much longer than necessary.
	keyBatchSeconds = 1800
	// maxUnsortedKeys is the number of unsorted keys at which a batch is sorted.
	maxUnsortedKeys = 256
)

// keyOnlyClaims holds the keys of finished claims that were reduced to save memory. A
// resent request is known to have run, but not who stores the answer. Each key takes
// 8 bytes.
type keyOnlyClaims struct {
	// keyBatches is ordered by end.
	keyBatches []keyBatch
	count      int
}

// keyBatch holds the keys that expire in the keyBatchSeconds before end, in Unix
// seconds.
type keyBatch struct {
	end uint32
	// sorted contains the sorted keys, unsorted the keys added since.
	sorted   []keyHash
	unsorted []keyHash
}

// batchEnd returns the end of the batch of keys that expire at the given time.
func batchEnd(at uint32) uint32 {
	const most = (1<<32 - 1) / keyBatchSeconds
	return min(at/keyBatchSeconds+1, most) * keyBatchSeconds
}

func (f *keyOnlyClaims) has(hash keyHash) bool {
	for i := range f.keyBatches {
		if f.keyBatches[i].has(hash) {
			return true
		}
	}
	return false
}

func (b *keyBatch) has(hash keyHash) bool {
	if slices.Contains(b.unsorted, hash) {
		return true
	}
	_, found := slices.BinarySearch(b.sorted, hash)
	return found
}

// add adds a key until its expiry. The key must not be present.
func (f *keyOnlyClaims) add(hash keyHash, expiresAt uint32) {
	end := batchEnd(expiresAt)
	at, found := slices.BinarySearchFunc(f.keyBatches, end, func(b keyBatch, end uint32) int { return int(b.end) - int(end) })
	if !found {
		f.keyBatches = slices.Insert(f.keyBatches, at, keyBatch{end: end})
	}
	f.keyBatches[at].add(hash)
	f.count++
}

func (b *keyBatch) add(hash keyHash) {
	b.unsorted = append(b.unsorted, hash)
	if len(b.unsorted) >= maxUnsortedKeys {
		b.sorted = b.all()
		b.unsorted = b.unsorted[:0]
	}
}

// all returns a sorted copy of the keys.
func (b *keyBatch) all() []keyHash {
	recent := slices.Sorted(slices.Values(b.unsorted))
	merged := make([]keyHash, 0, len(b.sorted)+len(recent))
	rest := b.sorted
	for _, hash := range recent {
		at, _ := slices.BinarySearch(rest, hash)
		merged = append(append(merged, rest[:at]...), hash)
		rest = rest[at:]
	}
	return append(merged, rest...)
}

func (b *keyBatch) size() int { return len(b.sorted) + len(b.unsorted) }

// expire removes the batches whose keys have all expired.
func (f *keyOnlyClaims) expire(now int64) {
	over := 0
	for over < len(f.keyBatches) && int64(f.keyBatches[over].end) <= now {
		f.count -= f.keyBatches[over].size()
		over++
	}
	f.keyBatches = slices.Delete(f.keyBatches, 0, over)
}

// firstEnd returns the end of the first batch, and false if there is none.
func (f *keyOnlyClaims) firstEnd() (uint32, bool) {
	if len(f.keyBatches) == 0 {
		return 0, false
	}
	return f.keyBatches[0].end, true
}
