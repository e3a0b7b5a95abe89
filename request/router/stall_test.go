package router

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// startRequest sends a request, grants its claim if it has a key, and returns its first
// attempt.
func startRequest(s *script, change func(*structs.Request)) SendAttempt {
	s.arrive(change)
	for len(s.effects) == 1 {
		begin, claims := s.effects[0].(BeginClaim)
		if !claims {
			break
		}
		s.do(ClaimReplied{ID: begin.ID, Claim: &begin.Claim, New: true})
	}
	return only[SendAttempt](s)
}

// advance ticks until the duration has passed or an attempt is sent, and collects the
// effects.
func advance(s *script, duration time.Duration) {
	var gathered []Effect
	for end := s.now.Add(duration); s.now.Before(end); {
		s.now = s.now.Add(20 * time.Millisecond)
		gathered = append(gathered, s.do(Tick{})...)
		if slices.ContainsFunc(gathered, isSendAttempt) {
			break
		}
	}
	s.effects = gathered
}

func isSendAttempt(effect Effect) bool {
	_, ok := effect.(SendAttempt)
	return ok
}

// stallWait is between one and two stall timeouts of a row without observations.
const stallWait = DefaultStallCeiling + admission.DefaultService + time.Second

func sendToken(s *script, sent SendAttempt, index int) {
	s.do(TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Index: index, Text: "word "}})
}

func TestSilentEngineIsLeftForAnother(t *testing.T) {
	for _, tokens := range []int{0, 1, 3} {
		s := newScript(t, nil)
		first := startRequest(s, nil)
		s.do(AttemptStarted{Attempt: first.Attempt})
		for index := range tokens {
			s.now = s.now.Add(50 * time.Millisecond)
			sendToken(s, first, index)
		}
		advance(s, stallWait)
		s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, first.Attempt)
		again := only[SendAttempt](s)
		s.c.Assert(again.Runner, qt.Not(qt.Equals), first.Runner)
		s.c.Assert(again.Generate.ResumeFrom, qt.Equals, tokens)
		s.c.Assert(s.core.Stats().Stalls, qt.Equals, uint64(1))
	}
}

func TestProgressingStreamIsNotStalled(t *testing.T) {
	tests := []struct {
		about  string
		change func(*script, SendAttempt)
	}{
		{"slow tokens", func(s *script, sent SendAttempt) {
			for index := range 6 {
				advance(s, 2*time.Second)
				sendToken(s, sent, index)
			}
		}},
		{"caller that reads slowly", func(s *script, sent SendAttempt) {
			sendToken(s, sent, 0)
			s.do(AttemptPaused{Attempt: sent.Attempt, Paused: true})
			advance(s, 15*time.Second)
			s.do(AttemptPaused{Attempt: sent.Attempt})
		}},
		{"long prompt", func(s *script, sent SendAttempt) { advance(s, stallWait) }},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s := newScript(t, nil)
			sent := startRequest(s, func(r *structs.Request) {
				if test.about == "long prompt" {
					r.Prompt = string(make([]byte, 60_000))
				}
			})
			test.change(s, sent)
			s.c.Assert(s.core.Stats().Stalls, qt.Equals, uint64(0))
			s.c.Assert(s.core.Stats().Attempts, qt.Equals, uint64(1))
		})
	}
}

// TestSilentEngineWithoutRetriesIsAskedAndGivenUp checks that a request that cannot be
// retried is rejected once its engine makes no progress, not at its deadline.
func TestSilentEngineWithoutRetriesIsAskedAndGivenUp(t *testing.T) {
	spent := map[string]func(*Options){
		"attempts": func(options *Options) { options.AttemptLimit = 1 },
		"budget":   func(options *Options) { options.RetryReserve = 0.5 },
	}
	replies := map[string]structs.RequestStatus{
		"finished, its last token lost": {State: structs.RunFinished, Incarnation: 7, Started: true, Tokens: 4},
		"runs without progress":         {State: structs.RunRunning, Incarnation: 7, Started: true, Tokens: 1},
		"accepted and queued":           {State: structs.RunQueued, Incarnation: 7},
		"unknown":                       {State: structs.RunUnknown, Incarnation: 7},
		"another incarnation":           {State: structs.RunRunning, Incarnation: 8, Started: true, Tokens: 9},
		"no answer":                     {},
	}
	for used, change := range spent {
		for about, status := range replies {
			t.Run(used+": "+about, func(t *testing.T) {
				s, sent, reply := stalledRequest(t, 1, change, func(*structs.Request) {})
				if status.State == "" {
					advance(s, peekTimeout)
				} else {
					s.do(withStatus(reply, status))
				}
				s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
				rejection := only[Reject](s).Rejection
				s.c.Assert(rejection.Execution, qt.Equals, structs.ExecutionPartial)
				s.c.Assert(rejection.Error.RetryAfter >= MinRetryAfter, qt.IsTrue)
				s.c.Assert(s.core.Idle(), qt.IsTrue)
			})
		}
	}
}

