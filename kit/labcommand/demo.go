package labcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/lotusferry/lotusferry/kit/lab"
)

// demoTimeout is the time limit of the demonstration.
const demoTimeout = 55 * time.Second

type demoCommand struct {
	session *session
	JSON    bool `long:"json" description:"print the report as JSON"`
}

// Execute implements go-flags.Commander.
func (c *demoCommand) Execute([]string) error {
	folder, err := newFolder("demo")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.session.ctx, demoTimeout)
	defer cancel()
	progress := c.session.Output
	if c.JSON {
		progress = io.Discard
	}
	report, err := lab.RunDemo(ctx, c.session.logger, lab.FleetOptions{
		Site:    lab.DemoSite(),
		Folder:  folder,
		Command: c.session.DaemonCommand,
		Seed:    1,
	}, progress)
	if err != nil {
		fmt.Fprintln(c.session.Errors, "The daemons' folders are kept in", folder)
		return err
	}
	if c.JSON {
		if err := c.session.printJSON(report); err != nil {
			return err
		}
	}
	if len(report.Violations) > 0 {
		fmt.Fprintln(c.session.Errors, report.Violations, "folders kept in", folder)
		return errViolation
	}
	fmt.Fprintln(progress, "No invariant was violated.")
	return os.RemoveAll(folder)
}
