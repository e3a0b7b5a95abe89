package zonewatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/zonewatch"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// stepInterval separates two calls of Step.
	stepInterval = 50 * time.Millisecond
	// connectTime is the timeout of a connect.
	connectTime = 80 * time.Millisecond
	// requestInterval separates two requests of the router to one zone: 7 requests per second and
	// router, a quarter of them to each zone.
	requestInterval = 500 * time.Millisecond
	// maxDetectionTime is how soon a lost zone must be detected, so that another zone can still send the
	// first event within about 0.4 s.
	maxDetectionTime = 450 * time.Millisecond
	// maxRecoveryTime is how soon a zone must be used again after its recovery.
	maxRecoveryTime = 1500 * time.Millisecond
)

// site simulates a site of four zones as seen by one router, in steps of one millisecond.
type site struct {
	c      *qt.C
	now    time.Time
	random *rand.Rand
	watch  *zonewatch.Watch
	zones  map[structs.ZoneID][]structs.RunnerID
	// Zones in cut drop packets, or refuse connections if refuses is set.
	cut     map[structs.ZoneID]bool
	refuses bool
	dead    map[structs.RunnerID]bool
	// answerTime is the duration of an answer, loss the share of failed connects.
	answerTime time.Duration
	loss       float64
	scheduled  []event
	// Zones in isIdle get no requests.
	isIdle  map[structs.ZoneID]bool
	changes []timedChange
	probes  int
}

type event struct {
	at     time.Time
	action func()
}

type timedChange struct {
	at time.Time
	zonewatch.Change
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{
		c: qt.New(t), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, 4)), watch: zonewatch.New(rand.New(rand.NewPCG(1, 2))),
		zones: make(map[structs.ZoneID][]structs.RunnerID), cut: make(map[structs.ZoneID]bool), dead: make(map[structs.RunnerID]bool),
		isIdle: make(map[structs.ZoneID]bool), answerTime: 60 * time.Millisecond,
	}
	s.setRunners(16)
	return s
}

// setRunners replaces the runners by the given number per zone.
func (s *site) setRunners(each int) {
	for _, ids := range s.zones {
		for _, id := range ids {
			s.watch.Remove(id)
		}
	}
	for _, zone := range []structs.ZoneID{"a", "b", "c", "d"} {
		s.zones[zone] = nil
		for number := range each {
			id := structs.RunnerID(fmt.Sprint(zone, number))
			s.zones[zone] = append(s.zones[zone], id)
			s.watch.Add(structs.RunnerInfo{ID: id, Zone: zone})
		}
	}
}

func (s *site) after(delay time.Duration, do func()) {
	s.scheduled = append(s.scheduled, event{s.now.Add(delay), do})
}

// isReachable reports whether a runner answers now.
func (s *site) isReachable(zone structs.ZoneID, id structs.RunnerID) bool {
	return !s.cut[zone] && !s.dead[id]
}

// probe makes the given connects.
func (s *site) probe(probes []zonewatch.Probe) {
	for _, each := range probes {
		s.probes++
		outcome, delay := zonewatch.OutcomeAnswered, 2*time.Millisecond
		if !s.isReachable(each.Zone, each.Runner) || s.random.Float64() < s.loss {
			outcome, delay = zonewatch.OutcomeFailed, connectTime
			if s.refuses || s.dead[each.Runner] {
				outcome, delay = zonewatch.OutcomeRefused, 2*time.Millisecond
			}
		}
		s.after(delay, func() {
			changes, more := s.watch.Probed(s.now, each, outcome)
			for _, change := range changes {
				s.changes = append(s.changes, timedChange{s.now, change})
			}
			s.probe(more)
		})
	}
}

// request sends a request to a runner of the zone. Every fourth request needs a new connection.
func (s *site) request(zone structs.ZoneID) {
	if s.watch.IsLost(zone) || s.isIdle[zone] {
		return
	}
	id := s.zones[zone][s.random.IntN(len(s.zones[zone]))]
	isNew := s.random.IntN(4) == 0
	s.watch.Sent(s.now, zone)
	if isNew && (!s.isReachable(zone, id) || s.random.Float64() < s.loss) {
		delay := connectTime
		if s.refuses {
			delay = 2 * time.Millisecond
		}
		s.after(delay, func() {
			s.watch.Ended(zone)
			s.probe(s.watch.ConnectFailed(s.now, id))
		})
		return
	}
	s.after(s.answerTime, func() {
		if s.isReachable(zone, id) {
			s.watch.ObserveData(s.now, id)
			s.watch.Ended(zone)
			return
		}
		if s.refuses {
			s.watch.Ended(zone)
			s.probe(s.watch.ConnectFailed(s.now, id))
			return
		}
		s.after(1500*time.Millisecond, func() { s.watch.Ended(zone) })
	})
}

