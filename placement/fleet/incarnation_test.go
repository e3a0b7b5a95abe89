package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
)

// event is a message to the leader about one of two incarnations of the runner "i".
type event struct {
	name      string
	startTime int64
	apply     func(r *Registry, now time.Time)
}

func heartbeatOf(startTime int64, sequence uint64, leaving bool) Heartbeat {
	return Heartbeat{Instance: "i", Born: startTime, Service: "s", Address: "10.0.0.1:1", Slots: int(startTime), Sequence: sequence, Leaving: leaving}
}

// eventsOf returns the events of an incarnation in the order in which the runner sends them.
func eventsOf(startTime int64, departs bool) []event {
	observe := func(sequence uint64, leaving bool) func(*Registry, time.Time) {
		return func(r *Registry, now time.Time) {
			r.ObserveHeartbeat(now, r.Resolve(heartbeatOf(startTime, sequence, leaving)))
		}
	}
	events := []event{
		{fmt.Sprint("first of ", startTime), startTime, observe(1, false)},
		{fmt.Sprint("second of ", startTime), startTime, observe(2, false)},
	}
	if !departs {
		return events
	}
	return append(events,
		event{fmt.Sprint("leaving of ", startTime), startTime, observe(3, true)},
		event{fmt.Sprint("end of ", startTime), startTime, func(r *Registry, now time.Time) { r.Depart(now, Incarnation("i", startTime), true) }},
	)
}

// permutations calls visit with each order of the events.
func permutations(events []event, visit func([]event)) {
	var extend func(done, left []event)
	extend = func(done, left []event) {
		if len(left) == 0 {
			visit(done)
			return
		}
		for i := range left {
			remaining := append(append([]event{}, left[:i]...), left[i+1:]...)
			extend(append(done[:len(done):len(done)], left[i]), remaining)
		}
	}
	extend(nil, events)
}

// Guards against late messages of a former incarnation changing the state of the current one.
func TestFormerIncarnationDoesNotAffectCurrentOne(t *testing.T) {
	for _, departs := range []bool{false, true} {
		permutations(append(eventsOf(100, departs), eventsOf(200, false)...), func(order []event) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			r := NewRegistry(now, testTiming)
			history := ""
			isHeard := false
			for _, each := range order {
				now = now.Add(10 * time.Millisecond)
				each.apply(r, now)
				history += each.name + ", "
				isHeard = isHeard || each.startTime == 200
				listed := r.Runners(now)
				for _, status := range listed {
					if isHeard {
						c.Assert(status.Heartbeat.Instance, qt.Equals, "i#200", qt.Commentf("%s", history))
					}
				}
				if isHeard {
					c.Assert(listed, qt.HasLen, 1, qt.Commentf("%s", history))
					c.Assert(listed[0].Leaving, qt.IsFalse, qt.Commentf("%s", history))
					c.Assert(r.Gone(), qt.Not(qt.Contains), "i#200", qt.Commentf("%s", history))
					c.Assert(r.Gone(), qt.Not(qt.Contains), "i", qt.Commentf("%s", history))
				}
			}
			c.Assert(r.Sequence("i#200"), qt.Equals, uint64(2))
			c.Assert(r.Latest("i"), qt.Equals, "i#200")
		})
	}
}

// Guards against registrations that a new leader recalls from the log overriding a later
// incarnation.
func TestRecalledIncarnationIsSuperseded(t *testing.T) {
	recall := func(startTime int64) event {
		return event{fmt.Sprint("recall of ", startTime), startTime, func(r *Registry, now time.Time) {
			r.Recall(now, Heartbeat{Instance: Incarnation("i", startTime), Service: "s", Address: "10.0.0.1:1"})
		}}
	}
	events := append(eventsOf(100, true), recall(100), recall(200))
	permutations(append(events, eventsOf(200, false)[0]), func(order []event) {
		c := qt.New(t)
		now := time.Unix(1000, 0)
		r := NewRegistry(now, testTiming)
		history := ""
		for _, each := range order {
			now = now.Add(10 * time.Millisecond)
			each.apply(r, now)
			history += each.name + ", "
		}
		listed := r.Runners(now)
		c.Assert(listed, qt.HasLen, 1, qt.Commentf("%s", history))
		c.Assert(listed[0].Heartbeat.Instance, qt.Equals, "i#200", qt.Commentf("%s", history))
		c.Assert(listed[0].Leaving, qt.IsFalse, qt.Commentf("%s", history))
	})
}

// Guards against heartbeats without a start time being attributed to an incarnation that they don't
// match.
func TestHeartbeatWithoutStartTimeMustMatch(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := NewRegistry(now, testTiming)
	c.Assert(r.ObserveHeartbeat(now, r.Resolve(heartbeatOf(200, 4, false))), qt.IsTrue)
	forwarded := heartbeatOf(0, 5, false)
	c.Assert(r.Resolve(forwarded).Instance, qt.Equals, "i#200")
	c.Assert(r.ObserveHeartbeat(now, r.Resolve(forwarded)), qt.IsTrue)
	for name, change := range map[string]func(*Heartbeat){
		"another address":   func(h *Heartbeat) { h.Address = "10.0.0.2:1" },
		"another service":   func(h *Heartbeat) { h.Service = "t" },
		"an older sequence": func(h *Heartbeat) { h.Sequence = 1 },
	} {
		foreign := heartbeatOf(0, 9, true)
		change(&foreign)
		c.Assert(r.ObserveHeartbeat(now, r.Resolve(foreign)), qt.IsFalse, qt.Commentf("%s", name))
	}
	listed := r.Runners(now)
	c.Assert(listed, qt.HasLen, 1)
	c.Assert(listed[0].Leaving, qt.IsFalse)
}

