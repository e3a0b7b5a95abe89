package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/structs"
)

// inContinuity runs a test of a router over runners that copy streams in virtual time, and checks that
// nothing is left of the requests once the copies have expired.
func inContinuity(t *testing.T, test func(t *testing.T, c *qt.C, r *continuityRouter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newContinuityRouter(c)
		test(t, c, r)
		<-time.After(handleTTL + time.Second)
		r.checkIdle()
	})
}

// The loss of a runner must not cost the caller the stream, although the request may run only once.
func TestStreamOutlivesItsRunner(t *testing.T) {
	for _, path := range []string{copiedPath, resumablePath} {
		t.Run(path, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				r.runners.cut = cutAt(1, 4)
				recorder, aborted := r.ask(t.Context(), path)
				r.checkWhole(recorder, aborted, 1)
				c.Assert(r.runners.starts, qt.Equals, 1)
				c.Assert(len(r.runners.attempts), qt.Equals, 2, qt.Commentf("%s", r.runners.describe()))
				former, next := r.runners.attempts[0], r.runners.attempts[1]
				c.Assert(next.IsContinuation, qt.IsTrue)
				c.Assert(next.Address, qt.Equals, former.CopyTo)
				c.Assert(next.ResumeAfter, qt.Equals, int64(3))
				// A continuation may be lost, too, so it is copied to the third runner.
				c.Assert(next.CopyTo, qt.Not(qt.Equals), "")
				c.Assert(next.CopyTo, qt.Not(qt.Equals), former.Address)
				c.Assert(r.counted("continuations_total"), qt.DeepEquals, map[string]float64{"served": 1})
				c.Assert(r.counted("repeats_total"), qt.DeepEquals, map[string]float64{"true": 1})
			})
		})
	}
}

// A stream that is lost before or right after its first event has no copy yet. The standby must not get the
// request: if it loses its answers, it may run it a second time.
func TestStreamWithoutCopyYetIsNotContinued(t *testing.T) {
	for event, status := range map[int]int{1: http.StatusBadGateway, 2: http.StatusOK} {
		inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
			r.runners.cut = cutAt(1, event)
			recorder, aborted := r.ask(t.Context(), copiedPath)
			c.Assert(recorder.Code, qt.Equals, status)
			c.Assert(aborted, qt.Equals, event > 1)
			c.Assert(len(r.runners.attempts), qt.Equals, 1, qt.Commentf("%s", r.runners.describe()))
			c.Assert(r.counted("continuations_total"), qt.HasLen, 0)
		})
	}
}

// A runner that reports a failure has answered: a request that may run only once ends with that answer,
// and a repeatable one runs at no more runners than its route allows.
func TestFailureOfTheRunnerIsNotContinued(t *testing.T) {
	for path, attempts := range map[string]int{copiedPath: 1, resumablePath: 2} {
		t.Run(path, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				r.runners.answer = func(_ context.Context, _ int, attempt *Attempt) (*Answer, error) {
					r.runners.copies[attempt.CopyTo+"/"+attempt.Request.ID] = true
					return failed()
				}
				recorder, aborted := r.ask(t.Context(), path)
				c.Assert(aborted, qt.IsFalse)
				c.Assert(recorder.Code, qt.Equals, http.StatusInternalServerError)
				c.Assert(len(r.runners.attempts), qt.Equals, attempts, qt.Commentf("%s", r.runners.describe()))
				c.Assert(r.counted("continuations_total"), qt.HasLen, 0)
			})
		})
	}
}

// Without a copy a continuation must not run, and what follows is the same as without copies.
func TestContinuationWithoutCopyCostsOneTry(t *testing.T) {
	for name, test := range map[string]struct {
		path     string
		event    int
		isServed bool
		attempts int
	}{
		"once only": {copiedPath, 4, false, 2},
		"resumable": {resumablePath, 4, true, 3},
	} {
		t.Run(name, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				r.runners.losesCopies = true
				r.runners.cut = cutAt(1, test.event)
				recorder, aborted := r.ask(t.Context(), test.path)
				c.Assert(len(r.runners.attempts), qt.Equals, test.attempts, qt.Commentf("%s", r.runners.describe()))
				c.Assert(r.runners.attempts[1].IsContinuation, qt.IsTrue)
				c.Assert(r.counted("continuations_total"), qt.DeepEquals, map[string]float64{"no_copy": 1})
				switch {
				case test.isServed:
					c.Assert(recorder.Body.String(), qt.Equals, events(1, copiedEvents))
					c.Assert(r.runners.attempts[2].IsContinuation, qt.IsFalse)
				default:
					c.Assert(aborted, qt.IsTrue)
				}
				if !test.isServed {
					c.Assert(r.runners.starts, qt.Equals, 1)
				}
			})
		})
	}
}

