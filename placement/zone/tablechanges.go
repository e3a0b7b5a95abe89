package zone

import (
	"maps"
	"slices"
	"sort"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxTableChanges is the maximum number of recorded changes. Readers that are
	// further behind get the full table.
	maxTableChanges = 1 << 14
	// maxDeltaChanges limits the changes in one delta, of about 140 bytes each. The
	// changes of the last revision may exceed it. Readers that are further behind
	// request another delta.
	maxDeltaChanges = 1 << 11
	// maxNamesInserted is the largest delta whose names are inserted one by one; for
	// larger deltas all names are sorted again.
	maxNamesInserted = 32
)

// tableChange records that the row, its grant or its zones changed at the revision.
type tableChange struct {
	revision uint64
	row      structs.RowName
}

// recordChanges records the changes of a delta, each row once. A full delta is not
// recorded; it sets the floor instead.
func (t *adoptedTable) recordChanges(delta *structs.TableDelta) {
	if delta.Full {
		return
	}
	noted := map[structs.RowName]bool{}
	add := func(row structs.RowName) {
		if !noted[row] {
			noted[row] = true
			t.changes = append(t.changes, tableChange{delta.Revision, row})
		}
	}
	for _, row := range delta.Rows {
		add(row.Name)
	}
	for _, name := range delta.Deleted {
		add(name)
	}
	for _, grant := range delta.Grants {
		add(grant.Row)
	}
	for _, zones := range delta.Elsewhere {
		add(zones.Row)
	}
}

func (t *adoptedTable) trimChanges() {
	if len(t.changes) <= maxTableChanges {
		return
	}
	cut := len(t.changes) - maxTableChanges/2
	t.floor = t.changes[cut-1].revision
	for cut < len(t.changes) && t.changes[cut].revision == t.floor {
		cut++
	}
	t.changes = slices.Clone(t.changes[cut:])
}

// needsFullTable reports whether the changes after the revision are no longer recorded.
func (t *adoptedTable) needsFullTable(revision uint64) bool {
	return revision < t.revision && (revision < t.floor || revision == 0)
}

// since returns the delta for a reader that has the table at the given revision. A
// large delta ends before the table's revision; its contents may then be newer than
// its revision and are repeated in the next delta.
func (t *adoptedTable) since(zone structs.ZoneID, revision uint64) structs.TableDelta {
	if revision >= t.revision {
		return structs.TableDelta{SinceRevision: t.revision, Revision: t.revision}
	}
	if t.needsFullTable(revision) {
		return t.full()
	}
	changes, last := t.changesAfter(revision)
	names := map[structs.RowName]bool{}
	for _, change := range changes {
		names[change.row] = true
	}
	delta := structs.TableDelta{SinceRevision: revision, Revision: last}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if row, ok := t.rows[name]; ok {
			delta.Rows = append(delta.Rows, row)
		} else {
			delta.Deleted = append(delta.Deleted, name)
		}
		delta.Grants = append(delta.Grants, t.grant(zone, name))
		delta.Elsewhere = append(delta.Elsewhere, structs.RowZones{Row: name, Zones: t.elsewhere[name]})
	}
	return delta
}

// changesAfter returns the changes after the revision, limited by maxDeltaChanges, and
// the revision that they lead to.
func (t *adoptedTable) changesAfter(revision uint64) ([]tableChange, uint64) {
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].revision > revision })
	changes := t.changes[first:]
	if len(changes) <= maxDeltaChanges {
		return changes, t.revision
	}
	last := changes[maxDeltaChanges-1].revision
	end := sort.Search(len(changes), func(i int) bool { return changes[i].revision > last })
	if end == len(changes) {
		return changes, t.revision
	}
	return changes[:end], last
}

// updateNames updates the sorted names after a delta.
func (t *adoptedTable) updateNames(delta *structs.TableDelta) {
	if len(delta.Rows)+len(delta.Deleted) > maxNamesInserted {
		t.names = slices.Sorted(maps.Keys(t.rows))
		return
	}
	for _, row := range delta.Rows {
		t.updateName(row.Name)
	}
	for _, name := range delta.Deleted {
		t.updateName(name)
	}
}

// updateName inserts or removes the name, depending on whether the table has its row.
func (t *adoptedTable) updateName(name structs.RowName) {
	_, exists := t.rows[name]
	at, listed := slices.BinarySearch(t.names, name)
	switch {
	case exists && !listed:
		t.names = slices.Insert(t.names, at, name)
	case !exists && listed:
		t.names = slices.Delete(t.names, at, at+1)
	}
}
