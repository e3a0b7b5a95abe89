package zone

import "cmp"

// expiryEntry is the expiry of a finished claim, in Unix seconds.
type expiryEntry struct {
	at  uint32
	key keyHash
}

// expiryHeap orders the finished claims by expiry, then key.
type expiryHeap []expiryEntry

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].key, h[j].key)) < 0
}

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(entry any) { *h = append(*h, entry.(expiryEntry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	*h = (*h)[:last]
	return entry
}
