package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a lost and a late heartbeat making a runner silent, and against a leader that is
// complete before each runner had its turn, at any heartbeat interval.
func TestSilenceFollowsHeartbeatInterval(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second, 20 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			c := qt.New(t)
			r := NewRegistry(start, Timing{Heartbeat: pause})
			r.ObserveHeartbeat(start, beat("a", 1))
			oneLostOneLate := start.Add(2*pause + 3*time.Second)
			c.Assert(r.Runners(oneLostOneLate), qt.HasLen, 1)
			c.Assert(r.Complete(start.Add(pause+3*time.Second)), qt.IsFalse)
			c.Assert(r.Complete(start.Add(pause+6*time.Second)), qt.IsTrue)
			c.Assert(r.Runners(start.Add(3*pause+6*time.Second)), qt.HasLen, 0)
			c.Assert(r.timing.DeregistrationDelay() > r.timing.SilenceLimit(), qt.IsTrue)
		})
	}
	c := qt.New(t)
	c.Assert(Timing{Heartbeat: DefaultHeartbeat}.SilenceLimit(), qt.Equals, 8*time.Second)
	c.Assert(Timing{Heartbeat: DefaultHeartbeat}.LearningPeriod(), qt.Equals, 6*time.Second)
	c.Assert(Timing{Heartbeat: DefaultHeartbeat}.DeregistrationDelay(), qt.Equals, 20*time.Second)
}
