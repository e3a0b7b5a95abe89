package lab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// inForceBound is the time within which an accepted edit must be in force in every zone,
// from its acceptance or the end of a partition of the zone.
const inForceBound = 7 * time.Second

// acceptedEdit is an edit whose acceptance was confirmed to the operator.
type acceptedEdit struct {
	revision uint64
	at       time.Time
	row      structs.Row
}

// revisionSample is a sample of the table revision in force at a daemon. startCount
// distinguishes the starts of the daemon.
type revisionSample struct {
	zone       structs.ZoneID
	daemon     structs.DaemonID
	startCount int64
	at         time.Time
	revision   uint64
}

// zoneOutage is a period during which a zone was partitioned from the others.
type zoneOutage struct {
	zone  structs.ZoneID
	from  time.Time
	until time.Time
}

// editRecords are the lab's own records of the edits under load.
type editRecords struct {
	zones    []structs.ZoneID
	accepted []acceptedEdit
	samples  []revisionSample
	outages  []zoneOutage
	// end is the table at the end of the run.
	end []structs.Row
}

// checkEdits checks that each accepted edit is in force in every reachable zone within
// inForceBound and is never reverted. It also returns the distribution of the times
// taken.
func checkEdits(records editRecords) ([]Violation, Percentiles) {
	taken := newLatencies()
	var violations []Violation
	for _, zone := range records.zones {
		samples := records.samplesOf(zone)
		for _, edit := range records.accepted {
			at, seen := firstInForce(samples, edit.revision)
			due := records.reachableSince(zone, edit.at)
			if seen {
				taken.add(max(at.Sub(due), 0))
			}
			if problem := describeDelay(at, seen, due); problem != "" {
				violations = append(violations, Violation{"in_force", fmt.Sprintf("revision %d in zone %s %s", edit.revision, zone, problem)})
			}
		}
		violations = append(violations, checkReverts(samples)...)
	}
	violations = append(violations, checkEndTable(records)...)
	return violations, taken.percentiles()
}

// describeDelay describes why an edit was not in force in time, or returns "".
func describeDelay(at time.Time, seen bool, due time.Time) string {
	switch {
	case !seen:
		return "was never seen in force"
	case at.Sub(due) > inForceBound:
		return fmt.Sprintf("was in force only after %v", at.Sub(due).Round(time.Millisecond))
	}
	return ""
}

// samplesOf returns the samples of a zone in order of time.
func (r editRecords) samplesOf(zone structs.ZoneID) []revisionSample {
	samples := slices.DeleteFunc(slices.Clone(r.samples), func(sample revisionSample) bool { return sample.zone != zone })
	slices.SortStableFunc(samples, func(a, b revisionSample) int { return a.at.Compare(b.at) })
	return samples
}

// firstInForce returns the time at which a daemon of the zone first had the revision in
// force.
func firstInForce(samples []revisionSample, revision uint64) (time.Time, bool) {
	at := slices.IndexFunc(samples, func(sample revisionSample) bool { return sample.revision >= revision })
	if at < 0 {
		return time.Time{}, false
	}
	return samples[at].at, true
}

// reachableSince returns the time from which inForceBound counts for an edit accepted at
// the given time. A partition within the bound restarts the period at its end.
func (r editRecords) reachableSince(zone structs.ZoneID, accepted time.Time) time.Time {
	outages := slices.Clone(r.outages)
	slices.SortFunc(outages, func(a, b zoneOutage) int { return a.from.Compare(b.from) })
	for _, outage := range outages {
		if outage.zone == zone && outage.from.Before(accepted.Add(inForceBound)) && outage.until.After(accepted) {
			accepted = outage.until
		}
	}
	return accepted
}

// checkReverts checks that the revision in force never decreases between restarts of a
// daemon.
func checkReverts(samples []revisionSample) []Violation {
	type daemonRun struct {
		daemon structs.DaemonID
		number int64
	}
	highest := map[daemonRun]uint64{}
	var violations []Violation
	for _, sample := range samples {
		key := daemonRun{sample.daemon, sample.startCount}
		if sample.revision < highest[key] {
			violations = append(violations, Violation{"in_force",
				fmt.Sprintf("%s reverted from revision %d to %d", sample.daemon, highest[key], sample.revision)})
		}
		highest[key] = max(highest[key], sample.revision)
	}
	return violations
}

// checkEndTable checks that the final table holds the last accepted edit of each row.
func checkEndTable(records editRecords) []Violation {
	last := map[structs.RowName]acceptedEdit{}
	for _, edit := range records.accepted {
		if edit.revision > last[edit.row.Name].revision {
			last[edit.row.Name] = edit
		}
	}
	held := map[structs.RowName]structs.Row{}
	for _, row := range records.end {
		held[row.Name] = row
	}
	var violations []Violation
	for name, edit := range last {
		if row := held[name]; row.Weight != edit.row.Weight || row.Revision != edit.revision {
			violations = append(violations, Violation{"in_force", fmt.Sprintf("row %s has weight %d at revision %d, but weight %d at revision %d was accepted",
				name, row.Weight, row.Revision, edit.row.Weight, edit.revision)})
		}
	}
	slices.SortFunc(violations, func(a, b Violation) int { return cmp.Compare(a.Detail, b.Detail) })
	return violations
}
