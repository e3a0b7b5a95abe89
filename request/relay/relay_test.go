package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	pkgerrors "github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
)

// scriptedBackend is a Backend that records its attempts.
type scriptedBackend struct {
	answer func(ctx context.Context, attempt *Attempt) (*Answer, error)

	mutex    sync.Mutex
	attempts []Attempt
}

func (b *scriptedBackend) Send(ctx context.Context, attempt *Attempt) (*Answer, error) {
	if !attempt.MaySend() {
		return notSent()
	}
	b.mutex.Lock()
	b.attempts = append(b.attempts, *attempt)
	b.mutex.Unlock()
	return b.answer(ctx, attempt)
}

func (b *scriptedBackend) runners() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var names []string
	for _, attempt := range b.attempts {
		names = append(names, attempt.Instance)
	}
	return names
}

func newAnswer(status int, body string) (*Answer, error) {
	return &Answer{
		Status: status, Header: http.Header{"Content-Type": {"text/plain"}}, Body: io.NopCloser(strings.NewReader(body)),
		Length: int64(len(body)), Signed: true,
	}, nil
}

// truncatedBody yields its text and then fails, unless err is io.EOF.
type truncatedBody struct {
	io.Reader
	err error
}

func (b *truncatedBody) Read(buffer []byte) (int, error) {
	count, err := b.Reader.Read(buffer)
	if err == io.EOF {
		err = b.err
	}
	return count, err
}

func (b *truncatedBody) Close() error { return nil }

// silentBody yields nothing until its context ends.
type silentBody struct{ ctx context.Context }

func (b silentBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b silentBody) Close() error { return nil }

func events(first, last int) string {
	var text strings.Builder
	for number := first; number <= last; number++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", number, number)
	}
	return text.String()
}

func stream(text string, end error) (*Answer, error) {
	return &Answer{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
		Body: &truncatedBody{strings.NewReader(text), end}, Length: -1, Signed: true, IsStream: true,
	}, nil
}

func testDocument() *site.Document {
	route := func(prefix string, kind site.RouteKind, service string, resumable bool) site.Route {
		return site.Route{
			Name: prefix, Host: "h", PathPrefix: prefix, Kind: kind, Timeout: 10 * time.Second, Objective: 200 * time.Millisecond,
			MaxPause: 300 * time.Millisecond, Split: []site.Share{{Service: service, Weight: 1}}, MaxAttempts: 2, Resumable: resumable,
		}
	}
	return &site.Document{
		Version:  1,
		Services: []site.Service{{Name: "plain"}, {Name: "engine", Engine: &site.Engine{Models: []site.Model{{Name: "m"}}}}},
		Routes: []site.Route{
			route("/once/", site.KindOnce, "plain", false), route("/again/", site.KindRepeatable, "plain", false),
			route("/stream/", site.KindStream, "engine", true), route("/stream-once/", site.KindStream, "engine", false),
		},
	}
}

func testView() fleet.View {
	view := fleet.View{Complete: true}
	for _, name := range []string{"p1", "p2"} {
		view.Runners = append(view.Runners, fleet.Runner{Instance: name, Service: "plain", Address: name, Slots: 4})
	}
	for _, name := range []string{"e1", "e2"} {
		view.Runners = append(view.Runners, fleet.Runner{
			Instance: name, Service: "engine", Address: name, Slots: 8, Models: []fleet.LoadedModel{{Name: "m", Adapters: []string{"a"}}},
		})
	}
	return view
}

// newRunningRouter returns a router that started so long ago that it has its whole share of the retry budget.
func newRunningRouter(options Options) *Router {
	router := New(options)
	router.startedAt = router.startedAt.Add(-options.Retry.Window)
	return router
}

func newTestRouter(answer func(ctx context.Context, attempt *Attempt) (*Answer, error)) (*Router, *scriptedBackend) {
	backend := &scriptedBackend{answer: answer}
	router := newRunningRouter(Options{
		Logger: log.NewNopLogger(), Name: "router", Seeds: func() []string { return nil }, Backend: backend,
		Retry:   RetryRule{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
		MaxWait: MaxWait{Floor: 2 * time.Second, Objectives: 4, Pauses: 8},
	})
	router.routerCount, router.streams.saidAt = *settledCount(1, time.Now()), time.Now()
	router.adoptDocument(testDocument())
	router.adoptView(testView())
	return router, backend
}

// ask sends a request and returns the response. aborted is set if the response was aborted.
func ask(router *Router, ctx context.Context, path, model string) (recorder *httptest.ResponseRecorder, aborted bool) {
	recorder = httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "http://h"+path, nil).WithContext(ctx)
	defer func() {
		if problem := recover(); problem != nil {
			if problem != http.ErrAbortHandler {
				panic(problem)
			}
			aborted = true
		}
	}()
	router.Serve(recorder, &Request{
		HTTP: request, ID: "id", Arrived: time.Now(), Wait: 5 * time.Second, Model: model, ResumeAfter: NoEvent,
	})
	return recorder, false
}

