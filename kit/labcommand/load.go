package labcommand

import (
	"fmt"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/kit/experiment"
	"github.com/lotusferry/lotusferry/kit/lab"
)

// traceSuffix distinguishes a trace file from the name of a site in --workload.
const traceSuffix = ".csv"

type loadCommand struct {
	session     *session
	Targets     []string      `long:"target" required:"yes" description:"base URL of a router; may be repeated, calls go to each in turn" value-name:"URL"`
	AllowRemote bool          `long:"allow-remote" description:"permit targets that are not loopback addresses"`
	Key         string        `long:"key" env:"LOTUSFERRY_API_KEY" description:"caller's API key" value-name:"KEY"`
	Rate        float64       `long:"rate" default:"10" description:"calls per second of a site workload"`
	For         time.Duration `long:"for" default:"60s" description:"duration of the load"`
	Workload    string        `long:"workload" default:"padano" description:"padano, meknes, demo, or a CSV file of recorded calls" value-name:"SITE|FILE.csv"`
	Site        string        `long:"site" default:"padano" description:"site of the recorded calls"`
	From        time.Duration `long:"from" description:"offset into the recorded calls at which to start"`
	Speed       float64       `long:"speed" default:"1" description:"speed factor of the recorded calls"`
	Seed        uint64        `long:"seed" default:"1" description:"random seed of calls and prompts"`
	Check       bool          `long:"check-answers" description:"compare each answer with that of the stand-in engines"`
	Report      string        `long:"report" description:"folder for report.html and report.json" value-name:"DIR"`
	JSON        bool          `long:"json" description:"print the report as JSON"`
}

// Execute implements go-flags.Commander.
func (c *loadCommand) Execute([]string) error {
	plan, err := c.plan()
	if err != nil {
		return err
	}
	view := c.session.progress(c.JSON)
	report, err := lab.RunLoad(c.session.ctx, lab.LoadOptions{
		Targets:      c.Targets,
		AllowRemote:  c.AllowRemote,
		Key:          c.Key,
		Plan:         plan,
		CheckAnswers: c.Check,
		Show:         view.show,
	})
	if err != nil {
		return err
	}
	view.end()
	report.Command = c.command()
	return c.finish(report)
}

func (c *loadCommand) plan() (lab.Plan, error) {
	if !strings.HasSuffix(c.Workload, traceSuffix) {
		site, err := lab.SiteByName(c.Workload)
		if err != nil {
			return lab.Plan{}, err
		}
		return lab.PlanSite(site, c.Rate, c.For, c.Seed)
	}
	site, err := lab.SiteByName(c.Site)
	if err != nil {
		return lab.Plan{}, err
	}
	shape := experiment.ShapeOf(site)
	trace, err := readTrace(c.Workload, shape)
	if err != nil {
		return lab.Plan{}, err
	}
	return lab.PlanTrace(trace, shape, len(c.Targets), lab.Replay{From: c.From, Duration: c.For, Speed: c.Speed, Seed: c.Seed})
}

func (c *loadCommand) finish(report lab.LoadReport) error {
	if c.Report != "" {
		if err := report.WriteFolder(c.Report); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := c.session.printJSON(report); err != nil {
			return err
		}
	} else {
		printTotals(c.session.Output, report.Totals)
		fmt.Fprintf(c.session.Output, "sent late p50 %.4f s p99 %.4f s\n", report.SendLag.P50, report.SendLag.P99)
		printViolations(c.session.Output, report.Violations)
	}
	if len(report.Violations) > 0 {
		return errViolation
	}
	return nil
}

// command returns the command line that reproduces the run, without the API key.
func (c *loadCommand) command() string {
	parts := []string{"lotusferrylab load"}
	for _, target := range c.Targets {
		parts = append(parts, "--target "+target)
	}
	parts = append(parts, fmt.Sprintf("--workload %s --for %v --seed %d", c.Workload, c.For, c.Seed))
	if strings.HasSuffix(c.Workload, traceSuffix) {
		parts = append(parts, fmt.Sprintf("--site %s --from %v --speed %g", c.Site, c.From, c.Speed))
	} else {
		parts = append(parts, fmt.Sprintf("--rate %g", c.Rate))
	}
	if c.AllowRemote {
		parts = append(parts, "--allow-remote")
	}
	if c.Check {
		parts = append(parts, "--check-answers")
	}
	return strings.Join(parts, " ")
}
