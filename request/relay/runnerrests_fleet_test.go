package relay_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/request/relay"
)

// Two runners, the only ones with the model asked for most, turned everything away for 8.5 s, and asked each router that
// they turned away for 3 s of rest. Routers went on to send them requests, eight in that time by one router, in pairs
// and threes: first attempts, second and third ones. Callers were refused after three sendings and told to come back at once,
// and the leader loaded the model nowhere else, as it was held. Nothing read for how long a runner wants to rest:
// a rest of the router's own stood for it, 100 to 800 ms, kept for each model of the runner by itself, and ended by the
// answer to any request that was sent before. That was shown by requests at the ends of these own rests, whatever the
// runners asked for, and by pauses of 100 ms again after longer ones.
// The same held of a runner that says in its answers that it is leaving: nothing read it.

const (
	// restGrace is how long after a runner asked a router for rest requests may still come that were under way, and
	// restAllowed how many may come from then to the end of the rest.
	restGrace   = 500 * time.Millisecond
	restAllowed = 2
	// leavingGrace is for how long after a router passed on an answer that says that its runner is leaving callers'
	// requests may still come there.
	leavingGrace = 2 * time.Second
)

// askedRest is a rest that a runner asked a router for.
type askedRest struct {
	router int
	at     time.Time
	length time.Duration
}

// routerArrival is a request that came to a runner by a router.
type routerArrival struct {
	router int
	at     time.Time
	// asked is when the caller sent the request.
	asked time.Time
}

// visits are what a runner got from each router, and what it told them.
type visits struct {
	arrivals []routerArrival
	rests    []askedRest
	// toldLeaving is when each router was first told that the runner is leaving.
	toldLeaving map[int]time.Time
}

// routerBackend is how one router reaches the runners of its site.
type routerBackend struct {
	site  *testSite
	index int
}

// Send implements relay.Backend.
func (b routerBackend) Send(ctx context.Context, attempt *relay.Attempt) (*relay.Answer, error) {
	if !attempt.MaySend() {
		return nil, relay.ErrNotSent
	}
	seen := b.site.visitsOf(attempt.Instance)
	b.site.mutex.Lock()
	seen.arrivals = append(seen.arrivals, routerArrival{b.index, time.Now(), attempt.Request.Arrived})
	b.site.mutex.Unlock()
	answer, err := b.site.Send(ctx, attempt)
	if answer != nil {
		b.site.noteTold(seen, b.index, answer.Notice)
	}
	return answer, err
}

// visitsOf is what is known of the visits of a runner.
func (s *testSite) visitsOf(instance string) *visits {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.visits[instance] == nil {
		s.visits[instance] = &visits{toldLeaving: make(map[int]time.Time)}
	}
	return s.visits[instance]
}

// noteTold notes what a runner told a router.
func (s *testSite) noteTold(seen *visits, router int, told notice.Notice) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if told.Rest > 0 {
		seen.rests = append(seen.rests, askedRest{router, time.Now(), told.Rest})
	}
	if _, isTold := seen.toldLeaving[router]; told.IsLeaving && !isTold {
		seen.toldLeaving[router] = time.Now()
	}
}

// turnAway has the runners turn all requests away from now on, with the answer; the zero answer ends that.
func (s *testSite) turnAway(answer relay.Answer, runners ...*testRunner) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, runner := range runners {
		if answer.Status == 0 {
			delete(s.turnsAway, runner.address)
		} else {
			s.turnsAway[runner.address] = answer
		}
	}
}

// sayLeaving has the answers of a runner say that it is leaving.
func (s *testSite) sayLeaving(runner *testRunner) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sayingLeaving[runner.address] = true
}

// assertRests checks that no router sent more than a few requests to a runner while that had asked it for rest. A
// router that started again meanwhile knows nothing of the rest.
func (s *testSite) assertRests() {
	s.c.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for runner, seen := range s.visits {
		for _, rest := range seen.rests {
			end := rest.at.Add(rest.length)
			if started := s.routerStarted[rest.router]; started.After(rest.at) && started.Before(end) {
				continue
			}
			got := 0
			for _, arrival := range seen.arrivals {
				if arrival.router == rest.router && arrival.at.After(rest.at.Add(restGrace)) && arrival.at.Before(end) {
					got++
				}
			}
			s.c.Assert(got <= restAllowed, qt.IsTrue,
				qt.Commentf("%s asked router %d for %v of rest and got %d requests in that time", runner, rest.router, rest.length, got))
		}
	}
}

