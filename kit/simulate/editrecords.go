package simulate

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

// intentID identifies an operator's intended change; all resends of an edit share
// it.
type intentID struct{ operator, number int }

// editRecords is the checkers' own copy of the table, changed only by accepted
// edits.
type editRecords struct {
	intents map[structs.EditID]intentID
	// answers holds the first answer to each intent.
	answers map[intentID]structs.EditResult
	rows    map[structs.RowName]structs.Row
	// versions holds the rows after each accepted edit, by rising revision.
	versions []tableVersion
}

type tableVersion struct {
	revision uint64
	rows     []structs.Row
}

func newEditRecords() *editRecords {
	return &editRecords{
		intents:  map[structs.EditID]intentID{},
		answers:  map[intentID]structs.EditResult{},
		rows:     map[structs.RowName]structs.Row{},
		versions: []tableVersion{{}},
	}
}

// rowsAt returns the rows of the table at a revision.
func (r *editRecords) rowsAt(revision uint64) []structs.Row {
	after := sort.Search(len(r.versions), func(i int) bool { return r.versions[i].revision > revision })
	return r.versions[after-1].rows
}

// highestSince returns the highest replica limit of the row in the table since the
// revision.
func (r *editRecords) highestSince(name structs.RowName, revision uint64) int {
	after := sort.Search(len(r.versions), func(i int) bool { return r.versions[i].revision > revision })
	highest := 0
	for _, version := range r.versions[after-1:] {
		if row, found := findRow(version.rows, name); found {
			highest = max(highest, row.MaxReplicas)
		}
	}
	return highest
}

// maxReplicas returns the replica limit of a row, or 0 if there is none.
func (r *editRecords) maxReplicas(name structs.RowName) int { return r.rows[name].MaxReplicas }

// conflicts reports whether the edit is based on outdated revisions of its rows.
func (r *editRecords) conflicts(edit structs.Edit) bool {
	return slices.ContainsFunc(edit.Changes, func(change structs.RowChange) bool {
		return r.rows[change.Row.Name].Revision != change.BaseRevision
	})
}

func (r *editRecords) accept(edit structs.Edit, revision uint64) {
	for _, change := range edit.Changes {
		row := change.Row
		row.Revision = revision
		if change.Delete {
			delete(r.rows, row.Name)
		} else {
			r.rows[row.Name] = row
		}
	}
	version := tableVersion{revision: revision}
	for _, name := range slices.Sorted(maps.Keys(r.rows)) {
		version.rows = append(version.rows, r.rows[name])
	}
	r.versions = append(r.versions, version)
}

// editComposed records an edit that an operator is about to send.
func (l *ledger) editComposed(intent intentID, edit structs.Edit) {
	l.site.counts.EditsSent++
	l.site.trace.Note("edit", string(edit.ID), describeChanges(edit))
}

func describeChanges(edit structs.Edit) string {
	text := ""
	for _, change := range edit.Changes {
		if change.Delete {
			text += fmt.Sprintf("delete %s (base %d) ", change.Row.Name, change.BaseRevision)
		} else {
			text += fmt.Sprintf("%s max=%d (base %d) ", change.Row.Name, change.Row.MaxReplicas, change.BaseRevision)
		}
	}
	return text
}

// editCommitted checks the table's result of a committed edit.
func (l *ledger) editCommitted(edit structs.Edit, result table.Result) {
	if result.Edit == nil {
		l.judge.Report(checkerFailure, "edit %s was refused: %v", edit.ID, result.Error)
		return
	}
	intent := l.edits.intents[edit.ID]
	if first, ok := l.edits.answers[intent]; ok {
		l.compareAnswers(edit.ID, first, *result.Edit)
		return
	}
	l.edits.answers[intent] = *result.Edit
	conflicts := l.edits.conflicts(edit)
	if result.Edit.Accepted == conflicts {
		l.judge.Report(checkerWinner, "edit %s: accepted is %t, but made against old rows is %t",
			edit.ID, result.Edit.Accepted, conflicts)
	}
	if !result.Edit.Accepted {
		l.site.counts.EditsRefused++
		l.site.trace.Note("refused", string(edit.ID), "")
		return
	}
	if result.Edit.Revision <= l.newestAccepted {
		l.judge.Report(checkerWinner, "edit %s was accepted at revision %d, an earlier one at %d",
			edit.ID, result.Edit.Revision, l.newestAccepted)
	}
	l.newestAccepted = result.Edit.Revision
	l.site.counts.EditsAccepted++
	l.site.trace.Note("accepted", string(edit.ID), fmt.Sprintf("revision %d", result.Edit.Revision))
	l.edits.accept(edit, result.Edit.Revision)
	l.limits.update(l)
	l.site.progress.editAccepted(result.Edit.Revision)
}

// editAnswered checks a member's answer to an operator.
func (l *ledger) editAnswered(operator waitingOperator, id structs.EditID, result table.Result) {
	if result.Edit == nil {
		return
	}
	first, ok := l.edits.answers[l.edits.intents[id]]
	if !ok {
		l.judge.Report(checkerResend, "%s was answered about edit %s before it was committed", operator.address, id)
		return
	}
	l.compareAnswers(id, first, *result.Edit)
}

func (l *ledger) compareAnswers(id structs.EditID, first, again structs.EditResult) {
	if first.Accepted != again.Accepted || first.Revision != again.Revision {
		l.judge.Report(checkerResend, "edit %s was answered accepted=%t at revision %d first, and accepted=%t at %d on a resend",
			id, first.Accepted, first.Revision, again.Accepted, again.Revision)
	}
}
