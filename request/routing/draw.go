package routing

import "time"

const (
	// maxCandidates bounds the replicas considered; the default SubsetSize is smaller.
	maxCandidates = 64
	// recentWindow is the time constant of the count of recent requests per runner:
	// several request durations, so that a router with one or two requests a second
	// for a row cycles through its replicas.
	recentWindow = 4 * time.Second
	// maxRecent bounds that count, so that routers with many requests, which know more of
	// the load themselves, choose by expected cost.
	maxRecent = 2.0
	// recentExponent is the power of the count of recent requests in the weights.
	recentExponent = 4
)

// draw draws one of the usable replicas at random, weighted by inverse cost. Random
// choice keeps routers with the same load report from all choosing the same replica.
// Runners that recently received requests of this router get a lower weight, which
// evens out the draws.
func (b *Balancer) draw(now time.Time, wanted *row, work *Work, found *lookup) *replica {
	var costs, weights [maxCandidates]float64
	size := min(len(wanted.subset), maxCandidates)
	var least zoneCosts
	for index, candidate := range wanted.subset[:size] {
		if b.isUsable(now, candidate, work) {
			costs[index] = b.costOf(now, candidate, work, found)
			least.add(b.isRemote(candidate.runner), costs[index])
		}
	}
	localOnly := b.random.Float64() >= least.remoteShare()
	total := 0.0
	for index, candidate := range wanted.subset[:size] {
		if costs[index] == 0 || localOnly && b.isRemote(candidate.runner) {
			continue
		}
		recent := min(maxRecent, candidate.runner.recentRequests(now))
		weights[index] = 1 / (b.weightedCost(costs[index], candidate, found) * intPow(1+recent, recentExponent))
		total += weights[index]
	}
	var drawn *replica
	point := b.random.Float64() * total
	for index, candidate := range wanted.subset[:size] {
		if weights[index] == 0 {
			continue
		}
		drawn = candidate
		if point -= weights[index]; point < 0 {
			break
		}
	}
	return drawn
}

// recentRequests returns the decaying count of requests that this router sent to the
// runner, multiplied by the runner's slowness.
func (r *runner) recentRequests(now time.Time) float64 {
	if r.recent == 0 {
		return 0
	}
	passed := now.Sub(r.recentAt).Seconds() / recentWindow.Seconds()
	// A cheap approximation of exp(-passed).
	return r.recent / (1 + passed + passed*passed/2) * r.pace.Slowness
}

func (r *runner) addRecent(now time.Time) {
	r.recent = r.recentRequests(now)/r.pace.Slowness + 1
	r.recentAt = now
}

// weightedCost raises the cost to the power CostExponent. Without any load report it
// returns the cost itself, so that the load follows the replicas' speed: otherwise
// routers without reports would together overload the fastest ones.
func (b *Balancer) weightedCost(cost float64, candidate *replica, found *lookup) float64 {
	if !found.peers.isKnown && candidate.runner.pace.PromptRate > 0 {
		return cost
	}
	return intPow(cost, b.options.CostExponent)
}

// intPow returns base to the given power, which must be at least 1.
func intPow(base float64, power int) float64 {
	raised := base
	for range power - 1 {
		raised *= base
	}
	return raised
}
