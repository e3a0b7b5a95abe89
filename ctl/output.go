package ctl

import (
	"encoding/json"
	stderrors "errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/structs"
)

const columnPadding = 2

// printTable prints aligned columns. Empty cells are printed as "-".
func (s *invocation) printTable(header []string, lines [][]string) error {
	writer := tabwriter.NewWriter(s.Output, 0, 0, columnPadding, ' ', 0)
	for _, line := range append([][]string{header}, lines...) {
		cells := make([]string, 0, len(line))
		for _, cell := range line {
			if cell == "" {
				cell = "-"
			}
			cells = append(cells, strings.Join(strings.Fields(cell), " "))
		}
		fmt.Fprintln(writer, strings.Join(cells, "\t"))
	}
	return writer.Flush()
}

// printJSON prints value as one JSON document.
func (s *invocation) printJSON(value any) error {
	encoder := json.NewEncoder(s.Output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printLineJSON prints value as one line of JSON, for streams.
func (s *invocation) printLineJSON(value any) error { return json.NewEncoder(s.Output).Encode(value) }

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind     structs.ErrorKind `json:"kind"`
	Message  string            `json:"message"`
	Remedy   string            `json:"remedy,omitempty"`
	ExitCode int               `json:"exit_code"`
	Problems []config.Problem  `json:"problems,omitempty"`
}

func (s *invocation) printErrorJSON(err error) {
	detail := errorDetail{Kind: structs.KindOf(err), Message: err.Error(), ExitCode: exitCode(err)}
	var typed *structs.Error
	if stderrors.As(err, &typed) {
		detail.Message = typed.Message
		detail.Remedy = typed.Remedy
	}
	var invalid *config.InvalidError
	if stderrors.As(err, &invalid) {
		detail.Problems = invalid.Problems
	}
	encoder := json.NewEncoder(s.Errors)
	encoder.SetIndent("", "  ")
	// A write error of the standard error cannot be reported.
	_ = encoder.Encode(errorOutput{Error: detail})
}
