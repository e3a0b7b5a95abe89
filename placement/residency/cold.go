package residency

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// unknownColdTime is the assumed rest of the cold time of a runner that has not reported it: after
// the drain of its zone has ended, until its next heartbeat.
const unknownColdTime = 5 * time.Second

// coldPeriod is the time in which a runner takes few requests; the zero value for a runner that is
// not cold.
type coldPeriod struct {
	// rate is what the runner takes until it is warm, in requests per second.
	rate float64
	// left is the time until the runner is warm, and share its share of the horizon.
	left  time.Duration
	share float64
}

// isCold reports whether the runner is in its cold period.
func (c *capability) isCold() bool { return c.cold.left > 0 }

// coldPeriodOf returns the cold period of a runner; the zero value if its service has no cold rate.
func (p *Planner) coldPeriodOf(r *runner) coldPeriod {
	if !r.status.Cold || p.document == nil {
		return coldPeriod{}
	}
	service := p.document.Service(r.status.Heartbeat.Service)
	if service == nil || service.ColdRate <= 0 {
		return coldPeriod{}
	}
	left := r.status.ColdFor
	if left <= 0 {
		left = unknownColdTime
	}
	return coldPeriod{rate: service.ColdRate, left: left, share: min(1, left.Seconds()/p.options.Horizon.Seconds())}
}

// applyCold lowers the capacity to the mean over the horizon: the cold rate at first, and the warm
// capacity after it.
func (c *capability) applyCold(cold coldPeriod) {
	cold.rate = min(cold.rate, c.warmCapacity)
	c.cold = cold
	c.capacity = cold.share*cold.rate + (1-cold.share)*c.warmCapacity
	c.maxRate = cold.share*min(cold.rate, c.maxRate) + (1-cold.share)*c.maxRate
}

// rateIn returns the rate that the runner will serve in time after a delay, in requests per second.
func (c *capability) rateIn(in time.Duration) float64 {
	if in < c.cold.left {
		return c.cold.rate
	}
	return c.warmCapacity
}

// coldLeft returns the time until the first of the cold runners is warm; 0 if none is cold.
func coldLeft(runners []*runner) time.Duration {
	var least time.Duration
	for _, r := range runners {
		if r.isCold() && (least == 0 || r.cold.left < least) {
			least = r.cold.left
		}
	}
	return least
}

// warmHoldersExcept returns the other runners on which requests may use the model, except for cold
// ones.
func (p *Planner) warmHoldersExcept(r *runner, row Row) []*runner {
	others := p.holdersExcept(r, row)
	if !p.snapshot.hasCold {
		return others
	}
	return slices.DeleteFunc(others, func(other *runner) bool { return other.isCold() })
}

// limitToCold records for a need how long its replicas are cold and the gain after that, if the
// overload is less by then.
func (p *Planner) limitToCold(wanted *need, overload float64) {
	if !p.snapshot.hasCold || overload <= 0 {
		return
	}
	replicas := p.replicas(wanted.row)
	left := coldLeft(replicas)
	if left == 0 {
		return
	}
	if warm := p.overloadWith(wanted.row, replicas, warmCapacityOf); warm < overload {
		wanted.coldLeft, wanted.warmGain = left, wanted.gain-overload+warm
	}
}

// at returns the need with the gain of a load of the model at the runner. A load that ends
// after the replicas are warm, or at a runner that is cold itself, gains only what a further
// replica gains then. A replica for the loss of a zone or region and a prewarm gain nothing at a
// cold runner, so that a zone that was given back isn't filled before its runners are warm.
func (n *need) at(r *runner, model *site.Model) *need {
	if r.isCold() && (n.isOnlyForLoss || n.isPrewarm) {
		met := *n
		met.gain = 0
		return &met
	}
	if n.coldLeft == 0 || !r.isCold() && loadTime(r, model) < n.coldLeft {
		return n
	}
	met := *n
	met.gain = n.warmGain
	return &met
}

// isColdBound reports whether a model in demand is held by cold runners alone.
func (p *Planner) isColdBound(row Row) bool {
	holders := p.holders(row)
	isWarm := func(r *runner) bool { return !r.isCold() }
	return len(holders) > 0 && p.modelDemand(row).rate > redundantRate && !slices.ContainsFunc(holders, isWarm)
}

// coldReadyIn returns the time until the holders of a model have taken the requests that wait for
// it; false if one of them is not cold. Until the first of them is warm, they take requests at the
// cold rate.
func (p *Planner) coldReadyIn(row Row) (time.Duration, bool) {
	holders := p.holders(row)
	first := coldLeft(holders)
	if first == 0 || slices.ContainsFunc(holders, func(r *runner) bool { return !r.isCold() }) {
		return 0, false
	}
	demand, replicas := p.modelDemand(row).rate, p.replicas(row)
	waiting, cold, warm := float64(p.snapshot.waiting[row]), 0.0, 0.0
	for _, r := range holders {
		cold += r.rateIn(0) * r.shareOf(demand, replicas)
		warm += r.rateIn(first) * r.shareOf(demand, replicas)
	}
	if waiting <= cold*first.Seconds() {
		return secondsOf(waiting / cold), true
	}
	return first + secondsOf((waiting-cold*first.Seconds())/warm), true
}

// shareOf returns the share of the runner's requests that are for a model with the given demand, at
// least minCapacityShare.
func (r *runner) shareOf(demand float64, replicas []*runner) float64 {
	if r.load <= 0 {
		return 1
	}
	return max(minCapacityShare, demand*r.capacity/totalCapacity(replicas)/r.load)
}

func secondsOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
