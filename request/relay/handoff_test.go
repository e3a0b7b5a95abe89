package relay

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// ofContinuation returns the time for continuations, and none for other attempts.
func ofContinuation(length time.Duration) func(*Attempt) time.Duration {
	return func(attempt *Attempt) time.Duration {
		if attempt.IsContinuation {
			return length
		}
		return 0
	}
}

// silentUntil has the first run be silent before an event from the one before until the given time after the continuation is sent, and end with
// the error; nil to go on.
func silentUntil(event int, after time.Duration, ended error) func(context.Context, int, int) error {
	return func(ctx context.Context, number, next int) error {
		if number != 1 || next != event {
			return nil
		}
		if err := sleepIn(ctx, streamSilenceFloor-copiedGap+after); err != nil {
			return err
		}
		return ended
	}
}

// checkContinued checks that the answer is complete, that the standby was asked as often as given, and that nothing ran from the beginning
// again.
func (r *continuityRouter) checkContinued(recorder string, aborted bool, continuations int) {
	c := r.runners.c
	c.Helper()
	c.Check(aborted, qt.IsFalse)
	c.Check(recorder, qt.Equals, events(1, copiedEvents))
	c.Check(r.runners.starts, qt.Equals, 1)
	c.Check(len(r.runners.attempts), qt.Equals, 1+continuations, qt.Commentf("%s", r.runners.describe()))
}

// Guards against a stream that two runners work on for longer than they may, or that is cut or joined of both runs, whatever the silent
// runner does while its standby has not answered yet.
func TestStreamIsHandedToStandbyOnce(t *testing.T) {
	const never = time.Hour
	for name, test := range map[string]struct {
		begins time.Duration
		cut    func(context.Context, int, int) error
	}{
		"silent for good":                                {0, silentUntil(4, never, nil)},
		"silent for good, slow standby":                  {maxOverlap - 10*time.Millisecond, silentUntil(4, never, nil)},
		"silent for good, standby that is silent itself": {time.Second, silentUntil(4, never, nil)},
		"goes on before the standby answers":             {100 * time.Millisecond, silentUntil(4, 50*time.Millisecond, nil)},
		"goes on and the standby is silent":              {time.Second, silentUntil(4, 50*time.Millisecond, nil)},
		"goes on at the last moment":                     {time.Second, silentUntil(4, maxOverlap, nil)},
		"breaks before the standby answers":              {100 * time.Millisecond, silentUntil(4, 50*time.Millisecond, errReset)},
		"breaks and the standby is silent":               {time.Second, silentUntil(4, 50*time.Millisecond, errReset)},
	} {
		t.Run(name, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				r.runners.begins, r.runners.cut = ofContinuation(test.begins), test.cut
				recorder, aborted := r.ask(t.Context(), copiedPath)
				r.checkContinued(recorder.Body.String(), aborted, 1)
				c.Check(r.counted("continuations_total"), qt.DeepEquals, map[string]float64{"served": 1})
				c.Check(r.counted("repeats_total"), qt.DeepEquals, map[string]float64{"true": 1})
			})
		})
	}
}

// Guards against a stream that runs on at a silent standby for longer than at the former runner: both would work on it for over
// formerRunGrace, whether the standby answers or not.
func TestSilentStandbyEndsFormerRunInTime(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		var sentAt time.Time
		r.runners.begins = func(attempt *Attempt) time.Duration {
			if !attempt.IsContinuation {
				return 0
			}
			sentAt = time.Now()
			return time.Second
		}
		var endedAt time.Time
		r.runners.cut = func(ctx context.Context, number, next int) error {
			if number != 1 || next != 4 {
				return nil
			}
			<-ctx.Done()
			endedAt = time.Now()
			return ctx.Err()
		}
		recorder, aborted := r.ask(t.Context(), copiedPath)
		r.checkContinued(recorder.Body.String(), aborted, 1)
		c.Check(endedAt.Sub(sentAt) < formerRunGrace, qt.IsTrue, qt.Commentf("%v", endedAt.Sub(sentAt)))
	})
}

// Guards against a stream that is taken from a runner that goes on before anything was sent to its standby, and against a copy that is lost by
// that: the stream can still be continued.
func TestRunnerThatGoesOnBeforeContinuationIsSentKeepsStream(t *testing.T) {
	for name, isLostLater := range map[string]bool{"goes on to the end": false, "is lost later": true} {
		t.Run(name, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				goesOn := silentUntil(4, 50*time.Millisecond, nil)
				r.runners.cut = func(ctx context.Context, number, next int) error {
					if isLostLater && number == 1 && next == 7 {
						return errReset
					}
					return goesOn(ctx, number, next)
				}
				r.runners.connects = ofContinuation(100 * time.Millisecond)
				recorder, aborted := r.ask(t.Context(), copiedPath)
				continuations := 0
				if isLostLater {
					continuations = 1
				}
				r.checkContinued(recorder.Body.String(), aborted, continuations)
			})
		})
	}
}

// Guards against a whole answer that is cut because its runner was silent before the end of it and the standby has nothing to add.
func TestStreamThatEndsWhileStandbyIsAskedIsWhole(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.cut = silentUntil(copiedEvents+1, 50*time.Millisecond, io.EOF)
		r.runners.begins = ofContinuation(100 * time.Millisecond)
		recorder, aborted := r.ask(t.Context(), copiedPath)
		r.checkContinued(recorder.Body.String(), aborted, 1)
	})
}

