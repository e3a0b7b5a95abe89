package tablefile

import (
	"slices"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

// Diff returns the changes from current to wanted: new and different rows in the
// order of wanted and, if prune is set, deletions of the rows missing in wanted,
// sorted by name. The base revision of a change is the revision of the wanted row,
// so that an edit of an outdated table conflicts, or that of the current row if the
// wanted one has none. Rows that differ only in their revision are not changed.
func Diff(current, wanted []structs.Row, prune bool) []structs.RowChange {
	present := make(map[structs.RowName]structs.Row, len(current))
	for _, row := range current {
		present[row.Name] = row
	}
	var changes []structs.RowChange
	kept := make(map[structs.RowName]bool, len(wanted))
	for _, row := range wanted {
		kept[row.Name] = true
		now, isThere := present[row.Name]
		if isThere && isSame(now, row) {
			continue
		}
		base := row.Revision
		if base == 0 {
			base = now.Revision
		}
		changes = append(changes, structs.RowChange{Row: row, BaseRevision: base})
	}
	if prune {
		changes = append(changes, deletions(current, kept)...)
	}
	return changes
}

func isSame(a, b structs.Row) bool {
	a.Revision = 0
	b.Revision = 0
	return a == b
}

func deletions(current []structs.Row, kept map[structs.RowName]bool) []structs.RowChange {
	var changes []structs.RowChange
	for _, row := range current {
		if kept[row.Name] {
			continue
		}
		changes = append(changes, structs.RowChange{
			Row:          structs.Row{Name: row.Name},
			Delete:       true,
			BaseRevision: row.Revision,
		})
	}
	slices.SortFunc(changes, func(a, b structs.RowChange) int {
		return strings.Compare(string(a.Row.Name), string(b.Row.Name))
	})
	return changes
}
