package router

import "github.com/lotusferry/lotusferry/structs"

// ViewReader decides what a router asks for, and puts the parts of a whole table
// together. What it returns never goes back in revision. It has no clock and sends
// nothing itself, and is not safe for concurrent use.
type ViewReader struct {
	table uint64
	index uint64
	epoch structs.Epoch
	// forked is set while the table is from before the group was restored from a
	// backup: the changes since then do not join on to it.
	forked bool
	// parts is the whole table as far as it was read; nil when none is being read.
	parts *structs.TableDelta
	after structs.RowName
}

// NewViewReader begins after the view that the router has; the zero view for none.
func NewViewReader(known structs.ZoneView) *ViewReader {
	return &ViewReader{table: known.Table.Revision, index: known.Index, epoch: known.Epoch}
}

// Next returns what to ask for.
func (r *ViewReader) Next() structs.ViewRequest {
	return structs.ViewRequest{SinceTable: r.table, SinceIndex: r.index, Whole: r.parts != nil, After: r.after}
}

// ReadsParts reports whether a whole table is being read.
func (r *ViewReader) ReadsParts() bool { return r.parts != nil }

// Take takes the answer to the last request. It returns the view to adopt, and
// false when this controller cannot help now, for it is behind what the router has,
// or its group was replaced: ask another one.
func (r *ViewReader) Take(view structs.ZoneView) (structs.ZoneView, bool) {
	if view.Replaced(r.epoch) {
		return structs.ZoneView{}, false
	}
	if view.RestoredSince(r.epoch) {
		r.beginRestored()
		if view.Placement == nil || view.Placement.Partial {
			r.epoch = view.Epoch
			return r.nothing(view.Epoch), true
		}
	}
	if view.Index < r.index {
		return structs.ZoneView{}, false
	}
	r.index = view.Index
	r.epoch = max(r.epoch, view.Epoch)
	r.takeTable(&view)
	return view, true
}

// beginRestored forgets what was known of the log: that of a restored group begins
// anew. The table's revisions go on, for they are the global group's.
func (r *ViewReader) beginRestored() {
	r.index = 0
	r.forked = r.table > 0
	r.dropParts()
}

func (r *ViewReader) dropParts() {
	r.parts = nil
	r.after = ""
}

// nothing is a view that changes nothing but the epoch.
func (r *ViewReader) nothing(epoch structs.Epoch) structs.ZoneView {
	return structs.ZoneView{Epoch: epoch, Table: structs.TableDelta{SinceRevision: r.table, Revision: r.table}}
}

// takeTable leaves in the view what of its table can be adopted.
func (r *ViewReader) takeTable(view *structs.ZoneView) {
	part := view.Part
	view.Part = nil
	switch {
	case part != nil:
		r.takePart(*part, view)
	case r.forked && !view.Table.Full && view.Table.Revision >= r.table:
		// The changes after the router's revision do not lead to this table: read it whole.
		r.parts = &structs.TableDelta{Revision: view.Table.Revision, Full: true}
		view.Table = r.nothing(0).Table
	default:
		r.takeChanges(view)
	}
}

func (r *ViewReader) takeChanges(view *structs.ZoneView) {
	if view.Table.Revision < r.table {
		view.Table = r.nothing(0).Table
		return
	}
	if view.Table.Full {
		r.forked = false
		r.dropParts()
	}
	r.table = view.Table.Revision
}

// takePart adds a part of the whole table; the view keeps a table only with the last.
func (r *ViewReader) takePart(part structs.ViewPart, view *structs.ZoneView) {
	read := view.Table
	view.Table = r.nothing(0).Table
	if part.After == "" {
		r.parts = &structs.TableDelta{Revision: read.Revision, Full: true}
	} else if r.parts == nil || part.After != r.after {
		r.dropParts()
		return
	}
	r.parts.Revision = min(r.parts.Revision, read.Revision)
	r.parts.Rows = append(r.parts.Rows, read.Rows...)
	r.parts.Grants = append(r.parts.Grants, read.Grants...)
	r.parts.Elsewhere = append(r.parts.Elsewhere, read.Elsewhere...)
	r.after = part.Last
	if part.More {
		return
	}
	whole := *r.parts
	r.dropParts()
	if whole.Revision < r.table {
		return
	}
	view.Table = whole
	r.table = whole.Revision
	r.forked = false
}