// The loss of the standby must not disturb the stream, and a continuation that cannot be sent costs no
// more than its try.
func TestLostStandby(t *testing.T) {
	t.Run("while the runner goes on", func(t *testing.T) {
		inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
			r.runners.losesCopies = true
			recorder, aborted := r.ask(t.Context(), copiedPath)
			r.checkWhole(recorder, aborted, 1)
			c.Assert(len(r.runners.attempts), qt.Equals, 1, qt.Commentf("%s", r.runners.describe()))
		})
	})
	for name, refuse := range map[string]func() (*Answer, error){
		"unreachable": notSent,
		// Another incarnation at the address, or a runner with other weights, does not hold the copy.
		"another incarnation or other weights": func() (*Answer, error) {
			answer, err := newAnswer(http.StatusMisdirectedRequest, "")
			answer.NotHeld = true
			return answer, err
		},
		"fails by itself":        failed,
		"rejects without reason": func() (*Answer, error) { return newAnswer(http.StatusServiceUnavailable, "") },
	} {
		t.Run(name, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				r.runners.cut = cutAt(1, 4)
				r.runners.answer = func(_ context.Context, number int, _ *Attempt) (*Answer, error) {
					if number == 2 {
						return refuse()
					}
					return nil, nil
				}
				recorder, aborted := r.ask(t.Context(), copiedPath)
				// The request has run, and the answer of the standby is not its own.
				c.Assert(aborted, qt.IsTrue)
				c.Assert(recorder.Body.String(), qt.Equals, events(1, 3))
				c.Assert(len(r.runners.attempts), qt.Equals, 2, qt.Commentf("%s", r.runners.describe()))
				c.Assert(r.runners.starts, qt.Equals, 1)
			})
		})
	}
}

// A standby that is no longer listed with the model is not asked, as it has no copy.
func TestStandbyWithoutTheModelIsNotAsked(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.cut = func(_ context.Context, number, event int) error {
			if number != 1 || event != 4 {
				return nil
			}
			view := continuityView("n1", "n2", "n3")
			for i := range view.Runners {
				if view.Runners[i].Address == r.runners.attempts[0].CopyTo {
					view.Runners[i].Models = nil
				}
			}
			r.adoptView(view)
			return errReset
		}
		_, aborted := r.ask(t.Context(), copiedPath)
		c.Assert(aborted, qt.IsTrue)
		c.Assert(len(r.runners.attempts), qt.Equals, 1, qt.Commentf("%s", r.runners.describe()))
		c.Assert(r.counted("continuations_total"), qt.DeepEquals, map[string]float64{"no_copy": 1})
	})
}

// If the standby is lost with the stream, its content may have crashed both, and is not carried to a third
// runner.
func TestRunnerAndStandbyAreLost(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.cut = func(_ context.Context, number, event int) error {
			if number == 1 && event == 4 || number == 2 && event == 7 {
				return errReset
			}
			return nil
		}
		_, aborted := r.ask(t.Context(), copiedPath)
		c.Assert(r.counted("continuations_total"), qt.DeepEquals, map[string]float64{"failed": 1, "suspected": 1})
		c.Assert(aborted, qt.IsTrue)
		c.Assert(len(r.runners.attempts), qt.Equals, 2, qt.Commentf("%s", r.runners.describe()))
	})
}

// A loss that says nothing about the request, such as silence, is continued once more, but not a third time.
func TestStreamIsContinuedTwice(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.cut = func(ctx context.Context, number, next int) error {
			switch {
			case number == 1 && next == 4:
				<-ctx.Done()
				return ctx.Err()
			case number == 2 && next == 7:
				return errReset
			}
			return nil
		}
		recorder, aborted := r.ask(t.Context(), copiedPath)
		r.checkWhole(recorder, aborted, 1)
		c.Assert(len(r.runners.attempts), qt.Equals, 3, qt.Commentf("%s", r.runners.describe()))
		c.Assert(r.runners.attempts[2].CopyTo, qt.Equals, "")
		c.Assert(r.counted("continuations_total"), qt.DeepEquals, map[string]float64{"failed": 1, "served": 1})
	})
}

