package simulate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// The fault kinds of the requests scenario.
const (
	// FaultEngineStall makes an engine accept but never run a share Amount of its
	// requests.
	FaultEngineStall FaultKind = "engine-stall"
	// FaultEngineSilent makes an engine accept connections and calls without sending
	// anything.
	FaultEngineSilent FaultKind = "engine-silent"
	// FaultEngineDying kills an engine mid-stream, after Amount more tokens.
	FaultEngineDying FaultKind = "engine-dying"
	// FaultAnswersLate, FaultAnswersTwice, FaultAnswersCrossed, FaultAnswersLost and
	// FaultAnswersReset corrupt a share Amount of an engine's tokens;
	// FaultAnswersCrossed affects all engines of a zone.
	FaultAnswersLate    FaultKind = "answers-late"
	FaultAnswersTwice   FaultKind = "answers-twice"
	FaultAnswersCrossed FaultKind = "answers-crossed"
	FaultAnswersLost    FaultKind = "answers-lost"
	FaultAnswersReset   FaultKind = "answers-reset"
	// FaultAnswersTruncated ends a stream as if it were complete,
	// FaultAnswersOversized sends an oversized token, each at a share Amount of the
	// tokens.
	FaultAnswersTruncated FaultKind = "answers-truncated"
	FaultAnswersOversized FaultKind = "answers-oversized"
	// FaultAnswersUnfinished makes the engines of a zone withhold the last token of
	// a share Amount of their answers and keep the stream open.
	FaultAnswersUnfinished FaultKind = "answers-unfinished"
	// FaultHideLoad makes an engine report itself as idle.
	FaultHideLoad FaultKind = "hide-load"
	// FaultEngineSlow slows an engine down by the factor Amount.
	FaultEngineSlow FaultKind = "engine-slow"
	// FaultRunnerLeaves marks a runner as leaving; it is reclaimed once idle.
	FaultRunnerLeaves FaultKind = "runner-leaves"
	// FaultRouterCrash kills a router's process, FaultRouterSilent its whole
	// machine, so that connections are not reset; FaultRouterStop is a planned stop.
	FaultRouterCrash  FaultKind = "router-crash"
	FaultRouterSilent FaultKind = "router-silent"
	FaultRouterStop   FaultKind = "router-stop"
	// FaultRouterDiskLost kills a router's process, which restarts with an empty
	// disk.
	FaultRouterDiskLost FaultKind = "router-disk-lost"
	// FaultKeeperDies kills a router's process once the zone has recorded the end of
	// the next answer that it stores and before the caller resends the request; it
	// restarts with its disk, after FaultKeeperDiskLost with an empty one.
	FaultKeeperDies     FaultKind = "keeper-dies"
	FaultKeeperDiskLost FaultKind = "keeper-disk-lost"
	// FaultNoLeader leaves a zone's group without a leader.
	FaultNoLeader FaultKind = "no-leader"
	// FaultBurst multiplies the arrivals by Amount, FaultBatchFlood adds Amount
	// batch requests to each arrival.
	FaultBurst      FaultKind = "burst"
	FaultBatchFlood FaultKind = "batch-flood"
)

// requestFaultKinds lists the kinds to draw from; repeated ones are more likely.
var requestFaultKinds = []FaultKind{
	FaultEngineStall, FaultEngineStall, FaultEngineSilent, FaultEngineDying, FaultEngineDying, FaultEngineCrash, FaultEngineSlow,
	FaultAnswersLate, FaultAnswersTwice, FaultAnswersCrossed, FaultAnswersLost, FaultAnswersReset,
	FaultAnswersTruncated, FaultAnswersOversized, FaultAnswersUnfinished, FaultHideLoad,
	FaultRunnerLeaves, FaultRouterCrash, FaultRouterCrash, FaultRouterSilent, FaultRouterSilent, FaultRouterStop, FaultNoLeader,
	FaultCutZone, FaultCutOneWay, FaultBurst, FaultBatchFlood, FaultStorm,
	FaultRouterDiskLost, FaultKeeperDies, FaultKeeperDies, FaultKeeperDiskLost,
}

