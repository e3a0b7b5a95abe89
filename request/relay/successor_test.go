package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/poison"
)

const (
	// silentTime is for how long a sound runner sends nothing: longer than any silence limit of the test routes.
	silentTime = 3050 * time.Millisecond
	// wholeEvents is the number of events of a stream, silentAfter that of those before the silence.
	wholeEvents = 6
	silentAfter = 3
)

// pausingBody yields one text after the other, with a pause before each but the first. It fails when its context ends.
type pausingBody struct {
	ctx   context.Context
	texts []string
	pause time.Duration
	sent  int
}

func (b *pausingBody) Read(buffer []byte) (int, error) {
	if b.sent == len(b.texts) {
		return 0, io.EOF
	}
	if b.sent > 0 {
		if err := sleepIn(b.ctx, b.pause); err != nil {
			return 0, err
		}
	}
	b.sent++
	return copy(buffer, b.texts[b.sent-1]), nil
}

func (b *pausingBody) Close() error { return nil }

// sleepIn waits, and returns the error of the context if that ends first.
func sleepIn(ctx context.Context, length time.Duration) error {
	if !pause.For(ctx, length) {
		return ctx.Err()
	}
	return nil
}

// pausingStream answers with a stream whose runner is silent before one event.
func pausingStream(ctx context.Context) (*Answer, error) {
	answer, err := stream("", io.EOF)
	answer.Body = &pausingBody{ctx: ctx, texts: []string{events(1, silentAfter), events(silentAfter+1, wholeEvents)}, pause: silentTime}
	return answer, err
}

// pausingAnswer answers after the silence.
func pausingAnswer(ctx context.Context) (*Answer, error) {
	if err := sleepIn(ctx, silentTime); err != nil {
		return nil, err
	}
	return fine()
}

// firstPauses has the first send answered by a runner that is silent for a time, and later ones by then.
func firstPauses(path string, then func(context.Context, *Attempt) (*Answer, error)) func(context.Context, *Attempt) (*Answer, error) {
	var mutex sync.Mutex
	calls := 0
	return func(ctx context.Context, attempt *Attempt) (*Answer, error) {
		mutex.Lock()
		calls++
		isFirst := calls == 1
		mutex.Unlock()
		switch {
		case !isFirst:
			return then(ctx, attempt)
		case path == "/stream/x":
			return pausingStream(ctx)
		}
		return pausingAnswer(ctx)
	}
}

// noRepeats leaves the router no retry in its budget.
func noRepeats(router *Router) { router.routerCount = routerCount{} }

// keepVersion gives each runner a software version of its own.
func keepVersion(router *Router) {
	view := testView()
	for i := range view.Runners {
		view.Runners[i].Version = view.Runners[i].Instance
	}
	router.adoptView(view)
}

// onlyFirst leaves the router one runner of each service.
func onlyFirst(router *Router) {
	view := testView()
	router.adoptView(fleet.View{Complete: true, Runners: []fleet.Runner{view.Runners[0], view.Runners[2]}})
}

// Guards against an answer that is cut, or lost, because its runner was silent for a moment and nothing could take its place.
func TestSilentRunnerKeepsRequestWithoutSuccessor(t *testing.T) {
	unused := func(context.Context, *Attempt) (*Answer, error) { return nil, errors.New("unexpected send") }
	for name, test := range map[string]struct {
		prepare func(*Router)
		then    func(context.Context, *Attempt) (*Answer, error)
		// sends is the number of sends; 0 for any.
		sends int
	}{
		"no retry left":        {noRepeats, unused, 1},
		"no other runner":      {onlyFirst, unused, 1},
		"the other rejects":    {nil, func(context.Context, *Attempt) (*Answer, error) { return shed() }, 1 + maxRejections},
		"the other fails":      {nil, func(context.Context, *Attempt) (*Answer, error) { return failed() }, 2},
		"the other breaks":     {nil, func(context.Context, *Attempt) (*Answer, error) { return broken() }, 2},
		"the other is silent":  {nil, func(ctx context.Context, _ *Attempt) (*Answer, error) { <-ctx.Done(); return nil, ctx.Err() }, 2},
		"the other has no row": {nil, notHeldAnswer, 0},
	} {
		for _, path := range []string{"/stream/x", "/again/x"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					router, backend := newTestRouter(firstPauses(path, test.then))
					if test.prepare != nil {
						test.prepare(router)
					}
					assertServedWhole(c, router, path)
					if test.sends > 0 {
						c.Assert(backend.runners(), qt.HasLen, test.sends)
					}
					synctest.Wait()
					assertIdle(c, router)
				})
			})
		}
	}
}

