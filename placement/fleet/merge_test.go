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
	keepCold(known.Runners, learned.Runners)
	merged := View{Runners: slices.Clone(learned.Runners), Gone: learned.Gone}
	replaced := replacedBy(learned.Runners, learned.Gone)
	for _, runner := range known.Runners {
		if !replaced.contains(&runner) {
			runner.Unconfirmed = true
			merged.Runners = append(merged.Runners, runner)
		}
	}
	return merged
}

// replaced are the runners of an earlier view that a later one tells otherwise of.
type replaced struct {
	instances map[string]bool
	addresses map[string]bool
	// born is, by ID, when the life that the later view lists was started.
	born map[string]int64
}

// replacedBy are the runners in the place of which others are listed, or that have ended.
func replacedBy(runners []Runner, ended ...[]string) replaced {
	r := replaced{
		instances: make(map[string]bool, len(runners)),
		addresses: make(map[string]bool, len(runners)),
		born:      make(map[string]int64),
	}
	for i := range runners {
		r.instances[runners[i].Instance] = true
		r.addresses[runners[i].Address] = true
		if id, born := SplitIncarnation(runners[i].Instance); born > 0 {
			r.born[id] = born
		}
	}
	for _, names := range ended {
		for _, instance := range names {
			r.instances[instance] = true
		}
	}
	delete(r.addresses, "")
	return r
}

// contains reports whether the later view tells of the runner's instance, of another one at its address, or of a
// later life of it.
func (r *replaced) contains(runner *Runner) bool {
	if r.instances[runner.Instance] || r.addresses[runner.Address] {
		return true
	}
	if len(r.born) == 0 {
		return false
	}
	id, born := SplitIncarnation(runner.Instance)
	return r.born[id] > born
}

// mergePartial adds changes to what is known. Once a view is complete, what its leader
// never listed is gone.
func mergePartial(known, changes View) View {
	merged := View{Complete: changes.Complete, Gone: changes.Gone, Runners: slices.Clone(changes.Runners)}
	keepCold(known.Runners, merged.Runners)
	replaced := replacedBy(changes.Runners, changes.Removed, changes.Gone)
	for _, runner := range known.Runners {
		if replaced.contains(&runner) || changes.Complete && runner.Unconfirmed {
			continue
		}
		merged.Runners = append(merged.Runners, runner)
	}
	return merged
}

// keepCold has runners that the leader has not heard yet stay cold if they were.
func keepCold(known, learned []Runner) {
	var recalled map[string]*Runner
	for i := range learned {
		if learned[i].Recalled {
			if recalled == nil {
				recalled = make(map[string]*Runner)
			}
			recalled[learned[i].Instance] = &learned[i]
		}
	}
	if recalled == nil {
		return
	}
	for i := range known {
		if runner := recalled[known[i].Instance]; runner != nil && known[i].Cold {
			runner.Cold = true
		}
	}
}
