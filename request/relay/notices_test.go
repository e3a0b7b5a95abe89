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

// newCoolingRouter returns a router whose only runner rejects the first request, requests a cooldown
// period, and serves later requests.
func newCoolingRouter(cooldown time.Duration) (*Router, *scriptedBackend) {
	asked := 0
	router, backend := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
		if asked++; asked == 1 {
			return rejectWithCooldown(cooldown)
		}
		return fine()
	})
	router.adoptView(plainView("p1"))
	return router, backend
}

// A request must be rejected at once if all runners cool down beyond its wait limit.
func TestRequestIsRejectedAtOnceDuringLongCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newCoolingRouter(4 * time.Second)
		router.adoptView(plainView("p1", "p2"))
		router.mutex.Lock()
		router.noteNotice("p2", notice.Notice{Cooldown: 3 * time.Second})
		router.mutex.Unlock()
		began := time.Now()
		for range 3 {
			recorder, _ := ask(router, t.Context(), "/once/x", "")
			c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(recorder.Body.String(), qt.Contains, "asked for rest")
			// At most a third of the caller's time.
			c.Assert(retryAfter(c, recorder), qt.Equals, 5*time.Second/3)
		}
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(backend.runners(), qt.HasLen, 1)
	})
}

// Requests that wait for the end of a cooldown must be sent one at a time at first.
func TestWaitingRequestsAreSentOneByOneAfterCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const cooldown = time.Second
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
				return rejectWithCooldown(cooldown)
			}
			pause.For(ctx, 100*time.Millisecond)
			return fine()
		})
		router.adoptView(plainView("p1"))
		for range 4 {
			askAsync(t, router, t.Context(), "/once/x", "", answered)
		}
		for range 4 {
			c.Assert((<-answered).Code, qt.Equals, http.StatusOK)
		}
		first := at[1]
		c.Assert(first >= cooldown && first < cooldown+10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", at))
		for _, later := range at[2:] {
			c.Assert(later, qt.Equals, first+100*time.Millisecond)
		}
	})
}

// A request that waits for a connection must be recalled when its runner requests a cooldown or
// is leaving, unless it was already sent.
func TestUnsentRequestIsRecalled(t *testing.T) {
	for name, test := range map[string]struct {
		hasLeft bool
		said    notice.Notice
		servers int
	}{
		"rest":               {false, notice.Notice{Cooldown: time.Second}, 2},
		"leaving":            {false, notice.Notice{IsLeaving: true}, 2},
		"rest, already sent": {true, notice.Notice{Cooldown: time.Second}, 1},
		"unreadable notice":  {false, notice.Notice{Problems: []string{"unreadable"}}, 1},
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
						router.noteNotice("p1", test.said)
						router.noteNotice("p2", notice.Notice{})
						router.mutex.Unlock()
						if !pause.For(ctx, 100*time.Millisecond) {
							return notSent()
						}
						c.Check(attempt.MaySend(), qt.IsTrue)
					}
					return fine()
				})
				router.adoptView(plainView("p1"))
				time.AfterFunc(10*time.Millisecond, func() { router.adoptView(plainView("p1", "p2")) })
				recorder, _ := ask(router, t.Context(), "/once/x", "")
				c.Assert(recorder.Code, qt.Equals, http.StatusOK)
				c.Assert(servers, qt.HasLen, test.servers)
			})
		})
	}
}

// backendFunc adapts a function to Backend.
type backendFunc func(context.Context, *Attempt) (*Answer, error)

func (f backendFunc) Send(ctx context.Context, attempt *Attempt) (*Answer, error) {
	return f(ctx, attempt)
}

// That a runner is leaving must survive view changes and a new leader, but not apply to its next
// incarnation.
func TestLeavingAppliesToOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
			answer, err := fine()
			answer.Notice.IsLeaving = true
			return answer, err
		})
		former, next := fleet.Incarnation("p1", 1000), fleet.Incarnation("p1", 2000)
		router.adoptView(plainView(former))
		recorder, _ := ask(router, t.Context(), "/once/x", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		for range 2 {
			router.adoptView(fleet.View{Complete: true})
			router.adoptView(plainView(former))
			pause.For(t.Context(), 11*time.Second)
			recorder, _ = ask(router, t.Context(), "/once/x", "")
			c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		}
		c.Assert(router.notices.book.Pending(router.now()).Reports, qt.DeepEquals, []notice.Report{{Instance: former, IsLeaving: true}})
		router.adoptView(plainView(next))
		recorder, _ = ask(router, t.Context(), "/once/x", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		c.Assert(backend.runners(), qt.DeepEquals, []string{former, next})
	})
}

// A request that may have run must be answered with its last result instead of waiting for a long
// cooldown.
func TestRequestThatMayHaveRunDoesNotAwaitLongCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
			answer, err := failed()
			answer.Notice.Cooldown = 4 * time.Second
			return answer, err
		})
		router.adoptView(plainView("p1"))
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/again/x", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusInternalServerError)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(backend.runners(), qt.HasLen, 1)
	})
}