// A request that the leader suspects may not be sent again without its permission.
func TestSuspectedRequestIsNotContinued(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.cut = func(_ context.Context, number, event int) error {
			if number != 1 || event != 4 {
				return nil
			}
			request := r.runners.attempts[0].Request
			r.mutex.Lock()
			r.suspects.adopt(r.now(), &poison.List{Entries: []poison.Entry{{Digest: request.digest("")}}})
			r.mutex.Unlock()
			return errReset
		}
		_, aborted := r.ask(t.Context(), copiedPath)
		c.Assert(aborted, qt.IsTrue)
		c.Assert(len(r.runners.attempts), qt.Equals, 1, qt.Commentf("%s", r.runners.describe()))
		c.Assert(r.counted("continuations_total"), qt.DeepEquals, map[string]float64{"suspected": 1})
	})
}

// A router that stops ends its streams; nothing is sent on behalf of a request that it gave up.
func TestStoppingRouterDoesNotContinue(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.cut = func(ctx context.Context, number, event int) error {
			if number == 1 && event == 4 {
				r.CancelAll()
				<-ctx.Done()
				return errReset
			}
			return nil
		}
		_, aborted := r.ask(t.Context(), copiedPath)
		c.Assert(aborted, qt.IsTrue)
		c.Assert(len(r.runners.attempts), qt.Equals, 1, qt.Commentf("%s", r.runners.describe()))
	})
}

// A copy whose later parts were lost on the link is shorter than what the caller has: the standby goes on
// from the caller's last event.
func TestLinkFailsWhileTheCopyIsOnItsWay(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.cut = func(_ context.Context, number, event int) error {
			if number == 1 && event == 2 {
				r.runners.mutex.Lock()
				r.runners.losesCopies = true
				r.runners.mutex.Unlock()
			}
			return cutAt(1, 7)(nil, number, event)
		}
		recorder, aborted := r.ask(t.Context(), copiedPath)
		r.checkWhole(recorder, aborted, 1)
		c.Assert(r.runners.attempts[1].ResumeAfter, qt.Equals, int64(6))
	})
}

// A standby has dropped a copy whose last part is older than the document says.
func TestLateLossIsNotContinued(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		document := continuityDocument(2)
		document.Services[1].Engine.HandleTTL = 500 * time.Millisecond
		r.adoptDocument(document)
		r.runners.cut = func(ctx context.Context, number, event int) error {
			if number == 1 && event == 4 {
				<-time.After(600 * time.Millisecond)
				return errReset
			}
			return nil
		}
		_, aborted := r.ask(t.Context(), copiedPath)
		c.Assert(aborted, qt.IsTrue)
		c.Assert(len(r.runners.attempts), qt.Equals, 1, qt.Commentf("%s", r.runners.describe()))
		c.Assert(r.counted("continuations_total"), qt.DeepEquals, map[string]float64{"late": 1})
	})
}

func TestContinuationTakesARetryFromTheBudget(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.options.Retry = RetryRule{Ratio: 0.2, Window: 10 * time.Second}
		r.runners.cut = cutAt(1, 4)
		_, aborted := r.ask(t.Context(), copiedPath)
		c.Assert(aborted, qt.IsTrue)
		c.Assert(len(r.runners.attempts), qt.Equals, 1, qt.Commentf("%s", r.runners.describe()))
		c.Assert(r.counted("continuations_total"), qt.DeepEquals, map[string]float64{"no_budget": 1})
	})
}

// A caller that leaves during the continuation ends it, and the request is sent nowhere else.
func TestCallerLeavesDuringContinuation(t *testing.T) {
	for _, path := range []string{copiedPath, resumablePath} {
		t.Run(path, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				r.runners.cut = func(_ context.Context, number, event int) error {
					if number == 2 && event == 6 {
						leave()
					}
					return cutAt(1, 4)(nil, number, event)
				}
				r.ask(ctx, path)
				c.Assert(len(r.runners.attempts), qt.Equals, 2, qt.Commentf("%s", r.runners.describe()))
				c.Assert(r.runners.active, qt.Equals, 0)
			})
		})
	}
}

