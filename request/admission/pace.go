package admission

import "time"

// The weights of a new observation in a Pace, and how many deviations above the
// mean count as ordinary: the values of TCP's retransmission timer.
const (
	paceMeanWeight      = 0.125
	paceDeviationWeight = 0.25
	paceDeviations      = 4
)

// paceMargin is how many times the ordinary time a silence may last.
const paceMargin = 2

// paceBackoffLimit bounds how far silences in a row raise the limit.
const paceBackoffLimit = 8

// TimeoutEstimator tracks how long something usually takes, so that a silence can be told
// from slowness.
type TimeoutEstimator struct {
	mean      float64
	deviation float64
	// backoff multiplies the limit after silences in a row; 0 and 1 mean none.
	backoff float64
	count   int
}

// Observe records one duration.
func (p *TimeoutEstimator) Observe(duration time.Duration) {
	sample := duration.Seconds()
	p.backoff = 1
	p.count++
	if p.count == 1 {
		p.mean = sample
		p.deviation = sample / 2
		return
	}
	miss := sample - p.mean
	p.mean += paceMeanWeight * miss
	p.deviation += paceDeviationWeight * (max(miss, -miss) - p.deviation)
}

// RecordTimeout records that a wait was given up: until something is observed again,
// the limit is doubled, so that a row that became slow is not given up again and
// again.
func (p *TimeoutEstimator) RecordTimeout() {
	p.backoff = min(2*max(p.backoff, 1), paceBackoffLimit)
}

// Timeout returns how long to wait before a silence is taken for a stall: between
// floor and ceiling, and the ceiling while nothing was observed.
func (p *TimeoutEstimator) Timeout(floor, ceiling time.Duration) time.Duration {
	ceiling = max(floor, ceiling)
	if p.count == 0 {
		return ceiling
	}
	ordinary := p.mean + paceDeviations*p.deviation
	return min(max(seconds(paceMargin*max(p.backoff, 1)*ordinary), floor), ceiling)
}
