package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// inForceBound is how long an accepted edit may take to be in force in every
	// reachable zone, and how long a zone may take to catch up after a cut.
	inForceBound = 7 * time.Second
	// isolationGrace is how long after a cut a zone must act on its own, and
	// isolationBound its longest pause then.
	isolationGrace = 5 * time.Second
	isolationBound = 3 * time.Second
	watchInterval  = time.Second
)

// progressChecker checks that accepted edits come into force in time and that an
// isolated zone continues to act. It judges both only in the absence of other
// faults.
type progressChecker struct {
	site   *tableSite
	faults []Fault
	// pending holds the recently accepted edits, oldest first; due is the newest
	// revision that must be in force by now.
	pending []acceptedEdit
	due     uint64
	// acted is when each zone's leader last acted.
	acted map[structs.ZoneID]time.Duration
	// rejoining maps each zone whose cut has healed to the edit it has to catch up
	// with.
	rejoining map[structs.ZoneID]acceptedEdit
}

// acceptedEdit is a table revision and the time of its acceptance.
type acceptedEdit struct {
	revision uint64
	at       time.Duration
}

func newProgressChecker(site *tableSite, faults []Fault) *progressChecker {
	l := &progressChecker{
		site:      site,
		faults:    faults,
		acted:     map[structs.ZoneID]time.Duration{},
		rejoining: map[structs.ZoneID]acceptedEdit{},
	}
	site.scheduler.At(site.pace.settle, l.watch)
	for _, fault := range faults {
		if fault.Kind == FaultCutZone {
			site.scheduler.At(fault.At+fault.For, func() { l.healed(structs.ZoneID(fault.Target)) })
		}
	}
	return l
}

func (l *progressChecker) editAccepted(revision uint64) {
	l.pending = append(l.pending, acceptedEdit{revision, l.site.scheduler.Now()})
}

func (l *progressChecker) leaderActed(zone structs.ZoneID) { l.acted[zone] = l.site.scheduler.Now() }

func (l *progressChecker) healed(zone structs.ZoneID) {
	l.rejoining[zone] = acceptedEdit{l.site.ledger.newestAccepted, l.site.scheduler.Now()}
}

// adopted records how long a zone took to bring edits into force.
func (l *progressChecker) adopted(zone structs.ZoneID, from, to uint64) {
	now := l.site.scheduler.Now()
	look := l.faultStatusAt(now)
	if waited, ok := l.rejoining[zone]; ok && to >= waited.revision {
		delete(l.rejoining, zone)
		if look.isQuiet {
			l.site.counts.SlowestRejoin = max(l.site.counts.SlowestRejoin, now-waited.at)
		}
	}
	if !look.isQuiet || look.isChanging || look.cut == zone {
		return
	}
	for _, edit := range l.pending {
		if edit.revision > from && edit.revision <= to {
			l.site.counts.SlowestInForce = max(l.site.counts.SlowestInForce, now-edit.at)
		}
	}
}

// watch checks all zones periodically until the operators stop.
func (l *progressChecker) watch() {
	if l.site.quiet {
		return
	}
	now := l.site.scheduler.Now()
	for len(l.pending) > 0 && now-l.pending[0].at > inForceBound {
		l.due = l.pending[0].revision
		l.pending = l.pending[1:]
	}
	look := l.faultStatusAt(now)
	for _, zone := range l.site.zones {
		switch {
		case !look.isQuiet:
		case zone == look.cut:
			l.checkIsolated(zone, now, look.since)
		case !look.isChanging:
			l.checkInForce(zone)
		}
	}
	l.site.scheduler.After(watchInterval, l.watch)
}

func (l *progressChecker) checkInForce(zone structs.ZoneID) {
	if inForce := l.site.ledger.zones[zone].revision; inForce < l.due {
		l.site.judge.Report(checkerLate, "zone %s has table revision %d in force, an edit at %d was accepted over %v ago",
			zone, inForce, l.due, inForceBound)
	}
}

func (l *progressChecker) checkIsolated(zone structs.ZoneID, now, since time.Duration) {
	if now-since > isolationGrace && now-l.acted[zone] > isolationBound {
		l.site.judge.Report(checkerAlone, "zone %s has been cut off for %v and its leader last acted %v ago",
			zone, now-since, now-l.acted[zone])
	}
}

// faultStatus summarizes the faults at some time.
type faultStatus struct {
	// cut is the isolated zone, if there is one, and since the start of its
	// isolation.
	cut   structs.ZoneID
	since time.Duration
	// isChanging is set shortly after a cut began or healed.
	isChanging bool
	// isQuiet is set if there was no other fault recently.
	isQuiet bool
}

func (l *progressChecker) faultStatusAt(now time.Duration) faultStatus {
	result := faultStatus{isQuiet: true}
	for _, fault := range l.faults {
		switch fault.Kind {
		case FaultEditBurst, FaultRace, FaultLostAnswers:
		case FaultCutZone:
			result.addCut(fault, now, l.site.pace.settle)
		default:
			if now >= fault.At && now < l.recoveryEnd(fault) {
				result.isQuiet = false
			}
		}
	}
	return result
}

// addCut adds a zone cut. Two cuts at a time allow no judgement.
func (o *faultStatus) addCut(fault Fault, now, settle time.Duration) {
	heals := fault.At + fault.For
	switch {
	case now < fault.At || now >= heals+inForceBound:
	case o.cut != "":
		o.isQuiet = false
	case now >= heals:
		o.isChanging = true
	default:
		o.cut, o.since = structs.ZoneID(fault.Target), fault.At
		o.isChanging = o.isChanging || now < fault.At+settle
	}
}

// recoveryEnd returns when the site must have recovered from the fault.
func (l *progressChecker) recoveryEnd(fault Fault) time.Duration {
	end := fault.At + fault.For + crashLimit + l.site.pace.settle
	switch fault.Kind {
	case FaultReplaceTwice:
		end += repairTimeout + fault.For + l.site.pace.settle
	case FaultLoadingDeath:
		end += loadingTimeout
	}
	return end
}
