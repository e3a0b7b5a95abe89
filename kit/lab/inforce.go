package lab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// inForceBound is how long an accepted edit may take to be in force in every zone
// that can be reached, and how long a zone may take that was cut off.
const inForceBound = 7 * time.Second

// acceptedEdit is an edit that an operator was told is in the table.
type acceptedEdit struct {
	revision uint64
	at       time.Time
	row      structs.Row
}

// zoneSight is one look at the table revision that a daemon's member of its zone
// has in force. Lives tell the starts of the daemon apart.
type zoneSight struct {
	zone     structs.ZoneID
	daemon   structs.DaemonID
	life     int64
	at       time.Time
	revision uint64
}

// zoneOutage is a time during which a zone was cut off from the others.
type zoneOutage struct {
	zone  structs.ZoneID
	from  time.Time
	until time.Time
}

// editRecords are what the kit itself knows of the edits under load.
type editRecords struct {
	zones    []structs.ZoneID
	accepted []acceptedEdit
	sights   []zoneSight
	outages  []zoneOutage
	// end is the table at the end of the run.
	end []structs.Row
}

// checkEdits: an accepted edit is in force in every reachable zone within seconds
// and never reverts. It returns how long each edit took in each zone as well.
func checkEdits(records editRecords) ([]Violation, Percentiles) {
	taken := newLatencies()
	var violations []Violation
	for _, zone := range records.zones {
		sights := records.sightsOf(zone)
		for _, edit := range records.accepted {
			at, seen := firstInForce(sights, edit.revision)
			due := records.reachableSince(zone, edit.at)
			if seen {
				taken.add(max(at.Sub(due), 0))
			}
			if problem := lateness(at, seen, due); problem != "" {
				violations = append(violations, Violation{"in_force", fmt.Sprintf("revision %d in zone %s %s", edit.revision, zone, problem)})
			}
		}
		violations = append(violations, checkReverts(sights)...)
	}
	violations = append(violations, checkEndTable(records)...)
	return violations, taken.percentiles()
}

// lateness tells what is wrong with when an edit came into force, or "".
func lateness(at time.Time, seen bool, due time.Time) string {
	switch {
	case !seen:
		return "was never seen in force"
	case at.Sub(due) > inForceBound:
		return fmt.Sprintf("was in force only after %v", at.Sub(due).Round(time.Millisecond))
	}
	return ""
}

// sightsOf returns the looks at a zone in the order of time.
func (r editRecords) sightsOf(zone structs.ZoneID) []zoneSight {
	sights := slices.DeleteFunc(slices.Clone(r.sights), func(sight zoneSight) bool { return sight.zone != zone })
	slices.SortStableFunc(sights, func(a, b zoneSight) int { return a.at.Compare(b.at) })
	return sights
}

// firstInForce returns when a member of the zone first had the revision in force:
// then the zone's log holds it.
func firstInForce(sights []zoneSight, revision uint64) (time.Time, bool) {
	at := slices.IndexFunc(sights, func(sight zoneSight) bool { return sight.revision >= revision })
	if at < 0 {
		return time.Time{}, false
	}
	return sights[at].at, true
}

// reachableSince returns from when on the zone had to bring an edit into force
// that was accepted then: a cut that comes within the bound starts the time anew.
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

// checkReverts: while a daemon lives, the revision that it has in force never falls.
func checkReverts(sights []zoneSight) []Violation {
	type life struct {
		daemon structs.DaemonID
		number int64
	}
	highest := map[life]uint64{}
	var violations []Violation
	for _, sight := range sights {
		key := life{sight.daemon, sight.life}
		if sight.revision < highest[key] {
			violations = append(violations, Violation{"in_force",
				fmt.Sprintf("%s went back from revision %d to %d", sight.daemon, highest[key], sight.revision)})
		}
		highest[key] = max(highest[key], sight.revision)
	}
	return violations
}

// checkEndTable: the last accepted edit of each row is what the table holds.
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
			violations = append(violations, Violation{"in_force", fmt.Sprintf("row %s has weight %d at revision %d, accepted was weight %d at revision %d",
				name, row.Weight, row.Revision, edit.row.Weight, edit.revision)})
		}
	}
	slices.SortFunc(violations, func(a, b Violation) int { return cmp.Compare(a.Detail, b.Detail) })
	return violations
}
