package scheduler

import (
	"math"
)

const (
	// maxFailedPrewarms bounds the rows for which one plan fails to find room.
	maxFailedPrewarms = 64
	// expectationSeconds is the period that an Expectation covers.
	expectationSeconds = 3600
)

// planPrewarm loads the row that is most likely to be used soon into free memory. It
// never unloads anything, and leaves one store read for requests.
func (p *planner) planPrewarm() {
	if len(p.plan.Loads) > 0 || p.storeLoads+1 >= p.snapshot.StoreLoadBudget {
		return
	}
	candidates := p.prewarmCandidates()
	if len(candidates) == 0 {
		return
	}
	p.indexCached(candidates)
	runnersWithReserve := p.countRunnersWithReserve()
	failures := 0
	for _, row := range candidates {
		if failures >= maxFailedPrewarms {
			return
		}
		if best := p.prewarmPlacement(row, runnersWithReserve[row.Role]); best != nil {
			p.commit(row, best)
			return // The next plan sees this load in progress.
		}
		failures++
	}
}

func (p *planner) prewarmCandidates() []*rowState {
	var candidates []*rowState
	for _, expectation := range p.snapshot.Expected {
		row := p.rows[expectation.Row]
		if row != nil && row.exists && row.recordCount == 0 && row.limit > 0 && p.worthPrewarming(row) {
			candidates = append(candidates, row)
		}
	}
	return candidates
}

// prewarmPlacement returns the cheapest placement of the row that uses free memory and
// leaves the reserve, or nil.
func (p *planner) prewarmPlacement(row *rowState, runnersWithReserve int) *placement {
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
		fits := option != nil && option.fitsNow && p.leavesReserve(runner, option.need, runnersWithReserve)
		if fits && (best == nil || option.better(best)) {
			kept := *option
			best = &kept
		}
	}
	return best
}

// worthPrewarming reports whether the cold-start time that a loaded replica is expected
// to save within the next hour is worth more than the idle hour.
func (p *planner) worthPrewarming(row *rowState) bool {
	if base := p.rows[row.Base]; row.NeedsBase() && base != nil && base.usableCount == 0 {
		return p.worthPrewarmingWithBase(row, base)
	}
	return row.useProbability*p.coldStartCost(row).Seconds() > expectationSeconds
}

// worthPrewarmingWithBase is worthPrewarming for an adapter loaded together with its base.
func (p *planner) worthPrewarmingWithBase(adapter, base *rowState) bool {
	cost := p.coldStartCostOf(p.objective(adapter), adapter.MemoryBytes+base.MemoryBytes)
	return adapter.useProbability*cost.Seconds() > expectationSeconds
}

// addExpectations adds the rows that the snapshot expects to be used, and their bases.
func (p *planner) addExpectations() {
	for _, expectation := range p.snapshot.Expected {
		row := p.row(expectation.Row)
		row.useProbability = expectation.Probability
		if row.NeedsBase() {
			p.row(row.Base)
		}
	}
}

// useProbabilityWithin returns the probability that the row is used within the seconds.
func (r *rowState) useProbabilityWithin(seconds float64) float64 {
	return 1 - math.Pow(1-min(r.useProbability, 1), seconds/expectationSeconds)
}
