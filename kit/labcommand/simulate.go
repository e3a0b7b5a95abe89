package labcommand

import (
	"fmt"
	"os"
	"strings"

	"github.com/lotusferry/lotusferry/kit/simulate"
	"github.com/lotusferry/lotusferry/structs"
	"github.com/pkg/errors"
)

const (
	// mutationHelp is the value of --mutate that lists the mutations.
	mutationHelp = "help"
	// shrinkAttempts is the maximum number of runs for shrinking a violation.
	shrinkAttempts = 60
	// maxTraceLines is the number of trailing trace lines printed per violation.
	maxTraceLines = 20
	// maxViolations is the maximum number of violations printed.
	maxViolations = 3
)

type simulateCommand struct {
	session     *session
	Scenario    string `long:"scenario" default:"all" description:"name of a scenario listed by the command scenarios, or all"`
	Seed        uint64 `long:"seed" default:"1" description:"the first seed"`
	Seeds       int    `long:"seeds" default:"1" description:"the number of seeds"`
	Workers     int    `long:"workers" description:"number of seeds run in parallel; one per processor if 0"`
	StopAfter   int    `long:"stop-after" description:"stop after this number of violations; never if 0"`
	Mutate      string `long:"mutate" description:"disable the safeguard of this name; help lists them"`
	Replay      string `long:"replay" description:"run this replay file again"`
	WriteReplay string `long:"write-replay" description:"write a replay file of the first violation"`
	Trace       bool   `long:"trace" description:"print every line of the trace of one seed"`
	JSON        bool   `long:"json" description:"print the result as JSON"`
}

// Execute implements go-flags.Commander.
func (c *simulateCommand) Execute([]string) error {
	if c.Mutate == mutationHelp {
		return c.listMutations()
	}
	result, err := c.run()
	if err != nil {
		return err
	}
	if err := c.shrink(&result); err != nil {
		return err
	}
	if err := c.print(result); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return errViolation
	}
	return nil
}

func (c *simulateCommand) run() (simulate.Result, error) {
	if c.Replay != "" {
		return c.replay()
	}
	options := simulate.Options{
		Scenario:  c.Scenario,
		Seed:      c.Seed,
		Seeds:     c.Seeds,
		Mutation:  c.Mutate,
		Workers:   c.Workers,
		StopAfter: c.StopAfter,
	}
	if c.Trace {
		options.Sink = func(line string) { fmt.Fprintln(c.session.Output, line) }
	}
	return simulate.Run(options)
}

func (c *simulateCommand) replay() (simulate.Result, error) {
	file, err := os.Open(c.Replay)
	if err != nil {
		return simulate.Result{}, structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("the replay file cannot be opened: %v", err), "Give a file that --write-replay wrote.")
	}
	defer file.Close()
	return simulate.Replay(file)
}

// shrink removes faults that are not needed to reproduce the first violation, and
// writes its replay file if --write-replay is set.
func (c *simulateCommand) shrink(result *simulate.Result) error {
	if len(result.Violations) == 0 || c.Replay != "" {
		return nil
	}
	smallest, err := simulate.Shrink(result.Violations[0], shrinkAttempts)
	if err != nil {
		return err
	}
	result.Violations[0] = smallest
	if c.WriteReplay == "" {
		return nil
	}
	file, err := os.Create(c.WriteReplay)
	if err != nil {
		return errors.Wrap(err, "create the replay file")
	}
	if err := simulate.WriteReplay(file, smallest); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "write the replay file")
}

func (c *simulateCommand) print(result simulate.Result) error {
	if c.JSON {
		return c.session.printJSON(result)
	}
	out := c.session.Output
	fmt.Fprintf(out, "%s: seeds %d to %d, %d runs, %d violations, trace hash %s\n",
		result.Scenario, result.Seed, result.Seed+uint64(max(result.Seeds, 1))-1, result.Runs, len(result.Violations), result.TraceHash)
	fmt.Fprintf(out, "%.2f simulated hours in %.1f s: %.3f simulated hours a second\n",
		result.SimulatedHours, result.RealSeconds, result.HoursPerSecond)
	for i, violation := range result.Violations {
		if i == maxViolations {
			fmt.Fprintf(out, "and %d more violations\n", len(result.Violations)-maxViolations)
			break
		}
		c.printViolation(violation)
	}
	return nil
}

func (c *simulateCommand) printViolation(violation simulate.Violation) {
	out := c.session.Output
	fmt.Fprintf(out, "\nviolation of %s in %s, seed %d, after %v: %s\n",
		violation.Checker, violation.Scenario, violation.Seed, violation.At, violation.Message)
	for _, fault := range violation.Faults {
		fmt.Fprintf(out, "  fault %s at %v for %v %s %s\n", fault.Kind, fault.At, fault.For, fault.Target, fault.Peer)
	}
	first := max(len(violation.Trace)-maxTraceLines, 0)
	fmt.Fprintln(out, "  "+strings.Join(violation.Trace[first:], "\n  "))
}

func (c *simulateCommand) listMutations() error {
	mutations := simulate.Mutations()
	if c.JSON {
		return c.session.printJSON(mutations)
	}
	for _, mutation := range mutations {
		fmt.Fprintf(c.session.Output, "%-20s %-10s %s Detected by: %s.\n",
			mutation.Name, mutation.Scenario, mutation.Sentence, strings.Join(mutation.Checkers, ", "))
	}
	return nil
}
