package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// passAll passes on one event after each of the gaps.
func passAll(s *streamTiming, gaps ...time.Duration) {
	at := s.sentAt.Add(30 * time.Millisecond)
	s.passed(at, 1)
	for _, gap := range gaps {
		at = at.Add(gap * time.Millisecond)
		s.passed(at, 1)
	}
}

func newStreamTiming() *streamTiming { return &streamTiming{sentAt: time.Unix(5000, 0)} }

// A router that was held up passes two events on at once, or one late and the next soon after
// it. Neither is the runner's.
func TestGapOfAStreamIsTheRunnersOwn(t *testing.T) {
	for _, test := range []struct {
		name string
		gaps []time.Duration
		want time.Duration
	}{
		{"steady", []time.Duration{21, 21, 21, 21, 21, 21, 21, 21, 3}, 21},
		{"prompts are read in between", []time.Duration{21, 60, 21, 38, 21, 95, 21, 55, 3}, 21},
		{"the router is held up", []time.Duration{21, 35, 7, 21, 21, 30, 21, 21, 3}, 21},
		{"the first and the last hold few tokens", []time.Duration{12, 21, 21, 21, 21, 9, 3}, 21},
		{"too few", []time.Duration{21, 21, 21, 3}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newStreamTiming()
			passAll(s, test.gaps...)
			s.dropLast()
			qt.Assert(t, s.gap(), qt.Equals, test.want*time.Millisecond)
			qt.Assert(t, s.gap(), qt.Equals, time.Duration(0), qt.Commentf("told once"))
		})
	}
	t.Run("events that came together", func(t *testing.T) {
		s := newStreamTiming()
		passAll(s, 21, 21, 21)
		s.passed(s.passedAt.Add(200*time.Millisecond), 3)
		passAll(s, 21, 21)
		qt.Assert(t, s.gap(), qt.Not(qt.Equals), 200*time.Millisecond)
		qt.Assert(t, s.events, qt.Equals, 10)
	})
}

// A stream of many seconds at a runner that has turned slow tells of it within one.
func TestLongStreamsTellTheirGapBeforeTheyEnd(t *testing.T) {
	c := qt.New(t)
	long := newStreamTiming()
	passAll(long, 84, 84, 84, 84, 84, 84, 84, 84)
	c.Assert(long.tellsGap(), qt.IsTrue)
	c.Assert(long.passedAt.Sub(long.sentAt) < time.Second, qt.IsTrue)
	c.Assert(long.gap(), qt.Equals, 84*time.Millisecond)
	c.Assert(long.tellsGap(), qt.IsFalse)
	short := newStreamTiming()
	passAll(short, 21, 21, 21, 21, 21, 21, 21, 21)
	c.Assert(short.tellsGap(), qt.IsFalse, qt.Commentf("its end will tell"))
	c.Assert(short.first(), qt.Equals, 30*time.Millisecond)
	c.Assert(newStreamTiming().first(), qt.Equals, time.Duration(0))
}
