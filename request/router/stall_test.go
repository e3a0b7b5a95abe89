package router

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// sendNew brings a request to its first attempt, through its claim if it has a key.
func sendNew(s *script, change func(*structs.Request)) SendAttempt {
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

// pass lets time pass in ticks of the daemon's length, up to the next attempt,
// and gathers the effects.
func pass(s *script, duration time.Duration) {
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

// silence is longer than a row without history lets an engine be silent, and
// shorter than twice that.
const silence = DefaultStallCeiling + admission.DefaultService + time.Second

func token(s *script, sent SendAttempt, index int) {
	s.do(TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Index: index, Text: "word "}})
}

func TestSilentEngineIsLeftForAnother(t *testing.T) {
	for _, tokens := range []int{0, 1, 3} {
		s := newScript(t, nil)
		first := sendNew(s, nil)
		s.do(AttemptStarted{Attempt: first.Attempt})
		for index := range tokens {
			s.now = s.now.Add(50 * time.Millisecond)
			token(s, first, index)
		}
		pass(s, silence)
		s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, first.Attempt)
		again := only[SendAttempt](s)
		s.c.Assert(again.Runner, qt.Not(qt.Equals), first.Runner)
		s.c.Assert(again.Generate.ResumeFrom, qt.Equals, tokens)
		s.c.Assert(s.core.Stats().Stalls, qt.Equals, uint64(1))
	}
}

func TestStreamThatGoesOnIsNoStall(t *testing.T) {
	tests := []struct {
		about  string
		change func(*script, SendAttempt)
	}{
		{"slow tokens", func(s *script, sent SendAttempt) {
			for index := range 6 {
				pass(s, 2*time.Second)
				token(s, sent, index)
			}
		}},
		{"caller that reads slowly", func(s *script, sent SendAttempt) {
			token(s, sent, 0)
			s.do(AttemptPaused{Attempt: sent.Attempt, Paused: true})
			pass(s, 15*time.Second)
			s.do(AttemptPaused{Attempt: sent.Attempt})
		}},
		{"long prompt", func(s *script, sent SendAttempt) { pass(s, silence) }},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s := newScript(t, nil)
			sent := sendNew(s, func(r *structs.Request) {
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

// TestSilentEngineWithoutRetriesIsAskedAndGivenUp: a request that cannot be tried
// again waits only as long as its engine says that it makes tokens, not until its
// deadline.
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
				s, sent, reply := silentAsked(t, 1, change, func(*structs.Request) {})
				if status.State == "" {
					pass(s, peekLimit)
				} else {
					s.do(answered(reply, status))
				}
				s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
				refusal := only[Refuse](s).Refusal
				s.c.Assert(refusal.Execution, qt.Equals, structs.ExecutionPartial)
				s.c.Assert(refusal.Error.RetryAfter >= MinimumRetryAfter, qt.IsTrue)
				s.c.Assert(s.core.Idle(), qt.IsTrue)
			})
		}
	}
}

// TestSilentEngineWithoutRetriesThatMakesTokensIsWaitedFor: the stream goes on where
// it was, and progress counts once.
func TestSilentEngineWithoutRetriesThatMakesTokensIsWaitedFor(t *testing.T) {
	s, sent, reply := silentAsked(t, 1, func(options *Options) { options.AttemptLimit = 1 }, func(*structs.Request) {})
	running := structs.RequestStatus{State: structs.RunRunning, Incarnation: 7, Started: true, Tokens: 3}
	s.do(answered(reply, running))
	s.c.Assert(s.effects, qt.HasLen, 0)
	token(s, sent, 1)
	s.c.Assert(only[*Deliver](s).Token.Index, qt.Equals, 1)
	pass(s, DefaultStallCeiling+time.Second)
	s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	s.do(answered(reply, running))
	s.c.Assert(only[Refuse](s).Refusal.Execution, qt.Equals, structs.ExecutionPartial)
}