// run advances time, with requests to all zones.
func (s *site) run(length time.Duration) {
	for passed := time.Duration(0); passed < length; passed += time.Millisecond {
		s.now = s.now.Add(time.Millisecond)
		due := s.scheduled
		s.scheduled = nil
		for _, each := range due {
			if each.at.After(s.now) {
				s.scheduled = append(s.scheduled, each)
			} else {
				each.action()
			}
		}
		for offset, zone := range []structs.ZoneID{"a", "b", "c", "d"} {
			shift := time.Duration(offset) * requestInterval / 4
			if (s.now.Sub(time.Unix(1000, 0))+shift)%requestInterval == 0 {
				s.request(zone)
			}
		}
		if s.now.Sub(time.Unix(1000, 0))%stepInterval == 0 {
			s.probe(s.watch.Step(s.now))
		}
	}
}

// lostAfter returns the time from the given one to the loss of the zone.
func (s *site) lostAfter(from time.Time, zone structs.ZoneID) time.Duration {
	s.c.Helper()
	for _, each := range s.changes {
		if each.Zone == zone && each.IsLost && each.at.After(from) {
			return each.at.Sub(from)
		}
	}
	s.c.Fatalf("zone %s never became unreachable", zone)
	return 0
}

// The loss of a zone under load is detected in time, whether packets are dropped or connections refused.
func TestLostZoneIsDetected(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		t.Run(fmt.Sprint("refused ", refuses), func(t *testing.T) {
			s := newSite(t)
			s.run(3 * time.Second)
			s.c.Assert(s.changes, qt.HasLen, 0)
			from := s.now
			s.cut["d"], s.refuses = true, refuses
			s.run(2 * time.Second)
			took := s.lostAfter(from, "d")
			// The first request after the cut may come up to requestInterval later.
			s.c.Assert(took <= requestInterval+maxDetectionTime, qt.IsTrue, qt.Commentf("%s", took))
			s.c.Assert(s.watch.Lost(), qt.Equals, 1)
		})
	}
}

// A router in a zone that is partitioned keeps using its own zone and detects the loss of the others together.
func TestIsolatedZoneKeepsOwnRunners(t *testing.T) {
	s := newSite(t)
	s.run(3 * time.Second)
	from := s.now
	for _, far := range []structs.ZoneID{"b", "c", "d"} {
		s.cut[far] = true
	}
	s.run(2 * time.Second)
	for _, far := range []structs.ZoneID{"b", "c", "d"} {
		took := s.lostAfter(from, far)
		// One of the three zones gets a request within about a third of requestInterval.
		s.c.Assert(took <= requestInterval/2+maxDetectionTime+connectTime, qt.IsTrue, qt.Commentf("%s: %s", far, took))
	}
	s.c.Assert(s.watch.IsLost("a"), qt.IsFalse)
}

// The loss of the router's own zone is detected, even if it serves most requests.
func TestLossOfOwnZoneIsDetected(t *testing.T) {
	s := newSite(t)
	s.isIdle["b"], s.isIdle["c"] = true, true
	s.run(3 * time.Second)
	from := s.now
	s.cut["a"] = true
	s.run(2 * time.Second)
	s.c.Assert(s.lostAfter(from, "a") <= requestInterval+maxDetectionTime, qt.IsTrue)
	s.c.Assert(s.watch.Lost(), qt.Equals, 1)
}

// Reachable zones are not taken for lost, and suspicions cost few connects.
func TestReachableZoneIsKept(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(s *site)
		// most bounds the connects per second.
		most float64
	}{
		{"no failures", func(*site) {}, 0},
		{"one dead runner", func(s *site) { s.dead["b3"] = true }, 4},
		{"a quarter of the runners crashed", func(s *site) {
			for _, ids := range s.zones {
				for _, id := range ids[:4] {
					s.dead[id] = true
				}
			}
		}, 12},
		{"packet loss of 2.5% each way", func(s *site) { s.loss = 0.05 }, 4},
		{"answers that take 0.9 s", func(s *site) { s.answerTime = 900 * time.Millisecond }, 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t)
			s.run(2 * time.Second)
			test.prepare(s)
			s.run(60 * time.Second)
			s.c.Assert(s.changes, qt.HasLen, 0)
			s.c.Assert(float64(s.probes)/60 <= test.most, qt.IsTrue, qt.Commentf("%d connects", s.probes))
		})
	}
}

