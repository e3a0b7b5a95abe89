package router

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	randomSeeds   = 400
	mutationSeeds = 60
)

// TestRandomEventsBreakNoRule runs seeded simulations and checks that they reach every
// kind of terminal effect.
func TestRandomEventsBreakNoRule(t *testing.T) {
	c := qt.New(t)
	ends := map[string]int{}
	for seed := range uint64(randomSeeds) {
		w := newSimulation(seed, mutationNone)
		w.run()
		c.Assert(w.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		for kind, count := range w.ends {
			ends[kind] += count
		}
	}
	for _, kind := range []string{"finish", "replay", "forward", "refuse not_run", "refuse outcome_unknown", "refuse partial", "taken"} {
		c.Check(ends[kind] > randomSeeds, qt.IsTrue, qt.Commentf("%s: %d", kind, ends[kind]))
	}
	c.Check(ends["refuse done"] > randomSeeds/20, qt.IsTrue, qt.Commentf("refuse done: %d", ends["refuse done"]))
	t.Logf("ends over %d seeds: %v", randomSeeds, ends)
}

// TestSameSeedGivesSameEffects guards against effects that depend on map iteration order.
func TestSameSeedGivesSameEffects(t *testing.T) {
	for seed := range uint64(20) {
		first, second := newSimulation(seed, mutationNone), newSimulation(seed, mutationNone)
		first.run()
		second.run()
		qt.Assert(t, first.trace.Len() > 0, qt.IsTrue)
		qt.Assert(t, first.trace.String() == second.trace.String(), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// TestEveryCheckerCanFail checks that each checker detects a mutation of the core.
func TestEveryCheckerCanFail(t *testing.T) {
	tests := []struct {
		about    string
		mutation mutation
		rule     string
	}{
		{"two terminal effects", mutationTwoTerminals, "terminal"},
		{"a broken request with a key is repeated", mutationRepeatKeyed, "executions"},
		{"a request is sent before its claim is held", mutationSendUnclaimed, "claim"},
		{"every refusal says not_run", mutationReportNotRun, "not-run"},
		{"duplicate tokens are delivered", mutationKeepDuplicates, "answer"},
		{"gaps are ignored", mutationIgnoreGaps, "answer"},
		{"deadlines are ignored", mutationIgnoreDeadline, "deadline"},
		{"the answer is not stored", mutationDropAnswer, "stored-answer"},
		{"any answer under the key is replayed", mutationReplayAny, "stored-answer"},
		{"a leaving runner is used", mutationIgnoreLeaving, "leaving"},
		{"a claim outlives its request", mutationLeakClaim, "leak"},
		{"the refusal of a failed request is delayed", mutationDelayFailure, "no-delay"},
		{"a request that starts too late is kept waiting", mutationNoReview, "no-delay"},
		{"an offered request waits", mutationQueueOffered, "offered"},
		{"refusals have no RetryAfter", mutationNoRetryAfter, "retry-after"},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < mutationSeeds && !found; seed++ {
				w := newSimulation(seed, test.mutation)
				w.run()
				_, found = w.violations[test.rule]
			}
			qt.Assert(t, found, qt.IsTrue)
		})
	}
}
