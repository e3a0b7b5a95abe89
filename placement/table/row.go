package table

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// rowState is a row with its grants. A deleted row is kept as a tombstone.
type rowState struct {
	// row has only Name and Revision if the row is deleted.
	row     structs.Row
	deleted bool
	// changed is the revision of the last change of the row or of a grant.
	changed uint64
	// zonesChanged is the revision at which the set of zones with a positive limit
	// last changed.
	zonesChanged uint64
	// dependents counts the rows in the table whose Base is this row.
	dependents int
	// adapters are the dependents that need this row on their runner, sorted by name.
	adapters []*rowState
	// minimums contains each zone's positive part of MinReplicas, by zone index. It is
	// nil for most rows.
	minimums map[uint16]uint16
	// heldOverLimit is the sum of held while it exceeds a lowered limit, otherwise 0.
	heldOverLimit int
	// grants is sorted by zone index.
	grants []grantState
	prev   *rowState
	next   *rowState
}

// grantState is a zone's grant of a row, with the zone's wish. There may be one for
// each row and zone, so it is small: counts are at most MaxReplicasLimit and zone
// indexes less than MaxZones.
type grantState struct {
	sequence uint64
	zone     uint16
	limit    uint16
	held     uint16
	wish     uint16
}

// maxReplicas returns the limit over all zones, 0 for a deleted row.
func (r *rowState) maxReplicas() int {
	if r.deleted {
		return 0
	}
	return r.row.MaxReplicas
}

// minReplicas returns the minimum over all zones, 0 for a deleted row.
func (r *rowState) minReplicas() int {
	if r.deleted {
		return 0
	}
	return r.row.MinReplicas
}

// held returns the number of replicas held by all zones.
func (r *rowState) held() int {
	sum := 0
	for i := range r.grants {
		sum += int(r.grants[i].held)
	}
	return sum
}

// isFrozen reports whether the zones hold more replicas than the limit. No zone may
// start a load then.
func (r *rowState) isFrozen() bool { return r.heldOverLimit > 0 }

// updateFrozen updates heldOverLimit and marks the grants that become frozen or
// unfrozen as changed. It must be called when the limit changes or held decreases, but
// not when held increases.
func (s *State) updateFrozen(row *rowState) {
	wasFrozen := row.isFrozen()
	row.heldOverLimit = 0
	if held := row.held(); held > row.maxReplicas() {
		row.heldOverLimit = held
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

// grant returns the zone's grant, inserting an empty one if there is none. The pointer
// is valid until the next call.
func (r *rowState) grant(zone uint16) *grantState {
	position, found := r.findGrant(zone)
	if !found {
		r.grants = slices.Insert(r.grants, position, grantState{zone: zone})
	}
	return &r.grants[position]
}

// changeList is a linked list of all rows and tombstones, ordered by the revision of
// their last change, so that the cost of a delta depends only on the changed rows.
type changeList struct {
	oldest *rowState
	newest *rowState
}

// append adds a row as the newest. It must not be in the list.
func (l *changeList) append(row *rowState) {
	row.prev, row.next = l.newest, nil
	if l.newest == nil {
		l.oldest = row
	} else {
		l.newest.next = row
	}
	l.newest = row
}

// remove removes a row from the list.
func (l *changeList) remove(row *rowState) {
	if row.prev == nil {
		l.oldest = row.next
	} else {
		row.prev.next = row.next
	}
	if row.next == nil {
		l.newest = row.prev
	} else {
		row.next.prev = row.prev
	}
	row.prev, row.next = nil, nil
}

// markChanged sets the row's last change to the revision of the current command.
func (s *State) markChanged(row *rowState) {
	s.revision = s.next
	if row.changed == s.next {
		return
	}
	row.changed = s.next
	s.changes.remove(row)
	s.changes.append(row)
}

// pruneTombstones removes the oldest tombstones of which no zone holds replicas.
func (s *State) pruneTombstones() {
	if s.tombstones < s.pruneAt {
		return
	}
	for row := s.changes.oldest; row != nil && s.tombstones > TombstoneRetention; {
		next := row.next
		if row.deleted && row.held() == 0 {
			s.changes.remove(row)
			delete(s.rows, row.row.Name)
			s.tombstones--
			s.floor = max(s.floor, row.changed)
		}
		row = next
	}
	s.pruneAt = max(s.tombstones, TombstoneRetention) + tombstonePruneBatch
}
