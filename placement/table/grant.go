package table

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/lotusferry/lotusferry/structs"
)

// reallocate splits the limit of the row again, raises held as far as possible, and
// updates the row's adapters. Without rebalance, limits move only if necessary.
func (s *State) reallocate(row *rowState, rebalance bool) {
	isSetChanged, isLimitChanged := s.splitRow(row, rebalance)
	if isLimitChanged {
		s.reallocateAdapters(row, isSetChanged)
	}
}

// reallocateAdapters splits the limits of the base's adapters again after the base's
// limits changed. If the set of zones with a positive limit is the same, only adapters
// with a minimum are affected.
func (s *State) reallocateAdapters(base *rowState, isSetChanged bool) {
	for _, adapter := range base.adapters {
		if isSetChanged || adapter.row.MinReplicas > 0 {
			s.splitRow(adapter, false)
		}
	}
}

// reallocateAll splits the limits of all rows again, with rebalance.
func (s *State) reallocateAll() {
	for _, row := range basesFirst(s.allRows()) {
		s.splitRow(row, true)
	}
}

// basesFirst sorts the rows that need a base after the others, so that the limits of
// bases are set before those of their adapters.
func basesFirst(rows []*rowState) []*rowState {
	slices.SortStableFunc(rows, func(a, b *rowState) int {
		return cmp.Compare(needsBase(a), needsBase(b))
	})
	return rows
}

func needsBase(row *rowState) int {
	if row.row.NeedsBase() {
		return 1
	}
	return 0
}

// splitRow splits the limit of one row. It reports whether the set of zones with a
// positive limit changed, and whether any limit changed.
func (s *State) splitRow(row *rowState, rebalance bool) (isSetChanged, isLimitChanged bool) {
	total := row.maxReplicas()
	shares := s.sharesOf(row)
	splitLimits(total, shares, rebalance)
	setGrowth(total-row.held(), shares)
	change := func(grant *grantState, limit, held int) {
		isLimitChanged = isLimitChanged || int(grant.limit) != limit
		isSetChanged = isSetChanged || (grant.limit > 0) != (limit > 0)
		s.setGrant(row, grant, limit, held)
	}
	base := s.baseOf(row)
	for i := range row.grants {
		grant := &row.grants[i]
		if !s.mayServe(base, grant.zone) {
			change(grant, 0, int(grant.held))
		}
	}
	for i := range shares {
		zone := &shares[i]
		held := zone.held + zone.growth
		zone.limit, zone.held = min(zone.next, held), held
		if position, found := row.findGrant(zone.zone); found {
			change(&row.grants[position], zone.limit, held)
		} else if held > 0 {
			change(row.grant(zone.zone), zone.limit, held)
		}
	}
	s.splitMinimum(row, base, shares)
	return isSetChanged, isLimitChanged
}

// baseOf returns the row that the given row needs on its runners, or nil.
func (s *State) baseOf(row *rowState) *rowState {
	if row.deleted || !row.row.NeedsBase() {
		return nil
	}
	return s.rows[row.row.Base]
}

// mayServe reports whether the zone may have a limit for a row with the given base:
// the zone is not removed, and it may load the base, if there is one.
func (s *State) mayServe(base *rowState, zone uint16) bool {
	if s.zones[zone].Removed {
		return false
	}
	return base == nil || base.limitIn(zone) > 0
}

// sharesOf returns a share for each zone that may serve the row. The slice is valid
// until the next call.
func (s *State) sharesOf(row *rowState) []share {
	rowHash := xxhash.Sum64String(string(row.row.Name))
	base := s.baseOf(row)
	s.shares = s.shares[:0]
	position := 0
	for index, zone := range s.zones {
		for position < len(row.grants) && int(row.grants[position].zone) < index {
			position++
		}
		if !s.mayServe(base, uint16(index)) {
			continue
		}
		part := share{zone: uint16(index), weight: zone.Weight, rank: mixHash(rowHash ^ s.zoneRanks[index])}
		if position < len(row.grants) && int(row.grants[position].zone) == index {
			grant := &row.grants[position]
			part.limit = int(grant.limit)
			part.held = int(grant.held)
			part.wish = int(grant.wish)
		}
		s.shares = append(s.shares, part)
	}
	return s.shares
}

// setGrowth distributes the room over the zones that hold less than their next limit,
// in proportion to their shortfall.
func setGrowth(room int, shares []share) {
	totalShortfall := 0
	for i := range shares {
		totalShortfall += shortfall(&shares[i])
	}
	apportion(min(room, totalShortfall), shares, shortfall, func(zone *share, count int) { zone.growth = count })
}

func shortfall(zone *share) int { return max(zone.next-zone.held, 0) }

// setGrant sets a grant and marks the row changed if the values differ.
func (s *State) setGrant(row *rowState, grant *grantState, limit, held int) {
	if int(grant.limit) == limit && int(grant.held) == held {
		return
	}
	isSetChanged := (grant.limit > 0) != (limit > 0)
	grant.limit = uint16(limit)
	grant.held = uint16(held)
	grant.sequence = s.next
	s.markChanged(row)
	if isSetChanged {
		row.zonesChanged = s.next
	}
}

// applyRelease lowers the number of replicas that a zone holds. A release for an
// unknown row or zone, or with another sequence, has no effect.
func (s *State) applyRelease(release structs.GrantRelease) *structs.Error {
	if release.Limit < 0 {
		return structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("release of row %q names the limit %d", release.Row, release.Limit),
			"Name the number of replicas that the zone is down to.")
	}
	row := s.rows[release.Row]
	zone, isKnown := s.zoneIndex[release.Zone]
	if row == nil || !isKnown {
		return nil
	}
	position, found := row.findGrant(zone)
	if !found {
		return nil
	}
	grant := &row.grants[position]
	if release.Sequence != grant.sequence {
		return nil
	}
	s.lowerHeld(row, grant, release.Limit)
	return nil
}

// lowerHeld lowers the number of replicas that a zone holds to those it has loaded.
// Unless the grant is frozen, it stays at least the limit, up to which the zone may
// load again.
func (s *State) lowerHeld(row *rowState, grant *grantState, loaded int) {
	held := loaded
	if !row.isFrozen() {
		held = max(held, int(grant.limit))
	}
	if held >= int(grant.held) {
		return
	}
	isLimitChanged := held < int(grant.limit)
	s.setGrant(row, grant, min(int(grant.limit), held), held)
	s.updateFrozen(row)
	s.reallocate(row, false)
	if isLimitChanged {
		s.reallocateAdapters(row, true)
	}
}

// mixHash is the finalizer of SplitMix64.
func mixHash(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}
