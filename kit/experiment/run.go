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

// Options selects the runs of an experiment: one for each combination of site, faults,
// seed and policy.
type Options struct {
	Sites    []string
	Days     int
	Seeds    []uint64
	Policies []Policy
	// Faults lists the fault settings to run: false, true or both.
	Faults []bool
	// NoOffers keeps a request without a ready replica in its own zone, even if another
	// zone has one.
	NoOffers bool
	// Trace, if not nil, replaces the generated workload; it requires exactly one site.
	Trace []workload.Arrival
	// Waits, if not nil, is called for each cold request that had to wait. Concurrent
	// runs call it concurrently.
	Waits func(Wait)
	// Workers is the number of concurrent runs; 4 if not positive.
	Workers int
	// Progress, if not nil, is called at the end of each run, never concurrently.
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

// Execute performs all runs and returns them in the order of sites, faults, seeds and
// policies. It returns an error of kind structs.ErrorInvalid if a site, seed, policy or
// fault setting is missing or the options are otherwise invalid.
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
			fmt.Sprintf("an experiment needs 1 to %d days and at least one site, seed, policy and fault setting", maxDays),
			"Specify at least one of each, and a number of days in that range.")
	}
	if o.Trace != nil && len(o.Sites) != 1 {
		return nil, structs.NewError(structs.ErrorInvalid, "a trace requires exactly one site", "Specify only the site of the trace.")
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

// ShapeOf returns the description of the site for workload generators and traces.
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
	w := newSimulation(j.site, arrivals, j.seed, j.faults)
	if err := w.setPlanners(j.policy); err != nil {
		return Run{}, err
	}
	w.offers = !o.NoOffers
	if o.Waits != nil {
		w.waits = &waitTracer{sim: w, report: o.Waits, pending: map[*request]map[WaitCause]time.Duration{}}
	}
	began := time.Now()
	length := time.Duration(o.Days) * day
	w.run(length)
	result := w.result(length)
	result.Site, result.Policy, result.Seed, result.Faults = j.site.Name, j.policy, j.seed, j.faults
	result.RealSeconds = time.Since(began).Seconds()
	return result, nil
}
