package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// TestRetryAfterOfTokenLimitAccountsForRefunds charges requests of 10 tokens, whose
// unused tokens are refunded when they end.
func TestRetryAfterOfTokenLimitAccountsForRefunds(t *testing.T) {
	ten := func(id structs.RequestID) func(*structs.Request) {
		return func(request *structs.Request) { request.ID, request.Caller, request.Prompt = id, "caller", "12345678" }
	}
	tests := []struct {
		about string
		// end may end the first request.
		end func(*script, SendAttempt)
		// wait is the expected RetryAfter of the second request.
		wait time.Duration
	}{
		{"still running", func(*script, SendAttempt) {}, 10 * time.Second},
		{"answered in two tokens", func(s *script, sent SendAttempt) {
			sendToken(s, sent, 0)
			s.do(TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Index: 1, Finish: structs.FinishStop}})
		}, 4 * time.Second},
		{"caller disconnected after one token", func(s *script, sent SendAttempt) {
			sendToken(s, sent, 0)
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
				rejection := only[Reject](s).Rejection
				s.c.Check(rejection.Error.Kind, qt.Equals, structs.ErrorLimit)
				s.c.Check(rejection.Execution, qt.Equals, structs.ExecutionNotRun)
				s.c.Check(rejection.Error.RetryAfter >= test.wait && rejection.Error.RetryAfter <= test.wait*11/10, qt.IsTrue, qt.Commentf("%v", rejection.Error.RetryAfter))
				s.now = s.now.Add(test.wait)
				s.arrive(ten("third"))
				s.c.Check(only[SendAttempt](s).Attempt.Request(), qt.Equals, structs.RequestID("third"))
			})
		}
	}
}

// TestRequestOverTokenLimitReleasesItsKey checks that the key can be used again once
// tokens are available.
func TestRequestOverTokenLimitReleasesItsKey(t *testing.T) {
	s := newScript(t, func(options *Options) { options.CallerTokens = admission.TokenRate{PerSecond: 1, Burst: 10} })
	s.arrive(nil)
	s.arrive(func(request *structs.Request) {
		keyed(request)
		request.ID = "keyed"
	})
	begin := only[BeginClaim](s)
	s.do(ClaimReplied{ID: "keyed", Claim: &begin.Claim, New: true})
	s.c.Check(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionNotRun)
	s.c.Check(only[FinishClaim](s).Claim.State, qt.Equals, structs.ClaimReleased)
}
