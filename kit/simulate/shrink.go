package simulate

import "slices"

// Shrink removes faults while the same checker still reports a violation, first half
// of them at a time and finally one by one. It returns the violation with the
// remaining faults, after at most the given number of runs.
func Shrink(violation Violation, attempts int) (Violation, error) {
	s := shrinker{smallest: violation, attempts: attempts}
	isLater := func(fault Fault) bool { return fault.At > violation.At }
	if err := s.try(slices.DeleteFunc(slices.Clone(violation.Faults), isLater)); err != nil {
		return s.smallest, err
	}
	for size := (len(s.smallest.Faults) + 1) / 2; size > 0; {
		hasShrunk, err := s.dropEach(size)
		if err != nil || s.attempts <= 0 {
			return s.smallest, err
		}
		if size == 1 && !hasShrunk {
			break
		}
		size = max(size/2, 1)
	}
	return s.smallest, nil
}

// shrinker searches for fewer faults that reproduce the violation.
type shrinker struct {
	smallest Violation
	attempts int
}

// dropEach tries to remove each group of size consecutive faults, the last one
// first.
func (s *shrinker) dropEach(size int) (hasShrunk bool, err error) {
	before := len(s.smallest.Faults)
	for end := before; end > 0; end -= size {
		start := max(end-size, 0)
		if err := s.try(slices.Delete(slices.Clone(s.smallest.Faults), start, end)); err != nil {
			return false, err
		}
	}
	return len(s.smallest.Faults) < before, nil
}

// try keeps the faults if they are fewer and reproduce the violation.
func (s *shrinker) try(faults []Fault) error {
	if s.attempts <= 0 || len(faults) == len(s.smallest.Faults) {
		return nil
	}
	s.attempts--
	candidate := s.smallest
	candidate.Faults = faults
	reported, err := runAgain(candidate)
	if err == nil && reported != nil && reported.Checker == s.smallest.Checker {
		s.smallest = *reported
	}
	return err
}

// runAgain runs the violation's seed with its faults and returns the new violation,
// or nil.
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
