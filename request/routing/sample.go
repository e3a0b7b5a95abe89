package routing

import "time"

// sample takes the best of a few replicas chosen at random, or one that has read the beginning
// of the prompt and is expected to be done little later.
func (b *Balancer) sample(now time.Time, wanted *row, work *Work, found *lookup) *replica {
	var best *replica
	lowest := 0.0
	size := len(wanted.subset)
	first := b.random.IntN(size)
	for choice := 0; choice < b.options.Choices && choice < size; choice++ {
		index := first
		if choice > 0 {
			index = (first + 1 + b.random.IntN(size-1)) % size
		}
		candidate := wanted.subset[index]
		if candidate == best || !b.usable(now, candidate, work) {
			continue
		}
		if cost := b.costOf(now, candidate, work, found); best == nil || cost < lowest {
			best, lowest = candidate, cost
		}
	}
	if best == nil {
		best = b.scan(now, wanted, work, found, false)
		if best == nil {
			return nil
		}
		lowest = b.costOf(now, best, work, found)
	}
	if cached := b.cached(now, wanted, work, found, lowest); cached != nil {
		return cached
	}
	return best
}

// scan takes the best that may be used of the whole subset, from a random start; with failing
// also those that fail the requests of the row.
func (b *Balancer) scan(now time.Time, wanted *row, work *Work, found *lookup, failing bool) *replica {
	var best *replica
	lowest := 0.0
	size := len(wanted.subset)
	first := b.random.IntN(size)
	for offset := range size {
		candidate := wanted.subset[(first+offset)%size]
		if !b.usable(now, candidate, work) && !(failing && b.answers(now, candidate, work)) {
			continue
		}
		if cost := b.costOf(now, candidate, work, found); best == nil || cost < lowest {
			best, lowest = candidate, cost
		}
	}
	return best
}

// cached finds a runner that probably has the longest known prefix of the prompt and costs at most
// AffinityBound of a full batch more than the lowest.
func (b *Balancer) cached(now time.Time, wanted *row, work *Work, found *lookup, lowest float64) *replica {
	for index := found.count - 1; index >= 0; index-- {
		for _, number := range found.known[index] {
			candidate := wanted.find(number)
			if candidate == nil || !b.usable(now, candidate, work) {
				continue
			}
			if b.costOf(now, candidate, work, found) <= lowest+usualStay*b.options.AffinityBound {
				return candidate
			}
		}
	}
	return nil
}
