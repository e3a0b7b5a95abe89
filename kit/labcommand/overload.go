package labcommand

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/kit/overload"
)

// The files in a report folder.
const (
	overloadJSON  = "overload.json"
	overloadTable = "overload.md"
)

type overloadCommand struct {
	session  *session
	Seed     uint64        `long:"seed" default:"1" description:"the first seed"`
	Seeds    int           `long:"seeds" default:"1" description:"the number of seeds"`
	Workers  int           `long:"workers" description:"number of parallel runs; one per processor if 0"`
	Length   time.Duration `long:"for" default:"30s" description:"virtual time during which calls arrive"`
	Scenario string        `long:"scenario" description:"run only scenarios with this name prefix"`
	Policy   string        `long:"policy" description:"run only this policy"`
	Report   string        `long:"report" description:"write the result as JSON and as a table to this folder"`
	JSON     bool          `long:"json" description:"print the result as JSON"`
}

// Execute implements go-flags.Commander.
func (c *overloadCommand) Execute([]string) error {
	report, err := overload.Run(c.session.ctx, overload.Options{
		Seed: c.Seed, Seeds: c.Seeds, Workers: c.Workers, Length: c.Length, Scenario: c.Scenario, Policy: c.Policy,
	})
	if err != nil {
		return err
	}
	if err := c.write(report); err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errViolation
	}
	return nil
}

func (c *overloadCommand) print(report overload.Report) error {
	if c.JSON {
		return c.session.printJSON(report)
	}
	return errors.Wrap(report.WriteTable(c.session.Output), "write the report")
}

// write writes the report folder if --report is set.
func (c *overloadCommand) write(report overload.Report) error {
	if c.Report == "" {
		return nil
	}
	if err := os.MkdirAll(c.Report, 0o755); err != nil {
		return errors.Wrap(err, "create the report folder")
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the report")
	}
	var table bytes.Buffer
	if err := report.WriteTable(&table); err != nil {
		return errors.Wrap(err, "write the report table")
	}
	if err := writeReport(c.Report, overloadJSON, append(encoded, '\n')); err != nil {
		return err
	}
	return writeReport(c.Report, overloadTable, table.Bytes())
}

func writeReport(folder, name string, content []byte) error {
	return errors.Wrap(os.WriteFile(filepath.Join(folder, name), content, 0o644), "write "+name)
}
