package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// PrefixBlockBytes is the size of an engine's prefix blocks.
const PrefixBlockBytes = 64

// PrefixHashLimit is the maximum number of prefixes hashed per prompt.
const PrefixHashLimit = 8

// hintRunners is the number of runners remembered per prefix.
const hintRunners = 4

// PrefixHashes appends to destination the hashes of the prompt's first 1, 2, 4, 8 and
// so on whole blocks, at most PrefixHashLimit. They are the keys of cached blocks at
// the engines: the hash of the row's name, a zero byte and the prompt up to the end of
// the block.
func PrefixHashes(destination []uint64, row structs.RowName, prompt string) []uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(row))
	_, _ = digest.Write([]byte{0})
	hashed := 0
	for count := range PrefixHashLimit {
		end := PrefixBlockBytes << count
		if end > len(prompt) {
			break
		}
		_, _ = digest.WriteString(prompt[hashed:end])
		hashed = end
		destination = append(destination, digest.Sum64())
	}
	return destination
}

// hint lists the numbers of runners that probably have a prefix cached, the most
// recent one first; 0 marks an empty entry.
type hint [hintRunners]uint32

// hints is a bounded cache of prefixes in two generations: when the younger one is
// full it replaces the older one, which is discarded.
type hints struct {
	limit   int
	younger map[uint64]hint
	older   map[uint64]hint
}

func newHints(limit int) hints {
	return hints{limit: max(1, limit/2), younger: make(map[uint64]hint), older: make(map[uint64]hint)}
}

func (h *hints) find(key uint64) (hint, bool) {
	if found, ok := h.younger[key]; ok {
		return found, true
	}
	found, ok := h.older[key]
	return found, ok
}

func (h *hints) learn(key uint64, runner uint32) {
	known, young := h.younger[key]
	if young && known[0] == runner {
		return
	}
	if !young {
		known = h.older[key]
	}
	updated := hint{runner}
	next := 1
	for _, other := range known {
		if other != 0 && other != runner && next < hintRunners {
			updated[next] = other
			next++
		}
	}
	h.store(key, updated)
}

func (h *hints) forget(key uint64, runner uint32) {
	known, ok := h.find(key)
	if !ok {
		return
	}
	kept := hint{}
	next := 0
	for _, other := range known {
		if other != 0 && other != runner {
			kept[next] = other
			next++
		}
	}
	h.store(key, kept)
}

func (h *hints) store(key uint64, value hint) {
	if _, young := h.younger[key]; !young && len(h.younger) >= h.limit {
		recycled := h.older
		clear(recycled)
		h.older = h.younger
		h.younger = recycled
	}
	h.younger[key] = value
}

// CacheChange is a runner's event that it cached or evicted a prefix, or cleared its
// cache.
type CacheChange struct {
	Runner     structs.RunnerID
	Sequence   uint64
	PrefixHash uint64
	Evicted    bool
	Cleared    bool
}
