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
	// step separates two looks of the watch, as at a router.
	step = 50 * time.Millisecond
	// connectTime is how long a connect is given.
	connectTime = 80 * time.Millisecond
	// requestPause separates two requests of the router to one zone: at 7 requests a second and
	// router, of which a quarter goes to each zone.
	requestPause = 500 * time.Millisecond
	// noticed is how soon a router must have left a lost zone: callers that want their first word in
	// 0.4 s get it from another zone within the time that they give.
	noticed = 450 * time.Millisecond
	// returned is how soon a zone that is back must be used again.
	returned = 1500 * time.Millisecond
)

// site is a site of four zones as one router sees it, in steps of a millisecond.
type site struct {
	c      *qt.C
	now    time.Time
	random *rand.Rand
	watch  *zonewatch.Watch
	zones  map[structs.ZoneID][]structs.RunnerID
	// cut zones drop packets, or refuse connections if refuses is set.
	cut     map[structs.ZoneID]bool
	refuses bool
	dead    map[structs.RunnerID]bool
	// answerTime is how long an answer takes, loss which part of connects is lost.
	answerTime time.Duration
	loss       float64
	later      []event
	// isOff zones get no requests.
	isOff   map[structs.ZoneID]bool
	changes []changed
	probes  int
}

type event struct {
	at time.Time
	do func()
}

type changed struct {
	at time.Time
	zonewatch.Change
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{
		c: qt.New(t), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, 4)), watch: zonewatch.New(rand.New(rand.NewPCG(1, 2))),
		zones: make(map[structs.ZoneID][]structs.RunnerID), cut: make(map[structs.ZoneID]bool), dead: make(map[structs.RunnerID]bool),
		isOff: make(map[structs.ZoneID]bool), answerTime: 60 * time.Millisecond,
	}
	s.setRunners(16)
	return s
}

// setRunners gives each zone as many runners.
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
	s.later = append(s.later, event{s.now.Add(delay), do})
}

// isReached reports whether a runner answers now.
func (s *site) isReached(zone structs.ZoneID, id structs.RunnerID) bool {
	return !s.cut[zone] && !s.dead[id]
}

// ask makes the connects that the watch wants.
func (s *site) ask(probes []zonewatch.Probe) {
	for _, each := range probes {
		s.probes++
		outcome, delay := zonewatch.OutcomeAnswered, 2*time.Millisecond
		if !s.isReached(each.Zone, each.Runner) || s.random.Float64() < s.loss {
			outcome, delay = zonewatch.OutcomeFailed, connectTime
			if s.refuses || s.dead[each.Runner] {
				outcome, delay = zonewatch.OutcomeRefused, 2*time.Millisecond
			}
		}
		s.after(delay, func() {
			changes, more := s.watch.Probed(s.now, each, outcome)
			for _, change := range changes {
				s.changes = append(s.changes, changed{s.now, change})
			}
			s.ask(more)
		})
	}
}

// request sends a request to a runner of the zone. Every fourth needs a new connection.
func (s *site) request(zone structs.ZoneID) {
	if s.watch.IsLost(zone) || s.isOff[zone] {
		return
	}
	id := s.zones[zone][s.random.IntN(len(s.zones[zone]))]
	isNew := s.random.IntN(4) == 0
	s.watch.Sent(s.now, zone)
	if isNew && (!s.isReached(zone, id) || s.random.Float64() < s.loss) {
		delay := connectTime
		if s.refuses {
			delay = 2 * time.Millisecond
		}
		s.after(delay, func() {
			s.watch.Ended(zone)
			s.ask(s.watch.ConnectFailed(s.now, id))
		})
		return
	}
	s.after(s.answerTime, func() {
		if s.isReached(zone, id) {
			s.watch.Heard(s.now, id)
			s.watch.Ended(zone)
			return
		}
		if s.refuses {
			s.watch.Ended(zone)
			s.ask(s.watch.ConnectFailed(s.now, id))
			return
		}
		s.after(1500*time.Millisecond, func() { s.watch.Ended(zone) })
	})
}

// run lets time pass, with requests to all zones.
func (s *site) run(length time.Duration) {
	for passed := time.Duration(0); passed < length; passed += time.Millisecond {
		s.now = s.now.Add(time.Millisecond)
		due := s.later
		s.later = nil
		for _, each := range due {
			if each.at.After(s.now) {
				s.later = append(s.later, each)
			} else {
				each.do()
			}
		}
		for offset, zone := range []structs.ZoneID{"a", "b", "c", "d"} {
			shift := time.Duration(offset) * requestPause / 4
			if (s.now.Sub(time.Unix(1000, 0))+shift)%requestPause == 0 {
				s.request(zone)
			}
		}
		if s.now.Sub(time.Unix(1000, 0))%step == 0 {
			s.ask(s.watch.Step(s.now))
		}
	}
}

// lostAfter is how long after a time the zone got out of reach.
func (s *site) lostAfter(from time.Time, zone structs.ZoneID) time.Duration {
	s.c.Helper()
	for _, each := range s.changes {
		if each.Zone == zone && each.IsLost && each.at.After(from) {
			return each.at.Sub(from)
		}
	}
	s.c.Fatalf("zone %s never got out of reach", zone)
	return 0
}

// A zone is cut off in full flow. From outside it is left within the time in which a caller still gets
// its first word in time, whether packets are dropped or connections refused.
func TestLostZoneIsLeft(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		t.Run(fmt.Sprint("refused ", refuses), func(t *testing.T) {
			s := newSite(t)
			s.run(3 * time.Second)
			s.c.Assert(s.changes, qt.HasLen, 0)
			from := s.now
			s.cut["d"], s.refuses = true, refuses
			s.run(2 * time.Second)
			took := s.lostAfter(from, "d")
			// The first request after the cut may come as late as a pause after it.
			s.c.Assert(took <= requestPause+noticed, qt.IsTrue, qt.Commentf("%s", took))
			s.c.Assert(s.watch.Lost(), qt.Equals, 1)
		})
	}
}

