package relay_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
)

// coldFor is how much longer the runner at the address is cold.
func (s *testSite) coldFor(address string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(0, time.Until(s.coldUntil[address]))
}

// cool has the runners be cold until a time, which they tell at once.
func (s *testSite) cool(until time.Time, runners ...*testRunner) {
	s.mutex.Lock()
	for _, runner := range runners {
		s.coldUntil[runner.address] = until
	}
	s.mutex.Unlock()
	// By then the routers know.
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

// mostArrivals is the most requests that any runner got in a second between two times, the second of them excluded:
// at that instant cold runners are warm.
func (s *testSite) mostArrivals(from, to time.Time) (most, all int) {
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

// rush sends requests by all routers, so many a second, for a time, and returns how many were served.
func (s *testSite) rush(perSecond int, during time.Duration) int {
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

// mostBorne is what a cold runner gets in a second at most: what it bears, half as much again, and five more.
const mostBorne = testColdRate*1.5 + 5

// All runners are cold at once, in a rush of several times what they bear together: they are used as far as they
// bear it, and no further, also over the loss of the leader.
func TestRushFindsAllRunnersCold(t *testing.T) {
	for name, during := range map[string]func(s *testSite){
		"nothing else": func(*testSite) {},
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
		"routers start again": func(s *testSite) {
			for index := range testRouters {
				pause.For(s.ctx, 700*time.Millisecond)
				s.startRouter(index)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, func(s *testSite) {
				until := time.Now().Add(6 * time.Second)
				s.cool(until, s.allRunners()...)
				from := time.Now()
				go during(s)
				s.rush(300, 4*time.Second)
				most, all := s.mostArrivals(from, until)
				s.c.Assert(float64(most) <= mostBorne, qt.IsTrue, qt.Commentf("%d in a second", most))
				least := testRunners * testColdRate * 2
				s.c.Assert(all >= least, qt.IsTrue, qt.Commentf("%d arrivals", all))
			})
		})
	}
}

// Half of the runners are cold: the others serve what they can, and nobody is refused.
func TestWarmRunnersServeInPlaceOfColdOnes(t *testing.T) {
	inSite(t, func(s *testSite) {
		until := time.Now().Add(6 * time.Second)
		s.cool(until, s.allRunners()[:testRunners/2]...)
		from := time.Now()
		served := s.rush(100, 3*time.Second)
		_, all := s.mostArrivals(from, until)
		s.c.Assert(served, qt.Equals, all)
		s.c.Assert(served >= 300, qt.IsTrue, qt.Commentf("%d", served))
	})
}