// An answer with a gap or with repeated events must not look complete.
func TestContinuationWithOtherEventsIsAborted(t *testing.T) {
	for name, first := range map[string]func(next int) int{
		"an event is missing":  func(next int) int { return next + 1 },
		"an event is repeated": func(next int) int { return next - 1 },
		"from the beginning":   func(int) int { return 1 },
	} {
		for _, path := range []string{copiedPath, resumablePath} {
			t.Run(name+path, func(t *testing.T) {
				inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
					r.runners.first = first
					r.runners.cut = cutAt(1, 4)
					recorder, aborted := r.ask(t.Context(), path)
					c.Assert(aborted, qt.IsTrue)
					c.Assert(recorder.Body.String(), qt.Equals, events(1, 3))
					c.Assert(len(r.runners.attempts), qt.Equals, 2, qt.Commentf("%s", r.runners.describe()))
				})
			})
		}
	}
}

// A runner that goes silent in the middle of a stream loses it to its standby even if the request may run
// only once, but a runner that has sent no event yet is not given up.
func TestSilentRunnerLosesCopiedStream(t *testing.T) {
	for event, isServed := range map[int]bool{4: true, 1: false} {
		inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
			r.runners.cut = func(ctx context.Context, number, next int) error {
				if number == 1 && next == event {
					<-ctx.Done()
					return ctx.Err()
				}
				return nil
			}
			began := time.Now()
			recorder, aborted := r.ask(t.Context(), copiedPath)
			if isServed {
				r.checkWhole(recorder, aborted, 1)
				most := streamSilenceFloor + (copiedEvents+2)*copiedGap
				c.Assert(time.Since(began) <= most, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
				return
			}
			c.Assert(recorder.Code, qt.Equals, http.StatusGatewayTimeout)
			c.Assert(len(r.runners.attempts), qt.Equals, 1, qt.Commentf("%s", r.runners.describe()))
		})
	}
}

// A stream that may run only once must not be taken from a runner that pauses if its standby is no longer
// usable: the runner may go on, and nothing else can.
func TestPausedRunnerKeepsStreamWithoutUsableStandby(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.cut = func(ctx context.Context, number, next int) error {
			if number == 1 && next == 4 {
				standby := r.runners.attempts[0].CopyTo
				r.mutex.Lock()
				for instance, address := range r.candidates.runners {
					if address == standby {
						r.balancer.Leave(structs.RunnerID(instance))
					}
				}
				r.mutex.Unlock()
				time.Sleep(3 * time.Second)
				return ctx.Err()
			}
			return nil
		}
		recorder, aborted := r.ask(t.Context(), copiedPath)
		r.checkWhole(recorder, aborted, 1)
		c.Assert(len(r.runners.attempts), qt.Equals, 1, qt.Commentf("%s", r.runners.describe()))
	})
}

// Resets before the first event must not have all streams of a service copied: no copy would have saved
// what was lost, and copies are dear.
func TestOnlyLossesThatCopiesAvertRaiseTheRisk(t *testing.T) {
	for event, isSign := range map[int]bool{1: false, 4: true} {
		inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
			r.runners.cut = cutAt(1, event)
			r.ask(t.Context(), copiedPath)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			c.Assert(len(r.copies.brokenAt) > 0, qt.Equals, isSign, qt.Commentf("event %d", event))
			c.Assert(r.copies.lossRate(r.now(), "engine") > 0, qt.Equals, isSign, qt.Commentf("event %d", event))
		})
	}
}

// A refused connection is no loss: nothing was sent, so that there is nothing to continue.
func TestUnsentStreamIsNotContinued(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.answer = func(_ context.Context, number int, _ *Attempt) (*Answer, error) {
			if number == 1 {
				return notSent()
			}
			return nil, nil
		}
		recorder, aborted := r.ask(t.Context(), copiedPath)
		r.checkWhole(recorder, aborted, 2)
		c.Assert(r.runners.attempts[1].IsContinuation, qt.IsFalse)
		c.Assert(r.counted("continuations_total"), qt.HasLen, 0)
	})
}

// A continuation takes one of the route's two attempts: a standby without the copy may have begun a run of
// its own, and more runners than the route allows must not run the request.
func TestContinuationTakesAnAttempt(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.cut = func(_ context.Context, number, event int) error {
			if number == 1 && event == 4 || number == 2 && event == 6 {
				return errReset
			}
			return nil
		}
		_, aborted := r.ask(t.Context(), resumablePath)
		c.Assert(aborted, qt.IsTrue)
		c.Assert(len(r.runners.attempts), qt.Equals, 2, qt.Commentf("%s", r.runners.describe()))
		c.Assert(r.runners.attempts[1].IsContinuation, qt.IsTrue)
	})
}