// Within a zone that is cut off, the router goes on with its own runners: the other zones are left
// together, as soon as one was found to be out of reach.
func TestRouterOfTheLostZoneStaysInside(t *testing.T) {
	s := newSite(t)
	s.run(3 * time.Second)
	from := s.now
	for _, far := range []structs.ZoneID{"b", "c", "d"} {
		s.cut[far] = true
	}
	s.run(2 * time.Second)
	for _, far := range []structs.ZoneID{"b", "c", "d"} {
		took := s.lostAfter(from, far)
		// One of three zones has a request within a third of the pause or so.
		s.c.Assert(took <= requestPause/2+noticed+connectTime, qt.IsTrue, qt.Commentf("%s: %s", far, took))
	}
	s.c.Assert(s.watch.IsLost("a"), qt.IsFalse)
}

// Whoever serves most is no exception: only the own zone has quick runners, and it is the one to go.
func TestLossOfTheOwnZoneIsNoticed(t *testing.T) {
	s := newSite(t)
	s.isOff["b"], s.isOff["c"] = true, true
	s.run(3 * time.Second)
	from := s.now
	s.cut["a"] = true
	s.run(2 * time.Second)
	s.c.Assert(s.lostAfter(from, "a") <= requestPause+noticed, qt.IsTrue)
	s.c.Assert(s.watch.Lost(), qt.Equals, 1)
}

// What is no lost zone is not taken for one.
func TestZoneInReachIsKept(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(s *site)
		// most is how many connects a second the suspicions may cost.
		most float64
	}{
		{"calm", func(*site) {}, 0},
		{"one dead runner", func(s *site) { s.dead["b3"] = true }, 4},
		{"a quarter of all runners crashed", func(s *site) {
			for _, ids := range s.zones {
				for _, id := range ids[:4] {
					s.dead[id] = true
				}
			}
		}, 12},
		{"a link that loses 2.5% of the packets each way", func(s *site) { s.loss = 0.05 }, 4},
		{"runners that take 0.9 s for an answer", func(s *site) { s.answerTime = 900 * time.Millisecond }, 20},
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

// A router inside the lost zone has no request elsewhere: the leader's silence tells, at a connect for each
// zone that was not heard of anyway.
func TestSilentLeaderTellsOfTheCut(t *testing.T) {
	for _, isCut := range []bool{false, true} {
		t.Run(fmt.Sprint("cut ", isCut), func(t *testing.T) {
			s := newSite(t)
			for _, far := range []structs.ZoneID{"b", "c", "d"} {
				s.isOff[far], s.cut[far] = true, isCut
			}
			s.run(3 * time.Second)
			s.c.Assert(s.probes, qt.Equals, 0)
			// The own zone has just been heard of.
			s.watch.Heard(s.now, "a0")
			s.ask(s.watch.LeaderSilent(s.now))
			s.c.Assert(s.probes, qt.Equals, 3)
			s.run(3 * connectTime)
			s.c.Assert(s.watch.Lost(), qt.Equals, map[bool]int{false: 0, true: 3}[isCut])
		})
	}
}

// A zone that is back is used again within a second or so, without a request having to find out.
func TestReturnedZoneIsUsedAgain(t *testing.T) {
	s := newSite(t)
	s.run(2 * time.Second)
	s.cut["d"] = true
	s.run(5 * time.Second)
	s.c.Assert(s.watch.IsLost("d"), qt.IsTrue)
	before := s.probes
	s.cut["d"] = false
	s.run(returned)
	s.c.Assert(s.watch.IsLost("d"), qt.IsFalse)
	s.c.Assert(s.probes-before <= 6, qt.IsTrue)
}

// A zone that comes and goes every second is left alone for longer each time, so that requests are not
// sent there and lost again and again; once it stays it is used again.
func TestFlappingZoneIsLeftAlone(t *testing.T) {
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
	s.run(returned)
	s.c.Assert(s.watch.IsLost("d"), qt.IsFalse)
}

// A router that reaches nobody goes on with what it has: it cannot be certain of the last zone, and the
// others are used again as soon as they answer.
func TestRouterCutOffAlone(t *testing.T) {
	s := newSite(t)
	s.run(2 * time.Second)
	for zone := range s.zones {
		s.cut[zone] = true
	}
	s.run(4 * time.Second)
	s.c.Assert(s.watch.Lost() <= 3, qt.IsTrue)
	clear(s.cut)
	s.run(returned)
	s.c.Assert(s.watch.Lost(), qt.Equals, 0)
}

// A process that was held up, and whose connects all ended too late for that, learned nothing.
func TestLateRouterAccusesNobody(t *testing.T) {
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

// One runner alone cannot be told from its zone.
func TestZoneOfOneRunnerIsNotJudged(t *testing.T) {
	s := newSite(t)
	s.setRunners(1)
	s.cut["d"] = true
	s.run(5 * time.Second)
	s.c.Assert(s.changes, qt.HasLen, 0)
}

// A connect that was to measure the way, begun before its zone got out of reach, says nothing of a return.
func TestMeasuringConnectIsNoTryOfALostZone(t *testing.T) {
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

// A try of a lost zone that ended late because the router was held up has found nothing: it takes nothing
// from those that were answered before.
func TestLateRouterLearnsNothingOfALostZone(t *testing.T) {
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
