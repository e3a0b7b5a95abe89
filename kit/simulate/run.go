package simulate

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/lotusferry/lotusferry/structs"
	"golang.org/x/sync/errgroup"
)

// seedPlan is the input of one seed's run.
type seedPlan struct {
	seed     uint64
	mutation string
	// plans lists the fault plans; if empty, the faults are drawn from all kinds.
	plans []string
	// faults, if not nil, replaces the planned faults.
	faults []Fault
	// only, if set, is the only checker whose reports count.
	only string
	sink func(line string)
}

// seedOutcome is the result of one seed's run.
type seedOutcome struct {
	ran       bool
	violation *Violation
	traceHash uint64
	simulated time.Duration
	counts    Counts
	// taken counts the observed transitions of the specification.
	taken map[string]int
}

// job is one seed of one scenario.
type job struct {
	scenario scenario
	// name is the scenario name with its plans.
	name string
	plan seedPlan
}

func (j job) run() seedOutcome {
	outcome := j.scenario.run(j.plan)
	outcome.ran = true
	if outcome.violation != nil {
		outcome.violation.Scenario = j.name
	}
	return outcome
}

// Run simulates the seeds Seed to Seed+Seeds-1. Violations are part of the result;
// invalid options give an ErrorInvalid.
func Run(options Options) (Result, error) {
	jobs, err := options.jobs()
	if err != nil {
		return Result{}, err
	}
	started := time.Now()
	outcomes := runJobs(jobs, options)
	result := combine(options, outcomes)
	result.RealSeconds = time.Since(started).Seconds()
	result.HoursPerSecond = result.SimulatedHours / max(result.RealSeconds, time.Millisecond.Seconds())
	return result, nil
}

// jobs sets defaults and returns the runs of the options.
func (o *Options) jobs() ([]job, error) {
	if o.Scenario == "" {
		o.Scenario = tableScenarioName
	}
	if o.Seeds <= 0 {
		o.Seeds = 1
	}
	if o.Workers <= 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	if o.Sink != nil && (o.Seeds > 1 || o.Scenario == AllScenarios) {
		return nil, structs.NewError(structs.ErrorInvalid, "a sink requires a single seed", "Run one seed to get its trace lines.")
	}
	if o.Scenario == AllScenarios {
		return o.allJobs()
	}
	known, plans, err := findScenario(o.Scenario)
	if err != nil {
		return nil, err
	}
	if !known.hasMutation(o.Mutation) {
		return nil, unknownMutation(o.Scenario, o.Mutation)
	}
	var jobs []job
	for i := range uint64(o.Seeds) {
		jobs = append(jobs, o.job(known, o.Scenario, plans, o.Seed+i))
	}
	return jobs, nil
}

// allJobs returns, for each seed, a run of every scenario with faults of all kinds
// and one with the next of its plans or pairs of plans.
func (o *Options) allJobs() ([]job, error) {
	var jobs []job
	for i := range uint64(o.Seeds) {
		seed := o.Seed + i
		for _, known := range scenarios() {
			if !known.hasMutation(o.Mutation) {
				continue
			}
			jobs = append(jobs, o.job(known, known.info.Name, nil, seed))
			if combinations := known.combinations(); len(combinations) > 0 {
				name := combinations[seed%uint64(len(combinations))]
				_, joined, _ := strings.Cut(name, planSeparator)
				jobs = append(jobs, o.job(known, name, strings.Split(joined, planJoiner), seed))
			}
		}
	}
	if len(jobs) == 0 {
		return nil, unknownMutation(o.Scenario, o.Mutation)
	}
	return jobs, nil
}

func (o *Options) job(known scenario, name string, plans []string, seed uint64) job {
	return job{
		scenario: known,
		name:     name,
		plan:     seedPlan{seed: seed, mutation: o.Mutation, plans: plans, faults: o.Faults, sink: o.Sink},
	}
}

func unknownMutation(scenario, name string) error {
	return structs.NewError(structs.ErrorInvalid,
		fmt.Sprintf("scenario %q has no mutation %q", scenario, name), "Choose one that Mutations lists.")
}

func runJobs(jobs []job, options Options) []seedOutcome {
	outcomes := make([]seedOutcome, len(jobs))
	var found atomic.Int64
	var group errgroup.Group
	group.SetLimit(options.Workers)
	for i := range outcomes {
		group.Go(func() error {
			if options.StopAfter > 0 && found.Load() >= int64(options.StopAfter) {
				return nil
			}
			outcomes[i] = jobs[i].run()
			if outcomes[i].violation != nil {
				found.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return outcomes
}

// combine merges the outcomes in job order, independent of the order of execution.
func combine(options Options, outcomes []seedOutcome) Result {
	result := Result{
		Scenario:   options.Scenario,
		Seed:       options.Seed,
		Seeds:      options.Seeds,
		Mutation:   options.Mutation,
		Violations: []Violation{},
	}
	digest := xxhash.New()
	var simulated time.Duration
	for _, outcome := range outcomes {
		if !outcome.ran {
			continue
		}
		result.Runs++
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, outcome.traceHash))
		simulated += outcome.simulated
		result.Counts.add(outcome.counts)
		if outcome.violation != nil {
			result.Violations = append(result.Violations, *outcome.violation)
		}
	}
	result.TraceHash = formatHash(digest.Sum64())
	result.SimulatedHours = simulated.Hours()
	return result
}

func formatHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }
