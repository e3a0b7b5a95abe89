package table

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

func TestSecondEditOfSameRevisionConflicts(t *testing.T) {
	state := New()
	mustApply(t, state, editOf("make", put(modelRow("m", 1), 0)))
	first := state.Apply(editOf("first", put(modelRow("m", 2), 1))).Edit
	second := state.Apply(editOf("second", put(modelRow("m", 3), 1), put(modelRow("n", 1), 0))).Edit
	qt.Assert(t, first.Accepted, qt.IsTrue)
	qt.Assert(t, second.Accepted, qt.IsFalse)
	current, _ := state.Row("m")
	qt.Assert(t, second.Conflicts, qt.DeepEquals, []structs.RowConflict{{Row: "m", Current: &current, BaseRevision: 1}})
	qt.Assert(t, current.MaxReplicas, qt.Equals, 2)
	_, isThere := state.Row("n")
	qt.Assert(t, isThere, qt.IsFalse, qt.Commentf("a refused edit took effect in part"))
	qt.Assert(t, state.History(1)[0].EditID, qt.Equals, structs.EditID("first"))
}

func TestResendAfterRestoreReturnsRecordedResult(t *testing.T) {
	state := New()
	commands := []Command{
		editOf("accepted", put(modelRow("m", 1), 0)),
		editOf("conflict", put(modelRow("m", 2), 7)),
		editOf("problem", put(modelRow("bad name", 2), 0)),
	}
	var first []structs.EditResult
	for _, command := range commands {
		first = append(first, *state.Apply(command).Edit)
	}
	mustApply(t, state, editOf("later", remove("m", 1)))
	data, err := state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := New()
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	for i, command := range commands {
		qt.Assert(t, *restored.Apply(command).Edit, qt.DeepEquals, first[i])
	}
	// The table sets Row.Revision, so a client's value is ignored.
	commands[0].Edit.Edit.Changes[0].Row.Revision = 3
	qt.Assert(t, *restored.Apply(commands[0]).Edit, qt.DeepEquals, first[0])
	other := restored.Apply(editOf("accepted", put(modelRow("m", 2), 0)))
	qt.Assert(t, other.Error.Kind, qt.Equals, structs.ErrorInvalid)
	qt.Assert(t, restored.Check(structs.Edit{ID: "accepted"}).Problems[0].Column, qt.Equals, "edit_id")
	qt.Assert(t, restored.Revision(), qt.Equals, state.Revision())
}

func TestEditIDOlderThanRetentionConflicts(t *testing.T) {
	state := New()
	oldest := editOf("oldest", put(modelRow("m", 1), 0))
	mustApply(t, state, oldest)
	for i := range EditResultRetention {
		state.Apply(editOf(fmt.Sprintf("e%d", i), put(modelRow("m", i%10), uint64(i+1))))
	}
	qt.Assert(t, state.Revision(), qt.Equals, uint64(EditResultRetention+1))
	qt.Assert(t, state.Apply(oldest).Edit.Conflicts, qt.HasLen, 1)
	qt.Assert(t, len(state.History(0)), qt.Equals, HistoryRetention)
	qt.Assert(t, state.CheckInvariants(), qt.IsNil)
}

