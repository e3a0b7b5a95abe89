package ctl

import (
	"bytes"
	"encoding/csv"
	"strconv"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/placement/tablefile"
	"github.com/lotusferry/lotusferry/structs"
)

// Columns of the table with special handling.
const (
	columnName     = "name"
	columnRevision = "revision"
)

// encodeCells returns the column names and the values of the rows in the format of table
// files, so that printed values are valid input.
func encodeCells(rows []structs.Row) ([]string, [][]string, error) {
	var content bytes.Buffer
	if err := tablefile.Encode(tablefile.FormatCSV, &content, rows); err != nil {
		return nil, nil, err
	}
	lines, err := csv.NewReader(&content).ReadAll()
	if err != nil {
		return nil, nil, errors.Wrap(err, "decode the values of the rows")
	}
	return lines[0], lines[1:], nil
}

func (s *invocation) printRows(rows []structs.Row) error {
	header, lines, err := encodeCells(rows)
	if err != nil {
		return err
	}
	return s.printTable(header, lines)
}

// printChanges prints the changed values with their current and new contents.
func (s *invocation) printChanges(current []structs.Row, changes []structs.RowChange) error {
	lines, err := changeLines(current, changes)
	if err != nil {
		return err
	}
	return s.printTable([]string{"CHANGE", "ROW", "COLUMN", "FROM", "TO"}, lines)
}

func changeLines(current []structs.Row, changes []structs.RowChange) ([][]string, error) {
	before := map[structs.RowName]structs.Row{}
	for _, row := range current {
		before[row.Name] = row
	}
	var lines [][]string
	for _, change := range changes {
		old, known := before[change.Row.Name]
		if change.Delete {
			lines = append(lines, []string{"delete", string(change.Row.Name), "", "", ""})
			continue
		}
		values, err := valueLines(old, change.Row, known)
		if err != nil {
			return nil, err
		}
		lines = append(lines, values...)
	}
	return lines, nil
}

// valueLines returns the differences between two rows. It skips the name and the
// revision, which operators do not set.
func valueLines(old, wanted structs.Row, known bool) ([][]string, error) {
	header, values, err := encodeCells([]structs.Row{old, wanted})
	if err != nil {
		return nil, err
	}
	var lines [][]string
	for index, column := range header {
		if column == columnName || column == columnRevision {
			continue
		}
		from, to := values[0][index], values[1][index]
		if known && from != to {
			lines = append(lines, []string{"change", string(wanted.Name), column, from, to})
		}
		if !known && to != "" {
			lines = append(lines, []string{"add", string(wanted.Name), column, "", to})
		}
	}
	return lines, nil
}

func (s *invocation) printProblems(problems []structs.RowProblem) error {
	lines := make([][]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, []string{string(problem.Row), tablefile.ColumnName(problem.Column), problem.Value, problem.Problem, problem.Remedy})
	}
	return s.printTable([]string{"ROW", "COLUMN", "VALUE", "PROBLEM", "REMEDY"}, lines)
}

func (s *invocation) printConflicts(conflicts []structs.RowConflict) error {
	lines := make([][]string, 0, len(conflicts))
	for _, conflict := range conflicts {
		now := "deleted"
		if conflict.Current != nil {
			now = strconv.FormatUint(conflict.Current.Revision, 10)
		}
		lines = append(lines, []string{string(conflict.Row), strconv.FormatUint(conflict.BaseRevision, 10), now})
	}
	return s.printTable([]string{"ROW", "SEEN REVISION", "REVISION NOW"}, lines)
}