// TestSilentEngineIsLeftOnceTheBudgetHasARetry: a retry that was not to be had at the
// question may be there at the answer.
func TestSilentEngineIsLeftOnceTheBudgetHasARetry(t *testing.T) {
	s := newScript(t, func(options *Options) { options.RetryReserve, options.RetryRatio = 1, 1 })
	sent := sendNew(s, nil)
	token(s, sent, 0)
	s.c.Assert(s.core.rows["row"].budget.Withdraw(), qt.IsTrue)
	pass(s, DefaultStallCeiling+time.Second)
	s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	s.arrive(func(request *structs.Request) { request.ID = "another" })
	s.do(answered(StatusReplied{ID: "id", Attempt: sent.Attempt, Peek: true}, structs.RequestStatus{State: structs.RunFinished, Incarnation: 7}))
	pass(s, time.Second)
	again := only[SendAttempt](s)
	s.c.Assert(again.Attempt.Request(), qt.Equals, structs.RequestID("id"))
	s.c.Assert(again.Generate.ResumeFrom, qt.Equals, 1)
}

// silentWithKey brings a request with a key, after some tokens, to the question
// whether its silent engine runs it.
func silentWithKey(t *testing.T, tokens int, change func(*Options)) (*script, SendAttempt, StatusReplied) {
	return silentAsked(t, tokens, change, keyed)
}

// silentAsked brings a request, after some tokens, to that question.
func silentAsked(t *testing.T, tokens int, change func(*Options), shape func(*structs.Request)) (*script, SendAttempt, StatusReplied) {
	s := newScript(t, change)
	sent := sendNew(s, func(request *structs.Request) {
		shape(request)
		request.DeadlineAt = request.DeadlineAt.Add(time.Minute)
	})
	for index := range tokens {
		token(s, sent, index)
	}
	if tokens > 0 {
		// A silence after tokens is noticed no later than this.
		pass(s, DefaultStallCeiling+time.Second)
	} else {
		pass(s, silence)
	}
	peek := only[AskStatus](s)
	s.c.Assert(peek.Peek, qt.IsTrue)
	s.c.Assert(s.effects, qt.HasLen, 1)
	return s, sent, StatusReplied{ID: sent.Attempt.Request(), Attempt: sent.Attempt, Peek: true}
}

// answered is the reply with what the engine knows of the attempt.
func answered(reply StatusReplied, status structs.RequestStatus) StatusReplied {
	status.ID = structs.RequestID(reply.Attempt)
	reply.Status = &status
	return reply
}

// TestSilentEngineWithKeyThatHasNotStarted: it is cancelled, and sent elsewhere
// under the same claim only once that is fenced.
func TestSilentEngineWithKeyThatHasNotStarted(t *testing.T) {
	for _, state := range []structs.RunState{structs.RunQueued, structs.RunUnknown} {
		s, sent, reply := silentWithKey(t, 0, nil)
		reply = answered(reply, structs.RequestStatus{State: state, Incarnation: 7})
		s.do(reply)
		s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
		s.c.Assert(only[AskStatus](s).Peek, qt.IsFalse)
		s.do(reply)
		pass(s, time.Second)
		s.c.Assert(s.effects, qt.HasLen, 0, qt.Commentf("the first answer fences nothing"))
		fenced := answered(reply, structs.RequestStatus{State: structs.RunCancelled, Incarnation: 7})
		fenced.Peek = false
		s.do(fenced)
		pass(s, time.Second)
		again := only[BeginClaim](s)
		s.c.Assert(again.Choice, qt.Equals, uint64(2))
		s.do(ClaimReplied{ID: "id", Claim: &again.Claim, New: true})
		s.c.Assert(only[SendAttempt](s).Runner, qt.Not(qt.Equals), sent.Runner)
	}
}

