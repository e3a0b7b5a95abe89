package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// steadyHead is the time until a runner answers, steadyGap that between the events of a stream, and steadyEvents their number.
	steadyHead   = 20 * time.Millisecond
	steadyGap    = 150 * time.Millisecond
	steadyEvents = 10
	// changeInterval separates the documents of one change.
	changeInterval = 20 * time.Millisecond
	// otherService is appended to the name of a service for one that serves the same requests.
	otherService = "-other"
)

// steadyRunners is a Backend of runners that answer every request, and copy the memory of streams to each other. The attempts are
// counted from 1. The head of an answer counts as event 0.
type steadyRunners struct {
	// connecting is the time before the first byte of a request is sent.
	connecting time.Duration
	// pause returns for how long an attempt's runner is silent before an event; nil for never.
	pause func(attempt *Attempt, number, event int) time.Duration
	// breaks reports whether the connection of an attempt breaks in place of an event; nil for never.
	breaks func(number, event int) bool
	// instead returns the answer of an attempt in place of the usual one, or neither an answer nor an error; nil for never.
	instead func(number int, attempt *Attempt) (*Answer, error)
	// losesCopies is set if copies do not arrive.
	losesCopies bool

	mutex    sync.Mutex
	attempts []Attempt
	copies   map[string]bool
}

func (b *steadyRunners) Send(ctx context.Context, attempt *Attempt) (*Answer, error) {
	if err := sleepIn(ctx, b.connecting); err != nil || !attempt.MaySend() {
		return notSent()
	}
	b.mutex.Lock()
	b.attempts = append(b.attempts, *attempt)
	number := len(b.attempts)
	isCopied := b.copies[attempt.Address+"/"+attempt.Request.ID]
	b.mutex.Unlock()
	if err := b.await(ctx, attempt, number, 0, steadyHead); err != nil {
		return nil, err
	}
	if b.instead != nil {
		if answer, err := b.instead(number, attempt); answer != nil || err != nil {
			return answer, err
		}
	}
	if attempt.Request.Model == "" {
		return fine()
	}
	if attempt.IsContinuation && !isCopied {
		return shed()
	}
	answer, err := stream("", nil)
	answer.Body = &steadyRun{runners: b, ctx: ctx, attempt: attempt, number: number, next: max(1, int(attempt.ResumeAfter)+1)}
	return answer, err
}

// await waits until the runner sends an event, usually for the given time.
func (b *steadyRunners) await(ctx context.Context, attempt *Attempt, number, event int, usual time.Duration) error {
	if b.pause != nil {
		usual += b.pause(attempt, number, event)
	}
	if err := sleepIn(ctx, usual); err != nil {
		return err
	}
	if b.breaks != nil && b.breaks(number, event) {
		return errReset
	}
	return nil
}

// runsOf returns the number of sends of a request, and of those among them that are no continuation.
func (b *steadyRunners) runsOf(id string) (runs, starts int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i := range b.attempts {
		if b.attempts[i].Request.ID != id {
			continue
		}
		runs++
		if !b.attempts[i].IsContinuation {
			starts++
		}
	}
	return runs, starts
}

// steadyRun is the body of a stream.
type steadyRun struct {
	runners *steadyRunners
	ctx     context.Context
	attempt *Attempt
	number  int
	next    int
}

func (r *steadyRun) Read(buffer []byte) (int, error) {
	if r.next > steadyEvents {
		return 0, io.EOF
	}
	if err := r.runners.await(r.ctx, r.attempt, r.number, r.next, steadyGap); err != nil {
		return 0, err
	}
	if r.attempt.CopyTo != "" && !r.runners.losesCopies {
		r.runners.mutex.Lock()
		r.runners.copies[r.attempt.CopyTo+"/"+r.attempt.Request.ID] = true
		r.runners.mutex.Unlock()
	}
	r.next++
	return copy(buffer, events(r.next-1, r.next-1)), nil
}

