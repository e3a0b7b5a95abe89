package relay

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	pkgerrors "github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/request/zonewatch"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// randomSeeds is the number of seeds of the random test unless LOTUSFERRY_SEEDS says another.
	randomSeeds = 200
	// randomCallers is the number of requests of one seed, which arrive within randomArrivals.
	randomCallers  = 60
	randomArrivals = 4 * time.Second
	// randomWait is how long a caller waits.
	randomWait = 6 * time.Second
	// randomSlots are those of each runner.
	randomSlots = 6
)

// conduct is what a runner does with one request.
type conduct int

const (
	conductSound conduct = iota
	conductPauseFirst
	conductPauseAmid
	conductSlow
	conductBreak
	conductCut
	conductShed
	conductNotHeld
	conductFail
	conductUnreached
	conductUnsent
	conductDead
	conductPlain
	conducts
)

// isSound reports whether the runner answers the request to its end if it is left to it.
func (k conduct) isSound() bool { return k <= conductSlow }

// randomRun is one request at one runner.
type randomRun struct {
	runner, version string
	conduct         conduct
	// hasRun is set unless the runner certainly did not run the request.
	hasRun bool
	// isWithdrawn is set if the router ended the run, isOpen while it lasts.
	isWithdrawn, isOpen bool
}

// randomCall is one caller's request.
type randomCall struct {
	id, path    string
	most        int
	leavesAfter time.Duration
	runs        []*randomRun
	// open is the number of runs in progress, and mostOpen the most at a time.
	open, mostOpen int
	hasLeft        bool
	recorder       *httptest.ResponseRecorder
	aborted        bool
	took           time.Duration
}

// randomRunners is a Backend of runners with random troubles.
type randomRunners struct {
	c        *qt.C
	seed     uint64
	sound    int
	versions map[string]string

	mutex sync.Mutex
	calls map[string]*randomCall
}

// draw returns a source that depends on the seed and the names alone, so that the order of goroutines does not matter.
func (f *randomRunners) draw(names ...any) *rand.Rand {
	hash := fnv.New64a()
	fmt.Fprint(hash, names...)
	return rand.New(rand.NewPCG(f.seed, hash.Sum64()))
}

// begin records a run.
func (f *randomRunners) begin(attempt *Attempt) (*randomCall, *randomRun, *rand.Rand) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	call := f.calls[attempt.Request.ID]
	random := f.draw(call.id, attempt.Instance, len(call.runs))
	run := &randomRun{runner: attempt.Instance, version: f.versions[attempt.Instance], isOpen: true, hasRun: true}
	run.conduct = conduct(random.IntN(int(conducts)))
	if random.IntN(100) < f.sound {
		run.conduct = conductSound
	}
	call.runs = append(call.runs, run)
	call.open++
	call.mostOpen = max(call.mostOpen, call.open)
	return call, run, random
}

// end records the end of a run.
func (f *randomRunners) end(call *randomCall, run *randomRun) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if run.isOpen {
		run.isOpen = false
		call.open--
	}
}

func (f *randomRunners) setNotRun(run *randomRun) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	run.hasRun = false
}

func (f *randomRunners) setWithdrawn(run *randomRun) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	run.isWithdrawn = true
}

// wait waits for a random time up to most. It reports the end of the run's context.
func (f *randomRunners) wait(ctx context.Context, run *randomRun, random *rand.Rand, least, most time.Duration) error {
	err := sleepIn(ctx, least+time.Duration(random.Int64N(int64(most-least))))
	if err != nil {
		f.setWithdrawn(run)
	}
	return err
}

var errRandomReset = errors.New("connection reset")

func (f *randomRunners) Send(ctx context.Context, attempt *Attempt) (*Answer, error) {
	early := f.draw(attempt.Request.ID, attempt.Instance, "connect")
	if early.IntN(8) == 0 {
		if err := sleepIn(ctx, time.Duration(early.Int64N(int64(time.Second)))); err != nil {
			return nil, pkgerrors.Wrap(ErrNotSent, err.Error())
		}
		if early.IntN(2) == 0 {
			return notSent()
		}
	}
	if !attempt.MaySend() {
		return notSent()
	}
	call, run, random := f.begin(attempt)
	answer, err := f.answer(ctx, attempt, call, run, random)
	if answer == nil {
		f.end(call, run)
		return answer, err
	}
	answer.Body = &randomBody{ReadCloser: answer.Body, runners: f, call: call, run: run}
	return answer, err
}

