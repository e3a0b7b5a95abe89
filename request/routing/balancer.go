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
	// withTokens are the runners for which there may be tokens.
	withTokens []*runner
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
	return b.PickFor(now, name, &Work{Prefixes: prefixes, Avoid: avoid})
}

// PickFor chooses a replica of the row for the work, or reports false if none has room.
func (b *Balancer) PickFor(now time.Time, name structs.RowName, work *Work) (Choice, bool) {
	wanted := b.rows[name]
	if wanted == nil || len(wanted.subset) == 0 {
		return Choice{}, false
	}
	found := b.lookUp(now, wanted, work)
	best := b.unheard(now, wanted, work)
	if best == nil {
		best = b.pick(now, wanted, work, &found)
	}
	if best == nil && work.Avoid != "" {
		// The one to avoid is better than none.
		anywhere := *work
		anywhere.Avoid = ""
		best = b.scan(now, wanted, &anywhere, &found, false)
	}
	if best == nil && b.options.UseFailing {
		best = b.scan(now, wanted, work, &found, true)
	}
	if best == nil {
		return Choice{}, false
	}
	unread := work.tokens() - found.cachedTokens(best.runner.number)
	expected := b.costOf(now, best, work, &found)
	return Choice{balancer: b, replica: best, runner: best.runner.info, chosenAt: now, unread: unread, expected: expected}, true
}

// pick chooses among the replicas that may be used, in the way that the options ask for.
func (b *Balancer) pick(now time.Time, wanted *row, work *Work, found *lookup) *replica {
	if b.options.Sharpness > 0 {
		return b.draw(now, wanted, work, found)
	}
	return b.sample(now, wanted, work, found)
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
func (b *Balancer) usable(now time.Time, candidate *replica, work *Work) bool {
	return !candidate.runner.failing && !now.Before(candidate.ejectedUntil) && candidate.breaker.allows(now) && b.answers(now, candidate, work)
}

// answers reports whether the replica's runner has room and is not known to leave
// requests unanswered, though it may fail those of the replica.
func (b *Balancer) answers(now time.Time, candidate *replica, work *Work) bool {
	target := candidate.runner
	if target.leaving || candidate.rest.isOn(now) || b.zones.outOfReach[target.info.Zone] {
		return false
	}
	if !target.asked.allows(now) || !work.allows(target) || work.Avoid != "" && target.info.ID == work.Avoid {
		return false
	}
	return target.mayTake() && target.hasRoom(now, &b.options) && target.breaker.allows(now)
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
		if target.leaving || target.asked.isOn(now) || now.Before(candidate.ejectedUntil) || target.breaker.open() || candidate.breaker.open() {
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
