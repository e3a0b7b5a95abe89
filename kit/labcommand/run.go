package labcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// The exit codes.
const (
	ExitOK        = 0
	ExitFailed    = 1
	ExitUsage     = 2
	ExitViolation = 3
	ExitWorse     = 4
)

// Environment holds the streams and the daemon command of a command line.
type Environment struct {
	Output io.Writer
	Errors io.Writer
	// DaemonCommand is the command that starts a daemon, without "--config FILE".
	DaemonCommand []string
}

// errViolation is returned by a run that found violations, after printing its report.
var errViolation = errors.New("an invariant was violated")

// errWorse is returned by a comparison in which the second report is worse.
var errWorse = errors.New("the second report is worse")

// session holds the state shared by the commands.
type session struct {
	Environment
	ctx    context.Context
	logger log.Logger
}

type commandLine struct {
	Demo       demoCommand       `command:"demo" description:"Start a small site, send requests, edit the table, and print a report"`
	Fleet      fleetCommand      `command:"fleet" description:"Run a whole site as processes under load and faults, and check it"`
	Platform   platformCommand   `command:"platform" description:"Run stand-ins for the engines, weight store and machine list of a configured site"`
	Load       loadCommand       `command:"load" description:"Generate load on running routers, and measure it at the callers"`
	Compare    compareCommand    `command:"compare" description:"Compare two reports of the commands fleet or load"`
	Experiment experimentCommand `command:"experiment" description:"Replay days of a site's calls in virtual time, and compare placement policies"`
	Overload   overloadCommand   `command:"overload" description:"Measure goodput, waits, refusals and fairness under overload, compared with baselines"`
	Simulate   simulateCommand   `command:"simulate" description:"Run whole sites in one process and in virtual time, from seeds, with faults"`
	Scenarios  scenariosCommand  `command:"scenarios" description:"List failures, and the commands that reproduce them"`
	Capacity   capacityCommand   `command:"capacity" description:"Measure the resource costs of each role, as slopes over several sizes"`
	Crowd      crowdCommand      `command:"crowd" description:"Run routers before crowded runners as processes, and check that nothing refused runs, nothing runs twice and nothing is lost"`
	Release    releaseCommand    `command:"release" description:"Replace runners by those of new software versions while all routers are killed at once, and check that streams keep to their version"`
	Soak       soakCommand       `command:"soak" description:"Run the roles of the users' platform as processes on loopback addresses under injected faults, and check them"`
}

// Run executes a command line and returns the exit code.
func Run(ctx context.Context, arguments []string, environment Environment) int {
	shared := &session{Environment: environment, ctx: ctx, logger: log.NewNopLogger()}
	line := commandLine{
		Demo:       demoCommand{session: shared},
		Fleet:      fleetCommand{session: shared},
		Platform:   platformCommand{session: shared},
		Load:       loadCommand{session: shared},
		Compare:    compareCommand{session: shared},
		Experiment: experimentCommand{session: shared},
		Overload:   overloadCommand{session: shared},
		Simulate:   simulateCommand{session: shared},
		Scenarios:  scenariosCommand{session: shared},
		Capacity:   capacityCommand{session: shared},
		Crowd:      crowdCommand{session: shared},
		Release:    releaseCommand{session: shared},
		Soak:       soakCommand{session: shared},
	}
	parser := flags.NewNamedParser("lotusferrylab", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &line); err != nil {
		fmt.Fprintln(environment.Errors, err)
		return ExitFailed
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("the argument %q is not expected: see --help", rest[0])}
		}
		return command.Execute(rest)
	}
	_, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		fmt.Fprintln(environment.Output, err)
		return ExitOK
	}
	return exitCode(environment.Errors, err)
}

func exitCode(failures io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(failures, err)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, errViolation):
		return ExitViolation
	case errors.Is(err, errWorse):
		return ExitWorse
	}
	return ExitFailed
}

// printJSON writes a report as indented JSON.
func (s *session) printJSON(report any) error {
	encoder := json.NewEncoder(s.Output)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write the report")
}

// newFolder creates a temporary folder for a run.
func newFolder(name string) (string, error) {
	folder, err := os.MkdirTemp("", "lotusferrylab-"+name+"-")
	return folder, errors.Wrap(err, "create the run folder")
}
