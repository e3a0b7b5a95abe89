package table

import "math/bits"

// Hysteresis for rows whose wishes exceed the limit: a replica moves only if the
// receiver's wish per replica after the move is at least
// hysteresisNumerator/hysteresisDenominator times the donor's before the move.
const (
	hysteresisNumerator   = 3
	hysteresisDenominator = 2
)

// share is the part of one active zone in the split of a row's limit.
type share struct {
	zone   uint16
	weight int
	// rank is a hash of row and zone that breaks ties.
	rank uint64
	// limit, held and wish are the zone's grant before the split.
	limit int
	held  int
	wish  int
	// demand is the part of the row's limit assigned by the zone's wish.
	demand int
	// target is the ideal limit: demand plus a part of the remainder by weight.
	target int
	// next is the new limit. It differs from limit only as far as necessary.
	next int
	// growth is the number of replicas by which held may grow now.
	growth int

	// minimum is the zone's part of MinReplicas, at most cap.
	cap     int
	minimum int

	remainder int
	roundedUp bool
}

// splitLimits sets next in all shares so that they sum to total, if there are any
// shares. With rebalance, next is the target; without, limits move only if necessary.
func splitLimits(total int, shares []share, rebalance bool) {
	setTargets(total, shares)
	if rebalance {
		for i := range shares {
			shares[i].next = shares[i].target
		}
		return
	}
	mustMove := needsMove(shares)
	sum := 0
	for i := range shares {
		zone := &shares[i]
		zone.next = zone.limit
		if mustMove {
			zone.next = max(zone.limit, zone.demand)
		}
		sum += zone.next
	}
	// The targets sum to total, so the zones above their targets exceed them by at
	// least sum-total in all, and likewise for the zones below.
	if sum > total {
		apportion(sum-total, shares, aboveTarget, func(zone *share, count int) { zone.next -= count })
	}
	if sum < total {
		apportion(total-sum, shares, belowTarget, func(zone *share, count int) { zone.next += count })
	}
}

func aboveTarget(zone *share) int { return max(zone.next-zone.target, 0) }
func belowTarget(zone *share) int { return max(zone.target-zone.next, 0) }

// setTargets computes demand and target: wishes first, scaled down if they exceed the
// total, then the remainder by weight. If there are fewer replicas than zones, the
// remainder is assigned one by one, by rank, to zones without any.
func setTargets(total int, shares []share) {
	wished := 0
	for i := range shares {
		wished += shares[i].wish
	}
	if wished > total {
		apportion(total, shares, func(zone *share) int { return zone.wish },
			func(zone *share, count int) { zone.demand += count })
	}
	left := total
	for i := range shares {
		zone := &shares[i]
		if wished <= total {
			zone.demand = zone.wish
		}
		zone.target = zone.demand
		left -= zone.demand
	}
	if total < len(shares) {
		assignByRank(left, shares)
		return
	}
	apportion(left, shares, func(zone *share) int { return zone.weight },
		func(zone *share, count int) { zone.target += count })
}

// assignByRank sets a target of one replica for count zones without any: those with
// the lowest rank/weight, so that rows spread over the zones.
func assignByRank(count int, shares []share) {
	for ; count > 0; count-- {
		var best *share
		for i := range shares {
			zone := &shares[i]
			if zone.target == 0 && (best == nil || lowerRank(zone, best)) {
				best = zone
			}
		}
		if best == nil {
			return
		}
		best.target = 1
	}
}

// lowerRank reports whether a.rank/a.weight < b.rank/b.weight, without rounding.
func lowerRank(a, b *share) bool {
	aHigh, aLow := bits.Mul64(a.rank, uint64(b.weight))
	bHigh, bLow := bits.Mul64(b.rank, uint64(a.weight))
	if aHigh != bHigh {
		return aHigh < bHigh
	}
	return aLow < bLow
}

// needsMove reports whether some zone's limit is below its demand while another zone
// has limits that it does not use or has much less demand for.
func needsMove(shares []share) bool {
	var receiver, donor *share
	for i := range shares {
		zone := &shares[i]
		if zone.limit < zone.demand && (receiver == nil || zone.wish*(receiver.limit+1) > receiver.wish*(zone.limit+1)) {
			receiver = zone
		}
		if zone.limit > zone.demand && (donor == nil || zone.wish*donor.limit < donor.wish*zone.limit) {
			donor = zone
		}
	}
	if receiver == nil {
		return false
	}
	if donor == nil || donor.limit > donor.wish {
		return true
	}
	return hysteresisDenominator*receiver.wish*donor.limit >= hysteresisNumerator*donor.wish*(receiver.limit+1)
}

// apportion distributes total in proportion to weight by the largest remainder method,
// with ties broken by the lower rank. It distributes nothing if all weights are 0. If
// total is at most the sum of weights, no share gets more than its weight.
func apportion(total int, shares []share, weight func(*share) int, give func(*share, int)) {
	sum := 0
	for i := range shares {
		sum += weight(&shares[i])
	}
	if sum == 0 || total <= 0 {
		return
	}
	unassigned := total
	for i := range shares {
		zone := &shares[i]
		product := total * weight(zone)
		zone.remainder = product % sum
		zone.roundedUp = false
		unassigned -= product / sum
	}
	for ; unassigned > 0; unassigned-- {
		roundUpLargestRemainder(shares)
	}
	for i := range shares {
		zone := &shares[i]
		count := total * weight(zone) / sum
		if zone.roundedUp {
			count++
		}
		give(zone, count)
	}
}

func roundUpLargestRemainder(shares []share) {
	var best *share
	for i := range shares {
		zone := &shares[i]
		if zone.roundedUp {
			continue
		}
		isBetter := best == nil || zone.remainder > best.remainder ||
			zone.remainder == best.remainder && zone.rank < best.rank
		if isBetter {
			best = zone
		}
	}
	best.roundedUp = true
}