// assertLeavingGotNothing checks that no router sent callers' requests to a runner of which it knew that it is leaving.
func (s *testSite) assertLeavingGotNothing(runner *testRunner) {
	s.c.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	seen := s.visits[runner.id]
	s.c.Assert(len(seen.toldLeaving) > 0, qt.IsTrue)
	for _, arrival := range seen.arrivals {
		told, isTold := seen.toldLeaving[arrival.router]
		if !isTold || s.routerStarted[arrival.router].After(told) {
			continue
		}
		s.c.Assert(arrival.asked.After(told.Add(leavingGrace)), qt.IsFalse,
			qt.Commentf("router %d was told that %s is leaving, and sent it a request %v later", arrival.router, runner.id, arrival.at.Sub(told)))
	}
}

// shedFor is the answer of a runner that turns a request away and asks for rest.
func shedFor(rest time.Duration) relay.Answer {
	return relay.Answer{Status: http.StatusServiceUnavailable, NotRun: true, Notice: notice.Notice{Rest: rest}}
}

// Some runners turn everything away for some seconds, and ask for rest; others serve.
func TestRunnerThatAsksForRestGetsNothingMeanwhile(t *testing.T) {
	const during, shedding, rest = 14 * time.Second, 8500 * time.Millisecond, 3 * time.Second
	promises := shedFor(rest)
	promisesNothing := promises
	promisesNothing.NotRun = false
	for name, test := range map[string]struct {
		answer  relay.Answer
		resting int
		strike  func(s *testSite)
		// least is how many of the 840 requests must be served.
		least int
	}{
		"two of six":                       {promises, 2, func(*testSite) {}, 800},
		"all":                              {promises, testRunners, func(*testSite) {}, 150},
		"two that don't say that none run": {promisesNothing, 2, func(*testSite) {}, 800},
		"two, and the leader is lost": {promises, 2, func(s *testSite) {
			for range 2 {
				pause.For(s.ctx, 3*time.Second)
				s.loseLeader()
			}
		}, 800},
		"two, and routers start again": {promises, 2, func(s *testSite) {
			for index := range testRouters {
				pause.For(s.ctx, 2*time.Second)
				s.startRouter(index)
			}
		}, 700},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, func(s *testSite) {
				resting := s.allRunners()[:test.resting]
				served := 0
				var rushed sync.WaitGroup
				rushed.Go(func() { served = s.rush(60, during) })
				pause.For(s.ctx, time.Second)
				s.turnAway(test.answer, resting...)
				go test.strike(s)
				pause.For(s.ctx, shedding)
				s.turnAway(relay.Answer{}, resting...)
				rushed.Wait()
				s.assertRests()
				s.c.Assert(served >= test.least, qt.IsTrue, qt.Commentf("%d served", served))
			})
		})
	}
}

// A runner says in its answers that it is leaving, and in no heartbeat. Routers that are told so keep to it by
// themselves, also while no controller can be reached.
func TestRunnerThatSaysThatItIsLeavingGetsNoMore(t *testing.T) {
	const during = 12 * time.Second
	for name, strike := range map[string]func(s *testSite){
		"nothing else": func(*testSite) {},
		"the leader is lost": func(s *testSite) {
			pause.For(s.ctx, time.Second)
			s.loseLeader()
		},
		"all controllers are lost": func(s *testSite) {
			for index := range testControllers {
				s.stopController(index)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, func(s *testSite) {
				leaving := s.allRunners()[0]
				s.sayLeaving(leaving)
				told := time.Now()
				go strike(s)
				served := s.rush(60, during)
				s.assertLeavingGotNothing(leaving)
				s.c.Assert(served >= 700, qt.IsTrue, qt.Commentf("%d served", served))
				if name == "nothing else" {
					// The first router that hears it tells the leader, and that all others.
					s.c.Assert(len(s.arrivalsAt(leaving, told.Add(leavingGrace), told.Add(during))), qt.Equals, 0)
				}
			})
		})
	}
}