func (r *steadyRun) Close() error { return nil }

// changingDocument returns a document with a second service beside each one.
func changingDocument(version uint64) *site.Document {
	document := continuityDocument(version)
	for _, each := range continuityDocument(version).Services {
		each.Name += otherService
		document.Services = append(document.Services, each)
	}
	return document
}

// changingView lists three runners of each service.
func changingView() fleet.View {
	view := fleet.View{Complete: true}
	for _, service := range []string{"plain", "engine", "plain" + otherService, "engine" + otherService} {
		for _, zone := range []string{"n1", "n2", "n3"} {
			runner := fleet.Runner{Instance: service + "@" + zone, Service: service, Address: service + "-" + zone, Zone: zone, Slots: 8}
			if service == "engine" || service == "engine"+otherService {
				runner.Models = []fleet.LoadedModel{{Name: "m"}}
			}
			view.Runners = append(view.Runners, runner)
		}
	}
	return view
}

// only returns the view of the runners in some zones.
func only(zones ...string) fleet.View {
	listed := changingView()
	kept := fleet.View{Complete: true}
	for _, runner := range listed.Runners {
		for _, zone := range zones {
			if runner.Zone == zone {
				kept.Runners = append(kept.Runners, runner)
			}
		}
	}
	return kept
}

// leaving returns the view in which the runners of zone n1 are leaving, and only those of the other zones accept requests.
func leaving(zones ...string) fleet.View {
	view := only(append([]string{"n1"}, zones...)...)
	for i := range view.Runners {
		view.Runners[i].Leaving = view.Runners[i].Zone == "n1"
	}
	return view
}

// newChangingRouter returns a router with the share of the retry budget beyond the ratio.
func newChangingRouter(backend Backend, extra float64) *Router {
	router := newRunningRouter(Options{
		Logger: log.NewNopLogger(), Name: "router", Seeds: func() []string { return nil }, Backend: backend,
		Retry:   RetryRule{Ratio: 0.2, Extra: extra, Window: 10 * time.Second},
		MaxWait: MaxWait{Floor: 2 * time.Second, Objectives: 4, Pauses: 8},
		Regions: map[structs.ZoneID]string{"n1": "north", "n2": "north", "n3": "north", "s1": "south"},
	})
	router.routerCount = *settledCount(1, time.Now())
	router.adoptDocument(changingDocument(1))
	router.adoptView(changingView())
	return router
}

// change is a change of the configuration in one document or several.
type change struct {
	name  string
	edits []func(*site.Document)
}

// unchanged is the edit of a document in which a change is undone.
func unchanged(*site.Document) {}

// routes returns the edit that changes all routes.
func routes(edit func(*site.Route)) func(*site.Document) {
	return func(document *site.Document) {
		for i := range document.Routes {
			edit(&document.Routes[i])
		}
	}
}

// services returns the edit that changes all services.
func services(edit func(*site.Service)) func(*site.Document) {
	return func(document *site.Document) {
		for i := range document.Services {
			edit(&document.Services[i])
		}
	}
}

func moveRoute(route *site.Route) { route.Split[0].Service += otherService }

func dropRoutes(document *site.Document) { document.Routes = nil }

// dropServices moves the routes and removes the services to which they led.
func dropServices(document *site.Document) {
	routes(moveRoute)(document)
	document.Services = document.Services[len(document.Services)/2:]
}

func splitRoute(own, other float64) func(*site.Route) {
	return func(route *site.Route) {
		name := route.Split[0].Service
		route.Split = []site.Share{{Service: name, Weight: own}, {Service: name + otherService, Weight: other}}
	}
}

// requireKeys returns the edit that lets only callers with the key of a tenant in.
func requireKeys(tenants ...site.Tenant) func(*site.Document) {
	return func(document *site.Document) { document.RequiresKeys, document.Tenants = true, tenants }
}

