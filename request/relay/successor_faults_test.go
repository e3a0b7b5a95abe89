package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/request/zonewatch"
	"github.com/lotusferry/lotusferry/structs"
)

// untilEnd is a runner that takes a request and sends nothing.
func untilEnd(ctx context.Context, _ *Attempt) (*Answer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// allowAttempts sets the most runners of each route.
func allowAttempts(router *Router, most int) {
	document := testDocument()
	document.Version = 2
	for i := range document.Routes {
		document.Routes[i].MaxAttempts = most
	}
	router.adoptDocument(document)
}

// listRunners lists runners of the plain service with the given slots, and as many of the engine.
func listRunners(router *Router, slots int, names ...string) {
	view := fleet.View{Complete: true}
	for _, name := range names {
		view.Runners = append(view.Runners,
			fleet.Runner{Instance: "p" + name, Service: "plain", Address: "p" + name, Slots: slots},
			fleet.Runner{Instance: "e" + name, Service: "engine", Address: "e" + name, Slots: slots, Models: []fleet.LoadedModel{{Name: "m"}}})
	}
	router.adoptView(view)
}

// numbered gives each send its number, from 1.
func numbered(answer func(ctx context.Context, number int32, attempt *Attempt) (*Answer, error)) func(context.Context, *Attempt) (*Answer, error) {
	var calls atomic.Int32
	return func(ctx context.Context, attempt *Attempt) (*Answer, error) {
		return answer(ctx, calls.Add(1), attempt)
	}
}

// Guards against a request that stays with two dead runners until its deadline although a third is free and may be tried.
func TestSilentSuccessorIsReplaced(t *testing.T) {
	for path, model := range map[string]string{"/again/x": "", "/stream/x": "m"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, backend := newTestRouter(numbered(func(ctx context.Context, number int32, attempt *Attempt) (*Answer, error) {
					switch {
					case number < 3:
						return untilEnd(ctx, attempt)
					case model != "":
						return stream(events(1, wholeEvents), io.EOF)
					}
					return fine()
				}))
				allowAttempts(router, 3)
				listRunners(router, 4, "1", "2", "3")
				recorder, _ := ask(router, t.Context(), path, model)
				c.Check(recorder.Code, qt.Equals, http.StatusOK)
				c.Check(backend.runners(), qt.HasLen, 3)
			})
		})
	}
}

// Guards against a request that waits until its deadline for a silent successor after its first runner broke, although a third is free.
func TestSuccessorSilentAfterLossIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(numbered(func(ctx context.Context, number int32, attempt *Attempt) (*Answer, error) {
			switch number {
			case 1:
				_ = sleepIn(ctx, time.Second)
				return broken()
			case 2:
				return untilEnd(ctx, attempt)
			}
			return fine()
		}))
		allowAttempts(router, 3)
		listRunners(router, 4, "1", "2", "3")
		recorder, _ := ask(router, t.Context(), "/again/x", "")
		c.Check(recorder.Code, qt.Equals, http.StatusOK)
		c.Check(backend.runners(), qt.HasLen, 3)
	})
}

// Guards against a request that is sent to a second runner without the leader's permission, because it became a suspect while its
// successor waited for a runner.
func TestSuspectedWhileSuccessorIsSoughtIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) { return pausingAnswer(ctx) })
		listRunners(router, 4, "1")
		// The runner takes no further requests.
		time.AfterFunc(100*time.Millisecond, func() {
			router.mutex.Lock()
			defer router.mutex.Unlock()
			router.balancer.Leave("p1")
		})
		time.AfterFunc(time.Second, func() {
			backend.mutex.Lock()
			digest := backend.attempts[0].Request.digest("")
			backend.mutex.Unlock()
			router.mutex.Lock()
			defer router.mutex.Unlock()
			router.suspects.adopt(router.now(), &poison.List{Entries: []poison.Entry{{Digest: digest}}})
		})
		time.AfterFunc(1500*time.Millisecond, func() { listRunners(router, 4, "1", "2") })
		assertServedWhole(c, router, "/again/x")
		c.Check(backend.runners(), qt.HasLen, 1)
	})
}

