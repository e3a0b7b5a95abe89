package residency

import "github.com/lotusferry/lotusferry/placement/site"

const (
	// claimHarm is the part of the requests for models with copies at a runner that are late
	// because it loads another one, if that takes no longer than their callers are patient, as
	// arrivalWeight is of those for the model that is loaded. All are if it takes longer.
	claimHarm = 0.3
	// sharedModel is from how many replicas on a model does not depend on a copy: it is served
	// while one of them makes way.
	sharedModel = 2
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