func changes() []change {
	limit := site.RateLimit{Unit: site.UnitRequests, Rate: 0.001, Burst: 0.001}
	key := []keys.Hash{keys.HashAPIKey("key")}
	once := func(name string, edit func(*site.Document)) change {
		return change{name, []func(*site.Document){edit}}
	}
	return []change{
		once("nothing changes", unchanged),
		once("route moves", routes(moveRoute)),
		{"route moves and comes back", []func(*site.Document){routes(moveRoute), unchanged}},
		once("route goes", dropRoutes),
		{"route goes and comes back", []func(*site.Document){dropRoutes, unchanged}},
		{"route comes back elsewhere", []func(*site.Document){dropRoutes, routes(moveRoute)}},
		once("split", routes(splitRoute(10, 90))),
		once("weight 0", routes(splitRoute(0, 1))),
		once("shorter timeout", routes(func(route *site.Route) { route.Timeout = 30 * time.Millisecond })),
		once("longer timeout", routes(func(route *site.Route) { route.Timeout = time.Minute })),
		once("shorter objective and pause", routes(func(route *site.Route) { route.Objective, route.MaxPause = time.Millisecond, time.Millisecond })),
		once("service removed", dropServices),
		{"service removed and added", []func(*site.Document){dropServices, unchanged}},
		once("nothing left", func(document *site.Document) { document.Routes, document.Services = nil, nil }),
		once("engine removed", services(func(service *site.Service) { service.Engine = nil })),
		{"engine removed and added", []func(*site.Document){services(func(service *site.Service) { service.Engine = nil }), unchanged}},
		once("engine added", services(func(service *site.Service) { service.Engine = &site.Engine{} })),
		once("models removed", services(func(service *site.Service) { service.Engine = &site.Engine{Slots: 1} })),
		once("copies off", services(func(service *site.Service) {
			if service.Engine != nil {
				service.Engine.Backups, service.Engine.TokenBytes, service.Engine.HandleTTL = false, 0, 0
			}
		})),
		once("keys required, no tenant", requireKeys()),
		once("tenant with a limit", requireKeys(site.Tenant{Name: "t", Keys: key, Limit: limit})),
		{"tenant comes and goes", []func(*site.Document){requireKeys(site.Tenant{Name: "t", Keys: key}), unchanged}},
		once("regions without runners", routes(func(route *site.Route) { route.Regions = []string{"south"} })),
		once("one attempt", routes(func(route *site.Route) { route.MaxAttempts = 1 })),
		once("no attempts", routes(func(route *site.Route) { route.MaxAttempts = 0 })),
		once("resumable off", routes(func(route *site.Route) { route.Resumable = false })),
		once("resumable on", routes(func(route *site.Route) { route.Resumable = true })),
		once("other kind", routes(func(route *site.Route) { route.Kind = site.KindOnce })),
		once("other priority", routes(func(route *site.Route) { route.Priority = 9 })),
	}
}

// apply has the router adopt the documents of a change.
func (ch *change) apply(router *Router) {
	for _, edit := range ch.edits {
		document := changingDocument(router.version() + 1)
		edit(document)
		router.adoptDocument(document)
		time.Sleep(changeInterval)
	}
}

// laterView is a view that the router gets during a request.
type laterView struct {
	at   time.Duration
	view fleet.View
}

// moment is what a request goes through, and when the configuration changes in it.
type moment struct {
	name, path string
	changeAt   time.Duration
	// first is the view at the start, and later those after it; the usual one if empty.
	first fleet.View
	later []laterView
	// pause and breaks are those of steadyRunners.
	pause  func(attempt *Attempt, number, event int) time.Duration
	breaks func(number, event int) bool
	// hasNoRetries is set if the retry budget is used up.
	hasNoRetries bool
}

