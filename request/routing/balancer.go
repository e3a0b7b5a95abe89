package routing

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Balancer chooses replicas for one router.
type Balancer struct {
	options Options
	random  *rand.Rand
	runners map[structs.RunnerID]*runner
	rows    map[structs.RowName]*row
	// left holds the runners that Leave took out, with the life that left.
	left  map[structs.RunnerID]structs.Incarnation
	hints hints
	zones zones
	// lastNumber is the number that was given to a runner last.
	lastNumber uint32
	ejections  uint64
	cacheGaps  uint64
}

// New makes a Balancer without runners.
func New(options Options, random *rand.Rand) *Balancer {
	options = options.withDefaults()
	return &Balancer{
		options: options,
		random:  random,
		runners: make(map[structs.RunnerID]*runner),
		rows:    make(map[structs.RowName]*row),
		left:    make(map[structs.RunnerID]structs.Incarnation),
		hints:   newHints(options.HintLimit),
		zones:   zones{outOfReach: make(map[structs.ZoneID]bool)},
	}
}

// Pick chooses a replica of the row that has room, or reports false. Prefixes are
// the prompt's PrefixHashes. The runner named avoid is chosen only if no other
// one has room.
func (b *Balancer) Pick(now time.Time, name structs.RowName, prefixes []uint64, avoid structs.RunnerID) (Choice, bool) {
	wanted := b.rows[name]
	if wanted == nil || len(wanted.subset) == 0 {
		return Choice{}, false
	}
	best, score := b.sample(now, wanted, avoid)
	if best == nil {
		best, score = b.scan(now, wanted, avoid, b.usable)
	}
	if best == nil && avoid != "" {
		best, score = b.scan(now, wanted, "", b.usable)
	}
	if best == nil && b.options.UseFailing {
		best, score = b.scan(now, wanted, avoid, b.answers)
	}
	if best == nil {
		return Choice{}, false
	}
	if cached := b.cached(now, wanted, prefixes, avoid, score); cached != nil {
		best = cached
	}
	return Choice{balancer: b, replica: best, runner: best.runner.info}, true
}

// sample takes the best of a few replicas chosen at random.
func (b *Balancer) sample(now time.Time, wanted *row, avoid structs.RunnerID) (*replica, float64) {
	var best *replica
	lowest := 0.0
	size := len(wanted.subset)
	first := b.firstSample(wanted)
	choices := b.options.Choices + b.farSamples(wanted)
	for choice := 0; choice < choices && choice < size; choice++ {
		index := first
		switch {
		case choice >= b.options.Choices:
			index = wanted.far[b.random.IntN(len(wanted.far))]
		case choice > 0:
			index = (first + 1 + b.random.IntN(size-1)) % size
		}
		candidate := wanted.subset[index]
		if candidate == best || !b.usable(now, candidate, avoid) {
			continue
		}
		if score := b.score(now, candidate); best == nil || score < lowest {
			best, lowest = candidate, score
		}
	}
	return best, lowest
}

// scan takes the best that may be used of the whole subset, from a random start.
func (b *Balancer) scan(now time.Time, wanted *row, avoid structs.RunnerID,
	mayUse func(now time.Time, candidate *replica, avoid structs.RunnerID) bool) (*replica, float64) {
	var best *replica
	lowest := 0.0
	size := len(wanted.subset)
	first := b.random.IntN(size)
	for offset := range size {
		candidate := wanted.subset[(first+offset)%size]
		if !mayUse(now, candidate, avoid) {
			continue
		}
		if score := b.score(now, candidate); best == nil || score < lowest {
			best, lowest = candidate, score
		}
	}
	return best, lowest
}

// cached finds a runner that probably has the longest known prefix of the prompt
// and is not much more loaded than score.
func (b *Balancer) cached(now time.Time, wanted *row, prefixes []uint64, avoid structs.RunnerID, score float64) *replica {
	for index := len(prefixes) - 1; index >= 0; index-- {
		known, ok := b.hints.find(prefixes[index])
		if !ok {
			continue
		}
		for _, number := range known {
			candidate := wanted.find(number)
			if candidate == nil || !b.usable(now, candidate, avoid) {
				continue
			}
			if b.score(now, candidate) <= score+b.options.AffinityBound {
				return candidate
			}
		}
	}
	return nil
}

// find returns the replica of the subset on the runner with the number, or nil.
func (r *row) find(number uint32) *replica {
	if number == 0 {
		return nil
	}
	for _, candidate := range r.subset {
		if candidate.runner.number == number {
			return candidate
		}
	}
	return nil
}

// usable reports whether an attempt may be sent to the replica now.
func (b *Balancer) usable(now time.Time, candidate *replica, avoid structs.RunnerID) bool {
	return !candidate.runner.failing && !now.Before(candidate.ejectedUntil) && candidate.breaker.allows(now) && b.answers(now, candidate, avoid)
}

