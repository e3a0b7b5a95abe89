package relay_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/request/relay"
)

// budgetTraffic is a load of requests of which many fail, and what it needs to check the retry budget.
type budgetTraffic struct {
	site *testSite
	// asked is when each request was sent to a router.
	asked []time.Time
}

// run sends requests with distinct bodies through all routers.
func (b *budgetTraffic) run(during, interval time.Duration) {
	var callers sync.WaitGroup
	for began := time.Now(); time.Since(began) < during; {
		body, router := fmt.Sprint("request ", len(b.asked)), b.site.anyRouter()
		b.asked = append(b.asked, time.Now())
		callers.Go(func() { b.site.ask(router, body) })
		pause.For(b.site.ctx, interval)
	}
	callers.Wait()
}

// check fails the test if the runners got more repeats in a window than all routers together may send.
func (b *budgetTraffic) check(began time.Time, during time.Duration) {
	c := b.site.c
	c.Helper()
	var repeats []time.Time
	b.site.mutex.Lock()
	for _, arrivals := range b.site.sent {
		repeats = append(repeats, arrivals[1:]...)
	}
	b.site.mutex.Unlock()
	for at := began; at.Before(began.Add(during)); at = at.Add(100 * time.Millisecond) {
		// Requests count in the window, in the previous one or in the one half a window earlier.
		most := 0
		for _, before := range []time.Duration{0, testRetry.Window / 2, testRetry.Window} {
			from := at.Add(-before)
			most = max(most, countWithin(b.asked, from, from.Add(testRetry.Window)))
		}
		found := countWithin(repeats, at, at.Add(testRetry.Window))
		c.Assert(float64(found) <= testRetry.Ratio*float64(most)+testRetry.Extra, qt.IsTrue,
			qt.Commentf("%d repeats from %v on for %d requests", found, at.Sub(began), most))
	}
	c.Assert(len(repeats) > 50, qt.IsTrue, qt.Commentf("%d repeats", len(repeats)))
}

func countWithin(times []time.Time, from, to time.Time) (count int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// failAll makes all runners fail half of their requests.
func (s *testSite) failAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, runner := range s.runners {
		s.failures[runner.address] = []relay.Answer{{Status: http.StatusInternalServerError}}
	}
}

// Guards against routers that may use their whole share of the retry budget again after each restart.
func TestRestartedRoutersKeepTheRetryBudget(t *testing.T) {
	inSite(t, func(s *testSite) {
		s.failAll()
		began, load := time.Now(), budgetTraffic{site: s}
		go func() {
			for range 5 {
				pause.For(s.ctx, 2*time.Second)
				for index := range testRouters {
					s.startRouter(index)
				}
			}
		}()
		load.run(20*time.Second, 10*time.Millisecond)
		load.check(began, 20*time.Second)
	})
}
