package zone

import (
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// maxPartRows bounds the rows of one part of the table, some 140 bytes each.
const maxPartRows = 1 << 10

// AnswersPart reports whether the answer to the request is a part of the whole table:
// the reader asks for one, has no table, or is behind the changes that are remembered.
func (s *State) AnswersPart(request structs.ViewRequest) bool {
	return request.Whole || s.table.needsWhole(request.SinceTable)
}

// ViewFor answers a reader that takes a whole table in parts: with a part of it, or
// with what changed.
func (s *State) ViewFor(request structs.ViewRequest) structs.ZoneView {
	if s.AnswersPart(request) {
		return s.ViewPart(request.After, request.SinceIndex)
	}
	return s.View(request.SinceTable, request.SinceIndex)
}

// ViewPart is View with a part of the whole table instead of its changes: the rows
// that follow the name after, in order, and what belongs to them. The first part
// follows the empty name.
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

// part lists the rows with their grants and zones.
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
