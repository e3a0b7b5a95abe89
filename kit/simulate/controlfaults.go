package simulate

import (
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// controlFailed reports whether the zone's control may not have worked at some time
// between since and now. A group that has been without the same one member all that
// time, and for long enough to have chosen another leader, works.
func (l *lateness) controlFailed(zone structs.ZoneID, since time.Duration) bool {
	now := l.site.scheduler.Now()
	missing := 0
	for _, fault := range l.faults {
		if !fault.strikesControl(zone) || now < fault.At || since >= l.over(fault) {
			continue
		}
		settled := since >= fault.At+l.site.pace.settle && now < fault.At+fault.For
		if !fault.takesOneMember() || !settled {
			return true
		}
		missing++
	}
	return missing > 1
}

// strikesControl reports whether the fault is one of the zone's own control. Cuts
// between zones are none, and neither are engines that die or leave.
func (f Fault) strikesControl(zone structs.ZoneID) bool {
	switch f.Kind {
	case FaultCutZone, FaultCutOneWay, FaultReclaim, FaultEngineCrash, FaultStoreSlow,
		FaultEditBurst, FaultRace, FaultLostAnswers:
		return false
	case FaultStorm, FaultRestartSite:
		return true
	}
	return !requestOnlyFaults[f.Kind] && strings.HasPrefix(f.Target, string(zone))
}

// takesOneMember reports whether the fault takes one member from its group and leaves
// the others alone.
func (f Fault) takesOneMember() bool {
	switch f.Kind {
	case FaultCutMachine, FaultPause, FaultSilentLeader:
		return true
	}
	return false
}
