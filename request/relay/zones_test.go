package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	pkgerrors "github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
)

const (
	// zoneRunners is the number of runners of each service per zone, zoneAnswer their response
	// time.
	zoneRunners = 4
	zoneAnswer  = 60 * time.Millisecond
	// detectTime is how long after a partition requests may still be affected: until silence is
	// detected and three connects have failed.
	detectTime = 500 * time.Millisecond
	// isolatedDetectTime is the same within an isolated zone, whose routers detect the partition
	// from the silence of the leader.
	isolatedDetectTime = domainapi.MinHold + leaderAnswerTime + 3*zoneAnswer
	// leaderInterval is the interval between messages of the leader.
	leaderInterval = 500 * time.Millisecond
)

// partitionedNetwork is a network of which zones can be disconnected.
type partitionedNetwork struct {
	mutex   sync.Mutex
	cut     map[string]bool
	refuses bool
}

func (n *partitionedNetwork) set(zone string, isCut, refuses bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[zone], n.refuses = isCut, refuses
}

func (n *partitionedNetwork) isCut(address string) (isCut, refuses bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cut[address[:1]], n.refuses
}

func (n *partitionedNetwork) Listen(context.Context, string) (net.Listener, error) {
	return nil, errors.New("listening is not supported")
}

func (n *partitionedNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	isCut, refuses := n.isCut(address)
	switch {
	case isCut && refuses:
		return nil, errors.New("connection refused")
	case isCut:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	conn, other := net.Pipe()
	return conn, other.Close()
}

var _ network.Network = (*partitionedNetwork)(nil)

// zoneSite is a router in zone a of three zones with simulated runners.
type zoneSite struct {
	c       *qt.C
	network *partitionedNetwork
	router  *Router
	backend *scriptedBackend
	// isOpen are the runners to which a connection is open.
	mutex  sync.Mutex
	isOpen map[string]bool
}

// inZones runs a test in virtual time. Model m is held in all zones, model far in zone c only.
func inZones(t *testing.T, test func(s *zoneSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &zoneSite{c: qt.New(t), network: &partitionedNetwork{cut: make(map[string]bool)}, isOpen: make(map[string]bool)}
		connects := NewRunnerDialer(s.network)
		s.backend = &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt) (*Answer, error) {
			return s.answer(ctx, connects, attempt)
		}}
		s.router = newRunningRouter(Options{
			Logger: log.NewNopLogger(), Name: "router", Zone: "a", Dialer: connects, Backend: s.backend,
			Retry:   RetryRule{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
			MaxWait: MaxWait{Floor: 2 * time.Second, Objectives: 4, Pauses: 8},
		})
		s.router.adoptDocument(testDocument())
		view := fleet.View{Complete: true}
		for _, zone := range []string{"a", "b", "c"} {
			for number := range zoneRunners {
				id := fmt.Sprint(zone, number)
				models := []fleet.LoadedModel{{Name: "m"}}
				if zone == "c" {
					models = append(models, fleet.LoadedModel{Name: "far"})
				}
				view.Runners = append(view.Runners,
					fleet.Runner{Instance: id, Service: "plain", Address: id, Zone: zone, Slots: 8},
					fleet.Runner{Instance: id + "e", Service: "engine", Address: id + "e", Zone: zone, Slots: 8, Models: models})
			}
		}
		s.router.adoptView(view)
		s.hearLeader()
		var leader sync.WaitGroup
		leader.Go(func() {
			for pause.For(ctx, leaderInterval) {
				if isCut, _ := s.network.isCut("c"); !isCut {
					s.hearLeader()
				}
			}
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.router.zoneLoop(ctx)
		}()
		test(s)
		cancel()
		<-done
		leader.Wait()
	})
}

func (s *zoneSite) hearLeader() {
	s.router.mutex.Lock()
	defer s.router.mutex.Unlock()
	s.router.routerCount = *settledCount(1, s.router.now())
}

