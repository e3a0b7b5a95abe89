package routing

import "time"

// Outcome is the result of an attempt as far as it affects later choices.
type Outcome uint8

// Outcomes of an attempt.
const (
	// OutcomeSuccess means that the answer is complete.
	OutcomeSuccess Outcome = iota
	// OutcomeNeutral means that the attempt was abandoned for a reason unrelated to
	// the replica.
	OutcomeNeutral
	// OutcomeRejected means that the runner rejected the request without running it,
	// because it is full or about to unload the model.
	OutcomeRejected
	// OutcomeUnavailable means that the runner responds but does not run the replica's requests.
	OutcomeUnavailable
	// OutcomeBroken means that the runner was unreachable or the stream broke.
	OutcomeBroken
)

// breaker is a circuit breaker. It opens after consecutive failures; after a delay it
// lets one probe through, which closes it or opens it again for twice the delay.
type breaker struct {
	failures  int
	delay     time.Duration
	openUntil time.Time
	probing   bool
}

func (b *breaker) open() bool { return b.delay > 0 }

func (b *breaker) allows(now time.Time) bool {
	if !b.open() {
		return true
	}
	return !b.probing && !now.Before(b.openUntil)
}

// sent records an attempt; if the breaker is open, the attempt is its probe.
func (b *breaker) sent() {
	if b.open() {
		b.probing = true
	}
}

func (b *breaker) succeeded() { *b = breaker{} }

// abandoned ends an attempt whose outcome is neither a success nor a failure.
func (b *breaker) abandoned() { b.probing = false }

func (b *breaker) failed(now time.Time, options *Options) {
	b.failures++
	if b.open() {
		if !b.probing {
			return
		}
		b.probing = false
		b.delay = min(2*b.delay, options.BreakerDelayLimit)
		b.openUntil = now.Add(b.delay)
		return
	}
	if b.failures >= options.BreakerFailures {
		b.delay = options.BreakerDelay
		b.openUntil = now.Add(b.delay)
	}
}

// Parameters of outlier ejection.
const (
	// outlierSamples is the minimum number of attempts before a replica may be ejected.
	outlierSamples = 8
	// outlierRate is the failure rate from which a replica may be an outlier, and
	// outlierFactor the multiple of its peers' mean rate that it must exceed.
	outlierRate   = 0.5
	outlierFactor = 2.0
	// outlierWeight is the minimum weight of a new attempt in the moving average.
	outlierWeight = 0.1
)

// failureRate is a moving average of the share of failed attempts.
type failureRate struct {
	value   float64
	samples int
}

func (f *failureRate) add(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	f.samples++
	weight := max(outlierWeight, 1/float64(f.samples))
	f.value += weight * (sample - f.value)
}

// ejectOutlier excludes the replica for EjectionTime if its failure rate is far above
// that of its row, unless EjectionShare of the subset is already ejected.
func (b *Balancer) ejectOutlier(now time.Time, candidate *replica) {
	if candidate.rate.samples < outlierSamples || candidate.rate.value < outlierRate {
		return
	}
	subset := candidate.row.subset
	out := 1
	others := 0.0
	for _, peer := range subset {
		if peer == candidate {
			continue
		}
		others += peer.rate.value
		if now.Before(peer.ejectedUntil) {
			out++
		}
	}
	if float64(out) > b.options.EjectionShare*float64(len(subset)) {
		return
	}
	mean := others / float64(len(subset)-1)
	if candidate.rate.value <= outlierFactor*mean {
		return
	}
	candidate.ejectedUntil = now.Add(b.options.EjectionTime)
	candidate.rate = failureRate{}
	b.ejections++
}
