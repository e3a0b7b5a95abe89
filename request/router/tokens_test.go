package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// TestCallerWithoutTokensIsToldWhenItHasThem: a request of 10 tokens is charged, and
// what it did not use comes back at its end.
func TestCallerWithoutTokensIsToldWhenItHasThem(t *testing.T) {
	ten := func(id structs.RequestID) func(*structs.Request) {
		return func(request *structs.Request) { request.ID, request.Caller, request.Prompt = id, "caller", "12345678" }
	}
	tests := []struct {
		about string
		// end ends the first request.
		end func(*script, SendAttempt)
		// wait is how long the second one has to.
		wait time.Duration
	}{
		{"still running", func(*script, SendAttempt) {}, 10 * time.Second},
		{"answered in two tokens", func(s *script, sent SendAttempt) {
			token(s, sent, 0)
			s.do(TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Index: 1, Finish: structs.FinishStop}})
		}, 4 * time.Second},
		{"caller gone after one token", func(s *script, sent SendAttempt) {
			token(s, sent, 0)
			s.do(CallerGone{ID: sent.Attempt.Request()})
		}, 3 * time.Second},
	}
	for _, limit := range []string{"caller", "row"} {
		for _, test := range tests {
			t.Run(limit+", "+test.about, func(t *testing.T) {
				s := newScript(t, func(options *Options) {
					rate := admission.TokenRate{PerSecond: 1, Burst: 10}
					if limit == "row" {
						options.RowTokens = rate
						return
					}
					options.CallerTokens = rate
				})
				s.arrive(ten("first"))
				test.end(s, only[SendAttempt](s))
				s.arrive(ten("second"))
				refusal := only[Refuse](s).Refusal
				s.c.Check(refusal.Error.Kind, qt.Equals, structs.ErrorLimit)
				s.c.Check(refusal.Execution, qt.Equals, structs.ExecutionNotRun)
				s.c.Check(refusal.Error.RetryAfter >= test.wait && refusal.Error.RetryAfter <= test.wait*11/10, qt.IsTrue, qt.Commentf("%v", refusal.Error.RetryAfter))
				s.now = s.now.Add(test.wait)
				s.arrive(ten("third"))
				s.c.Check(only[SendAttempt](s).Attempt.Request(), qt.Equals, structs.RequestID("third"))
			})
		}
	}
}

// TestRequestOverItsTokensReleasesItsKey: the key may be used once there are tokens.
func TestRequestOverItsTokensReleasesItsKey(t *testing.T) {
	s := newScript(t, func(options *Options) { options.CallerTokens = admission.TokenRate{PerSecond: 1, Burst: 10} })
	s.arrive(nil)
	s.arrive(func(request *structs.Request) {
		keyed(request)
		request.ID = "keyed"
	})
	begin := only[BeginClaim](s)
	s.do(ClaimReplied{ID: "keyed", Claim: &begin.Claim, New: true})
	s.c.Check(only[Refuse](s).Refusal.Execution, qt.Equals, structs.ExecutionNotRun)
	s.c.Check(only[FinishClaim](s).Claim.State, qt.Equals, structs.ClaimReleased)
}
