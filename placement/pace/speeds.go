package pace

import (
	"maps"
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

// unloadedGaps returns the estimated gap without load for each class with enough gaps.
func (s *speed) unloadedGaps() map[Class]float64 {
	byClass := make(map[Class][]float64)
	for _, each := range s.gaps {
		byClass[each.class] = append(byClass[each.class], each.seconds)
	}
	found := make(map[Class]float64, len(byClass))
	for class, seconds := range byClass {
		if len(seconds) >= minGaps {
			slices.Sort(seconds)
			found[class] = seconds[len(seconds)/quantileDivisor]
		}
	}
	return found
}

// fitting estimates the slowness of runners and the typical gap of each class together from the
// gaps by runner and class. Runners without a common class are compared through runners that hold
// several classes.
type fitting struct {
	gaps        map[string]map[Class]float64
	slowness    map[string]float64
	typicalGaps map[Class]float64
}

// newFitting starts from the initial slowness of the runners and ignores classes seen at a single
// runner, which can't be compared.
func newFitting(gaps map[string]map[Class]float64, initial func(instance string) float64) *fitting {
	f := &fitting{gaps: gaps, slowness: make(map[string]float64), typicalGaps: make(map[Class]float64)}
	holders := make(map[Class]int)
	for _, byClass := range gaps {
		for class := range byClass {
			holders[class]++
		}
	}
	for instance, byClass := range gaps {
		maps.DeleteFunc(byClass, func(class Class, _ float64) bool { return holders[class] < 2 })
		if len(byClass) > 0 {
			f.slowness[instance] = initial(instance)
		}
	}
	for range fitRounds {
		f.fitTypicalGaps()
		f.fitSlowness()
	}
	f.normalize()
	return f
}

// fitTypicalGaps sets the typical gap of each class to the geometric mean of its gaps, divided by
// the slowness of their runners.
func (f *fitting) fitTypicalGaps() {
	sums, counts := make(map[Class]float64), make(map[Class]float64)
	for instance, classes := range f.gaps {
		for class, seconds := range classes {
			sums[class] += math.Log(seconds / f.slowness[instance])
			counts[class]++
		}
	}
	for class, sum := range sums {
		f.typicalGaps[class] = math.Exp(sum / counts[class])
	}
}

// fitSlowness sets the slowness of each runner to the geometric mean of its gaps, divided by the
// typical gaps of their classes.
func (f *fitting) fitSlowness() {
	for instance, classes := range f.gaps {
		sum := 0.0
		for class, seconds := range classes {
			sum += math.Log(seconds / f.typicalGaps[class])
		}
		if len(classes) > 0 {
			f.slowness[instance] = math.Exp(sum / float64(len(classes)))
		}
	}
}

// normalize scales each set of comparable runners so that its median runner has slowness 1.
func (f *fitting) normalize() {
	components := f.components()
	members := make(map[Class][]float64)
	componentOf := make(map[string]Class)
	for instance, classes := range f.gaps {
		for class := range classes {
			componentOf[instance] = components[class]
			members[components[class]] = append(members[components[class]], f.slowness[instance])
			break
		}
	}
	for class := range f.typicalGaps {
		f.typicalGaps[class] *= median(members[components[class]])
	}
	for instance, class := range componentOf {
		f.slowness[instance] /= median(members[class])
	}
}

// components returns a representative class for each class. Classes have the same representative if
// runners that hold several classes connect them.
func (f *fitting) components() map[Class]Class {
	parents := make(map[Class]Class)
	root := func(class Class) Class {
		for parents[class] != class {
			class = parents[class]
		}
		return class
	}
	for _, classes := range f.gaps {
		var first *Class
		for class := range classes {
			if _, isKnown := parents[class]; !isKnown {
				parents[class] = class
			}
			if first == nil {
				first = &class
				continue
			}
			parents[root(class)] = root(*first)
		}
	}
	found := make(map[Class]Class, len(parents))
	for class := range parents {
		found[class] = root(class)
	}
	return found
}

// median sorts the values and returns the middle one, or the lower of the two middle ones: of two
// runners, the faster one is the typical one.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
