package labcommand

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/hollow"
)

type hollowCommand struct {
	session  *session
	Zones    int           `long:"zones" default:"24" description:"zones of the site"`
	Regions  int           `long:"regions" default:"9" description:"regions of the site"`
	Daemons  int           `long:"daemons" default:"830" description:"daemons, control machines among them"`
	Controls int           `long:"controls" default:"36" description:"control machines"`
	Runners  int           `long:"runners" default:"10000" description:"runners, of 8 accelerators each"`
	Models   int           `long:"models" default:"250" description:"rows of models"`
	Adapters int           `long:"adapters" default:"58000" description:"rows of adapters"`
	Voters   int           `long:"zone-voters" default:"3" description:"members of each zone's group: control machines, then routers"`
	Share    float64       `long:"share" default:"0.05" description:"part of the peak rate of requests that is carried"`
	For      time.Duration `long:"for" default:"60s" description:"virtual time under load"`
	Limit    time.Duration `long:"limit" default:"4m" description:"real time after which the load is cut short"`
	Full     int           `long:"full-routers" default:"2" description:"routers of each zone that keep the whole table in memory"`
	Workers  int           `long:"workers" description:"zones that run side by side; half of the processors if not given"`
	Seed     uint64        `long:"seed" default:"1" description:"decides requests, edits and faults"`
	JSON     bool          `long:"json" description:"print the report as JSON"`
}

// Execute implements go-flags.Commander.
func (c *hollowCommand) Execute([]string) error {
	progress := c.session.Output
	if c.JSON {
		progress = io.Discard
	}
	report, err := hollow.Run(c.session.ctx, c.options(), progress)
	if err != nil {
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

func (c *hollowCommand) options() hollow.Options {
	return hollow.Options{
		Regions: c.Regions, Zones: c.Zones, Daemons: c.Daemons, Controls: c.Controls, ZoneVoters: c.Voters,
		Runners: c.Runners, Models: c.Models, Adapters: c.Adapters,
		Duration: c.For, RealLimit: c.Limit, Share: c.Share, FullTableRouters: c.Full, Workers: c.Workers, Seed: c.Seed,
	}
}

func (c *hollowCommand) print(report hollow.Report) error {
	if c.JSON {
		return c.session.printJSON(report)
	}
	out := c.session.Output
	fmt.Fprintf(out, "%d daemons in %d zones, %d runners, %d rows, %.0f s of virtual time under load in %.0f s\n",
		report.Daemons, report.Zones, report.Runners, report.Rows, report.LoadSeconds, report.LoadRealSeconds)
	requests := report.Requests
	fmt.Fprintf(out, "requests %d (%.0f/s), answered %d, refused %d, cut %d; %.0f tokens/s; %d loads\n",
		requests.Sent, requests.RequestsPerSecond, requests.Answered, requests.Refused, requests.Cut, requests.TokensPerSecond, report.LoadsDone)
	fmt.Fprintf(out, "edits %d, in force everywhere p50 %.2f s p99 %.2f s max %.2f s\n",
		report.Edits.Accepted, report.Edits.InForce.P50, report.Edits.InForce.P99, report.Edits.InForce.Max)
	for _, role := range slices.Sorted(maps.Keys(report.Bytes)) {
		bytes := report.Bytes[role]
		fmt.Fprintf(out, "control bytes a second, %s (%d): mean %.0f p99 %.0f max %.0f\n",
			role, bytes.Daemons, bytes.Both.Mean, bytes.Both.P99, bytes.Both.Max)
	}
	for _, violation := range report.Violations {
		fmt.Fprintf(out, "violation (%s): %s\n", violation.Invariant, violation.Detail)
	}
	return nil
}
