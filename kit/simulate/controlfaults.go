package simulate

import (
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// controlFailed reports whether a fault may have disrupted the zone's control plane
// between since and now. A group that lost a single member, the same one throughout
// and long enough ago to have elected another leader, counts as working.
func (l *progressChecker) controlFailed(zone structs.ZoneID, since time.Duration) bool {
	now := l.site.scheduler.Now()
	missing := 0
	for _, fault := range l.faults {
		if !fault.affectsControl(zone) || now < fault.At || since >= l.recoveryEnd(fault) {
			continue
		}
		settled := since >= fault.At+l.site.pace.settle && now < fault.At+fault.For
		if !fault.affectsOneMember() || !settled {
			return true
		}
		missing++
	}
	return missing > 1
}

// affectsControl reports whether the fault affects the zone's own control plane.
// Cuts between zones and engine failures do not.
func (f Fault) affectsControl(zone structs.ZoneID) bool {
	switch f.Kind {
	case FaultCutZone, FaultCutOneWay, FaultReclaim, FaultEngineCrash, FaultStoreSlow,
		FaultEditBurst, FaultRace, FaultLostAnswers:
		return false
	case FaultStorm, FaultRestartSite:
		return true
	}
	return !requestOnlyFaults[f.Kind] && strings.HasPrefix(f.Target, string(zone))
}

// affectsOneMember reports whether the fault removes one member from its group and
// leaves the others intact.
func (f Fault) affectsOneMember() bool {
	switch f.Kind {
	case FaultCutMachine, FaultPause, FaultSilentLeader:
		return true
	}
	return false
}
