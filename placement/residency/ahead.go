package residency

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// aheadAfter is how long no runner must have come before models are loaded ahead of need:
	// those that nobody seems to have may be at runners that were not heard yet, of which 40 came
	// within two seconds of one another at the start of a site.
	aheadAfter = 2 * time.Second
	// aheadPause is how long a model is not loaded ahead of need again. Where the disks of all
	// runners together have no room for every model, each load drops another copy.
	aheadPause = 10 * time.Minute
	// aheadGain is what a load ahead of need gains at least: the first request, which is late
	// without it.
	aheadGain = 1
	// aheadHarm is what it costs to hold up a runner for each model of which it alone has a copy:
	// little enough for a load ahead of need to be worth it at a runner with all of its copies,
	// some tens as a rule.
	aheadHarm = 0.005
)

// needsAhead lists loads of models that nobody has, one at a time for each service, while
// nothing is wanted of it and its weight store is idle: a first request would wait for the whole
// load, which may take longer than its caller has. A new leader, which does not know yet who has
// what, waits.
func (p *Planner) needsAhead(now time.Time, wanted []need) []need {
	isRecalled := func(known *runner) bool { return known.status.Recalled }
	if now.Sub(p.runnersAt) < aheadAfter || slices.ContainsFunc(p.tally.sorted, isRecalled) {
		return nil
	}
	var ahead []need
	for i := range p.document.Document.Services {
		service := &p.document.Document.Services[i]
		isWanted := func(each need) bool { return each.row.Service == service.Name }
		store := p.store(service.Name)
		if store == nil || store.UnderWay() > 0 || slices.ContainsFunc(wanted, isWanted) {
			continue
		}
		if row, found := p.aheadOf(now, service); found {
			ahead = append(ahead, need{row: row, gain: aheadGain, isAhead: true})
		}
	}
	return ahead
}

// aheadOf is the first model of a service that may be loaded ahead of need.
func (p *Planner) aheadOf(now time.Time, service *site.Service) (Row, bool) {
	for i := range service.Engine.Models {
		row := Row{Service: service.Name, Model: service.Engine.Models[i].Name}
		last, isLoaded := p.aheadAt[row]
		if p.tally.isAbsent(row) && (!isLoaded || now.Sub(last) >= aheadPause) {
			return row, true
		}
	}
	return Row{}, false
}

// onlyCopies counts the models of which no other runner has a copy.
func (p *Planner) onlyCopies(known *runner) float64 {
	count := 0.0
	for name := range known.copies {
		if len(p.tally.copies[known.rowOf(name)]) == 1 {
			count++
		}
	}
	return count
}

// isElsewhere reports whether another runner holds a model or has a copy of it: what makes way
// for a load ahead of need must not be out of reach until that has ended.
func (p *Planner) isElsewhere(known *runner, model string) bool {
	row := known.rowOf(model)
	return len(p.holdersBut(known, row)) > 0 || len(runnersBut(p.tally.copies[row], known)) > 0
}
