package table

import (
	"fmt"
	"strconv"
	"unicode"
	"unicode/utf8"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// MaxNameBytes is the maximum length of the name of a row, role or zone.
	MaxNameBytes = 200
	// MaxRowWeight is the maximum weight of a row.
	MaxRowWeight = 1000
	// MaxReplicasLimit is the maximum of a row's MaxReplicas.
	MaxReplicasLimit = 10_000
)

// ValidateRow returns the problems of a row, or nil if it is valid. The lookup function
// returns rows of the table as it would be with the row in it.
func ValidateRow(row structs.Row, lookup func(structs.RowName) (structs.Row, bool)) []structs.RowProblem {
	check := rowCheck{row: row}
	check.name()
	check.base(lookup)
	check.numbers()
	check.role()
	check.objective()
	return check.problems
}

type rowCheck struct {
	row      structs.Row
	problems []structs.RowProblem
}

func (c *rowCheck) report(column, value, problem, remedy string) {
	c.problems = append(c.problems, structs.RowProblem{
		Row: c.row.Name, Column: column, Value: value, Problem: problem, Remedy: remedy,
	})
}

func (c *rowCheck) name() {
	if problem := nameProblem(string(c.row.Name)); problem != "" {
		c.report("name", string(c.row.Name), problem, nameRemedy)
	}
}

const nameRemedy = "Choose a name of at most 200 bytes without spaces, commas or quotes."

func (c *rowCheck) base(lookup func(structs.RowName) (structs.Row, bool)) {
	base := c.row.Base
	switch c.row.Kind {
	case structs.RowModel:
		if base != "" {
			c.report("base", string(base), "is set for a model", "Leave base empty, or make the row an adapter or a version.")
		}
		return
	case structs.RowAdapter, structs.RowVersion:
	default:
		c.report("kind", string(c.row.Kind), "is not a kind of row", "Use model, adapter or version.")
		return
	}
	if base == "" {
		c.report("base", "", "is empty", "Name the model that the "+string(c.row.Kind)+" belongs to.")
		return
	}
	found, isThere := lookup(base)
	if !isThere {
		c.report("base", string(base), "is not in the table", "Add the model first or in the same edit, or correct the name.")
		return
	}
	if found.Kind != structs.RowModel {
		c.report("base", string(base), "is not a model but of kind "+string(found.Kind), "Name a row of kind model.")
	}
}

func (c *rowCheck) numbers() {
	row := c.row
	if row.Weight < 1 || row.Weight > MaxRowWeight {
		c.report("weight", strconv.Itoa(row.Weight), "is out of range", fmt.Sprintf("Use 1 to %d.", MaxRowWeight))
	}
	if row.Priority < 0 || row.Priority >= structs.PriorityCount {
		c.report("priority", strconv.Itoa(int(row.Priority)), "is not a priority", "Use 0 (batch), 1 (standard) or 2 (live).")
	}
	if row.MaxReplicas < 0 || row.MaxReplicas > MaxReplicasLimit {
		c.report("max_replicas", strconv.Itoa(row.MaxReplicas), "is out of range", fmt.Sprintf("Use 0 to %d.", MaxReplicasLimit))
	}
	if row.MinReplicas < 0 {
		c.report("min_replicas", strconv.Itoa(row.MinReplicas), "is negative", "Use 0 or more.")
	}
	if row.MinReplicas > row.MaxReplicas {
		c.report("min_replicas", strconv.Itoa(row.MinReplicas), fmt.Sprintf("is above max_replicas (%d)", row.MaxReplicas),
			"Lower min_replicas or raise max_replicas.")
	}
	if row.MemoryBytes <= 0 {
		c.report("memory_bytes", strconv.FormatInt(row.MemoryBytes, 10), "is not positive",
			"Give the accelerator memory that one replica needs.")
	}
}

func (c *rowCheck) role() {
	if problem := nameProblem(string(c.row.Role)); problem != "" {
		c.report("role", string(c.row.Role), problem, "Name the role of the runners that serve the row, as in answers.")
	}
}

func (c *rowCheck) objective() {
	switch c.row.Objective {
	case "", structs.ObjectiveLatency, structs.ObjectiveIdle:
	default:
		c.report("objective", string(c.row.Objective), "is not known", "Use latency or idle, or leave it empty for the site's default.")
	}
}

// nameProblem returns the problem of a name, or the empty string if it is valid.
func nameProblem(text string) string {
	if text == "" {
		return "is empty"
	}
	if len(text) > MaxNameBytes {
		return fmt.Sprintf("is %d bytes long", len(text))
	}
	if !utf8.ValidString(text) {
		return "is not valid UTF-8"
	}
	for _, char := range text {
		if !unicode.IsPrint(char) {
			return "has a character that does not print"
		}
		switch char {
		case ' ', ',', '"', '\'', '`':
			return fmt.Sprintf("has the character %q", char)
		}
	}
	return ""
}