func firstThen(first, then func() (*Answer, error)) func(context.Context, *Attempt) (*Answer, error) {
	calls := 0
	return func(context.Context, *Attempt) (*Answer, error) {
		calls++
		if calls == 1 {
			return first()
		}
		return then()
	}
}

func broken() (*Answer, error)  { return nil, errors.New("connection reset") }
func notSent() (*Answer, error) { return nil, pkgerrors.Wrap(ErrNotSent, "connection refused") }
func shed() (*Answer, error) {
	answer, _ := newAnswer(http.StatusServiceUnavailable, "full")
	answer.NotRun, answer.Signed = true, false
	return answer, nil
}
func fine() (*Answer, error)   { return newAnswer(http.StatusOK, "fine") }
func failed() (*Answer, error) { return newAnswer(http.StatusInternalServerError, "failed") }

func TestRetryPolicy(t *testing.T) {
	for _, test := range []struct {
		name     string
		path     string
		first    func() (*Answer, error)
		status   int
		attempts int
	}{
		{"lost response of a non-repeatable request", "/once/", broken, http.StatusBadGateway, 1},
		{"lost response of a repeatable request", "/again/", broken, http.StatusOK, 2},
		{"unsent non-repeatable request", "/once/", notSent, http.StatusOK, 2},
		{"rejected non-repeatable request", "/once/", shed, http.StatusOK, 2},
		{"failure of a non-repeatable request", "/once/", failed, http.StatusInternalServerError, 1},
		{"failure of a repeatable request", "/again/", failed, http.StatusOK, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, backend := newTestRouter(firstThen(test.first, fine))
				recorder, aborted := ask(router, t.Context(), test.path+"x", "")
				c.Assert(aborted, qt.IsFalse)
				c.Assert(recorder.Code, qt.Equals, test.status)
				runners := backend.runners()
				c.Assert(runners, qt.HasLen, test.attempts)
				if test.attempts == 2 {
					c.Assert(runners[0], qt.Not(qt.Equals), runners[1])
				}
			})
		})
	}
}

func TestUnavailableImpliesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(func(context.Context, *Attempt) (*Answer, error) { return shed() })
		recorder, _ := ask(router, t.Context(), "/once/x", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(recorder.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
		router, _ = newTestRouter(firstThen(broken, shed))
		recorder, _ = ask(router, t.Context(), "/again/x", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusBadGateway)
	})
}

func TestStreamResumesOnAnotherRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(firstThen(
			func() (*Answer, error) { return stream(events(1, 3)+"id: 4\nda", errors.New("reset")) },
			// The second runner repeats an event that the caller already has.
			func() (*Answer, error) { return stream(events(3, 6), io.EOF) },
		))
		recorder, aborted := ask(router, t.Context(), "/stream/x", "m")
		c.Assert(aborted, qt.IsFalse)
		c.Assert(recorder.Body.String(), qt.Equals, events(1, 6))
		c.Assert(backend.attempts, qt.HasLen, 2)
		c.Assert(backend.attempts[1].ResumeAfter, qt.Equals, int64(3))
	})
}

// Guards against a stream of which parts of two runs are joined: an event without an ID may be one that another run sends again.
func TestStreamWithEventWithoutIDIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(firstThen(
			func() (*Answer, error) { return stream("data: a\n\n", errors.New("reset")) },
			func() (*Answer, error) { return stream(events(1, 3), io.EOF) },
		))
		_, aborted := ask(router, t.Context(), "/stream/x", "m")
		c.Assert(aborted, qt.IsTrue)
		c.Assert(backend.attempts, qt.HasLen, 1)
	})
}

func TestNonResumableStreamIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
			return stream(events(1, 3), errors.New("reset"))
		})
		_, aborted := ask(router, t.Context(), "/stream-once/x", "m")
		c.Assert(aborted, qt.IsTrue)
		c.Assert(backend.attempts, qt.HasLen, 1)
	})
}

func TestStreamEndingInsideEventIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
			return stream(events(1, 3)+"id: 4\ndata: pi", io.EOF)
		})
		_, aborted := ask(router, t.Context(), "/stream-once/x", "m")
		c.Assert(aborted, qt.IsTrue)
	})
}

func TestUnsignedSuccessIsNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(func(context.Context, *Attempt) (*Answer, error) {
			answer, _ := newAnswer(http.StatusOK, "forged")
			answer.Signed = false
			return answer, nil
		})
		recorder, _ := ask(router, t.Context(), "/once/x", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusBadGateway)
	})
}

func TestOnlyRepeatableRequestsLeaveSilentRunner(t *testing.T) {
	for path, attempts := range map[string]int{"/again/x": 2, "/once/x": 1} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var calls atomic.Int32
				router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
					if calls.Add(1) == 1 {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return fine()
				})
				began := time.Now()
				recorder, _ := ask(router, t.Context(), path, "")
				c.Assert(backend.attempts, qt.HasLen, attempts)
				if attempts == 2 {
					c.Assert(recorder.Code, qt.Equals, http.StatusOK)
					c.Assert(time.Since(began), qt.Equals, 600*time.Millisecond)
				} else {
					c.Assert(recorder.Code, qt.Equals, http.StatusGatewayTimeout)
					c.Assert(time.Since(began), qt.Equals, 5*time.Second)
				}
			})
		})
	}
}

