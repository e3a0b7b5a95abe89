package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against waiting until each runner of a partitioned zone is overdue, which delays loading
// its models elsewhere.
func TestSilentZoneIsLost(t *testing.T) {
	const (
		pause   = 1200 * time.Millisecond
		runners = 15
	)
	for _, test := range []struct {
		name string
		// routers is the number of routers that report runners of zone b. Zones in cut send no
		// heartbeats.
		routers int
		cut     map[string]bool
		// runners is the number per zone, silent the duration of the partition.
		runners int
		silent  time.Duration
		isLost  bool
	}{
		{"silent, two reporting routers", 2, map[string]bool{"b": true}, runners, 500 * time.Millisecond, true},
		{"silent, one reporting router", 1, map[string]bool{"b": true}, runners, 500 * time.Millisecond, false},
		{"silent, no reporting router", 0, map[string]bool{"b": true}, runners, 500 * time.Millisecond, false},
		{"heard, many reporting routers", 20, nil, runners, 500 * time.Millisecond, false},
		{"silent too briefly", 2, map[string]bool{"b": true}, runners, 300 * time.Millisecond, false},
		{"all zones silent", 20, map[string]bool{"a": true, "b": true}, runners, 500 * time.Millisecond, false},
		{"zone with two runners", 2, map[string]bool{"b": true}, 2, 500 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := NewRegistry(start, testTiming)
			sequences := make(map[string]uint64)
			now := start
			run := func(length time.Duration, cut map[string]bool) {
				for end := now.Add(length); now.Before(end); now = now.Add(10 * time.Millisecond) {
					for _, zone := range []string{"a", "b"} {
						for number := range test.runners {
							phase := pause / time.Duration(test.runners) * time.Duration(number) / (10 * time.Millisecond) * (10 * time.Millisecond)
							if cut[zone] || now.Sub(start)%pause != phase {
								continue
							}
							name := fmt.Sprint(zone, number)
							sequences[name]++
							heartbeat := beat(name, sequences[name])
							heartbeat.Zone, heartbeat.Address = zone, name
							r.ObserveHeartbeat(now, heartbeat)
						}
					}
				}
			}
			run(6*time.Second, nil)
			for router := range test.routers {
				for number := range test.runners {
					r.ReportUnreachable(fmt.Sprint("b", number), fmt.Sprint("router-", router))
				}
			}
			run(test.silent, test.cut)
			lost := 0
			for _, status := range r.Runners(now) {
				if status.Lost {
					c.Assert(status.Heartbeat.Zone, qt.Equals, "b")
					lost++
				}
			}
			// Runners with a heartbeat after the reports are not lost.
			c.Assert(lost == test.runners, qt.Equals, test.isLost, qt.Commentf("%d lost", lost))
			run(2*pause, nil)
			for _, status := range r.Runners(now) {
				c.Assert(status.Lost, qt.IsFalse)
			}
		})
	}
}
