package zone

import (
	"maps"
	"slices"
	"sort"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxTableChanges bounds the remembered changes; who is further behind gets the
	// whole table.
	maxTableChanges = 1 << 14
	// maxDeltaChanges bounds the changes of one delta, some 140 bytes each, but for
	// those of its last revision; a reader that is further behind asks again.
	maxDeltaChanges = 1 << 11
	// maxNamesInserted is up to how many rows are put into the ordered names one by
	// one; more are sorted in.
	maxNamesInserted = 32
)

// tableChange says that the row, its grant or its zones changed at the revision.
type tableChange struct {
	revision uint64
	row      structs.RowName
}

// note remembers the changes of a delta for later ones, each row once; a full delta
// is a floor instead.
func (t *adoptedTable) note(delta *structs.TableDelta) {
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

func (t *adoptedTable) trim() {
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

// needsWhole reports whether the changes after the revision are not remembered.
func (t *adoptedTable) needsWhole(revision uint64) bool {
	return revision < t.revision && (revision < t.floor || revision == 0)
}

// since builds the delta for a reader that has the table at revision. One with many
// changes ends at an earlier revision than the table's: what it lists may be newer
// than that, and comes again with the changes that follow.
func (t *adoptedTable) since(zone structs.ZoneID, revision uint64) structs.TableDelta {
	if revision >= t.revision {
		return structs.TableDelta{SinceRevision: t.revision, Revision: t.revision}
	}
	if t.needsWhole(revision) {
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

// changesAfter returns the changes after the revision, or the first of them up to a
// later revision, and that revision.
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

// indexNames brings the ordered names up to date with an adopted delta.
func (t *adoptedTable) indexNames(delta *structs.TableDelta) {
	if len(delta.Rows)+len(delta.Deleted) > maxNamesInserted {
		t.names = slices.Sorted(maps.Keys(t.rows))
		return
	}
	for _, row := range delta.Rows {
		t.indexName(row.Name)
	}
	for _, name := range delta.Deleted {
		t.indexName(name)
	}
}

// indexName puts the name in or takes it out, as the table has its row or not.
func (t *adoptedTable) indexName(name structs.RowName) {
	_, exists := t.rows[name]
	at, listed := slices.BinarySearch(t.names, name)
	switch {
	case exists && !listed:
		t.names = slices.Insert(t.names, at, name)
	case !exists && listed:
		t.names = slices.Delete(t.names, at, at+1)
	}
}
