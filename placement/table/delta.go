package table

import (
	"math"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// noZone is the index of a zone that has no grants.
const noZone = math.MaxUint16

// Delta returns what changed after the revision since, for the zone: rows,
// deletions, the zone's grants, and the zones that may serve the changed rows.
// Its cost depends on what changed. The delta is full when since is 0, newer than
// the table, or older than the deletions that are remembered; a full one has the
// zone's grants of deleted rows too, while the zone still holds replicas of them.
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

// Changes returns the rows and deletions after the revision since, as Delta does,
// without grants.
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

// changedAfter lists the rows and tombstones changed after since, oldest first.
func (s *State) changedAfter(since uint64) []*rowState {
	var changed []*rowState
	for row := s.changes.newest; row != nil && row.changed > since; row = row.previous {
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
			delta.Grants = append(delta.Grants, s.export(row, grant))
		}
	}
	if !row.deleted && (isChanged || row.zonesChanged > since) {
		delta.Elsewhere = append(delta.Elsewhere, structs.RowZones{Row: row.row.Name, Zones: s.servingZones(row)})
	}
}

// servingZones lists the zones with a positive limit, sorted by name.
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