// A runner that sends data for other requests must get more time before its stream is moved.
func TestBusyRunnerGetsMoreTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var calls atomic.Int32
		router, _ := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
			if calls.Add(1) == 1 {
				answer, _ := stream("", io.EOF)
				answer.Body = silentBody{ctx}
				return answer, nil
			}
			return stream(events(1, 2), io.EOF)
		})
		go func() {
			time.Sleep(time.Second)
			router.observeEvent("e1")
			router.observeEvent("e2")
		}()
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/stream/x", "m")
		c.Assert(recorder.Body.String(), qt.Equals, events(1, 2))
		c.Assert(time.Since(began), qt.Equals, 1800*time.Millisecond)
	})
}

func TestRequestWaitsForModelLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(func(context.Context, *Attempt) (*Answer, error) { return stream(events(1, 1), io.EOF) })
		go func() {
			time.Sleep(time.Second)
			view := testView()
			view.Runners[2].Models = append(view.Runners[2].Models, fleet.LoadedModel{Name: "rare"})
			router.adoptView(view)
		}()
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/stream/x", "rare")
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		c.Assert(time.Since(began), qt.Equals, time.Second)
	})
}

func TestStreamRequestIsRejectedBeforeCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(nil)
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/stream/x", "rare")
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(recorder.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
		c.Assert(time.Since(began) < 2400*time.Millisecond, qt.IsTrue)
		c.Assert(backend.attempts, qt.HasLen, 0)
	})
}

func TestRowNotHeldByRunnerIsNotSentThereAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(_ context.Context, attempt *Attempt) (*Answer, error) {
			if attempt.Instance == "e1" {
				answer, _ := newAnswer(http.StatusMisdirectedRequest, "")
				answer.NotHeld = true
				return answer, nil
			}
			return stream(events(1, 1), io.EOF)
		})
		for range 20 {
			recorder, _ := ask(router, t.Context(), "/stream/x", "m")
			c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		}
		refused := 0
		for _, name := range backend.runners() {
			if name == "e1" {
				refused++
			}
		}
		c.Assert(refused <= 1, qt.IsTrue)
		router.adoptView(testView())
		demands := router.takeDemands(time.Now())
		c.Assert(demands, qt.HasLen, 1)
		c.Assert(demands[0].Row, qt.Equals, residency.Row{Service: "engine", Model: "m"})
		c.Assert(demands[0].Arrived, qt.Equals, 20)
	})
}

func TestCallerCancellationEndsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ended := false
		router, _ := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
			<-ctx.Done()
			ended = true
			return nil, ctx.Err()
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(50 * time.Millisecond)
			cancel()
		}()
		began := time.Now()
		ask(router, ctx, "/once/x", "")
		c.Assert(ended, qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, 50*time.Millisecond)
	})
}

func TestRequestWaitsForFirstDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		backend := &scriptedBackend{answer: func(context.Context, *Attempt) (*Answer, error) { return fine() }}
		router := New(Options{Logger: log.NewNopLogger(), Seeds: func() []string { return nil }, Backend: backend})
		go func() {
			time.Sleep(time.Second)
			router.adoptView(testView())
			router.adoptDocument(testDocument())
		}()
		recorder, _ := ask(router, t.Context(), "/once/x", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
	})
}

func TestOlderDocumentIsIgnored(t *testing.T) {
	c := qt.New(t)
	router, _ := newTestRouter(nil)
	newer := testDocument()
	newer.Version = 5
	c.Assert(router.adoptDocument(newer), qt.IsTrue)
	older := testDocument()
	older.Version = 4
	c.Assert(router.adoptDocument(older), qt.IsFalse)
	c.Assert(router.version(), qt.Equals, uint64(5))
}

func TestRequestWithoutRouteIsNotFound(t *testing.T) {
	c := qt.New(t)
	router, _ := newTestRouter(nil)
	recorder, _ := ask(router, t.Context(), "/nowhere/", "")
	c.Assert(recorder.Code, qt.Equals, http.StatusNotFound)
}

func TestShutdownRejectsWaitingAndEndsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		go func() {
			time.Sleep(time.Second)
			router.RejectWaiting()
			time.Sleep(time.Second)
			router.CancelAll()
		}()
		began := time.Now()
		sent := make(chan int)
		go func() {
			recorder, _ := ask(router, t.Context(), "/once/x", "")
			sent <- recorder.Code
		}()
		waiting, _ := ask(router, t.Context(), "/stream/x", "rare")
		c.Assert(waiting.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(time.Since(began), qt.Equals, time.Second)
		c.Assert(<-sent, qt.Equals, http.StatusBadGateway)
		c.Assert(time.Since(began), qt.Equals, 2*time.Second)
	})
}
