package overload

import (
	"context"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// shortLength is a short arrival period, to limit test time.
const shortLength = 8 * time.Second

func measured(t *testing.T, options Options) Report {
	options.Seed = 1
	options.Length = shortLength
	report, err := Run(context.Background(), options)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Violations, qt.HasLen, 0)
	return report
}

func figureOf(t *testing.T, report Report, scenario, policy, name string) float64 {
	for _, candidate := range report.Scenarios {
		if candidate.Scenario == scenario && candidate.Policy == policy {
			found, ok := candidate.Find(name)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s has no %s", scenario, name))
			return found.Mean
		}
	}
	t.Fatalf("%s was not run under %s", scenario, policy)
	return 0
}

func TestGoodputDoesNotDropUnderOverload(t *testing.T) {
	var report Report
	for _, factor := range []float64{1, 1.5, 3} {
		part := measured(t, Options{Scenario: loadName(factor), Policy: PolicyLotusferry})
		report.Scenarios = append(report.Scenarios, part.Scenarios...)
	}
	full := figureOf(t, report, loadName(1), PolicyLotusferry, figureGoodput)
	for _, factor := range []float64{1.5, 3} {
		name := loadName(factor)
		qt.Check(t, figureOf(t, report, name, PolicyLotusferry, figureGoodput) >= full, qt.IsTrue, qt.Commentf("%s", name))
		qt.Check(t, figureOf(t, report, name, PolicyLotusferry, figureRefusedAtDeadline) < 0.03, qt.IsTrue, qt.Commentf("%s", name))
	}
}

func TestFloodsDoNotStarveOthers(t *testing.T) {
	for _, scenario := range []string{scenarioBatchFlood, scenarioCallerFlood, scenarioRowFlood} {
		share := func(policy string) float64 {
			report := measured(t, Options{Scenario: scenario, Policy: policy})
			return figureOf(t, report, scenario, policy, figureInTime+"_"+labelOthers)
		}
		qt.Check(t, share(PolicyLotusferry) >= 0.97, qt.IsTrue, qt.Commentf("%s: %v", scenario, share(PolicyLotusferry)))
		qt.Check(t, share(PolicyFIFO) < 0.9, qt.IsTrue, qt.Commentf("%s: the baseline's %v", scenario, share(PolicyFIFO)))
	}
}

func TestAffinityRaisesPrefixHitsInBurst(t *testing.T) {
	hits := func(policy string) float64 {
		report := measured(t, Options{Scenario: scenarioBurst, Policy: policy})
		return figureOf(t, report, scenarioBurst, policy, figurePrefixHits)
	}
	qt.Check(t, hits(PolicyLotusferry) > hits(PolicyNoAffinity)+0.1, qt.IsTrue)
}

func TestResultIsIndependentOfWorkers(t *testing.T) {
	options := Options{Scenario: loadName(1.5), Policy: PolicyLotusferry, Seeds: 2, Workers: 1}
	first := measured(t, options)
	options.Workers = 3
	qt.Assert(t, reflect.DeepEqual(measured(t, options), first), qt.IsTrue)
}

func TestUnknownScenarioIsRejected(t *testing.T) {
	_, err := Run(context.Background(), Options{Scenario: "absent"})
	qt.Assert(t, err, qt.ErrorMatches, "no scenario or policy has that name.*")
}

// faultyCore alters the effects of a router core before its host executes them.
type faultyCore struct {
	routerCore
	change func(router.Effect) []router.Effect
	// tickDelay delays every Tick event.
	tickDelay time.Duration
}

func (s faultyCore) Step(now time.Time, event router.Event) []router.Effect {
	var changed []router.Effect
	for _, effect := range s.routerCore.Step(now, event) {
		changed = append(changed, s.change(effect)...)
	}
	return changed
}

func (s faultyCore) NextDeadline() (time.Time, bool) {
	when, ok := s.routerCore.NextDeadline()
	return when.Add(s.tickDelay), ok
}

func unchanged(effect router.Effect) []router.Effect { return []router.Effect{effect} }

// changeRefusals returns a function that applies change to refusals only.
func changeRefusals(change func(*router.Reject) []router.Effect) func(router.Effect) []router.Effect {
	return func(effect router.Effect) []router.Effect {
		if refuse, ok := effect.(router.Reject); ok {
			return change(&refuse)
		}
		return unchanged(effect)
	}
}

func TestCheckerReportsEachViolatedRule(t *testing.T) {
	tests := []struct {
		rule   string
		policy string
		broken faultyCore
	}{
		{"", PolicyLotusferry, faultyCore{change: unchanged}},
		{ruleTerminal, PolicyLotusferry, faultyCore{change: changeRefusals(func(*router.Reject) []router.Effect { return nil })}},
		{ruleTerminal, PolicyLotusferry, faultyCore{change: changeRefusals(func(refuse *router.Reject) []router.Effect { return []router.Effect{*refuse, *refuse} })}},
		{ruleRetryAfter, PolicyLotusferry, faultyCore{change: changeRefusals(func(refuse *router.Reject) []router.Effect {
			refuse.Rejection.Error.RetryAfter = 0
			return unchanged(*refuse)
		})}},
		{ruleNotRun, PolicyFIFO, faultyCore{change: changeRefusals(func(refuse *router.Reject) []router.Effect {
			refuse.Rejection.Execution = structs.ExecutionNotRun
			return unchanged(*refuse)
		})}},
		{ruleWhole, PolicyLotusferry, faultyCore{change: func(effect router.Effect) []router.Effect {
			if deliver, ok := effect.(*router.Deliver); ok && deliver.Token.Index == 5 {
				return nil
			}
			return unchanged(effect)
		}}},
		{ruleDeadline, PolicyFIFO, faultyCore{change: unchanged, tickDelay: time.Second}},
	}
	capacity := measureCapacity(1)
	for _, test := range tests {
		t.Run(test.rule, func(t *testing.T) {
			mixed := stream{label: labelAll, until: shortLength / 2, rate: 3 * capacity, caller: drawEach, row: drawEach, priority: drawEach}
			made := newSimulation(1, test.policy, scenario{name: "faulty-router", streams: []stream{mixed}})
			made.wrapCore = func(inner routerCore) routerCore {
				test.broken.routerCore = inner
				return test.broken
			}
			made.run()
			seen := map[string]bool{}
			for _, violation := range made.violations {
				seen[violation.Rule] = true
			}
			qt.Check(t, seen[test.rule], qt.Equals, test.rule != "")
			qt.Check(t, len(seen) > 0, qt.Equals, test.rule != "", qt.Commentf("%v", seen))
		})
	}
}
