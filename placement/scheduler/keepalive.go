package scheduler

import (
	"math"
	"time"
)

const (
	// interarrivalBuckets is the number of buckets; bucket k counts times below 2^k
	// seconds. The last one reaches to six days, beyond a weekend.
	interarrivalBuckets = 20
	// interarrivalDecayAt is the count at which all buckets are halved, so that
	// old habits fade.
	interarrivalDecayAt = 256
	// interarrivalMinimum is how many samples are needed before they are believed.
	interarrivalMinimum = 4
	// interarrivalPrior is what each bucket counts before any sample: a time that was
	// not seen yet is possible, the less likely the more were seen.
	interarrivalPrior = 0.1
	// unknownReturn is the probability of use of a row of which too little is known.
	unknownReturn = 0.5
)

// Interarrivals is a decaying histogram of the times between a row's requests,
// as far as they are a second or more apart. The zero value is ready for use.
type Interarrivals struct {
	counts [interarrivalBuckets]uint16
	total  uint16
}

// Observe counts one time between requests.
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

// KeepAlive returns how long an idle replica is worth keeping: the time that
// minimises the expected idle reservation plus the expected cold starts, of which
// each costs coldCost, in seconds of the replica's reservation. While too little
// is known, it is as long as a cold start is worth.
func (i *Interarrivals) KeepAlive(coldCost time.Duration, settings Settings) time.Duration {
	if i == nil || i.total < interarrivalMinimum {
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

// expectedCost is in seconds of idle reservation.
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

// returnProbability is the probability that a row idle for the given time is
// used again within the horizon.
func (i *Interarrivals) returnProbability(idle, horizon time.Duration) float64 {
	if i == nil || i.total < interarrivalMinimum {
		return unknownReturn
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
	return min(max(keep, settings.MinimumKeepAlive), settings.MaximumKeepAlive)
}
