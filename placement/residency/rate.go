package residency

const (
	// firstRateShare is the part of Options.ReplicaRate that one replica gets until the
	// streams tell more, leastRate the least in requests a second.
	firstRateShare = 0.8
	leastRate      = 1.5
	// rateSample is how many streams must have ended before the rate is changed.
	rateSample = 24
	// tooManyPaused is the share of streams with too long a pause from which a replica
	// gets less, fewPaused that below which it gets more.
	tooManyPaused = 0.05
	fewPaused     = 0.02
	rateDecrease  = 0.9
	rateIncrease  = 0.15
)

// replicaRate is how many requests a second one replica of a service's models should
// get. Prompts that come together are read one after the other, and the streams of the
// runner pause meanwhile; how many are too many depends on the engine. So the rate
// follows what the streams show: it falls by a part when too many of them paused, and
// rises slowly when few did.
type replicaRate struct {
	rate   float64
	seen   int
	paused int
}

// rateOf returns the rate of a service.
func (p *Planner) rateOf(service string) float64 {
	if known := p.rates[service]; known != nil {
		return known.rate
	}
	return p.options.ReplicaRate * firstRateShare
}

// observeRate counts a stream that has ended at a runner that is not slow.
func (p *Planner) observeRate(seen Pace) {
	known := p.rates[seen.Service]
	if known == nil {
		known = &replicaRate{rate: p.rateOf(seen.Service)}
		p.rates[seen.Service] = known
	}
	known.seen++
	if seen.Paused {
		known.paused++
	}
}

// adjust changes the rate by the streams that have ended since it was changed last.
func (r *replicaRate) adjust(most float64) {
	if r.seen < rateSample {
		return
	}
	switch share := float64(r.paused) / float64(r.seen); {
	case share > tooManyPaused:
		r.rate = max(leastRate, r.rate*rateDecrease)
	case share < fewPaused:
		r.rate = min(most, r.rate+rateIncrease)
	}
	r.seen, r.paused = 0, 0
}
