package lab

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

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
	arrivals := planArrivals(fleet.Site.Rows, options.Rate, options.Duration, options.Fleet.Seed)
	faults := newFaultRun(fleet, options.Faults, options.Fleet.Seed)
	faultsCtx, endFaults := context.WithTimeout(ctx, options.Duration)
	defer endFaults()
	struck := make(chan []FaultEvent, 1)
	go func() { struck <- faults.run(faultsCtx) }()
	began := time.Now()
	outcomes := newLoadRun(fleet.Daemons).run(ctx, arrivals)
	elapsed := time.Since(began)
	endFaults()
	events := <-struck
	faults.markDead(outcomes)
	report := newReport(fleet, options, outcomes, elapsed)
	report.PlannedStops = len(faults.stops)
	report.Violations = append(report.Violations, checkPlannedStops(faults.stops, outcomes)...)
	report.Faults = append(report.Faults, events...)
	report.EditSeconds = editSeconds
	return report, nil
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
