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

// sendings notes when requests came to runners, each of which turns away so many at first.
type sendings struct {
	mutex sync.Mutex
	began time.Time
	at    []time.Duration
	full  map[string]int
}

func (s *sendings) answer(_ context.Context, attempt *Attempt) (*Answer, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at = append(s.at, time.Since(s.began))
	if s.full[attempt.Instance] > 0 {
		s.full[attempt.Instance]--
		return shed()
	}
	return fine()
}

// holders is a view in which the named runners serve the plain service.
func holders(names ...string) fleet.View {
	view := fleet.View{Complete: true}
	for _, name := range names {
		view.Runners = append(view.Runners, fleet.Runner{Instance: name, Service: "plain", Address: name, Slots: 4})
	}
	return view
}

// A runner that is full for a moment, or is about to unload a model, turns requests away within
// a millisecond: sent there again at once, a request uses its tries up and its caller is refused.
func TestRequestWaitsForARunnerThatTurnedItAway(t *testing.T) {
	for _, test := range []struct {
		name string
		full map[string]int
		// joins is a runner that comes after 200 ms.
		joins    string
		status   int
		sendings int
	}{
		{"full for a moment", map[string]int{"p1": 1}, "", http.StatusOK, 2},
		{"full for long", map[string]int{"p1": 100}, "", http.StatusServiceUnavailable, 2},
		{"full until another one comes", map[string]int{"p1": 100}, "p2", http.StatusOK, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				seen := &sendings{began: time.Now(), full: test.full}
				router, backend := newTestRouter(seen.answer)
				router.adoptView(holders("p1"))
				if test.joins != "" {
					time.AfterFunc(200*time.Millisecond, func() { router.adoptView(holders("p1", test.joins)) })
				}
				recorder, _ := ask(router, t.Context(), "/once/x", "")
				c.Assert(recorder.Code, qt.Equals, test.status)
				c.Assert(backend.runners(), qt.HasLen, test.sendings)
				c.Assert(seen.at[1]-seen.at[0] >= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", seen.at))
			})
		})
	}
}

func TestRequestsThatWaitForARestingRunnerAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		seen := &sendings{began: time.Now(), full: map[string]int{"e1": 1}}
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

// A request that was turned away twice needs another runner than those that came after it, which its
// runner serves again: they must not wait behind it.
func TestRequestsPassOneThatNeedsAnotherRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		seen := &sendings{began: time.Now(), full: map[string]int{"p1": 2}}
		router, backend := newTestRouter(seen.answer)
		router.adoptDocument(patientDocument())
		router.adoptView(holders("p1"))
		barred := make(chan int, 1)
		go func() {
			recorder, _ := ask(router, t.Context(), "/once/x", "")
			barred <- recorder.Code
		}()
		// By then it was turned away twice, and the second rest is over.
		time.Sleep(400 * time.Millisecond)
		c.Assert(backend.runners(), qt.HasLen, 2)
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/once/y", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(<-barred, qt.Equals, http.StatusServiceUnavailable)
	})
}

// A request that failed at the only runner of its row, which fails many, waits for another one. Those that
// came after it are still sent there, as that is better than nothing.
func TestRequestsPassOneThatFailedAtAFailingRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(firstThen(broken, fine))
		router.adoptDocument(patientDocument())
		view := holders("p1")
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

// patientDocument has routes on which nothing is late for long, so that the first to come goes first.
func patientDocument() *site.Document {
	document := testDocument()
	document.Version = 2
	for i := range document.Routes {
		document.Routes[i].Objective = 6 * time.Second
	}
	return document
}

// askForRest is the answer of a runner that turns a request away and wants none for a time.
func askForRest(rest time.Duration) (*Answer, error) {
	answer, err := shed()
	answer.Notice.Rest = rest
	return answer, err
}

// twoModels is a view of one runner that holds two models.
func twoModels() fleet.View {
	return fleet.View{Complete: true, Runners: []fleet.Runner{{
		Instance: "e1", Service: "engine", Address: "e1", Slots: 8, Models: []fleet.LoadedModel{{Name: "m"}, {Name: "n"}},
	}}}
}

// What a runner asks for is for all that it serves, and nothing but its time ends it: requests for another of its models, the
// answer to one that was sent before, a view that lists it anew.
func TestRestOfARunnerIsForAllThatItServes(t *testing.T) {
	const rest = 3 * time.Second
	for name, meanwhile := range map[string]func(router *Router, t *testing.T){
		"another model": func(*Router, *testing.T) {},
		"an answer to what was sent before": func(_ *Router, t *testing.T) {
			pause.For(t.Context(), servedTime)
		},
		"a view that lists it anew": func(router *Router, _ *testing.T) {
			router.adoptView(fleet.View{Complete: true})
			router.adoptView(twoModels())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				asked := 0
				router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
					if asked++; asked == 1 {
						pause.For(ctx, servedTime)
						return stream(events(1, 1), io.EOF)
					}
					return askForRest(rest)
				})
				router.adoptView(twoModels())
				answered := make(chan *httptest.ResponseRecorder, 10)
				come(t, router, t.Context(), "/stream/before", "m", answered)
				come(t, router, t.Context(), "/stream/turned-away", "m", answered)
				c.Assert(backend.runners(), qt.HasLen, 2)
				began := time.Now()
				meanwhile(router, t)
				for _, model := range []string{"n", "m", "n"} {
					come(t, router, t.Context(), "/stream/after", model, answered)
					pause.For(t.Context(), 300*time.Millisecond)
				}
				pause.For(t.Context(), rest-time.Since(began)-time.Millisecond)
				c.Assert(backend.runners(), qt.HasLen, 2)
				pause.For(t.Context(), 10*time.Second)
			})
		})
	}
}
