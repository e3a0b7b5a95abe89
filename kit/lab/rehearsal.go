package lab

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/structs"
)

// RehearsalOptions configure a fleet run with load and faults.
type RehearsalOptions struct {
	Fleet FleetOptions
	// Duration is the duration of the load, Rate the number of calls per second.
	Duration time.Duration
	Rate     float64
	// Faults are the names of the fault kinds to inject; none for a run without faults.
	Faults []string
	// Show is called with the progress every second, unless nil.
	Show func(Progress)
}

// RunRehearsal starts a site, applies its table, generates load and faults, and reports
// the results of the checks.
func RunRehearsal(ctx context.Context, logger log.Logger, options RehearsalOptions) (Report, error) {
	fleet, err := StartFleet(ctx, logger, options.Fleet)
	if err != nil {
		return Report{}, err
	}
	defer fleet.Stop()
	editSeconds, err := fleet.ApplyRows(ctx, fleet.Site.Rows)
	if err != nil {
		return Report{}, err
	}
	run := newRehearsal(fleet, options)
	outcomes := run.underLoad(ctx)
	edits, err := run.edits.finish(ctx, run.faults.cuts)
	if err != nil {
		return Report{}, errors.Wrap(err, "read the table at the end of the run")
	}
	report := run.report(outcomes, edits)
	report.EditSeconds = editSeconds
	return report, nil
}

// rehearsal is a run under load.
type rehearsal struct {
	fleet   *Fleet
	options RehearsalOptions
	load    *loadRun
	faults  *faultRun
	edits   *editRun
	began   time.Time
	elapsed time.Duration
}

func newRehearsal(fleet *Fleet, options RehearsalOptions) *rehearsal {
	var routers []target
	for _, process := range fleet.Daemons {
		routers = append(routers, process.target())
	}
	edits := newEditRun(fleet, options.Fleet.Seed)
	return &rehearsal{
		fleet:   fleet,
		options: options,
		load:    newLoadRun(routers),
		faults:  newFaultRun(fleet, edits, options.Faults, options.Fleet.Seed),
		edits:   edits,
	}
}

// underLoad generates load, faults and edits, and waits until all of them have ended.
func (r *rehearsal) underLoad(ctx context.Context) []Outcome {
	arrivals := planArrivals(r.fleet.Site.Rows, r.options.Rate, r.options.Duration, r.options.Fleet.Seed)
	injecting, endFaults := context.WithTimeout(ctx, r.options.Duration)
	defer endFaults()
	sampling, endSampling := context.WithCancel(ctx)
	defer endSampling()
	var others sync.WaitGroup
	r.began = time.Now()
	others.Go(func() { r.faults.run(injecting, sampling) })
	var edits sync.WaitGroup
	edits.Go(func() { r.edits.run(injecting, sampling) })
	endProgress := r.load.showProgress(r.options.Show, r.completeProgress)
	outcomes := r.load.run(ctx, arrivals)
	r.elapsed = time.Since(r.began)
	endProgress()
	endFaults()
	others.Wait()
	r.edits.awaitSettled(ctx)
	endSampling()
	edits.Wait()
	r.faults.markRouterFailures(outcomes)
	return outcomes
}

// completeProgress adds the state of faults and engines.
func (r *rehearsal) completeProgress(progress *Progress) {
	progress.Fault = r.faults.current()
	progress.Replicas, progress.LoadedBytes = r.fleet.Platform.loaded()
}

// report summarizes and checks the run.
func (r *rehearsal) report(outcomes []Outcome, edits editRecords) Report {
	report := newReport(r.fleet, r.options, outcomes, r.elapsed)
	records := r.fleet.Platform.Records()
	report.Timeline = newTimeline(r.began, lastOutcomes(outcomes))
	addLoaded(report.Timeline, r.began, records)
	report.PlannedStops = len(r.faults.stops)
	report.Notices = len(r.faults.notices)
	report.Edits = len(edits.accepted)
	late, taken := checkEdits(edits)
	report.EditInForce = taken
	report.Violations = append(report.Violations, checkPlannedStops(r.faults.stops, outcomes)...)
	report.Violations = append(report.Violations, checkLeaving(r.faults.notices, records)...)
	report.Violations = append(report.Violations, late...)
	report.Violations = append(report.Violations, checkEditFaults(r.faults.editFaults)...)
	report.Faults = append(report.Faults, r.faults.events...)
	return report
}

// newReport summarizes a run from the records of callers and engines.
func newReport(fleet *Fleet, options RehearsalOptions, outcomes []Outcome, elapsed time.Duration) Report {
	report := Report{
		Site:            fleet.Site.Name,
		Seed:            options.Fleet.Seed,
		DurationSeconds: elapsed.Seconds(),
		Daemons:         len(fleet.Daemons),
		Engines:         len(fleet.Platform.Runners),
		Faults:          []FaultEvent{},
	}
	last := lastOutcomes(outcomes)
	cold := newColdStarts(fleet.Platform.Records())
	report.sum(last, cold)
	report.Violations = CheckRecords(fleet.Site.Rows, fleet.Platform, outcomes)
	report.Violations = append(report.Violations, checkAnswered(last)...)
	for _, record := range fleet.Platform.Records() {
		report.IdleAcceleratorHours += record.IdleAccelerator.Hours()
	}
	return report
}

// checkAnswered checks that every request was answered or refused in time.
func checkAnswered(last map[structs.RequestID]Outcome) []Violation {
	var violations []Violation
	for id, outcome := range last {
		if isLost(outcome) {
			violations = append(violations, Violation{"answered", string(id) + " got no terminal answer: " + describe(outcome)})
		}
	}
	return violations
}

// checkPlannedStops checks that planned stops interrupted no request, by the exit codes
// of the daemons and the records of the callers.
func checkPlannedStops(stops []plannedStop, outcomes []Outcome) []Violation {
	var violations []Violation
	for _, stop := range stops {
		if stop.exitCode != daemon.ExitOK {
			violations = append(violations, Violation{"planned_stop", fmt.Sprintf("the planned stop of %s ended with exit code %d", stop.daemon, stop.exitCode)})
		}
		for _, outcome := range outcomes {
			during := outcome.SentAt.Before(stop.until) && !outcome.EndedAt.Before(stop.from) && !outcome.EndedAt.After(stop.until.Add(outageMargin))
			if outcome.Router == stop.daemon && outcome.Broken && during {
				violations = append(violations, Violation{"planned_stop", fmt.Sprintf("the planned stop of %s cut %s after %d tokens",
					stop.daemon, outcome.Request.ID, outcome.Tokens)})
			}
		}
	}
	return violations
}

// isLost reports whether a call ended without an answer or a refusal although its router
// was up. A caller whose router was killed sees the broken connection and retries at
// another router.
func isLost(outcome Outcome) bool {
	if outcome.Answered() || outcome.RouterDied {
		return false
	}
	late := outcome.EndedAt.After(outcome.Request.DeadlineAt.Add(answerGrace))
	return late || outcome.Refusal == nil || outcome.NotSent || outcome.Broken || outcome.Refusal.Error.Kind == structs.ErrorInternal
}
