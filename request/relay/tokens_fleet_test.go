package relay_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
)

// coldFor returns how much longer the runner at the address is cold.
func (s *testSite) coldFor(address string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(0, time.Until(s.coldUntil[address]))
}

// makeCold makes the runners cold until the given time and waits until the routers know.
func (s *testSite) makeCold(until time.Time, runners ...*testRunner) {
	s.mutex.Lock()
	for _, runner := range runners {
		s.coldUntil[runner.address] = until
	}
	s.mutex.Unlock()
	// Heartbeats have reached the routers by then.
	pause.For(s.ctx, heartbeatPause+500*time.Millisecond)
}

func (s *testSite) allRunners() []*testRunner {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var listed []*testRunner
	for _, runner := range s.runners {
		listed = append(listed, runner)
	}
	return listed
}

// maxArrivalRate returns the most requests that any runner got in a second in [from, to), and the
// total of all runners. At to, cold runners become warm.
func (s *testSite) maxArrivalRate(from, to time.Time) (most, all int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, arrivals := range s.arrivals {
		var counted []time.Time
		for _, at := range arrivals {
			if at.Before(from) || !at.Before(to) {
				continue
			}
			counted = append(counted, at)
			for at.Sub(counted[0]) >= time.Second {
				counted = counted[1:]
			}
			most = max(most, len(counted))
			all++
		}
	}
	return most, all
}

// sendLoad sends requests through all routers at the given rate and returns how many were served.
func (s *testSite) sendLoad(perSecond int, during time.Duration) int {
	var mutex sync.Mutex
	var callers sync.WaitGroup
	served := 0
	for began := time.Now(); time.Since(began) < during; {
		router := s.anyRouter()
		callers.Go(func() {
			if s.ask(router, "rush").Code == http.StatusOK {
				mutex.Lock()
				defer mutex.Unlock()
				served++
			}
		})
		pause.For(s.ctx, time.Second/time.Duration(perSecond))
	}
	callers.Wait()
	return served
}

// maxColdArrivals bounds the requests that a cold runner may get in a second: one and a half times
// its rate, plus five.
const maxColdArrivals = testColdRate*1.5 + 5

// If all runners are cold under overload, they must be used up to their rate and no further, even
// if the leader is lost or routers restart.
func TestLoadOnColdRunnersIsBounded(t *testing.T) {
	for name, during := range map[string]func(s *testSite){
		"no fault": func(*testSite) {},
		"the leader is lost": func(s *testSite) {
			pause.For(s.ctx, 2*time.Second)
			for index, each := range s.controllers {
				if each.node.Leads() {
					s.stopController(index)
					s.startController(index, false)
					return
				}
			}
		},
		"routers restart": func(s *testSite) {
			for index := range testRouters {
				pause.For(s.ctx, 700*time.Millisecond)
				s.startRouter(index)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, func(s *testSite) {
				until := time.Now().Add(6 * time.Second)
				s.makeCold(until, s.allRunners()...)
				from := time.Now()
				go during(s)
				s.sendLoad(300, 4*time.Second)
				most, all := s.maxArrivalRate(from, until)
				s.c.Assert(float64(most) <= maxColdArrivals, qt.IsTrue, qt.Commentf("%d in a second", most))
				least := testRunners * testColdRate * 2
				s.c.Assert(all >= least, qt.IsTrue, qt.Commentf("%d arrivals", all))
			})
		})
	}
}

// If half of the runners are cold, the others must serve the load without rejections.
func TestWarmRunnersRelieveColdOnes(t *testing.T) {
	inSite(t, func(s *testSite) {
		until := time.Now().Add(6 * time.Second)
		s.makeCold(until, s.allRunners()[:testRunners/2]...)
		from := time.Now()
		served := s.sendLoad(100, 3*time.Second)
		_, all := s.maxArrivalRate(from, until)
		s.c.Assert(served, qt.Equals, all)
		s.c.Assert(served >= 300, qt.IsTrue, qt.Commentf("%d", served))
	})
}
