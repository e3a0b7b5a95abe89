package router

import "github.com/lotusferry/lotusferry/structs"

// ViewReader determines which views a router requests, and assembles the parts of a full
// table. The revision of the views it returns never decreases. It uses no clock and no
// network, and is not safe for concurrent use.
type ViewReader struct {
	table uint64
	index uint64
	epoch structs.Epoch
	// forked is set while the table predates the restore of the group from a backup:
	// later changes do not apply to it.
	forked bool
	// parts holds the part of the full table read so far; nil when none is being read.
	parts *structs.TableDelta
	after structs.RowName
}

// NewViewReader returns a reader that continues after the known view; the zero view means
// none.
func NewViewReader(known structs.ZoneView) *ViewReader {
	return &ViewReader{table: known.Table.Revision, index: known.Index, epoch: known.Epoch}
}

// Next returns the next request.
func (r *ViewReader) Next() structs.ViewRequest {
	return structs.ViewRequest{SinceTable: r.table, SinceIndex: r.index, Whole: r.parts != nil, After: r.after}
}

// ReadsParts reports whether a full table is being read in parts.
func (r *ViewReader) ReadsParts() bool { return r.parts != nil }

// Take processes the reply to the last request and returns the view to apply. It returns
// false when the controller cannot help, because it is behind the router or its group was
// replaced; the caller should ask another one.
func (r *ViewReader) Take(view structs.ZoneView) (structs.ZoneView, bool) {
	if view.Replaced(r.epoch) {
		return structs.ZoneView{}, false
	}
	if view.RestoredSince(r.epoch) {
		r.resetAfterRestore()
		if view.Placement == nil || view.Placement.Partial {
			r.epoch = view.Epoch
			return r.unchangedView(view.Epoch), true
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

// resetAfterRestore resets the log index, because the log of a restored group starts
// again. Table revisions continue, because the global group assigns them.
func (r *ViewReader) resetAfterRestore() {
	r.index = 0
	r.forked = r.table > 0
	r.dropParts()
}

func (r *ViewReader) dropParts() {
	r.parts = nil
	r.after = ""
}

// unchangedView returns a view that changes only the epoch.
func (r *ViewReader) unchangedView(epoch structs.Epoch) structs.ZoneView {
	return structs.ZoneView{Epoch: epoch, Table: structs.TableDelta{SinceRevision: r.table, Revision: r.table}}
}

// takeTable reduces the table of the view to what can be applied.
func (r *ViewReader) takeTable(view *structs.ZoneView) {
	part := view.Part
	view.Part = nil
	switch {
	case part != nil:
		r.takePart(*part, view)
	case r.forked && !view.Table.Full && view.Table.Revision >= r.table:
		// The changes do not apply to the router's table: read the full table.
		r.parts = &structs.TableDelta{Revision: view.Table.Revision, Full: true}
		view.Table = r.unchangedView(0).Table
	default:
		r.takeChanges(view)
	}
}

func (r *ViewReader) takeChanges(view *structs.ZoneView) {
	if view.Table.Revision < r.table {
		view.Table = r.unchangedView(0).Table
		return
	}
	if view.Table.Full {
		r.forked = false
		r.dropParts()
	}
	r.table = view.Table.Revision
}

// takePart adds a part of the full table; only the last part leaves a table in the view.
func (r *ViewReader) takePart(part structs.ViewPart, view *structs.ZoneView) {
	read := view.Table
	view.Table = r.unchangedView(0).Table
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
