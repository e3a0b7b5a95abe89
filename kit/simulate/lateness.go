package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// inForceBound is how long an accepted edit may take to be in force in every
	// zone that can be reached, and how long a zone that was cut off may take to
	// catch up.
	inForceBound = 7 * time.Second
	// aloneGrace is how long after a cut a zone must act on its own, and aloneBound
	// how long it may pause in that.
	aloneGrace    = 5 * time.Second
	aloneBound    = 3 * time.Second
	watchInterval = time.Second
)

// lateness checks that accepted edits come into force in time and that a zone
// which is cut off goes on alone. Both are judged only while nothing else fails.
type lateness struct {
	site   *tableSite
	faults []Fault
	// pending are the edits accepted of late, oldest first, and due is the newest
	// revision accepted so long ago that it must be in force.
	pending []acceptedEdit
	due     uint64
	// acted is when each zone's leader last acted.
	acted map[structs.ZoneID]time.Duration
	// rejoining maps a zone whose cut has just healed to what it has to catch up with.
	rejoining map[structs.ZoneID]acceptedEdit
}

// acceptedEdit is a table revision and when it was there first.
type acceptedEdit struct {
	revision uint64
	at       time.Duration
}

func newLateness(site *tableSite, faults []Fault) *lateness {
	l := &lateness{
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

func (l *lateness) editAccepted(revision uint64) {
	l.pending = append(l.pending, acceptedEdit{revision, l.site.scheduler.Now()})
}

func (l *lateness) leaderActed(zone structs.ZoneID) { l.acted[zone] = l.site.scheduler.Now() }

func (l *lateness) healed(zone structs.ZoneID) {
	l.rejoining[zone] = acceptedEdit{l.site.ledger.newestAccepted, l.site.scheduler.Now()}
}

// adopted measures how long a zone took to bring edits into force.
func (l *lateness) adopted(zone structs.ZoneID, from, to uint64) {
	now := l.site.scheduler.Now()
	look := l.look(now)
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

// watch looks at all zones again and again until the operators stop.
func (l *lateness) watch() {
	if l.site.quiet {
		return
	}
	now := l.site.scheduler.Now()
	for len(l.pending) > 0 && now-l.pending[0].at > inForceBound {
		l.due = l.pending[0].revision
		l.pending = l.pending[1:]
	}
	look := l.look(now)
	for _, zone := range l.site.zones {
		switch {
		case !look.isQuiet:
		case zone == look.cut:
			l.checkAlone(zone, now, look.since)
		case !look.isChanging:
			l.checkInForce(zone)
		}
	}
	l.site.scheduler.After(watchInterval, l.watch)
}

func (l *lateness) checkInForce(zone structs.ZoneID) {
	if inForce := l.site.ledger.zones[zone].revision; inForce < l.due {
		l.site.judge.Report(checkerLate, "zone %s has table revision %d in force, an edit at %d was accepted over %v ago",
			zone, inForce, l.due, inForceBound)
	}
}

func (l *lateness) checkAlone(zone structs.ZoneID, now, since time.Duration) {
	if now-since > aloneGrace && now-l.acted[zone] > aloneBound {
		l.site.judge.Report(checkerAlone, "zone %s has been cut off for %v and its leader last acted %v ago",
			zone, now-since, now-l.acted[zone])
	}
}

// outlook is what is known of the faults at some time.
type outlook struct {
	// cut is the zone that is cut off, if there is one, and since is since when.
	cut   structs.ZoneID
	since time.Duration
	// isChanging is set shortly after a cut began or healed.
	isChanging bool
	// isQuiet is set when no other fault happened of late.
	isQuiet bool
}

func (l *lateness) look(now time.Duration) outlook {
	result := outlook{isQuiet: true}
	for _, fault := range l.faults {
		switch fault.Kind {
		case FaultEditBurst, FaultRace, FaultLostAnswers:
		case FaultCutZone:
			result.addCut(fault, now, l.site.pace.settle)
		default:
			if now >= fault.At && now < l.over(fault) {
				result.isQuiet = false
			}
		}
	}
	return result
}

// addCut takes in a zone's cut; of two at a time nothing can be said.
func (o *outlook) addCut(fault Fault, now, settle time.Duration) {
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

// over is when the site has got over the fault.
func (l *lateness) over(fault Fault) time.Duration {
	end := fault.At + fault.For + crashLimit + l.site.pace.settle
	switch fault.Kind {
	case FaultReplaceTwice:
		end += repairPatience + fault.For + l.site.pace.settle
	case FaultLoadingDeath:
		end += loadingPatience
	}
	return end
}
