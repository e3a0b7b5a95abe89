package pace

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// mapFitting computes the same as fitting by maps, without indexes.
type mapFitting struct {
	gaps        map[string]map[Class]float64
	slowness    map[string]float64
	typicalGaps map[Class]float64
}

// newMapFitting starts from the initial slowness of the runners and ignores classes seen at a single
// runner, which can't be compared.
func newMapFitting(gaps map[string]map[Class]float64, initial func(instance string) float64) *mapFitting {
	f := &mapFitting{gaps: gaps, slowness: make(map[string]float64), typicalGaps: make(map[Class]float64)}
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
func (f *mapFitting) fitTypicalGaps() {
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
func (f *mapFitting) fitSlowness() {
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
func (f *mapFitting) normalize() {
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
func (f *mapFitting) components() map[Class]Class {
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

// Guards against runners or classes that are confused by their indexes.
func TestFittingEqualsFitByMaps(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			found, gaps, initial := newFitting(), make(map[string]map[Class]float64), make(map[string]float64)
			for i := range random.IntN(30) {
				instance := name(i)
				runner := &speed{slowness: float64(random.IntN(3))}
				initial[instance] = max(1, runner.slowness)
				gaps[instance] = make(map[Class]float64)
				var listed []unloadedGap
				for range 1 + random.IntN(3) {
					class := Class{Service: fmt.Sprint("s", i%2), SizeMB: float64(random.IntN(8))}
					if _, isListed := gaps[instance][class]; !isListed {
						gaps[instance][class] = 0.01 + 0.05*random.Float64()
						listed = append(listed, unloadedGap{class, gaps[instance][class]})
					}
				}
				found.add(runner, listed)
				runner.published = float64(i)
			}
			found.fit()
			checkFit(qt.New(t), found, newMapFitting(gaps, func(instance string) float64 { return initial[instance] }))
		})
	}
}

func checkFit(c *qt.C, found *fitting, want *mapFitting) {
	c.Helper()
	isNear := func(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Abs(b) }
	c.Assert(found.runners, qt.HasLen, len(want.slowness))
	for _, runner := range found.runners {
		instance := name(int(runner.speed.published))
		c.Assert(isNear(runner.slowness, want.slowness[instance]), qt.IsTrue, qt.Commentf("%s", instance))
	}
	fitted := 0
	for _, each := range found.classes {
		if each.runners < 2 {
			continue
		}
		fitted++
		c.Assert(isNear(each.typicalGap, want.typicalGaps[each.class]), qt.IsTrue, qt.Commentf("%v", each.class))
	}
	c.Assert(fitted, qt.Equals, len(want.typicalGaps))
}
