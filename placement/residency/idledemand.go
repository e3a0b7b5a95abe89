package residency

import (
	"math"
	"time"
)

const (
	// idleAfter is the time without a request after which a model is idle.
	idleAfter = 16 * time.Second
	// idleRateTime is the averaging time of the requests for idle models.
	idleRateTime = 16 * time.Second
)

// idleDemand estimates how often a request arrives for an idle model of a service. Which idle model
// is next is unknown, so each is expected to be requested at their common rate, divided by their
// number at the time of the requests. The current number would overestimate the rate of each after
// a burst over all models, when few are left idle.
type idleDemand struct {
	// polledAt is the time of the last request for each model; idle models are not listed.
	polledAt map[string]time.Time
	// rate is the average number of requests per second for each idle model, as of ratedAt.
	rate    float64
	ratedAt time.Time
}

func newIdleDemand() *idleDemand { return &idleDemand{polledAt: make(map[string]time.Time)} }

// observe counts a request for a model, one of the given number of models.
func (d *idleDemand) observe(now time.Time, model string, listed int) {
	last, isAsked := d.polledAt[model]
	if !isAsked || now.Sub(last) > idleAfter {
		d.decay(now)
		d.prune(now)
		d.rate += 1 / idleRateTime.Seconds() / float64(max(1, listed-len(d.polledAt)))
	}
	d.polledAt[model] = now
}

func (d *idleDemand) decay(now time.Time) {
	if passed := now.Sub(d.ratedAt); passed > 0 && !d.ratedAt.IsZero() {
		d.rate *= math.Exp(-passed.Seconds() / idleRateTime.Seconds())
	}
	d.ratedAt = now
}

// ratePerModel returns the expected rate of each idle model in requests per second.
func (d *idleDemand) ratePerModel(now time.Time) float64 {
	d.decay(now)
	return d.rate
}

// prune deletes models that have become idle.
func (d *idleDemand) prune(now time.Time) {
	for model, last := range d.polledAt {
		if now.Sub(last) > idleAfter {
			delete(d.polledAt, model)
		}
	}
}
