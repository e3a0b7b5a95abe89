package simulate

import "slices"

// Shrink drops faults one by one while the same checker still reports a
// violation, and returns the violation with the faults that are left. It runs
// the seed at most attempts times.
func Shrink(violation Violation, attempts int) (Violation, error) {
	smallest := violation
	for progress := true; progress; {
		progress = false
		for i := len(smallest.Faults) - 1; i >= 0; i-- {
			if attempts <= 0 {
				return smallest, nil
			}
			attempts--
			candidate := smallest
			candidate.Faults = slices.Delete(slices.Clone(smallest.Faults), i, i+1)
			reported, err := runAgain(candidate)
			if err != nil {
				return smallest, err
			}
			if reported != nil && reported.Checker == violation.Checker {
				smallest = *reported
				progress = true
			}
		}
	}
	return smallest, nil
}

// runAgain runs the violation's seed with its faults.
func runAgain(violation Violation) (*Violation, error) {
	result, err := Run(violation.options())
	if err != nil {
		return nil, err
	}
	if len(result.Violations) == 0 {
		return nil, nil
	}
	return &result.Violations[0], nil
}