// A silent leader makes a router without requests elsewhere probe every zone that it has not just heard from.
func TestSilentLeaderTriggersProbes(t *testing.T) {
	for _, isCut := range []bool{false, true} {
		t.Run(fmt.Sprint("cut ", isCut), func(t *testing.T) {
			s := newSite(t)
			for _, far := range []structs.ZoneID{"b", "c", "d"} {
				s.isIdle[far], s.cut[far] = true, isCut
			}
			s.run(3 * time.Second)
			s.c.Assert(s.probes, qt.Equals, 0)
			// The own zone was heard from just now.
			s.watch.ObserveData(s.now, "a0")
			s.probe(s.watch.LeaderSilent(s.now))
			s.c.Assert(s.probes, qt.Equals, 3)
			s.run(3 * connectTime)
			s.c.Assert(s.watch.Lost(), qt.Equals, map[bool]int{false: 0, true: 3}[isCut])
		})
	}
}

// A recovered zone is used again within maxRecoveryTime, without a request being spent on it.
func TestRecoveredZoneIsUsed(t *testing.T) {
	s := newSite(t)
	s.run(2 * time.Second)
	s.cut["d"] = true
	s.run(5 * time.Second)
	s.c.Assert(s.watch.IsLost("d"), qt.IsTrue)
	before := s.probes
	s.cut["d"] = false
	s.run(maxRecoveryTime)
	s.c.Assert(s.watch.IsLost("d"), qt.IsFalse)
	s.c.Assert(s.probes-before <= 6, qt.IsTrue)
}

// A zone that fails every second is avoided for longer each time, and used again once it stays up.
func TestFlappingZoneIsBackedOff(t *testing.T) {
	s := newSite(t)
	s.run(2 * time.Second)
	for range 10 {
		s.cut["d"] = true
		s.run(time.Second)
		s.cut["d"] = false
		s.run(500 * time.Millisecond)
	}
	losses := 0
	for _, each := range s.changes {
		if each.IsLost {
			losses++
		}
	}
	s.c.Assert(losses <= 6, qt.IsTrue, qt.Commentf("%d losses of 10", losses))
	s.run(maxRecoveryTime)
	s.c.Assert(s.watch.IsLost("d"), qt.IsFalse)
}

// A router that reaches no zone keeps at least one, and uses the others again as soon as they answer.
func TestIsolatedRouterKeepsAZone(t *testing.T) {
	s := newSite(t)
	s.run(2 * time.Second)
	for zone := range s.zones {
		s.cut[zone] = true
	}
	s.run(4 * time.Second)
	s.c.Assert(s.watch.Lost() <= 3, qt.IsTrue)
	clear(s.cut)
	s.run(maxRecoveryTime)
	s.c.Assert(s.watch.Lost(), qt.Equals, 0)
}

// Probes that ended too late because the router was delayed prove nothing.
func TestUnknownOutcomeEndsSuspicion(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	now := s.now
	probes := s.watch.ConnectFailed(now, "b1")
	c.Assert(probes, qt.HasLen, 3)
	for _, each := range probes {
		changes, _ := s.watch.Probed(now.Add(time.Second), each, zonewatch.OutcomeUnknown)
		c.Assert(changes, qt.HasLen, 0)
	}
	c.Assert(s.watch.IsLost("b"), qt.IsFalse)
}

// The loss of a zone cannot be told from a dead runner if it has only one.
func TestSingleRunnerZoneIsNotSuspected(t *testing.T) {
	s := newSite(t)
	s.setRunners(1)
	s.cut["d"] = true
	s.run(5 * time.Second)
	s.c.Assert(s.changes, qt.HasLen, 0)
}

// A connect from Sample does not count as a successful retry of a lost zone.
func TestSampleDoesNotRecoverLostZone(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	sampled := s.watch.Sample(func(zone structs.ZoneID) bool { return zone == "d" })
	c.Assert(sampled, qt.HasLen, 1)
	for _, each := range s.watch.ConnectFailed(s.now, "d0") {
		s.watch.Probed(s.now, each, zonewatch.OutcomeFailed)
	}
	c.Assert(s.watch.IsLost("d"), qt.IsTrue)
	for range 3 {
		changes, _ := s.watch.Probed(s.now, sampled[0], zonewatch.OutcomeAnswered)
		c.Assert(changes, qt.HasLen, 0)
	}
}

// A retry with an unknown outcome does not reset the earlier confirmations.
func TestUnknownOutcomeKeepsConfirmations(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	for _, each := range s.watch.ConnectFailed(s.now, "d0") {
		s.watch.Probed(s.now, each, zonewatch.OutcomeFailed)
	}
	c.Assert(s.watch.IsLost("d"), qt.IsTrue)
	for _, outcome := range []zonewatch.Outcome{zonewatch.OutcomeAnswered, zonewatch.OutcomeUnknown, zonewatch.OutcomeAnswered} {
		s.now = s.now.Add(time.Second)
		tries := s.watch.Step(s.now)
		c.Assert(tries, qt.HasLen, 1)
		s.watch.Probed(s.now, tries[0], outcome)
	}
	c.Assert(s.watch.IsLost("d"), qt.IsFalse)
}
