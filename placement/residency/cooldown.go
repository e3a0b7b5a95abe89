package residency

import (
	"slices"
	"time"
)

// ObserveCooldown records that a runner requested a cooldown from a router and probably rejects requests for
// that time. Only that router is bound by it, but requests waiting there are not served by others.
func (p *Planner) ObserveCooldown(now time.Time, instance string, cooldown time.Duration) {
	r := p.runners[instance]
	if r == nil || cooldown <= 0 {
		return
	}
	if until := now.Add(cooldown); until.After(r.cooldownUntil) {
		r.cooldownUntil = until
	}
}

// PauseOrders stops orders and polls to a runner for a time, as requested in its answer to one of
// them. The runner gets no order before its next report.
func (p *Planner) PauseOrders(now time.Time, instance string, pause time.Duration) {
	r := p.runners[instance]
	if until := now.Add(pause); r != nil && pause > 0 && until.After(r.pausedUntil) {
		r.pausedUntil, r.isTakenKnown = until, false
	}
}

// isCoolingDown reports whether the runner rejects requests, so that no model should be loaded
// there.
func (r *runner) isCoolingDown(now time.Time) bool { return now.Before(r.cooldownUntil) }

// isServed reports whether a runner of the zones holds the model and will accept requests sooner
// than a load at another runner would complete; nil stands for all zones.
func (p *Planner) isServed(now time.Time, row Row, zones []string) bool {
	holders := p.holders(row)
	if !slices.ContainsFunc(holders, func(r *runner) bool { return r.isCoolingDown(now) }) {
		return isAnyIn(holders, zones)
	}
	elsewhere := p.quickestLoadElsewhere(row)
	return slices.ContainsFunc(holders, func(r *runner) bool {
		return r.isIn(zones) && r.cooldownUntil.Sub(now) <= elsewhere
	})
}

// quickestLoadElsewhere returns the time of the quickest load of the model at a runner that doesn't
// hold it.
func (p *Planner) quickestLoadElsewhere(row Row) time.Duration {
	model := p.listedModel(row)
	if model == nil {
		return 0
	}
	quickest := model.LoadTime
	for _, r := range p.snapshot.copies[row] {
		if r.holdings[row.Model] == nil {
			quickest = min(quickest, loadTime(r, model))
		}
	}
	return quickest
}
