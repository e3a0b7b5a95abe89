package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

var testTiming = Timing{Heartbeat: DefaultHeartbeat}

func beat(instance string, sequence uint64) Heartbeat {
	return Heartbeat{Instance: instance, Service: "answers", Address: "10.0.0.1:80", Sequence: sequence}
}

func instances(statuses []Status) []string {
	var names []string
	for _, status := range statuses {
		names = append(names, status.Heartbeat.Instance)
	}
	return names
}

func TestLateHeartbeatDoesNotRestoreDepartedRunner(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(start, testTiming)
	c.Assert(r.ObserveHeartbeat(start, beat("a", 5)), qt.IsTrue)
	c.Assert(r.ObserveHeartbeat(start, beat("a", 4)), qt.IsFalse)
	r.Depart(start, "a", false)
	c.Assert(r.ObserveHeartbeat(start, beat("a", 6)), qt.IsTrue)
	c.Assert(r.Runners(start)[0].Leaving, qt.IsTrue)
	r.Depart(start, "a", true)
	c.Assert(r.ObserveHeartbeat(start, beat("a", 7)), qt.IsFalse)
	c.Assert(r.Runners(start), qt.HasLen, 0)
	c.Assert(r.Gone(), qt.DeepEquals, []string{"a"})
}

func TestDepartureBeforeFirstHeartbeatIsKept(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(start, testTiming)
	r.Depart(start, "a", true)
	c.Assert(r.ObserveHeartbeat(start, beat("a", 1)), qt.IsFalse)
}

func TestSilentRunnerIsDroppedUntilNextHeartbeat(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(start, testTiming)
	r.ObserveHeartbeat(start, beat("a", 1))
	c.Assert(instances(r.Runners(start.Add(testTiming.SilenceLimit()))), qt.DeepEquals, []string{"a"})
	late := start.Add(testTiming.SilenceLimit() + time.Millisecond)
	c.Assert(r.Runners(late), qt.HasLen, 0)
	r.ObserveHeartbeat(late, beat("a", 2))
	c.Assert(r.Runners(late), qt.HasLen, 1)
}

func TestRunnerLeavingAtShortNoticeExpires(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(start, testTiming)
	notice := beat("a", 1)
	notice.Leaving, notice.EndsIn = true, 2*time.Second
	r.ObserveHeartbeat(start, notice)
	c.Assert(r.Runners(start.Add(2 * time.Second))[0].EndsAt, qt.Equals, start.Add(2*time.Second))
	c.Assert(r.Runners(start.Add(4*time.Second)), qt.HasLen, 0)
}

func TestIncompleteViewKeepsUnlistedRunners(t *testing.T) {
	c := qt.New(t)
	known := View{Complete: true, Runners: []Runner{{Instance: "a", Address: "1"}, {Instance: "b", Address: "2"}, {Instance: "c", Address: "3"}}}
	merged := Merge(known, View{Gone: []string{"b"}, Runners: []Runner{{Instance: "d", Address: "3"}}})
	c.Assert(merged.Runners, qt.DeepEquals, []Runner{{Instance: "d", Address: "3"}, {Instance: "a", Address: "1"}})
	whole := Merge(known, View{Complete: true, Runners: []Runner{{Instance: "d", Address: "3"}}})
	c.Assert(whole.Runners, qt.HasLen, 1)
}

func TestAddressHasOneInstance(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(start, testTiming)
	r.ObserveHeartbeat(start, beat("old", 9))
	r.ObserveHeartbeat(start, beat("new", 1))
	c.Assert(instances(r.Runners(start)), qt.DeepEquals, []string{"new"})
	// A late heartbeat of the old instance takes the address only until the new instance's next
	// heartbeat.
	r.ObserveHeartbeat(start, beat("old", 10))
	r.ObserveHeartbeat(start, beat("new", 2))
	c.Assert(instances(r.Runners(start)), qt.DeepEquals, []string{"new"})
}

func TestRecalledRunnerIsListedUntilItsHeartbeat(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(start, testTiming)
	r.Depart(start, "gone", true)
	r.Recall(start, beat("gone", 0))
	r.Recall(start, beat("a", 0))
	c.Assert(instances(r.Runners(start)), qt.DeepEquals, []string{"a"})
	c.Assert(r.Runners(start)[0].Recalled, qt.IsTrue)
	c.Assert(r.ObserveHeartbeat(start, beat("a", 3)), qt.IsTrue)
	c.Assert(r.Runners(start)[0].Recalled, qt.IsFalse)
	c.Assert(r.Silent(start.Add(time.Minute), 20*time.Second), qt.DeepEquals, []string{"a", "gone"})
}

func TestMovedInstanceReleasesItsAddress(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(start, testTiming)
	r.Recall(start, beat("a", 0))
	r.ObserveHeartbeat(start, beat("b", 1))
	moved := beat("b", 2)
	moved.Address = "10.0.0.2:80"
	r.ObserveHeartbeat(start, moved)
	r.ObserveHeartbeat(start, beat("a", 1))
	c.Assert(instances(r.Runners(start)), qt.DeepEquals, []string{"a", "b"})
	r.Expire(start.Add(tombstoneTTL + time.Second))
	c.Assert(r.addresses, qt.HasLen, 0)
}

// BenchmarkObserveHeartbeat measures one heartbeat in a fleet of 3,000 runners.
func BenchmarkObserveHeartbeat(b *testing.B) {
	r := NewRegistry(start, testTiming)
	beats := make([]Heartbeat, 3000)
	for i := range beats {
		beats[i] = Heartbeat{Instance: fmt.Sprint("i-", i), Address: fmt.Sprint("10.0.0.1:", i)}
	}
	for i := 0; b.Loop(); i++ {
		beat := &beats[i%len(beats)]
		beat.Sequence++
		r.ObserveHeartbeat(start, *beat)
	}
}

func TestRunnerIsColdForReportedTime(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(start, testTiming)
	cold := beat("a", 1)
	cold.ColdFor = 3 * time.Second
	r.ObserveHeartbeat(start, cold)
	c.Assert(r.Runners(start.Add(2 * time.Second))[0].Cold, qt.IsTrue)
	c.Assert(r.Runners(start.Add(3 * time.Second))[0].Cold, qt.IsFalse)
	for passed, left := range map[time.Duration]time.Duration{0: 3 * time.Second, time.Second: 2 * time.Second, 4 * time.Second: 0} {
		c.Check(r.Runners(start.Add(passed))[0].ColdFor, qt.Equals, left)
	}
	r.ObserveHeartbeat(start.Add(time.Second), beat("a", 2))
	c.Assert(r.Runners(start.Add(time.Second))[0].Cold, qt.IsFalse)
}

// Guards against losing the cold state of a runner when a new leader has not heard from it yet.
func TestRecalledRunnerStaysColdAtRouter(t *testing.T) {
	for name, learned := range map[string]View{
		"incomplete": {Runners: []Runner{{Instance: "a", Recalled: true}, {Instance: "b"}}},
		"partial":    {Partial: true, Runners: []Runner{{Instance: "a", Recalled: true}, {Instance: "b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			known := View{Runners: []Runner{{Instance: "a", Cold: true}, {Instance: "b", Cold: true}}}
			merged := Merge(known, learned)
			c.Assert(merged.Runners[0].Cold, qt.IsTrue)
			c.Assert(merged.Runners[1].Cold, qt.IsFalse)
		})
	}
}
