package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/versions"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// versionedView lists a runner of the service "engine" for each of the versions: e0, e1 and so on.
func versionedView(versions ...string) fleet.View {
	view := fleet.View{Complete: true}
	for number, version := range versions {
		name := fmt.Sprint("e", number)
		view.Runners = append(view.Runners, fleet.Runner{
			Instance: name, Service: "engine", Address: name, Zone: "n1", Slots: 8, Version: version, Models: []fleet.LoadedModel{{Name: "m"}},
		})
	}
	return view
}

// takeUp has a caller take up a stream after its second event, of which the router has the record. It returns the answer and how long that
// took.
func takeUp(router *Router, record versions.Record) (recorder *httptest.ResponseRecorder, took time.Duration) {
	record.ID, record.TTL = "first", time.Minute
	router.mutex.Lock()
	router.streams.outbox.Add(router.now(), record)
	router.mutex.Unlock()
	request := &Request{
		ID: "second", Arrived: time.Now(), Wait: 5 * time.Second, Model: "m", ResumeAfter: 2, FirstAttemptID: record.ID,
		HTTP: httptest.NewRequest(http.MethodPost, "http://h/stream/x", nil),
	}
	recorder = httptest.NewRecorder()
	began := time.Now()
	router.Serve(recorder, request)
	return recorder, time.Since(began)
}

// Guards against a caller that waits for a runner of the software version of its stream although the last one is gone: the version was
// known to be served when the wait began.
func TestWaitingTakeUpIsToldThatItsVersionIsGone(t *testing.T) {
	const goneAfter = 100 * time.Millisecond
	for name, after := range map[string]struct {
		view  fleet.View
		mixed []string
	}{
		"another version is left":       {versionedView("", "v2"), nil},
		"two other versions are left":   {versionedView("", "v2", "v3"), []string{"engine"}},
		"no runner is left":             {versionedView(), nil},
		"the runners of it are leaving": {versionedView("v1", "v2"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, backend := newTestRouter(always(fine))
				router.adoptView(versionedView("v1", "v2"))
				router.mutex.Lock()
				// The runner of the stream's version takes no request for now.
				router.noteNotice("e0", notice.Notice{Cooldown: time.Second})
				router.mutex.Unlock()
				time.AfterFunc(goneAfter, func() {
					router.mutex.Lock()
					router.adoptVersions(router.now(), after.mixed, nil)
					router.mutex.Unlock()
					view := after.view
					for i := range view.Runners {
						view.Runners[i].Leaving = view.Runners[i].Version == "v1"
					}
					router.adoptView(view)
				})
				recorder, took := takeUp(router, versions.Record{Service: "engine", Version: "v1"})
				c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
				c.Assert(recorder.Header().Get("Retry-After"), qt.Equals, "")
				c.Assert(took, qt.Equals, goneAfter)
				c.Assert(backend.runners(), qt.HasLen, 0)
			})
		})
	}
}

// newSplitRouter returns a router whose route of streams is split over two services and limited to the south.
func newSplitRouter(runners ...fleet.Runner) (*Router, *scriptedBackend) {
	router, backend := newTestRouter(func(context.Context, *Attempt) (*Answer, error) { return stream(events(3, 4), io.EOF) })
	router.options.Regions = testRegions
	document := changingDocument(2)
	for i := range document.Routes {
		if route := &document.Routes[i]; route.PathPrefix == "/stream/" {
			splitRoute(1, 1)(route)
			route.Regions = []string{"south"}
		}
	}
	router.adoptDocument(document)
	router.adoptView(fleet.View{Complete: true, Runners: runners})
	return router, backend
}

// engineAt returns a runner of a service in a zone.
func engineAt(service, zone string) fleet.Runner {
	name := service + "@" + zone
	return fleet.Runner{Instance: name, Service: service, Address: name, Zone: zone, Slots: 8, Version: "v1", Models: []fleet.LoadedModel{{Name: "m"}}}
}

// Guards against a stream that is refused, or held, for want of runners in its region because those of another service than its own were
// looked at: the service that is drawn for a request is replaced by the one that began its stream.
func TestRegionIsCheckedForTheServiceOfTheStream(t *testing.T) {
	const tries = 12
	other := "engine" + otherService
	for name, test := range map[string]struct {
		record string
		status int
		answer string
	}{
		"its service has runners":    {other, http.StatusOK, events(3, 4)},
		"its service has none there": {"engine", http.StatusServiceUnavailable, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, backend := newSplitRouter(engineAt("engine", "n1"), engineAt(other, "s1"))
				for range tries {
					recorder, took := takeUp(router, versions.Record{Service: test.record, Version: "v1"})
					c.Assert(recorder.Code, qt.Equals, test.status)
					c.Assert(took, qt.Equals, time.Duration(0))
					if test.answer != "" {
						c.Assert(recorder.Body.String(), qt.Equals, test.answer)
					} else {
						c.Assert(retryAfter(c, recorder), qt.Equals, noRegionRetryAfter)
					}
				}
				for _, runner := range backend.runners() {
					c.Assert(runner, qt.Equals, other+"@s1")
				}
			})
		})
	}
}