// Guards against a standby that is asked again and again, and uses up the retries of all requests, for a stream that it does not continue.
func TestStandbyThatRejectsIsAskedOnce(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.losesCopies = true
		r.runners.cut = silentUntil(4, 2*time.Second, nil)
		recorder, aborted := r.ask(t.Context(), copiedPath)
		r.checkContinued(recorder.Body.String(), aborted, 1)
		c.Check(r.counted("continuations_total"), qt.DeepEquals, map[string]float64{"no_copy": 1})
	})
}

// Guards against a continuation, or a count of it, that is left over when the caller leaves while the standby is asked.
func TestCallerLeavesWhileStandbyIsAsked(t *testing.T) {
	for name, after := range map[string]time.Duration{"before it is decided": maxOverlap / 2, "after that": 2 * maxOverlap} {
		t.Run(name, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				r.runners.cut = silentUntil(4, time.Hour, nil)
				r.runners.begins = func(attempt *Attempt) time.Duration {
					if !attempt.IsContinuation {
						return 0
					}
					time.AfterFunc(after, leave)
					return time.Second
				}
				_, aborted := r.ask(ctx, copiedPath)
				c.Check(aborted, qt.IsTrue)
				c.Check(r.countedRequests(), qt.DeepEquals, map[string]float64{reasonCallerLeft: 1})
			})
		})
	}
}

// probedRunners are copyingRunners that can be probed.
type probedRunners struct {
	*copyingRunners
	// silent is how long runners do not answer probes, and err what they answer.
	silent time.Duration
	err    error
	probes int
}

// Probe implements Prober.
func (p *probedRunners) Probe(ctx context.Context, _, _, _ string) error {
	p.probes++
	if err := sleepIn(ctx, p.silent); err != nil {
		return err
	}
	return p.err
}

// Guards against a stream that is cut because it was handed to a standby that is silent as well and rejects it once it goes on, and against
// one that a dead runner keeps although its standby answers.
func TestSilentStandbyIsNotAsked(t *testing.T) {
	const never = time.Hour
	for name, test := range map[string]struct {
		silent      time.Duration
		err         error
		losesCopies bool
		cut         func(context.Context, int, int) error
		isContinued bool
	}{
		"both silent, no copy":                        {never, nil, true, silentUntil(4, 300*time.Millisecond, nil), false},
		"both silent, copy":                           {never, nil, false, silentUntil(4, 300*time.Millisecond, nil), false},
		"runner silent for good":                      {20 * time.Millisecond, nil, false, silentUntil(4, never, nil), true},
		"runner silent for good, standby for a while": {time.Second, nil, false, silentUntil(4, never, nil), true},
		"runner breaks while the standby is silent":   {never, nil, false, silentUntil(4, 300*time.Millisecond, errReset), true},
		"another instance at the address":             {0, errReset, true, silentUntil(4, 300*time.Millisecond, nil), false},
	} {
		t.Run(name, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				runners := &probedRunners{copyingRunners: r.runners, silent: test.silent, err: test.err}
				r.options.Backend = runners
				// A standby that does not answer probes answers nothing else.
				r.runners.begins = ofContinuation(min(test.silent, time.Second))
				r.runners.losesCopies, r.runners.cut = test.losesCopies, test.cut
				recorder, aborted := r.ask(t.Context(), copiedPath)
				continuations := 0
				if test.isContinued {
					continuations = 1
				}
				r.checkContinued(recorder.Body.String(), aborted, continuations)
				c.Check(runners.probes > 0, qt.IsTrue)
				c.Check(test.err == nil || runners.probes == 1, qt.IsTrue, qt.Commentf("%d probes", runners.probes))
			})
		})
	}
}

// Guards against two runners that work on one request, as the standby began with it and its answer was lost.
func TestStandbyWhoseAnswerIsLostEndsFormerRun(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		var sentAt, endedAt time.Time
		r.runners.cut = func(ctx context.Context, number, next int) error {
			if number != 1 || next != 4 {
				return nil
			}
			err := sleepIn(ctx, streamSilenceFloor+3*time.Second)
			endedAt = time.Now()
			return err
		}
		r.runners.answer = func(_ context.Context, _ int, attempt *Attempt) (*Answer, error) {
			if attempt.IsContinuation {
				sentAt = time.Now()
				return nil, errReset
			}
			return nil, nil
		}
		r.ask(t.Context(), copiedPath)
		c.Assert(sentAt.IsZero(), qt.IsFalse)
		c.Check(endedAt.Sub(sentAt) < formerRunGrace, qt.IsTrue, qt.Commentf("%v later", endedAt.Sub(sentAt)))
	})
}

// Guards against the end of a whole answer that waits for the connect of a continuation that is not needed any more.
func TestEndOfStreamDoesNotWaitForStandby(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		var endedAt time.Time
		silent := silentUntil(copiedEvents+1, 50*time.Millisecond, io.EOF)
		r.runners.cut = func(ctx context.Context, number, next int) error {
			err := silent(ctx, number, next)
			if err != nil {
				endedAt = time.Now()
			}
			return err
		}
		r.runners.connects = ofContinuation(3 * time.Second)
		recorder, aborted := r.ask(t.Context(), copiedPath)
		c.Check(aborted, qt.IsFalse)
		c.Check(recorder.Body.String(), qt.Equals, events(1, copiedEvents))
		c.Check(time.Since(endedAt) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v later", time.Since(endedAt)))
	})
}
