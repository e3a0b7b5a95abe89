package simulate

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"
	"github.com/lotusferry/lotusferry/structs"
)

// checkerLinearizable checks that the operators' calls and answers are linearizable
// with respect to a sequential table.
const checkerLinearizable = "linearizable"

// rowModel is a row of the sequential table. The row's Revision is exact only while
// open is 0; an unanswered edit has some later revision.
type rowModel struct {
	exists bool
	row    structs.Row
	// open is the number of the unanswered edit that wrote the row, from 1.
	open int
}

// tableModel is the sequential table: the rows in the order of simulatedRows, and
// the newest table revision in an answer.
type tableModel struct {
	revision uint64
	opened   int
	rows     [5]rowModel
}

// sequentialTable is the porcupine model for histories of tableCalls.
var sequentialTable = porcupine.Model{
	Init: func() any { return tableModel{} },
	Step: func(state, input, _ any) (bool, any) {
		next := state.(tableModel)
		isLegal := next.apply(input.(*tableCall))
		return isLegal, next
	},
	DescribeOperation: func(input, _ any) string { return input.(*tableCall).String() },
}

// apply executes the call next. It returns false if the answer does not match.
func (t *tableModel) apply(call *tableCall) bool {
	if call.isOpen() {
		t.applyOpen(call)
		return true
	}
	if call.seen() < t.revision {
		return false
	}
	// Each answer reflects the present rows; an accepted edit then changes them.
	isLegal := true
	switch {
	case call.isRead():
		isLegal = t.shows(call, simulatedRows)
	case call.answer.Accepted:
		isLegal = call.seen() > t.revision && t.hasBases(call.changes)
	default:
		isLegal = t.refuses(call)
	}
	if !isLegal {
		return false
	}
	t.revision = call.seen()
	if !call.isRead() && call.answer.Accepted {
		t.write(call.changes, call.answer.Revision, 0)
	}
	return true
}

// applyOpen applies an unanswered edit if its base versions match.
func (t *tableModel) applyOpen(call *tableCall) {
	if t.hasBases(call.changes) {
		t.opened++
		t.write(call.changes, t.revision, t.opened)
	}
}

// refuses reports whether the table refuses the edit for exactly the rows named in
// the answer.
func (t *tableModel) refuses(call *tableCall) bool {
	if len(call.answer.Conflicts) == 0 && len(call.answer.Problems) == 0 {
		return false
	}
	for _, change := range call.changes {
		name := change.Row.Name
		row, _, isShown := call.row(name)
		switch {
		case !isShown:
			if !t.hasRevision(name, change.BaseRevision) {
				return false
			}
		case row.Revision == change.BaseRevision || !t.shows(call, []structs.RowName{name}):
			return false
		}
	}
	return true
}

// shows reports whether the named rows match the answer.
func (t *tableModel) shows(call *tableCall, names []structs.RowName) bool {
	for _, name := range names {
		row, isThere, _ := call.row(name)
		known := t.row(name)
		if known.exists != isThere || isThere && withoutRevision(known.row) != withoutRevision(row) {
			return false
		}
		if !t.hasRevision(name, row.Revision) {
			return false
		}
	}
	return true
}

func (t *tableModel) hasBases(changes []structs.RowChange) bool {
	return !slices.ContainsFunc(changes, func(change structs.RowChange) bool {
		return !t.hasRevision(change.Row.Name, change.BaseRevision)
	})
}

// hasRevision reports whether the row is at the revision, 0 meaning that it does not
// exist. It fixes the revision of an unanswered edit.
func (t *tableModel) hasRevision(name structs.RowName, revision uint64) bool {
	known := t.row(name)
	if !known.exists {
		return revision == 0
	}
	if known.open == 0 {
		return known.row.Revision == revision
	}
	if revision <= known.row.Revision {
		return false
	}
	for i := range t.rows {
		if t.rows[i].open == known.open {
			t.rows[i].open = 0
			t.rows[i].row.Revision = revision
		}
	}
	return true
}

func (t *tableModel) row(name structs.RowName) rowModel {
	return t.rows[slices.Index(simulatedRows, name)]
}

func (t *tableModel) write(changes []structs.RowChange, revision uint64, open int) {
	for _, change := range changes {
		place := &t.rows[slices.Index(simulatedRows, change.Row.Name)]
		*place = rowModel{}
		if !change.Delete {
			*place = rowModel{exists: true, row: change.Row, open: open}
			place.row.Revision = revision
		}
	}
}

// String returns a description of the call for violations.
func (c *tableCall) String() string {
	text := fmt.Sprintf("operator %d, called at %v: ", c.operator+1, c.called)
	switch {
	case c.isRead():
		return text + fmt.Sprintf("a read shows table revision %d with %s", c.revision, describeRows(c.rows))
	case c.isOpen():
		return text + "edit " + describeChanges(structs.Edit{Changes: c.changes}) + "is not answered"
	}
	return text + fmt.Sprintf("edit %sis answered accepted=%t at revision %d with %d conflicts",
		describeChanges(structs.Edit{Changes: c.changes}), c.answer.Accepted, c.answer.Revision, len(c.answer.Conflicts))
}

func describeRows(rows []structs.Row) string {
	text := ""
	for _, row := range rows {
		text += fmt.Sprintf("%s max=%d (revision %d) ", row.Name, row.MaxReplicas, row.Revision)
	}
	return text
}

// checkHistory reports a violation if the history is not linearizable.
func (s *tableSite) checkHistory() {
	operations := s.history.operations()
	s.counts.CallsChecked = len(operations)
	result, info := porcupine.CheckOperationsVerbose(sequentialTable, operations, 0)
	if result == porcupine.Ok {
		return
	}
	var longest []int
	for _, partial := range info.PartialLinearizations()[0] {
		if len(partial) > len(longest) {
			longest = partial
		}
	}
	s.judge.Report(checkerLinearizable, "of %d calls at most %d can be linearized; the first left out is: %s",
		len(operations), len(longest), firstLeftOut(operations, longest))
}

// firstLeftOut describes the call outside of the order that returned first.
func firstLeftOut(operations []porcupine.Operation, longest []int) string {
	first := -1
	for i := range operations {
		isLeftOut := !slices.Contains(longest, i)
		if isLeftOut && (first < 0 || operations[i].Return < operations[first].Return) {
			first = i
		}
	}
	return operations[first].Input.(*tableCall).String()
}
