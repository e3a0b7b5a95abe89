package table

import (
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// MaxProblems is the maximum number of problems, and of conflicts, in a result.
	MaxProblems = 1000
	// maxCommentBytes is the maximum size of the author and the comment of an edit.
	maxCommentBytes = 2000
)

// applyEdit checks an edit and applies it atomically. The result is recorded under
// the edit's ID.
func (s *State) applyEdit(command EditCommand) Result {
	edit := command.Edit
	if problem := nameProblem(string(edit.ID)); problem != "" {
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
	answer := s.checkEdit(edit)
	if answer.Accepted {
		s.commitEdit(command)
		answer.Revision = s.revision
	}
	s.answers.add(answerRecord{digest: digest, result: cloneResult(answer)})
	return Result{Edit: &answer}
}

// Check returns the result that an edit would have now, without applying it. The edit
// ID may be empty; one that was used for another edit is reported as a problem.
func (s *State) Check(edit structs.Edit) structs.EditResult {
	if known, isKnown := s.answers.find(edit.ID); isKnown && known.digest == digestOf(edit) {
		return cloneResult(known.result)
	} else if isKnown {
		return structs.EditResult{ID: edit.ID, Revision: s.revision, Problems: []structs.RowProblem{{
			Column: "edit_id", Value: string(edit.ID), Problem: "was used for another edit",
			Remedy: "Make a new random ID for each edit.",
		}}}
	}
	answer := s.checkEdit(edit)
	if answer.Accepted {
		answer.Revision = s.revision + 1
	}
	return answer
}

// checkEdit returns the result of an edit with its problems and conflicts.
func (s *State) checkEdit(edit structs.Edit) structs.EditResult {
	check := editCheck{state: s, wanted: make(map[structs.RowName]*structs.RowChange, len(edit.Changes))}
	check.checkHeader(edit)
	for i := range edit.Changes {
		check.addChange(&edit.Changes[i])
	}
	for i := range edit.Changes {
		check.checkChange(&edit.Changes[i])
	}
	check.checkDependents(edit.Changes)
	return structs.EditResult{
		ID:        edit.ID,
		Accepted:  len(check.problems) == 0 && len(check.conflicts) == 0,
		Revision:  s.revision,
		Problems:  check.problems[:min(len(check.problems), MaxProblems)],
		Conflicts: check.conflicts[:min(len(check.conflicts), MaxProblems)],
	}
}

// editCheck collects the problems and conflicts of an edit. wanted contains the edit's
// changes by row.
type editCheck struct {
	state     *State
	wanted    map[structs.RowName]*structs.RowChange
	problems  []structs.RowProblem
	conflicts []structs.RowConflict
}

func (j *editCheck) report(row structs.RowName, column, value, problem, remedy string) {
	j.problems = append(j.problems, structs.RowProblem{
		Row: row, Column: column, Value: value, Problem: problem, Remedy: remedy,
	})
}

func (j *editCheck) checkHeader(edit structs.Edit) {
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

func (j *editCheck) addChange(change *structs.RowChange) {
	name := change.Row.Name
	if _, isTwice := j.wanted[name]; isTwice {
		j.report(name, "name", string(name), "is changed twice in this edit", "Keep one change for each row.")
		return
	}
	j.wanted[name] = change
}

func (j *editCheck) checkChange(change *structs.RowChange) {
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

// lookup returns a row of the table as it would be after the edit.
func (j *editCheck) lookup(name structs.RowName) (structs.Row, bool) {
	if change := j.wanted[name]; change != nil {
		return change.Row, !change.Delete
	}
	return j.state.Row(name)
}

// checkDependents reports models that the edit removes although rows depend on them.
func (j *editCheck) checkDependents(changes []structs.RowChange) {
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

// commitEdit applies a checked edit to the table, splits the limits of its rows, and
// adds it to the history.
func (s *State) commitEdit(command EditCommand) {
	edit := command.Edit
	names := make([]structs.RowName, 0, len(edit.Changes))
	for i := range edit.Changes {
		s.adjustDependents(edit.Changes[i].Row.Name, -1)
	}
	for i := range edit.Changes {
		s.setRow(edit.Changes[i])
		names = append(names, edit.Changes[i].Row.Name)
	}
	for _, name := range names {
		s.adjustDependents(name, 1)
	}
	rows := make([]*rowState, 0, len(names))
	for _, name := range names {
		rows = append(rows, s.rows[name])
	}
	for _, row := range basesFirst(rows) {
		s.reallocate(row, false)
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

// adjustDependents changes the dependents count of the named row's base, if it has one,
// and adds the row to, or removes it from, the base's adapters.
func (s *State) adjustDependents(name structs.RowName, difference int) {
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

// setRow applies one change to the table.
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
	s.updateFrozen(row)
	s.markChanged(row)
}
