package routing

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Work is what a request asks of a replica.
type Work struct {
	// Prefixes are the prompt's PrefixHashes, the shortest first.
	Prefixes []uint64
	// Lengths are how many tokens the prompt has up to the end of each of the Prefixes; if there
	// are fewer, nothing is known of the others.
	Lengths []int64
	// Prompt is how many tokens the prompt has; 0 if it is not known.
	Prompt int64
	// Avoid names a runner that is chosen only if no other one has room, Barred one that is not
	// chosen at all.
	Avoid  structs.RunnerID
	Barred structs.RunnerID
	// Zones are those of the runners that may be chosen; nil for all.
	Zones map[structs.ZoneID]bool
}

// allows reports whether the runner may get the work at all, however busy it is.
func (w *Work) allows(target *runner) bool {
	if w.Barred != "" && target.info.ID == w.Barred {
		return false
	}
	return w.Zones == nil || w.Zones[target.info.Zone]
}

// maxPrefixes bounds the prefixes of a prompt that are looked up for one choice.
const maxPrefixes = PrefixHashLimit

// lookup is what is remembered of the prefixes of one prompt.
type lookup struct {
	known [maxPrefixes]hint
	// saved is how many tokens need not be read where the prefix is cached.
	saved [maxPrefixes]int64
	count int
	// outlook is what is known of the work of others.
	outlook outlook
}

// lookUp finds who has cached which prefix of the prompt.
func (b *Balancer) lookUp(now time.Time, wanted *row, work *Work) lookup {
	var found lookup
	prompt := work.tokens()
	found.count = min(len(work.Prefixes), maxPrefixes)
	for index := range found.count {
		found.known[index], _ = b.hints.find(work.Prefixes[index])
		found.saved[index] = prompt * int64(index+1) / int64(len(work.Prefixes)+1)
		if index < len(work.Lengths) {
			found.saved[index] = min(work.Lengths[index], prompt)
		}
	}
	found.outlook = b.look(now, wanted)
	return found
}

// cachedTokens is how many tokens of the prompt the runner with the number probably has in its
// cache.
func (l *lookup) cachedTokens(number uint32) int64 {
	for index := l.count - 1; index >= 0; index-- {
		if slices.Contains(l.known[index][:], number) {
			return l.saved[index]
		}
	}
	return 0
}

// usualPrompt is how many tokens a prompt is taken to have that does not say: a few paragraphs.
// It only weighs beside prompts that say their size.
const usualPrompt = 500

// tokens is the length of the prompt.
func (w *Work) tokens() int64 {
	if w.Prompt > 0 {
		return w.Prompt
	}
	return usualPrompt
}