// pauseFirst has the first attempt's runner silent before an event.
func pauseFirst(event int, length time.Duration) func(*Attempt, int, int) time.Duration {
	return func(_ *Attempt, number, at int) time.Duration {
		if number == 1 && at == event {
			return length
		}
		return 0
	}
}

// breakFirst breaks the connection of the first attempt in place of an event.
func breakFirst(event int) func(int, int) bool {
	return func(number, at int) bool { return number == 1 && at == event }
}

func moments() []moment {
	const head, amid = 400 * time.Millisecond, 4
	listed := []laterView{{400 * time.Millisecond, changingView()}}
	// The runner leaves, and another one is listed a while after the loss.
	replaced := []laterView{{250 * time.Millisecond, leaving()}, {1200 * time.Millisecond, leaving("n2")}}
	found := []laterView{{2200 * time.Millisecond, only("n1", "n2")}}
	none := fleet.View{Complete: true}
	return []moment{
		{name: "waiting, short", path: "/again/x", changeAt: 200 * time.Millisecond, first: none, later: listed},
		{name: "waiting, once", path: "/once/x", changeAt: 200 * time.Millisecond, first: none, later: listed},
		{name: "waiting, stream", path: "/stream/x", changeAt: 200 * time.Millisecond, first: none, later: listed},
		{name: "sent, short", path: "/again/x", changeAt: 200 * time.Millisecond, pause: pauseFirst(0, head)},
		{name: "sent, once", path: "/once/x", changeAt: 200 * time.Millisecond, pause: pauseFirst(0, head)},
		{name: "sent, stream", path: "/stream/x", changeAt: 200 * time.Millisecond, pause: pauseFirst(0, head)},
		{name: "amid a stream", path: "/stream/x", changeAt: 700 * time.Millisecond},
		{name: "amid a stream that runs once", path: "/stream-once/x", changeAt: 700 * time.Millisecond},
		{name: "between a loss and its repeat, short", path: "/again/x", changeAt: 800 * time.Millisecond, first: only("n1"), later: replaced,
			pause: pauseFirst(0, head), breaks: breakFirst(0)},
		{name: "between a loss and its repeat, stream", path: "/stream/x", changeAt: 800 * time.Millisecond, first: only("n1"), later: replaced,
			breaks: breakFirst(amid)},
		{name: "repeated", path: "/stream/x", changeAt: 800 * time.Millisecond, breaks: breakFirst(amid)},
		{name: "amid a continuation", path: "/stream-once/x", changeAt: 800 * time.Millisecond, breaks: breakFirst(amid)},
		{name: "before a continuation", path: "/stream-once/x", changeAt: 500 * time.Millisecond, breaks: breakFirst(amid)},
		{name: "in a search for a successor, short", path: "/again/x", changeAt: time.Second, first: only("n1"), later: found,
			pause: pauseFirst(0, 2900*time.Millisecond)},
		{name: "in a search for a successor, stream", path: "/stream/x", changeAt: 2 * time.Second, first: only("n1"), later: found,
			pause: pauseFirst(amid, 2900*time.Millisecond)},
		{name: "in a search without retries, short", path: "/again/x", changeAt: time.Second, pause: pauseFirst(0, 2900*time.Millisecond), hasNoRetries: true},
		{name: "in a search without retries, stream", path: "/stream/x", changeAt: 2 * time.Second, pause: pauseFirst(amid, 2900*time.Millisecond),
			hasNoRetries: true},
	}
}

// askChanging sends a request that may be copied and returns the response. aborted is set if the response was aborted.
func askChanging(router *Router, request *Request, path string) (recorder *httptest.ResponseRecorder, aborted bool) {
	recorder = httptest.NewRecorder()
	defer func() {
		if problem := recover(); problem != nil {
			if problem != http.ErrAbortHandler {
				panic(problem)
			}
			aborted = true
		}
	}()
	request.HTTP, request.Arrived = httptest.NewRequest(http.MethodPost, "http://h"+path, nil), time.Now()
	request.Model = modelOf(path)
	request.Size = Size{Tokens: 200, Prompt: 100, Answer: 100}
	router.Serve(recorder, request)
	return recorder, false
}

