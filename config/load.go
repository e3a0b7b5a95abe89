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

// Load merges the defaults, the file at path and the flags, in this order, and
// checks the result. Problems of the file and of the values are returned together
// in an *InvalidError. Warnings alone are not an error; Check returns them. With an
// empty path, no file is read.
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
	if len(fatalProblems(problems)) > 0 {
		return config, &InvalidError{Path: path, Problems: problems}
	}
	return config, nil
}

// CheckResult is the result of CheckFile. It is also the JSON output of the check
// command.
type CheckResult struct {
	// OK is true if a daemon would start with the settings.
	OK bool `json:"ok"`
	// Problems includes the warnings.
	Problems []Problem `json:"problems"`
}

// CheckFile checks the file as a daemon does at startup. It returns an error only if
// the file cannot be read.
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
		problems = []Problem{} // encoded as "[]" instead of "null"
	}
	return CheckResult{OK: true, Problems: problems}, nil
}

// ReadSite returns the site of a settings file, for programs other than the daemon.
// The file must decode without problems, but its values are not checked.
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
		return nil, readError(path, err)
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maximumFileBytes+1))
	if err != nil {
		return nil, readError(path, err)
	}
	if len(content) > maximumFileBytes {
		return nil, structs.NewError(structs.ErrorInvalid,
			"the settings file "+path+" is larger than 4 MiB",
			"Set the path of a settings file; see "+settingsPage+".")
	}
	return content, nil
}

func readError(path string, err error) error {
	typed := structs.NewError(structs.ErrorInvalid,
		"the settings file "+path+" cannot be read: "+err.Error(),
		"Use --config to set a file that this user may read.")
	return errors.WithStack(typed)
}

// Decode decodes YAML into the default settings. It returns what could be decoded,
// and a problem for each unknown key, duplicate key and value of the wrong type.
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
			Problem: "contains more than one YAML document",
			Remedy:  "Write the settings of one daemon as one document, without a --- separator.",
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
			Problem: "is not valid YAML (" + err.Error() + ")",
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
		Problem: "has a value of the wrong type (" + text + ")",
		Remedy:  "Write the value as " + settingsPage + " shows it.",
	}
}
