package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Balancer chooses replicas for one router. It is not safe for concurrent use.
type Balancer struct {
	options Options
	random  *rand.Rand
	// routers is the number of routers that share the runners; 0 if unknown.
	routers int
	runners map[structs.RunnerID]*runner
	rows    map[structs.RowName]*row
	// departed maps the runners passed to Leave to their incarnation at that time.
	departed map[structs.RunnerID]structs.Incarnation
	hints    hints
	zones    zones
	// tokenHolders lists the runners that may hold tokens.
	tokenHolders []*runner
	// lastNumber is the number assigned most recently to a runner.
	lastNumber uint32
	ejections  uint64
	cacheGaps  uint64
}

// New returns a Balancer without runners.
func New(options Options, random *rand.Rand) *Balancer {
	options = options.withDefaults()
	return &Balancer{
		options:  options,
		random:   random,
		runners:  make(map[structs.RunnerID]*runner),
		rows:     make(map[structs.RowName]*row),
		departed: make(map[structs.RunnerID]structs.Incarnation),
		hints:    newHints(options.HintLimit),
		zones:    zones{unreachable: make(map[structs.ZoneID]bool)},
	}
}

// Pick chooses a replica of the row that has capacity and reports whether there is one.
// The prefixes are the PrefixHashes of the prompt. The runner avoid is chosen only
// if no other one has capacity.
func (b *Balancer) Pick(now time.Time, name structs.RowName, prefixes []uint64, avoid structs.RunnerID) (Choice, bool) {
	return b.PickFor(now, name, &Work{Prefixes: prefixes, Avoid: avoid})
}

// PickFor chooses a replica of the row for the work and reports whether one has capacity.
func (b *Balancer) PickFor(now time.Time, name structs.RowName, work *Work) (Choice, bool) {
	wanted := b.rows[name].ofVersion(b.options.SubsetSize, work.Version)
	if wanted == nil || len(wanted.subset) == 0 {
		return Choice{}, false
	}
	found := b.lookUp(now, wanted, work)
	best := b.limitedToProbe(now, wanted, work)
	if best == nil {
		best = b.pick(now, wanted, work, &found)
	}
	if best == nil && work.Avoid != "" {
		// Fall back to the runner to avoid.
		unrestricted := *work
		unrestricted.Avoid = ""
		best = b.scan(now, wanted, &unrestricted, &found, false)
	}
	if best == nil && b.options.UseFailing {
		best = b.scan(now, wanted, work, &found, true)
	}
	if best == nil {
		return Choice{}, false
	}
	uncached := work.tokens() - found.cachedTokens(best.runner.number)
	expected := b.costOf(now, best, work, &found)
	return Choice{balancer: b, replica: best, runner: best.runner.info, chosenAt: now, uncachedTokens: uncached, expected: expected}, true
}

// pick chooses among the usable replicas by the method that the options select.
func (b *Balancer) pick(now time.Time, wanted *row, work *Work, found *lookup) *replica {
	if b.options.CostExponent > 0 {
		return b.draw(now, wanted, work, found)
	}
	return b.sample(now, wanted, work, found)
}

// find returns the replica of the subset on the runner with the given number, or nil.
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

// isUsable reports whether an attempt may be sent to the replica now.
func (b *Balancer) isUsable(now time.Time, candidate *replica, work *Work) bool {
	return !candidate.runner.failing && !now.Before(candidate.ejectedUntil) && candidate.breaker.allows(now) && b.isAvailable(now, candidate, work)
}

// isAvailable reports whether the replica's runner accepts requests and has capacity.
// Unlike isUsable it ignores failures of the replica itself.
func (b *Balancer) isAvailable(now time.Time, candidate *replica, work *Work) bool {
	target := candidate.runner
	if target.leaving || candidate.cooldown.isActive(now) || b.zones.unreachable[target.info.Zone] {
		return false
	}
	if !target.requested.allows(now) || !work.allows(target) || work.Avoid != "" && target.info.ID == work.Avoid {
		return false
	}
	if !target.breaker.allows(now) {
		return false
	}
	if work.forLease {
		return target.mayClaim(now)
	}
	return target.mayReceive() && target.hasCapacity(now, &b.options, b.routers)
}

// SetRouters sets the number of routers that share the runners; 0 means that it is unknown.
func (b *Balancer) SetRouters(routers int) { b.routers = routers }

// SetFailing sets whether other routers see the runner fail many of its requests.
func (b *Balancer) SetFailing(id structs.RunnerID, isFailing bool) {
	if target := b.runners[id]; target != nil {
		target.failing = isFailing
	}
}

// SetBatch sets how many requests a runner runs at once; 0 leaves the known value.
func (b *Balancer) SetBatch(id structs.RunnerID, slots int) {
	if target := b.runners[id]; target != nil && slots > 0 {
		target.maxBatch = slots
	}
}

// HasUsable reports whether an attempt for the work may be sent now to a replica of the row that is not on the runner to avoid.
func (b *Balancer) HasUsable(now time.Time, name structs.RowName, work *Work) bool {
	wanted := b.rows[name].ofVersion(b.options.SubsetSize, work.Version)
	if wanted == nil {
		return false
	}
	return slices.ContainsFunc(wanted.subset, func(candidate *replica) bool { return b.isUsable(now, candidate, work) })
}

// IsCrowded reports whether the known load of a runner fills its batch, in which case
// it may not respond for a while.
func (b *Balancer) IsCrowded(now time.Time, id structs.RunnerID) bool {
	target := b.runners[id]
	return target != nil && target.load(now, b.options.ReportTTL) >= target.maxBatch
}

// Slots returns how many requests of the row can run at once on usable replicas of
// the subset, and how many more may be sent now.
func (b *Balancer) Slots(now time.Time, name structs.RowName) (slots, free int) {
	wanted := b.rows[name]
	if wanted == nil {
		return 0, 0
	}
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if target.leaving || target.requested.isActive(now) || now.Before(candidate.ejectedUntil) || target.breaker.open() || candidate.breaker.open() {
			continue
		}
		limit := target.maxBatch + b.options.QueueSlack
		load := target.load(now, b.options.ReportTTL)
		slots += max(1, limit-(load-target.inFlight))
		if target.hasCapacity(now, &b.options, b.routers) {
			free += max(1, limit-load)
		}
	}
	return slots, free
}

// Ready returns the number of the row's ready replicas on runners that are not leaving.
func (b *Balancer) Ready(name structs.RowName) int {
	wanted := b.rows[name]
	if wanted == nil {
		return 0
	}
	return wanted.ready
}

// ObserveLoad records a runner's load report.
func (b *Balancer) ObserveLoad(id structs.RunnerID, report structs.LoadReport) {
	if target := b.runners[id]; target != nil {
		target.observe(report)
	}
}

// ObserveCache updates the prefix hints by a runner's cache event. Events older than
// the latest one are ignored; several may share a sequence number. A gap in the
// sequence only loses hints, which costs cache misses at worst. A runner whose cache
// was cleared gets a new number, which invalidates its hints.
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

// Rows returns the names of the rows with a ready replica on the runner. The slice is
// shared and must not be modified.
func (b *Balancer) Rows(id structs.RunnerID) []structs.RowName {
	if target := b.runners[id]; target != nil {
		return target.rows
	}
	return nil
}

// Ejections returns the number of replicas ejected as outliers.
func (b *Balancer) Ejections() uint64 { return b.ejections }

// CacheGaps returns the number of gaps seen in the sequences of cache events.
func (b *Balancer) CacheGaps() uint64 { return b.cacheGaps }
