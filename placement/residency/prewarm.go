package residency

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// prewarmDelay is the time without a new runner before models are prewarmed. A model that seems
	// absent may be at a runner that has not sent a heartbeat yet: when a site starts, 40 runners
	// may be heard first within two seconds.
	prewarmDelay = 2 * time.Second
	// prewarmInterval is the minimum time between two prewarms of a model. Each prewarm may evict
	// another copy if the disks together have no room for every model.
	prewarmInterval = 10 * time.Minute
	// prewarmGain is the gain of a prewarm: the first request, which would be late without it.
	prewarmGain = 1
	// soleCopyCost is the cost of occupying a runner, for each model of which it has the only copy.
	// It is low enough that a runner with some tens of such copies can still prewarm.
	soleCopyCost = 0.005
)

// prewarmNeeds returns loads of absent models, at most one for each service, while the service has
// no other need and its weight store is idle. Without a prewarm, the first request would wait for a
// whole load from the store. A leader that has not heard from all runners yet prewarms nothing.
func (p *Planner) prewarmNeeds(now time.Time, wanted []need) []need {
	isRecalled := func(r *runner) bool { return r.status.Recalled }
	if now.Sub(p.runnersAt) < prewarmDelay || slices.ContainsFunc(p.snapshot.sorted, isRecalled) {
		return nil
	}
	var prewarms []need
	for i := range p.document.Document.Services {
		service := &p.document.Document.Services[i]
		isWanted := func(each need) bool { return each.row.Service == service.Name }
		store := p.store(service.Name)
		if store == nil || store.InProgress() > 0 || slices.ContainsFunc(wanted, isWanted) {
			continue
		}
		if row, found := p.nextPrewarm(now, service); found {
			prewarms = append(prewarms, need{row: row, gain: prewarmGain, weight: 1, isPrewarm: true})
		}
	}
	return prewarms
}

// nextPrewarm returns the first model of the service that may be prewarmed.
func (p *Planner) nextPrewarm(now time.Time, service *site.Service) (Row, bool) {
	for i := range service.Engine.Models {
		row := Row{Service: service.Name, Model: service.Engine.Models[i].Name}
		last, isLoaded := p.prewarmedAt[row]
		if p.snapshot.isAbsent(row) && (!isLoaded || now.Sub(last) >= prewarmInterval) {
			return row, true
		}
	}
	return Row{}, false
}

// soleCopies returns the number of models of which the runner has the only copy.
func (p *Planner) soleCopies(r *runner) float64 {
	count := 0.0
	for name := range r.copies {
		if len(p.snapshot.copies[r.rowOf(name)]) == 1 {
			count++
		}
	}
	return count
}

// hasOtherSource reports whether another runner holds the model or has a copy of it. Only such
// models are evicted for a prewarm.
func (p *Planner) hasOtherSource(r *runner, model string) bool {
	row := r.rowOf(model)
	return len(p.holdersExcept(r, row)) > 0 || len(runnersExcept(p.snapshot.copies[row], r)) > 0
}
