package residency

import (
	"slices"
	"time"
)

// manyPlaces is from how many loads at once a weight store serves models out of reach and others
// side by side: see reservedShare.
const manyPlaces = 4

// isAbsent reports whether nobody holds, loads or has a copy of a model.
func (t *tally) isAbsent(row Row) bool {
	return len(t.holders[row]) == 0 && len(t.coming[row]) == 0 && len(t.copies[row]) == 0
}

// refusedWeight is how much more a request for an unreachable model counts than one that is late: its
// caller is refused, and mostly in vain a second time.
const refusedWeight = 3

// keptForUnreachable is how many places at a weight store with so many in all are kept from a
// need for models that requests wait for and that no copy can be loaded of: their callers are all
// refused until one is loaded, while those of a model with a replica or a copy are served, if
// late. Half of several places stay for others, and none is kept from a need that gains more: a
// model at 160 requests a second that has one replica waits behind no model that is asked for
// once in some seconds.
func (p *Planner) keptForUnreachable(wanted need, places int) int {
	if _, isUnreachable := p.tally.unreachable[wanted.row]; isUnreachable || places >= manyPlaces {
		return 0
	}
	waiting := 0
	for row, gain := range p.tally.unreachable {
		if row.Service == wanted.row.Service && refusedWeight*gain > wanted.rank() {
			waiting++
		}
	}
	return min(waiting, max(1, places/2))
}

// isUnreachable reports whether a model that requests wait for must come from the weight store.
func (p *Planner) isUnreachable(now time.Time, wanted *need) bool {
	if p.tally.isAbsent(wanted.row) {
		return true
	}
	model := p.listedModel(wanted.row)
	objective := p.modelDemand(wanted.row).objective
	if model == nil || objective == 0 || wanted.oldest < objective {
		return false
	}
	return !slices.ContainsFunc(p.tally.copies[wanted.row], func(known *runner) bool {
		if !p.mayOrder(known) {
			return p.occupiedFor(now, known) < p.options.Horizon
		}
		_, _, isPossible := p.costOf(now, known, p.engineOf(known), model, wanted)
		return isPossible
	})
}
