package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
)

// resting is a router whose only runner turns the first request away and asks for rest; later ones run.
func resting(rest time.Duration) (*Router, *scriptedBackend) {
	asked := 0
	router, backend := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
		if asked++; asked == 1 {
			return askForRest(rest)
		}
		return fine()
	})
	router.adoptView(holders("p1"))
	return router, backend
}

// The time that a request may wait ends before the rest does: its caller is told at once when the rest is over.
func TestCallerWhoseRunnersRestForTooLongIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := resting(4 * time.Second)
		router.adoptView(holders("p1", "p2"))
		router.mutex.Lock()
		router.noteWishes("p2", notice.Notice{Rest: 3 * time.Second})
		router.mutex.Unlock()
		began := time.Now()
		for range 3 {
			recorder, _ := ask(router, t.Context(), "/once/x", "")
			c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(recorder.Body.String(), qt.Contains, "asked for rest")
			// A third of the time of the caller at most.
			c.Assert(retryAfter(c, recorder), qt.Equals, 5*time.Second/3)
		}
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(backend.runners(), qt.HasLen, 1)
	})
}

// Those that can wait do so, and the runner that had too much a moment ago gets one of them first.
func TestRequestsThatWaitForTheEndOfARestDoNotComeAllAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const rest = time.Second
		answered := make(chan *httptest.ResponseRecorder, 10)
		var mutex sync.Mutex
		var at []time.Duration
		began := time.Now()
		router, _ := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
			mutex.Lock()
			at = append(at, time.Since(began))
			isFirst := len(at) == 1
			mutex.Unlock()
			if isFirst {
				return askForRest(rest)
			}
			pause.For(ctx, 100*time.Millisecond)
			return fine()
		})
		router.adoptView(holders("p1"))
		for range 4 {
			come(t, router, t.Context(), "/once/x", "", answered)
		}
		for range 4 {
			c.Assert((<-answered).Code, qt.Equals, http.StatusOK)
		}
		first := at[1]
		c.Assert(first >= rest && first < rest+10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", at))
		for _, later := range at[2:] {
			c.Assert(later, qt.Equals, first+100*time.Millisecond)
		}
	})
}

// A request waits for a connection while another one learns that the runner wants none: it is taken back and sent
// elsewhere, as nothing of it has left. One that has left is not touched.
func TestRequestThatWaitsForAConnectionIsTakenBack(t *testing.T) {
	for name, test := range map[string]struct {
		hasLeft bool
		said    notice.Notice
		servers int
	}{
		"rest":                 {false, notice.Notice{Rest: time.Second}, 2},
		"leaving":              {false, notice.Notice{IsLeaving: true}, 2},
		"rest, already sent":   {true, notice.Notice{Rest: time.Second}, 1},
		"nothing that matters": {false, notice.Notice{Problems: []string{"unreadable"}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var router *Router
				servers := make(map[string]bool)
				router, _ = newTestRouter(nil)
				router.options.Backend = backendFunc(func(ctx context.Context, attempt *Attempt) (*Answer, error) {
					servers[attempt.Instance] = true
					if len(servers) == 1 {
						if test.hasLeft {
							c.Check(attempt.MaySend(), qt.IsTrue)
						}
						router.mutex.Lock()
						router.noteWishes("p1", test.said)
						router.noteWishes("p2", notice.Notice{})
						router.mutex.Unlock()
						if !pause.For(ctx, 100*time.Millisecond) {
							return notSent()
						}
						c.Check(attempt.MaySend(), qt.IsTrue)
					}
					return fine()
				})
				router.adoptView(holders("p1"))
				time.AfterFunc(10*time.Millisecond, func() { router.adoptView(holders("p1", "p2")) })
				recorder, _ := ask(router, t.Context(), "/once/x", "")
				c.Assert(recorder.Code, qt.Equals, http.StatusOK)
				c.Assert(servers, qt.HasLen, test.servers)
			})
		})
	}
}

// backendFunc is a Backend of one function.
type backendFunc func(context.Context, *Attempt) (*Answer, error)

func (f backendFunc) Send(ctx context.Context, attempt *Attempt) (*Answer, error) {
	return f(ctx, attempt)
}

// Neither a view that drops and lists the runner again nor a new leader takes back that it is leaving; its next life
// under the same ID is another runner.
func TestRunnerThatIsLeavingStaysSoForThisLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
			answer, err := fine()
			answer.Notice.IsLeaving = true
			return answer, err
		})
		former, next := fleet.Incarnation("p1", 1000), fleet.Incarnation("p1", 2000)
		router.adoptView(holders(former))
		recorder, _ := ask(router, t.Context(), "/once/x", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		for range 2 {
			router.adoptView(fleet.View{Complete: true})
			router.adoptView(holders(former))
			pause.For(t.Context(), 11*time.Second)
			recorder, _ = ask(router, t.Context(), "/once/x", "")
			c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		}
		c.Assert(router.notices.book.News(router.now()).Reports, qt.DeepEquals, []notice.Report{{Instance: former, IsLeaving: true}})
		router.adoptView(holders(next))
		recorder, _ = ask(router, t.Context(), "/once/x", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		c.Assert(backend.runners(), qt.DeepEquals, []string{former, next})
	})
}

// A request that may have run cannot be told that it has not: it is answered as its last attempt ended, at once.
func TestRequestThatMayHaveRunDoesNotWaitForARestInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
			answer, err := failed()
			answer.Notice.Rest = 4 * time.Second
			return answer, err
		})
		router.adoptView(holders("p1"))
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/again/x", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusInternalServerError)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(backend.runners(), qt.HasLen, 1)
	})
}