// modelOf returns the model of the requests of a path, if its service has any.
func modelOf(path string) string {
	if path == "/again/x" || path == "/once/x" {
		return ""
	}
	return "m"
}

// wholeBody returns the complete answer to a request.
func wholeBody(path string, after int) string {
	if modelOf(path) == "" {
		return "fine"
	}
	return events(after+1, steadyEvents)
}

// Guards against a request that was accepted under one configuration and is lost under the next.
func TestRequestOutlivesItsConfiguration(t *testing.T) {
	for _, during := range moments() {
		for _, changed := range changes() {
			t.Run(during.name+"/"+changed.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { during.run(t, &changed) })
			})
		}
	}
}

// run sends one request, changes the configuration during it, and checks that the answer is whole.
func (m *moment) run(t *testing.T, changed *change) {
	c := qt.New(t)
	runners := &steadyRunners{pause: m.pause, breaks: m.breaks, copies: make(map[string]bool)}
	router := newChangingRouter(runners, 50)
	if m.first.Complete {
		router.adoptView(m.first)
	}
	if m.hasNoRetries {
		router.routerCount = routerCount{}
	}
	var others sync.WaitGroup
	for _, each := range m.later {
		others.Go(func() {
			time.Sleep(each.at)
			router.adoptView(each.view)
		})
	}
	others.Go(func() {
		time.Sleep(m.changeAt)
		changed.apply(router)
	})
	recorder, aborted := askChanging(router, &Request{ID: "id", Wait: 9 * time.Second, ResumeAfter: NoEvent}, m.path)
	c.Check(aborted, qt.IsFalse)
	c.Check(recorder.Code, qt.Equals, http.StatusOK)
	c.Check(recorder.Body.String(), qt.Equals, wholeBody(m.path, 0))
	others.Wait()
	time.Sleep(handleTTL + time.Second)
	assertNothingInProgress(c, router)
}

// assertNothingInProgress checks that no attempt is counted, no request waits and no copy is owned.
func assertNothingInProgress(c *qt.C, router *Router) {
	c.Helper()
	assertIdle(c, router)
	router.mutex.Lock()
	defer router.mutex.Unlock()
	c.Check(router.copies.owners, qt.HasLen, 0)
}

// Guards against a caller that takes a stream up after a change of the configuration and gets neither an answer nor a refusal.
func TestStreamIsTakenUpUnderAnotherConfiguration(t *testing.T) {
	const after = 3
	for _, changed := range changes() {
		for _, path := range []string{"/stream/x", "/stream-once/x", "/again/x", "/once/x"} {
			t.Run(changed.name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					runners := &steadyRunners{copies: make(map[string]bool)}
					router := newChangingRouter(runners, 50)
					changed.apply(router)
					began := time.Now()
					recorder, aborted := askChanging(router, &Request{
						ID: "id", Wait: 9 * time.Second, ResumeAfter: after, FirstAttemptID: "first",
					}, path)
					switch recorder.Code {
					case http.StatusOK:
						isLate := aborted && time.Since(began) >= 30*time.Millisecond && changed.name == "shorter timeout"
						c.Check(isLate || !aborted && recorder.Body.String() == wholeBody(path, after), qt.IsTrue, qt.Commentf("%s", recorder.Body))
					case http.StatusServiceUnavailable, http.StatusNotFound, http.StatusUnauthorized:
						c.Check(aborted, qt.IsFalse)
						c.Check(runners.attempts, qt.HasLen, 0)
					case http.StatusGatewayTimeout:
						c.Check(changed.name, qt.Equals, "shorter timeout")
					default:
						c.Errorf("status %d, aborted %t", recorder.Code, aborted)
					}
				})
			})
		}
	}
}
