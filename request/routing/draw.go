package routing

import "time"

const (
	// maxDrawn bounds the replicas among which one is drawn; a subset is smaller by default.
	maxDrawn = 64
	// turnTime is how long an attempt counts as the turn of its runner: several times what a
	// request takes, so that a router that sends one or two a second to a row goes round its replicas.
	turnTime = 4 * time.Second
	// maxTurns bounds the turns that count, so that a router with many requests, which knows more of
	// the work at the runners by itself, goes by the expected times.
	maxTurns = 2.0
	// turnSharpness is how much turns decide. In the load test 2 to 6 let alike many callers be late, and
	// turns at all spare a third to a half of these.
	turnSharpness = 4
)

// draw draws one of the replicas that may be used, the likelier the sooner it is expected to be
// done. Many routers with the same word of the leader then spread their requests, in place of
// sending all to the one that was best when the word was written. Runners that had a turn
// lately are less likely: less is left to chance then, and as all routers get the same mix of
// requests, what one of them sends to a runner also tells what all of them do.
func (b *Balancer) draw(now time.Time, wanted *row, work *Work, found *lookup) *replica {
	var costs, weights [maxDrawn]float64
	size := min(len(wanted.subset), maxDrawn)
	var least nearAndFar
	for index, candidate := range wanted.subset[:size] {
		if b.usable(now, candidate, work) {
			costs[index] = b.costOf(now, candidate, work, found)
			least.add(b.isFar(candidate.runner), costs[index])
		}
	}
	staysNear := b.random.Float64() >= least.spill()
	total := 0.0
	for index, candidate := range wanted.subset[:size] {
		if costs[index] == 0 || staysNear && b.isFar(candidate.runner) {
			continue
		}
		turns := min(maxTurns, candidate.runner.turns(now))
		weights[index] = 1 / (b.sharpen(costs[index], candidate, found) * raise(1+turns, turnSharpness))
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

// turns is how many requests the runner got lately of this router; one at a slow runner counts for
// more.
func (r *runner) turns(now time.Time) float64 {
	if r.lately == 0 {
		return 0
	}
	passed := now.Sub(r.latelyAt).Seconds() / turnTime.Seconds()
	// Close to exp(-passed), and a tenth of the work.
	return r.lately / (1 + passed + passed*passed/2) * r.pace.Slowness
}

func (r *runner) addTurn(now time.Time) {
	r.lately = r.turns(now)/r.pace.Slowness + 1
	r.latelyAt = now
}

// sharpen makes differences of cost weigh more. A router that does not know what others do gives
// each replica what its speed bears, as all routers together would fill up the quickest ones.
func (b *Balancer) sharpen(cost float64, candidate *replica, found *lookup) float64 {
	if !found.outlook.isKnown && candidate.runner.pace.PromptRate > 0 {
		return cost
	}
	return raise(cost, b.options.Sharpness)
}

// raise returns the base to a whole power above 0.
func raise(base float64, power int) float64 {
	raised := base
	for range power - 1 {
		raised *= base
	}
	return raised
}
