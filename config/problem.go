package config

import (
	"fmt"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

// Problem is an error or a warning about one setting.
type Problem struct {
	// Key is the path of the setting, such as "site.zones[0].weight".
	Key     string `json:"key"`
	Value   string `json:"value"`
	Problem string `json:"problem"`
	// Remedy is a full sentence that says how to fix the problem.
	Remedy string `json:"remedy"`
	// Warning is set if the daemon starts despite the problem.
	Warning bool `json:"warning,omitempty"`
}

// String formats the problem as one line.
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

// InvalidError lists all problems of a settings file, warnings included. Its kind is
// structs.ErrorInvalid.
type InvalidError struct {
	Path     string
	Problems []Problem
}

// Error implements error. The text has one line per problem.
func (e *InvalidError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "the settings %s cannot be used", e.Path)
	for _, problem := range e.Problems {
		text.WriteString("\n  " + problem.String())
	}
	return text.String()
}

// Unwrap returns a *structs.Error with the error kind.
func (e *InvalidError) Unwrap() error {
	return structs.NewError(structs.ErrorInvalid,
		"the settings cannot be used",
		"Correct all listed settings and start again.")
}

// fatalProblems returns the problems that are not warnings.
func fatalProblems(problems []Problem) []Problem {
	var refusing []Problem
	for _, problem := range problems {
		if !problem.Warning {
			refusing = append(refusing, problem)
		}
	}
	return refusing
}
