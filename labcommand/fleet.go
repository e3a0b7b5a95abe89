package labcommand

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/lab"
	"github.com/lotusferry/lotusferry/structs"
)

// fleetMargin is what a run may take beyond its load: start, table and stop.
const fleetMargin = 2 * time.Minute

// allFaults stands for every kind of fault.
const allFaults = "all"

type fleetCommand struct {
	session *session
	Site    string        `long:"site" default:"padano" description:"padano, meknes or demo"`
	For     time.Duration `long:"for" default:"60s" description:"how long the load lasts"`
	Rate    float64       `long:"rate" default:"10" description:"calls a second"`
	Seed    uint64        `long:"seed" default:"1" description:"decides calls and faults"`
	Faults  string        `long:"faults" description:"kinds of fault, separated by commas; all; none if empty"`
	Keep    bool          `long:"keep" description:"keep the daemons' folders"`
	JSON    bool          `long:"json" description:"print the report as JSON"`
}

// Execute implements go-flags.Commander.
func (c *fleetCommand) Execute([]string) error {
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
	ctx, cancel := context.WithTimeout(c.session.ctx, c.For+fleetMargin)
	defer cancel()
	report, err := lab.RunRehearsal(ctx, c.session.logger, lab.RehearsalOptions{
		Fleet:    lab.FleetOptions{Site: site, Folder: folder, Command: c.session.DaemonCommand, Seed: c.Seed},
		Duration: c.For,
		Rate:     c.Rate,
		Faults:   faults,
	})
	if err != nil {
		fmt.Fprintln(c.session.Errors, "The daemons' folders are kept in", folder)
		return err
	}
	return c.finish(folder, report)
}

func (c *fleetCommand) finish(folder string, report lab.Report) error {
	if err := c.print(report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		fmt.Fprintln(c.session.Errors, "The daemons' folders are kept in", folder)
		return errViolation
	}
	if c.Keep {
		fmt.Fprintln(c.session.Errors, "The daemons' folders are kept in", folder)
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
	fmt.Fprintf(out, "requests %d, answered %d, refused %d, lost %d, live in time %.1f%%\n",
		report.Requests, report.Answered, report.Refused, report.Lost, 100*report.LiveInTime)
	fmt.Fprintf(out, "cold start p50 %.2f s p99 %.2f s (%d), first token otherwise p50 %.3f s p95 %.3f s\n",
		report.ColdStart.P50, report.ColdStart.P99, report.ColdStart.Count, report.FirstToken.P50, report.FirstToken.P95)
	fmt.Fprintf(out, "idle accelerator hours %.3f\n", report.IdleAcceleratorHours)
	for _, violation := range report.Violations {
		fmt.Fprintf(out, "violation (%s): %s\n", violation.Invariant, violation.Detail)
	}
	return nil
}

// faultNames checks a list of kinds of fault.
func faultNames(list string) ([]string, error) {
	known := map[string]bool{}
	var all []string
	for _, kind := range lab.FaultKinds() {
		known[kind.Name] = true
		all = append(all, kind.Name)
	}
	if list == allFaults {
		return all, nil
	}
	var names []string
	for name := range strings.SplitSeq(list, ",") {
		if name == "" {
			continue
		}
		if !known[name] {
			return nil, structs.NewError(structs.ErrorInvalid, "there is no kind of fault "+name,
				"choose from all, "+strings.Join(all, ", "))
		}
		names = append(names, name)
	}
	return names, nil
}