func (f *randomRunners) answer(ctx context.Context, attempt *Attempt, call *randomCall, run *randomRun, random *rand.Rand) (*Answer, error) {
	least, most := time.Millisecond, 300*time.Millisecond
	if run.conduct == conductPauseFirst {
		least, most = 500*time.Millisecond, 2500*time.Millisecond
	}
	if err := f.wait(ctx, run, random, least, most); err != nil {
		return nil, err
	}
	switch run.conduct {
	case conductBreak:
		return nil, errRandomReset
	case conductShed:
		f.setNotRun(run)
		return shed()
	case conductNotHeld:
		f.setNotRun(run)
		return notHeldAnswer(ctx, attempt)
	case conductFail:
		return failed()
	case conductUnreached, conductUnsent:
		f.setNotRun(run)
		return notSent()
	case conductDead:
		<-ctx.Done()
		f.setWithdrawn(run)
		return nil, ctx.Err()
	case conductPlain:
		return newAnswer(http.StatusBadRequest, "no such option")
	}
	if !strings.HasPrefix(call.path, "/stream") {
		answer, err := newAnswer(http.StatusOK, "fine")
		if run.conduct == conductCut {
			answer.Body = &truncatedBody{answer.Body, errRandomReset}
		}
		return answer, err
	}
	answer, err := stream("", io.EOF)
	next := 1
	if attempt.ResumeAfter != NoEvent {
		next = int(attempt.ResumeAfter) + 1
	}
	answer.Body = &randomStream{ctx: ctx, runners: f, run: run, random: random, next: next}
	return answer, err
}

// randomBody notes the end of a run.
type randomBody struct {
	io.ReadCloser
	runners *randomRunners
	call    *randomCall
	run     *randomRun
}

func (b *randomBody) Close() error {
	b.runners.end(b.call, b.run)
	return b.ReadCloser.Close()
}

// randomStream is the body of a stream.
type randomStream struct {
	ctx     context.Context
	runners *randomRunners
	run     *randomRun
	random  *rand.Rand
	next    int
	began   bool
}

func (b *randomStream) Read(buffer []byte) (int, error) {
	least, most := time.Millisecond, 120*time.Millisecond
	switch {
	case b.run.conduct == conductPauseAmid && b.random.IntN(3) == 0:
		least, most = 800*time.Millisecond, 2200*time.Millisecond
	case b.run.conduct == conductSlow:
		least, most = 100*time.Millisecond, 400*time.Millisecond
	}
	if err := b.runners.wait(b.ctx, b.run, b.random, least, most); err != nil {
		return 0, err
	}
	if b.next > wholeEvents {
		return 0, io.EOF
	}
	if b.run.conduct == conductCut && b.began && b.random.IntN(3) == 0 {
		return 0, errRandomReset
	}
	b.began = true
	b.next++
	return copy(buffer, versionedEvent(b.next-1, b.run.version)), nil
}

func (b *randomStream) Close() error { return nil }

// versionedEvent is an event that names the software version that wrote it.
func versionedEvent(number int, version string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, version)
}

// randomSite is a router with random callers and troubles.
type randomSite struct {
	c       *qt.C
	router  *Router
	runners *randomRunners
	random  *rand.Rand
	most    int
	metrics *prometheus.Registry
}

func newRandomSite(c *qt.C, seed uint64) *randomSite {
	random := rand.New(rand.NewPCG(seed, 1))
	runners := &randomRunners{
		c: c, seed: seed, sound: 20 + random.IntN(60), versions: make(map[string]string), calls: make(map[string]*randomCall),
	}
	retry := RetryRule{Ratio: 0.2, Extra: []float64{0, 1, 5, 50, 1000}[random.IntN(5)], Window: 10 * time.Second}
	if random.IntN(4) == 0 {
		retry.Ratio = 0
	}
	metrics := prometheus.NewRegistry()
	router := newRunningRouter(Options{
		Logger: log.NewNopLogger(), Name: "router", Seeds: func() []string { return nil }, Backend: runners, Retry: retry, Metrics: metrics,
		MaxWait: MaxWait{Floor: 2 * time.Second, Objectives: 4, Pauses: 8},
	})
	router.routerCount = *settledCount(1, time.Now())
	s := &randomSite{c: c, router: router, runners: runners, random: random, most: 2 + random.IntN(3), metrics: metrics}
	document := testDocument()
	for i := range document.Routes {
		document.Routes[i].MaxAttempts = s.most
	}
	router.adoptDocument(document)
	s.listRunners()
	return s
}

