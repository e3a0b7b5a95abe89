package simulate

import (
	"bytes"
	"encoding/json"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

// mutationSeeds is the number of seeds in which a mutation must be detected.
const mutationSeeds = 200

// mutationWorkers is small, because one of the first seeds detects most mutations.
const mutationWorkers = 3

func TestSameSeedsGiveSameTraceInAnyOrder(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	one, err := Run(Options{Seed: 7, Seeds: 4, Workers: 1})
	c.Assert(err, qt.IsNil)
	many, err := Run(Options{Seed: 7, Seeds: 4, Workers: 4})
	c.Assert(err, qt.IsNil)
	c.Assert(many.TraceHash, qt.Equals, one.TraceHash)
	c.Assert(many.Counts, qt.Equals, one.Counts)
	c.Assert(one.Counts.Events > 0 && one.Counts.Loads > 0 && one.Counts.EditsAccepted > 0, qt.IsTrue)
}

func TestSameSeedGivesSameLines(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	lines := func() string {
		var all strings.Builder
		_, err := Run(Options{Seed: 3, Sink: func(line string) { all.WriteString(line + "\n") }})
		c.Assert(err, qt.IsNil)
		return all.String()
	}
	first := lines()
	c.Assert(first == lines(), qt.IsTrue)
	c.Assert(strings.Count(first, "\n") > 1000, qt.IsTrue)
}

func TestDifferentSeedsDiffer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	seen := map[string]uint64{}
	for seed := uint64(1); seed <= 5; seed++ {
		result, err := Run(Options{Seed: seed})
		c.Assert(err, qt.IsNil)
		other, known := seen[result.TraceHash]
		c.Assert(known, qt.IsFalse, qt.Commentf("seeds %d and %d", seed, other))
		seen[result.TraceHash] = seed
	}
}

func reportViolations(t *testing.T, result Result) {
	t.Helper()
	for _, violation := range result.Violations {
		t.Errorf("%s seed %d, %s: %s\n%s", violation.Scenario, violation.Seed, violation.Checker, violation.Message,
			strings.Join(violation.Trace, "\n"))
	}
}

func TestTableHoldsWithoutMutation(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	result, err := Run(Options{Scenario: "table", Seed: 1, Seeds: 24})
	c.Assert(err, qt.IsNil)
	reportViolations(t, result)
	c.Assert(result.Counts.Converged, qt.Equals, 24)
	encoded, err := json.Marshal(result)
	c.Assert(err, qt.IsNil)
	c.Assert(string(encoded), qt.Contains, `"violations":[]`)
}

// TestTableHoldsUnderEachPlan runs each short plan alone, twice in a row, or
// together with the next one, in turn.
func TestTableHoldsUnderEachPlan(t *testing.T) { checkEachPlan(t, tableScenarioName) }

func TestSiteHoldsUnderEachPlan(t *testing.T) { checkEachPlan(t, siteScenarioName) }

// checkEachPlan runs the scenario's short plans, each alone, twice in a row or in
// pairs, in turn.
func checkEachPlan(t *testing.T, scenarioName string) {
	t.Parallel()
	c := qt.New(t)
	var short []string
	for _, plan := range tablePlans {
		if !plan.isLong {
			short = append(short, plan.Name)
		}
	}
	var jobs []job
	options := Options{Workers: runtime.GOMAXPROCS(0)}
	for i, name := range short {
		plans := [][]string{{name}, {name, name}, {name, short[(i+1)%len(short)]}}
		known, _, err := findScenario(scenarioName)
		c.Assert(err, qt.IsNil)
		jobs = append(jobs, options.job(known, name, plans[i%len(plans)], uint64(i+1)))
	}
	outcomes := runJobs(jobs, options)
	for i, outcome := range outcomes {
		comment := qt.Commentf("%v", jobs[i].plan.plans)
		c.Assert(outcome.violation, qt.IsNil, comment)
		c.Assert(outcome.counts.Converged, qt.Equals, 1, comment)
		c.Assert(outcome.counts.Faults > 0 || jobs[i].name == "calm", qt.IsTrue, comment)
	}
}

// TestPlanRestartBehindMissesOverFiveHundredEdits checks that a stopped machine
// misses more edits than the log retains, so that it needs a snapshot.
func TestPlanRestartBehindMissesOverFiveHundredEdits(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	plan := seedPlan{seed: 1, plans: []string{"restart-behind"}}
	table := planTable(plan)
	crash := table.faults[0]
	c.Assert(crash.Kind, qt.Equals, FaultCrash)
	site := newTableSite(plan, table)
	site.schedule(table.faults, site.inject)
	site.scheduler.limit = eventLimit
	site.scheduler.Run(crash.At + crashLimit)
	down := site.daemonAt(crash.Target)
	c.Assert(down.machine.alive, qt.IsFalse)
	before := site.counts.EditsAccepted
	site.scheduler.Run(crash.At + crash.For)
	c.Assert(down.machine.crashes, qt.Equals, 1)
	c.Assert(site.counts.EditsAccepted-before > 500, qt.IsTrue, qt.Commentf("%d edits passed", site.counts.EditsAccepted-before))
	c.Assert(site.judge.violation, qt.IsNil)
}

