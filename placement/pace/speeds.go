package pace

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// keptGaps is how many gaps are kept of a runner. quietGaps of them are those of streams
	// that had the runner nearly to themselves: what is sought is the runner's speed, and load
	// only adds to a gap.
	keptGaps  = 16
	quietGaps = 8
	// minGaps is how many a class must have at a runner for its speed to count.
	minGaps = 2
	// turnedGaps in a row that are turnedFactor times what was believed tell that the runner
	// has turned slow: what was seen before is dropped, so that it is known within the second
	// that so many streams take. Noise stretches single events, and prompts in between never
	// all of a stream.
	turnedGaps   = 4
	turnedFactor = 3
	// fits is how often runners and classes are fitted to each other in turn, beginning with
	// what was believed: the next judgements go on.
	fits = 6
)

type gap struct {
	class   Class
	seconds float64
}

// speed is what is known of one runner's speed.
type speed struct {
	// gaps are the newest, oldest first.
	gaps []gap
	// slowness is what is believed; 0 if nothing tells. seenAt is when it was last seen.
	slowness float64
	seenAt   time.Time
	// told is the slowness that was last handed out.
	told float64
}

// add takes a gap. The usual one of its class is 0 if it is not known.
func (s *speed) add(now time.Time, seen gap, usual float64) {
	if len(s.gaps) == keptGaps {
		s.gaps = append(s.gaps[:0], s.gaps[1:]...)
	}
	s.gaps = append(s.gaps, seen)
	s.seenAt = now
	if s.hasTurned(usual) {
		s.gaps = slices.Clone(s.gaps[len(s.gaps)-turnedGaps:])
	}
}

// hasTurned reports whether the newest gaps are all far above the belief.
func (s *speed) hasTurned(usual float64) bool {
	if s.slowness == 0 || usual == 0 || len(s.gaps) <= turnedGaps {
		return false
	}
	for _, each := range s.gaps[len(s.gaps)-turnedGaps:] {
		if each.class != s.gaps[len(s.gaps)-1].class || each.seconds < turnedFactor*s.slowness*usual {
			return false
		}
	}
	return true
}

// quiet returns the runner's own gap for each class that it has shown enough of.
func (s *speed) quiet() map[Class]float64 {
	byClass := make(map[Class][]float64)
	for _, each := range s.gaps {
		byClass[each.class] = append(byClass[each.class], each.seconds)
	}
	found := make(map[Class]float64, len(byClass))
	for class, seconds := range byClass {
		if len(seconds) >= minGaps {
			slices.Sort(seconds)
			found[class] = seconds[len(seconds)/quietGaps]
		}
	}
	return found
}

// fitting finds at once how slow runners are and how long an event of each class usually takes,
// of the gaps by runner and class: a runner with only one class, which perhaps only slow runners
// hold, is compared through those that hold several.
type fitting struct {
	gaps     map[string]map[Class]float64
	slowness map[string]float64
	usual    map[Class]float64
}

// newFitting begins with what was believed of the runners, and leaves out what cannot be
// compared: classes at a single runner.
func newFitting(gaps map[string]map[Class]float64, believed func(instance string) float64) *fitting {
	f := &fitting{gaps: gaps, slowness: make(map[string]float64), usual: make(map[Class]float64)}
	holders := make(map[Class]int)
	for _, byClass := range gaps {
		for class := range byClass {
			holders[class]++
		}
	}
	for instance, byClass := range gaps {
		maps.DeleteFunc(byClass, func(class Class, _ float64) bool { return holders[class] < 2 })
		if len(byClass) > 0 {
			f.slowness[instance] = believed(instance)
		}
	}
	for range fits {
		f.fitUsual()
		f.fitSlowness()
	}
	f.center()
	return f
}

// fitUsual takes the geometric mean of a class's gaps, each by the slowness of its runner.
func (f *fitting) fitUsual() {
	sums, counts := make(map[Class]float64), make(map[Class]float64)
	for instance, classes := range f.gaps {
		for class, seconds := range classes {
			sums[class] += math.Log(seconds / f.slowness[instance])
			counts[class]++
		}
	}
	for class, sum := range sums {
		f.usual[class] = math.Exp(sum / counts[class])
	}
}

// fitSlowness takes the geometric mean of a runner's gaps, each by what is usual in its class.
func (f *fitting) fitSlowness() {
	for instance, classes := range f.gaps {
		sum := 0.0
		for class, seconds := range classes {
			sum += math.Log(seconds / f.usual[class])
		}
		if len(classes) > 0 {
			f.slowness[instance] = math.Exp(sum / float64(len(classes)))
		}
	}
}

// center makes the middle one of the runners that can be compared with each other the usual one.
func (f *fitting) center() {
	kin := f.kin()
	alike := make(map[Class][]float64)
	kinOf := make(map[string]Class)
	for instance, classes := range f.gaps {
		for class := range classes {
			kinOf[instance] = kin[class]
			alike[kin[class]] = append(alike[kin[class]], f.slowness[instance])
			break
		}
	}
	for class := range f.usual {
		f.usual[class] *= median(alike[kin[class]])
	}
	for instance, class := range kinOf {
		f.slowness[instance] /= median(alike[class])
	}
}

// kin names for each class the one that stands for all classes which runners link with it: each
// by a runner that holds both, or over others.
func (f *fitting) kin() map[Class]Class {
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

// median is the middle of the values, the lesser of the two of an even number: of two runners
// the quicker one is the usual one. It sorts them.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