// TestSilentEngineWithoutRetriesIsAwaitedWhileItProgresses checks that the stream
// continues, and that reported progress extends the wait only once.
func TestSilentEngineWithoutRetriesIsAwaitedWhileItProgresses(t *testing.T) {
	s, sent, reply := stalledRequest(t, 1, func(options *Options) { options.AttemptLimit = 1 }, func(*structs.Request) {})
	running := structs.RequestStatus{State: structs.RunRunning, Incarnation: 7, Started: true, Tokens: 3}
	s.do(withStatus(reply, running))
	s.c.Assert(s.effects, qt.HasLen, 0)
	sendToken(s, sent, 1)
	s.c.Assert(only[*Deliver](s).Token.Index, qt.Equals, 1)
	advance(s, DefaultStallCeiling+time.Second)
	s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	s.do(withStatus(reply, running))
	s.c.Assert(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionPartial)
}

// TestSilentEngineIsAbandonedOnceBudgetAllowsRetry covers a budget that is empty when the
// status is requested and refilled when the reply arrives.
func TestSilentEngineIsAbandonedOnceBudgetAllowsRetry(t *testing.T) {
	s := newScript(t, func(options *Options) { options.RetryReserve, options.RetryRatio = 1, 1 })
	sent := startRequest(s, nil)
	sendToken(s, sent, 0)
	s.c.Assert(s.core.rows["row"].budget.Withdraw(), qt.IsTrue)
	advance(s, DefaultStallCeiling+time.Second)
	s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	s.arrive(func(request *structs.Request) { request.ID = "another" })
	s.do(withStatus(StatusReplied{ID: "id", Attempt: sent.Attempt, Peek: true}, structs.RequestStatus{State: structs.RunFinished, Incarnation: 7}))
	advance(s, time.Second)
	again := only[SendAttempt](s)
	s.c.Assert(again.Attempt.Request(), qt.Equals, structs.RequestID("id"))
	s.c.Assert(again.Generate.ResumeFrom, qt.Equals, 1)
}

// stalledKeyedRequest is stalledRequest for a request with a key.
func stalledKeyedRequest(t *testing.T, tokens int, change func(*Options)) (*script, SendAttempt, StatusReplied) {
	return stalledRequest(t, tokens, change, keyed)
}

// stalledRequest sends a request, delivers some tokens and advances until its silent
// engine is asked for the status.
func stalledRequest(t *testing.T, tokens int, change func(*Options), shape func(*structs.Request)) (*script, SendAttempt, StatusReplied) {
	s := newScript(t, change)
	sent := startRequest(s, func(request *structs.Request) {
		shape(request)
		request.DeadlineAt = request.DeadlineAt.Add(time.Minute)
	})
	for index := range tokens {
		sendToken(s, sent, index)
	}
	if tokens > 0 {
		// The stall timeout after a token is at most DefaultStallCeiling.
		advance(s, DefaultStallCeiling+time.Second)
	} else {
		advance(s, stallWait)
	}
	peek := only[AskStatus](s)
	s.c.Assert(peek.Peek, qt.IsTrue)
	s.c.Assert(s.effects, qt.HasLen, 1)
	return s, sent, StatusReplied{ID: sent.Attempt.Request(), Attempt: sent.Attempt, Peek: true}
}

// withStatus returns the reply with the status of the attempt.
func withStatus(reply StatusReplied, status structs.RequestStatus) StatusReplied {
	status.ID = structs.RequestID(reply.Attempt)
	reply.Status = &status
	return reply
}

// TestSilentEngineWithKeyThatHasNotStarted checks that the attempt is cancelled, and sent
// to another engine under the same claim only after it is fenced.
func TestSilentEngineWithKeyThatHasNotStarted(t *testing.T) {
	for _, state := range []structs.RunState{structs.RunQueued, structs.RunUnknown} {
		s, sent, reply := stalledKeyedRequest(t, 0, nil)
		reply = withStatus(reply, structs.RequestStatus{State: state, Incarnation: 7})
		s.do(reply)
		s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
		s.c.Assert(only[AskStatus](s).Peek, qt.IsFalse)
		s.do(reply)
		advance(s, time.Second)
		s.c.Assert(s.effects, qt.HasLen, 0, qt.Commentf("the reply to a peek does not fence the attempt"))
		fenced := withStatus(reply, structs.RequestStatus{State: structs.RunCancelled, Incarnation: 7})
		fenced.Peek = false
		s.do(fenced)
		advance(s, time.Second)
		again := only[BeginClaim](s)
		s.c.Assert(again.Choice, qt.Equals, uint64(2))
		s.do(ClaimReplied{ID: "id", Claim: &again.Claim, New: true})
		s.c.Assert(only[SendAttempt](s).Runner, qt.Not(qt.Equals), sent.Runner)
	}
}

