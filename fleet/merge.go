package fleet

import "slices"

// Merge returns what a router knows after it learned a newer view. An incomplete
// view adds to what is known and takes away only what is certainly gone, so that a
// new leader, which has not heard the heartbeats yet, empties no router's list.
func Merge(known, learned View) View {
	if learned.Complete {
		return learned
	}
	merged := View{Runners: slices.Clone(learned.Runners), Gone: learned.Gone}
	for _, runner := range known.Runners {
		isListed := slices.ContainsFunc(learned.Runners, func(other Runner) bool {
			return other.Instance == runner.Instance || other.Address == runner.Address
		})
		if !isListed && !slices.Contains(learned.Gone, runner.Instance) {
			merged.Runners = append(merged.Runners, runner)
		}
	}
	return merged
}
