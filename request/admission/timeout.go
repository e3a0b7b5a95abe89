package admission

import "time"

// The gains and the deviation factor of the retransmission timer of TCP.
const (
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
)

// timeoutMargin multiplies the usual duration to obtain the timeout.
const timeoutMargin = 2

// maxBackoff limits the backoff after consecutive timeouts.
const maxBackoff = 8

// TimeoutEstimator derives a timeout from observed durations, like the retransmission
// timer of TCP (RFC 6298).
type TimeoutEstimator struct {
	mean      float64
	deviation float64
	// backoff multiplies the timeout after consecutive timeouts; 0 and 1 mean none.
	backoff float64
	count   int
}

// Observe records a duration and resets the backoff.
func (e *TimeoutEstimator) Observe(duration time.Duration) {
	sample := duration.Seconds()
	e.backoff = 1
	e.count++
	if e.count == 1 {
		e.mean = sample
		e.deviation = sample / 2
		return
	}
	miss := sample - e.mean
	e.mean += meanWeight * miss
	e.deviation += deviationWeight * (max(miss, -miss) - e.deviation)
}

// RecordTimeout doubles the timeout until the next observation, so that a row that became
// slow does not time out repeatedly.
func (e *TimeoutEstimator) RecordTimeout() {
	e.backoff = min(2*max(e.backoff, 1), maxBackoff)
}

// Timeout returns the current timeout, between floor and ceiling; without observations it
// is the ceiling.
func (e *TimeoutEstimator) Timeout(floor, ceiling time.Duration) time.Duration {
	ceiling = max(floor, ceiling)
	if e.count == 0 {
		return ceiling
	}
	ordinary := e.mean + deviationFactor*e.deviation
	return min(max(seconds(timeoutMargin*max(e.backoff, 1)*ordinary), floor), ceiling)
}
