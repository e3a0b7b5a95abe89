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

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
)

// rejectingRunners records when requests arrive at runners, each of which rejects a number of them
// first.
type rejectingRunners struct {
	mutex sync.Mutex
	began time.Time
	at    []time.Duration
	full  map[string]int
}

func (s *rejectingRunners) answer(_ context.Context, attempt *Attempt) (*Answer, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at = append(s.at, time.Since(s.began))
	if s.full[attempt.Instance] > 0 {
		s.full[attempt.Instance]--
		return shed()
	}
	return fine()
}

// plainView returns a view in which the named runners serve the plain service.
func plainView(names ...string) fleet.View {
	view := fleet.View{Complete: true}
	for _, name := range names {
		view.Runners = append(view.Runners, fleet.Runner{Instance: name, Service: "plain", Address: name, Slots: 4})
	}
	return view
}

// A rejected request must not use up its attempts at once at a runner that is at capacity only for
// a moment.
func TestRejectedRequestWaitsBeforeResend(t *testing.T) {
	for _, test := range []struct {
		name string
		full map[string]int
		// joins is a runner that is added after 200 ms.
		joins    string
		status   int
		sendings int
	}{
		{"briefly full", map[string]int{"p1": 1}, "", http.StatusOK, 2},
		{"persistently full", map[string]int{"p1": 100}, "", http.StatusServiceUnavailable, 2},
		{"full until another runner joins", map[string]int{"p1": 100}, "p2", http.StatusOK, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				seen := &rejectingRunners{began: time.Now(), full: test.full}
				router, backend := newTestRouter(seen.answer)
				router.adoptView(plainView("p1"))
				if test.joins != "" {
					time.AfterFunc(200*time.Millisecond, func() { router.adoptView(plainView("p1", test.joins)) })
				}
				recorder, _ := ask(router, t.Context(), "/once/x", "")
				c.Assert(recorder.Code, qt.Equals, test.status)
				c.Assert(backend.runners(), qt.HasLen, test.sendings)
				c.Assert(seen.at[1]-seen.at[0] >= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", seen.at))
			})
		})
	}
}

func TestRequestsWaitingForCooldownAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		seen := &rejectingRunners{began: time.Now(), full: map[string]int{"e1": 1}}
		router, _ := newTestRouter(seen.answer)
		view := testView()
		view.Runners = view.Runners[2:3]
		router.adoptView(view)
		done := make(chan int)
		go func() {
			recorder, _ := ask(router, t.Context(), "/stream-once/x", "m")
			done <- recorder.Code
		}()
		time.Sleep(50 * time.Millisecond)
		demands := router.takeDemands(time.Now())
		c.Assert(demands, qt.HasLen, 1)
		c.Assert(demands[0].Waiting, qt.Equals, 1)
		c.Assert(<-done, qt.Equals, http.StatusOK)
	})
}

// A request that excludes its runner must not block later ones that the runner can serve.
func TestExcludedRequestDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		seen := &rejectingRunners{began: time.Now(), full: map[string]int{"p1": 2}}
		router, backend := newTestRouter(seen.answer)
		router.adoptDocument(longObjectiveDocument())
		router.adoptView(plainView("p1"))
		excluded := make(chan int, 1)
		go func() {
			recorder, _ := ask(router, t.Context(), "/once/x", "")
			excluded <- recorder.Code
		}()
		// It has been rejected twice, and the second cooldown is over.
		time.Sleep(400 * time.Millisecond)
		c.Assert(backend.runners(), qt.HasLen, 2)
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/once/y", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(<-excluded, qt.Equals, http.StatusServiceUnavailable)
	})
}

// A request that waits for another runner must not block later ones that may still be sent to the
// failing runner.
func TestRetriedRequestDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(firstThen(broken, fine))
		router.adoptDocument(longObjectiveDocument())
		view := plainView("p1")
		view.Runners[0].Failing = true
		router.adoptView(view)
		done := make(chan int, 1)
		go func() {
			recorder, _ := ask(router, t.Context(), "/again/x", "")
			done <- recorder.Code
		}()
		time.Sleep(100 * time.Millisecond)
		c.Assert(backend.runners(), qt.HasLen, 1)
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/again/y", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		<-done
	})
}

// longObjectiveDocument returns a document with long objectives, so that requests are served in
// order of arrival.
func longObjectiveDocument() *site.Document {
	document := testDocument()
	document.Version = 2
	for i := range document.Routes {
		document.Routes[i].Objective = 6 * time.Second
	}
	return document
}

// rejectWithCooldown returns the response of a runner that rejects a request and requests a cooldown
// period.
func rejectWithCooldown(cooldown time.Duration) (*Answer, error) {
	answer, err := shed()
	answer.Notice.Cooldown = cooldown
	return answer, err
}

// twoModelView returns a view of one runner that holds two models.
func twoModelView() fleet.View {
	return fleet.View{Complete: true, Runners: []fleet.Runner{{
		Instance: "e1", Service: "engine", Address: "e1", Slots: 8, Models: []fleet.LoadedModel{{Name: "m"}, {Name: "n"}},
	}}}
}

// A cooldown must apply to all models of the runner, and end neither with responses to earlier
// requests nor with a new view.
func TestCooldownAppliesToAllModelsOfRunner(t *testing.T) {
	const cooldown = 3 * time.Second
	for name, meanwhile := range map[string]func(router *Router, t *testing.T){
		"another model": func(*Router, *testing.T) {},
		"response to an earlier request": func(_ *Router, t *testing.T) {
			pause.For(t.Context(), streamTime)
		},
		"runner listed again": func(router *Router, _ *testing.T) {
			router.adoptView(fleet.View{Complete: true})
			router.adoptView(twoModelView())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				asked := 0
				router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
					if asked++; asked == 1 {
						pause.For(ctx, streamTime)
						return stream(events(1, 1), io.EOF)
					}
					return rejectWithCooldown(cooldown)
				})
				router.adoptView(twoModelView())
				answered := make(chan *httptest.ResponseRecorder, 10)
				askAsync(t, router, t.Context(), "/stream/before", "m", answered)
				askAsync(t, router, t.Context(), "/stream/turned-away", "m", answered)
				c.Assert(backend.runners(), qt.HasLen, 2)
				began := time.Now()
				meanwhile(router, t)
				for _, model := range []string{"n", "m", "n"} {
					askAsync(t, router, t.Context(), "/stream/after", model, answered)
					pause.For(t.Context(), 300*time.Millisecond)
				}
				pause.For(t.Context(), cooldown-time.Since(began)-time.Millisecond)
				c.Assert(backend.runners(), qt.HasLen, 2)
				pause.For(t.Context(), 10*time.Second)
			})
		})
	}
}
