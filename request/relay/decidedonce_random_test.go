package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// shiftingTime is the length of one play, shiftingRequests the number of its requests, and shiftingWait the time of each.
	shiftingTime     = 12 * time.Second
	shiftingRequests = 150
	shiftingWait     = 6 * time.Second
	// maxConnectTime is the longest time before the first byte of a request is sent, and maxViewDelay that until the router hears of
	// a change of the runners.
	maxConnectTime = 150 * time.Millisecond
	maxViewDelay   = 400 * time.Millisecond
)

// shiftingRunner is the process at an address.
type shiftingRunner struct {
	fleet.Runner
	// gone is closed when it ends.
	gone chan struct{}
	// copies are the requests of which it holds the memory.
	copies map[string]bool
}

// shiftingSite is a router whose configuration, runners, their versions and leaders change all the time. It implements Backend.
type shiftingSite struct {
	c      *qt.C
	router *Router

	mutex  sync.Mutex
	random *rand.Rand
	// runners are by address.
	runners map[string]*shiftingRunner
	started int
	// unlistedAt is when the router adopted that an instance is leaving or gone.
	unlistedAt map[string]time.Time
	sends      map[string][]shiftingSend
	counts     map[string]int
}

// shiftingSend is a request that arrived at a runner.
type shiftingSend struct {
	service, zone string
	hasRun        bool
	isContinued   bool
}

// pick returns a random number below the given one.
func (s *shiftingSite) pick(count int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(count)
}

// draw returns a random time below the given one.
func (s *shiftingSite) draw(most time.Duration) time.Duration {
	return time.Duration(s.pick(int(most)))
}

func newShiftingSite(c *qt.C, seed uint64) *shiftingSite {
	s := &shiftingSite{
		c: c, random: rand.New(rand.NewPCG(seed, 21)), runners: make(map[string]*shiftingRunner),
		unlistedAt: make(map[string]time.Time), sends: make(map[string][]shiftingSend), counts: make(map[string]int),
	}
	s.router = newRunningRouter(Options{
		Logger: log.NewNopLogger(), Name: "router", Seeds: func() []string { return nil }, Backend: s, Seed: seed,
		Retry:   RetryRule{Ratio: 0.2, Extra: 30, Window: 10 * time.Second},
		MaxWait: MaxWait{Floor: 2 * time.Second, Objectives: 4, Pauses: 8},
		Regions: map[structs.ZoneID]string{"n1": "north", "n2": "north", "s1": "south"},
	})
	s.router.routerCount = *settledCount(1, time.Now())
	for number := range 15 {
		s.start(fmt.Sprint("a", number))
	}
	s.adoptDocument()
	s.adoptView(s.list())
	return s
}

