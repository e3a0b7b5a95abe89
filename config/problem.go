package config

import (
	"fmt"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

// Problem is one thing that is wrong, or doubtful, in the settings.
type Problem struct {
	// Key is the path of the setting, such as "site.zones[0].weight".
	Key     string `json:"key"`
	Value   string `json:"value"`
	Problem string `json:"problem"`
	// Remedy is a full sentence that says what to do.
	Remedy string `json:"remedy"`
	// Warning marks what does not keep the daemon from starting.
	Warning bool `json:"warning,omitempty"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	line := fmt.Sprintf("%s: %s: %s", p.Key, p.Problem, p.Remedy)
	if p.Value != "" {
		line = fmt.Sprintf("%s: %q %s: %s", p.Key, p.Value, p.Problem, p.Remedy)
	}
	if p.Warning {
		return "warning: " + line
	}
	return line
}

// InvalidError reports every problem of a settings file together, warnings
// included. Its kind is structs.ErrorInvalid.
type InvalidError struct {
	Path     string
	Problems []Problem
}

// Error implements error: one line for each problem.
func (e *InvalidError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "the settings %s cannot be used", e.Path)
	for _, problem := range e.Problems {
		text.WriteString("\n  " + problem.String())
	}
	return text.String()
}

// Unwrap gives the error its kind.
func (e *InvalidError) Unwrap() error {
	return structs.NewError(structs.ErrorInvalid,
		"the settings cannot be used",
		"Correct every setting that is listed and start again.")
}

// refusing returns the problems that are not warnings.
func refusing(problems []Problem) []Problem {
	var refusing []Problem
	for _, problem := range problems {
		if !problem.Warning {
			refusing = append(refusing, problem)
		}
	}
	return refusing
}
