package router

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestKeyOfAnotherZoneIsClaimedThereAndExecutedHere(t *testing.T) {
	s := newScript(t, func(options *Options) { options.Session = 5 })
	s.arrive(func(r *structs.Request) { r.IdempotencyKey = "b:key" })
	begin := only[BeginClaim](s)
	s.c.Assert(begin.Claim.Home, qt.Equals, structs.ZoneID("b"))
	s.c.Assert(begin.Claim.HeldBy(), qt.Equals, structs.ClaimHolder{Daemon: "daemon", Session: 5})
	s.c.Assert(begin.Choice, qt.Equals, uint64(1))
	s.c.Assert(begin.Claim.Choice, qt.Equals, begin.Choice)
	s.do(ClaimReplied{ID: "id", Claim: &begin.Claim, New: true})
	sent := only[SendAttempt](s)
	s.c.Assert(begin.Claim.EngineRequest, qt.Equals, sent.Generate.ID)
	s.c.Assert(begin.Claim.Address, qt.Equals, sent.Address)
	s.do(TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Text: "all", Finish: structs.FinishStop}})
	s.c.Assert(only[FinishClaim](s).Claim.Home, qt.Equals, structs.ZoneID("b"))
	s.c.Assert(only[Finish](s).Finish, qt.Equals, structs.FinishStop)
}

func TestKeyWhoseHomeCannotBeReachedIsRefusedAsNotRun(t *testing.T) {
	unreachable := structs.NewError(structs.ErrorUnavailable, "cut off", "Wait.")
	unreachable.RetryAfter = 3 * time.Second
	for _, test := range []struct {
		about    string
		key      string
		granted  bool
		remedy   string
		releases int
	}{
		{"another zone's key", "b:key", false, `"a:"`, 0},
		{"own key", "a:key", false, "same key", 0},
		{"granted before the cut", "b:key", true, `"a:"`, 1},
	} {
		t.Run(test.about, func(t *testing.T) {
			s := newScript(t, nil)
			s.arrive(func(r *structs.Request) { r.IdempotencyKey = test.key })
			if test.granted {
				claim := only[BeginClaim](s).Claim
				s.do(ClaimReplied{ID: "id", Claim: &claim, New: true})
				s.do(AttemptFailed{Attempt: only[SendAttempt](s).Attempt, Stage: RejectedByEngine})
				s.now, _ = s.core.NextDeadline()
				s.do(Tick{})
				s.c.Assert(only[BeginClaim](s).Choice, qt.Equals, uint64(2))
			}
			s.do(ClaimReplied{ID: "id", Error: unreachable, NotAsked: true})
			rejection := only[Reject](s).Rejection
			s.c.Check(rejection.Execution, qt.Equals, structs.ExecutionNotRun)
			s.c.Check(rejection.Error.Remedy, qt.Contains, test.remedy)
			s.c.Check(rejection.Error.RetryAfter >= unreachable.RetryAfter, qt.IsTrue)
			s.c.Check(s.effects, qt.HasLen, 1+test.releases)
			s.c.Check(s.core.Idle(), qt.IsTrue)
		})
	}
}

// TestRunnerIsNamedInTheFirstOperationWhenOneIsFree also checks that only the first
// operation carries the holder's address.
func TestRunnerIsNamedInTheFirstOperationWhenOneIsFree(t *testing.T) {
	const address = "127.0.0.1:7"
	s := newScript(t, func(options *Options) { options.Address = address })
	s.arrive(keyed)
	begin := only[BeginClaim](s)
	s.c.Check(begin.Choice, qt.Equals, uint64(1))
	s.c.Check(begin.Claim.HolderAddress, qt.Equals, address)
	s.do(ClaimReplied{ID: "id", Claim: &begin.Claim, New: true})
	s.c.Check(only[SendAttempt](s).Runner, qt.Equals, begin.Claim.Runner)

	s = newScript(t, func(options *Options) { options.Address = address })
	s.arrive(func(r *structs.Request) { keyed(r); r.Row = "cold" })
	begin = only[BeginClaim](s)
	s.c.Check(begin.Claim.Runner, qt.Equals, structs.RunnerID(""))
	s.c.Check(begin.Claim.HolderAddress, qt.Equals, address)
	s.do(ClaimReplied{ID: "id", Claim: &begin.Claim, New: true})
	s.c.Check(s.effects, qt.HasLen, 0)
	view := testView(2, "row", "cold")
	view.Table = structs.TableDelta{}
	s.do(ViewChanged{View: view})
	begin = only[BeginClaim](s)
	s.c.Check(begin.Choice, qt.Equals, uint64(1))
	s.c.Check(begin.Claim.HolderAddress, qt.Equals, "")
}

func TestRequestIsNotSentAfterItsDeadline(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(keyed)
	claim := only[BeginClaim](s).Claim
	// The process was paused, and the reply is the first event after that.
	s.now = s.now.Add(time.Hour)
	s.do(ClaimReplied{ID: "id", Claim: &claim, New: true})
	s.c.Check(only[FinishClaim](s).Claim.State, qt.Equals, structs.ClaimReleased)
	s.c.Check(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionNotRun)
}

func TestEmbeddingAnswerFitsAnswerLimit(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(func(r *structs.Request) { r.IdempotencyKey, r.Embedding, r.MaxTokens = "a:key", true, 1 })
	claim := only[BeginClaim](s).Claim
	s.do(ClaimReplied{ID: "id", Claim: &claim, New: true})
	sent := only[SendAttempt](s)
	vector := strings.Repeat("0.123456789,", 4096)
	s.do(TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Text: vector, Finish: structs.FinishStop}})
	s.c.Check(only[FinishClaim](s).Claim.State, qt.Equals, structs.ClaimFinished)
}

func TestKeyWhoseAnswerIsNoLongerKeptDoesNotRunAgain(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(keyed)
	claim := only[BeginClaim](s).Claim
	claim.State, claim.Request = structs.ClaimFinished, "earlier"
	s.do(ClaimReplied{ID: "id", Claim: &claim})
	s.do(AnswerFetched{ID: only[FetchAnswer](s).ID})
	rejection := only[Reject](s).Rejection
	s.c.Check(rejection.Execution, qt.Equals, structs.ExecutionDone)
	s.c.Check(rejection.Error.Message, qt.Contains, "ran")
	s.c.Check(s.effects, qt.HasLen, 1)
}

func TestClaimHeldByAnotherRouterForSameRequestIsNotOwned(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(keyed)
	claim := only[BeginClaim](s).Claim
	claim.Holder, claim.HolderAddress = "another", "127.0.0.1:7"
	s.do(ClaimReplied{ID: "id", Claim: &claim})
	s.do(AnswerFetched{ID: only[FetchAnswer](s).ID})
	s.c.Check(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionUnknown)
	s.c.Check(s.effects, qt.HasLen, 1)
}
