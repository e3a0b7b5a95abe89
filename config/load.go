package config

import (
	"bytes"
	stderrors "errors"
	"io"
	"os"
	"regexp"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/lotusferry/lotusferry/structs"
)

// maximumFileBytes bounds a settings file.
const maximumFileBytes = 4 << 20

const settingsPage = "docs/operations/settings.md"

// Load reads the file at path over the defaults, applies the flags over it and
// checks the result. All problems of the file and of the values come together
// in an *InvalidError; warnings alone are no error, and Check returns them. An
// empty path means that only the defaults and the flags count.
func Load(path string, overrides Flags) (Config, error) {
	config := Default()
	var problems []Problem
	if path != "" {
		content, err := readFile(path)
		if err != nil {
			return config, err
		}
		config, problems = Decode(content)
	}
	overrides.apply(&config)
	problems = append(problems, config.Check()...)
	if len(refusing(problems)) > 0 {
		return config, &InvalidError{Path: path, Problems: problems}
	}
	return config, nil
}

// CheckResult is what a check of a settings file found, as --json shows it.
type CheckResult struct {
	// OK is set when a daemon would start with the settings.
	OK bool `json:"ok"`
	// Problems holds the warnings too.
	Problems []Problem `json:"problems"`
}

// CheckFile checks the file as a daemon's start does. An error means that the file
// could not be read at all.
func CheckFile(path string, overrides Flags) (CheckResult, error) {
	loaded, err := Load(path, overrides)
	var invalid *InvalidError
	if stderrors.As(err, &invalid) {
		return CheckResult{Problems: invalid.Problems}, nil
	}
	if err != nil {
		return CheckResult{}, err
	}
	problems := loaded.Check()
	if problems == nil {
		problems = []Problem{} // "[]" and not "null" for programs
	}
	return CheckResult{OK: true, Problems: problems}, nil
}

// ReadSite reads the site of a settings file for a program that is no daemon. Only
// the file's form is checked, not the daemon's own settings.
func ReadSite(path string) (Site, error) {
	content, err := readFile(path)
	if err != nil {
		return Site{}, err
	}
	config, problems := Decode(content)
	if len(problems) > 0 {
		return Site{}, &InvalidError{Path: path, Problems: problems}
	}
	return config.Site, nil
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, unreadable(path, err)
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maximumFileBytes+1))
	if err != nil {
		return nil, unreadable(path, err)
	}
	if len(content) > maximumFileBytes {
		return nil, structs.NewError(structs.ErrorInvalid,
			"the settings file "+path+" is larger than 4 MiB",
			"Name a settings file; see "+settingsPage+".")
	}
	return content, nil
}

func unreadable(path string, err error) error {
	typed := structs.NewError(structs.ErrorInvalid,
		"the settings file "+path+" cannot be read: "+err.Error(),
		"Name a file that this user may read with --config.")
	return errors.WithStack(typed)
}

// Decode reads YAML over the defaults and returns what could be read, with a
// problem for each unknown key, repeated key and value of the wrong type.
func Decode(content []byte) (Config, []Problem) {
	config := Default()
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	err := decoder.Decode(&config)
	if stderrors.Is(err, io.EOF) {
		return config, nil
	}
	if err != nil {
		return config, decodeProblems(err)
	}
	var rest yaml.Node
	if err := decoder.Decode(&rest); !stderrors.Is(err, io.EOF) {
		return config, []Problem{{
			Key:     "file",
			Problem: "holds more than one YAML document",
			Remedy:  "Keep the settings of one daemon in one document, without a --- line between.",
		}}
	}
	return config, nil
}

var unknownField = regexp.MustCompile(`^(line \d+): field (.*) not found in type .*$`)

func decodeProblems(err error) []Problem {
	var typeError *yaml.TypeError
	if !stderrors.As(err, &typeError) {
		return []Problem{{
			Key:     "file",
			Problem: "is not YAML (" + err.Error() + ")",
			Remedy:  "Correct the line that is named.",
		}}
	}
	problems := make([]Problem, 0, len(typeError.Errors))
	for _, text := range typeError.Errors {
		problems = append(problems, decodeProblem(text))
	}
	return problems
}

func decodeProblem(text string) Problem {
	if match := unknownField.FindStringSubmatch(text); match != nil {
		return Problem{
			Key:     match[2],
			Problem: "is an unknown key (" + match[1] + ")",
			Remedy:  "Remove it or correct its name; " + settingsPage + " lists every key.",
		}
	}
	return Problem{
		Key:     "file",
		Problem: "has a value that does not fit (" + text + ")",
		Remedy:  "Write the value as " + settingsPage + " shows it.",
	}
}