// TestZoneRejoinsWithinSeconds shortens the hours of the plan zone-cut to minutes.
func TestZoneRejoinsWithinSeconds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cut := Fault{Kind: FaultCutZone, At: cutLead, For: 20 * time.Minute, Target: "zone-a"}
	outcome := followTable(seedPlan{seed: 1}, timetable{faults: []Fault{cut}, end: cut.At + cut.For + time.Minute, pace: longPace})
	c.Assert(outcome.violation, qt.IsNil)
	c.Assert(outcome.counts.EditsAccepted > 20 && outcome.counts.Loads > 20, qt.IsTrue)
	c.Assert(outcome.counts.SlowestRejoin > 0 && outcome.counts.SlowestRejoin <= inForceBound, qt.IsTrue)
	planned := planTable(seedPlan{seed: 1, plans: []string{"zone-cut"}})
	c.Assert(planned.faults[0].For, qt.Equals, longCutDuration)
}

func TestEachMutationIsCaught(t *testing.T) {
	t.Parallel()
	for _, mutation := range Mutations() {
		t.Run(mutation.Scenario+" "+mutation.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			result, err := Run(Options{Scenario: mutation.Scenario, Seed: 1, Seeds: mutationSeeds, Mutation: mutation.Name, StopAfter: 1, Workers: mutationWorkers})
			c.Assert(err, qt.IsNil)
			c.Assert(len(result.Violations) > 0, qt.IsTrue, qt.Commentf("%d seeds ran", result.Runs))
			violation := result.Violations[0]
			c.Assert(mutation.Checkers, qt.Contains, violation.Checker, qt.Commentf("%s", violation.Message))
			c.Assert(violation.Mutation, qt.Equals, mutation.Name)
			c.Assert(len(violation.Trace) > 0 && len(violation.Trace) <= traceLines, qt.IsTrue)
		})
	}
}

// TestAllScenariosRunTogether checks that AllScenarios runs each seed of every
// scenario and one combination of plans; the mutation keeps the runs short.
func TestAllScenariosRunTogether(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	options := Options{Scenario: AllScenarios, Seed: 2, Seeds: 3, Mutation: mutationOrderUnapplied}
	first, err := Run(options)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Runs, qt.Equals, 12)
	names := map[string]bool{}
	for _, violation := range first.Violations {
		names[violation.Scenario] = true
		again, err := Run(violation.options())
		c.Assert(err, qt.IsNil)
		c.Assert(again.Violations, qt.DeepEquals, []Violation{violation})
	}
	c.Assert(names["table"] && names["table/slow-store"] && names["site"], qt.IsTrue, qt.Commentf("%v", names))
	second, err := Run(options)
	c.Assert(err, qt.IsNil)
	c.Assert(second.TraceHash, qt.Equals, first.TraceHash)
}

func TestCombinationsCoverSinglesRepeatsAndPairs(t *testing.T) {
	c := qt.New(t)
	known, _, err := findScenario(tableScenarioName)
	c.Assert(err, qt.IsNil)
	plans := len(tablePlans)
	combinations := known.combinations()
	c.Assert(combinations, qt.HasLen, 2*plans+plans*(plans-1)/2)
	for _, name := range combinations {
		_, named, err := findScenario(name)
		c.Assert(err, qt.IsNil)
		table := planTable(seedPlan{seed: 1, plans: named})
		for _, fault := range table.faults {
			c.Assert(fault.At+fault.For <= table.end, qt.IsTrue, qt.Commentf("%s: %+v", name, fault))
		}
	}
}

// findOne finds a violation that depends on faults, once for all tests.
var findOne = sync.OnceValues(func() (Result, error) {
	return Run(Options{Seed: 1, Seeds: mutationSeeds, Mutation: mutationNoFence, StopAfter: 1, Workers: 1})
})

func findViolation(c *qt.C) Violation {
	result, err := findOne()
	c.Assert(err, qt.IsNil)
	c.Assert(len(result.Violations) > 0, qt.IsTrue)
	return result.Violations[0]
}

func TestShrinkKeepsTheViolation(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	found := findViolation(c)
	smallest, err := Shrink(found, 16)
	c.Assert(err, qt.IsNil)
	c.Assert(smallest.Checker, qt.Equals, found.Checker)
	c.Assert(len(smallest.Faults) < len(found.Faults), qt.IsTrue)
	c.Assert(len(smallest.Faults) > 0, qt.IsTrue, qt.Commentf("without faults the mutation changes nothing"))
}

func TestReplayReproducesTrace(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	found := findViolation(c)
	var file bytes.Buffer
	c.Assert(WriteReplay(&file, found), qt.IsNil)
	written := file.String()
	result, err := Replay(strings.NewReader(written))
	c.Assert(err, qt.IsNil)
	c.Assert(result.Violations, qt.HasLen, 1)
	c.Assert(result.Violations[0], qt.DeepEquals, found)

	changed := strings.Replace(written, found.TraceHash, "0000000000000000", 1)
	_, err = Replay(strings.NewReader(changed))
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorConflict)
	for _, unreadable := range []string{"", "{", `{"version": 2}`} {
		_, err = Replay(strings.NewReader(unreadable))
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	}
}

func TestRunRejectsInvalidOptions(t *testing.T) {
	c := qt.New(t)
	for _, options := range []Options{
		{Scenario: "nothing"},
		{Scenario: "table/nothing"},
		{Scenario: "table/calm+calm+calm"},
		{Mutation: "nothing"},
		{Seeds: 2, Sink: func(string) {}},
	} {
		_, err := Run(options)
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	}
	c.Assert(slices.IndexFunc(Scenarios(), func(info ScenarioInfo) bool { return info.Name == tableScenarioName }) >= 0, qt.IsTrue)
}
