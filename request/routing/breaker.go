package routing

import "time"

// Outcome is how an attempt ended, as far as the choice of replicas cares.
type Outcome uint8

// The outcomes.
const (
	// OutcomeSuccess: the answer is whole.
	OutcomeSuccess Outcome = iota
	// OutcomeNeutral: the attempt was given up for a reason that says nothing
	// about the replica.
	OutcomeNeutral
	// OutcomeTurnedAway: the runner is there and is full, or is about to unload what the request
	// needs, and has not run it.
	OutcomeTurnedAway
	// OutcomeRefused: the runner is there but does not run the replica's requests.
	OutcomeRefused
	// OutcomeBroken: the runner could not be reached or the stream broke.
	OutcomeBroken
)

// breaker stops sending after failures in a row; after a delay it lets one probe
// through, which closes it or opens it again for longer.
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

// sent notes that an attempt goes out; with an open breaker it is the probe.
func (b *breaker) sent() {
	if b.open() {
		b.probing = true
	}
}

func (b *breaker) succeeded() { *b = breaker{} }

// abandoned ends an attempt that proves nothing.
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

// The limits of outlier ejection.
const (
	// outlierSamples is how many attempts a replica is judged by at least.
	outlierSamples = 8
	// outlierRate is the share of failed attempts from which it may be an outlier,
	// outlierFactor how many times the others' share its own must exceed.
	outlierRate   = 0.5
	outlierFactor = 2.0
	// outlierWeight is the least weight of a new attempt in its share.
	outlierWeight = 0.1
)

// failureRate is a moving average of the share of attempts that fail.
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

// ejectOutlier takes the replica out for a while if it fails far more often than
// the others of its row, unless too many are out already.
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