// listRunners lists two to five runners of each service in up to three zones.
func (s *randomSite) listRunners() {
	view := fleet.View{Complete: true}
	count, versions := 2+s.random.IntN(4), 1+s.random.IntN(2)
	for i := range count {
		zone, version := fmt.Sprintf("z%d", i%3), fmt.Sprintf("v%d", i%versions)
		plain := fleet.Runner{Instance: fmt.Sprintf("p%d", i), Service: "plain", Zone: zone, Version: version, Slots: randomSlots}
		engine := fleet.Runner{Instance: fmt.Sprintf("e%d", i), Service: "engine", Zone: zone, Version: version, Slots: randomSlots,
			Models: []fleet.LoadedModel{{Name: "m"}}}
		plain.Address, engine.Address = plain.Instance, engine.Instance
		s.runners.versions[plain.Instance], s.runners.versions[engine.Instance] = version, version
		view.Runners = append(view.Runners, plain, engine)
	}
	s.router.adoptView(view)
}

// play has all callers ask, beside zones that are lost and a router that may stop.
func (s *randomSite) play() {
	var asking sync.WaitGroup
	for i := range randomCallers {
		call := &randomCall{id: fmt.Sprintf("r%d", i), most: s.most}
		call.path = []string{"/once/x", "/again/x", "/again/x", "/stream/x", "/stream/x", "/stream-once/x"}[s.random.IntN(6)]
		if s.random.IntN(5) == 0 {
			call.leavesAfter = time.Duration(s.random.Int64N(int64(3 * time.Second)))
		}
		s.runners.mutex.Lock()
		s.runners.calls[call.id] = call
		s.runners.mutex.Unlock()
		arrival := time.Duration(s.random.Int64N(int64(randomArrivals)))
		asking.Go(func() {
			time.Sleep(arrival)
			s.ask(call)
		})
	}
	for range s.random.IntN(4) {
		s.loseZone(structs.ZoneID(fmt.Sprintf("z%d", s.random.IntN(3))))
	}
	if s.random.IntN(4) == 0 {
		at := time.Duration(s.random.Int64N(int64(randomArrivals)))
		time.AfterFunc(at, s.router.RejectWaiting)
		time.AfterFunc(at+2*time.Second, s.router.CancelAll)
	}
	asking.Wait()
}

// loseZone has a zone believed lost for a time.
func (s *randomSite) loseZone(zone structs.ZoneID) {
	change := func(isLost bool) func() {
		return func() {
			s.router.mutex.Lock()
			defer s.router.mutex.Unlock()
			s.router.applyZoneChange(zonewatch.Change{Zone: zone, IsLost: isLost})
			if isLost {
				s.router.cancelSilent(zone)
			}
		}
	}
	at := time.Duration(s.random.Int64N(int64(randomArrivals)))
	time.AfterFunc(at, change(true))
	time.AfterFunc(at+time.Duration(s.random.Int64N(int64(2*time.Second))), change(false))
}

func (s *randomSite) ask(call *randomCall) {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	if call.leavesAfter > 0 {
		defer time.AfterFunc(call.leavesAfter, func() {
			s.runners.mutex.Lock()
			call.hasLeft = true
			s.runners.mutex.Unlock()
			leave()
		}).Stop()
	}
	model := ""
	if strings.HasPrefix(call.path, "/stream") {
		model = "m"
	}
	began := time.Now()
	call.recorder = httptest.NewRecorder()
	defer func() {
		call.took = time.Since(began)
		if problem := recover(); problem != nil {
			call.aborted = true
			if problem != http.ErrAbortHandler {
				panic(problem)
			}
		}
	}()
	s.router.Serve(call.recorder, &Request{
		HTTP: httptest.NewRequest(http.MethodPost, "http://h"+call.path, nil).WithContext(ctx), ID: call.id, Arrived: time.Now(),
		Wait: randomWait, Model: model, ResumeAfter: NoEvent,
	})
}

