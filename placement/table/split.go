package table

import "math/bits"

// Hysteresis of contested rows, as the fraction stayNumerator/stayDenominator: a
// limit moves from one zone to another only when the other's demand for each
// replica, after the move, is still at least that many times the first one's.
const (
	stayNumerator   = 3
	stayDenominator = 2
)

// share is one active zone's part in the split of a row's limit.
type share struct {
	zone   uint16
	weight int
	// rank orders zones that are equal otherwise; it is a hash of row and zone.
	rank uint64
	// limit, held and wish are the zone's grant before the split.
	limit int
	held  int
	wish  int
	// demand is the part of the limit that the zone's wish earns it.
	demand int
	// target is the ideal split: demand plus a share by weight of what is left.
	target int
	// next is the split to be reached, close to limit.
	next int
	// growth is how much held may grow now.
	growth int

	// cap is the most that minimum may be; minimum is the zone's part of
	// MinReplicas.
	cap     int
	minimum int

	remainder int
	seated    bool
}

// splitLimits sets next in all shares so that they sum to total (when there is
// any share). With rebalance it is the ideal split; without, the current limits
// stay but for what must move.
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
	// The targets sum to total, so the zones above them exceed total by at least
	// as much as the sum does, and likewise for the zones below.
	if sum > total {
		apportion(sum-total, shares, aboveTarget, func(zone *share, count int) { zone.next -= count })
	}
	if sum < total {
		apportion(total-sum, shares, belowTarget, func(zone *share, count int) { zone.next += count })
	}
}

func aboveTarget(zone *share) int { return max(zone.next-zone.target, 0) }
func belowTarget(zone *share) int { return max(zone.target-zone.next, 0) }

// setTargets computes demand and target: wishes first, in proportion when they
// exceed the total, then what is left by weight. When there are fewer replicas
// than zones, what is left goes one by one to zones without any, picked by rank.
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
		scatter(left, shares)
		return
	}
	apportion(left, shares, func(zone *share) int { return zone.weight },
		func(zone *share, count int) { zone.target += count })
}

// scatter gives one replica each to count zones that have no target yet: those
// with the lowest rank for their weight, so that rows spread over the zones.
func scatter(count int, shares []share) {
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

// lowerRank compares rank/weight without rounding.
func lowerRank(a, b *share) bool {
	aHigh, aLow := bits.Mul64(a.rank, uint64(b.weight))
	bHigh, bLow := bits.Mul64(b.rank, uint64(a.weight))
	if aHigh != bHigh {
		return aHigh < bHigh
	}
	return aLow < bLow
}

// needsMove reports whether a zone lacks limits that its wish earns it while
// another has some that it doesn't use or has much less demand for.
func needsMove(shares []share) bool {
	var neediest, idlest *share
	for i := range shares {
		zone := &shares[i]
		if zone.limit < zone.demand && (neediest == nil || zone.wish*(neediest.limit+1) > neediest.wish*(zone.limit+1)) {
			neediest = zone
		}
		if zone.limit > zone.demand && (idlest == nil || zone.wish*idlest.limit < idlest.wish*zone.limit) {
			idlest = zone
		}
	}
	if neediest == nil {
		return false
	}
	if idlest == nil || idlest.limit > idlest.wish {
		return true
	}
	return stayDenominator*neediest.wish*idlest.limit >= stayNumerator*idlest.wish*(neediest.limit+1)
}

// apportion hands out total in proportion to weight by largest remainder, ties to
// the lower rank. It hands out nothing when all weights are 0. When total is not
// above the sum of weights, no share gets more than its weight.
func apportion(total int, shares []share, weight func(*share) int, give func(*share, int)) {
	sum := 0
	for i := range shares {
		sum += weight(&shares[i])
	}
	if sum == 0 || total <= 0 {
		return
	}
	seats := total
	for i := range shares {
		zone := &shares[i]
		product := total * weight(zone)
		zone.remainder = product % sum
		zone.seated = false
		seats -= product / sum
	}
	for ; seats > 0; seats-- {
		seatLargestRemainder(shares)
	}
	for i := range shares {
		zone := &shares[i]
		count := total * weight(zone) / sum
		if zone.seated {
			count++
		}
		give(zone, count)
	}
}

func seatLargestRemainder(shares []share) {
	var best *share
	for i := range shares {
		zone := &shares[i]
		if zone.seated {
			continue
		}
		isBetter := best == nil || zone.remainder > best.remainder ||
			zone.remainder == best.remainder && zone.rank < best.rank
		if isBetter {
			best = zone
		}
	}
	best.seated = true
}
