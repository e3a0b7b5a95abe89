package router

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/admission"
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

func TestSilentEngineIsWaitedForWithoutRetries(t *testing.T) {
	s := newScript(t, func(options *Options) { options.AttemptLimit = 1 })
	sent := sendNew(s, nil)
	pass(s, 10*time.Second)
	s.c.Assert(s.effects, qt.HasLen, 0)
	token(s, sent, 0)
	s.c.Assert(only[*Deliver](s).Token.Index, qt.Equals, 0)
}

// TestSilentEngineWithKey: a request with a key is cancelled only if the engine
// says that it has not started, and is sent again only once that is fenced.
func TestSilentEngineWithKey(t *testing.T) {
	tests := []struct {
		about   string
		status  *structs.RequestStatus
		cancels bool
	}{
		{"not started", &structs.RequestStatus{State: structs.RunQueued, Incarnation: 7}, true},
		{"never heard of", &structs.RequestStatus{State: structs.RunUnknown, Incarnation: 7}, true},
		{"started", &structs.RequestStatus{State: structs.RunRunning, Incarnation: 7, Started: true}, false},
		{"no answer", nil, false},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s := newScript(t, nil)
			sent := sendNew(s, keyed)
			pass(s, silence)
			peek := only[AskStatus](s)
			s.c.Assert(peek.Peek, qt.IsTrue)
			s.c.Assert(s.effects, qt.HasLen, 1)
			reply := StatusReplied{ID: "id", Attempt: sent.Attempt, Status: test.status, Peek: true}
			if test.status != nil {
				test.status.ID = structs.RequestID(sent.Attempt)
			} else {
				reply.Error = structs.NewError(structs.ErrorUnavailable, "no answer", "Ask again.")
			}
			s.do(reply)
			if !test.cancels {
				s.c.Assert(s.effects, qt.HasLen, 0)
				return
			}
			s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
			s.c.Assert(only[AskStatus](s).Peek, qt.IsFalse)
			s.do(reply)
			pass(s, time.Second)
			s.c.Assert(s.effects, qt.HasLen, 0, qt.Commentf("the first answer fences nothing"))
			fenced := *test.status
			fenced.State = structs.RunCancelled
			s.do(StatusReplied{ID: "id", Attempt: sent.Attempt, Status: &fenced})
			pass(s, time.Second)
			again := only[BeginClaim](s)
			s.do(ClaimReplied{ID: "id", Claim: &again.Claim, New: true})
			s.c.Assert(only[SendAttempt](s).Runner, qt.Not(qt.Equals), sent.Runner)
		})
	}
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
