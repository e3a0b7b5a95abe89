package fleet

import "slices"

// Merge returns what a router knows after it learned a newer view. An incomplete
// view adds to what is known and takes away only what is certainly gone, so that a
// new leader, which has not heard the heartbeats yet, empties no router's list.
func Merge(known, learned View) View {
	if learned.Partial {
		return mergePartial(known, learned)
	}
	if learned.Complete {
		return learned
	}
	merged := View{Runners: slices.Clone(learned.Runners), Gone: learned.Gone}
	for _, runner := range known.Runners {
		isListed := slices.ContainsFunc(learned.Runners, func(other Runner) bool {
			return other.Instance == runner.Instance || other.Address == runner.Address
		})
		if !isListed && !slices.Contains(learned.Gone, runner.Instance) {
			runner.Unconfirmed = true
			merged.Runners = append(merged.Runners, runner)
		}
	}
	return merged
}

// mergePartial adds changes to what is known. Once a view is complete, what its leader
// never listed is gone.
func mergePartial(known, changes View) View {
	merged := View{Complete: changes.Complete, Gone: changes.Gone, Runners: slices.Clone(changes.Runners)}
	isChanged := make(map[string]bool, len(changes.Runners)+len(changes.Removed)+len(changes.Gone))
	addresses := make(map[string]bool, len(changes.Runners))
	for _, runner := range changes.Runners {
		isChanged[runner.Instance] = true
		addresses[runner.Address] = true
	}
	for _, instance := range slices.Concat(changes.Removed, changes.Gone) {
		isChanged[instance] = true
	}
	for _, runner := range known.Runners {
		isDisplaced := runner.Address != "" && addresses[runner.Address]
		if isChanged[runner.Instance] || isDisplaced || changes.Complete && runner.Unconfirmed {
			continue
		}
		merged.Runners = append(merged.Runners, runner)
	}
	return merged
}