// start has a new runner start at an address, of any service and version. The one before ends.
func (s *shiftingSite) start(address string) {
	service := []string{"plain", "engine", "engine" + otherService}[s.pick(3)]
	next := &shiftingRunner{gone: make(chan struct{}), copies: make(map[string]bool)}
	next.Runner = fleet.Runner{Service: service, Address: address, Zone: []string{"n1", "n2", "s1"}[s.pick(3)], Slots: 4}
	// The versions of two services have different names: see TestStreamOfFormerServiceIsNotTakenUpElsewhere.
	next.Version = fmt.Sprint(service, "-v", s.pick(3))
	if service != "plain" {
		next.Models = []fleet.LoadedModel{{Name: "m"}}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.started++
	next.Instance = fmt.Sprint("i", s.started)
	if former := s.runners[address]; former != nil {
		close(former.gone)
	}
	s.runners[address] = next
}

// list returns a view of all runners.
func (s *shiftingSite) list() fleet.View {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	view := fleet.View{Complete: true}
	for _, each := range s.runners {
		view.Runners = append(view.Runners, each.Runner)
	}
	slices.SortFunc(view.Runners, func(a, b fleet.Runner) int { return strings.Compare(a.Instance, b.Instance) })
	return view
}

// adoptView has the router adopt a view, and the versions of which the leader knows.
func (s *shiftingSite) adoptView(view fleet.View) {
	known := make(map[string]string)
	var mixed []string
	for _, runner := range view.Runners {
		if known[runner.Service] != "" && known[runner.Service] != runner.Version && !slices.Contains(mixed, runner.Service) {
			mixed = append(mixed, runner.Service)
		}
		known[runner.Service] = runner.Version
	}
	s.router.mutex.Lock()
	s.router.adoptVersions(s.router.now(), mixed, nil)
	s.router.mutex.Unlock()
	s.router.adoptView(view)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	accepting := make(map[string]bool)
	for _, runner := range view.Runners {
		accepting[runner.Instance] = !runner.Leaving
	}
	for number := range s.started {
		instance := fmt.Sprint("i", number+1)
		if _, isKnown := s.unlistedAt[instance]; !isKnown && !accepting[instance] {
			s.unlistedAt[instance] = time.Now()
		}
		if accepting[instance] {
			delete(s.unlistedAt, instance)
		}
	}
}

// adoptDocument has the router adopt a random document.
func (s *shiftingSite) adoptDocument() {
	document := changingDocument(s.router.version() + 1)
	for i := range document.Routes {
		route := &document.Routes[i]
		route.MaxAttempts, route.Timeout = 1+s.pick(4), 2*time.Second+s.draw(8*time.Second)
		route.Regions = [][]string{nil, nil, {"north"}, {"south"}}[s.pick(4)]
		if route.Split[0].Service == "engine" {
			splitRoute(float64(s.pick(3)), float64(1+s.pick(2)))(route)
		}
	}
	s.router.adoptDocument(document)
}

// shift changes something each few milliseconds until ctx ends.
func (s *shiftingSite) shift(ctx context.Context) {
	for sleepIn(ctx, s.draw(60*time.Millisecond)) == nil {
		address := fmt.Sprint("a", s.pick(15))
		switch s.pick(8) {
		case 0, 1:
			s.adoptDocument()
		case 2, 3:
			s.start(address)
		case 4:
			s.mutex.Lock()
			s.runners[address].Leaving = true
			s.mutex.Unlock()
		case 5:
			// A new leader knows no runner yet.
			s.router.adoptView(fleet.View{})
		case 6:
			s.mutex.Lock()
			instance := s.runners[address].Instance
			s.mutex.Unlock()
			s.router.mutex.Lock()
			s.router.noteNotice(structs.RunnerID(instance), notice.Notice{Cooldown: 300 * time.Millisecond})
			s.router.mutex.Unlock()
		}
		s.router.mutex.Lock()
		s.router.routerCount = *settledCount(1, time.Now())
		s.router.mutex.Unlock()
	}
}

// watch has the router adopt what the runners were some time ago until ctx ends.
func (s *shiftingSite) watch(ctx context.Context) {
	for view := s.list(); sleepIn(ctx, s.draw(maxViewDelay)) == nil; view = s.list() {
		s.adoptView(view)
	}
}

// Send implements Backend. A runner that is not the one addressed does not run the request.
func (s *shiftingSite) Send(ctx context.Context, attempt *Attempt) (*Answer, error) {
	connecting := s.draw(maxConnectTime)
	if err := sleepIn(ctx, connecting); err != nil || !attempt.MaySend() {
		return notSent()
	}
	id := attempt.Request.ID
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at, isUnlisted := s.unlistedAt[attempt.Instance]; isUnlisted {
		s.c.Check(time.Since(at) <= maxConnectTime, qt.IsTrue, qt.Commentf("%s: sent %v after the router had heard that the runner leaves", id, time.Since(at)))
	}
	runner := s.runners[attempt.Address]
	sent := shiftingSend{service: attempt.Service, zone: runner.Zone, isContinued: attempt.IsContinuation}
	switch {
	case runner.Instance != attempt.Instance:
		answer, err := newAnswer(http.StatusMisdirectedRequest, "")
		answer.NotHeld = true
		return answer, err
	case attempt.IsContinuation && !runner.copies[id]:
		return shed()
	case s.random.IntN(10) == 0:
		return shed()
	}
	sent.hasRun = true
	s.c.Check(runner.Service, qt.Equals, attempt.Service, qt.Commentf("%s", id))
	s.sends[id] = append(s.sends[id], sent)
	if attempt.Request.Model == "" {
		return fine()
	}
	answer, err := stream("", nil)
	answer.Body = &shiftingStream{site: s, ctx: ctx, runner: runner, copyTo: attempt.CopyTo, id: id, next: max(1, int(attempt.ResumeAfter)+1)}
	return answer, err
}

// shiftingStream is the body of a stream, which ends with its runner.
type shiftingStream struct {
	site       *shiftingSite
	ctx        context.Context
	runner     *shiftingRunner
	copyTo, id string
	next       int
}

func (b *shiftingStream) Read(buffer []byte) (int, error) {
	usual := b.site.draw(2 * steadyGap)
	if b.site.pick(30) == 0 {
		// The runner is silent, at times for so long that another one is asked.
		usual = b.site.draw(3 * time.Second)
	}
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-b.runner.gone:
		return 0, errReset
	case <-time.After(usual):
	}
	switch {
	case b.next > steadyEvents:
		return 0, io.EOF
	case b.site.pick(40) == 0:
		return 0, errReset
	}
	b.site.mutex.Lock()
	if standby := b.site.runners[b.copyTo]; standby != nil {
		standby.copies[b.id] = true
	}
	b.site.mutex.Unlock()
	b.next++
	return copy(buffer, versionedEvent(b.next-1, b.runner.Version)), nil
}

