package routing

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Work describes a request to be placed.
type Work struct {
	// Prefixes are the PrefixHashes of the prompt, the shortest first.
	Prefixes []uint64
	// Lengths are the token counts of the Prefixes. It may be shorter than Prefixes.
	Lengths []int64
	// Prompt is the number of tokens of the prompt; 0 if unknown.
	Prompt int64
	// Avoid is a runner that is chosen only if no other one has capacity. Excluded is never
	// chosen.
	Avoid    structs.RunnerID
	Excluded structs.RunnerID
	// Zones are the zones whose runners may be chosen; nil allows all.
	Zones map[structs.ZoneID]bool
	// Version is the software version that a runner must have; empty allows all.
	Version string
	// forLease is set to find a runner whose slots are to be claimed for the work.
	forLease bool
}

// allows reports whether the runner may get the work, regardless of its load.
func (w *Work) allows(target *runner) bool {
	if w.Excluded != "" && target.info.ID == w.Excluded {
		return false
	}
	if w.Version != "" && target.info.Version != w.Version {
		return false
	}
	return w.Zones == nil || w.Zones[target.info.Zone]
}

// maxPrefixes bounds the prefixes looked up for one choice.
const maxPrefixes = PrefixHashLimit

// lookup holds what is known of one prompt and of the load of other routers.
type lookup struct {
	known [maxPrefixes]hint
	// saved is the number of tokens that need no processing where the prefix is cached.
	saved [maxPrefixes]int64
	count int
	// peers is the load of other routers.
	peers peerLoad
}

// lookUp finds the runners that have cached the prefixes of the prompt.
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
	found.peers = b.peerLoad(now, wanted)
	return found
}

// cachedTokens returns how many tokens of the prompt the runner with the given number
// has probably cached.
func (l *lookup) cachedTokens(number uint32) int64 {
	for index := l.count - 1; index >= 0; index-- {
		if slices.Contains(l.known[index][:], number) {
			return l.saved[index]
		}
	}
	return 0
}

// defaultPromptTokens is the assumed size of a prompt of unknown size.
const defaultPromptTokens = 500

// tokens returns the size of the prompt in tokens.
func (w *Work) tokens() int64 {
	if w.Prompt > 0 {
		return w.Prompt
	}
	return defaultPromptTokens
}
