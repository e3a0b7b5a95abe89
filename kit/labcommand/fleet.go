package labcommand

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/kit/lab"
	"github.com/lotusferry/lotusferry/structs"
)

// fleetOverhead is the time limit for startup, table setup and shutdown of a run.
const fleetOverhead = 2 * time.Minute

// Special values of --faults: every kind of fault, no fault, and a list of the kinds.
const (
	allFaults  = "all"
	noFaults   = "none"
	listFaults = "list"
)

type fleetCommand struct {
	session *session
	Site    string        `long:"site" default:"padano" description:"padano, meknes or demo"`
	For     time.Duration `long:"for" default:"60s" description:"duration of the load"`
	Rate    float64       `long:"rate" default:"10" description:"calls per second"`
	Seed    uint64        `long:"seed" default:"1" description:"random seed of calls and faults"`
	Faults  string        `long:"faults" default:"none" description:"kinds of fault, separated by commas; all; none; list prints them"`
	Keep    bool          `long:"keep" description:"keep the daemons' folders"`
	Report  string        `long:"report" description:"folder for report.html and report.json" value-name:"DIR"`
	JSON    bool          `long:"json" description:"print the report as JSON"`
}

// Execute implements go-flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	if c.Faults == listFaults {
		return c.list()
	}
	site, err := lab.SiteByName(c.Site)
	if err != nil {
		return err
	}
	faults, err := faultNames(c.Faults)
	if err != nil {
		return err
	}
	folder, err := newFolder("fleet")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.session.ctx, c.For+fleetOverhead)
	defer cancel()
	view := c.session.progress(c.JSON)
	report, err := lab.RunRehearsal(ctx, c.session.logger, lab.RehearsalOptions{
		Fleet:    lab.FleetOptions{Site: site, Folder: folder, Command: c.session.DaemonCommand, Seed: c.Seed},
		Duration: c.For,
		Rate:     c.Rate,
		Faults:   faults,
		Show:     view.show,
	})
	view.end()
	if err != nil {
		c.printKeptFolder(folder)
		return err
	}
	report.Command = c.command()
	return c.finish(folder, report)
}

// command returns the command line that reproduces the run.
func (c *fleetCommand) command() string {
	return fmt.Sprintf("lotusferrylab fleet --site %s --for %v --rate %g --seed %d --faults %s", c.Site, c.For, c.Rate, c.Seed, c.Faults)
}

func (c *fleetCommand) printKeptFolder(folder string) {
	fmt.Fprintln(c.session.Errors, "The daemons' folders are kept in", folder)
}

func (c *fleetCommand) finish(folder string, report lab.Report) error {
	if c.Keep || len(report.Violations) > 0 {
		c.printKeptFolder(folder)
	}
	if c.Report != "" {
		if err := report.WriteFolder(c.Report); err != nil {
			c.printKeptFolder(folder)
			return err
		}
	}
	if err := c.print(report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errViolation
	}
	if c.Keep {
		return nil
	}
	return os.RemoveAll(folder)
}

func (c *fleetCommand) print(report lab.Report) error {
	if c.JSON {
		return c.session.printJSON(report)
	}
	out := c.session.Output
	fmt.Fprintf(out, "%s: %d daemons, %d engines, %.0f s, %d faults\n",
		report.Site, report.Daemons, report.Engines, report.DurationSeconds, len(report.Faults))
	printTotals(out, report.Totals)
	fmt.Fprintf(out, "edits %d, in force in a zone p50 %.2f s p99 %.2f s max %.2f s\n",
		report.Edits, report.EditInForce.P50, report.EditInForce.P99, report.EditInForce.Max)
	fmt.Fprintf(out, "idle accelerator hours %.3f\n", report.IdleAcceleratorHours)
	printViolations(out, report.Violations)
	fmt.Fprintln(out, "Repeat it with", report.Command)
	return nil
}

func (c *fleetCommand) list() error {
	for _, kind := range lab.FaultKinds() {
		fmt.Fprintf(c.session.Output, "%-20s %s\n", kind.Name, kind.Sentence)
	}
	return nil
}

// faultNames parses the value of --faults. It returns an error of kind ErrorInvalid for
// an unknown kind.
func faultNames(list string) ([]string, error) {
	known := map[string]bool{}
	var all []string
	for _, kind := range lab.FaultKinds() {
		known[kind.Name] = true
		all = append(all, kind.Name)
	}
	switch list {
	case allFaults:
		return all, nil
	case noFaults, "":
		return nil, nil
	}
	var names []string
	for name := range strings.SplitSeq(list, ",") {
		if name == "" {
			continue
		}
		if !known[name] {
			return nil, structs.NewError(structs.ErrorInvalid, "there is no kind of fault "+name,
				"Choose from all, none, "+strings.Join(all, ", ")+".")
		}
		names = append(names, name)
	}
	return names, nil
}
