package zone

import (
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// maxPartRows is the maximum number of rows in a part of the table, of about 140
// bytes each.
const maxPartRows = 1 << 10

// AnswersWithPart reports whether the request is answered with a part of the full table:
// the reader asks for it, has no table, or is behind the recorded changes.
func (s *State) AnswersWithPart(request structs.ViewRequest) bool {
	return request.Whole || s.table.needsFullTable(request.SinceTable)
}

// ViewFor returns the view for a reader that accepts the full table in parts: a part,
// or the changes.
func (s *State) ViewFor(request structs.ViewRequest) structs.ZoneView {
	if s.AnswersWithPart(request) {
		return s.ViewPart(request.After, request.SinceIndex)
	}
	return s.View(request.SinceTable, request.SinceIndex)
}

// ViewPart is like View, with a part of the full table instead of its changes: the
// next rows in name order after the given name, with their grants and zones. An empty
// name selects the first part.
func (s *State) ViewPart(after structs.RowName, sinceIndex uint64) structs.ZoneView {
	first, found := slices.BinarySearch(s.table.names, after)
	if found {
		first++
	}
	names := s.table.names[first:]
	more := len(names) > maxPartRows
	if more {
		names = names[:maxPartRows]
	}
	view := structs.ZoneView{
		Index:      s.index,
		SinceIndex: sinceIndex,
		Table:      s.table.part(names),
		Part:       &structs.ViewPart{After: after, More: more},
		Placement:  s.placementSince(sinceIndex),
	}
	if more {
		view.Part.Last = names[len(names)-1]
	}
	return view
}

// part returns a full delta of the named rows with their grants and zones.
func (t *adoptedTable) part(names []structs.RowName) structs.TableDelta {
	delta := structs.TableDelta{Revision: t.revision, Full: true, Rows: make([]structs.Row, 0, len(names))}
	for _, name := range names {
		delta.Rows = append(delta.Rows, t.rows[name])
		if grant, granted := t.grants[name]; granted {
			delta.Grants = append(delta.Grants, grant)
		}
		if zones, served := t.elsewhere[name]; served {
			delta.Elsewhere = append(delta.Elsewhere, structs.RowZones{Row: name, Zones: zones})
		}
	}
	return delta
}
