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

// Environment is what the command line needs of its process.
type Environment struct {
	Output io.Writer
	Errors io.Writer
	// DaemonCommand starts a daemon; "--config FILE" is appended.
	DaemonCommand []string
}

// errViolation ends a run that found a violation, after its report was printed.
var errViolation = errors.New("what must always hold did not hold")

// errWorse ends a comparison whose second report is worse than the first.
var errWorse = errors.New("the second report is worse")

// session is shared by all commands of one call.
type session struct {
	Environment
	ctx    context.Context
	logger log.Logger
}

type commandLine struct {
	Demo       demoCommand       `command:"demo" description:"Bring up a small site, send requests, edit the table, and report"`
	Fleet      fleetCommand      `command:"fleet" description:"Run a whole site as processes under load and faults, and check it"`
	Platform   platformCommand   `command:"platform" description:"Run stand-ins for engines, weight store and machine list for a site of your own settings"`
	Load       loadCommand       `command:"load" description:"Put load on routers that run, and measure what callers see"`
	Compare    compareCommand    `command:"compare" description:"Compare two reports of the commands fleet or load"`
	Experiment experimentCommand `command:"experiment" description:"Replay days of a site's calls in virtual time, and compare ways to place replicas"`
	Overload   overloadCommand   `command:"overload" description:"Measure goodput, waits, refusals and fairness beyond capacity, beside baselines"`
	Simulate   simulateCommand   `command:"simulate" description:"Run whole sites in one process and in virtual time, from seeds, with faults"`
	Scenarios  scenariosCommand  `command:"scenarios" description:"List what fails, and which command brings it about"`
	Capacity   capacityCommand   `command:"capacity" description:"Measure what each role costs, as slopes over several sizes"`
	Soak       soakCommand       `command:"soak" description:"Run the roles of the users' platform as processes on loopback addresses under faults from outside, and check them"`
}

// Run runs the command line and returns the exit code.
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

// printJSON writes a report, indented.
func (s *session) printJSON(report any) error {
	encoder := json.NewEncoder(s.Output)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write the report")
}

// newFolder makes the folder of a run below the system's temporary folder.
func newFolder(name string) (string, error) {
	folder, err := os.MkdirTemp("", "lotusferrylab-"+name+"-")
	return folder, errors.Wrap(err, "make the run's folder")
}
