package residency

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// claimHarm is the part of the requests for models with copies at a runner that are late
	// because it loads another one, if that takes no longer than their callers are patient, as
	// arrivalWeight is of those for the model that is loaded. All are if it takes longer.
	claimHarm = 0.3
	// sharedModel is from how many replicas on a model does not depend on a copy: it is served
	// while one of them makes way.
	sharedModel = 2
	// manyPlaces is from how many loads at once a weight store serves absent models and others
	// side by side: see reservedShare.
	manyPlaces = 4
)

// addClaims works out how many requests a second depend on the copies at each runner: those
// for a model with few replicas go, in even parts, to the runners that can load it quickly.
func (t *tally) addClaims() {
	t.claims = make(map[*runner]float64, len(t.sorted))
	for row, copies := range t.copies {
		claim := t.claim(row)
		for _, known := range copies {
			t.claims[known] += claim
		}
	}
}

// claim is how many requests a second for a model depend on each of its copies.
func (t *tally) claim(row Row) float64 {
	copies := len(t.copies[row])
	if copies == 0 || len(t.holders[row]) >= sharedModel {
		return 0
	}
	return t.demands[row].rate / float64(copies)
}

// claimCost is how many requests will be late because the runner loads a model and takes no
// order about those meanwhile of which it has a copy. So a runner that alone has a copy of a
// model is left to it, and a long load from the weight store goes where few others wait.
func (p *Planner) claimCost(known *runner, model *site.Model) float64 {
	row := known.rowOf(model.Name)
	claims := p.tally.claims[known]
	if known.hasCopy(model.Name) {
		claims -= p.tally.claim(row)
	}
	seconds := loadTime(known, model).Seconds()
	harm := claimHarm
	if !known.hasCopy(model.Name) {
		harm = 1
	}
	return max(0, claims) * seconds * harm
}

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
		_, _, isPossible := p.costOf(now, known, p.engineOf(known), model, *wanted)
		return isPossible
	})
}

const (
	// turnMargin is how long before its requests become late a model is due: the time in which
	// most models in use become unused once, so that nothing need be drained for it.
	turnMargin = time.Second
	// leastTurn is how long a model stays at least after a load while requests use it: those
	// that were gathered for it have been sent by then.
	leastTurn = 500 * time.Millisecond
)

// isDue reports whether requests for the model become late unless it is loaded next. Those that a
// load makes late in any case are due once they have aged.
func (p *Planner) isDue(wanted *need) bool {
	model := p.listedModel(wanted.row)
	patience := p.modelDemand(wanted.row).objective
	if model == nil || patience == 0 {
		return false
	}
	takes := p.quickestLoad(wanted.row, model)
	if patience <= takes {
		patience = takes + agingTime
	}
	return wanted.oldest+takes+turnMargin >= patience
}

// listedModel is what the document says of a model; nil if it lists none, or no longer.
func (p *Planner) listedModel(row Row) *site.Model {
	service := p.document.Service(row.Service)
	if service == nil || service.Engine == nil {
		return nil
	}
	return service.Engine.ModelByName(row.Model)
}

// quickestLoad is how long a load of the model takes at the runner where it is quickest.
func (p *Planner) quickestLoad(row Row, model *site.Model) time.Duration {
	quickest := model.LoadTime
	for _, known := range p.tally.copies[row] {
		quickest = min(quickest, loadTime(known, model))
	}
	return quickest
}

// hadItsTurn reports whether a model in use may make way for one that is due: what was gathered
// for it has been sent, and nothing waits for it now.
func (p *Planner) hadItsTurn(now time.Time, row Row, held *holding) bool {
	return p.tally.waiting[row] == 0 && now.Sub(held.since) >= leastTurn && len(p.holders(row)) == 1
}

// Turns counts the models that requests wait for and that no runner loads yet. Each counts once.
type Turns struct {
	// Gathering models can wait, Due ones become late unless they are loaded next.
	Gathering int
	Due       int
	// Unreachable ones must come from the weight store.
	Unreachable int
	// Oldest is how long the oldest of all these requests has waited.
	Oldest time.Duration
}

// Turns tells how places were shared when the last plan was done.
func (p *Planner) Turns() Turns {
	var turns Turns
	for _, wanted := range p.unmet {
		if !wanted.isWaitedFor {
			continue
		}
		turns.Oldest = max(turns.Oldest, wanted.oldest)
		switch {
		case wanted.isUnreachable:
			turns.Unreachable++
		case wanted.isDue:
			turns.Due++
		default:
			turns.Gathering++
		}
	}
	return turns
}

// dueWeight is how many times its gain a need that is due counts for in the order of needs: what it
// saves is lost within a second, what others save over the horizon. It does not go before all
// others: replicas of models in high demand, whose callers are more urgent as a rule, would wait
// for as long as a rush at rare models lasts.
const dueWeight = 3

// rank is what needs are ordered by.
func (n need) rank() float64 {
	if n.isDue {
		return dueWeight * n.gain
	}
	return n.gain
}