// requestOnlyFaults lists the kinds that a site with controllers passes to its
// requestSite; the others affect its control plane.
var requestOnlyFaults = map[FaultKind]bool{
	FaultEngineStall: true, FaultEngineSilent: true, FaultEngineDying: true, FaultEngineSlow: true,
	FaultAnswersLate: true, FaultAnswersTwice: true, FaultAnswersCrossed: true, FaultAnswersLost: true, FaultAnswersReset: true,
	FaultAnswersTruncated: true, FaultAnswersOversized: true, FaultAnswersUnfinished: true, FaultHideLoad: true,
	FaultRouterCrash: true, FaultRouterSilent: true, FaultRouterStop: true, FaultRouterDiskLost: true,
	FaultKeeperDies: true, FaultKeeperDiskLost: true, FaultBurst: true, FaultBatchFlood: true,
}

const (
	minRequestFaults   = 5
	requestFaultSpread = 8
	// answersLateBy is the delay of late answers.
	answersLateBy = 120 * time.Millisecond
	// reclaimNotice is the time from the notice to the reclaim of a leaving runner.
	reclaimNotice = 6 * time.Second
)

// planRequestFaults returns random faults for a seed, ordered by time.
func planRequestFaults(random *rand.Rand) []Fault {
	faults := make([]Fault, minRequestFaults+random.IntN(requestFaultSpread))
	for i := range faults {
		kind := requestFaultKinds[random.IntN(len(requestFaultKinds))]
		faults[i] = Fault{
			Kind: kind,
			At:   time.Duration(1+random.IntN(27)) * time.Second,
			For:  time.Duration(1+random.IntN(8)) * time.Second,
		}
		zone := requestZones[random.IntN(len(requestZones))]
		other := requestZones[random.IntN(len(requestZones))]
		faults[i].Target, faults[i].Peer = requestTarget(random, kind, zone, other)
		faults[i].Amount = requestAmount(random, kind)
	}
	slices.SortStableFunc(faults, compareFaults)
	return faults
}

func requestTarget(random *rand.Rand, kind FaultKind, zone, other structs.ZoneID) (target, peer string) {
	switch kind {
	case FaultBurst, FaultBatchFlood, FaultStorm:
		return "site", ""
	case FaultCutZone, FaultNoLeader, FaultAnswersCrossed, FaultAnswersUnfinished:
		return string(zone), ""
	case FaultCutOneWay:
		return string(zone), string(other)
	case FaultRouterCrash, FaultRouterSilent, FaultRouterStop, FaultRouterDiskLost, FaultKeeperDies, FaultKeeperDiskLost:
		return fmt.Sprintf("%s/router-%d", zone, 1+random.IntN(requestRoutersPerZone)), ""
	}
	return fmt.Sprintf("%s/engine-%d", zone, 1+random.IntN(requestEnginesPerZone)), ""
}

func requestAmount(random *rand.Rand, kind FaultKind) float64 {
	switch kind {
	case FaultEngineStall:
		return 0.2 + 0.8*random.Float64()
	case FaultEngineDying:
		return float64(1 + random.IntN(40))
	case FaultEngineSlow:
		return float64(2 + random.IntN(4))
	case FaultAnswersCrossed, FaultAnswersUnfinished:
		return 0.3 + 0.7*random.Float64()
	case FaultBurst:
		return 3
	case FaultBatchFlood:
		return float64(2 + random.IntN(4))
	case FaultStorm:
		return 0.02 + 0.1*random.Float64()
	}
	return 0.02 + 0.2*random.Float64()
}

