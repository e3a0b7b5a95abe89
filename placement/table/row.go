package table

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// rowState is a row with its grants. A deleted row stays as a tombstone.
type rowState struct {
	// row keeps Name and Revision when the row is deleted.
	row     structs.Row
	deleted bool
	// changed is the revision of the last change of the row or of a grant.
	changed uint64
	// zonesChanged is the revision at which the set of zones with a positive limit
	// last changed.
	zonesChanged uint64
	// dependents counts the rows in the table whose Base is this row.
	dependents int
	// adapters are those of the dependents that need this row on their runner,
	// sorted by name.
	adapters []*rowState
	// minimums is each zone's part of MinReplicas, by zone index; parts of 0 are
	// left out, so that it is nil for most rows.
	minimums map[uint16]uint16
	// heldBefore is the sum of held when a lowering left it above the limit; it
	// follows the sum down and is 0 when the sum is within the limit.
	heldBefore int
	// grants is sorted by zone index.
	grants    []grantState
	previous  *rowState
	following *rowState
}

// grantState is a zone's grant of a row, with the zone's wish. There may be one
// for each row and zone, so it is kept small: no number exceeds
// MaxReplicasLimit, and no zone index MaxZones.
type grantState struct {
	sequence uint64
	zone     uint16
	limit    uint16
	held     uint16
	wish     uint16
}

// maxReplicas is the limit over all zones: 0 for a deleted row.
func (r *rowState) maxReplicas() int {
	if r.deleted {
		return 0
	}
	return r.row.MaxReplicas
}

// minReplicas is what all zones together keep loaded: 0 for a deleted row.
func (r *rowState) minReplicas() int {
	if r.deleted {
		return 0
	}
	return r.row.MinReplicas
}

// held is the sum of what all zones hold.
func (r *rowState) held() int {
	sum := 0
	for i := range r.grants {
		sum += int(r.grants[i].held)
	}
	return sum
}

// isFrozen reports whether zones may have more replicas than the limit: no zone
// may begin a load then.
func (r *rowState) isFrozen() bool { return r.heldBefore > 0 }

// noteHeld records by how much held exceeds a lowered limit, and marks the grants
// that this freezes or thaws. It is called where the limit changes or held
// shrinks, never where held grows.
func (s *State) noteHeld(row *rowState) {
	wasFrozen := row.isFrozen()
	row.heldBefore = 0
	if held := row.held(); held > row.maxReplicas() {
		row.heldBefore = held
	}
	if row.isFrozen() == wasFrozen {
		return
	}
	for i := range row.grants {
		if row.grants[i].limit > 0 {
			row.grants[i].sequence = s.next
			s.markChanged(row)
		}
	}
}

// limitIn returns the zone's limit.
func (r *rowState) limitIn(zone uint16) int {
	position, found := r.findGrant(zone)
	if !found {
		return 0
	}
	return int(r.grants[position].limit)
}

func (r *rowState) findGrant(zone uint16) (int, bool) {
	return slices.BinarySearchFunc(r.grants, zone, func(grant grantState, zone uint16) int {
		return cmp.Compare(grant.zone, zone)
	})
}

// grant returns the zone's grant, making an empty one when there is none. The
// pointer is valid until the next call.
func (r *rowState) grant(zone uint16) *grantState {
	position, found := r.findGrant(zone)
	if !found {
		r.grants = slices.Insert(r.grants, position, grantState{zone: zone})
	}
	return &r.grants[position]
}

// changeList lists all rows and tombstones by the revision of their last change,
// oldest first, so that a delta costs no more than what changed.
type changeList struct {
	oldest *rowState
	newest *rowState
}

// append adds a row that is not in the list as the newest.
func (l *changeList) append(row *rowState) {
	row.previous, row.following = l.newest, nil
	if l.newest == nil {
		l.oldest = row
	} else {
		l.newest.following = row
	}
	l.newest = row
}

// remove takes a row out of the list.
func (l *changeList) remove(row *rowState) {
	if row.previous == nil {
		l.oldest = row.following
	} else {
		row.previous.following = row.following
	}
	if row.following == nil {
		l.newest = row.previous
	} else {
		row.following.previous = row.previous
	}
	row.previous, row.following = nil, nil
}

// markChanged gives the row the revision of the command being applied and makes
// it the newest change.
func (s *State) markChanged(row *rowState) {
	s.revision = s.next
	if row.changed == s.next {
		return
	}
	row.changed = s.next
	s.changes.remove(row)
	s.changes.append(row)
}

// pruneTombstones forgets the oldest tombstones that no zone holds replicas of.
func (s *State) pruneTombstones() {
	if s.tombstones < s.pruneAt {
		return
	}
	for row := s.changes.oldest; row != nil && s.tombstones > TombstoneRetention; {
		following := row.following
		if row.deleted && row.held() == 0 {
			s.changes.remove(row)
			delete(s.rows, row.row.Name)
			s.tombstones--
			s.floor = max(s.floor, row.changed)
		}
		row = following
	}
	s.pruneAt = max(s.tombstones, TombstoneRetention) + tombstonePruneBatch
}