// TestSilentEngineWithKeyWithoutRetries: what certainly did not run and may not be
// sent again is refused as not run as soon as that is known.
func TestSilentEngineWithKeyWithoutRetries(t *testing.T) {
	s, _, reply := silentWithKey(t, 0, func(options *Options) { options.AttemptLimit = 1 })
	s.do(answered(reply, structs.RequestStatus{State: structs.RunQueued, Incarnation: 7}))
	fenced := answered(reply, structs.RequestStatus{State: structs.RunCancelled, Incarnation: 7})
	fenced.Peek = false
	s.do(fenced)
	refusal := only[Refuse](s).Refusal
	s.c.Assert(refusal.Execution, qt.Equals, structs.ExecutionNotRun)
	s.c.Assert(refusal.Error.RetryAfter > 0, qt.IsTrue)
	s.c.Assert(only[FinishClaim](s).Claim.State, qt.Equals, structs.ClaimReleased)
}

// TestSilentEngineWithKeyThatHasStarted: it could only end as outcome_unknown, so
// that is said at once.
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
			s, sent, reply := silentWithKey(t, test.tokens, nil)
			s.do(answered(reply, test.status))
			s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
			s.c.Assert(only[Refuse](s).Refusal.Execution, qt.Equals, structs.ExecutionUnknown)
			s.c.Assert(only[FinishClaim](s).Claim.State, qt.Equals, structs.ClaimUnknown)
			s.c.Assert(s.core.Idle(), qt.IsTrue)
		})
	}
}

// TestSilentEngineWithKeyThatNobodyCanAsk: the engine is asked a bounded number of
// times, whether it answers with a failure or not at all.
func TestSilentEngineWithKeyThatNobodyCanAsk(t *testing.T) {
	for _, answers := range []bool{true, false} {
		s, sent, reply := silentWithKey(t, 0, nil)
		reply.Error = structs.NewError(structs.ErrorUnavailable, "no answer", "Ask again.")
		if answers {
			s.do(reply)
		} else {
			pass(s, peekLimit)
		}
		s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
		reply.Peek = false
		for range DefaultStatusLimit - 1 {
			s.c.Assert(only[AskStatus](s).Peek, qt.IsFalse)
			s.do(reply)
			pass(s, time.Second)
		}
		s.do(reply)
		s.c.Assert(only[Refuse](s).Refusal.Execution, qt.Equals, structs.ExecutionUnknown)
	}
}

// TestSilentStreamWithKeyThatGoesOnAtItsEngine is waited for as long as the engine
// says that it makes tokens.
func TestSilentStreamWithKeyThatGoesOnAtItsEngine(t *testing.T) {
	s, sent, reply := silentWithKey(t, 1, nil)
	running := structs.RequestStatus{State: structs.RunRunning, Incarnation: 7, Started: true, Tokens: 5}
	s.do(answered(reply, running))
	s.c.Assert(s.effects, qt.HasLen, 0)
	pass(s, DefaultStallCeiling+time.Second)
	s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	token(s, sent, 1)
	s.do(answered(reply, running))
	s.c.Assert(s.effects, qt.HasLen, 0, qt.Commentf("the stream was heard of after the question"))
	pass(s, DefaultStallCeiling+time.Second)
	s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	s.do(answered(reply, running))
	s.c.Assert(s.effects, qt.HasLen, 0)
	pass(s, DefaultStallCeiling+time.Second)
	s.do(answered(reply, running))
	s.c.Assert(only[Refuse](s).Refusal.Execution, qt.Equals, structs.ExecutionUnknown)
}

// TestBrokenAttemptIsAskedAboutOnce: the watch over an attempt ends with it.
func TestBrokenAttemptIsAskedAboutOnce(t *testing.T) {
	s := newScript(t, nil)
	sent := sendNew(s, keyed)
	s.do(AttemptFailed{Attempt: sent.Attempt, Stage: Broken})
	s.c.Assert(only[AskStatus](s).Attempt, qt.Equals, sent.Attempt)
	pass(s, silence)
	s.c.Assert(s.effects, qt.HasLen, 0)
}
