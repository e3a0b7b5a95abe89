package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// maxGaps is the number of gaps kept for each runner. The gap without load, which only
	// increases it, is estimated by the quantile 1/quantileDivisor.
	maxGaps         = 16
	quantileDivisor = 8
	// minGaps is the number of gaps of a class at a runner from which they are used.
	minGaps = 2
	// A runner has slowed down if slowdownGaps gaps in a row are slowdownFactor times the expected
	// one. Older gaps are then dropped, so that the slowdown is detected within about a second.
	// Noise and prompts stretch single events, but not whole streams.
	slowdownGaps   = 4
	slowdownFactor = 3
	// fitRounds is the number of iterations of the fit. Each call of Judge continues from the
	// previous result.
	fitRounds = 6
)

type gap struct {
	class   Class
	seconds float64
}

// speed is the state of one runner.
type speed struct {
	// gaps holds the latest gaps, oldest first.
	gaps []gap
	// slowness is the estimated slowness; 0 if it is unknown. seenAt is the time of the last gap.
	slowness float64
	seenAt   time.Time
	// published is the published slowness.
	published float64
}

// add records a gap. typical is the typical gap of its class; 0 if it is unknown.
func (s *speed) add(now time.Time, seen gap, typical float64) {
	if len(s.gaps) == maxGaps {
		s.gaps = append(s.gaps[:0], s.gaps[1:]...)
	}
	s.gaps = append(s.gaps, seen)
	s.seenAt = now
	if s.hasSlowedDown(typical) {
		s.gaps = slices.Clone(s.gaps[len(s.gaps)-slowdownGaps:])
	}
}

// hasSlowedDown reports whether the latest gaps are all far above the expected one.
func (s *speed) hasSlowedDown(typical float64) bool {
	if s.slowness == 0 || typical == 0 || len(s.gaps) <= slowdownGaps {
		return false
	}
	for _, each := range s.gaps[len(s.gaps)-slowdownGaps:] {
		if each.class != s.gaps[len(s.gaps)-1].class || each.seconds < slowdownFactor*s.slowness*typical {
			return false
		}
	}
	return true
}

// unloadedGap is the estimated gap of a class at a runner without load.
type unloadedGap struct {
	class   Class
	seconds float64
}

// unloadedGaps returns the estimated gap without load for each class with enough gaps.
func (s *speed) unloadedGaps() []unloadedGap {
	var found []unloadedGap
	for i := range s.gaps {
		class := s.gaps[i].class
		if slices.ContainsFunc(s.gaps[:i], func(other gap) bool { return other.class == class }) {
			continue
		}
		buf := make([]float64, 0, maxGaps)
		for _, each := range s.gaps[i:] {
			if each.class == class {
				buf = append(buf, each.seconds)
			}
		}
		if len(buf) >= minGaps {
			slices.Sort(buf)
			found = append(found, unloadedGap{class, buf[len(buf)/quantileDivisor]})
		}
	}
	return found
}

// fitting estimates the slowness of runners and the typical gap of each class together from the
// gaps by runner and class. Runners without a common class are compared through runners that hold
// several classes.
type fitting struct {
	runners []fittedRunner
	classes []fittedClass
	// indexes maps the classes to their positions in classes.
	indexes map[Class]int
}

type fittedRunner struct {
	speed    *speed
	slowness float64
	gaps     []classGap
}

// classGap is the gap of a class, given by its index.
type classGap struct {
	class   int
	seconds float64
}

type fittedClass struct {
	class      Class
	typicalGap float64
	// runners is the number of runners with gaps of the class.
	runners int
	// component is the index of a class that represents all comparable ones.
	component int
}

func newFitting() *fitting { return &fitting{indexes: make(map[Class]int)} }

// add adds a runner with its unloaded gaps. The fit starts from its last slowness.
func (f *fitting) add(runner *speed, gaps []unloadedGap) {
	added := fittedRunner{speed: runner, slowness: runner.slowness, gaps: make([]classGap, 0, len(gaps))}
	if added.slowness <= 0 {
		added.slowness = 1
	}
	for _, each := range gaps {
		i, isKnown := f.indexes[each.class]
		if !isKnown {
			i = len(f.classes)
			f.indexes[each.class] = i
			f.classes = append(f.classes, fittedClass{class: each.class, component: i})
		}
		f.classes[i].runners++
		added.gaps = append(added.gaps, classGap{i, each.seconds})
	}
	f.runners = append(f.runners, added)
}

// fit estimates the slowness and typical gaps. Classes seen at a single runner, which can't be
// compared, are ignored.
func (f *fitting) fit() {
	for i := range f.runners {
		runner := &f.runners[i]
		runner.gaps = slices.DeleteFunc(runner.gaps, func(each classGap) bool { return f.classes[each.class].runners < 2 })
	}
	f.runners = slices.DeleteFunc(f.runners, func(runner fittedRunner) bool { return len(runner.gaps) == 0 })
	for range fitRounds {
		f.fitTypicalGaps()
		f.fitSlowness()
	}
	f.normalize()
}

// fitTypicalGaps sets the typical gap of each class to the geometric mean of its gaps, divided by
// the slowness of their runners.
func (f *fitting) fitTypicalGaps() {
	sums := make([]float64, len(f.classes))
	for i := range f.runners {
		runner := &f.runners[i]
		for _, each := range runner.gaps {
			sums[each.class] += math.Log(each.seconds / runner.slowness)
		}
	}
	for i, sum := range sums {
		if class := &f.classes[i]; class.runners >= 2 {
			class.typicalGap = math.Exp(sum / float64(class.runners))
		}
	}
}

// fitSlowness sets the slowness of each runner to the geometric mean of its gaps, divided by the
// typical gaps of their classes.
func (f *fitting) fitSlowness() {
	for i := range f.runners {
		runner, sum := &f.runners[i], 0.0
		for _, each := range runner.gaps {
			sum += math.Log(each.seconds / f.classes[each.class].typicalGap)
		}
		runner.slowness = math.Exp(sum / float64(len(runner.gaps)))
	}
}

// normalize scales each set of comparable runners so that its median runner has slowness 1.
func (f *fitting) normalize() {
	f.joinComponents()
	members := make([][]float64, len(f.classes))
	for i := range f.runners {
		component := f.root(f.runners[i].gaps[0].class)
		members[component] = append(members[component], f.runners[i].slowness)
	}
	medians := make([]float64, len(f.classes))
	for i, slowness := range members {
		if len(slowness) > 0 {
			medians[i] = median(slowness)
		}
	}
	for i := range f.classes {
		f.classes[i].typicalGap *= medians[f.root(i)]
	}
	for i := range f.runners {
		f.runners[i].slowness /= medians[f.root(f.runners[i].gaps[0].class)]
	}
}

// joinComponents gives classes the same root if runners that hold several classes connect them.
func (f *fitting) joinComponents() {
	for i := range f.runners {
		first := f.runners[i].gaps[0].class
		for _, each := range f.runners[i].gaps[1:] {
			f.classes[f.root(each.class)].component = f.root(first)
		}
	}
}

// root returns the class that represents all that are comparable with the given one.
func (f *fitting) root(class int) int {
	for f.classes[class].component != class {
		class = f.classes[class].component
	}
	return class
}

// median sorts the values and returns the middle one, or the lower of the two middle ones: of two
// runners, the faster one is the typical one.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
