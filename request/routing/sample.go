package routing

import "time"

// sample returns the best of a few random replicas, or one with a cached prefix of the
// prompt whose cost is not much higher.
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
		if candidate == best || !b.isUsable(now, candidate, work) {
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

// scan returns the cheapest usable replica of the whole subset, starting at random. If
// failing is set, replicas that are only available count as well.
func (b *Balancer) scan(now time.Time, wanted *row, work *Work, found *lookup, failing bool) *replica {
	var best *replica
	lowest := 0.0
	size := len(wanted.subset)
	first := b.random.IntN(size)
	for offset := range size {
		candidate := wanted.subset[(first+offset)%size]
		if !b.isUsable(now, candidate, work) && !(failing && b.isAvailable(now, candidate, work)) {
			continue
		}
		if cost := b.costOf(now, candidate, work, found); best == nil || cost < lowest {
			best, lowest = candidate, cost
		}
	}
	return best
}

// cached returns the replica with the longest cached prefix whose cost exceeds the
// lowest by at most AffinityBound of a full batch, or nil.
func (b *Balancer) cached(now time.Time, wanted *row, work *Work, found *lookup, lowest float64) *replica {
	for index := found.count - 1; index >= 0; index-- {
		for _, number := range found.known[index] {
			candidate := wanted.find(number)
			if candidate == nil || !b.isUsable(now, candidate, work) {
				continue
			}
			if b.costOf(now, candidate, work, found) <= lowest+defaultServiceTime*b.options.AffinityBound {
				return candidate
			}
		}
	}
	return nil
}
