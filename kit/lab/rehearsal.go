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

// RehearsalOptions set up a fleet run with load and faults.
type RehearsalOptions struct {
	Fleet FleetOptions
	// Duration is how long the load lasts, Rate the calls a second.
	Duration time.Duration
	Rate     float64
	// Faults names the kinds of fault; none for an undisturbed run.
	Faults []string
	// Show is told the progress every second, unless nil.
	Show func(Progress)
}

// RunRehearsal starts a site, applies its table, puts load and faults on it,
// checks the records and reports.
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

// underLoad puts load, faults and edits on the site and waits until all are over.
func (r *rehearsal) underLoad(ctx context.Context) []Outcome {
	arrivals := planArrivals(r.fleet.Site.Rows, r.options.Rate, r.options.Duration, r.options.Fleet.Seed)
	striking, endFaults := context.WithTimeout(ctx, r.options.Duration)
	defer endFaults()
	looking, endLooks := context.WithCancel(ctx)
	defer endLooks()
	var others sync.WaitGroup
	r.began = time.Now()
	others.Go(func() { r.faults.run(striking, looking) })
	var edits sync.WaitGroup
	edits.Go(func() { r.edits.run(striking, looking) })
	endProgress := r.load.showProgress(r.options.Show, r.completeProgress)
	outcomes := r.load.run(ctx, arrivals)
	r.elapsed = time.Since(r.began)
	endProgress()
	endFaults()
	others.Wait()
	r.edits.awaitSettled(ctx)
	endLooks()
	edits.Wait()
	r.faults.markDead(outcomes)
	return outcomes
}

// completeProgress adds what the load itself cannot know.
func (r *rehearsal) completeProgress(progress *Progress) {
	progress.Fault = r.faults.current()
	progress.Replicas, progress.LoadedBytes = r.fleet.Platform.loaded()
}

// report sums up and checks the run.
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

// newReport sums up a run from the records of callers and engines.
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

// checkAnswered: every waiting request is served or refused in time and never
// silently dropped.
func checkAnswered(last map[structs.RequestID]Outcome) []Violation {
	var violations []Violation
	for id, outcome := range last {
		if isLost(outcome) {
			violations = append(violations, Violation{"answered", string(id) + " got no terminal answer: " + describe(outcome)})
		}
	}
	return violations
}

// checkPlannedStops: a planned stop cuts no request in progress. The daemon tells
// by its exit code whether it refused requests to be done in time, and the
// callers' own records whether an answer broke off.
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

// isLost reports whether a call ended without an answer or a refusal by a router
// that was there to give one: a connection that breaks with a killed router tells
// its caller so, and the caller asks another one while it has time.
func isLost(outcome Outcome) bool {
	if outcome.Answered() || outcome.RouterDied {
		return false
	}
	late := outcome.EndedAt.After(outcome.Request.DeadlineAt.Add(answerBound))
	return late || outcome.Refusal == nil || outcome.NotSent || outcome.Broken || outcome.Refusal.Error.Kind == structs.ErrorInternal
}
