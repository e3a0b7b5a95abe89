package residency

import (
	"math"
	"time"
)

const (
	// newcomerTime is how long a model must not have been asked for until the next request
	// for it counts as one that nothing foretold: two of Options.RateTime, after which the
	// average of a single request is lost among others.
	newcomerTime = 16 * time.Second
	// newcomerRateTime is over how long such requests are averaged.
	newcomerRateTime = 16 * time.Second
)

// newcomers follow how often requests come for models of a service that nobody asked for
// lately. Nothing tells which of them is next, but how often one of them is: so each of the
// models that rest is expected to be asked for at their common rate, divided by their
// number.
type newcomers struct {
	// askedAt is when each model was asked for last; those that rest are not listed.
	askedAt map[string]time.Time
	// rate is the average number of such requests a second, as of ratedAt.
	rate    float64
	ratedAt time.Time
}

func newNewcomers() *newcomers { return &newcomers{askedAt: make(map[string]time.Time)} }

// observe notes that a model is asked for.
func (n *newcomers) observe(now time.Time, model string) {
	last, isAsked := n.askedAt[model]
	if !isAsked || now.Sub(last) > newcomerTime {
		n.decay(now)
		n.rate += 1 / newcomerRateTime.Seconds()
	}
	n.askedAt[model] = now
}

func (n *newcomers) decay(now time.Time) {
	if passed := now.Sub(n.ratedAt); passed > 0 && !n.ratedAt.IsZero() {
		n.rate *= math.Exp(-passed.Seconds() / newcomerRateTime.Seconds())
	}
	n.ratedAt = now
}

// rateOfEach is the rate in requests a second at which each resting one of so many listed
// models is expected to be asked for.
func (n *newcomers) rateOfEach(now time.Time, listed int) float64 {
	for model, last := range n.askedAt {
		if now.Sub(last) > newcomerTime {
			delete(n.askedAt, model)
		}
	}
	n.decay(now)
	return n.rate / float64(max(1, listed-len(n.askedAt)))
}
