package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A runner whose loads end sends more heartbeats than the regular ones.
func TestHeartbeatsBetweenTheRegularOnesMakeNoneOverdue(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(start, testTiming)
	at := start
	for sequence := range uint64(20) {
		r.Hear(at, beat("a", 2*sequence+1))
		r.Hear(at.Add(100*time.Millisecond), beat("a", 2*sequence+2))
		at = at.Add(time.Second)
	}
	r.Complain("a", "one")
	r.Complain("a", "other")
	c.Assert(r.Runners(at)[0].Lost, qt.IsFalse)
}

func TestRunnerThatRoutersCannotReachIsLost(t *testing.T) {
	const pause = time.Second
	for _, test := range []struct {
		name    string
		routers int
		after   time.Duration
		isLost  bool
	}{
		{"overdue, and no router says so", 0, 3 * pause, false},
		{"overdue, and one router", 1, 3 * pause, false},
		{"overdue, and two routers", 2, 3 * pause, true},
		{"in time, and two routers", 2, pause / 2, false},
		{"in time, and many routers", 20, pause / 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := NewRegistry(start, testTiming)
			at := start
			for sequence := range uint64(5) {
				at = start.Add(time.Duration(sequence) * pause)
				r.Hear(at, beat("a", sequence+1))
			}
			for i := range test.routers {
				r.Complain("a", fmt.Sprint("router-", i))
				r.Complain("a", fmt.Sprint("router-", i))
			}
			status := r.Runners(at.Add(test.after))[0]
			c.Assert(status.Lost, qt.Equals, test.isLost)
			r.Hear(at.Add(test.after), beat("a", 6))
			c.Assert(r.Runners(at.Add(test.after))[0].Lost, qt.IsFalse, qt.Commentf("a heartbeat refutes it"))
		})
	}
}
