package simulate

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/lotusferry/lotusferry/structs"
)

// never is the return time of an unanswered call.
const never = time.Duration(math.MaxInt64)

// tableHistory records the operators' calls and the answers as the operators saw
// them, so that the history can be checked for linearizability. It does not depend
// on the answering members.
type tableHistory struct{ calls []*tableCall }

// tableCall is an operator's read, or an edit with all its resends.
type tableCall struct {
	operator int
	called   time.Duration
	returned time.Duration
	// changes is empty for a read.
	changes []structs.RowChange
	// answer is nil for a read and for an unanswered edit.
	answer *structs.EditResult
	// revision and rows are the result of a read.
	revision uint64
	rows     []structs.Row
}

// read records an answered read.
func (h *tableHistory) read(operator int, called, returned time.Duration, answer rowsAnswer) {
	h.calls = append(h.calls, &tableCall{
		operator: operator, called: called, returned: returned, revision: answer.revision, rows: answer.rows,
	})
}

// edit records the first submission of an edit.
func (h *tableHistory) edit(operator int, called time.Duration, changes []structs.RowChange) *tableCall {
	call := &tableCall{operator: operator, called: called, returned: never, changes: changes}
	h.calls = append(h.calls, call)
	return call
}

// answered records the first answer that reaches the operator.
func (c *tableCall) answered(at time.Duration, result structs.EditResult) {
	if c.answer == nil {
		c.answer, c.returned = &result, at
	}
}

func (c *tableCall) isRead() bool { return len(c.changes) == 0 }

// isOpen reports whether the call is an unanswered edit, which may have been applied
// or may still be.
func (c *tableCall) isOpen() bool { return !c.isRead() && c.answer == nil }

// seen returns the table revision of the answer.
func (c *tableCall) seen() uint64 {
	if c.isRead() {
		return c.revision
	}
	return c.answer.Revision
}

// row returns the state of a row according to the answer; isShown is false if the
// answer does not tell.
func (c *tableCall) row(name structs.RowName) (row structs.Row, isThere, isShown bool) {
	if c.isRead() {
		row, isThere = findRow(c.rows, name)
		return row, isThere, true
	}
	for _, conflict := range c.answer.Conflicts {
		if conflict.Row != name {
			continue
		}
		if conflict.Current == nil {
			return structs.Row{}, false, true
		}
		return *conflict.Current, true, true
	}
	for _, change := range c.changes {
		if change.Row.Name == name && c.answer.Accepted {
			row = change.Row
			row.Revision = c.answer.Revision
			return row, !change.Delete, true
		}
	}
	return structs.Row{}, false, false
}

// operations returns the history to check. An unanswered edit is included until it
// can no longer take effect: once a row was seen past the edit's base version, the
// edit will be refused. Edits without an observable effect are omitted. Both limits
// keep the search small.
func (h *tableHistory) operations() []porcupine.Operation {
	var operations []porcupine.Operation
	for _, call := range h.calls {
		returned := call.returned
		if call.isOpen() {
			returned = h.refusedFrom(call)
			if returned < call.called || returned == never && !h.isCreationSeen(call) {
				continue
			}
		}
		operations = append(operations, porcupine.Operation{
			ClientId: call.operator, Input: call, Output: call, Call: int64(call.called), Return: int64(returned),
		})
	}
	return operations
}

// refusedFrom returns the time after which the edit can no longer be applied.
func (h *tableHistory) refusedFrom(edit *tableCall) time.Duration {
	earliest := never
	for _, other := range h.calls {
		if other.isOpen() {
			continue
		}
		for _, change := range edit.changes {
			row, _, isShown := other.row(change.Row.Name)
			isPast := isShown && other.seen() >= change.BaseRevision && row.Revision != change.BaseRevision
			if isPast && change.BaseRevision > 0 {
				earliest = min(earliest, other.returned)
			}
		}
	}
	return earliest
}

// isCreationSeen reports whether an answer shows a row as the edit would have
// created it.
func (h *tableHistory) isCreationSeen(edit *tableCall) bool {
	for _, other := range h.calls {
		if other.isOpen() {
			continue
		}
		for _, change := range edit.changes {
			row, isThere, isShown := other.row(change.Row.Name)
			if isShown && isThere && change.BaseRevision == 0 && withoutRevision(row) == withoutRevision(change.Row) {
				return true
			}
		}
	}
	return false
}

func withoutRevision(row structs.Row) structs.Row {
	row.Revision = 0
	return row
}
