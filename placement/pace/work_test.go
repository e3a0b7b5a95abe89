package pace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// With short answers, a runner spends its time reading prompts, and its capacity is reached at more
// than half of the time. With long answers, a stream meets so many prompts that a few in a row make
// it late long before that.
var (
	shortAnswers = Work{
		Reading: 17 * time.Millisecond, BlockingRead: 30 * time.Millisecond, Stream: 210 * time.Millisecond,
		MaxWait: 400 * time.Millisecond, Slots: 24,
	}
	longAnswers = Work{
		Reading: 60 * time.Millisecond, BlockingRead: 62 * time.Millisecond, Stream: 1800 * time.Millisecond,
		MaxWait: 300 * time.Millisecond, Slots: 64,
	}
)

func TestCapacity(t *testing.T) {
	for _, test := range []struct {
		name        string
		work        Work
		slowness    float64
		least, most float64
	}{
		{"short answers", shortAnswers, 1, 25, 40},
		{"short answers at a runner of half the speed", shortAnswers, 2.1, 8, 18},
		{"long answers", longAnswers, 1, 2, 5},
		{"long answers at a runner of half the speed", longAnswers, 2.1, 0.3, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			capacity := test.work.At(test.slowness).Capacity()
			qt.Assert(t, capacity >= test.least && capacity <= test.most, qt.IsTrue, qt.Commentf("%.1f requests per second", capacity))
		})
	}
}

func TestLateShareGrowsWithRate(t *testing.T) {
	for _, work := range []Work{shortAnswers, longAnswers} {
		for _, slowness := range []float64{0.7, 1, 2, 4} {
			c := qt.New(t)
			load := work.At(slowness)
			former := 0.0
			for rate := 0.0; rate < 100; rate += 0.25 {
				late := load.Late(rate)
				c.Assert(late >= former-1e-9 && late <= 1, qt.IsTrue, qt.Commentf("%v at %v", late, rate))
				former = late
			}
			c.Assert(load.Late(0), qt.Equals, 0.0)
			c.Assert(load.Late(load.Capacity()) <= maxLateShare+0.001, qt.IsTrue)
			c.Assert(former, qt.Equals, 1.0, qt.Commentf("above the largest rate"))
		}
	}
}

func TestSlotsLimitCapacity(t *testing.T) {
	c := qt.New(t)
	few := shortAnswers
	few.Slots = 4
	c.Assert(few.At(1).Capacity() < shortAnswers.At(1).Capacity()/2, qt.IsTrue)
}

func BenchmarkLoad(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		shortAnswers.At(1.5)
	}
}
