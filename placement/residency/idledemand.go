package residency

import (
	"math"
	"time"
)

const (
	// idleAfter is how long nobody must have asked for a model for it to count as idle: two of
	// Options.RateTime, after which the average of a single request is lost among others.
	idleAfter = 16 * time.Second
	// idleRateTime is over how long requests for idle models are averaged.
	idleRateTime = 16 * time.Second
)

// idleDemand follows how often requests come for idle models of a service. Nothing tells
// which of them is next, but how often one of them is: so each is expected to be asked for at
// their common rate, divided by their number when the requests came. Their number now would
// not do: in a rush at all models few are idle any more, and each of them would be expected to
// get what all of them got.
type idleDemand struct {
	// askedAt is when each model was asked for last; idle ones are not listed.
	askedAt map[string]time.Time
	// rate is the average number of requests for each idle model a second, as of ratedAt.
	rate    float64
	ratedAt time.Time
}

func newIdleDemand() *idleDemand { return &idleDemand{askedAt: make(map[string]time.Time)} }

// observe notes that one of so many listed models is asked for.
func (d *idleDemand) observe(now time.Time, model string, listed int) {
	last, isAsked := d.askedAt[model]
	if !isAsked || now.Sub(last) > idleAfter {
		d.decay(now)
		d.prune(now)
		d.rate += 1 / idleRateTime.Seconds() / float64(max(1, listed-len(d.askedAt)))
	}
	d.askedAt[model] = now
}

func (d *idleDemand) decay(now time.Time) {
	if passed := now.Sub(d.ratedAt); passed > 0 && !d.ratedAt.IsZero() {
		d.rate *= math.Exp(-passed.Seconds() / idleRateTime.Seconds())
	}
	d.ratedAt = now
}

// ratePerModel is the rate in requests a second at which each idle model is expected to be
// asked for.
func (d *idleDemand) ratePerModel(now time.Time) float64 {
	d.decay(now)
	return d.rate
}

// prune forgets models that have become idle.
func (d *idleDemand) prune(now time.Time) {
	for model, last := range d.askedAt {
		if now.Sub(last) > idleAfter {
			delete(d.askedAt, model)
		}
	}
}
