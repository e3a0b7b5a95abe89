package table

import (
	"cmp"
	"slices"
)

// splitMinimum splits the row's MinReplicas over the zones that serve it. A zone keeps
// its part as long as its limit allows and the parts are balanced, to avoid
// unnecessary loads and unloads.
func (s *State) splitMinimum(row, base *rowState, shares []share) {
	wanted := row.minReplicas()
	if wanted == 0 && len(row.minimums) == 0 {
		return
	}
	sum := 0
	for i := range shares {
		zone := &shares[i]
		zone.cap = minimumCap(zone.limit, base, zone.zone)
		zone.minimum = min(int(row.minimums[zone.zone]), zone.cap)
		sum += zone.minimum
	}
	apportion(sum-wanted, shares, func(zone *share) int { return zone.minimum },
		func(zone *share, count int) { zone.minimum -= count })
	totalHeadroom := 0
	for i := range shares {
		totalHeadroom += minimumHeadroom(&shares[i])
	}
	apportion(min(wanted-sum, totalHeadroom), shares, minimumHeadroom, func(zone *share, count int) { zone.minimum += count })
	balanceMinimums(shares)
	s.setMinimums(row, shares)
}

// balanceMinimums moves the minimums, one replica at a time, from the zone with the
// highest ratio of minimum to weight to the one with the lowest, such as a zone that
// was added later. A replica moves only if the receiver's ratio is then not above the
// donor's, so that it does not move back.
func balanceMinimums(shares []share) {
	for {
		donor, receiver := -1, -1
		for i := range shares {
			if donor < 0 || hasHigherRatio(shares[i].minimum, &shares[i], shares[donor].minimum, &shares[donor]) {
				donor = i
			}
			if minimumHeadroom(&shares[i]) <= 0 {
				continue
			}
			if receiver < 0 || hasHigherRatio(shares[receiver].minimum, &shares[receiver], shares[i].minimum, &shares[i]) {
				receiver = i
			}
		}
		if receiver < 0 || donor == receiver ||
			hasHigherRatio(shares[receiver].minimum+1, &shares[receiver], shares[donor].minimum-1, &shares[donor]) {
			return
		}
		shares[donor].minimum--
		shares[receiver].minimum++
	}
}

// hasHigherRatio reports whether count/zone.weight > otherCount/other.weight.
func hasHigherRatio(count int, zone *share, otherCount int, other *share) bool {
	return count*max(other.weight, 1) > otherCount*max(zone.weight, 1)
}

func minimumHeadroom(zone *share) int { return zone.cap - zone.minimum }

// minimumCap returns the maximum of a zone's minimum. Each replica of an adapter needs
// one of the base.
func minimumCap(limit int, base *rowState, zone uint16) int {
	if base == nil {
		return limit
	}
	return min(limit, base.limitIn(zone))
}

// setMinimums stores the parts and marks the changed grants.
func (s *State) setMinimums(row *rowState, shares []share) {
	former := row.minimums
	row.minimums = nil
	for i := range shares {
		if part := shares[i].minimum; part > 0 {
			if row.minimums == nil {
				row.minimums = make(map[uint16]uint16, len(shares))
			}
			row.minimums[shares[i].zone] = uint16(part)
		}
	}
	for i := range row.grants {
		grant := &row.grants[i]
		if former[grant.zone] != row.minimums[grant.zone] {
			grant.sequence = s.next
			s.markChanged(row)
		}
	}
}

func (r *rowState) findAdapter(adapter *rowState) (int, bool) {
	return slices.BinarySearchFunc(r.adapters, adapter, func(a, b *rowState) int {
		return cmp.Compare(a.row.Name, b.row.Name)
	})
}

func (r *rowState) addAdapter(adapter *rowState) {
	position, found := r.findAdapter(adapter)
	if !found {
		r.adapters = slices.Insert(r.adapters, position, adapter)
	}
}

func (r *rowState) removeAdapter(adapter *rowState) {
	if position, found := r.findAdapter(adapter); found {
		r.adapters = slices.Delete(r.adapters, position, position+1)
	}
}
