package labcommand

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/kit/lab"
	"github.com/lotusferry/lotusferry/structs"
)

type compareCommand struct {
	session   *session
	Tolerance float64 `long:"tolerance" default:"0.1" description:"share of A's figure by which B may be worse"`
	JSON      bool    `long:"json" description:"print the differences as JSON"`
	Files     struct {
		A string `positional-arg-name:"A.json"`
		B string `positional-arg-name:"B.json"`
	} `positional-args:"yes" required:"yes"`
}

// comparison is what the command prints as JSON.
type comparison struct {
	Differences []lab.Difference `json:"differences"`
	// Verdict is the reason why B fails, or empty.
	Verdict string `json:"verdict"`
}

// Execute implements go-flags.Commander.
func (c *compareCommand) Execute([]string) error {
	a, err := readReport(c.Files.A)
	if err != nil {
		return err
	}
	b, err := readReport(c.Files.B)
	if err != nil {
		return err
	}
	differences := lab.Compare(a, b, c.Tolerance)
	result := comparison{differences, lab.Verdict(b, differences)}
	if c.JSON {
		if err := c.session.printJSON(result); err != nil {
			return err
		}
	} else {
		c.print(result)
	}
	switch {
	case len(b.Violations) > 0:
		return errViolation
	case result.Verdict != "":
		return errors.Wrap(errWorse, result.Verdict)
	}
	return nil
}

func (c *compareCommand) print(result comparison) {
	out := c.session.Output
	fmt.Fprintf(out, "%-26s %12s %12s %9s\n", "", "A", "B", "change")
	for _, difference := range result.Differences {
		mark := ""
		if difference.Worse {
			mark = "worse"
		}
		fmt.Fprintf(out, "%-26s %12.4g %12.4g %+8.1f%% %s\n",
			difference.Name, difference.A, difference.B, 100*difference.Change, mark)
	}
}

// readReport reads a report of the command fleet or load.
func readReport(path string) (lab.Comparable, error) {
	var report lab.Comparable
	content, err := os.ReadFile(path)
	if err != nil {
		return report, errors.Wrap(err, "read the report")
	}
	if err := json.Unmarshal(content, &report); err != nil {
		return report, structs.NewError(structs.ErrorInvalid, path+" is not a report: "+err.Error(),
			"Give files that the command fleet or load wrote by --json or --report.")
	}
	if report.Requests == 0 || report.Violations == nil {
		return report, structs.NewError(structs.ErrorInvalid, path+" is not the report of a run with requests",
			"Give files that the command fleet or load wrote by --json or --report.")
	}
	return report, nil
}
