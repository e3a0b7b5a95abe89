package simulate

import (
	"os"
	"regexp"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// specificationSeeds is the number of seeds replayed against the specification.
const specificationSeeds = 8

func TestEveryStepIsOneOfTheSpecification(t *testing.T) {
	t.Parallel()
	taken := map[string]int{}
	for seed := range uint64(specificationSeeds) {
		outcome := runTable(seedPlan{seed: seed + 1})
		qt.Assert(t, outcome.violation, qt.IsNil)
		for step, count := range outcome.taken {
			taken[step] += count
		}
	}
	t.Logf("transitions taken: %v", taken)
	for _, step := range slices.Concat(grantTransitions, orderTransitions) {
		qt.Check(t, taken[step] > 0, qt.IsTrue, qt.Commentf("%s was never taken", step))
	}
}

// TestSpecificationRefusesBrokenSteps checks that the replay detects these faults
// without the other checkers.
func TestSpecificationRefusesBrokenSteps(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ mutation, checker string }{
		{mutationIgnoreGrants, checkerGrantSteps},
		{mutationIgnoreFrozen, checkerGrantSteps},
		{mutationAdoptOlder, checkerGrantSteps},
		{mutationEarlyRelease, checkerGrantSteps},
		{mutationNoFence, checkerOrderSteps},
	} {
		t.Run(test.mutation, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= mutationSeeds; seed++ {
				outcome := runTable(seedPlan{seed: seed, mutation: test.mutation, only: test.checker})
				if outcome.violation != nil {
					t.Logf("seed %d: %.200s", seed, outcome.violation.Message)
					return
				}
			}
			t.Fatal("no seed detects the mutation")
		})
	}
}

// TestTransitionNamesMatchSpecification compares the lists with the inlines
// of the models and the processes that are more than a loop around one.
func TestTransitionNamesMatchSpecification(t *testing.T) {
	for _, test := range []struct {
		model       string
		pattern     string
		transitions []string
		loops       []string
	}{
		{"grants.pml", `(?m)^(?:inline|proctype) ([A-Z]\w*)\(`, grantTransitions, []string{"Global", "Deliver", "Network"}},
		{"orders.pml", `(?m)^inline ([A-Z]\w*)\(`, orderTransitions, nil},
	} {
		text, err := os.ReadFile("../../spec/" + test.model)
		qt.Assert(t, err, qt.IsNil)
		var named []string
		for _, match := range regexp.MustCompile(test.pattern).FindAllStringSubmatch(string(text), -1) {
			if !slices.Contains(test.loops, match[1]) {
				named = append(named, match[1])
			}
		}
		slices.Sort(named)
		qt.Assert(t, slices.Sorted(slices.Values(test.transitions)), qt.DeepEquals, named)
	}
}
