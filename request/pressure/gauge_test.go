package pressure_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/pressure"
)

// timerInterval separates two timers.
const timerInterval = 50 * time.Millisecond

// run observes timers for some time and counts the state changes and the closed connections, with one
// response per timer.
func run(g *pressure.Gauge, now *time.Time, length time.Duration, late func(i int) time.Duration) (changes, closed int) {
	for i := range int(length / timerInterval) {
		*now = now.Add(timerInterval)
		if g.Observe(*now, late(i)) {
			changes++
		}
		if g.ShouldClose(*now) {
			closed++
		}
	}
	return changes, closed
}

func always(late time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return late }
}

// A router whose CPU quota is used up closes connections a few at a time, and none once it has recovered.
func TestPressureClosesConnectionsGradually(t *testing.T) {
	for _, late := range []time.Duration{60 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			c := qt.New(t)
			var g pressure.Gauge
			now := time.Unix(1000, 0)
			changes, closed := run(&g, &now, 5*time.Second, always(time.Millisecond))
			c.Assert(changes+closed, qt.Equals, 0)
			changes, closed = run(&g, &now, 5*time.Second, always(late))
			c.Assert(changes, qt.Equals, 1)
			c.Assert(g.IsUnderPressure(), qt.IsTrue)
			c.Assert(closed >= 10 && closed <= 25, qt.IsTrue, qt.Commentf("%d", closed))
			changes, _ = run(&g, &now, 6*time.Second, always(time.Millisecond))
			c.Assert(changes, qt.Equals, 1)
			_, closed = run(&g, &now, 10*time.Second, always(time.Millisecond))
			c.Assert(closed, qt.Equals, 0)
		})
	}
}

// Short or single delays cause no pressure.
func TestShortDelaysAreNotPressure(t *testing.T) {
	for _, test := range []struct {
		name string
		late func(i int) time.Duration
	}{
		{"one timer in five is late", func(i int) time.Duration { return time.Duration(i%5/4) * 300 * time.Millisecond }},
		{"one pause of ten seconds", func(i int) time.Duration { return time.Duration(max(0, 1-i)) * 10 * time.Second }},
		{"small constant delay", always(10 * time.Millisecond)},
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
			changes, closed := run(&g, &now, 30*time.Second, test.late)
			c.Assert(changes+closed, qt.Equals, 0)
		})
	}
}

// A load that varies every second does not toggle the state, which would close connections repeatedly.
func TestStateDoesNotFlap(t *testing.T) {
	for _, period := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			c := qt.New(t)
			var g pressure.Gauge
			now := time.Unix(1000, 0)
			changes, _ := run(&g, &now, time.Minute, func(i int) time.Duration {
				if (time.Duration(i)*timerInterval/period)%2 == 0 {
					return 90 * time.Millisecond
				}
				return time.Millisecond
			})
			c.Assert(changes <= 1, qt.IsTrue, qt.Commentf("%d changes", changes))
		})
	}
}