// inject applies a fault and returns the function that heals it, or nil.
func (s *requestSite) inject(fault Fault) (heal func()) {
	if engine := s.engineNamed(structs.RunnerID(fault.Target)); engine != nil {
		s.injectMachine(fault)
		return engine.inject(fault)
	}
	if host := s.routerNamed(structs.DaemonID(fault.Target)); host != nil {
		return host.inject(fault)
	}
	switch fault.Kind {
	case FaultBurst:
		s.load *= fault.Amount
		return func() { s.load /= fault.Amount }
	case FaultBatchFlood:
		s.batchLoad += fault.Amount
		return func() { s.batchLoad -= fault.Amount }
	case FaultStorm:
		return s.trackNetworkFault(s.storm(fault.Amount))
	case FaultAnswersCrossed, FaultAnswersUnfinished:
		return s.injectEngines(fault)
	case FaultNoLeader:
		return s.singleGroups[structs.ZoneID(fault.Target)].loseLeader()
	case FaultCutZone:
		return s.trackNetworkFault(s.cutZone(structs.ZoneID(fault.Target), requestZones))
	case FaultCutOneWay:
		from, to := structs.ZoneID(fault.Target), structs.ZoneID(fault.Peer)
		if from == to {
			return nil
		}
		return s.trackNetworkFault(s.cutOneWay(from, to))
	}
	return nil
}

// injectEngines applies a fault to all engines of a zone.
func (s *requestSite) injectEngines(fault Fault) (heal func()) {
	var heals []func()
	for _, engine := range s.engines {
		if string(engine.zone) == fault.Target {
			heals = append(heals, engine.inject(fault))
		}
	}
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}

func (h *routerHost) inject(fault Fault) (heal func()) {
	switch fault.Kind {
	case FaultRouterCrash:
		h.crash(false)
	case FaultRouterSilent:
		h.crash(true)
	case FaultRouterStop:
		h.planStop()
	case FaultRouterDiskLost:
		h.replaceDisk()
		h.crash(false)
	case FaultKeeperDies, FaultKeeperDiskLost:
		h.crashAtFinish = fault.Kind
		return func() { h.crashAtFinish = "" }
	}
	return nil
}

// injectMachine applies a fault of an engine's process or machine.
func (s *requestSite) injectMachine(fault Fault) {
	for _, host := range s.answerEngines {
		switch {
		case string(host.id) != fault.Target:
		case fault.Kind == FaultEngineCrash:
			host.crash()
		case fault.Kind == FaultRunnerLeaves:
			host.leave(reclaimNotice)
		}
	}
}

// inject applies a fault to an engine's answers. Its rates are reset one by one,
// because faults of an engine may overlap.
func (h *streamingEngine) inject(fault Fault) (heal func()) {
	switch fault.Kind {
	case FaultEngineCrash, FaultRunnerLeaves:
		return nil
	case FaultEngineSilent:
		h.faults.silent = true
		return func() { h.faults.silent = false }
	case FaultAnswersTruncated:
		h.faults.truncateRate = fault.Amount
		return func() { h.faults.truncateRate = 0 }
	case FaultAnswersUnfinished:
		h.faults.unfinishedRate = fault.Amount
		return func() { h.faults.unfinishedRate = 0 }
	case FaultAnswersOversized:
		h.faults.oversizeRate = fault.Amount
		return func() { h.faults.oversizeRate = 0 }
	}
	h.change(func(faults *emulator.EngineFaults) { setEngineFault(faults, fault) })
	fault.Amount = 0
	return func() { h.change(func(faults *emulator.EngineFaults) { setEngineFault(faults, fault) }) }
}

func (h *streamingEngine) change(edit func(*emulator.EngineFaults)) {
	faults := h.engine.Faults()
	edit(&faults)
	h.engine.SetFaults(faults)
}

// setEngineFault sets one fault of the emulator; an Amount of 0 resets it.
func setEngineFault(faults *emulator.EngineFaults, fault Fault) {
	switch fault.Kind {
	case FaultEngineStall:
		faults.StallRate = fault.Amount
	case FaultEngineDying:
		faults.DieAfterTokens = int(fault.Amount)
	case FaultAnswersLate:
		faults.LateRate, faults.LateBy = fault.Amount, answersLateBy
	case FaultAnswersTwice:
		faults.RepeatRate = fault.Amount
	case FaultAnswersCrossed:
		faults.CrossRate = fault.Amount
	case FaultAnswersLost:
		faults.LossRate = fault.Amount
	case FaultAnswersReset:
		faults.ResetRate = fault.Amount
	case FaultHideLoad:
		faults.HideLoad = fault.Amount > 0
	case FaultEngineSlow:
		faults.SlowFactor = fault.Amount
	}
}