// Guards against a stream that is cut because no runner of the software version that began it could take the silent one's place.
func TestSilentRunnerKeepsStreamOfItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(firstPauses("/stream/x", func(context.Context, *Attempt) (*Answer, error) { return nil, errors.New("unexpected send") }))
		keepVersion(router)
		assertServedWhole(c, router, "/stream/x")
		c.Assert(backend.runners(), qt.HasLen, 1)
	})
}

// Guards against a request on trial that is given up for a silence: it may run only once.
func TestSilentRunnerKeepsRequestOnTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) { return pausingAnswer(ctx) })
		x := &exchange{router: router, route: router.index.Load().Route("h", "/again/x"), isTrial: true}
		c.Assert(x.mayLeaveRunner(), qt.IsFalse)
		x.isTrial = false
		c.Assert(x.mayLeaveRunner(), qt.IsTrue)
	})
}

// Guards against a request that is sent to a second runner although the leader has to permit it.
func TestSuspectedRequestHasNoSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var router *Router
		var backend *scriptedBackend
		router, backend = newTestRouter(func(ctx context.Context, attempt *Attempt) (*Answer, error) {
			router.mutex.Lock()
			digest := attempt.Request.digest("")
			router.suspects.adopt(router.now(), &poison.List{Entries: []poison.Entry{{Digest: digest}}})
			router.mutex.Unlock()
			return pausingAnswer(ctx)
		})
		assertServedWhole(c, router, "/again/x")
		c.Assert(backend.runners(), qt.HasLen, 1)
	})
}

// Guards against a stream that is cut at a silence after an event without an ID: no other run can complete it.
func TestSilentRunnerKeepsStreamWithoutIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
			answer, err := stream("", io.EOF)
			answer.Body = &pausingBody{ctx: ctx, texts: []string{"data: a\n\n", "data: b\n\n"}, pause: silentTime / 2}
			return answer, err
		})
		recorder, aborted := ask(router, t.Context(), "/stream/x", "m")
		c.Assert(aborted, qt.IsFalse)
		c.Assert(recorder.Body.String(), qt.Equals, "data: a\n\ndata: b\n\n")
		c.Assert(backend.runners(), qt.HasLen, 1)
	})
}

// Guards against retries that a silence of all runners uses up: those that fail later would have none.
func TestSharedSilenceUsesNoRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) { return pausingStream(ctx) })
		const callers = 8
		var asking sync.WaitGroup
		for range callers {
			asking.Go(func() { assertServedWhole(c, router, "/stream/x") })
		}
		time.Sleep(silentTime - 10*time.Millisecond)
		c.Assert(backend.runners(), qt.HasLen, callers)
		asking.Wait()
	})
}

