package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// An error response must be forwarded unchanged if no other runner may or can be tried.
func TestFailureOfLastRunnerIsForwarded(t *testing.T) {
	for name, prepare := range map[string]func(router *Router){
		"no budget left": func(router *Router) {
			router.mutex.Lock()
			defer router.mutex.Unlock()
			router.routerCount = routerCount{}
		},
		"no runner left": func(router *Router) { router.adoptView(fleet.View{Complete: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var router *Router
				var backend *scriptedBackend
				router, backend = newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
					prepare(router)
					return failed()
				})
				recorder, aborted := ask(router, t.Context(), "/again/x", "")
				c.Assert(aborted, qt.IsFalse)
				c.Assert(recorder.Code, qt.Equals, http.StatusInternalServerError)
				c.Assert(recorder.Body.String(), qt.Equals, "failed")
				c.Assert(backend.runners(), qt.HasLen, 1)
			})
		})
	}
}

// A runner that reports the timeout itself keeps its connection open.
func TestTimeoutReportedByRunnerIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(func(ctx context.Context, attempt *Attempt) (*Answer, error) {
			select {
			case <-time.After(attempt.Wait + 5*time.Millisecond):
				return newAnswer(http.StatusGatewayTimeout, "over")
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		})
		began := time.Now()
		recorder, aborted := ask(router, t.Context(), "/once/x", "")
		c.Assert(aborted, qt.IsFalse)
		c.Assert(recorder.Code, qt.Equals, http.StatusGatewayTimeout)
		c.Assert(recorder.Body.String(), qt.Equals, "over")
		c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
	})
}

// A request that never reached a runner must not use the retry budget when it is sent to another
// one.
func TestOnlyReceivedRequestsUseRetryBudget(t *testing.T) {
	for _, test := range []struct {
		name   string
		first  func() (*Answer, error)
		status int
	}{
		{"not sent", notSent, http.StatusOK},
		{"refused by the runner", shed, http.StatusServiceUnavailable},
		{"broken", broken, http.StatusBadGateway},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newTestRouter(firstThen(test.first, fine))
				router.routerCount = routerCount{}
				recorder, _ := ask(router, t.Context(), "/again/x", "")
				c.Assert(recorder.Code, qt.Equals, test.status)
			})
		})
	}
}

// Guards against a request that is suspected of crashing runners, and a path that is doubted, because a runner sent something else
// than an answer to it: neither the runner nor the connection was lost. The request may have run.
func TestInvalidAnswerIsNoCrash(t *testing.T) {
	fails := func(err error) func() (*Answer, error) {
		return func() (*Answer, error) { return nil, fmt.Errorf("runner p1: %w", err) }
	}
	breaksOff := func(err error) func() (*Answer, error) {
		return func() (*Answer, error) {
			answer, _ := newAnswer(http.StatusOK, "")
			answer.Length, answer.Body = -1, &truncatedBody{strings.NewReader("begun"), fmt.Errorf("chunk: %w", err)}
			return answer, nil
		}
	}
	streams := func(text string, err error) func() (*Answer, error) {
		return func() (*Answer, error) { return stream(text, err) }
	}
	for name, test := range map[string]struct {
		answer func() (*Answer, error)
		reason string
		// isCrash is set if the runner may have crashed.
		isCrash bool
	}{
		"foreign":              {fails(ErrForeignAnswer), reasonForeignAnswer, false},
		"malformed":            {fails(ErrMalformedAnswer), reasonMalformed, false},
		"head too long":        {fails(ErrAnswerTooLong), reasonTooLong, false},
		"malformed body":       {breaksOff(ErrMalformedAnswer), reasonMalformed, false},
		"malformed stream":     {streams("data: ", ErrMalformedAnswer), reasonMalformed, false},
		"lost":                 {broken, reasonSendFailed, true},
		"lost inside its body": {breaksOff(io.ErrUnexpectedEOF), reasonCutShort, true},
		"lost stream":          {streams("data: ", io.ErrUnexpectedEOF), reasonCutShort, true},
	} {
		for path, sends := range map[string]int{"/once/x": 1, "/again/x": 2} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					router, backend := newTestRouter(func(context.Context, *Attempt) (*Answer, error) { return test.answer() })
					recorder, aborted := ask(router, t.Context(), path, "")
					c.Assert(aborted, qt.IsFalse)
					c.Assert(recorder.Code, qt.Equals, http.StatusBadGateway)
					c.Assert(backend.attempts, qt.HasLen, sends)
					c.Assert(attemptsBy(c, router)[test.reason], qt.Equals, float64(sends))
					losses, _ := router.suspects.take()
					c.Assert(len(losses) > 0, qt.Equals, test.isCrash)
					if !test.isCrash {
						c.Assert(router.peers.paths.IsIdle(), qt.IsTrue)
					}
				})
			})
		}
	}
}

// Guards against a status of a runner that its caller takes for a promise that the request has not run, and sends it again, although
// only the header of a rejection makes that promise (REFUSED). What may run again is answered as the runner did.
func TestStatusWithoutRejectionIsNoPromise(t *testing.T) {
	const refused, limited, late, failed = http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusInternalServerError
	for _, test := range []struct {
		path         string
		status, want int
	}{
		{"/once/x", refused, http.StatusBadGateway}, {"/once/x", limited, http.StatusBadGateway}, {"/once/x", late, http.StatusBadGateway},
		{"/stream-once/x", refused, http.StatusBadGateway},
		{"/once/x", failed, failed}, {"/once/x", http.StatusNotFound, http.StatusNotFound},
		{"/again/x", refused, refused}, {"/again/x", limited, limited},
	} {
		t.Run(fmt.Sprint(test.path, test.status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
					answer, err := newAnswer(test.status, "text")
					answer.Header.Set("Seal", "sealed")
					return answer, err
				})
				recorder, aborted := ask(router, t.Context(), test.path, "m")
				c.Assert(aborted, qt.IsFalse)
				c.Assert(recorder.Code, qt.Equals, test.want)
				c.Assert(recorder.Header().Get("Seal") != "", qt.Equals, test.want == test.status)
			})
		})
	}
}
