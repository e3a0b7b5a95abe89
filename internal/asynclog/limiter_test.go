package asynclog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLimiterReportsSuppressedLines(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(100, 0)
	l := NewLimiter(2)
	for i := range 5 {
		_, allowed := l.Allow(at.Add(time.Duration(i) * time.Millisecond))
		c.Assert(allowed, qt.Equals, i < 2)
	}
	suppressed, allowed := l.Allow(at.Add(time.Second))
	c.Assert(allowed, qt.IsTrue)
	c.Assert(suppressed, qt.Equals, 3)
	suppressed, _ = l.Allow(at.Add(time.Second))
	c.Assert(suppressed, qt.Equals, 0)
}
