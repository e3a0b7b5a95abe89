package labcommand

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// runSeeds runs a check once for each seed, in the chosen folder or a temporary one for each, and prints its reports. run returns the report
// and the number of violations in it. The error is errViolation if a report has any.
func (s *session) runSeeds(seeds []uint64, chosenFolder string, run func(seed uint64, folder string) (report any, violations int, err error)) error {
	isViolated := false
	for _, seed := range seeds {
		folder, err := makeSoakFolder(chosenFolder)
		if err != nil {
			return err
		}
		report, violations, err := run(seed, folder)
		if err != nil {
			return err
		}
		encoder := json.NewEncoder(s.Output)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return errors.Wrap(err, "print report")
		}
		fmt.Fprintln(s.Errors, "logs:", folder)
		isViolated = isViolated || violations > 0
	}
	if isViolated {
		return errViolation
	}
	return nil
}

// logf prints a line about the progress of a check.
func (s *session) logf(format string, arguments ...any) {
	fmt.Fprintf(s.Errors, format+"\n", arguments...)
}

// consecutiveSeeds returns the given number of seeds from the first on.
func consecutiveSeeds(first uint64, count int) []uint64 {
	var seeds []uint64
	for offset := range count {
		seeds = append(seeds, first+uint64(offset))
	}
	return seeds
}

// makeSoakFolder creates the folder of a run, a temporary one if none is given.
func makeSoakFolder(chosen string) (string, error) {
	if chosen != "" {
		return chosen, errors.Wrap(os.MkdirAll(chosen, 0o700), "create folder")
	}
	folder, err := os.MkdirTemp("", "lotusferry-soak-")
	return folder, errors.Wrap(err, "create folder")
}
