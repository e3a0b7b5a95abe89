package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// site simulates the streams of runners for a learner.
type site struct {
	learner *Learner
	random  *rand.Rand
	now     time.Time
	// slowness is the true slowness of each runner.
	slowness []float64
	// stretch returns the factor by which load or noise lengthens the gap of a stream.
	stretch func(runner int) float64
	class   func(runner int) Class
	// judgedAt is the time of the last call of Judge, once a second.
	judgedAt time.Time
}

const typicalGap = 0.021

var typicalClass = Class{Service: "s", SizeMB: 70}

func newSite(slowness ...float64) *site {
	s := &site{
		learner: NewLearner(), random: rand.New(rand.NewPCG(5, 5)), now: time.Unix(5000, 0), slowness: slowness,
		stretch: func(int) float64 { return 1 }, class: func(int) Class { return typicalClass },
	}
	for i := range slowness {
		s.learner.Expect(s.now, name(i), 0)
	}
	return s
}

func name(runner int) string { return fmt.Sprint("r", runner) }

// play simulates the given number of seconds in which rate streams per second end at each runner.
func (s *site) play(seconds float64, rate float64) {
	const step = 50 * time.Millisecond
	for range int(seconds / step.Seconds()) {
		s.now = s.now.Add(step)
		for i := range s.slowness {
			if s.random.Float64() < rate*step.Seconds() {
				s.end(i)
			}
		}
		if s.now.Sub(s.judgedAt) >= time.Second {
			s.judgedAt = s.now
			s.learner.Judge(s.now)
		}
	}
}

// end ends a stream at a runner. Gaps vary by up to five percent.
func (s *site) end(runner int) {
	gap := typicalGap * s.slowness[runner] * s.stretch(runner) * (1 + 0.05*s.random.Float64())
	s.learner.Add(s.now, Sample{Instance: name(runner), Class: s.class(runner), Gap: time.Duration(gap * float64(time.Second)), Events: 10})
}

func (s *site) check(c *qt.C, runner int, want, tolerance float64) {
	c.Helper()
	found := s.learner.Slowness(name(runner))
	c.Assert(math.Abs(found-want) <= tolerance*want, qt.IsTrue, qt.Commentf("runner %d: %.2f, not %.2f", runner, found, want))
}

// tolerance allows for publishFactor and for the variation of gaps.
const tolerance = publishFactor - 1 + 0.05

// A quarter of the runners takes twice as long.
func TestSlownessIsRelativeToTypicalRunner(t *testing.T) {
	c := qt.New(t)
	s := newSite(1, 1, 1, 2.1, 1, 1, 1, 2.1, 1, 1, 1, 2.1)
	s.play(6, 4)
	for i, want := range s.slowness {
		s.check(c, i, want, tolerance)
	}
}

// Load stretches most streams of some runners, but not all.
func TestLoadIsNotSlowness(t *testing.T) {
	c := qt.New(t)
	s := newSite(1, 1, 1, 1, 1, 2)
	s.stretch = func(runner int) float64 {
		if runner < 2 && s.random.IntN(3) > 0 {
			return 1 + 2*s.random.Float64()
		}
		return 1
	}
	s.play(20, 8)
	for i, want := range s.slowness {
		s.check(c, i, want, tolerance)
	}
}

// Noise stretches one in seven streams at all runners.
func TestNoiseIsNotSlowness(t *testing.T) {
	c := qt.New(t)
	s := newSite(1, 1, 1, 1, 1, 1, 1, 2)
	s.stretch = func(int) float64 {
		if s.random.Float64() < 0.15 {
			return 2.5
		}
		return 1
	}
	for range 30 {
		s.play(1, 5)
		if s.now.Sub(time.Unix(5000, 0)) < 4*time.Second {
			continue
		}
		for i, want := range s.slowness {
			s.check(c, i, want, tolerance)
		}
	}
}

// A runner that has become four times as slow delays every event beyond what callers accept.
func TestSlowdownIsDetectedWithinTwoSeconds(t *testing.T) {
	c := qt.New(t)
	s := newSite(1, 1, 1, 1, 1)
	s.play(20, 6)
	s.slowness[0] = 4
	s.play(2, 6)
	s.check(c, 0, 4, tolerance)
	s.check(c, 1, 1, tolerance)
	s.slowness[0] = 1
	s.play(2, 6)
	s.check(c, 0, 1, tolerance)
}

// Guards against taking runners for faster or slower because the samples of others are older.
func TestLateSamplesOfHalfOfTheRunners(t *testing.T) {
	c := qt.New(t)
	s := newSite(1, 1, 1, 1, 2, 2)
	late := make(map[int][]time.Time)
	s.play(5, 5)
	for range 400 {
		s.now = s.now.Add(50 * time.Millisecond)
		for i := range s.slowness {
			if s.random.Float64() > 0.25 {
				continue
			}
			if i%2 == 1 {
				late[i] = append(late[i], s.now)
			} else {
				s.end(i)
			}
		}
		for i, ended := range late {
			if len(ended) > 0 && s.now.Sub(ended[0]) > 2*time.Second {
				s.end(i)
				late[i] = ended[1:]
			}
		}
		s.play(0.05, 0)
		for i, want := range s.slowness {
			s.check(c, i, want, tolerance)
		}
	}
}