// Guards against an attempt that is withdrawn before another runner has begun to answer, and against a successor that goes on although
// it is not needed.
func TestFirstAnswerIsForwarded(t *testing.T) {
	const successorTime = 500 * time.Millisecond
	for name, test := range map[string]struct {
		// silent is for how long the first runner sends nothing, first the result of the first attempt.
		silent time.Duration
		first  func() (*Answer, error)
		served time.Duration
		sends  int
	}{
		"the successor's":                        {10 * time.Second, fine, 600*time.Millisecond + successorTime, 2},
		"the first one's":                        {time.Second, fine, time.Second, 2},
		"the successor's, as the first is lost":  {time.Second, broken, 600*time.Millisecond + successorTime, 2},
		"the successor's, as the first rejects":  {time.Second, shed, 600*time.Millisecond + successorTime, 2},
		"that of the only one, before the limit": {500 * time.Millisecond, fine, 500 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var mutex sync.Mutex
				calls := 0
				endedAt := make(map[int]time.Duration)
				began := time.Now()
				router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
					mutex.Lock()
					calls++
					number := calls
					mutex.Unlock()
					defer func() {
						mutex.Lock()
						defer mutex.Unlock()
						endedAt[number] = time.Since(began)
					}()
					if number > 1 {
						if err := sleepIn(ctx, successorTime); err != nil {
							return nil, err
						}
						return fine()
					}
					if err := sleepIn(ctx, test.silent); err != nil {
						return nil, err
					}
					return test.first()
				})
				recorder, _ := ask(router, t.Context(), "/again/x", "")
				c.Assert(recorder.Code, qt.Equals, http.StatusOK)
				c.Assert(time.Since(began), qt.Equals, test.served)
				synctest.Wait()
				mutex.Lock()
				defer mutex.Unlock()
				for number, at := range endedAt {
					c.Check(at <= max(test.served, test.silent), qt.IsTrue, qt.Commentf("send %d ended at %v", number, at))
				}
				c.Assert(backend.runners(), qt.HasLen, test.sends)
				assertIdle(c, router)
			})
		})
	}
}

// loseWays has the ways to all runners believed lost.
func loseWays(router *Router) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for _, attempts := range router.zones.attempts {
		for w := range attempts {
			w.cancelLost(errZoneLost)
		}
	}
}

// Guards against an answer that is lost because the way to its runner was believed lost although the connection lived on, and nothing
// could take its place. With a retry left, the request is sent again at once.
func TestLostWayKeepsRequestWithoutRetry(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*Router)
		sends   int
		served  time.Duration
	}{
		"no retry left": {noRepeats, 1, silentTime},
		"a retry left":  {func(*Router) {}, 2, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, backend := newTestRouter(firstPauses("/again/x", func(context.Context, *Attempt) (*Answer, error) { return fine() }))
				test.prepare(router)
				time.AfterFunc(100*time.Millisecond, func() { loseWays(router) })
				began := time.Now()
				assertServedWhole(c, router, "/again/x")
				c.Assert(time.Since(began), qt.Equals, test.served)
				c.Assert(backend.runners(), qt.HasLen, test.sends)
				assertIdle(c, router)
			})
		})
	}
}

// Guards against a request that waits for a lost way for good: it is sent again once the budget allows it.
func TestLostWayIsLeftOnceThereIsARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(firstPauses("/again/x", func(context.Context, *Attempt) (*Answer, error) { return fine() }))
		noRepeats(router)
		time.AfterFunc(100*time.Millisecond, func() { loseWays(router) })
		time.AfterFunc(time.Second, func() {
			router.mutex.Lock()
			defer router.mutex.Unlock()
			router.routerCount = *settledCount(1, time.Now())
		})
		began := time.Now()
		assertServedWhole(c, router, "/again/x")
		c.Assert(time.Since(began) <= time.Second+successorRetryDelay, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		c.Assert(backend.runners(), qt.HasLen, 2)
	})
}

// Guards against a successor that goes on working after the caller has left.
func TestSuccessorEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		began := time.Now()
		ask(router, ctx, "/again/x", "")
		synctest.Wait()
		c.Assert(time.Since(began), qt.Equals, time.Second)
		c.Assert(backend.runners(), qt.HasLen, 2)
		assertIdle(c, router)
	})
}

