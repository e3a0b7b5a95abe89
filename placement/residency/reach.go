package residency

import (
	"slices"
	"time"
)

// minSharedSlots is the number of slots from which a weight store serves unreachable models and
// others concurrently; see reservedShare.
const minSharedSlots = 4

// isAbsent reports whether no runner holds, loads or has a copy of a model.
func (t *snapshot) isAbsent(row Row) bool {
	return len(t.holders[row]) == 0 && len(t.coming[row]) == 0 && len(t.copies[row]) == 0
}

// rejectedWeight is the weight of a request for an unreachable model, which is rejected, relative to
// a late one.
const rejectedWeight = 3

// slotsForUnreachable returns how many slots of a weight store are reserved for unreachable models
// and not available to the need. Requests for unreachable models are rejected until one is loaded,
// while those for a model with a replica or a copy are only late. At most half of several slots are
// reserved, and none from a need with a higher rank, such as that of a model at 160 requests per
// second with a single replica.
func (p *Planner) slotsForUnreachable(wanted need, slots int) int {
	if _, isUnreachable := p.snapshot.unreachable[wanted.row]; isUnreachable || slots >= minSharedSlots {
		return 0
	}
	waiting := 0
	for row, gain := range p.snapshot.unreachable {
		if row.Service == wanted.row.Service && rejectedWeight*gain > wanted.rank() {
			waiting++
		}
	}
	return min(waiting, max(1, slots/2))
}

// isUnreachable reports whether a model that requests wait for can only be loaded from the weight
// store.
func (p *Planner) isUnreachable(now time.Time, wanted *need) bool {
	if p.snapshot.isAbsent(wanted.row) {
		return true
	}
	model := p.listedModel(wanted.row)
	objective := p.modelDemand(wanted.row).objective
	if model == nil || objective == 0 || wanted.oldest < objective {
		return false
	}
	return !slices.ContainsFunc(p.snapshot.copies[wanted.row], func(r *runner) bool {
		if !p.mayOrder(r) {
			return p.occupiedFor(now, r) < p.options.Horizon
		}
		_, _, isPossible := p.costOf(now, r, p.engineOf(r), model, wanted)
		return isPossible
	})
}
