package zone

import (
	"maps"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// adoptedTable is the table as far as the zone adopted it.
type adoptedTable struct {
	revision  uint64
	rows      map[structs.RowName]structs.Row
	grants    map[structs.RowName]structs.Grant
	elsewhere map[structs.RowName][]structs.ZoneID
	// names are the names of the rows, in order.
	names []structs.RowName
	// minimum holds the rows that are kept loaded without demand.
	minimum map[structs.RowName]bool
	// adapters names the adapters of each base, in order.
	adapters map[structs.RowName][]structs.RowName
	// lowered holds the rows whose grant has a limit below what is held, or is frozen.
	lowered map[structs.RowName]bool
	// changes are ordered by revision; all changes after floor are there. They
	// only serve queries.
	changes []tableChange
	floor   uint64
	// staged holds parts of a delta that are not in force.
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

// adopt applies a delta. A delta that brings nothing new succeeds without effect.
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
	t.note(delta)
	t.indexNames(delta)
	t.dropStaged()
	t.trim()
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

// addAdapter names the row among the adapters of its base, if it has one.
func (t *adoptedTable) addAdapter(row structs.Row) {
	if row.Base == "" {
		return
	}
	names := t.adapters[row.Base]
	if position, found := slices.BinarySearch(names, row.Name); !found {
		t.adapters[row.Base] = slices.Insert(names, position, row.Name)
	}
}

// removeAdapter takes the row from the adapters of the base that it has so far.
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

// Row returns the row, and false when the table has none of that name.
func (s *State) Row(name structs.RowName) (structs.Row, bool) {
	row, ok := s.table.rows[name]
	return row, ok
}

// Rows returns all rows, ordered by name.
func (s *State) Rows() []structs.Row { return s.table.sortedRows() }

// RowsWithMinimum returns the names of the rows that are kept loaded without
// demand, ordered by name.
func (s *State) RowsWithMinimum() []structs.RowName {
	return slices.Sorted(maps.Keys(s.table.minimum))
}

// AdaptersOf returns the names of the base's adapters, in order, until the next Apply. It is not to be
// changed.
func (s *State) AdaptersOf(base structs.RowName) []structs.RowName { return s.table.adapters[base] }

// Grant returns the zone's grant for the row; without one its limit is zero.
func (s *State) Grant(row structs.RowName) structs.Grant { return s.table.grant(s.zone, row) }

// LoweredGrants returns the grants with a limit below what is held and the frozen
// ones, ordered by row.
func (s *State) LoweredGrants() []structs.Grant {
	var list []structs.Grant
	for _, row := range slices.Sorted(maps.Keys(s.table.lowered)) {
		list = append(list, s.Grant(row))
	}
	return list
}

// Grants returns all grants, ordered by row.
func (s *State) Grants() []structs.Grant { return s.table.full().Grants }

// Elsewhere returns the zones with a positive limit for the row.
func (s *State) Elsewhere(row structs.RowName) []structs.ZoneID {
	return slices.Clone(s.table.elsewhere[row])
}
