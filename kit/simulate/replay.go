package simulate

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/lotusferry/lotusferry/structs"
	"github.com/pkg/errors"
)

// replayVersion is the version of the replay file format.
const replayVersion = 1

type replayFile struct {
	Version   int       `json:"version"`
	Violation Violation `json:"violation"`
}

// WriteReplay writes the violation as a JSON replay file.
func WriteReplay(writer io.Writer, violation Violation) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(replayFile{Version: replayVersion, Violation: violation})
	return errors.Wrap(err, "write the replay file")
}

// Replay runs the seed and the faults of a replay file again. It returns an
// ErrorInvalid if the file cannot be read, and an ErrorConflict with the result if
// the run does not reproduce the recorded trace.
func Replay(reader io.Reader) (Result, error) {
	var file replayFile
	if err := json.NewDecoder(reader).Decode(&file); err != nil {
		return Result{}, structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("the replay file cannot be decoded: %v", err), "Give a file that WriteReplay wrote.")
	}
	if file.Version != replayVersion {
		return Result{}, structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("unsupported replay file version %d", file.Version), "Use the release that wrote it.")
	}
	recorded := file.Violation
	result, err := Run(recorded.options())
	if err != nil {
		return Result{}, err
	}
	if len(result.Violations) == 0 || result.Violations[0].TraceHash != recorded.TraceHash {
		return result, structs.NewError(structs.ErrorConflict,
			"the run does not reproduce the recorded trace", "Check out the commit that wrote the replay file.")
	}
	return result, nil
}

// options returns the options that reproduce the violation.
func (v Violation) options() Options {
	faults := v.Faults
	if faults == nil {
		faults = []Fault{}
	}
	return Options{Scenario: v.Scenario, Seed: v.Seed, Seeds: 1, Mutation: v.Mutation, Faults: faults, Workers: 1}
}
