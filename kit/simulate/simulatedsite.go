package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// simulatedSite is the common part of all scenario sites: one scheduler, network,
// trace and judge, all derived from one seed.
type simulatedSite struct {
	plan      seedPlan
	random    *rand.Rand
	scheduler *Scheduler
	trace     *Trace
	network   *Network
	judge     *Judge
	counts    Counts
}

// newSimulatedSite returns a site without machines on a calm network.
func newSimulatedSite(plan seedPlan) simulatedSite {
	scheduler := &Scheduler{}
	trace := NewTrace(scheduler)
	trace.sink = plan.sink
	random := rand.New(rand.NewPCG(plan.seed, siteStream))
	return simulatedSite{
		plan:      plan,
		random:    random,
		scheduler: scheduler,
		trace:     trace,
		network:   NewNetwork(scheduler, random, trace, calmNetwork),
		judge:     &Judge{scheduler: scheduler, trace: trace, only: plan.only},
	}
}

func (s *simulatedSite) now() time.Time { return s.scheduler.wallTime() }

func (s *simulatedSite) mutated(name string) bool { return s.plan.mutation == name }

// schedule schedules the faults. inject applies a fault and returns the function
// that heals it at its end, or nil.
func (s *simulatedSite) schedule(faults []Fault, inject func(Fault) (heal func())) {
	for _, fault := range faults {
		s.scheduler.At(fault.At, func() {
			s.trace.Note("fault", string(fault.Kind), fmt.Sprintf("%s %s %g for %v", fault.Target, fault.Peer, fault.Amount, fault.For))
			if heal := inject(fault); heal != nil {
				s.scheduler.After(fault.For, func() {
					s.trace.Note("fault-over", string(fault.Kind), fault.Target)
					heal()
				})
			}
		})
	}
}

// storm applies a FaultStorm of the amount to the network.
func (s *simulatedSite) storm(amount float64) (heal func()) {
	s.network.SetQuality(stormQuality(amount))
	return func() { s.network.SetQuality(calmNetwork) }
}

func stormQuality(amount float64) Quality {
	return Quality{
		Loss:          amount,
		Duplicate:     amount,
		Straggle:      amount,
		MinDelay:      calmNetwork.MinDelay,
		MaxDelay:      30 * time.Millisecond,
		StraggleDelay: 2 * time.Second,
	}
}

// cutZone isolates a zone from all others in both directions.
func (s *simulatedSite) cutZone(zone structs.ZoneID, zones []structs.ZoneID) (heal func()) {
	change := func(apply func(from, to structs.ZoneID)) {
		for _, other := range zones {
			if other != zone {
				apply(zone, other)
				apply(other, zone)
			}
		}
	}
	change(s.network.CutZones)
	return func() { change(s.network.HealZones) }
}

// cutOneWay drops messages from one zone to another.
func (s *simulatedSite) cutOneWay(from, to structs.ZoneID) (heal func()) {
	s.network.CutZones(from, to)
	return func() { s.network.HealZones(from, to) }
}

// seedOutcome returns the outcome of the seed.
func (s *simulatedSite) seedOutcome(scenarioName string, faults []Fault) seedOutcome {
	s.counts.Events = s.scheduler.sequence
	s.counts.Messages = s.network.delivered
	s.counts.Faults = len(faults)
	outcome := seedOutcome{traceHash: s.trace.Sum(), simulated: s.scheduler.Now(), counts: s.counts}
	if violation := s.judge.violation; violation != nil {
		violation.Scenario = scenarioName
		violation.Seed = s.plan.seed
		violation.Mutation = s.plan.mutation
		violation.Faults = faults
		violation.TraceHash = formatHash(outcome.traceHash)
		outcome.violation = violation
	}
	return outcome
}
