package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	requestScenarioName = "requests"
	// requestLoadEnd is when arrivals stop.
	requestLoadEnd = 30 * time.Second
	// requestEventLimit bounds the events of a seed to detect endless message loops.
	requestEventLimit = 600_000
)

var _ = register(requestScenario())

func requestScenario() scenario {
	return scenario{
		info: ScenarioInfo{
			Name: requestScenarioName,
			Sentence: "Engines die, stall, answer late, twice, crossed, truncated or oversized and lie about their load, routers crash and stop, " +
				"zones are cut, callers go away and resend, and load triples; every request is answered in time, whole, and at most once.",
			Checkers: requestCheckers,
		},
		run:       runRequests,
		mutations: requestMutations(),
	}
}

func runRequests(plan seedPlan) seedOutcome {
	faults := plan.faults
	if faults == nil {
		faults = planRequestFaults(rand.New(rand.NewPCG(plan.seed, faultStream)))
	}
	site := newRequestSite(plan)
	site.trace.Note("seed", formatHash(plan.seed), plan.mutation)
	site.schedule(faults, site.inject)
	site.scheduler.Run(site.lastEnd())
	if site.scheduler.Exhausted() {
		site.judge.Report(checkerRunaway, "%d events happened by %v", requestEventLimit, site.scheduler.Now())
	}
	if site.judge.violation == nil {
		site.records.checkEnd()
	}
	return site.outcome(faults)
}

func (s *requestSite) countStalls() {
	for _, host := range s.routers {
		host.countStalls()
	}
}

func (s *requestSite) outcome(faults []Fault) seedOutcome {
	s.trace.Note("totals", "requests", fmt.Sprintf("%+v", s.counts.Requests))
	s.countStalls()
	return s.seedOutcome(requestScenarioName, faults)
}
