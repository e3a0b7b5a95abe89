package table

import (
	"cmp"
	"slices"
)

// splitMinimum splits the row's MinReplicas over the zones that serve it. A zone
// keeps its part as long as its limit allows and the parts are level, so that
// nothing is loaded or unloaded without need.
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
	lacking := 0
	for i := range shares {
		lacking += spare(&shares[i])
	}
	apportion(min(wanted-sum, lacking), shares, spare, func(zone *share, count int) { zone.minimum += count })
	levelMinimums(shares)
	s.setMinimums(row, shares)
}

// levelMinimums moves parts, one replica each time, from a zone that has more than
// its weight calls for to one that has less, such as a zone that came later or got
// its limit later. A part moves only if the receiver is then no fuller than the
// giver, so that no part moves back.
func levelMinimums(shares []share) {
	for {
		giver, receiver := -1, -1
		for i := range shares {
			if giver < 0 || isFuller(shares[i].minimum, &shares[i], shares[giver].minimum, &shares[giver]) {
				giver = i
			}
			if spare(&shares[i]) <= 0 {
				continue
			}
			if receiver < 0 || isFuller(shares[receiver].minimum, &shares[receiver], shares[i].minimum, &shares[i]) {
				receiver = i
			}
		}
		if receiver < 0 || giver == receiver ||
			isFuller(shares[receiver].minimum+1, &shares[receiver], shares[giver].minimum-1, &shares[giver]) {
			return
		}
		shares[giver].minimum--
		shares[receiver].minimum++
	}
}

// isFuller reports whether one count is more of its zone's weight than the other.
func isFuller(count int, zone *share, otherCount int, other *share) bool {
	return count*max(other.weight, 1) > otherCount*max(zone.weight, 1)
}

func spare(zone *share) int { return zone.cap - zone.minimum }

// minimumCap is the most that a zone can be asked to keep loaded: an adapter's
// replicas each need one of the base.
func minimumCap(limit int, base *rowState, zone uint16) int {
	if base == nil {
		return limit
	}
	return min(limit, base.limitIn(zone))
}

// setMinimums records the parts and marks the grants that changed.
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
