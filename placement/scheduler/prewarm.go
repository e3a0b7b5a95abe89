package scheduler

import (
	"math"
)

const (
	// maxFailedPrewarms bounds the rows for which one plan looks for room in vain.
	maxFailedPrewarms = 64
	// expectationSeconds is the time that an Expectation is about.
	expectationSeconds = 3600
)

// planPrewarm loads ahead of need what is expected to be used, the most likely
// first, into memory that nothing else needs now. It never unloads anything, and
// it leaves a store read for requests.
func (p *planner) planPrewarm() {
	if len(p.plan.Loads) > 0 || p.storeLoads+1 >= p.snapshot.StoreLoadBudget {
		return
	}
	candidates := p.prewarmCandidates()
	if len(candidates) == 0 {
		return
	}
	p.indexCached(candidates)
	roomy := p.roomyRunners()
	failures := 0
	for _, row := range candidates {
		if failures >= maxFailedPrewarms {
			return
		}
		if best := p.prewarmPlacement(row, roomy[row.Role]); best != nil {
			p.take(row, best)
			return // The next plan sees this one under way.
		}
		failures++
	}
}

func (p *planner) prewarmCandidates() []*rowState {
	var candidates []*rowState
	for _, expectation := range p.snapshot.Expected {
		row := p.rows[expectation.Row]
		if row != nil && row.exists && row.records == 0 && row.limit > 0 && p.worthExpecting(row) {
			candidates = append(candidates, row)
		}
	}
	return candidates
}

// prewarmPlacement returns the cheapest way to load the row into free memory
// beside the reserve, or nil.
func (p *planner) prewarmPlacement(row *rowState, roomy int) *placement {
	var best *placement
	for _, runner := range p.runners {
		if runner.Leaving || runner.Lagging || runner.Role != row.Role || row.MemoryBytes > runner.future || runner.holds(row.Name) {
			continue
		}
		limit := math.Inf(1)
		if best != nil {
			limit = best.cost
		}
		option := p.option(row, runner, limit)
		fits := option != nil && option.now && p.leavesReserve(runner, option.need, roomy)
		if fits && (best == nil || option.better(best)) {
			kept := *option
			best = &kept
		}
	}
	return best
}

// worthExpecting reports whether the cold start that a loaded replica is expected
// to save within the next hour is worth the hour.
func (p *planner) worthExpecting(row *rowState) bool {
	if base := p.rows[row.Base]; row.NeedsBase() && base != nil && base.usable == 0 {
		return p.worthExpectingWithBase(row, base)
	}
	return row.expected*p.coldCost(row).Seconds() > expectationSeconds
}

// worthExpectingWithBase is worthExpecting for an adapter that brings its base.
func (p *planner) worthExpectingWithBase(adapter, base *rowState) bool {
	cost := p.coldCostOf(p.objective(adapter), adapter.MemoryBytes+base.MemoryBytes)
	return adapter.expected*cost.Seconds() > expectationSeconds
}

// addExpected takes in what is expected.
func (p *planner) addExpected() {
	for _, expectation := range p.snapshot.Expected {
		row := p.row(expectation.Row)
		row.expected = expectation.Probability
		if row.NeedsBase() {
			p.row(row.Base)
		}
	}
}

// expectedWithin is the probability of a use of the row in the number of seconds.
func (r *rowState) expectedWithin(seconds float64) float64 {
	return 1 - math.Pow(1-min(r.expected, 1), seconds/expectationSeconds)
}
