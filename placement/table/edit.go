package table

import (
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// MaxProblems is how many problems, and how many conflicts, one answer lists.
	MaxProblems = 1000
	// maxCommentBytes bounds the author and the comment of an edit.
	maxCommentBytes = 2000
)

// applyEdit judges an edit and applies it whole or not at all. The answer is kept
// under the edit's ID.
func (s *State) applyEdit(command EditCommand) Result {
	edit := command.Edit
	if problem := textProblem(string(edit.ID)); problem != "" {
		return Result{Error: structs.NewError(structs.ErrorInvalid, fmt.Sprintf("edit ID %q %s", edit.ID, problem),
			"Make a new random ID for each edit.")}
	}
	digest := digestOf(edit)
	if known, isKnown := s.answers.find(edit.ID); isKnown {
		if known.digest != digest {
			return Result{Error: structs.NewError(structs.ErrorInvalid,
				fmt.Sprintf("edit ID %q was used for another edit", edit.ID), "Make a new random ID for each edit.")}
		}
		answer := cloneResult(known.result)
		return Result{Edit: &answer}
	}
	answer := s.judge(edit)
	if answer.Accepted {
		s.accept(command)
		answer.Revision = s.revision
	}
	s.answers.add(answerRecord{digest: digest, result: cloneResult(answer)})
	return Result{Edit: &answer}
}

// Check says how an edit would be answered now, without applying it. An edit ID
// is not needed; one that was used for another edit is reported as a problem.
func (s *State) Check(edit structs.Edit) structs.EditResult {
	if known, isKnown := s.answers.find(edit.ID); isKnown && known.digest == digestOf(edit) {
		return cloneResult(known.result)
	} else if isKnown {
		return structs.EditResult{ID: edit.ID, Revision: s.revision, Problems: []structs.RowProblem{{
			Column: "edit_id", Value: string(edit.ID), Problem: "was used for another edit",
			Remedy: "Make a new random ID for each edit.",
		}}}
	}
	answer := s.judge(edit)
	if answer.Accepted {
		answer.Revision = s.revision + 1
	}
	return answer
}

// judge finds the problems and conflicts of an edit.
func (s *State) judge(edit structs.Edit) structs.EditResult {
	judgement := judgement{state: s, wanted: make(map[structs.RowName]*structs.RowChange, len(edit.Changes))}
	judgement.judgeHeader(edit)
	for i := range edit.Changes {
		judgement.add(&edit.Changes[i])
	}
	for i := range edit.Changes {
		judgement.judgeChange(&edit.Changes[i])
	}
	judgement.judgeDependents(edit.Changes)
	return structs.EditResult{
		ID:        edit.ID,
		Accepted:  len(judgement.problems) == 0 && len(judgement.conflicts) == 0,
		Revision:  s.revision,
		Problems:  judgement.problems[:min(len(judgement.problems), MaxProblems)],
		Conflicts: judgement.conflicts[:min(len(judgement.conflicts), MaxProblems)],
	}
}

// judgement gathers what is wrong with an edit. wanted is the edit laid over the
// table.
type judgement struct {
	state     *State
	wanted    map[structs.RowName]*structs.RowChange
	problems  []structs.RowProblem
	conflicts []structs.RowConflict
}

func (j *judgement) report(row structs.RowName, column, value, problem, remedy string) {
	j.problems = append(j.problems, structs.RowProblem{
		Row: row, Column: column, Value: value, Problem: problem, Remedy: remedy,
	})
}

func (j *judgement) judgeHeader(edit structs.Edit) {
	if len(edit.Changes) == 0 {
		j.report("", "changes", "", "is empty", "Name at least one row to change.")
	}
	if len(edit.Author) > maxCommentBytes {
		j.report("", "author", edit.Author[:MaxNameBytes], "is too long", fmt.Sprintf("Use at most %d bytes.", maxCommentBytes))
	}
	if len(edit.Comment) > maxCommentBytes {
		j.report("", "comment", edit.Comment[:MaxNameBytes], "is too long", fmt.Sprintf("Use at most %d bytes.", maxCommentBytes))
	}
}

func (j *judgement) add(change *structs.RowChange) {
	name := change.Row.Name
	if _, isTwice := j.wanted[name]; isTwice {
		j.report(name, "name", string(name), "is changed twice in this edit", "Keep one change for each row.")
		return
	}
	j.wanted[name] = change
}

