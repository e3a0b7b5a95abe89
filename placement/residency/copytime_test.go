package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// A machine that was slow at loads from its copies gets none that another can do. What is believed of it
// fades, so that it is tried again.
func TestSlowCopiesAreForgottenWithoutNews(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(1, func(int, *fleet.Heartbeat) {})
	known := p.runners["r0"]
	for range 10 {
		known.learnCopyTime(start, mostCopySlowness)
	}
	slow := known.copyFactor()
	c.Assert(slow > mostCopySlowness/2, qt.IsTrue, qt.Commentf("%v", slow))
	judgeUntil := func(from, until time.Duration) {
		for after := from; after <= until; after += judgeInterval {
			p.Plan(start.Add(after))
		}
	}
	judgeUntil(0, copyBelievedFor)
	c.Assert(known.copyFactor(), qt.Equals, slow)
	judgeUntil(copyBelievedFor+judgeInterval, copyBelievedFor+4*time.Minute)
	c.Assert(known.copyFactor() < 1.2, qt.IsTrue, qt.Commentf("%v", known.copyFactor()))
}