// A request whose caller leaves while the connection for its continuation is made is counted once, as one
// whose caller left. Concluding it as lost as well would count it twice. Its answer has begun and must not look complete.
func TestCallerLeavesBeforeContinuationIsSent(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		r.runners.cut = cutAt(1, 4)
		r.runners.answer = func(ctx context.Context, _ int, attempt *Attempt) (*Answer, error) {
			if !attempt.IsContinuation {
				return nil, nil
			}
			leave()
			<-ctx.Done()
			return notSent()
		}
		_, aborted := r.ask(ctx, copiedPath)
		c.Assert(aborted, qt.IsTrue)
		c.Assert(r.countedRequests(), qt.DeepEquals, map[string]float64{"caller_left": 1})
	})
}

// A continuation that ends without any event must not make the stream look complete.
func TestEmptyContinuationIsNotComplete(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.cut = cutAt(1, 4)
		r.runners.answer = func(_ context.Context, number int, _ *Attempt) (*Answer, error) {
			if number == 1 {
				return nil, nil
			}
			return stream("", io.EOF)
		}
		recorder, aborted := r.ask(t.Context(), copiedPath)
		c.Assert(aborted, qt.IsTrue)
		c.Assert(recorder.Body.String(), qt.Equals, events(1, 3))
		c.Assert(len(r.runners.attempts), qt.Equals, 2, qt.Commentf("%s", r.runners.describe()))
	})
}

// A large answer that is no stream has begun when it is cut short. The events of a continuation must not
// follow it in the same body.
func TestCutAnswerWithoutEventsIsNotContinued(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		text := strings.Repeat("x", maxBuffered+10)
		r.runners.answer = func(_ context.Context, number int, attempt *Attempt) (*Answer, error) {
			if number > 1 {
				return nil, nil
			}
			r.runners.copies[attempt.CopyTo+"/"+attempt.Request.ID] = true
			answer, err := newAnswer(http.StatusOK, "")
			answer.Body, answer.Length = &truncatedBody{strings.NewReader(text), errReset}, -1
			return answer, err
		}
		recorder, aborted := r.ask(t.Context(), copiedPath)
		c.Assert(aborted, qt.IsTrue)
		c.Assert(recorder.Body.String() == text, qt.IsTrue)
		c.Assert(len(r.runners.attempts), qt.Equals, 1, qt.Commentf("%s", r.runners.describe()))
	})
}

// Guards against a runner that is blamed for a caller that leaves amid a large answer: the request would be suspected of crashing
// runners.
func TestCallerLeavesAmidLargeAnswer(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		r.runners.answer = func(ctx context.Context, _ int, _ *Attempt) (*Answer, error) {
			answer, err := newAnswer(http.StatusOK, "")
			begun := strings.NewReader(strings.Repeat("x", maxBuffered+10))
			answer.Body, answer.Length = io.NopCloser(io.MultiReader(begun, silentBody{ctx})), -1
			return answer, err
		}
		time.AfterFunc(time.Second, leave)
		_, aborted := r.ask(ctx, copiedPath)
		c.Assert(aborted, qt.IsTrue)
		c.Assert(r.countedRequests(), qt.DeepEquals, map[string]float64{reasonCallerLeft: 1})
	})
}

// slowCaller is a caller that takes its fourth event late.
type slowCaller struct {
	*httptest.ResponseRecorder
	events int
}

func (s *slowCaller) Write(event []byte) (int, error) {
	if s.events++; s.events == 4 {
		time.Sleep(2 * time.Second)
	}
	return s.ResponseRecorder.Write(event)
}

// A caller that reads slowly must not have its runner taken for silent: the runner would be reported as
// unreachable, and a retry of the budget used up for a continuation.
func TestSlowCallerKeepsItsRunner(t *testing.T) {
	for _, path := range []string{copiedPath, resumablePath} {
		inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
			caller := &slowCaller{ResponseRecorder: httptest.NewRecorder()}
			r.Serve(caller, &Request{
				HTTP: httptest.NewRequest(http.MethodPost, "http://h"+path, nil), ID: "id", Arrived: time.Now(),
				Wait: 9 * time.Second, Model: "m", ResumeAfter: NoEvent, Size: Size{Tokens: 200, Prompt: 100, Answer: 100},
			})
			r.checkWhole(caller.ResponseRecorder, false, 1)
			c.Assert(len(r.runners.attempts), qt.Equals, 1, qt.Commentf("%s", r.runners.describe()))
			c.Assert(r.unreachable, qt.HasLen, 0)
		})
	}
}