// Events of larger models take longer. A runner that holds only large models is not slow, even if
// only slow runners hold them too.
func TestLargeModelsAreNotSlowness(t *testing.T) {
	c := qt.New(t)
	s := newSite(1, 1, 1, 1, 1, 2, 2)
	large := Class{Service: "s", SizeMB: 140}
	isLarge := false
	s.class = func(runner int) Class {
		// Runner 4 holds both classes, 5 and 6 only the large one.
		isLarge = runner > 4 || runner == 4 && s.random.IntN(2) == 0
		if isLarge {
			return large
		}
		return typicalClass
	}
	s.stretch = func(int) float64 { return 1 }
	s.play(2, 0)
	for range 300 {
		s.now = s.now.Add(50 * time.Millisecond)
		for i := range s.slowness {
			class := s.class(i)
			gap := typicalGap * s.slowness[i]
			if class == large {
				gap *= 1.8
			}
			s.learner.Add(s.now, Sample{Instance: name(i), Class: class, Gap: time.Duration(gap * float64(time.Second))})
		}
		s.play(0.05, 0)
	}
	for i, want := range s.slowness {
		s.check(c, i, want, 0.25)
	}
}

// The first stream of a cold model is slow for reasons other than the runner.
func TestTooFewStreamsAreIgnored(t *testing.T) {
	c := qt.New(t)
	s := newSite(1, 1, 1)
	s.play(5, 5)
	s.learner.Expect(s.now, "new", 0)
	s.learner.Add(s.now, Sample{Instance: "new", Class: typicalClass, Gap: 300 * time.Millisecond})
	s.play(2, 5)
	c.Assert(s.learner.Slowness("new"), qt.Equals, 0.0)
	s.learner.Add(s.now, Sample{Instance: "unexpected", Class: typicalClass, Gap: 300 * time.Millisecond})
	c.Assert(s.learner.Slowness("unexpected"), qt.Equals, 0.0)
}

// A new runner inherits the slowness of the previous one at its endpoint. Guards against never
// using it again.
func TestSlownessDecaysWithoutSamples(t *testing.T) {
	c := qt.New(t)
	s := newSite(1, 1, 1)
	s.play(5, 5)
	s.learner.Expect(s.now, "prior", 2)
	c.Assert(s.learner.Slowness("prior"), qt.Equals, 2.0)
	s.play(slownessRetention.Seconds()-1, 2)
	c.Assert(s.learner.Slowness("prior"), qt.Equals, 2.0)
	s.play(3*decayTime.Seconds(), 2)
	c.Assert(s.learner.Slowness("prior") < 1.2, qt.IsTrue, qt.Commentf("%v", s.learner.Slowness("prior")))
}

// Guards against changes that are sent to every router while the runners stay as they are.
func TestFewChangesArePublished(t *testing.T) {
	c := qt.New(t)
	slowness := make([]float64, 60)
	for i := range slowness {
		slowness[i] = 1 + float64(i%4/3)
	}
	s := newSite(slowness...)
	s.stretch = func(int) float64 { return 1 + 0.5*s.random.Float64()*s.random.Float64() }
	s.play(10, 8)
	changes := 0
	for range 60 {
		former := make([]float64, len(slowness))
		for i := range former {
			former[i] = s.learner.Slowness(name(i))
		}
		s.play(1, 8)
		for i := range former {
			if former[i] != s.learner.Slowness(name(i)) {
				changes++
			}
		}
	}
	c.Assert(changes < 12, qt.IsTrue, qt.Commentf("%d changes in a minute at 60 runners", changes))
	c.Assert(s.learner.Error("s") < 0.25, qt.IsTrue, qt.Commentf("%v", s.learner.Error("s")))
}

// Most prompts wait for others, and some of those that the router takes for uncached are in the
// cache.
func TestPromptRate(t *testing.T) {
	for _, test := range []struct {
		name    string
		lengths []int64
		cached  float64
	}{
		{"short and long prompts", []int64{491, 2890}, 0}, {"some prompts are cached", []int64{491, 2890}, 0.15},
		{"prompts of one length", []int64{1110}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			const perSecond = 38400
			s := newSite(1, 1, 1, 1)
			s.play(5, 5)
			for range 600 {
				own := test.lengths[s.random.IntN(len(test.lengths))]
				waits := 0.2 * max(0, s.random.Float64()-0.3)
				first := 0.021 + float64(own)/perSecond + waits
				if s.random.Float64() < test.cached {
					first = 0.021 + waits
				}
				s.learner.Add(s.now, Sample{
					Instance: "r0", Class: typicalClass, First: time.Duration(first * float64(time.Second)),
					Prompt: own, Events: 10,
				})
			}
			s.play(2, 5)
			rate := s.learner.Runner("s", "r0").PromptRate / perSecond
			c.Assert(rate > 0.75 && rate < 1.3, qt.IsTrue, qt.Commentf("%.2f", rate))
			c.Assert(s.learner.Work("s").Reading > 0, qt.IsTrue)
		})
	}
}

func BenchmarkAdd(b *testing.B) {
	s := newSite(make([]float64, 100)...)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		s.learner.Add(s.now, Sample{Instance: name(i % 100), Class: typicalClass, Gap: 21 * time.Millisecond, First: 40 * time.Millisecond, Prompt: 640, Events: 10})
	}
}

func BenchmarkJudge(b *testing.B) {
	for _, runners := range []int{90, 300, 1000, 3000} {
		b.Run(fmt.Sprint(runners, "-runners"), func(b *testing.B) {
			slowness := make([]float64, runners)
			for i := range slowness {
				slowness[i] = 1
			}
			s := newSite(slowness...)
			s.play(3, 8)
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				s.learner.Judge(s.now)
			}
		})
	}
}