// Guards against a sound runner that is taken for a failing one because it answered a request of a stream route without a stream, and
// against a caller that does not get such an answer.
func TestSuccessorMayAnswerWithoutStream(t *testing.T) {
	for name, answer := range map[string]func() (*Answer, error){
		"refusal of the request": func() (*Answer, error) { return newAnswer(http.StatusBadRequest, "no such option") },
		"whole answer":           fine,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, backend := newTestRouter(numbered(func(ctx context.Context, number int32, attempt *Attempt) (*Answer, error) {
					if number == 1 {
						return untilEnd(ctx, attempt)
					}
					return answer()
				}))
				recorder, _ := ask(router, t.Context(), "/stream/x", "m")
				c.Check(recorder.Code < http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%d", recorder.Code))
				for _, each := range router.takeAttempts() {
					if each.Instance == backend.runners()[1] {
						c.Check(each.Failed, qt.Equals, 0)
					}
				}
			})
		})
	}
}

// Guards against a lost sole runner of which the leader is not told while its requests wait.
func TestSilenceOfSoleRunnerIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(untilEnd)
		listRunners(router, 4, "1")
		time.AfterFunc(2*time.Second, func() {
			router.mutex.Lock()
			defer router.mutex.Unlock()
			c.Check(router.unreachable["p1"], qt.IsTrue)
		})
		ask(router, t.Context(), "/again/x", "")
	})
}

// Guards against a stream that may run only once and is cut at a silence of its runner because its standby rejects the continuation.
func TestPausedRunnerKeepsStreamWhoseStandbyRejects(t *testing.T) {
	checkPausedRunnerKeepsStream(t, map[string]func() (*Answer, error){"full": shed, "unreachable": notSent})
}

// Guards against the same where the standby may have begun with the stream before it failed.
func TestPausedRunnerKeepsStreamWhoseStandbyFails(t *testing.T) {
	checkPausedRunnerKeepsStream(t, map[string]func() (*Answer, error){"broken": broken, "failing": failed})
}

// checkPausedRunnerKeepsStream checks that a copied stream goes on at its paused runner if its standby gives one of the answers.
func checkPausedRunnerKeepsStream(t *testing.T, answers map[string]func() (*Answer, error)) {
	t.Helper()
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				r.runners.answer = func(_ context.Context, _ int, attempt *Attempt) (*Answer, error) {
					if !attempt.IsContinuation {
						return nil, nil
					}
					return answer()
				}
				r.runners.cut = func(ctx context.Context, number, next int) error {
					if number == 1 && next == 4 {
						return sleepIn(ctx, 1500*time.Millisecond)
					}
					return nil
				}
				recorder, aborted := r.ask(t.Context(), copiedPath)
				c.Check(aborted, qt.IsFalse)
				c.Check(recorder.Body.String(), qt.Equals, events(1, copiedEvents))
			})
		})
	}
}

// Guards against an answer that is lost because its successor was preferred at the head of its answer and broke before the end.
func TestSuccessorThatBreaksKeepsSilentRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(firstPauses("/again/x", func(context.Context, *Attempt) (*Answer, error) {
			answer, err := newAnswer(http.StatusOK, "fi")
			answer.Body = &truncatedBody{answer.Body, errors.New("reset")}
			return answer, err
		}))
		assertServedWhole(c, router, "/again/x")
	})
}

// Guards against a request that runs at more runners than its route allows: a successor that was withdrawn, as the silent runner had gone
// on, may have run it.
func TestWithdrawnSuccessorCountsAsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(numbered(func(ctx context.Context, number int32, attempt *Attempt) (*Answer, error) {
			if number == 2 {
				return untilEnd(ctx, attempt)
			}
			// The runner goes on after a silence, and breaks off later.
			answer, err := stream("", io.EOF)
			body := &pausingBody{ctx: ctx, texts: []string{events(1, 2), events(3, silentAfter), "id: 4"}, pause: 1500 * time.Millisecond}
			answer.Body = &truncatedBody{body, errors.New("reset")}
			return answer, err
		}))
		listRunners(router, 4, "1", "2", "3")
		recorder, aborted := ask(router, context.Background(), "/stream/x", "m")
		c.Check(aborted, qt.IsTrue)
		c.Check(recorder.Body.String(), qt.Equals, events(1, silentAfter))
		c.Check(backend.runners(), qt.HasLen, 2)
	})
}

