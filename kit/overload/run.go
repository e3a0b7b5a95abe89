package overload

import (
	"context"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// DefaultLength is the default arrival period of a scenario, in virtual time.
const DefaultLength = 30 * time.Second

// Options configures Run.
type Options struct {
	// Seed is the first of Seeds consecutive seeds.
	Seed  uint64
	Seeds int
	// Workers is the number of parallel runs; GOMAXPROCS if 0.
	Workers int
	// Length is the arrival period of each scenario; DefaultLength if 0.
	Length time.Duration
	// Scenario is a prefix of the scenario names to run, and Policy the policy to
	// run. Empty selects all.
	Scenario string
	Policy   string
}

// Report is the result of Run.
type Report struct {
	Seed  uint64 `json:"seed"`
	Seeds int    `json:"seeds"`
	// Capacity is the load factor 1 of the scenarios, in answers per second.
	Capacity   Figure           `json:"capacity"`
	Scenarios  []ScenarioReport `json:"scenarios"`
	Requests   int              `json:"requests"`
	Violations []Violation      `json:"violations"`
}

// ScenarioReport holds the metrics of one scenario under one policy.
type ScenarioReport struct {
	Scenario string   `json:"scenario"`
	Policy   string   `json:"policy"`
	Figures  []Figure `json:"figures"`
}

// Figure aggregates one metric over the seeds. Shares are in [0, 1], times in seconds.
type Figure struct {
	Name    string  `json:"name"`
	Mean    float64 `json:"mean"`
	Lowest  float64 `json:"lowest"`
	Highest float64 `json:"highest"`
	seeds   int
}

func (f *Figure) add(value float64) {
	if f.seeds == 0 {
		f.Lowest, f.Highest = value, value
	}
	f.seeds++
	f.Mean += (value - f.Mean) / float64(f.seeds)
	f.Lowest = min(f.Lowest, value)
	f.Highest = max(f.Highest, value)
}

// Find returns the figure with the given name, and whether it was measured.
func (r *ScenarioReport) Find(name string) (found Figure, ok bool) {
	for _, figure := range r.Figures {
		if figure.Name == name {
			return figure, true
		}
	}
	return Figure{}, false
}

// job is one run; its result is written by one worker.
type job struct {
	seed       uint64
	policy     string
	scenario   scenario
	figures    []measurement
	requests   int
	violations []Violation
}

// Run simulates the selected scenarios and policies with every seed. It returns an
// error of kind ErrorInvalid if the options select no run, or the context's error.
func Run(ctx context.Context, options Options) (Report, error) {
	options = options.withDefaults()
	report := Report{Seed: options.Seed, Seeds: options.Seeds, Violations: []Violation{}}
	report.Capacity.Name = "capacity_per_second"
	capacities := make([]float64, options.Seeds)
	parallel(ctx, options.Workers, options.Seeds, func(index int) {
		capacities[index] = measureCapacity(options.Seed + uint64(index))
	})
	var jobs []*job
	for index, capacity := range capacities {
		report.Capacity.add(capacity)
		jobs = append(jobs, options.jobs(options.Seed+uint64(index), capacity)...)
	}
	if len(jobs) == 0 && ctx.Err() == nil {
		return report, structs.NewError(structs.ErrorInvalid, "no scenario or policy has that name",
			"Name a scenario by the beginning of its name and a policy by its name, or none for all.")
	}
	parallel(ctx, options.Workers, len(jobs), func(index int) { jobs[index].run() })
	report.combine(jobs)
	return report, ctx.Err()
}

func (o Options) withDefaults() Options {
	if o.Seeds <= 0 {
		o.Seeds = 1
	}
	if o.Workers <= 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	if o.Length <= 0 {
		o.Length = DefaultLength
	}
	return o
}

func (o Options) jobs(seed uint64, capacity float64) []*job {
	var jobs []*job
	for _, wanted := range scenarios(capacity, o.Length) {
		if !strings.HasPrefix(wanted.name, o.Scenario) {
			continue
		}
		for _, policy := range Policies() {
			if o.Policy == "" || o.Policy == policy {
				jobs = append(jobs, &job{seed: seed, policy: policy, scenario: wanted})
			}
		}
	}
	return jobs
}

func (j *job) run() {
	made := newSimulation(j.seed, j.policy, j.scenario)
	made.run()
	j.figures = made.measure()
	j.requests = len(made.calls)
	j.violations = made.violations
}

// parallel calls work for each index in [0, count) until the context is done.
func parallel(ctx context.Context, workers, count int, work func(index int)) {
	indexes := make(chan int)
	var group sync.WaitGroup
	for range min(workers, count) {
		group.Go(func() {
			for index := range indexes {
				work(index)
			}
		})
	}
	for index := range count {
		if ctx.Err() != nil {
			break
		}
		indexes <- index
	}
	close(indexes)
	group.Wait()
}

// combine adds the results of jobs to the report in order, so that it does not
// depend on scheduling.
func (r *Report) combine(jobs []*job) {
	places := map[[2]string]int{}
	for _, done := range jobs {
		key := [2]string{done.scenario.name, done.policy}
		place, known := places[key]
		if !known {
			place = len(r.Scenarios)
			places[key] = place
			r.Scenarios = append(r.Scenarios, ScenarioReport{Scenario: done.scenario.name, Policy: done.policy})
		}
		for _, value := range done.figures {
			r.Scenarios[place].add(value)
		}
		r.Requests += done.requests
		r.Violations = append(r.Violations, done.violations...)
	}
}

func (r *ScenarioReport) add(value measurement) {
	for index := range r.Figures {
		if r.Figures[index].Name == value.name {
			r.Figures[index].add(value.value)
			return
		}
	}
	added := Figure{Name: value.name}
	added.add(value.value)
	r.Figures = append(r.Figures, added)
}
