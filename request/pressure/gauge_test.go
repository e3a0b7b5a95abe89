package pressure_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/pressure"
)

// pause separates two timers.
const pause = 50 * time.Millisecond

// run observes timers for a while and counts the changes of the state and the connections let go of, of one
// answer with each timer.
func run(g *pressure.Gauge, now *time.Time, length time.Duration, late func(i int) time.Duration) (changes, letGo int) {
	for i := range int(length / pause) {
		*now = now.Add(pause)
		if g.Observe(*now, late(i)) {
			changes++
		}
		if g.LetGo(*now) {
			letGo++
		}
	}
	return changes, letGo
}

func always(late time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return late }
}

// A router on a machine with a third of the others' processor has its quota spent. It lets connections go a few
// at a time, and no more once it is well.
func TestRouterAtItsLimitLetsConnectionsGo(t *testing.T) {
	for _, late := range []time.Duration{60 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			c := qt.New(t)
			var g pressure.Gauge
			now := time.Unix(1000, 0)
			changes, letGo := run(&g, &now, 5*time.Second, always(time.Millisecond))
			c.Assert(changes+letGo, qt.Equals, 0)
			changes, letGo = run(&g, &now, 5*time.Second, always(late))
			c.Assert(changes, qt.Equals, 1)
			c.Assert(g.IsUnder(), qt.IsTrue)
			c.Assert(letGo >= 10 && letGo <= 25, qt.IsTrue, qt.Commentf("%d", letGo))
			changes, _ = run(&g, &now, 6*time.Second, always(time.Millisecond))
			c.Assert(changes, qt.Equals, 1)
			_, letGo = run(&g, &now, 10*time.Second, always(time.Millisecond))
			c.Assert(letGo, qt.Equals, 0)
		})
	}
}

// A machine that is well takes its whole part, whatever happens to it now and then.
func TestMachineThatIsWellKeepsItsCallers(t *testing.T) {
	for _, test := range []struct {
		name string
		late func(i int) time.Duration
	}{
		{"one timer in five is late", func(i int) time.Duration { return time.Duration(i%5/4) * 300 * time.Millisecond }},
		{"frozen for ten seconds once", func(i int) time.Duration { return time.Duration(max(0, 1-i)) * 10 * time.Second }},
		{"busy, not late", always(10 * time.Millisecond)},
		{"late for a third of a second", func(i int) time.Duration {
			if i >= 20 && i < 27 {
				return 100 * time.Millisecond
			}
			return time.Millisecond
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var g pressure.Gauge
			now := time.Unix(1000, 0)
			changes, letGo := run(&g, &now, 30*time.Second, test.late)
			c.Assert(changes+letGo, qt.Equals, 0)
		})
	}
}

// A load that goes up and down every second keeps one state: connections that were let go of must not be
// called back and let go of again.
func TestStateDoesNotFlap(t *testing.T) {
	for _, period := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			c := qt.New(t)
			var g pressure.Gauge
			now := time.Unix(1000, 0)
			changes, _ := run(&g, &now, time.Minute, func(i int) time.Duration {
				if (time.Duration(i)*pause/period)%2 == 0 {
					return 90 * time.Millisecond
				}
				return time.Millisecond
			})
			c.Assert(changes <= 1, qt.IsTrue, qt.Commentf("%d changes", changes))
		})
	}
}
