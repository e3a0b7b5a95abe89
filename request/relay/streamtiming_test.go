package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// passAll records one event after each of the gaps, in milliseconds.
func passAll(s *streamTiming, gaps ...time.Duration) {
	at := s.sentAt.Add(30 * time.Millisecond)
	s.notePassed(at, 1)
	for _, gap := range gaps {
		at = at.Add(gap * time.Millisecond)
		s.notePassed(at, 1)
	}
}

func newStreamTiming() *streamTiming { return &streamTiming{sentAt: time.Unix(5000, 0)} }

// A delayed router forwards two events at once, or one late and the next one soon after it. Neither
// must change the measured gap of the runner.
func TestGapIgnoresRouterDelays(t *testing.T) {
	for _, test := range []struct {
		name string
		gaps []time.Duration
		want time.Duration
	}{
		{"steady", []time.Duration{21, 21, 21, 21, 21, 21, 21, 21, 3}, 21},
		{"interrupted by prompts", []time.Duration{21, 60, 21, 38, 21, 95, 21, 55, 3}, 21},
		{"router delayed", []time.Duration{21, 35, 7, 21, 21, 30, 21, 21, 3}, 21},
		{"small first and last events", []time.Duration{12, 21, 21, 21, 21, 9, 3}, 21},
		{"too few gaps", []time.Duration{21, 21, 21, 3}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newStreamTiming()
			passAll(s, test.gaps...)
			s.dropLast()
			qt.Assert(t, s.gap(), qt.Equals, test.want*time.Millisecond)
			qt.Assert(t, s.gap(), qt.Equals, time.Duration(0), qt.Commentf("reported once"))
		})
	}
	t.Run("events received together", func(t *testing.T) {
		s := newStreamTiming()
		passAll(s, 21, 21, 21)
		s.notePassed(s.passedAt.Add(200*time.Millisecond), 3)
		passAll(s, 21, 21)
		qt.Assert(t, s.gap(), qt.Not(qt.Equals), 200*time.Millisecond)
		qt.Assert(t, s.events, qt.Equals, 10)
	})
}

// The gap of a long stream at a slow runner must be reported within a second.
func TestLongStreamReportsGapEarly(t *testing.T) {
	c := qt.New(t)
	long := newStreamTiming()
	passAll(long, 84, 84, 84, 84, 84, 84, 84, 84)
	c.Assert(long.shouldReportGap(), qt.IsTrue)
	c.Assert(long.passedAt.Sub(long.sentAt) < time.Second, qt.IsTrue)
	c.Assert(long.gap(), qt.Equals, 84*time.Millisecond)
	c.Assert(long.shouldReportGap(), qt.IsFalse)
	short := newStreamTiming()
	passAll(short, 21, 21, 21, 21, 21, 21, 21, 21)
	c.Assert(short.shouldReportGap(), qt.IsFalse, qt.Commentf("reported at the end"))
	c.Assert(short.first(), qt.Equals, 30*time.Millisecond)
	c.Assert(newStreamTiming().first(), qt.Equals, time.Duration(0))
}
