package labcommand

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/kit/experiment"
	"github.com/lotusferry/lotusferry/kit/experiment/report"
	"github.com/lotusferry/lotusferry/kit/experiment/workload"
	"github.com/lotusferry/lotusferry/kit/lab"
	"github.com/lotusferry/lotusferry/structs"
)

type experimentCommand struct {
	session  *session
	Sites    []string `long:"site" default:"padano" default:"meknes" description:"site of the workload; may be repeated"`
	Days     int      `long:"days" default:"7" description:"days of virtual time"`
	Seed     uint64   `long:"seed" default:"1" description:"first random seed of calls and faults"`
	Seeds    int      `long:"seeds" default:"1" description:"number of consecutive seeds"`
	Policies string   `long:"policy" default:"lotusferry,lru,keep-alive,static,oracle" description:"comma-separated policies; lotusferry@120 sets the cost of a cold start"`
	Faults   string   `long:"faults" default:"off" choice:"on" choice:"off" choice:"both" description:"crashes, reclaimed machines, a slow store and cut-off zones"`
	Offers   string   `long:"offers" default:"on" choice:"on" choice:"off" description:"whether a call goes to another zone with a ready replica when its own has none"`
	Trace    string   `long:"trace" description:"CSV file of recorded calls, instead of the generated workload"`
	Record   string   `long:"record" description:"CSV file to write the first seed's generated calls to"`
	Waits    string   `long:"waits" description:"CSV file to write what each cold call waited for to"`
	Report   string   `long:"report" description:"folder for report.html and report.json"`
	Workers  int      `long:"workers" default:"4" description:"number of parallel runs"`
	JSON     bool     `long:"json" description:"print the report as JSON"`
}

// Execute implements go-flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	progress := c.session.Output
	if c.JSON {
		progress = io.Discard
	}
	options.Progress = func(run experiment.Run) { printRun(progress, run) }
	runs, err := c.execute(options)
	if err != nil {
		return err
	}
	result := report.New(c.command(), c.Days, runs)
	if c.Report != "" {
		if err := result.WriteFolder(c.Report); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := c.session.printJSON(result); err != nil {
			return err
		}
	}
	printTargets(progress, result)
	if len(result.Violations) > 0 {
		return errViolation
	}
	return nil
}

// execute executes the runs and writes the waits if --waits is set.
func (c *experimentCommand) execute(options experiment.Options) ([]experiment.Run, error) {
	if c.Waits == "" {
		return experiment.Execute(c.session.ctx, options)
	}
	file, err := os.Create(c.Waits)
	if err != nil {
		return nil, errors.Wrap(err, "create the waits file")
	}
	defer file.Close()
	writer, err := experiment.NewWaitWriter(file)
	if err != nil {
		return nil, err
	}
	options.Waits = writer.Write
	runs, err := experiment.Execute(c.session.ctx, options)
	if err != nil {
		return nil, err
	}
	if err := writer.Flush(); err != nil {
		return nil, err
	}
	return runs, errors.Wrap(file.Close(), "write the waits")
}

// command returns the command line that reproduces the experiment.
func (c *experimentCommand) command() string {
	parts := []string{"lotusferrylab experiment"}
	for _, site := range c.Sites {
		parts = append(parts, "--site "+site)
	}
	parts = append(parts, fmt.Sprintf("--days %d --seed %d --seeds %d --policy %s --faults %s --offers %s", c.Days, c.Seed, c.Seeds, c.Policies, c.Faults, c.Offers))
	if c.Trace != "" {
		parts = append(parts, "--trace "+c.Trace)
	}
	return strings.Join(parts, " ")
}

func printTargets(out io.Writer, result report.Report) {
	for _, group := range result.Groups {
		for _, target := range group.Targets {
			verdict := "missed"
			if target.Met {
				verdict = "met"
			}
			fmt.Fprintf(out, "%s, faults %v: %s: %.3f, bound %g: %s (%s)\n",
				group.Site, group.Faults, target.Name, target.Measured, target.Bound, verdict, target.Detail)
		}
	}
}

func (c *experimentCommand) options() (experiment.Options, error) {
	options := experiment.Options{Sites: c.Sites, Days: c.Days, Workers: c.Workers, NoOffers: c.Offers == "off"}
	for i := range c.Seeds {
		options.Seeds = append(options.Seeds, c.Seed+uint64(i))
	}
	for _, policy := range strings.Split(c.Policies, ",") {
		options.Policies = append(options.Policies, experiment.Policy(policy))
	}
	if c.Faults != "on" {
		options.Faults = append(options.Faults, false)
	}
	if c.Faults != "off" {
		options.Faults = append(options.Faults, true)
	}
	if c.Trace == "" && c.Record == "" {
		return options, nil
	}
	if len(c.Sites) != 1 {
		return options, structs.NewError(structs.ErrorInvalid, "a trace is of one site", "Give --site once, with the site of the trace.")
	}
	site, err := lab.SiteByName(c.Sites[0])
	if err != nil {
		return options, err
	}
	if c.Record != "" {
		return options, c.record(site)
	}
	options.Trace, err = readTrace(c.Trace, experiment.ShapeOf(site))
	return options, err
}

func readTrace(path string, shape workload.Shape) ([]workload.Arrival, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open the trace")
	}
	defer file.Close()
	return workload.ReadTrace(file, shape)
}

// record writes the calls generated with the first seed as a trace.
func (c *experimentCommand) record(site lab.Site) error {
	arrivals, err := workload.Generate(site.Name, experiment.ShapeOf(site), c.Days, c.Seed)
	if err != nil {
		return err
	}
	file, err := os.Create(c.Record)
	if err != nil {
		return errors.Wrap(err, "create the trace")
	}
	if err := workload.WriteTrace(file, arrivals); err != nil {
		file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "write the trace")
}

func printRun(out io.Writer, run experiment.Run) {
	faults := "off"
	if run.Faults {
		faults = "on"
	}
	fmt.Fprintf(out, "%s seed %d faults %s %-10s live %d cold %.2f%% wait p99 %.2f s p99.9 %.2f s; cold start p50 %.2f p99 %.2f p99.9 %.2f s; live in time %.3f%% gate %.3f%%; idle %.0f h; loads/h %.1f; violations %d; %.0f us a plan, %.1f s\n",
		run.Site, run.Seed, faults, run.Policy, run.Live, 100*run.ColdShare, run.ColdWait.P99, run.ColdWait.P999,
		run.ColdStart.P50, run.ColdStart.P99, run.ColdStart.P999, 100*run.LiveInTime, 100*run.GateInTime,
		run.IdleHours, run.LoadsPerHour, len(run.Violations), run.PlanMicrosecond, run.RealSeconds)
	for _, violation := range run.Violations {
		fmt.Fprintf(out, "  violation (%s): %s\n", violation.Invariant, violation.Detail)
	}
}
