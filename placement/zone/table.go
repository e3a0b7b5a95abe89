package zone

import (
	"maps"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// adoptedTable is the zone's copy of the table at the adopted revision.
type adoptedTable struct {
	revision  uint64
	rows      map[structs.RowName]structs.Row
	grants    map[structs.RowName]structs.Grant
	elsewhere map[structs.RowName][]structs.ZoneID
	// names contains the row names, sorted.
	names []structs.RowName
	// minimum contains the rows with a positive MinReplicas.
	minimum map[structs.RowName]bool
	// adapters maps each base to its adapters, sorted.
	adapters map[structs.RowName][]structs.RowName
	// lowered contains the rows whose grant is frozen or has a limit below Held.
	lowered map[structs.RowName]bool
	// changes contains all changes after the revision floor, ordered by revision.
	// It is used only for queries.
	changes []tableChange
	floor   uint64
	// staged holds the parts of an incomplete delta.
	staged *stagedDelta
}

func newAdoptedTable() adoptedTable {
	return adoptedTable{
		rows:      map[structs.RowName]structs.Row{},
		grants:    map[structs.RowName]structs.Grant{},
		elsewhere: map[structs.RowName][]structs.ZoneID{},
		minimum:   map[structs.RowName]bool{},
		adapters:  map[structs.RowName][]structs.RowName{},
		lowered:   map[structs.RowName]bool{},
	}
}

// adopt applies a delta. A delta that is not newer than the table has no effect.
func (t *adoptedTable) adopt(zone structs.ZoneID, delta *structs.TableDelta) *structs.Error {
	if problem := checkDelta(zone, delta); problem != nil {
		return problem
	}
	if delta.Revision <= t.revision {
		return nil
	}
	if !delta.Full && delta.SinceRevision > t.revision {
		return structs.NewError(structs.ErrorConflict, "the table delta begins after the adopted revision",
			"Ask the global group for the changes since the adopted revision.")
	}
	if delta.Full {
		staged := t.staged
		*t = newAdoptedTable()
		t.staged = staged
		t.floor = delta.Revision
	}
	for _, row := range delta.Rows {
		t.setRow(row)
	}
	for _, name := range delta.Deleted {
		t.removeAdapter(name)
		delete(t.rows, name)
		delete(t.minimum, name)
	}
	for _, grant := range delta.Grants {
		t.setGrant(grant)
	}
	for _, zones := range delta.Elsewhere {
		t.setElsewhere(zones)
	}
	t.revision = delta.Revision
	t.recordChanges(delta)
	t.updateNames(delta)
	t.dropStaged()
	t.trimChanges()
	return nil
}

func checkDelta(zone structs.ZoneID, delta *structs.TableDelta) *structs.Error {
	for _, grant := range delta.Grants {
		if grant.Zone != zone {
			return structs.NewError(structs.ErrorInvalid, "the table delta carries the grant of another zone",
				"Ask the global group for this zone's changes.")
		}
		if grant.Limit < 0 || grant.Limit > grant.Held {
			return structs.NewError(structs.ErrorInvalid, "a grant's limit must be between zero and what is held",
				"Report this fault: the global group must never send it.")
		}
	}
	return nil
}

func (t *adoptedTable) setRow(row structs.Row) {
	if t.rows[row.Name].Base != row.Base {
		t.removeAdapter(row.Name)
		t.addAdapter(row)
	}
	t.rows[row.Name] = row
	if row.MinReplicas > 0 {
		t.minimum[row.Name] = true
	} else {
		delete(t.minimum, row.Name)
	}
}

// addAdapter adds the row to the adapters of its base, if it has one.
func (t *adoptedTable) addAdapter(row structs.Row) {
	if row.Base == "" {
		return
	}
	names := t.adapters[row.Base]
	if position, found := slices.BinarySearch(names, row.Name); !found {
		t.adapters[row.Base] = slices.Insert(names, position, row.Name)
	}
}

// removeAdapter removes the row from the adapters of its current base.
func (t *adoptedTable) removeAdapter(name structs.RowName) {
	base := t.rows[name].Base
	names := t.adapters[base]
	position, found := slices.BinarySearch(names, name)
	switch {
	case !found:
	case len(names) == 1:
		delete(t.adapters, base)
	default:
		t.adapters[base] = slices.Delete(names, position, position+1)
	}
}

func (t *adoptedTable) setGrant(grant structs.Grant) {
	delete(t.lowered, grant.Row)
	if grant.Limit < grant.Held || grant.Frozen {
		t.lowered[grant.Row] = true
	}
	if grant.Held == 0 {
		delete(t.grants, grant.Row)
		return
	}
	t.grants[grant.Row] = grant
}

func (t *adoptedTable) setElsewhere(zones structs.RowZones) {
	if len(zones.Zones) == 0 {
		delete(t.elsewhere, zones.Row)
		return
	}
	t.elsewhere[zones.Row] = slices.Clone(zones.Zones)
}

func (t *adoptedTable) full() structs.TableDelta {
	delta := structs.TableDelta{Revision: t.revision, Full: true, Rows: t.sortedRows()}
	for _, name := range slices.Sorted(maps.Keys(t.grants)) {
		delta.Grants = append(delta.Grants, t.grants[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.elsewhere)) {
		delta.Elsewhere = append(delta.Elsewhere, structs.RowZones{Row: name, Zones: t.elsewhere[name]})
	}
	return delta
}

func (t *adoptedTable) sortedRows() []structs.Row {
	rows := make([]structs.Row, 0, len(t.names))
	for _, name := range t.names {
		rows = append(rows, t.rows[name])
	}
	return rows
}

func (t *adoptedTable) grant(zone structs.ZoneID, row structs.RowName) structs.Grant {
	grant, ok := t.grants[row]
	if !ok {
		return structs.Grant{Row: row, Zone: zone}
	}
	return grant
}

// TableRevision returns the adopted table revision.
func (s *State) TableRevision() uint64 { return s.table.revision }

// Row returns the row, and false if the table has none of that name.
func (s *State) Row(name structs.RowName) (structs.Row, bool) {
	row, ok := s.table.rows[name]
	return row, ok
}

// Rows returns all rows, ordered by name.
func (s *State) Rows() []structs.Row { return s.table.sortedRows() }

// RowsWithMinimum returns the sorted names of the rows with a positive MinReplicas.
func (s *State) RowsWithMinimum() []structs.RowName {
	return slices.Sorted(maps.Keys(s.table.minimum))
}

// AdaptersOf returns the sorted names of the base's adapters. The slice must not be
// modified and is valid until the next Apply.
func (s *State) AdaptersOf(base structs.RowName) []structs.RowName { return s.table.adapters[base] }

// Grant returns the zone's grant for the row, with limit zero if there is none.
func (s *State) Grant(row structs.RowName) structs.Grant { return s.table.grant(s.zone, row) }

// LoweredGrants returns the grants that are frozen or have a limit below Held, ordered
// by row.
func (s *State) LoweredGrants() []structs.Grant {
	var list []structs.Grant
	for _, row := range slices.Sorted(maps.Keys(s.table.lowered)) {
		list = append(list, s.Grant(row))
	}
	return list
}

// Grants returns all grants, ordered by row.
func (s *State) Grants() []structs.Grant { return s.table.full().Grants }

// ServingZones returns all zones with a positive limit for the row.
func (s *State) ServingZones(row structs.RowName) []structs.ZoneID {
	return slices.Clone(s.table.elsewhere[row])
}