// answer simulates the runners. Requests that reach a disconnected zone are not answered.
func (s *zoneSite) answer(ctx context.Context, connects *RunnerDialer, attempt *Attempt) (*Answer, error) {
	s.mutex.Lock()
	isOpen := s.isOpen[attempt.Instance]
	s.mutex.Unlock()
	if !isOpen {
		conn, err := connects.DialContext(ctx, "tcp", attempt.Address)
		if err != nil {
			return nil, pkgerrors.Wrap(ErrNotSent, err.Error())
		}
		_ = conn.Close()
		s.mutex.Lock()
		s.isOpen[attempt.Instance] = true
		s.mutex.Unlock()
	}
	select {
	case <-time.After(zoneAnswer):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if isCut, refuses := s.network.isCut(attempt.Address); isCut {
		s.mutex.Lock()
		s.isOpen[attempt.Instance] = false
		s.mutex.Unlock()
		if refuses {
			return broken()
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if strings.HasSuffix(attempt.Instance, "e") {
		return stream(events(int(attempt.ResumeAfter)+1, 9), io.EOF)
	}
	return fine()
}

// requestResult is the result of one request.
type requestResult struct {
	sent    time.Time
	took    time.Duration
	status  int
	aborted bool
}

// run sends one request per pause to a path and returns the results.
func (s *zoneSite) run(path, model string, length, pause time.Duration) []requestResult {
	var group sync.WaitGroup
	results := make([]requestResult, int(length/pause))
	for index := range results {
		group.Go(func() {
			began := time.Now()
			recorder, aborted := ask(s.router, context.Background(), path, model)
			results[index] = requestResult{began, time.Since(began), recorder.Code, aborted}
		})
		time.Sleep(pause)
	}
	group.Wait()
	return results
}

// After a zone is disconnected under load, with packets dropped or connections refused, seen from
// outside or from an isolated zone, all requests must succeed again within the detection time.
// Earlier ones must be served elsewhere unless they may have run.
func TestZoneIsDisconnectedUnderLoad(t *testing.T) {
	for _, test := range []struct {
		name    string
		cut     []string
		refuses bool
		path    string
		// kept is the fraction of earlier requests that must be served.
		kept float64
	}{
		{"remote zone, dropped", []string{"b"}, false, "/again/x", 1},
		{"remote zone, refused", []string{"b"}, true, "/again/x", 1},
		{"remote zone, non-repeatable", []string{"b"}, false, "/once/x", 0.6},
		{"isolated zone, dropped", []string{"b", "c"}, false, "/again/x", 1},
		{"isolated zone, refused", []string{"b", "c"}, true, "/again/x", 1},
		{"isolated zone, non-repeatable", []string{"b", "c"}, false, "/once/x", 0.6},
		{"own zone, streams", []string{"a"}, false, "/stream/x", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			inZones(t, func(s *zoneSite) {
				s.run(test.path, "m", 3*time.Second, 20*time.Millisecond)
				from := time.Now()
				for _, zone := range test.cut {
					s.network.set(zone, true, test.refuses)
				}
				early, kept := 0, 0
				within := detectTime
				if len(test.cut) > 1 {
					within = isolatedDetectTime
				}
				for _, each := range s.run(test.path, "m", 3*time.Second, 20*time.Millisecond) {
					isServed := each.status == http.StatusOK && !each.aborted
					if each.sent.Sub(from) > within {
						s.c.Check(isServed && each.took < 4*zoneAnswer, qt.IsTrue, qt.Commentf("%s after: %s, %d", each.sent.Sub(from), each.took, each.status))
						continue
					}
					early++
					if isServed && each.took < within+4*zoneAnswer {
						kept++
						continue
					}
					s.c.Log("not served:", each.sent.Sub(from), each.took, each.status, each.aborted)
				}
				s.c.Assert(float64(kept) >= test.kept*float64(early), qt.IsTrue, qt.Commentf("%d of %d", kept, early))
			})
		})
	}
}

// Without a reachable holder of the model or a leader, a waiting request must be served as soon as
// the zone is back, and an abandoned one get a Retry-After of a third of its remaining time.
func TestRequestWaitsForUnreachableModel(t *testing.T) {
	inZones(t, func(s *zoneSite) {
		s.run("/stream/x", "far", time.Second, 50*time.Millisecond)
		s.network.set("c", true, false)
		s.network.set("b", true, false)
		s.run("/stream/x", "m", 2*time.Second, 20*time.Millisecond)
		var waiting, abandoned *httptest.ResponseRecorder
		abandoned, _ = ask(s.router, context.Background(), "/stream/x", "far")
		s.c.Assert(abandoned.Code, qt.Equals, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(abandoned.Header().Get("Retry-After"), 64)
		s.c.Assert(err, qt.IsNil)
		// At most 2.25 s of the 5 s of the request have passed.
		s.c.Assert(after >= 0.9 && after <= 1.1, qt.IsTrue, qt.Commentf("%.2f s", after))
		var group sync.WaitGroup
		group.Go(func() { waiting, _ = ask(s.router, context.Background(), "/stream/x", "far") })
		time.Sleep(500 * time.Millisecond)
		s.network.set("c", false, false)
		began := time.Now()
		group.Wait()
		s.c.Assert(waiting.Code, qt.Equals, http.StatusOK)
		s.c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	})
}

// A recovered zone must be used again within 1.5 s without being flooded.
func TestRecoveredZoneIsNotOverloaded(t *testing.T) {
	inZones(t, func(s *zoneSite) {
		s.run("/again/x", "", time.Second, 20*time.Millisecond)
		s.network.set("b", true, false)
		s.run("/again/x", "", 3*time.Second, 20*time.Millisecond)
		s.network.set("b", false, false)
		s.run("/again/x", "", 1500*time.Millisecond, 20*time.Millisecond)
		before := len(s.backend.runners())
		s.run("/again/x", "", 4*time.Second, 5*time.Millisecond)
		counts := make(map[string]int)
		for _, instance := range s.backend.runners()[before:] {
			counts[instance[:1]]++
		}
		s.c.Assert(counts["b"] > 0, qt.IsTrue, qt.Commentf("%v", counts))
		s.c.Assert(counts["b"] < 2*counts["c"] && counts["b"] <= counts["a"], qt.IsTrue, qt.Commentf("%v", counts))
	})
}

// Runners of the own zone must be preferred, and overflow to other zones under load.
func TestLocalZoneIsPreferred(t *testing.T) {
	for _, test := range []struct {
		name  string
		pause time.Duration
		// near and most bound the fraction of requests to the own zone.
		near, most float64
	}{
		{"light load", 50 * time.Millisecond, 0.9, 1},
		{"more requests than slots in the own zone", time.Millisecond, 0.3, 0.7},
	} {
		t.Run(test.name, func(t *testing.T) {
			inZones(t, func(s *zoneSite) {
				s.run("/again/x", "", 5*time.Second, test.pause)
				near := 0
				runners := s.backend.runners()
				for _, instance := range runners {
					if instance[:1] == "a" {
						near++
					}
				}
				part := float64(near) / float64(len(runners))
				s.c.Assert(part >= test.near && part <= test.most, qt.IsTrue, qt.Commentf("%.2f", part))
			})
		})
	}
}

// A request sent right after its zone was found to be unreachable must be canceled like those in
// progress.
func TestRequestSentDuringZoneLossIsCanceled(t *testing.T) {
	inZones(t, func(s *zoneSite) {
		s.run("/stream/x", "far", time.Second, 100*time.Millisecond)
		s.router.mutex.Lock()
		wanted := &waiter{row: residency.Row{Service: "engine", Model: "far"}}
		choice, found := s.router.pick(wanted)
		s.router.mutex.Unlock()
		s.c.Assert(found, qt.IsTrue)
		s.network.set("c", true, false)
		s.run("/stream/x", "m", 2*time.Second, 50*time.Millisecond)
		s.c.Assert(s.router.zones.watch.IsLost("c"), qt.IsTrue)
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		attempt := &watchdog{runner: choice.Runner(), cancel: cancel, timer: time.NewTimer(time.Hour)}
		defer attempt.stop()
		defer s.router.beginAttempt(choice, attempt)()
		s.c.Assert(errors.Is(context.Cause(ctx), errZoneLost), qt.IsTrue)
	})
}

// A router without requests must not probe; otherwise it may make one probe per request.
func TestIdleRouterMakesNoProbes(t *testing.T) {
	c := qt.New(t)
	z := newZones(1)
	c.Assert(z.probeBudget(), qt.Equals, 0)
	z.sent = 7
	z.sampled = 5
	c.Assert(z.probeBudget(), qt.Equals, 2)
	z.sampled = 9
	c.Assert(z.probeBudget(), qt.Equals, 0)
}