// Guards against tokens of a paced runner that searches for successors use up without a request: requests that wait for them get none.
func TestSearchForSuccessorUsesNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const tokens = 3
		router, backend := newTestRouter(untilEnd)
		view := fleet.View{Complete: true}
		for _, name := range []string{"e1", "e2"} {
			view.Runners = append(view.Runners, fleet.Runner{
				Instance: name, Service: "engine", Address: name, Slots: 8, Cold: name == "e2", Models: []fleet.LoadedModel{{Name: "m"}},
			})
		}
		router.adoptView(view)
		give := func(count int) {
			router.mutex.Lock()
			defer router.mutex.Unlock()
			router.tokensUntil = router.now().Add(time.Minute)
			router.balancer.GiveTokens("e2", count)
		}
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		var asking sync.WaitGroup
		for range 6 {
			give(1)
			asking.Go(func() { ask(router, ctx, "/stream/x", "m") })
			synctest.Wait()
		}
		sent := len(backend.runners())
		c.Assert(backend.runners(), qt.Contains, "e2")
		router.mutex.Lock()
		router.balancer.DropTokens()
		router.mutex.Unlock()
		give(tokens)
		// All runners are silent, so that no successor is sent.
		time.Sleep(streamSilenceFloor + 10*successorRetryDelay)
		c.Assert(backend.runners(), qt.HasLen, sent)
		router.mutex.Lock()
		x := &exchange{router: router, request: &Request{}}
		x.row.Service, x.row.Model = "engine", "m"
		work := x.work()
		work.Excluded = "e1"
		_, isFound := router.pick(&waiter{row: x.row, work: work})
		router.mutex.Unlock()
		c.Check(isFound, qt.IsTrue)
		leave()
		asking.Wait()
	})
}

// loseZoneOf has the zone of a runner lost, so that it is not chosen, and the ways to it.
func loseZoneOf(router *Router, zone structs.ZoneID) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.applyZoneChange(zonewatch.Change{Zone: zone, IsLost: true})
	router.cancelSilent(zone)
}

// Guards against an answer that is lost because the zone of its runner was believed lost for a moment although the connection lived on,
// and no other runner could take its place, with a retry left or not.
func TestLostZoneKeepsRequestWithoutOtherRunner(t *testing.T) {
	for name, names := range map[string][]string{"no other runner": {"1"}, "none of the version": {"1", "2"}} {
		for path := range map[string]bool{"/stream/x": true, "/again/x": true} {
			if len(names) > 1 && path == "/again/x" {
				continue
			}
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					router, backend := newTestRouter(func(ctx context.Context, attempt *Attempt) (*Answer, error) {
						if path == "/again/x" {
							return pausingAnswer(ctx)
						}
						return pausingStream(ctx)
					})
					view := fleet.View{Complete: true}
					for _, each := range names {
						for _, service := range []string{"plain", "engine"} {
							view.Runners = append(view.Runners, fleet.Runner{
								Instance: service + each, Service: service, Address: service + each, Slots: 4, Zone: "z" + each, Version: "v" + each,
								Models: []fleet.LoadedModel{{Name: "m"}},
							})
						}
					}
					router.adoptView(view)
					time.AfterFunc(500*time.Millisecond, func() {
						backend.mutex.Lock()
						first := backend.attempts[0].Instance
						backend.mutex.Unlock()
						loseZoneOf(router, structs.ZoneID("z"+first[len(first)-1:]))
					})
					assertServedWhole(c, router, path)
					c.Check(backend.runners(), qt.HasLen, 1)
				})
			})
		}
	}
}

// Guards against an answer that is lost because the way to its runner was believed lost after a successor had taken the last attempt.
func TestLostWayKeepsRequestWithoutAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(numbered(func(ctx context.Context, number int32, _ *Attempt) (*Answer, error) {
			if number > 1 {
				return broken()
			}
			return pausingAnswer(ctx)
		}))
		time.AfterFunc(time.Second, func() { loseWays(router) })
		assertServedWhole(c, router, "/again/x")
	})
}

// Guards against a sound runner that goes on after a silence and is taken for one that sends an event without end, because a part of its next
// event comes first.
func TestRunnerThatGoesOnWithPartOfEventKeepsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rest := events(silentAfter+1, wholeEvents)
		router, _ := newTestRouter(numbered(func(ctx context.Context, number int32, _ *Attempt) (*Answer, error) {
			if number > 1 {
				return shed()
			}
			answer, err := stream("", io.EOF)
			part := &pausingBody{ctx: ctx, texts: []string{events(1, silentAfter), rest[:2]}, pause: 1500 * time.Millisecond}
			whole := &pausingBody{ctx: ctx, texts: []string{"", rest[2:]}, pause: 300 * time.Millisecond}
			answer.Body = io.NopCloser(io.MultiReader(part, whole))
			return answer, err
		}))
		assertServedWhole(c, router, "/stream/x")
	})
}