func (b *shiftingStream) Close() error { return nil }

// ask sends a request and takes it up once if its stream breaks.
func (s *shiftingSite) ask(number int) {
	path := []string{"/stream/x", "/stream/x", "/stream-once/x", "/again/x", "/once/x"}[s.pick(5)]
	began := time.Now()
	request := &Request{ID: fmt.Sprint("r", number), Wait: shiftingWait, ResumeAfter: NoEvent}
	first := s.send(request, path, began)
	got := len(eventVersions(first.Body.String()))
	if path != "/stream/x" || got == 0 || got == steadyEvents || time.Since(began) >= shiftingWait-time.Second {
		return
	}
	time.Sleep(s.draw(time.Second))
	left := shiftingWait - time.Since(began)
	second := s.send(&Request{
		ID: request.ID + "-again", Wait: left, ResumeAfter: int64(got), FirstAttemptID: request.ID,
	}, path, time.Now())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[fmt.Sprint("taken up, ", second.Code)]++
	joined := append(eventVersions(first.Body.String()), eventVersions(second.Body.String())...)
	s.c.Check(len(slices.Compact(slices.Clone(joined))) <= 1, qt.IsTrue, qt.Commentf("%s is taken up at another version: %v", request.ID, joined))
}

// send sends one attempt of a caller and checks it against the configuration with which it arrived.
func (s *shiftingSite) send(request *Request, path string, began time.Time) *httptest.ResponseRecorder {
	route := s.router.index.Load().Route("h", path)
	recorder, aborted := askChanging(s.router, request, path)
	took := time.Since(began)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	comment := qt.Commentf("%s %s: status %d after %v, %+v", request.ID, path, recorder.Code, took, s.sends[request.ID])
	s.counts[fmt.Sprint(recorder.Code, ", aborted ", aborted)]++
	s.c.Check(took <= min(request.Wait, route.Timeout)+time.Millisecond, qt.IsTrue, comment)
	s.c.Check(len(slices.Compact(eventVersions(recorder.Body.String()))) <= 1, qt.IsTrue, qt.Commentf("%s has events of two versions: %s", request.ID, recorder.Body))
	starts := 0
	for _, each := range s.sends[request.ID] {
		s.c.Check(route.LeadsTo(each.service), qt.IsTrue, comment)
		isAllowed := len(route.Regions) == 0 || slices.Contains(route.Regions, s.router.options.Regions[structs.ZoneID(each.zone)])
		s.c.Check(isAllowed, qt.IsTrue, comment)
		s.c.Check(each.service, qt.Equals, s.sends[request.ID][0].service, comment)
		if each.hasRun && !each.isContinued {
			starts++
		}
	}
	s.c.Check(starts <= mostRuns(route), qt.IsTrue, comment)
	if recorder.Code == http.StatusServiceUnavailable {
		s.c.Check(starts, qt.Equals, 0, comment)
	}
	return recorder
}

// eventVersions returns the versions that wrote the events of an answer.
func eventVersions(body string) (versions []string) {
	for line := range strings.Lines(body) {
		if _, version, isCut := strings.Cut(strings.TrimSpace(line), " of "); isCut && strings.HasPrefix(line, "data: ") {
			versions = append(versions, version)
		}
	}
	return versions
}

// Guards against requests for which something is decided once, and used when it holds no more: documents, runners, their versions and
// addresses, and leaders change between each decision and its use.
func TestDecisionsAreCheckedWhenTheyAreUsed(t *testing.T) {
	for seed := *seriesSeed; seed < *seriesSeed+uint64(*seriesCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newShiftingSite(qt.New(t), seed)
				ctx, end := context.WithCancel(t.Context())
				var shifting, asking sync.WaitGroup
				shifting.Go(func() { s.shift(ctx) })
				shifting.Go(func() { s.watch(ctx) })
				for number := range shiftingRequests {
					asking.Go(func() { s.ask(number) })
					time.Sleep(s.draw(2 * shiftingTime / shiftingRequests))
				}
				asking.Wait()
				end()
				shifting.Wait()
				time.Sleep(handleTTL + time.Second)
				assertNothingInProgress(s.c, s.router)
				t.Log(s.counts)
			})
		})
	}
}