// Guards against events that a caller gets twice, or not at all, when a successor takes a stream over.
func TestSuccessorTakesStreamOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(firstPauses("/stream/x", func(_ context.Context, attempt *Attempt) (*Answer, error) {
			c.Check(attempt.ResumeAfter, qt.Equals, int64(silentAfter))
			return stream(events(silentAfter, wholeEvents), io.EOF)
		}))
		assertServedWhole(c, router, "/stream/x")
		runners := backend.runners()
		c.Assert(runners, qt.HasLen, 2)
		c.Assert(runners[0], qt.Not(qt.Equals), runners[1])
		assertIdle(c, router)
	})
}

func notHeldAnswer(context.Context, *Attempt) (*Answer, error) {
	answer, err := newAnswer(http.StatusMisdirectedRequest, "")
	answer.NotHeld = true
	return answer, err
}

// assertServedWhole asks for an answer and checks that it is whole.
func assertServedWhole(c *qt.C, router *Router, path string) {
	c.Helper()
	model, want := "", "fine"
	if path == "/stream/x" {
		model, want = "m", events(1, wholeEvents)
	}
	recorder, aborted := ask(router, context.Background(), path, model)
	c.Check(aborted, qt.IsFalse)
	c.Check(recorder.Code, qt.Equals, http.StatusOK)
	c.Check(recorder.Body.String(), qt.Equals, want)
}

// assertIdle checks that no attempt is counted as in progress and no request waits.
func assertIdle(c *qt.C, router *Router) {
	c.Helper()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for row, state := range router.rows {
		c.Check(state.active, qt.HasLen, 0, qt.Commentf("%v", row))
		c.Check(state.waiting(), qt.Equals, 0, qt.Commentf("%v", row))
	}
	for zone, attempts := range router.zones.attempts {
		c.Check(attempts, qt.HasLen, 0, qt.Commentf("%s", zone))
	}
}

// Guards against a request that stays until its deadline at a runner that sends an event without end: it is not silent, and will not go on.
func TestTricklingRunnerIsLeftWithoutSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
			answer, err := stream("", io.EOF)
			answer.Body = &tricklingBody{ctx: ctx, part: "x", pause: 100 * time.Millisecond, times: 1000}
			return answer, err
		})
		noRepeats(router)
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/stream/x", "m")
		c.Assert(recorder.Code, qt.Equals, http.StatusBadGateway)
		c.Assert(time.Since(began) <= streamSilenceFloor+2*successorRetryDelay, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		c.Assert(backend.runners(), qt.HasLen, 1)
	})
}

// Guards against a stream that is cut because its runner, which has no room for it yet, sends comments meanwhile.
func TestRunnerThatSendsCommentsKeepsItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
			answer, err := stream("", io.EOF)
			rest := strings.NewReader(events(1, wholeEvents))
			answer.Body = &tricklingBody{ctx: ctx, part: ": waiting\n\n", pause: 100 * time.Millisecond, times: 30, rest: rest}
			return answer, err
		})
		noRepeats(router)
		recorder, aborted := ask(router, t.Context(), "/stream/x", "m")
		c.Assert(aborted, qt.IsFalse)
		c.Assert(strings.HasSuffix(recorder.Body.String(), events(1, wholeEvents)), qt.IsTrue)
		c.Assert(backend.runners(), qt.HasLen, 1)
	})
}

// Guards against a request that stays until its deadline at a runner whose answer's head has no end.
func TestRunnerThatTricklesItsHeadIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		began := time.Now()
		router, backend := newTestRouter(func(ctx context.Context, attempt *Attempt) (*Answer, error) {
			attempt.Connected(func() int64 { return int64(time.Since(began) / (50 * time.Millisecond)) })
			return untilEnd(ctx, attempt)
		})
		noRepeats(router)
		recorder, _ := ask(router, t.Context(), "/again/x", "")
		c.Assert(recorder.Code, qt.Equals, http.StatusBadGateway)
		c.Assert(time.Since(began) <= time.Second+(maxHeadGrowths+2)*successorRetryDelay, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		c.Assert(backend.runners(), qt.HasLen, 1)
	})
}