// Guards against tokens of cold runners that a router asks for in vain, as its waiting requests may go neither to their version nor to their
// region: other routers do without them.
func TestTokensAreAskedForRunnersThatMayServe(t *testing.T) {
	cold := engineAt("engine", "n1")
	cold.Cold, cold.Version = true, "v2"
	for name, test := range map[string]struct {
		waiting  *waiter
		runners  []structs.RunnerID
		requests int
	}{
		"any version":      {&waiter{}, []structs.RunnerID{"engine@n1"}, 1},
		"its version":      {&waiter{work: routing.Work{Version: "v2"}}, []structs.RunnerID{"engine@n1"}, 1},
		"another version":  {&waiter{work: routing.Work{Version: "v1"}}, nil, 0},
		"its region":       {&waiter{regions: &regionLimit{name: "north", zones: map[structs.ZoneID]bool{"n1": true}}}, []structs.RunnerID{"engine@n1"}, 1},
		"another region":   {&waiter{regions: &regionLimit{name: "south", zones: map[structs.ZoneID]bool{"s1": true}}}, nil, 0},
		"after an attempt": {&waiter{work: routing.Work{Avoid: "other"}}, []structs.RunnerID{"engine@n1"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newTestRouter(always(fine))
				resting := engineAt("engine", "s1")
				router.adoptView(fleet.View{Complete: true, Runners: []fleet.Runner{cold, resting}})
				router.mutex.Lock()
				router.noteNotice(structs.RunnerID(resting.Instance), notice.Notice{Cooldown: time.Second})
				router.mutex.Unlock()
				test.waiting.until = time.Now().Add(2 * time.Second)
				test.waiting.row = residency.Row{Service: "engine", Model: "m"}
				if test.waiting.regions != nil {
					test.waiting.work.Zones = test.waiting.regions.zones
				}
				ctx, giveUp := context.WithCancel(t.Context())
				defer giveUp()
				go func() { _, _ = router.acquire(ctx, test.waiting) }()
				synctest.Wait()
				var asked []structs.RunnerID
				for _, want := range router.tokenWants() {
					asked = append(asked, structs.RunnerID(want.Instance))
					c.Check(want.Requests, qt.Equals, test.requests)
				}
				c.Assert(asked, qt.DeepEquals, test.runners)
			})
		})
	}
}

// Guards against a router that has not heard the leader for long and calls the version of a waiting request gone.
func TestVersionIsNotGoneWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
			return &Answer{Status: http.StatusMisdirectedRequest, NotHeld: true, Header: http.Header{}, Body: http.NoBody}, nil
		})
		router.adoptView(versionedView("v1", "v2"))
		time.Sleep(time.Minute)
		recorder, _ := takeUp(router, versions.Record{Service: "engine", Version: "v1"})
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(recorder.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	})
}

// Guards against a word of the leader on versions that is believed for too long, as it was read late or a relay had it for a while:
// streams would go on at a version that is no longer the only one.
func TestOnlyVersionIsBelievedFromWhenItWasSaid(t *testing.T) {
	for name, test := range map[string]struct {
		readAfter, relayHad, then time.Duration
		isCertain                 bool
	}{
		"read at once":                {0, 0, versions.CertainTime, true},
		"read at once, long ago":      {0, 0, versions.CertainTime + 1, false},
		"read late":                   {2 * time.Second, 0, versions.CertainTime - 2*time.Second, true},
		"read late, long ago":         {2 * time.Second, 0, versions.CertainTime - 2*time.Second + 1, false},
		"read too late":               {versions.CertainTime + 1, 0, 0, false},
		"a relay had it":              {0, time.Second, versions.CertainTime - time.Second, true},
		"a relay had it, long ago":    {0, time.Second, versions.CertainTime - time.Second + 1, false},
		"a relay had it and it waits": {time.Second, time.Second, versions.CertainTime - time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newTestRouter(nil)
				asked := time.Now()
				time.Sleep(test.readAfter)
				reply := &domainapi.WatchReply{Term: 1, Routers: 1, OnlyVersions: map[string]string{"engine": "v1"}, ConfirmedBefore: test.relayHad}
				router.adopt(reply, &domainapi.WatchArguments{}, asked)
				time.Sleep(test.then)
				router.mutex.Lock()
				defer router.mutex.Unlock()
				c.Assert(router.isVersionCertain("engine"), qt.Equals, test.isCertain)
			})
		})
	}
}
