package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// PrefixBlockBytes is the size of an engine's prefix blocks.
const PrefixBlockBytes = 64

// PrefixHashLimit is how many prefixes of a prompt are hashed at most.
const PrefixHashLimit = 8

// hintRunners is how many runners are remembered for one prefix.
const hintRunners = 4

// PrefixHashes appends to destination the hashes of the prompt's first 1, 2, 4, 8
// and so on whole blocks, at most PrefixHashLimit. They are the keys by which
// engines name cached blocks: the hash of the row's name, a zero byte and the
// prompt up to the end of the block. A router needs only these few of them.
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

// hint names runners, by number, that probably have a prefix cached; the most
// recent one is first and 0 means none.
type hint [hintRunners]uint32

// hints remembers prefixes in two generations: when the younger is full it
// becomes the older, and the older is forgotten.
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

// CacheChange is a runner's statement that it cached or evicted a prefix, or that
// its cache is empty.
type CacheChange struct {
	Runner     structs.RunnerID
	Sequence   uint64
	PrefixHash uint64
	Evicted    bool
	Cleared    bool
}