// Guards against losing a departure that the previous version recorded under the ID alone.
func TestDepartureUnderIDAppliesToContinuedIncarnation(t *testing.T) {
	for name, prepare := range map[string]func(r *Registry, now time.Time){
		"departure without heartbeat": func(r *Registry, now time.Time) { r.Depart(now, "i", true) },
		"departure after heartbeat": func(r *Registry, now time.Time) {
			r.ObserveHeartbeat(now, heartbeatOf(0, 4, false))
			r.Depart(now, "i", true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			r := NewRegistry(now, testTiming)
			prepare(r, now)
			c.Assert(r.ObserveHeartbeat(now, r.Resolve(heartbeatOf(200, 5, false))), qt.IsFalse)
			c.Assert(r.Runners(now), qt.HasLen, 0)
			c.Assert(r.ObserveHeartbeat(now, r.Resolve(heartbeatOf(200, 6, false))), qt.IsFalse)
		})
	}
}

// Guards against a delayed heartbeat taking back an address at which a later runner was started.
func TestLateHeartbeatDoesNotTakeAddress(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := NewRegistry(now, testTiming)
	former := Heartbeat{Instance: "former", Born: 100, Address: "10.0.0.1:1", Sequence: 3}
	present := Heartbeat{Instance: "present", Born: 200, Address: "10.0.0.1:1", Sequence: 1}
	r.ObserveHeartbeat(now, r.Resolve(former))
	r.ObserveHeartbeat(now, r.Resolve(present))
	former.Sequence++
	r.ObserveHeartbeat(now, r.Resolve(former))
	listed := r.Runners(now)
	c.Assert(listed, qt.HasLen, 1)
	c.Assert(listed[0].Heartbeat.Instance, qt.Equals, "present#200")
}

// Routers of the previous version know only IDs.
func TestEncodedViewNamesRunnersByID(t *testing.T) {
	c := qt.New(t)
	view := View{Complete: true, Runners: []Runner{{Instance: "i#200"}, {Instance: "plain"}}, Gone: []string{"i#100"}}
	encoded, err := view.Encode()
	c.Assert(err, qt.IsNil)
	var asBefore struct {
		Runners []struct{ Instance string }
	}
	c.Assert(msgpack.Unmarshal(encoded.Bytes, &asBefore), qt.IsNil)
	c.Assert(asBefore.Runners[0].Instance, qt.Equals, "i")
	c.Assert(asBefore.Runners[1].Instance, qt.Equals, "plain")
	decoded, err := encoded.Decode()
	c.Assert(err, qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, view)
	c.Assert(view.Runners[0].Instance, qt.Equals, "i#200")
}

func TestEndedRunnersAreListedByIDForPreviousVersion(t *testing.T) {
	c := qt.New(t)
	p := NewPublisher()
	p.Publish(View{Complete: true, Runners: []Runner{{Instance: "a#1"}, {Instance: "b#1"}}})
	p.Publish(View{Complete: true, Runners: []Runner{{Instance: "a#2"}}})
	c.Assert(p.Since(1).Removed, qt.ContentEquals, []string{"a#1", "b#1", "b"})
	now := time.Unix(1000, 0)
	r := NewRegistry(now, testTiming)
	r.ObserveHeartbeat(now, r.Resolve(heartbeatOf(100, 1, false)))
	r.Depart(now, "i#100", true)
	c.Assert(r.Gone(), qt.DeepEquals, []string{"i", "i#100"})
	r.ObserveHeartbeat(now, r.Resolve(heartbeatOf(200, 1, false)))
	c.Assert(r.Gone(), qt.DeepEquals, []string{"i#100"})
}

// Guards against a router keeping two incarnations of one runner, also with a new leader's
// incomplete views.
func TestLaterIncarnationReplacesFormerOneAtRouter(t *testing.T) {
	for name, learned := range map[string]View{
		"incomplete": {Runners: []Runner{{Instance: "i#200", Address: "10.0.0.2:1"}}},
		"partial":    {Partial: true, Runners: []Runner{{Instance: "i#200", Address: "10.0.0.2:1"}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			known := View{Runners: []Runner{{Instance: "i#100", Address: "10.0.0.1:1"}, {Instance: "j#50", Address: "10.0.0.3:1"}}}
			merged := Merge(known, learned)
			c.Assert(merged.Runners, qt.HasLen, 2)
			c.Assert(merged.Runners[0].Instance, qt.Equals, "i#200")
			c.Assert(merged.Runners[1].Instance, qt.Equals, "j#50")
		})
	}
}

func TestIncarnationNames(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		id        string
		startTime int64
		name      string
	}{{"i", 0, "i"}, {"i", 7, "i#7"}, {"i-7f", 1733195000000, "i-7f#1733195000000"}} {
		c.Assert(Incarnation(test.id, test.startTime), qt.Equals, test.name)
		id, startTime := SplitIncarnation(test.name)
		c.Assert(id, qt.Equals, test.id)
		c.Assert(startTime, qt.Equals, test.startTime)
	}
	c.Assert(IsID("a#1"), qt.IsFalse)
	c.Assert(IsID(""), qt.IsFalse)
	id, startTime := SplitIncarnation("a#b")
	c.Assert(id, qt.Equals, "a#b")
	c.Assert(startTime, qt.Equals, int64(0))
}
