package residency

import (
	"slices"
	"time"
)

// ObserveRest notes that a runner probably takes no requests for a time, as it asked a router for rest. It binds that
// router alone; what waits there is what others don't get served.
func (p *Planner) ObserveRest(now time.Time, instance string, restsFor time.Duration) {
	known := p.runners[instance]
	if known == nil || restsFor <= 0 {
		return
	}
	if until := now.Add(restsFor); until.After(known.restsUntil) {
		known.restsUntil = until
	}
}

// PauseOrders has a runner be asked and ordered nothing for a time, as it asked for that in its answer to an order or a
// question: after one that it turned away it gets no order before it has reported.
func (p *Planner) PauseOrders(now time.Time, instance string, pause time.Duration) {
	known := p.runners[instance]
	if until := now.Add(pause); known != nil && pause > 0 && until.After(known.pausedUntil) {
		known.pausedUntil, known.isTakenKnown = until, false
	}
}

// isResting reports whether the runner takes no requests, so that it is no place for a load.
func (r *runner) isResting(now time.Time) bool { return now.Before(r.restsUntil) }

// isServed reports whether a runner of the zones holds the model and takes the requests that wait for it sooner than a load
// at another runner would be done; nil stands for all zones.
func (p *Planner) isServed(now time.Time, row Row, zones []string) bool {
	holders := p.holders(row)
	if !slices.ContainsFunc(holders, func(known *runner) bool { return known.isResting(now) }) {
		return isAnyIn(holders, zones)
	}
	elsewhere := p.loadElsewhere(row)
	return slices.ContainsFunc(holders, func(known *runner) bool {
		return known.isIn(zones) && known.restsUntil.Sub(now) <= elsewhere
	})
}

// loadElsewhere is how long a load of the model takes where it is quickest, at a runner that does not hold it.
func (p *Planner) loadElsewhere(row Row) time.Duration {
	model := p.listedModel(row)
	if model == nil {
		return 0
	}
	quickest := model.LoadTime
	for _, known := range p.tally.copies[row] {
		if known.holdings[row.Model] == nil {
			quickest = min(quickest, loadTime(known, model))
		}
	}
	return quickest
}