func TestInvalidEditsReportColumnAndRemedy(t *testing.T) {
	state := New()
	mustApply(t, state, editOf("make", put(modelRow("m", 1), 0), put(adapterRow("x", "m", 1), 0)))
	row := func(change func(*structs.Row)) structs.RowChange {
		changed := modelRow("n", 1)
		change(&changed)
		return put(changed, 0)
	}
	tests := []struct {
		about   string
		changes []structs.RowChange
		column  string
	}{
		{"empty edit", nil, "changes"},
		{"row twice", []structs.RowChange{put(modelRow("n", 1), 0), put(modelRow("n", 2), 0)}, "name"},
		{"delete unknown", []structs.RowChange{remove("n", 0)}, "name"},
		{"delete model in use", []structs.RowChange{remove("m", 1)}, "base"},
		{"model in use becomes version", []structs.RowChange{put(modelRow("n", 1), 0),
			put(func() structs.Row { row := adapterRow("m", "n", 1); row.Kind = structs.RowVersion; return row }(), 1)}, "base"},
		{"empty name", []structs.RowChange{row(func(r *structs.Row) { r.Name = "" })}, "name"},
		{"long name", []structs.RowChange{row(func(r *structs.Row) { r.Name = structs.RowName(strings.Repeat("n", 201)) })}, "name"},
		{"space in name", []structs.RowChange{row(func(r *structs.Row) { r.Name = "a b" })}, "name"},
		{"comma in name", []structs.RowChange{row(func(r *structs.Row) { r.Name = "a,b" })}, "name"},
		{"quote in name", []structs.RowChange{row(func(r *structs.Row) { r.Name = "a\"b" })}, "name"},
		{"control character in name", []structs.RowChange{row(func(r *structs.Row) { r.Name = "a\x01" })}, "name"},
		{"invalid UTF-8 in name", []structs.RowChange{row(func(r *structs.Row) { r.Name = "a\xff" })}, "name"},
		{"unknown kind", []structs.RowChange{row(func(r *structs.Row) { r.Kind = "thing" })}, "kind"},
		{"model with base", []structs.RowChange{row(func(r *structs.Row) { r.Base = "m" })}, "base"},
		{"adapter without base", []structs.RowChange{put(adapterRow("n", "", 1), 0)}, "base"},
		{"base unknown", []structs.RowChange{put(adapterRow("n", "o", 1), 0)}, "base"},
		{"base is an adapter", []structs.RowChange{put(adapterRow("n", "x", 1), 0)}, "base"},
		{"base is itself", []structs.RowChange{put(adapterRow("n", "n", 1), 0)}, "base"},
		{"weight 0", []structs.RowChange{row(func(r *structs.Row) { r.Weight = 0 })}, "weight"},
		{"weight 1001", []structs.RowChange{row(func(r *structs.Row) { r.Weight = 1001 })}, "weight"},
		{"priority 3", []structs.RowChange{row(func(r *structs.Row) { r.Priority = 3 })}, "priority"},
		{"min negative", []structs.RowChange{row(func(r *structs.Row) { r.MinReplicas = -1 })}, "min_replicas"},
		{"min above max", []structs.RowChange{row(func(r *structs.Row) { r.MinReplicas = 2 })}, "min_replicas"},
		{"max 10001", []structs.RowChange{row(func(r *structs.Row) { r.MaxReplicas = 10_001 })}, "max_replicas"},
		{"no memory", []structs.RowChange{row(func(r *structs.Row) { r.MemoryBytes = 0 })}, "memory_bytes"},
		{"no role", []structs.RowChange{row(func(r *structs.Row) { r.Role = "" })}, "role"},
		{"unknown objective", []structs.RowChange{row(func(r *structs.Row) { r.Objective = "fun" })}, "objective"},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			revision := state.Revision()
			answer := state.Apply(editOf(strings.ReplaceAll(test.about, " ", "-"), test.changes...)).Edit
			qt.Assert(t, answer.Accepted, qt.IsFalse)
			qt.Assert(t, answer.Problems, qt.HasLen, 1, qt.Commentf("%+v", answer.Problems))
			problem := answer.Problems[0]
			qt.Assert(t, problem.Column, qt.Equals, test.column)
			qt.Assert(t, problem.Problem, qt.Not(qt.Equals), "")
			qt.Assert(t, problem.Remedy, qt.Not(qt.Equals), "")
			qt.Assert(t, state.Revision(), qt.Equals, revision)
		})
	}
	// A model may be deleted or created in one edit with its adapters, in any order.
	mustApply(t, state, editOf("delete-both", remove("m", 1), remove("x", 1)))
	mustApply(t, state, editOf("make-both", put(adapterRow("x", "m", 1), 0), put(modelRow("m", 1), 0)))
}

func TestDeltaIsFullAfterTombstonesArePruned(t *testing.T) {
	state := stateWith(1)
	mustApply(t, state, editOf("hold", put(modelRow("held", 1), 0)), editOf("drop", remove("held", 1)))
	count := TombstoneRetention + tombstonePruneBatch - 1
	for i := range count {
		name := fmt.Sprintf("m%d", i)
		state.Apply(editOf("make"+name, put(modelRow(name, 0), 0)))
		if i < count-1 {
			state.Apply(editOf("delete"+name, remove(name, uint64(2*i+3))))
		}
	}
	last := state.Revision()
	qt.Assert(t, state.Delta("a", 1).Full, qt.IsFalse)
	mustApply(t, state, editOf("last", remove(fmt.Sprintf("m%d", count-1), last)))
	qt.Assert(t, state.Delta("a", 1).Full, qt.IsTrue)
	qt.Assert(t, state.Delta("a", 0).Full, qt.IsTrue)
	qt.Assert(t, state.Delta("a", last+9).Full, qt.IsTrue)
	qt.Assert(t, state.Changes(1).Full, qt.IsTrue)
	changes := state.Changes(last)
	whole := state.Delta("a", last)
	qt.Assert(t, changes.Rows, qt.DeepEquals, whole.Rows)
	qt.Assert(t, changes.Deleted, qt.DeepEquals, whole.Deleted)
	delta := state.Delta("a", last)
	qt.Assert(t, delta.Full, qt.IsFalse)
	qt.Assert(t, delta.Deleted, qt.HasLen, 1)
	qt.Assert(t, state.tombstones, qt.Equals, TombstoneRetention)
	qt.Assert(t, limitsOf(state, "held"), qt.Equals, "a:0/1 ")
	data, err := state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := New()
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	qt.Assert(t, restored.Delta("a", 1).Full, qt.IsTrue)
	qt.Assert(t, restored.pruneAt, qt.Equals, state.pruneAt)
}
