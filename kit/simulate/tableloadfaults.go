package simulate

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// loadingEngine and loadingLeader select the victim of a FaultLoadingDeath.
	loadingEngine = "engine"
	loadingLeader = "leader"
	// loadingTimeout bounds the wait for a load to begin, loadingDeathWindow the
	// time from then to the death.
	loadingTimeout     = 8 * time.Second
	loadingDeathWindow = 400 * time.Millisecond
	// machineListLag is the update delay of the machine list.
	machineListLag = time.Second
)

// awaitLoad arms a fault that kills its victim when an engine of its zone begins to
// load.
func (s *tableSite) awaitLoad(fault Fault) {
	armed := &fault
	s.loadingDeaths = append(s.loadingDeaths, armed)
	s.scheduler.After(loadingTimeout, func() {
		s.loadingDeaths = slices.DeleteFunc(s.loadingDeaths, func(other *Fault) bool { return other == armed })
	})
}

// loadBegan triggers an armed fault of the engine's zone.
func (s *tableSite) loadBegan(host *engineHost) {
	index := slices.IndexFunc(s.loadingDeaths, func(fault *Fault) bool { return fault.Target == string(host.zone) })
	if index < 0 {
		return
	}
	fault := s.loadingDeaths[index]
	s.loadingDeaths = slices.Delete(s.loadingDeaths, index, index+1)
	moment := time.Duration(s.random.Int64N(int64(loadingDeathWindow)))
	s.scheduler.After(moment, func() {
		if fault.Peer == loadingEngine {
			host.crash(fault.For)
		} else if leader := s.leaderOf(groupName(host.zone)); leader != nil {
			leader.machine.Crash(fault.For)
		}
	})
}

// reclaim removes an engine's machine after a notice and replaces it when the fault
// ends. The machine list lags behind.
func (s *tableSite) reclaim(host *engineHost, notice, outage time.Duration) {
	s.scheduler.After(machineListLag, func() {
		host.listed = structs.MachineLeaving
		host.leavingSince = s.scheduler.Now()
	})
	notice = min(notice, outage)
	s.scheduler.After(notice, func() { host.crash(outage - notice) })
	s.scheduler.After(outage+machineListLag, func() {
		host.listed = structs.MachineLive
		host.leavingSince = 0
	})
}

// restartAll crashes all machines at once; each restarts within the outage.
func (s *tableSite) restartAll(outage time.Duration) {
	some := func() time.Duration { return 1 + time.Duration(s.random.Int64N(int64(outage))) }
	for _, d := range s.daemons {
		d.machine.Crash(some())
	}
	for _, host := range s.engines {
		host.crash(some())
	}
}

// injectLoad applies the faults of operators, of loading and of the whole site.
func (s *tableSite) injectLoad(fault Fault) (heal func()) {
	switch fault.Kind {
	case FaultLoadingDeath:
		s.awaitLoad(fault)
	case FaultRestartSite:
		s.restartAll(fault.For)
	case FaultStoreSlow:
		former := s.storeSlowness
		s.storeSlowness = max(former, fault.Amount)
		return func() { s.storeSlowness = former }
	case FaultEditBurst:
		s.hurried++
		return func() { s.hurried-- }
	case FaultRace:
		s.hurried++
		s.racing++
		return func() { s.hurried--; s.racing-- }
	case FaultLostAnswers:
		former := s.answerLoss
		s.answerLoss = max(former, fault.Amount)
		return func() { s.answerLoss = former }
	}
	return nil
}
