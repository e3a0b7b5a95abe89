package simulate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// AllScenarios selects all scenarios with their plans in turn.
	AllScenarios = "all"
	// planSeparator separates a scenario from its plan in "table/zone-cut",
	// planJoiner concurrent plans in "table/zone-cut+second-loss". A plan joined
	// with itself runs twice in sequence.
	planSeparator = "/"
	planJoiner    = "+"
)

// scenario is a kind of site with its load, faults and checkers.
type scenario struct {
	info ScenarioInfo
	// run simulates one seed.
	run       func(plan seedPlan) seedOutcome
	mutations []MutationInfo
}

// registry holds the scenarios by name. It is filled during package initialization
// and read-only after that.
var registry = map[string]scenario{}

// register adds a scenario. Give its result to a blank variable of the package:
//
//	var _ = register(tableScenario())
func register(added scenario) struct{} {
	if _, taken := registry[added.info.Name]; taken {
		panic("the scenario " + added.info.Name + " is registered twice")
	}
	for i := range added.mutations {
		if added.mutations[i].Scenario == "" {
			added.mutations[i].Scenario = added.info.Name
		}
	}
	registry[added.info.Name] = added
	return struct{}{}
}

// scenarios returns the registered scenarios in order of name.
func scenarios() []scenario {
	return slices.SortedFunc(maps.Values(registry), func(a, b scenario) int {
		return cmp.Compare(a.info.Name, b.info.Name)
	})
}

// Scenarios returns descriptions of the scenarios in order of name.
func Scenarios() []ScenarioInfo {
	var infos []ScenarioInfo
	for _, known := range scenarios() {
		infos = append(infos, known.info)
	}
	return infos
}

// Mutations returns the safeguards that Run can disable.
func Mutations() []MutationInfo {
	var infos []MutationInfo
	for _, known := range scenarios() {
		infos = append(infos, known.mutations...)
	}
	return infos
}

// Check returns an ErrorInvalid if the scenario name is unknown.
func Check(name string) error {
	if name == AllScenarios {
		return nil
	}
	_, _, err := findScenario(name)
	return err
}

// findScenario returns the scenario and the plans of a name, or an ErrorInvalid.
func findScenario(name string) (scenario, []string, error) {
	base, joined, hasPlan := strings.Cut(name, planSeparator)
	known, ok := registry[base]
	if !ok {
		return scenario{}, nil, structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("there is no scenario %q", name), "Choose one that Scenarios lists, or "+AllScenarios+".")
	}
	if !hasPlan {
		return known, nil, nil
	}
	plans := strings.Split(joined, planJoiner)
	for _, plan := range plans {
		if !known.hasPlan(plan) || len(plans) > 2 {
			return scenario{}, nil, structs.NewError(structs.ErrorInvalid,
				fmt.Sprintf("scenario %q has no plan %q", base, joined),
				"Choose one plan that Scenarios lists, or two joined by "+planJoiner+".")
		}
	}
	return known, plans, nil
}

func (s scenario) hasPlan(name string) bool {
	return slices.ContainsFunc(s.info.Plans, func(plan PlanInfo) bool { return plan.Name == name })
}

func (s scenario) hasMutation(name string) bool {
	return name == "" || slices.ContainsFunc(s.mutations, func(mutation MutationInfo) bool { return mutation.Name == name })
}

// combinations returns the scenario names with each plan alone, each twice, and all
// pairs.
func (s scenario) combinations() []string {
	var alone, twice, pairs []string
	prefix := s.info.Name + planSeparator
	for i, plan := range s.info.Plans {
		alone = append(alone, prefix+plan.Name)
		twice = append(twice, prefix+plan.Name+planJoiner+plan.Name)
		for _, other := range s.info.Plans[:i] {
			pairs = append(pairs, prefix+other.Name+planJoiner+plan.Name)
		}
	}
	return slices.Concat(alone, twice, pairs)
}
