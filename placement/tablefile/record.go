package tablefile

import (
	"fmt"
	"strconv"

	"github.com/lotusferry/lotusferry/structs"
)

// Column names.
const (
	columnName        = "name"
	columnKind        = "kind"
	columnBase        = "base"
	columnWeight      = "weight"
	columnPriority    = "priority"
	columnMinReplicas = "min_replicas"
	columnMaxReplicas = "max_replicas"
	columnMemory      = "memory"
	columnRole        = "role"
	columnObjective   = "objective"
	columnRevision    = "revision"
)

// memoryAlias is an alternative name of the memory column, used by structs.Row.
const memoryAlias = "memory_bytes"

// columns contains all columns in the order in which they are written.
var columns = []string{
	columnName, columnKind, columnBase, columnWeight, columnPriority, columnMinReplicas,
	columnMaxReplicas, columnMemory, columnRole, columnObjective, columnRevision,
}

// requiredColumns are the columns that every row must have.
var requiredColumns = []string{
	columnName, columnKind, columnWeight, columnPriority, columnMaxReplicas, columnMemory, columnRole,
}

// valueKind is the type of a value in a file.
type valueKind int

const (
	// valuePlain is a number or a text, which the format does not distinguish.
	valuePlain valueKind = iota
	valueNumber
	valueText
	// valueOther is a list, an object, true, false or null.
	valueOther
)

// value is an unparsed value of a record.
type value struct {
	column string
	text   string
	kind   valueKind
}

// record is one row of a file.
type record struct {
	line   int
	values []value
}

// ColumnName returns the canonical name of a column that may be given by an alias,
// such as a field name of structs.Row.
func ColumnName(column string) string {
	if column == memoryAlias {
		return columnMemory
	}
	return column
}

// buildRows converts records to rows. Rows with problems are left out.
func buildRows(records []record) ([]structs.Row, []structs.RowProblem) {
	var rows []structs.Row
	var problems []structs.RowProblem
	lines := make(map[structs.RowName]int, len(records))
	for _, record := range records {
		builder := rowBuilder{seen: make(map[string]bool, len(columns))}
		builder.build(record)
		name := builder.row.Name
		if line, isTwice := lines[name]; isTwice && builder.seen[columnName] {
			builder.report(columnName, string(name), fmt.Sprintf("is also the name of the row at line %d", line),
				"Keep one row for each name.")
		}
		lines[name] = record.line
		problems = append(problems, builder.labeledProblems(record.line)...)
		if len(builder.problems) == 0 {
			rows = append(rows, builder.row)
		}
	}
	return rows, problems
}

// rowBuilder parses the values of one record.
type rowBuilder struct {
	row      structs.Row
	seen     map[string]bool
	problems []structs.RowProblem
}

func (b *rowBuilder) report(column, text, problem, remedy string) {
	b.problems = append(b.problems, structs.RowProblem{Column: column, Value: text, Problem: problem, Remedy: remedy})
}

// labeledProblems returns the problems with the row's name or, if it has none, with the
// line number.
func (b *rowBuilder) labeledProblems(line int) []structs.RowProblem {
	for i := range b.problems {
		b.problems[i].Row = b.row.Name
		if b.row.Name == "" {
			b.problems[i].Problem += fmt.Sprintf(" (line %d)", line)
		}
	}
	return b.problems
}

func (b *rowBuilder) build(record record) {
	for _, value := range record.values {
		column := ColumnName(value.column)
		if b.seen[column] {
			b.report(column, value.text, "is given twice", "Keep one value.")
			continue
		}
		b.seen[column] = true
		b.set(column, value)
	}
	for _, column := range requiredColumns {
		if !b.seen[column] {
			b.report(column, "", "is missing", "Give the column a value.")
		}
	}
}

func (b *rowBuilder) set(column string, value value) {
	switch column {
	case columnName:
		b.row.Name = structs.RowName(b.text(value))
	case columnKind:
		b.row.Kind = structs.RowKind(b.text(value))
	case columnBase:
		b.row.Base = structs.RowName(b.text(value))
	case columnWeight:
		b.row.Weight = int(b.number(value, strconv.IntSize))
	case columnPriority:
		b.row.Priority = b.priority(value)
	case columnMinReplicas:
		b.row.MinReplicas = int(b.number(value, strconv.IntSize))
	case columnMaxReplicas:
		b.row.MaxReplicas = int(b.number(value, strconv.IntSize))
	case columnMemory:
		b.row.MemoryBytes = b.memory(value)
	case columnRole:
		b.row.Role = structs.RunnerRole(b.text(value))
	case columnObjective:
		b.row.Objective = structs.Objective(b.text(value))
	case columnRevision:
		b.row.Revision = b.revision(value)
	default:
		b.report(column, value.text, "is not a column of the table", "Correct the column's name or leave it out.")
	}
}

func (b *rowBuilder) text(value value) string {
	if value.kind == valueNumber || value.kind == valueOther {
		b.report(value.column, value.text, "is not a text", "Write it in quotes.")
	}
	return value.text
}

func (b *rowBuilder) number(value value, bits int) int64 {
	number, err := strconv.ParseInt(value.text, 10, bits)
	if err != nil || value.kind == valueText || value.kind == valueOther {
		b.report(value.column, value.text, "is not a whole number", "Write digits only, without quotes.")
	}
	return number
}

func (b *rowBuilder) revision(value value) uint64 {
	if value.text == "" && value.kind == valuePlain {
		return 0
	}
	revision, err := strconv.ParseUint(value.text, 10, 64)
	if err != nil || value.kind == valueText || value.kind == valueOther {
		b.report(value.column, value.text, "is not a revision", "Leave the column as it was exported, or empty for a new row.")
	}
	return revision
}

func (b *rowBuilder) priority(value value) structs.Priority {
	for priority, name := range priorityNames {
		if value.text == name && value.kind != valueOther {
			return structs.Priority(priority)
		}
	}
	number, err := strconv.Atoi(value.text)
	if err != nil || value.kind == valueOther {
		b.report(value.column, value.text, "is not a priority", "Use batch, standard or live.")
	}
	return structs.Priority(number)
}

func (b *rowBuilder) memory(value value) int64 {
	size, isSize := parseMemory(value.text)
	if !isSize || value.kind == valueOther {
		b.report(value.column, value.text, "is not a size of memory", "Write bytes, or a whole number with a unit, as in 24GiB.")
	}
	return size
}
