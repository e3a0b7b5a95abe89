package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// copyShare is the inverse of the largest share of a standby's slots that the copies of one router may
// take.
const copyShare = 4

// StandbyWork describes the runner that a stream's memory is to be copied to.
type StandbyWork struct {
	// Primary runs the stream.
	Primary structs.RunnerID
	// Former lists other runners that are not chosen.
	Former []structs.RunnerID
	// Zones are the zones whose runners may be chosen; nil allows all.
	Zones map[structs.ZoneID]bool
	// MayTake reports whether the link of a runner may take another copy; nil means always.
	MayTake func(id structs.RunnerID) bool
}

// StandbyResult is the result of a search for a standby.
type StandbyResult uint8

const (
	// StandbyNone means that no runner can be the standby.
	StandbyNone StandbyResult = iota
	// StandbyAtLimit means that all that could have as many copies as they may.
	StandbyAtLimit
	// StandbyFound means that there is a standby.
	StandbyFound
)

// PickStandby chooses another replica of the row to which the memory of a stream at the primary is
// copied, at a runner of the same software version: in another zone of the same region if there is one, otherwise in the same zone. Copies never
// cross regions, as the links between regions are slow and expensive. Of these replicas, those with the
// fewest copies of the primary's streams count, so that its loss does not send them all to one runner, and of
// these those with the fewest copies of this router. One is drawn by expected cost, as routers with the same
// load report would otherwise all choose the same one.
func (b *Balancer) PickStandby(now time.Time, name structs.RowName, wanted *StandbyWork) (Choice, StandbyResult) {
	primary := b.runners[wanted.Primary]
	if primary == nil || b.rows[name] == nil {
		return Choice{}, StandbyNone
	}
	current := b.rows[name].ofVersion(b.options.SubsetSize, primary.info.Version)
	work := Work{Zones: wanted.Zones, Excluded: wanted.Primary, Version: primary.info.Version}
	result := StandbyNone
	var best []*replica
	for _, candidate := range current.subset {
		target := candidate.runner
		if slices.Contains(wanted.Former, target.info.ID) || !b.isStandby(now, candidate, &work) || !b.isSameRegion(primary, target) {
			continue
		}
		if (target.copies+1)*copyShare > target.maxBatch || wanted.MayTake != nil && !wanted.MayTake(target.info.ID) {
			result = max(result, StandbyAtLimit)
			continue
		}
		result = StandbyFound
		if len(best) > 0 {
			order := b.compareStandby(primary, target, best[0].runner)
			if order > 0 {
				continue
			}
			if order < 0 {
				best = best[:0]
			}
		}
		best = append(best, candidate)
	}
	if result != StandbyFound {
		return Choice{}, result
	}
	return b.choiceOf(now, b.drawStandby(now, current, best)), StandbyFound
}

// isStandby reports whether the replica's runner is healthy, warm and not limited, and has a free slot
// beside the copies of this router.
func (b *Balancer) isStandby(now time.Time, candidate *replica, work *Work) bool {
	target := candidate.runner
	if target.paced || target.requested.isProbing || target.breaker.open() || candidate.breaker.open() {
		return false
	}
	return b.isUsable(now, candidate, work) && target.load(now, b.options.ReportTTL)+target.copies < target.maxBatch
}

// isSameRegion reports whether both runners are in one region. Zones without a known region form one
// region.
func (b *Balancer) isSameRegion(one, other *runner) bool {
	return b.options.Regions[one.info.Zone] == b.options.Regions[other.info.Zone]
}

// compareStandby is negative if the first runner is the better standby of the primary.
func (b *Balancer) compareStandby(primary, first, second *runner) int {
	isFirstNear, isSecondNear := first.info.Zone == primary.info.Zone, second.info.Zone == primary.info.Zone
	switch {
	case isFirstNear && !isSecondNear:
		return 1
	case !isFirstNear && isSecondNear:
		return -1
	}
	return cmp.Or(first.copiesOf[primary.info.ID]-second.copiesOf[primary.info.ID], first.copies-second.copies)
}

// drawStandby draws one of the replicas, weighted by the inverse of their expected cost.
func (b *Balancer) drawStandby(now time.Time, current *row, among []*replica) *replica {
	found := lookup{peers: b.peerLoad(now, current)}
	weights := make([]float64, len(among))
	total := 0.0
	for index, candidate := range among {
		weights[index] = 1 / b.weightedCost(b.expected(now, candidate, &found.peers, 0), candidate, &found)
		total += weights[index]
	}
	point := b.random.Float64() * total
	for index, candidate := range among {
		if point -= weights[index]; point < 0 {
			return candidate
		}
	}
	return among[len(among)-1]
}

// At returns the replica of the row at a runner, for a continuation whose memory is there already. It
// reports false if the runner no longer holds the row, or may not get a request, whatever its load.
func (b *Balancer) At(now time.Time, name structs.RowName, id structs.RunnerID) (Choice, bool) {
	target := b.runners[id]
	if target == nil || target.leaving || !target.mayReceive() || target.requested.isActive(now) || b.zones.unreachable[target.info.Zone] {
		return Choice{}, false
	}
	held := target.replicas[name]
	if held == nil {
		return Choice{}, false
	}
	return b.choiceOf(now, held), true
}

// choiceOf returns a choice of a replica that reads no prompt.
func (b *Balancer) choiceOf(now time.Time, chosen *replica) Choice {
	return Choice{balancer: b, replica: chosen, runner: chosen.runner.info, chosenAt: now}
}

// CopyBegan records that the memory of a stream at the primary is copied to the runner. Call CopyEnded
// once when the copy no longer takes memory there.
func (c Choice) CopyBegan(primary structs.RunnerID) {
	target := c.replica.runner
	if target.copiesOf == nil {
		target.copiesOf = make(map[structs.RunnerID]int)
	}
	target.copies++
	target.copiesOf[primary]++
}

// CopyEnded undoes CopyBegan.
func (c Choice) CopyEnded(primary structs.RunnerID) {
	target := c.replica.runner
	target.copies--
	if target.copiesOf[primary]--; target.copiesOf[primary] <= 0 {
		delete(target.copiesOf, primary)
	}
}
