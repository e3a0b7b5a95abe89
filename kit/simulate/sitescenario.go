package simulate

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	siteScenarioName = "site"
	// siteFaultStream is the random stream for faults of answers and routers.
	siteFaultStream = 3
	// siteLoadLead is the time between the end of the arrivals and that of the
	// faults.
	siteLoadLead = 10 * time.Second
	// siteEventLimit bounds the events of a seed to detect endless message loops.
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

// siteCheckers returns the checkers of the table and requests scenarios.
func siteCheckers() []string {
	checkers := slices.Concat(tableCheckers, requestCheckers)
	slices.Sort(checkers)
	return slices.Compact(checkers)
}

// sitePlanInfos returns the short plans of the table scenario.
func sitePlanInfos() []PlanInfo {
	var infos []PlanInfo
	for _, known := range tablePlans {
		if !known.isLong {
			infos = append(infos, known.PlanInfo)
		}
	}
	return infos
}

// newControlledRequests returns the request site of a site with controllers.
func newControlledRequests(site *tableSite) *requestSite {
	requests := newEmptyRequestSite(&site.simulatedSite)
	requests.controlled = site
	requests.rows = simulatedRows
	requests.loadEnd = site.end - siteLoadLead
	return requests
}

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

// running reports whether there is no violation and the event limit is not reached.
func (s *tableSite) running() bool { return s.judge.violation == nil && !s.scheduler.Exhausted() }

// addRequestFaults adds faults of answers, routers and load to the control plane
// faults.
func (t *timetable) addRequestFaults(random *rand.Rand) {
	for _, fault := range planRequestFaults(random) {
		if requestOnlyFaults[fault.Kind] {
			t.faults = append(t.faults, fault)
		}
	}
	slices.SortStableFunc(t.faults, compareFaults)
}

// injectAny applies a fault of the control plane or of the request site.
func (s *tableSite) injectAny(fault Fault) (heal func()) {
	if requestOnlyFaults[fault.Kind] {
		return s.requests.inject(fault)
	}
	heal = s.inject(fault)
	switch fault.Kind {
	case FaultCutZone, FaultCutOneWay, FaultStorm:
		return s.requests.trackNetworkFault(heal)
	}
	return heal
}

// lastEnd returns when every request and every claim must have ended: the last
// callers try to connect for connectTimeout and then wait for up to maxDeadline, and
// a claim may have to be resolved after that.
func (s *requestSite) lastEnd() time.Duration {
	return s.loadEnd + connectTimeout + maxDeadline + 6*requestClaimLease
}

// siteMutations returns the mutations of both scenarios that are detectable with
// requests and a replicated control plane.
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
