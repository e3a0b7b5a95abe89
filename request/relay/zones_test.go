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
	// zoneRunners is how many runners each zone has, zoneAnswer how long an answer takes.
	zoneRunners = 4
	zoneAnswer  = 60 * time.Millisecond
	// leftWithin is how long after a cut requests may still suffer: until the silence of some is
	// noticed, and three connects have failed.
	leftWithin = 500 * time.Millisecond
	// insideWithin is the same within a zone that is cut off: its routers send little to others, and learn
	// of the cut from the leader's silence.
	insideWithin = domainapi.LeastHold + leaderAnswer + 3*zoneAnswer
	// watchPause separates two words of the leader.
	watchPause = 500 * time.Millisecond
)

// cutNetwork is a network of which zones can be cut off.
type cutNetwork struct {
	mutex   sync.Mutex
	cut     map[string]bool
	refuses bool
}

func (n *cutNetwork) set(zone string, isCut, refuses bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[zone], n.refuses = isCut, refuses
}

func (n *cutNetwork) isCut(address string) (isCut, refuses bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cut[address[:1]], n.refuses
}

func (n *cutNetwork) Listen(context.Context, string) (net.Listener, error) {
	return nil, errors.New("nobody listens here")
}

func (n *cutNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
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

var _ network.Network = (*cutNetwork)(nil)

// zoneSite is a router in zone a of three, before runners that are stand-ins.
type zoneSite struct {
	c       *qt.C
	network *cutNetwork
	router  *Router
	backend *scriptedBackend
	// isOpen are the runners to which a connection is open.
	mutex  sync.Mutex
	isOpen map[string]bool
}

// inZones runs a test in virtual time. Model m is held in all zones, and model far in c alone.
func inZones(t *testing.T, test func(s *zoneSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &zoneSite{c: qt.New(t), network: &cutNetwork{cut: make(map[string]bool)}, isOpen: make(map[string]bool)}
		connects := NewConnects(s.network)
		s.backend = &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt) (*Answer, error) {
			return s.answer(ctx, connects, attempt)
		}}
		s.router = New(Options{
			Logger: log.NewNopLogger(), Name: "router", Zone: "a", Connects: connects, Backend: s.backend,
			Retry:    RetryRule{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
			Patience: Patience{Floor: 2 * time.Second, Objectives: 4, Pauses: 8},
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
			for pause.For(ctx, watchPause) {
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
	s.router.granted = grant{routers: 1, at: s.router.now()}
}

// answer is what the runners do: whatever reaches a zone that is cut off is not answered.
func (s *zoneSite) answer(ctx context.Context, connects *Connects, attempt *Attempt) (*Answer, error) {
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

// served is how one request ended.
type served struct {
	sent    time.Time
	took    time.Duration
	status  int
	aborted bool
}

// run sends requests to a path, one each pause, and returns how they ended.
func (s *zoneSite) run(path, model string, length, pause time.Duration) []served {
	var group sync.WaitGroup
	results := make([]served, int(length/pause))
	for index := range results {
		group.Go(func() {
			began := time.Now()
			recorder, aborted := ask(s.router, context.Background(), path, model)
			results[index] = served{began, time.Since(began), recorder.Code, aborted}
		})
		time.Sleep(pause)
	}
	group.Wait()
	return results
}

// A zone is cut off in full flow, seen from outside it, from inside it, where the leader is out of reach as
// well, and with packets dropped or connections refused. Half a second later, or as soon as the leader is missed, all requests are answered as before, also those that may
// run once only; those before get their answer elsewhere, unless they may have run.
func TestZoneIsCutOffInFullFlow(t *testing.T) {
	for _, test := range []struct {
		name    string
		cut     []string
		refuses bool
		path    string
		// kept is the part of the requests until then that must be served.
		kept float64
	}{
		{"another zone, dropped", []string{"b"}, false, "/again/x", 1},
		{"another zone, refused", []string{"b"}, true, "/again/x", 1},
		{"another zone, requests that run once", []string{"b"}, false, "/once/x", 0.6},
		{"inside, dropped", []string{"b", "c"}, false, "/again/x", 1},
		{"inside, refused", []string{"b", "c"}, true, "/again/x", 1},
		{"inside, requests that run once", []string{"b", "c"}, false, "/once/x", 0.6},
		{"the own zone, streams", []string{"a"}, false, "/stream/x", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			inZones(t, func(s *zoneSite) {
				s.run(test.path, "m", 3*time.Second, 20*time.Millisecond)
				from := time.Now()
				for _, zone := range test.cut {
					s.network.set(zone, true, test.refuses)
				}
				early, kept := 0, 0
				within := leftWithin
				if len(test.cut) > 1 {
					within = insideWithin
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
					s.c.Log("not kept:", each.sent.Sub(from), each.took, each.status, each.aborted)
				}
				s.c.Assert(float64(kept) >= test.kept*float64(early), qt.IsTrue, qt.Commentf("%d of %d", kept, early))
			})
		})
	}
}

// Nobody in reach holds the model and no leader is heard. A request that waits is served as soon as the zone is
// back; one that has waited in vain is told to stay away for a third of the time that it has left.
func TestModelBehindTheCutIsAwaited(t *testing.T) {
	inZones(t, func(s *zoneSite) {
		s.run("/stream/x", "far", time.Second, 50*time.Millisecond)
		s.network.set("c", true, false)
		s.network.set("b", true, false)
		s.run("/stream/x", "m", 2*time.Second, 20*time.Millisecond)
		var waiting, inVain *httptest.ResponseRecorder
		inVain, _ = ask(s.router, context.Background(), "/stream/x", "far")
		s.c.Assert(inVain.Code, qt.Equals, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(inVain.Header().Get("Retry-After"), 64)
		s.c.Assert(err, qt.IsNil)
		// Of the 5 s of the request 2.25 s have passed, or less where callers of streams wait for less.
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

// Once the zone is back, it is used again within a second and a half, and its runners get no more than
// the others.
func TestReturnedZoneIsUsedWithoutAHerd(t *testing.T) {
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

// Near runners are preferred while that costs nothing, and spill over when they have more to do.
func TestNearRunnersComeFirst(t *testing.T) {
	for _, test := range []struct {
		name  string
		pause time.Duration
		// near is the least part of the requests for the own zone, most the most.
		near, most float64
	}{
		{"few requests", 50 * time.Millisecond, 0.9, 1},
		{"more than the own zone has places for", time.Millisecond, 0.3, 0.7},
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

// A request that got its runner just before the zone was found to be out of reach, and is sent just after
// it, goes elsewhere like those that were under way.
func TestRequestThatIsSentAsItsZoneIsLostLeavesIt(t *testing.T) {
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
		defer s.router.noteSent(choice, attempt)()
		s.c.Assert(errors.Is(context.Cause(ctx), errZoneLost), qt.IsTrue)
	})
}

// A router that has sent nothing connects to no runner, however long the leader is silent; with requests it may make
// as many connects that none of them asked for.
func TestRoutersWithoutRequestsConnectToNobody(t *testing.T) {
	c := qt.New(t)
	z := newZones(1)
	c.Assert(z.earned(), qt.Equals, 0)
	z.sent = 7
	z.sampled = 5
	c.Assert(z.earned(), qt.Equals, 2)
	z.sampled = 9
	c.Assert(z.earned(), qt.Equals, 0)
}
