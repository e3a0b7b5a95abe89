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

// These tests guard against routers that ignore the cooldowns that runners ask for, or the
// announcement that a runner is leaving, and go on sending requests to it.

const (
	// cooldownGrace is how long after a runner requested a cooldown requests in transit may still
	// arrive, and allowedInCooldown how many may arrive from then until its end.
	cooldownGrace     = 500 * time.Millisecond
	allowedInCooldown = 2
	// leavingGrace is how long after a router forwarded the announcement that a runner is leaving
	// requests may still arrive there.
	leavingGrace = 2 * time.Second
)

// cooldownRequest is a cooldown that a runner asked a router for.
type cooldownRequest struct {
	router int
	at     time.Time
	length time.Duration
}

// routerArrival is the arrival of a request at a runner.
type routerArrival struct {
	router int
	at     time.Time
	// asked is when the caller sent the request.
	asked time.Time
}

// runnerLog records what a runner received from and announced to each router.
type runnerLog struct {
	arrivals  []routerArrival
	cooldowns []cooldownRequest
	// toldLeaving is when each router first received the announcement that the runner is leaving.
	toldLeaving map[int]time.Time
}

// routerBackend is the Backend of one router.
type routerBackend struct {
	site  *testSite
	index int
}

// Send implements relay.Backend.
func (b routerBackend) Send(ctx context.Context, attempt *relay.Attempt) (*relay.Answer, error) {
	if !attempt.MaySend() {
		return nil, relay.ErrNotSent
	}
	seen := b.site.runnerLogOf(attempt.Instance)
	b.site.mutex.Lock()
	seen.arrivals = append(seen.arrivals, routerArrival{b.index, time.Now(), attempt.Request.Arrived})
	b.site.mutex.Unlock()
	answer, err := b.site.Send(ctx, attempt)
	if answer != nil {
		b.site.recordNotice(seen, b.index, answer.Notice)
	}
	return answer, err
}

// runnerLogOf returns the log of a runner.
func (s *testSite) runnerLogOf(instance string) *runnerLog {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runnerLogs[instance] == nil {
		s.runnerLogs[instance] = &runnerLog{toldLeaving: make(map[int]time.Time)}
	}
	return s.runnerLogs[instance]
}

// recordNotice records what a runner announced to a router.
func (s *testSite) recordNotice(seen *runnerLog, router int, told notice.Notice) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if told.Cooldown > 0 {
		seen.cooldowns = append(seen.cooldowns, cooldownRequest{router, time.Now(), told.Cooldown})
	}
	if _, isTold := seen.toldLeaving[router]; told.IsLeaving && !isTold {
		seen.toldLeaving[router] = time.Now()
	}
}

// setRejection makes the runners reject all requests with the given response. The zero response
// ends that.
func (s *testSite) setRejection(answer relay.Answer, runners ...*testRunner) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, runner := range runners {
		if answer.Status == 0 {
			delete(s.rejections, runner.address)
		} else {
			s.rejections[runner.address] = answer
		}
	}
}

// announceLeaving makes a runner announce in its responses that it is leaving.
func (s *testSite) announceLeaving(runner *testRunner) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leavingAddresses[runner.address] = true
}

// assertCooldowns checks that no router sent more than allowedInCooldown requests to a runner in its
// cooldown. Routers that restarted meanwhile do not know of it.
func (s *testSite) assertCooldowns() {
	s.c.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for runner, seen := range s.runnerLogs {
		for _, cooldown := range seen.cooldowns {
			end := cooldown.at.Add(cooldown.length)
			if started := s.routerStarted[cooldown.router]; started.After(cooldown.at) && started.Before(end) {
				continue
			}
			got := 0
			for _, arrival := range seen.arrivals {
				if arrival.router == cooldown.router && arrival.at.After(cooldown.at.Add(cooldownGrace)) && arrival.at.Before(end) {
					got++
				}
			}
			s.c.Assert(got <= allowedInCooldown, qt.IsTrue,
				qt.Commentf("%s asked router %d for %v of rest and got %d requests in that time", runner, cooldown.router, cooldown.length, got))
		}
	}
}

// assertLeavingGotNothing checks that no router sent requests to a runner that it knew to be
// leaving.
func (s *testSite) assertLeavingGotNothing(runner *testRunner) {
	s.c.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	seen := s.runnerLogs[runner.id]
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

// rejectionWithCooldown returns the response of a runner that rejects a request and requests a cooldown
// period.
func rejectionWithCooldown(cooldown time.Duration) relay.Answer {
	return relay.Answer{Status: http.StatusServiceUnavailable, NotRun: true, Notice: notice.Notice{Cooldown: cooldown}}
}

// Runners that reject all requests and request cooldowns must get almost none in those, while
// others serve.
func TestCoolingRunnerGetsNoRequests(t *testing.T) {
	const during, shedding, cooldown = 14 * time.Second, 8500 * time.Millisecond, 3 * time.Second
	promises := rejectionWithCooldown(cooldown)
	promisesNothing := promises
	promisesNothing.NotRun = false
	for name, test := range map[string]struct {
		answer      relay.Answer
		coolingDown int
		fault       func(s *testSite)
		// least is how many of the 840 requests must be served.
		least int
	}{
		"two of six":                 {promises, 2, func(*testSite) {}, 800},
		"all":                        {promises, testRunners, func(*testSite) {}, 150},
		"two, not marked as not run": {promisesNothing, 2, func(*testSite) {}, 800},
		"two, and the leader is lost": {promises, 2, func(s *testSite) {
			for range 2 {
				pause.For(s.ctx, 3*time.Second)
				s.restartLeader()
			}
		}, 800},
		"two, and routers restart": {promises, 2, func(s *testSite) {
			for index := range testRouters {
				pause.For(s.ctx, 2*time.Second)
				s.startRouter(index)
			}
		}, 700},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, func(s *testSite) {
				coolingDown := s.allRunners()[:test.coolingDown]
				served := 0
				var rushed sync.WaitGroup
				rushed.Go(func() { served = s.sendLoad(60, during) })
				pause.For(s.ctx, time.Second)
				s.setRejection(test.answer, coolingDown...)
				go test.fault(s)
				pause.For(s.ctx, shedding)
				s.setRejection(relay.Answer{}, coolingDown...)
				rushed.Wait()
				s.assertCooldowns()
				s.c.Assert(served >= test.least, qt.IsTrue, qt.Commentf("%d served", served))
			})
		})
	}
}

// A runner that announces in its responses, but in no heartbeat, that it is leaving must get no
// more requests, even while no controller is reachable.
func TestLeavingRunnerGetsNoRequests(t *testing.T) {
	const during = 12 * time.Second
	for name, fault := range map[string]func(s *testSite){
		"no fault": func(*testSite) {},
		"the leader is lost": func(s *testSite) {
			pause.For(s.ctx, time.Second)
			s.restartLeader()
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
				s.announceLeaving(leaving)
				told := time.Now()
				go fault(s)
				served := s.sendLoad(60, during)
				s.assertLeavingGotNothing(leaving)
				s.c.Assert(served >= 700, qt.IsTrue, qt.Commentf("%d served", served))
				if name == "no fault" {
					// The first router that learns it informs the leader, which informs all others.
					s.c.Assert(len(s.arrivalsAt(leaving, told.Add(leavingGrace), told.Add(during))), qt.Equals, 0)
				}
			})
		})
	}
}
