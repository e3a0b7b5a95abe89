package clock

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSuspensionsAccumulate(t *testing.T) {
	c := qt.New(t)
	const before = 7 * time.Hour
	s := newSuspension(before+time.Second, time.Second)
	c.Assert(s.total(), qt.Equals, time.Duration(0), qt.Commentf("suspensions before the first reading are ignored"))
	s.observe(before+2*time.Second, 2*time.Second)
	c.Assert(s.total(), qt.Equals, time.Duration(0))
	s.observe(before+7*time.Second, 3*time.Second)
	c.Assert(s.total(), qt.Equals, 4*time.Second)
	s.observe(before+10*time.Second, 4*time.Second)
	c.Assert(s.total(), qt.Equals, 6*time.Second)
}

// A delay between the two readings makes their difference too small.
func TestDelayBetweenReadingsDoesNotReduceTheTotal(t *testing.T) {
	c := qt.New(t)
	s := newSuspension(time.Second, time.Second)
	for _, reading := range []struct{ counting, steady time.Duration }{{5, 2}, {6, 9}, {13, 10}} {
		s.observe(reading.counting*time.Second, reading.steady*time.Second)
		c.Assert(s.total(), qt.Equals, 3*time.Second)
	}
}

func TestNowAdvancesWithTheTimeWithoutSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first := Now()
		time.Sleep(time.Minute)
		c.Assert(Now().Sub(first)-Suspended(), qt.Equals, time.Minute)
	})
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		_ = Now()
	}
}
