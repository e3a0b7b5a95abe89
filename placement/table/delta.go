package table

import (
	"math"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// noZone is the index used for unknown zones, which have no grants.
const noZone = math.MaxUint16

// Delta returns the changes after the revision since for the zone: rows, deletions,
// the zone's grants, and the zones that may serve the changed rows. Its cost is
// proportional to the number of changed rows. The delta is full if since is 0, newer
// than the table, or older than the recorded deletions. A full delta includes the
// zone's grants of deleted rows of which the zone still holds replicas.
func (s *State) Delta(zone structs.ZoneID, since uint64) structs.TableDelta {
	delta := structs.TableDelta{SinceRevision: since, Revision: s.revision}
	if since == 0 || since > s.revision || since < s.floor {
		delta.Full = true
		since = 0
	}
	index, isKnown := s.zoneIndex[zone]
	if !isKnown {
		index = noZone
	}
	for _, row := range s.changedAfter(since) {
		s.addToDelta(&delta, row, index, since)
	}
	return delta
}

// Changes returns the rows and deletions of Delta, without grants.
func (s *State) Changes(since uint64) structs.TableDelta {
	delta := structs.TableDelta{SinceRevision: since, Revision: s.revision}
	if since == 0 || since > s.revision || since < s.floor {
		delta.Full = true
		since = 0
	}
	for _, row := range s.changedAfter(since) {
		switch {
		case row.row.Revision <= since:
		case !row.deleted:
			delta.Rows = append(delta.Rows, row.row)
		case !delta.Full:
			delta.Deleted = append(delta.Deleted, row.row.Name)
		}
	}
	return delta
}

// changedAfter returns the rows and tombstones changed after since, oldest first.
func (s *State) changedAfter(since uint64) []*rowState {
	var changed []*rowState
	for row := s.changes.newest; row != nil && row.changed > since; row = row.prev {
		changed = append(changed, row)
	}
	slices.Reverse(changed)
	return changed
}

func (s *State) addToDelta(delta *structs.TableDelta, row *rowState, zone uint16, since uint64) {
	isChanged := row.row.Revision > since
	switch {
	case isChanged && !row.deleted:
		delta.Rows = append(delta.Rows, row.row)
	case isChanged && !delta.Full:
		delta.Deleted = append(delta.Deleted, row.row.Name)
	}
	if position, found := row.findGrant(zone); found {
		grant := row.grants[position]
		isEmpty := grant.limit == 0 && grant.held == 0
		if grant.sequence > since && !(delta.Full && isEmpty) {
			delta.Grants = append(delta.Grants, s.exportGrant(row, grant))
		}
	}
	if !row.deleted && (isChanged || row.zonesChanged > since) {
		delta.Elsewhere = append(delta.Elsewhere, structs.RowZones{Row: row.row.Name, Zones: s.servingZones(row)})
	}
}

// servingZones returns the zones with a positive limit, sorted by name.
func (s *State) servingZones(row *rowState) []structs.ZoneID {
	var zones []structs.ZoneID
	for i := range row.grants {
		if row.grants[i].limit > 0 {
			zones = append(zones, s.zones[row.grants[i].zone].Zone)
		}
	}
	slices.Sort(zones)
	return zones
}
