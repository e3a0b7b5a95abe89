package table

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/lotusferry/lotusferry/structs"
)

// regrant splits the row's limit again and lets held grow where there is room.
// Without rebalance limits stay where there is no need to move them.
func (s *State) regrant(row *rowState, rebalance bool) {
	total := row.maxReplicas()
	shares := s.sharesOf(row)
	splitLimits(total, shares, rebalance)
	setGrowth(total-row.held(), shares)
	for i := range row.grants {
		grant := &row.grants[i]
		if s.zones[grant.zone].Removed {
			s.setGrant(row, grant, 0, int(grant.held))
		}
	}
	for i := range shares {
		zone := &shares[i]
		held := zone.held + zone.growth
		limit := min(zone.next, held)
		if limit != zone.limit || held != zone.held {
			s.setGrant(row, row.grant(zone.zone), limit, held)
		}
	}
}

// sharesOf fills the scratch space with a share for each active zone.
func (s *State) sharesOf(row *rowState) []share {
	rowHash := xxhash.Sum64String(string(row.row.Name))
	s.shares = s.shares[:0]
	position := 0
	for index, zone := range s.zones {
		for position < len(row.grants) && int(row.grants[position].zone) < index {
			position++
		}
		if zone.Removed {
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

// setGrowth hands the room out to the zones whose next limit is above what they
// hold, in proportion to what they lack.
func setGrowth(room int, shares []share) {
	lacking := 0
	for i := range shares {
		lacking += lack(&shares[i])
	}
	apportion(min(room, lacking), shares, lack, func(zone *share, count int) { zone.growth = count })
}

func lack(zone *share) int { return max(zone.next-zone.held, 0) }

// setGrant changes a grant and marks the row changed; equal values change nothing.
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

// applyRelease lowers what a zone holds. A release for a row or zone that is not
// known, or with an older sequence, changes nothing.
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
	held := max(release.Limit, int(grant.limit))
	if held >= int(grant.held) {
		return nil
	}
	s.setGrant(row, grant, int(grant.limit), held)
	row.noteHeld()
	s.regrant(row, false)
	return nil
}

// mixHash spreads the bits of a hash (the finalizer of SplitMix64).
func mixHash(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}