// TestSilentEngineWithKeyWithoutRetries checks that a request that certainly did not run
// and cannot be retried is rejected as not run immediately.
func TestSilentEngineWithKeyWithoutRetries(t *testing.T) {
	s, _, reply := stalledKeyedRequest(t, 0, func(options *Options) { options.AttemptLimit = 1 })
	s.do(withStatus(reply, structs.RequestStatus{State: structs.RunQueued, Incarnation: 7}))
	fenced := withStatus(reply, structs.RequestStatus{State: structs.RunCancelled, Incarnation: 7})
	fenced.Peek = false
	s.do(fenced)
	rejection := only[Reject](s).Rejection
	s.c.Assert(rejection.Execution, qt.Equals, structs.ExecutionNotRun)
	s.c.Assert(rejection.Error.RetryAfter > 0, qt.IsTrue)
	s.c.Assert(only[FinishClaim](s).Claim.State, qt.Equals, structs.ClaimReleased)
}

// TestSilentEngineWithKeyThatHasStarted checks that the request is rejected immediately,
// because it can only end as outcome_unknown.
func TestSilentEngineWithKeyThatHasStarted(t *testing.T) {
	tests := []struct {
		about  string
		tokens int
		status structs.RequestStatus
	}{
		{"before the first token", 0, structs.RequestStatus{State: structs.RunRunning, Incarnation: 7, Started: true}},
		{"after some tokens", 3, structs.RequestStatus{State: structs.RunRunning, Incarnation: 7, Started: true, Tokens: 3}},
		{"finished", 1, structs.RequestStatus{State: structs.RunFinished, Incarnation: 7, Started: true, Tokens: 4}},
		{"forgotten after some tokens", 1, structs.RequestStatus{State: structs.RunUnknown, Incarnation: 8}},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s, sent, reply := stalledKeyedRequest(t, test.tokens, nil)
			s.do(withStatus(reply, test.status))
			s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
			s.c.Assert(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionUnknown)
			s.c.Assert(only[FinishClaim](s).Claim.State, qt.Equals, structs.ClaimUnknown)
			s.c.Assert(s.core.Idle(), qt.IsTrue)
		})
	}
}

// TestSilentEngineWithKeyThatNobodyCanAsk checks that the number of status requests is
// bounded, whether they fail or are not answered.
func TestSilentEngineWithKeyThatNobodyCanAsk(t *testing.T) {
	for _, answers := range []bool{true, false} {
		s, sent, reply := stalledKeyedRequest(t, 0, nil)
		reply.Error = structs.NewError(structs.ErrorUnavailable, "no answer", "Ask again.")
		if answers {
			s.do(reply)
		} else {
			advance(s, peekTimeout)
		}
		s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
		reply.Peek = false
		for range DefaultStatusLimit - 1 {
			s.c.Assert(only[AskStatus](s).Peek, qt.IsFalse)
			s.do(reply)
			advance(s, time.Second)
		}
		s.do(reply)
		s.c.Assert(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionUnknown)
	}
}

// TestStalledKeyedStreamIsAwaitedWhileItsEngineProgresses checks that the stream is
// awaited as long as the engine reports progress.
func TestStalledKeyedStreamIsAwaitedWhileItsEngineProgresses(t *testing.T) {
	s, sent, reply := stalledKeyedRequest(t, 1, nil)
	running := structs.RequestStatus{State: structs.RunRunning, Incarnation: 7, Started: true, Tokens: 5}
	s.do(withStatus(reply, running))
	s.c.Assert(s.effects, qt.HasLen, 0)
	advance(s, DefaultStallCeiling+time.Second)
	s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	sendToken(s, sent, 1)
	s.do(withStatus(reply, running))
	s.c.Assert(s.effects, qt.HasLen, 0, qt.Commentf("a token arrived after the status request"))
	advance(s, DefaultStallCeiling+time.Second)
	s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	s.do(withStatus(reply, running))
	s.c.Assert(s.effects, qt.HasLen, 0)
	advance(s, DefaultStallCeiling+time.Second)
	s.do(withStatus(reply, running))
	s.c.Assert(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionUnknown)
}

// TestStatusOfBrokenAttemptIsAskedOnce checks that the stall check of an attempt ends
// with the attempt.
func TestStatusOfBrokenAttemptIsAskedOnce(t *testing.T) {
	s := newScript(t, nil)
	sent := startRequest(s, keyed)
	s.do(AttemptFailed{Attempt: sent.Attempt, Stage: Broken})
	s.c.Assert(only[AskStatus](s).Attempt, qt.Equals, sent.Attempt)
	advance(s, stallWait)
	s.c.Assert(s.effects, qt.HasLen, 0)
}
