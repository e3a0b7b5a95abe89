package simulate

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// siteTestSeeds suffices for every kind of ending and operation to occur.
const siteTestSeeds = 12

// TestSiteHoldsUnderFaults also checks that requests, claims, loads, edits and
// elections occur and that runs are deterministic.
func TestSiteHoldsUnderFaults(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	result, err := Run(Options{Scenario: siteScenarioName, Seed: 1, Seeds: siteTestSeeds})
	c.Assert(err, qt.IsNil)
	for _, violation := range result.Violations {
		c.Errorf("seed %d, %s: %s\n%s", violation.Seed, violation.Checker, violation.Message, strings.Join(violation.Trace, "\n"))
	}
	requests := result.Counts.Requests
	c.Check(requests.Lost, qt.Equals, 0)
	c.Check(requests.ClaimsHeld, qt.Equals, 0)
	c.Check(result.Counts.Converged, qt.Equals, siteTestSeeds)
	for name, count := range map[string]int{
		"whole": requests.Whole, "replayed": requests.Replayed, "not_run": requests.NotRun, "outcome_unknown": requests.Unknown,
		"keys run": requests.KeysRun, "retries": requests.Retries, "offers taken": requests.OffersTaken,
		"loads": result.Counts.Loads, "unloads": result.Counts.Unloads, "edits": result.Counts.EditsAccepted,
		"elections": result.Counts.Elections, "crashes": result.Counts.Crashes,
	} {
		c.Check(count > 0, qt.IsTrue, qt.Commentf("%s: %+v", name, result.Counts))
	}
	first, err := Run(Options{Scenario: siteScenarioName, Seed: 3, Seeds: 2, Workers: 1})
	c.Assert(err, qt.IsNil)
	second, err := Run(Options{Scenario: siteScenarioName, Seed: 3, Seeds: 2, Workers: 2})
	c.Assert(err, qt.IsNil)
	c.Assert(second.TraceHash, qt.Equals, first.TraceHash)
	c.Assert(second.Counts, qt.Equals, first.Counts)
}

// TestRouterLeavesAControllerThatIsCutOff guards against a router that keeps polling
// an isolated controller and sends new work to leaving runners.
func TestRouterLeavesAControllerThatIsCutOff(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	faults := []Fault{{Kind: FaultCutMachine, At: 8 * time.Second, For: 50 * time.Second, Target: "zone-a/controller-1"}}
	for _, engine := range []string{"zone-a/engine-1", "zone-a/engine-2", "zone-a/engine-3"} {
		at := 18*time.Second + time.Duration(len(faults))*9*time.Second
		faults = append(faults, Fault{Kind: FaultReclaim, At: at, For: 9 * time.Second, Target: engine, Amount: 8})
	}
	result, err := Run(Options{Scenario: siteScenarioName, Seed: 1, Seeds: 4, Faults: faults})
	c.Assert(err, qt.IsNil)
	for _, violation := range result.Violations {
		c.Errorf("seed %d, %s: %s", violation.Seed, violation.Checker, violation.Message)
	}
	c.Assert(result.Counts.Requests.Whole > 0, qt.IsTrue)
}
