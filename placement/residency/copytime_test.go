package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// Guards against avoiding a machine forever after slow loads from its copies.
func TestCopySlownessDecays(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(1, func(int, *fleet.Heartbeat) {})
	r := p.runners["r0"]
	for range 10 {
		r.learnCopyTime(start, maxCopySlowness)
	}
	slow := r.copyFactor()
	c.Assert(slow > maxCopySlowness/2, qt.IsTrue, qt.Commentf("%v", slow))
	judgeUntil := func(from, until time.Duration) {
		for after := from; after <= until; after += judgeInterval {
			p.Plan(start.Add(after))
		}
	}
	judgeUntil(0, copyRetention)
	c.Assert(r.copyFactor(), qt.Equals, slow)
	judgeUntil(copyRetention+judgeInterval, copyRetention+4*time.Minute)
	c.Assert(r.copyFactor() < 1.2, qt.IsTrue, qt.Commentf("%v", r.copyFactor()))
}
