package relay_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
)

// maxTimeToServe is how long after a leader has begun a router must serve its first request.
const maxTimeToServe = 200 * time.Millisecond

func controllerMachine(index int) netip.Addr {
	return netip.MustParseAddrPort(controllerAt(index)).Addr()
}

// powerOff ends the controllers and switches their machines off.
func (s *testSite) powerOff() {
	for index := range s.controllers {
		s.stopController(index)
		s.network.Cut(controllerMachine(index))
	}
}

// powerOn starts the controllers one after the other. Each machine is up for bootTime before its
// process listens.
func (s *testSite) powerOn(bootTime time.Duration) {
	for index := range s.controllers {
		s.network.Restore(controllerMachine(index))
		pause.For(s.ctx, bootTime)
		s.startController(index, false)
		pause.For(s.ctx, 100*time.Millisecond)
	}
}

func (s *testSite) leads() bool {
	for _, each := range s.controllers {
		if each.node.Leads() {
			return true
		}
	}
	return false
}

// Routers that could not reach the controllers for a time must serve soon after a leader has begun.
func TestRoutersServeSoonAfterFirstLeader(t *testing.T) {
	for _, test := range []struct {
		off, boot time.Duration
	}{
		{0, 0}, {300 * time.Millisecond, 0}, {time.Second, 0}, {2 * time.Second, 0}, {3500 * time.Millisecond, 0}, {8 * time.Second, 0},
		{0, 500 * time.Millisecond}, {3 * time.Second, 700 * time.Millisecond}, {8 * time.Second, 700 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("off for %v, booting for %v", test.off, test.boot), func(t *testing.T) {
			inSite(t, func(s *testSite) {
				s.powerOff()
				for index := range s.routers {
					s.startRouter(index)
				}
				pause.For(s.ctx, test.off)
				go s.powerOn(test.boot)
				s.await("a leader", s.leads)
				began := time.Now()
				var took [testRouters]time.Duration
				var asking sync.WaitGroup
				for index := range s.routers {
					asking.Go(func() {
						s.await("the document", s.routers[index].IsReady)
						s.await("an answer", func() bool { return s.ask(index, "x").Code == http.StatusOK })
						took[index] = time.Since(began) - workTime
					})
				}
				asking.Wait()
				t.Log(took)
				pause.For(s.ctx, 3*test.boot)
				for index := range s.routers {
					s.c.Check(took[index] <= maxTimeToServe, qt.IsTrue, qt.Commentf("router %d: %v", index, took[index]))
				}
			})
		})
	}
}
