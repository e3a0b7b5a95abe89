package simulate

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const requestTestSeeds = 32

// TestRequestsEndCorrectlyUnderFaults also checks that the seeds produce every kind of
// ending.
func TestRequestsEndCorrectlyUnderFaults(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	result, err := Run(Options{Scenario: requestScenarioName, Seed: 1, Seeds: requestTestSeeds})
	c.Assert(err, qt.IsNil)
	for _, violation := range result.Violations {
		t.Errorf("seed %d, %s: %s\n%s", violation.Seed, violation.Checker, violation.Message, strings.Join(violation.Trace, "\n"))
	}
	counts := result.Counts.Requests
	c.Check(counts.Lost, qt.Equals, 0)
	c.Check(counts.ClaimsHeld, qt.Equals, 0)
	for name, count := range map[string]int{
		"whole": counts.Whole, "replayed": counts.Replayed, "not_run": counts.NotRun, "outcome_unknown": counts.Unknown,
		"broken": counts.Broken, "gone": counts.Gone, "retries": counts.Retries, "stalls": counts.Stalls,
	} {
		c.Check(count > 0, qt.IsTrue, qt.Commentf("%s: %+v", name, counts))
	}
}

func TestRequestsSameSeedGivesSameTrace(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	one, err := Run(Options{Scenario: requestScenarioName, Seed: 5, Seeds: 3, Workers: 1})
	c.Assert(err, qt.IsNil)
	many, err := Run(Options{Scenario: requestScenarioName, Seed: 5, Seeds: 3, Workers: 3})
	c.Assert(err, qt.IsNil)
	c.Assert(many.TraceHash, qt.Equals, one.TraceHash)
	c.Assert(many.Counts, qt.Equals, one.Counts)
}

func TestEveryRequestFaultIsPlanned(t *testing.T) {
	planned := map[FaultKind]int{}
	for seed := range uint64(200) {
		for _, fault := range planRequestFaults(rand.New(rand.NewPCG(seed, faultStream))) {
			planned[fault.Kind]++
		}
	}
	for _, kind := range requestFaultKinds {
		qt.Check(t, planned[kind] > 0, qt.IsTrue, qt.Commentf("%s", kind))
	}
}

// TestDelayedRefusalIsDetected guards against a checker that misses a refusal delayed
// from the failure to the deadline.
func TestDelayedRefusalIsDetected(t *testing.T) {
	refusal := router.Reject{ID: "router-1-1", Rejection: structs.Rejection{
		Error:     structs.Error{Kind: structs.ErrorUnavailable},
		Execution: structs.ExecutionNotRun,
	}}
	failed := router.AttemptFailed{Attempt: "router-1-1.1", Stage: router.NotSent}
	tests := []struct {
		about string
		wait  time.Duration
		event router.Event
		seen  bool
	}{
		{"refused with the failure", 0, failed, false},
		{"delayed to the deadline", 9 * time.Second, router.Tick{}, true},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			site := newRequestSite(seedPlan{seed: 1})
			host := site.routers[0]
			site.records.origin[refusal.ID] = &submission{deadlineAt: 8 * time.Second}
			site.records.stepped(host, failed, nil)
			site.scheduler.now = test.wait
			site.records.stepped(host, test.event, []router.Effect{refusal})
			qt.Assert(t, site.judge.violation != nil, qt.Equals, test.seen)
		})
	}
}
