package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against extra heartbeats at the end of a load making the regular ones overdue.
func TestExtraHeartbeatsMakeNoneOverdue(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(start, testTiming)
	at := start
	for sequence := range uint64(20) {
		r.ObserveHeartbeat(at, beat("a", 2*sequence+1))
		r.ObserveHeartbeat(at.Add(100*time.Millisecond), beat("a", 2*sequence+2))
		at = at.Add(time.Second)
	}
	r.ReportUnreachable("a", "one")
	r.ReportUnreachable("a", "other")
	c.Assert(r.Runners(at)[0].Lost, qt.IsFalse)
}

func TestUnreachableRunnerIsLost(t *testing.T) {
	const pause = time.Second
	for _, test := range []struct {
		name    string
		routers int
		after   time.Duration
		isLost  bool
	}{
		{"overdue, no report", 0, 3 * pause, false},
		{"overdue, one report", 1, 3 * pause, false},
		{"overdue, two reports", 2, 3 * pause, true},
		{"in time, two reports", 2, pause / 2, false},
		{"in time, many reports", 20, pause / 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := NewRegistry(start, testTiming)
			at := start
			for sequence := range uint64(5) {
				at = start.Add(time.Duration(sequence) * pause)
				r.ObserveHeartbeat(at, beat("a", sequence+1))
			}
			for i := range test.routers {
				r.ReportUnreachable("a", fmt.Sprint("router-", i))
				r.ReportUnreachable("a", fmt.Sprint("router-", i))
			}
			status := r.Runners(at.Add(test.after))[0]
			c.Assert(status.Lost, qt.Equals, test.isLost)
			r.ObserveHeartbeat(at.Add(test.after), beat("a", 6))
			c.Assert(r.Runners(at.Add(test.after))[0].Lost, qt.IsFalse, qt.Commentf("not cleared by a heartbeat"))
		})
	}
}
