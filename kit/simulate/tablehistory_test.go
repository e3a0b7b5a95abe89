package simulate

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

// TestHistoryAloneShowsBrokenAnswers checks that the history detects these faults
// without the other checkers.
func TestHistoryAloneShowsBrokenAnswers(t *testing.T) {
	t.Parallel()
	for _, mutation := range []string{mutationStaleReads, mutationForgetAnswers, mutationTakeAnyVersion, mutationNewEditID} {
		t.Run(mutation, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := uint64(1); seed <= mutationSeeds; seed++ {
				outcome := runTable(seedPlan{seed: seed, mutation: mutation, only: checkerLinearizable})
				if outcome.violation != nil {
					c.Assert(outcome.violation.Checker, qt.Equals, checkerLinearizable)
					t.Logf("seed %d: %s", seed, outcome.violation.Message)
					return
				}
			}
			t.Fatal("no seed detects the mutation")
		})
	}
}

func TestEveryAnsweredCallIsChecked(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	outcome := runTable(seedPlan{seed: 5})
	c.Assert(outcome.violation, qt.IsNil)
	c.Assert(outcome.counts.CallsChecked >= outcome.counts.EditsAccepted, qt.IsTrue)
	c.Assert(outcome.counts.EditsAccepted > 0 && outcome.counts.EditsRefused > 0, qt.IsTrue)
}

func TestHistoriesOfOneRow(t *testing.T) {
	name := simulatedRows[0]
	row := func(max int, revision uint64) structs.Row {
		made := newSimulatedRow(name)
		made.MaxReplicas, made.Revision = max, revision
		return made
	}
	write := func(from, to int, base uint64, max int, answer *structs.EditResult) *tableCall {
		call := &tableCall{called: time.Duration(from), returned: never,
			changes: []structs.RowChange{{Row: row(max, 0), BaseRevision: base}}}
		if answer != nil {
			call.answered(time.Duration(to), *answer)
		}
		return call
	}
	remove := func(from int, base uint64) *tableCall {
		call := write(from, 0, base, 0, nil)
		call.changes[0].Delete = true
		return call
	}
	read := func(from, to int, revision uint64, rows ...structs.Row) *tableCall {
		return &tableCall{called: time.Duration(from), returned: time.Duration(to), revision: revision, rows: rows}
	}
	accepted := func(revision uint64) *structs.EditResult {
		return &structs.EditResult{Accepted: true, Revision: revision}
	}
	refused := func(revision uint64, current *structs.Row) *structs.EditResult {
		return &structs.EditResult{Revision: revision, Conflicts: []structs.RowConflict{{Row: name, Current: current}}}
	}
	three, four := row(3, 1), row(4, 5)
	for _, test := range []struct {
		name  string
		calls []*tableCall
		legal bool
	}{
		{"read sees the edit before it", []*tableCall{write(1, 2, 0, 3, accepted(1)), read(3, 4, 1, three)}, true},
		{"read misses the edit before it", []*tableCall{write(1, 2, 0, 3, accepted(1)), read(3, 4, 0)}, false},
		{"read beside the edit may miss it", []*tableCall{write(1, 4, 0, 3, accepted(1)), read(2, 3, 0)}, true},
		{"two winners of equal versions", []*tableCall{write(1, 4, 0, 3, accepted(1)), write(1, 4, 0, 4, accepted(2))}, false},
		{"one winner of equal versions", []*tableCall{write(1, 4, 0, 3, accepted(1)), write(1, 4, 0, 4, refused(1, &three))}, true},
		{"refused by what it wrote itself", []*tableCall{write(1, 4, 0, 3, refused(1, &three))}, false},
		{"refused without a reason", []*tableCall{write(1, 2, 0, 3, &structs.EditResult{})}, false},
		{"unanswered edit is seen", []*tableCall{write(1, 0, 0, 3, nil), read(2, 3, 1, three)}, true},
		{"unanswered edit is not seen", []*tableCall{write(1, 0, 0, 3, nil), read(2, 3, 0)}, true},
		{"unanswered edit is seen and then not", []*tableCall{write(1, 0, 0, 3, nil), read(2, 3, 1, three), read(4, 5, 1)}, false},
		{"unanswered edit that nobody saw is changed further", []*tableCall{write(1, 0, 0, 3, nil), write(2, 3, 1, 4, accepted(5)), read(4, 5, 5, four)}, false},
		{"unanswered edit is read and changed further", []*tableCall{
			write(1, 0, 0, 3, nil), read(2, 3, 1, three), write(4, 5, 1, 4, accepted(5)), read(6, 7, 5, four),
		}, true},
		{"unanswered edit of an older version is seen", []*tableCall{
			write(1, 2, 0, 3, accepted(1)), write(3, 4, 1, 4, accepted(5)), write(5, 0, 1, 2, nil), read(6, 7, 6, row(2, 6)),
		}, false},
		{"unanswered deletion is seen", []*tableCall{write(1, 2, 0, 3, accepted(1)), remove(3, 1), read(4, 5, 2)}, true},
		{"table revision falls", []*tableCall{read(1, 2, 4), read(3, 4, 3)}, false},
		{"row that nobody wrote", []*tableCall{read(1, 2, 1, three)}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			history := tableHistory{calls: test.calls}
			legal := porcupine.CheckOperations(sequentialTable, history.operations())
			qt.Assert(t, legal, qt.Equals, test.legal)
		})
	}
}
