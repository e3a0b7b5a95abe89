package relay

import (
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
)

// silence is the longest time without an answer of a controller at each of some routers.
type silence struct {
	site    *regionalSite
	longest map[*regionalRouter]time.Duration
	end     chan struct{}
	ended   chan struct{}
}

// watchSilence starts to measure.
func (s *regionalSite) watchSilence() *silence {
	made := &silence{site: s, longest: make(map[*regionalRouter]time.Duration), end: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(made.ended)
		for {
			for _, router := range s.routers {
				router.Router.mutex.Lock()
				since := time.Since(router.routerCount.at)
				router.Router.mutex.Unlock()
				made.longest[router] = max(made.longest[router], since)
			}
			select {
			case <-made.end:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return made
}

// max ends the measurement and returns the longest silence of the routers of a zone, or of all if
// it is empty.
func (m *silence) max(zone string) (longest time.Duration) {
	close(m.end)
	<-m.ended
	for router, each := range m.longest {
		if zone == "" || router.zone == zone {
			longest = max(longest, each)
		}
	}
	return longest
}

// spreadOfDeparture returns the time from when the first router knows a departure until the last one
// does. The first ones are in the leader's region, so it begins with the announcement.
func (s *regionalSite) spreadOfDeparture(instance string) time.Duration {
	s.c.Helper()
	s.await("a runner", func() bool { return s.allTake(instance, true) })
	go s.depart(instance)
	began := time.Now()
	for s.allTake(instance, true) {
		if time.Since(began) > 5*time.Second || !pause.For(s.ctx, 500*time.Microsecond) {
			s.c.Fatal("no router learned of a departure")
		}
	}
	began = time.Now()
	for !s.allTake(instance, false) {
		if time.Since(began) > 5*time.Second || !pause.For(s.ctx, 500*time.Microsecond) {
			s.c.Fatal("a departure did not become known")
		}
	}
	return time.Since(began)
}
