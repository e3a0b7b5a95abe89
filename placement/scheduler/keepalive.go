package scheduler

import (
	"math"
	"time"
)

const (
	// interarrivalBuckets is the number of buckets; bucket k counts times below 2^k
	// seconds. The last one reaches six days, longer than a weekend.
	interarrivalBuckets = 20
	// interarrivalDecayAt is the count at which all buckets are halved, so that old
	// samples lose weight.
	interarrivalDecayAt = 256
	// minInterarrivalSamples is the number of samples below which the histogram is ignored.
	minInterarrivalSamples = 4
	// interarrivalPrior is the pseudo-count of each bucket, so that times not yet
	// observed keep a probability that shrinks with the number of samples.
	interarrivalPrior = 0.1
	// defaultReturnProbability is the return probability of a row with too few samples.
	defaultReturnProbability = 0.5
)

// Interarrivals is a decaying histogram of the times between a row's requests that
// are at least a second apart. The zero value is ready for use.
type Interarrivals struct {
	counts [interarrivalBuckets]uint16
	total  uint16
}

// Observe adds one time between requests.
func (i *Interarrivals) Observe(gap time.Duration) {
	bucket := 0
	for bucket < interarrivalBuckets-1 && gap >= time.Second<<bucket {
		bucket++
	}
	i.counts[bucket]++
	i.total++
	if i.total < interarrivalDecayAt {
		return
	}
	i.total = 0
	for k := range i.counts {
		i.counts[k] /= 2
		i.total += i.counts[k]
	}
}

// KeepAlive returns how long to keep an idle replica: the time that minimises the
// expected idle time plus the expected cost of cold starts, where one cold start
// costs coldCost of idle time. With too few samples it is coldCost. The result is
// within the bounds of the settings.
func (i *Interarrivals) KeepAlive(coldCost time.Duration, settings Settings) time.Duration {
	if i == nil || i.total < minInterarrivalSamples {
		return clampKeepAlive(coldCost, settings)
	}
	best, bestCost := time.Duration(0), math.Inf(1)
	for bucket := -1; bucket < interarrivalBuckets; bucket++ {
		keep := time.Duration(0)
		if bucket >= 0 {
			keep = time.Second << bucket
		}
		if cost := i.expectedCost(keep, coldCost.Seconds()); cost < bestCost {
			best, bestCost = keep, cost
		}
	}
	return clampKeepAlive(best, settings)
}

// expectedCost returns the expected cost of the keep-alive time in seconds of idle time.
func (i *Interarrivals) expectedCost(keep time.Duration, coldCost float64) float64 {
	cost := 0.0
	total := float64(i.total) + interarrivalPrior*interarrivalBuckets
	for k, count := range i.counts {
		share := (float64(count) + interarrivalPrior) / total
		gap := time.Second << k
		if gap <= keep {
			cost += share * gap.Seconds()
		} else {
			cost += share * (keep.Seconds() + coldCost)
		}
	}
	return cost
}

// returnProbability returns the probability that a row idle for the given time is
// used again within the horizon.
func (i *Interarrivals) returnProbability(idle, horizon time.Duration) float64 {
	if i == nil || i.total < minInterarrivalSamples {
		return defaultReturnProbability
	}
	later, soon := 0.0, 0.0
	for k, count := range i.counts {
		gap := time.Second << k
		if gap <= idle {
			continue
		}
		later += float64(count) + interarrivalPrior
		if gap <= idle+horizon {
			soon += float64(count) + interarrivalPrior
		}
	}
	if later == 0 {
		return 0
	}
	return soon / later
}

func clampKeepAlive(keep time.Duration, settings Settings) time.Duration {
	return min(max(keep, settings.MinKeepAlive), settings.MaxKeepAlive)
}
