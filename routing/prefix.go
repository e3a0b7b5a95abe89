package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// PrefixBlockBytes is the size of the prompt blocks that are hashed.
const PrefixBlockBytes = 256

// PrefixBlockLimit is how many blocks of a prompt are hashed at most.
const PrefixBlockLimit = 8

// hintRunners is how many runners are remembered for one prefix.
const hintRunners = 4

// prefixMultiplier chains the block hashes (the odd constant of splitmix64).
const prefixMultiplier = 0x9e3779b97f4a7c15

// PrefixHashes appends to destination one hash for each whole block of the
// prompt, at most PrefixBlockLimit: the i-th covers the prompt's first i+1
// blocks. Engines report the same hashes in their cache events.
func PrefixHashes(destination []uint64, prompt string) []uint64 {
	chained := uint64(0)
	for block := 0; block < PrefixBlockLimit; block++ {
		end := (block + 1) * PrefixBlockBytes
		if end > len(prompt) {
			break
		}
		chained = chained*prefixMultiplier + xxhash.Sum64String(prompt[end-PrefixBlockBytes:end])
		destination = append(destination, chained)
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

// CacheChange is a runner's statement that it cached or evicted a prefix.
type CacheChange struct {
	Runner     structs.RunnerID
	Sequence   uint64
	Row        structs.RowName
	PrefixHash uint64
	Evicted    bool
}

func rowSeed(name structs.RowName) uint64 { return xxhash.Sum64String(string(name)) }
