package simulate

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/lotusferry/lotusferry/structs"
	"golang.org/x/sync/errgroup"
)

// seedPlan is what one seed's run starts from.
type seedPlan struct {
	seed     uint64
	mutation string
	// faults replaces the planned faults when not nil.
	faults []Fault
	sink   func(line string)
}

// seedOutcome is what one seed's run gave.
type seedOutcome struct {
	ran       bool
	violation *Violation
	traceHash uint64
	simulated time.Duration
	counts    Counts
}

// scenario is a kind of site with its load, faults and checkers.
type scenario struct {
	info      ScenarioInfo
	run       func(plan seedPlan) seedOutcome
	mutations []MutationInfo
}

func scenarios() []scenario {
	return []scenario{tableScenario()}
}

// Scenarios lists what Run can simulate.
func Scenarios() []ScenarioInfo {
	var infos []ScenarioInfo
	for _, known := range scenarios() {
		infos = append(infos, known.info)
	}
	return infos
}

// Mutations lists the safeguards that Run can disable.
func Mutations() []MutationInfo {
	var infos []MutationInfo
	for _, known := range scenarios() {
		infos = append(infos, known.mutations...)
	}
	return infos
}

// Run simulates the seeds Seed to Seed+Seeds-1. Violations are part of the
// result; the error is an ErrorInvalid about the options.
func Run(options Options) (Result, error) {
	chosen, err := options.resolve()
	if err != nil {
		return Result{}, err
	}
	started := time.Now()
	outcomes, err := runSeeds(chosen, options)
	if err != nil {
		return Result{}, err
	}
	result := combine(options, outcomes)
	result.RealSeconds = time.Since(started).Seconds()
	return result, nil
}

// resolve fills in defaults and finds the scenario.
func (o *Options) resolve() (scenario, error) {
	if o.Scenario == "" {
		o.Scenario = tableScenarioName
	}
	if o.Seeds <= 0 {
		o.Seeds = 1
	}
	if o.Workers <= 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	if o.Sink != nil && o.Seeds > 1 {
		return scenario{}, structs.NewError(structs.ErrorInvalid, "a sink was given with many seeds", "Run one seed when you want its lines.")
	}
	for _, known := range scenarios() {
		if known.info.Name == o.Scenario {
			return known, known.checkMutation(o.Mutation)
		}
	}
	return scenario{}, structs.NewError(structs.ErrorInvalid,
		fmt.Sprintf("there is no scenario %q", o.Scenario), "Choose one that Scenarios lists.")
}

func (s scenario) checkMutation(name string) error {
	if name == "" {
		return nil
	}
	for _, mutation := range s.mutations {
		if mutation.Name == name {
			return nil
		}
	}
	return structs.NewError(structs.ErrorInvalid,
		fmt.Sprintf("scenario %q has no mutation %q", s.info.Name, name), "Choose one that Mutations lists.")
}

func runSeeds(chosen scenario, options Options) ([]seedOutcome, error) {
	outcomes := make([]seedOutcome, options.Seeds)
	var found atomic.Int64
	var group errgroup.Group
	group.SetLimit(options.Workers)
	for i := range outcomes {
		group.Go(func() error {
			if options.StopAfter > 0 && found.Load() >= int64(options.StopAfter) {
				return nil
			}
			plan := seedPlan{
				seed:     options.Seed + uint64(i),
				mutation: options.Mutation,
				faults:   options.Faults,
				sink:     options.Sink,
			}
			outcomes[i] = chosen.run(plan)
			outcomes[i].ran = true
			if outcomes[i].violation != nil {
				found.Add(1)
			}
			return nil
		})
	}
	return outcomes, group.Wait()
}

// combine sums the outcomes in the order of the seeds, whatever order they ran in.
func combine(options Options, outcomes []seedOutcome) Result {
	result := Result{
		Scenario:   options.Scenario,
		Seed:       options.Seed,
		Mutation:   options.Mutation,
		Violations: []Violation{},
	}
	digest := xxhash.New()
	var simulated time.Duration
	for _, outcome := range outcomes {
		if !outcome.ran {
			continue
		}
		result.Seeds++
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
