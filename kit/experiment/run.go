package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/kit/experiment/workload"
	"github.com/lotusferry/lotusferry/kit/lab"
	"github.com/lotusferry/lotusferry/structs"
)

// Options say what to run. Each combination of site, seed, faults and policy is
// one run.
type Options struct {
	Sites    []string
	Days     int
	Seeds    []uint64
	Policies []Policy
	// Faults says for which settings of faults to run: false, true or both.
	Faults []bool
	// NoOffers keeps a call that finds no ready replica waiting in its own zone, also
	// when another zone has one.
	NoOffers bool
	// Trace, when not nil, replaces the generated workload; it needs one site.
	Trace []workload.Arrival
	// Waits, when not nil, is told of each cold call that had to wait; runs that go side
	// by side tell it at once.
	Waits func(Wait)
	// Workers is how many runs go side by side; 4 if not positive.
	Workers int
	// Progress, when not nil, is called as each run ends.
	Progress func(Run)
}

const (
	defaultWorkers = 4
	maxDays        = 366
	day            = 24 * time.Hour
)

type job struct {
	site   lab.Site
	seed   uint64
	faults bool
	policy Policy
}

// Execute makes all runs and returns them in the order of sites, faults, seeds
// and policies. Options that name no site, seed or policy, or an unknown one, are
// refused with structs.ErrorInvalid.
func Execute(ctx context.Context, options Options) ([]Run, error) {
	jobs, err := options.jobs()
	if err != nil {
		return nil, err
	}
	workers := options.Workers
	if workers <= 0 {
		workers = defaultWorkers
	}
	runs := make([]Run, len(jobs))
	failures := make([]error, len(jobs))
	queue := make(chan int)
	var done sync.WaitGroup
	var progress sync.Mutex
	for range workers {
		done.Go(func() {
			for i := range queue {
				runs[i], failures[i] = options.run(jobs[i])
				if options.Progress != nil && failures[i] == nil {
					progress.Lock()
					options.Progress(runs[i])
					progress.Unlock()
				}
			}
		})
	}
	for i := range jobs {
		if ctx.Err() != nil {
			break
		}
		queue <- i
	}
	close(queue)
	done.Wait()
	for _, failure := range append(failures, ctx.Err()) {
		if failure != nil {
			return nil, failure
		}
	}
	return runs, nil
}

func (o Options) jobs() ([]job, error) {
	if o.Days < 1 || o.Days > maxDays || len(o.Sites) == 0 || len(o.Seeds) == 0 || len(o.Policies) == 0 || len(o.Faults) == 0 {
		return nil, structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("an experiment needs 1 to %d days, and a site, seed, policy and setting of faults", maxDays),
			"Name at least one of each, and a number of days in that range.")
	}
	if o.Trace != nil && len(o.Sites) != 1 {
		return nil, structs.NewError(structs.ErrorInvalid, "a trace is of one site", "Name the site of the trace and no other.")
	}
	var jobs []job
	for _, name := range o.Sites {
		site, err := lab.SiteByName(name)
		if err != nil {
			return nil, err
		}
		for _, faults := range o.Faults {
			for _, seed := range o.Seeds {
				for _, policy := range o.Policies {
					jobs = append(jobs, job{site, seed, faults, policy})
				}
			}
		}
	}
	return jobs, nil
}

// ShapeOf returns what a workload generator and a trace need to know of the site.
func ShapeOf(site lab.Site) workload.Shape {
	shape := workload.Shape{Rows: site.Rows}
	for _, zone := range site.Zones {
		shape.Zones = append(shape.Zones, zone.ID)
		shape.RoutersPerZone = zone.Daemons
	}
	return shape
}

func (o Options) run(j job) (Run, error) {
	arrivals := o.Trace
	if arrivals == nil {
		var err error
		if arrivals, err = workload.Generate(j.site.Name, ShapeOf(j.site), o.Days, j.seed); err != nil {
			return Run{}, err
		}
	}
	w := newWorld(j.site, arrivals, j.seed, j.faults)
	if err := w.setPlanners(j.policy); err != nil {
		return Run{}, err
	}
	w.offers = !o.NoOffers
	if o.Waits != nil {
		w.waits = &waitTracer{world: w, note: o.Waits, open: map[*request]map[WaitCause]time.Duration{}}
	}
	began := time.Now()
	length := time.Duration(o.Days) * day
	w.run(length)
	result := w.result(length)
	result.Site, result.Policy, result.Seed, result.Faults = j.site.Name, j.policy, j.seed, j.faults
	result.RealSeconds = time.Since(began).Seconds()
	return result, nil
}
