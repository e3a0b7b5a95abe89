package residency

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// preloadDelay is the time without a new runner before models are preloaded. A model that seems
	// absent may be at a runner that has not sent a heartbeat yet.
	preloadDelay = 2 * time.Second
	// preloadInterval is the minimum time between two preloads of a model. Each preload may evict
	// another copy if the disks together have no room for every model.
	preloadInterval = 10 * time.Minute
	// preloadGain is the gain of a preload: the first request, which would be late without it.
	preloadGain = 1
	// soleCopyCost is the cost of occupying a runner, for each model of which it has the only copy.
	// It is low enough that a runner with some tens of such copies can still preload.
	soleCopyCost = 0.005
)

// preloadNeeds returns loads of absent models, at most one for each service, while the service has
// no other need and its weight store is idle. Without a preload, the first request would wait for a
// whole load from the store. A leader that has not heard from all runners yet preloads nothing.
func (p *Planner) preloadNeeds(now time.Time, wanted []need) []need {
	isRecalled := func(r *runner) bool { return r.status.Recalled }
	if now.Sub(p.runnersAt) < preloadDelay || slices.ContainsFunc(p.snapshot.sorted, isRecalled) {
		return nil
	}
	var preloads []need
	for i := range p.document.Document.Services {
		service := &p.document.Document.Services[i]
		isWanted := func(each need) bool { return each.row.Service == service.Name }
		store := p.store(service.Name)
		if store == nil || store.InProgress() > 0 || slices.ContainsFunc(wanted, isWanted) {
			continue
		}
		if row, found := p.nextPreload(now, service); found {
			preloads = append(preloads, need{row: row, gain: preloadGain, isPreload: true})
		}
	}
	return preloads
}

// nextPreload returns the first model of the service that may be preloaded.
func (p *Planner) nextPreload(now time.Time, service *site.Service) (Row, bool) {
	for i := range service.Engine.Models {
		row := Row{Service: service.Name, Model: service.Engine.Models[i].Name}
		last, isLoaded := p.preloadedAt[row]
		if p.snapshot.isAbsent(row) && (!isLoaded || now.Sub(last) >= preloadInterval) {
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
// models are evicted for a preload.
func (p *Planner) hasOtherSource(r *runner, model string) bool {
	row := r.rowOf(model)
	return len(p.holdersExcept(r, row)) > 0 || len(runnersExcept(p.snapshot.copies[row], r)) > 0
}