// check checks what holds of a request that has ended, and returns how it ended.
func (s *randomSite) check(call *randomCall, canStop bool) string {
	c := s.c
	comment := qt.Commentf("%s", call)
	ran, sound := 0, 0
	for _, run := range call.runs {
		c.Check(run.isOpen, qt.IsFalse, comment)
		if run.hasRun {
			ran++
		}
		if run.isWithdrawn && run.conduct.isSound() {
			sound++
		}
	}
	c.Check(ran <= call.most, qt.IsTrue, comment)
	c.Check(call.mostOpen <= call.most, qt.IsTrue, comment)
	c.Check(call.took <= randomWait+100*time.Millisecond, qt.IsTrue, comment)
	if strings.Contains(call.path, "once") {
		c.Check(ran <= 1, qt.IsTrue, comment)
	}
	if call.hasLeft {
		return "left"
	}
	switch {
	case call.took >= randomWait:
		return "deadline"
	case call.aborted:
		if sound > 0 && !canStop {
			return "cut with a sound run withdrawn"
		}
		return "cut"
	case call.recorder.Code == http.StatusServiceUnavailable:
		c.Check(ran, qt.Equals, 0, comment)
		return "503"
	case call.recorder.Code != http.StatusOK:
		if sound > 0 && !canStop && call.recorder.Code != http.StatusBadRequest {
			return fmt.Sprintf("%d with a sound run withdrawn", call.recorder.Code)
		}
		return strconv.Itoa(call.recorder.Code)
	}
	s.checkBody(call, comment)
	return "200"
}

// checkBody checks that the answer is whole, in order, and written by one software version.
func (s *randomSite) checkBody(call *randomCall, comment qt.Comment) {
	if !strings.HasPrefix(call.path, "/stream") {
		s.c.Check(call.recorder.Body.String(), qt.Equals, "fine", comment)
		return
	}
	for _, version := range []string{"v0", "v1"} {
		whole := ""
		for number := range wholeEvents {
			whole += versionedEvent(number+1, version)
		}
		if call.recorder.Body.String() == whole {
			return
		}
	}
	s.c.Check(call.recorder.Body.String(), qt.Equals, "a whole answer of one version", comment)
}

// addSearches adds the searches for successors by what followed.
func (s *randomSite) addSearches(to map[string]int) {
	families, err := s.metrics.Gather()
	s.c.Assert(err, qt.IsNil)
	for _, family := range families {
		if family.GetName() != "lotusferry_router_successors_total" {
			continue
		}
		for _, each := range family.GetMetric() {
			to[each.GetLabel()[0].GetValue()] += int(each.GetCounter().GetValue())
		}
	}
}

// String describes the request for messages of failed checks.
func (r *randomCall) String() string {
	text := fmt.Sprintf("%s %s took=%s code=%d aborted=%t left=%t most=%d:", r.id, r.path, r.took, r.recorder.Code, r.aborted, r.hasLeft, r.most)
	for _, run := range r.runs {
		text += fmt.Sprintf(" [%s %s conduct=%d ran=%t withdrawn=%t open=%t]", run.runner, run.version, run.conduct, run.hasRun, run.isWithdrawn, run.isOpen)
	}
	return text
}

// randomSeedRange returns the first seed and the number of seeds.
func randomSeedRange(c *qt.C) (first, count int) {
	c.Helper()
	first, count = 1, randomSeeds
	for name, value := range map[string]*int{"LOTUSFERRY_FIRST_SEED": &first, "LOTUSFERRY_SEEDS": &count} {
		text := os.Getenv(name)
		if text == "" {
			continue
		}
		number, err := strconv.Atoi(text)
		c.Assert(err, qt.IsNil)
		*value = number
	}
	return first, count
}

// Guards against answers that are mixed, repeated or cut, promises that are broken, and slots, queue places and runs that are left behind when
// the answers of runners, zones that are lost, callers who leave and a router that stops meet in any order.
func TestSuccessorsUnderRandomTroubles(t *testing.T) {
	first, count := randomSeedRange(qt.New(t))
	outcomes, searches := make(map[string]int), make(map[string]int)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newRandomSite(c, uint64(seed))
				s.play()
				synctest.Wait()
				s.runners.mutex.Lock()
				for _, call := range s.runners.calls {
					outcome := s.check(call, s.router.stop.cut.Err() != nil)
					outcomes[outcome]++
					if strings.Contains(outcome, "withdrawn") {
						t.Logf("%s: %s", outcome, call)
					}
				}
				s.runners.mutex.Unlock()
				s.addSearches(searches)
				assertIdle(c, s.router)
				s.router.mutex.Lock()
				for name := range s.runners.versions {
					c.Check(s.router.balancer.InFlight(structs.RunnerID(name)), qt.Equals, 0, qt.Commentf("%s", name))
				}
				s.router.mutex.Unlock()
			})
		})
	}
	t.Logf("outcomes: %v, searches: %v", outcomes, searches)
}