func (j *judgement) judgeChange(change *structs.RowChange) {
	name := change.Row.Name
	current, isThere := j.state.Row(name)
	if change.Delete && !isThere && change.BaseRevision == 0 {
		j.report(name, "name", string(name), "is not in the table", "Correct the name, or leave the deletion out.")
		return
	}
	if current.Revision != change.BaseRevision {
		conflict := structs.RowConflict{Row: name, BaseRevision: change.BaseRevision}
		if isThere {
			conflict.Current = &current
		}
		j.conflicts = append(j.conflicts, conflict)
	}
	if !change.Delete {
		j.problems = append(j.problems, ValidateRow(change.Row, j.lookup)...)
	}
}

// lookup finds a row in the table as it would be after the edit.
func (j *judgement) lookup(name structs.RowName) (structs.Row, bool) {
	if change := j.wanted[name]; change != nil {
		return change.Row, !change.Delete
	}
	return j.state.Row(name)
}

// judgeDependents refuses to take away a model that rows are left depending on.
func (j *judgement) judgeDependents(changes []structs.RowChange) {
	moved := make(map[structs.RowName]int)
	for name, change := range j.wanted {
		if current, isThere := j.state.Row(name); isThere && current.Base != "" {
			moved[current.Base]--
		}
		if !change.Delete && change.Row.Base != "" {
			moved[change.Row.Base]++
		}
	}
	for i := range changes {
		change := &changes[i]
		name := change.Row.Name
		current, isThere := j.state.Row(name)
		isGone := change.Delete || change.Row.Kind != structs.RowModel
		if j.wanted[name] != change || !isThere || current.Kind != structs.RowModel || !isGone {
			continue
		}
		left := j.state.rows[name].dependents + moved[name]
		if left > 0 {
			j.report(name, "base", string(name), fmt.Sprintf("is still the base of %d adapters or versions", left),
				"Delete them in the same edit or give them another base.")
		}
	}
}

// accept puts a judged edit into the table, splits the limits of its rows, and
// records it in the history.
func (s *State) accept(command EditCommand) {
	edit := command.Edit
	names := make([]structs.RowName, 0, len(edit.Changes))
	for i := range edit.Changes {
		s.countBase(edit.Changes[i].Row.Name, -1)
	}
	for i := range edit.Changes {
		s.setRow(edit.Changes[i])
		names = append(names, edit.Changes[i].Row.Name)
	}
	for _, name := range names {
		s.countBase(name, 1)
	}
	rows := make([]*rowState, 0, len(names))
	for _, name := range names {
		rows = append(rows, s.rows[name])
	}
	for _, row := range basesFirst(rows) {
		s.regrant(row, false)
	}
	s.history = append(s.history, structs.HistoryEntry{
		Revision: s.revision,
		At:       command.At,
		Author:   edit.Author,
		Comment:  edit.Comment,
		EditID:   edit.ID,
		Rows:     names,
	})
	if len(s.history) > HistoryRetention {
		s.history[0] = structs.HistoryEntry{}
		s.history = s.history[1:]
	}
	s.pruneTombstones()
}

// countBase adds to the dependents of the named row's base, when it has one, and
// enters or strikes off the row as an adapter of it.
func (s *State) countBase(name structs.RowName, difference int) {
	row := s.rows[name]
	if row == nil || row.deleted || row.row.Base == "" {
		return
	}
	base := s.rows[row.row.Base]
	base.dependents += difference
	if !row.row.NeedsBase() {
		return
	}
	if difference > 0 {
		base.addAdapter(row)
	} else {
		base.removeAdapter(row)
	}
}

// setRow writes one change into the table.
func (s *State) setRow(change structs.RowChange) {
	name := change.Row.Name
	row := s.rows[name]
	if row == nil {
		row = &rowState{}
		s.rows[name] = row
		s.changes.append(row)
	} else if row.deleted {
		s.tombstones--
	}
	row.deleted = change.Delete
	row.row = change.Row
	if change.Delete {
		row.row = structs.Row{Name: name}
		s.tombstones++
		for i := range row.grants {
			row.grants[i].wish = 0
		}
	}
	row.row.Revision = s.next
	s.noteHeld(row)
	s.markChanged(row)
}
