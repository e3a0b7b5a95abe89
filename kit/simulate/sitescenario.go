package simulate

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	siteScenarioName = "site"
	// siteFaultStream is the stream of random numbers for faults of answers and routers.
	siteFaultStream = 3
	// siteLoadLead is how long before the end of the faults callers stop coming.
	siteLoadLead = 10 * time.Second
	// siteEventLimit bounds the events of a seed; an ordinary one has under 250,000.
	siteEventLimit = 1_000_000
)

var _ = register(siteScenario())

func siteScenario() scenario {
	return scenario{
		info: ScenarioInfo{
			Name: siteScenarioName,
			Sentence: "Callers send requests to routers whose replicas, claims and table are decided by replicated zone and global groups, " +
				"while operators race edits and controllers, disks, clocks, networks, engines and routers fail; all of both sets of invariants must hold.",
			Checkers: siteCheckers(),
			Plans:    sitePlanInfos(),
		},
		run:       runSite,
		mutations: siteMutations(),
	}
}

// siteCheckers are those of the table and of the requests.
func siteCheckers() []string {
	checkers := slices.Concat(tableCheckers, requestCheckers)
	slices.Sort(checkers)
	return slices.Compact(checkers)
}

// sitePlanInfos lists the plans of the table that fit requests.
func sitePlanInfos() []PlanInfo {
	var infos []PlanInfo
	for _, known := range tablePlans {
		if !known.isLong {
			infos = append(infos, known.PlanInfo)
		}
	}
	return infos
}

// newControlledRequests makes the requests' part of a site with controllers.
func newControlledRequests(site *tableSite) *requestSite {
	requests := newRequestParties(&site.simulatedSite)
	requests.controlled = site
	requests.rows = simulatedRows
	requests.loadEnd = site.end - siteLoadLead
	return requests
}

// runSite runs one seed of the site scenario.
func runSite(plan seedPlan) seedOutcome {
	table := planTable(plan)
	table.serving = true
	if len(plan.plans) == 0 && plan.faults == nil {
		table.addRequestFaults(rand.New(rand.NewPCG(plan.seed, siteFaultStream)))
	}
	site := newTableSite(plan, table)
	site.trace.Note("seed", formatHash(plan.seed), plan.mutation)
	site.schedule(table.faults, site.injectAny)
	site.scheduler.limit = siteEventLimit
	site.scheduler.Run(table.end)
	if site.running() {
		site.settle()
	}
	if site.running() {
		site.scheduler.Run(max(site.scheduler.Now(), site.requests.lastEnd()))
	}
	if site.running() {
		site.checkHistory()
	}
	if site.running() {
		site.requests.records.checkEnd()
	}
	if site.scheduler.Exhausted() {
		site.judge.Report(checkerRunaway, "%d events happened by %v", site.scheduler.limit, site.scheduler.Now())
	}
	site.requests.countStalls()
	return site.outcome(siteScenarioName, table.faults)
}

// running reports whether there is neither a violation nor a run without end.
func (s *tableSite) running() bool { return s.judge.violation == nil && !s.scheduler.Exhausted() }

// addRequestFaults adds faults of answers, routers and load to those of the control.
func (t *timetable) addRequestFaults(random *rand.Rand) {
	for _, fault := range planRequestFaults(random) {
		if requestOnlyFaults[fault.Kind] {
			t.faults = append(t.faults, fault)
		}
	}
	slices.SortStableFunc(t.faults, compareFaults)
}

// injectAny brings about a fault of the control or of the requests' part.
func (s *tableSite) injectAny(fault Fault) (heal func()) {
	if requestOnlyFaults[fault.Kind] {
		return s.requests.inject(fault)
	}
	heal = s.inject(fault)
	switch fault.Kind {
	case FaultCutZone, FaultCutOneWay, FaultStorm:
		return s.requests.disturbed(heal)
	}
	return heal
}

// lastEnd is when every request and every claim has ended: the last callers look for
// a router for connectPatience and then wait for longestTime, and a claim may have to
// be resolved then.
func (s *requestSite) lastEnd() time.Duration {
	return s.loadEnd + connectPatience + longestTime + 6*requestClaimLease
}

// siteMutations are the mutations of both sets that requests over a replicated
// control bring out.
func siteMutations() []MutationInfo {
	var shared []MutationInfo
	for _, mutation := range slices.Concat(tableMutations(), requestMutations()) {
		if mutation.Name == mutationKeepLeaving || mutation.Name == mutationNeedGlobal {
			continue
		}
		mutation.Scenario = siteScenarioName
		shared = append(shared, mutation)
	}
	return shared
}
