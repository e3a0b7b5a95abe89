package simulate

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/lotusferry/lotusferry/structs"
)

// never is the return time of a call that was not answered.
const never = time.Duration(math.MaxInt64)

// tableHistory records what operators asked and what they were answered, on their
// own machines, so that the whole history can be checked for linearizability. It
// knows nothing of the members that answered.
type tableHistory struct{ calls []*tableCall }

// tableCall is an operator's read, or its edit with all resends.
type tableCall struct {
	operator int
	called   time.Duration
	returned time.Duration
	// changes are empty for a read.
	changes []structs.RowChange
	// answer is nil for a read and for an edit that was not answered.
	answer *structs.EditResult
	// revision and rows are what a read showed.
	revision uint64
	rows     []structs.Row
}

// read records a read that was answered.
func (h *tableHistory) read(operator int, called, returned time.Duration, answer rowsAnswer) {
	h.calls = append(h.calls, &tableCall{
		operator: operator, called: called, returned: returned, revision: answer.revision, rows: answer.rows,
	})
}

// edit records that an edit is sent for the first time.
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

// isOpen reports whether the call is an edit that was not answered: it may have
// been applied, or may yet be.
func (c *tableCall) isOpen() bool { return !c.isRead() && c.answer == nil }

// seen returns the table revision that the answer shows.
func (c *tableCall) seen() uint64 {
	if c.isRead() {
		return c.revision
	}
	return c.answer.Revision
}

// row returns what the answer shows of a row; isShown is false when it shows nothing.
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

// operations returns the history to be checked. An edit without an answer is in it
// for as long as it can have an effect: once a row was seen past the version that
// the edit was made against, it is refused for good. What would have no effect, or
// one that nobody saw, is left out. Both keep the search small.
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

// refusedFrom returns when it is certain that an edit which was not applied by then
// never will be.
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

// isCreationSeen reports whether an answer shows a row as the edit would have made it.
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