// answers reports whether the replica's runner has room and is not known to leave
// requests unanswered, though it may refuse those of the replica.
func (b *Balancer) answers(now time.Time, candidate *replica, avoid structs.RunnerID) bool {
	target := candidate.runner
	if target.leaving || b.zones.outOfReach[target.info.Zone] || (avoid != "" && target.info.ID == avoid) {
		return false
	}
	return target.hasRoom(now, &b.options) && target.breaker.allows(now)
}

// score is the runner's load as a share of its batch with one request more, weighed by
// its penalty.
func (b *Balancer) score(now time.Time, candidate *replica) float64 {
	load := candidate.runner.load(now, b.options.ReportLife)
	score := float64(load+1) / float64(candidate.runner.maxBatch) * (1 + candidate.runner.penalty)
	if now.Sub(candidate.runner.answeredAt) > b.options.WarmTime {
		score += b.options.ColdRequests / float64(candidate.runner.maxBatch)
	}
	return score + b.way(candidate.runner).Seconds()/requestTime.Seconds()/float64(candidate.runner.maxBatch)
}

// SetPenalty makes a request weigh more at a runner, by the factor 1 + penalty, so that it
// is given fewer.
func (b *Balancer) SetPenalty(id structs.RunnerID, penalty float64) {
	if target := b.runners[id]; target != nil {
		target.penalty = penalty
	}
}

// SetFailing says whether a runner fails many of the requests that it is sent, as other routers saw.
func (b *Balancer) SetFailing(id structs.RunnerID, isFailing bool) {
	if target := b.runners[id]; target != nil {
		target.failing = isFailing
	}
}

// SetBatch says how many requests a runner runs at once; 0 leaves what is known.
func (b *Balancer) SetBatch(id structs.RunnerID, slots int) {
	if target := b.runners[id]; target != nil && slots > 0 {
		target.maxBatch = slots
	}
}

// IsCrowded reports whether a runner has as many requests as it can run at once, as far as
// this router knows, so that it may be silent for a while.
func (b *Balancer) IsCrowded(now time.Time, id structs.RunnerID) bool {
	target := b.runners[id]
	return target != nil && target.load(now, b.options.ReportLife) >= target.maxBatch
}

// Slots returns how many requests of the row can run at once on usable replicas
// of the subset, and how many more may be sent now.
func (b *Balancer) Slots(now time.Time, name structs.RowName) (slots, free int) {
	wanted := b.rows[name]
	if wanted == nil {
		return 0, 0
	}
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if target.leaving || now.Before(candidate.ejectedUntil) || target.breaker.open() || candidate.breaker.open() {
			continue
		}
		limit := target.maxBatch + b.options.QueueSlack
		load := target.load(now, b.options.ReportLife)
		slots += max(1, limit-(load-target.inFlight))
		if target.hasRoom(now, &b.options) {
			free += max(1, limit-load)
		}
	}
	return slots, free
}

// Ready counts the row's ready replicas on runners that are not leaving.
func (b *Balancer) Ready(name structs.RowName) int {
	wanted := b.rows[name]
	if wanted == nil {
		return 0
	}
	return wanted.ready
}

// ObserveLoad takes a runner's load report.
func (b *Balancer) ObserveLoad(id structs.RunnerID, report structs.LoadReport) {
	if target := b.runners[id]; target != nil {
		target.observe(report)
	}
}

// ObserveCache learns from a runner's cache event. An event older than one seen
// before is ignored, while several may share a sequence; a gap loses only hints,
// which costs a cache miss at worst. A cleared runner gets a new number, so that no
// hint names it any more.
func (b *Balancer) ObserveCache(change CacheChange) {
	target := b.runners[change.Runner]
	if target == nil || change.Sequence < target.sequence {
		return
	}
	if target.sequence > 0 && change.Sequence > target.sequence+1 {
		b.cacheGaps++
	}
	target.sequence = change.Sequence
	switch {
	case change.Cleared:
		b.lastNumber++
		target.number = b.lastNumber
	case change.Evicted:
		b.hints.forget(change.PrefixHash, target.number)
	default:
		b.hints.learn(change.PrefixHash, target.number)
	}
}

// Rows lists the rows with a ready replica on the runner. The slice is shared
// and must not be changed.
func (b *Balancer) Rows(id structs.RunnerID) []structs.RowName {
	if target := b.runners[id]; target != nil {
		return target.rows
	}
	return nil
}

// Ejections counts the replicas ejected as outliers.
func (b *Balancer) Ejections() uint64 { return b.ejections }

// CacheGaps counts the gaps seen in the sequences of cache events.
func (b *Balancer) CacheGaps() uint64 { return b.cacheGaps }
