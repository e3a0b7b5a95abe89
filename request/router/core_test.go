package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// script passes events to a Core at a settable time and stores the effects of the last
// one.
type script struct {
	c       *qt.C
	core    *Core
	now     time.Time
	effects []Effect
}

func newScript(t testing.TB, change func(*Options)) *script {
	options := Options{Zone: "a", Zones: []structs.ZoneID{"a", "b"}, Daemon: "daemon", Random: rand.New(rand.NewPCG(1, 1))}
	if change != nil {
		change(&options)
	}
	s := &script{c: qt.New(t), core: New(options), now: testStart}
	s.do(ViewChanged{View: testView(2, "row")})
	return s
}

func (s *script) do(event Event) []Effect {
	s.effects = slices.Clone(s.core.Step(s.now, event))
	return s.effects
}

func (s *script) arrive(change func(*structs.Request)) []Effect {
	request := structs.Request{ID: "id", Row: "row", Prompt: "prompt", MaxTokens: 8, DeadlineAt: s.now.Add(20 * time.Second)}
	if change != nil {
		change(&request)
	}
	return s.do(Arrived{Request: request})
}

func keyed(request *structs.Request) { request.IdempotencyKey = "a:key" }

// only returns the single effect of type E among the last effects.
func only[E Effect](s *script) E {
	var found []E
	for _, effect := range s.effects {
		if typed, ok := effect.(E); ok {
			found = append(found, typed)
		}
	}
	s.c.Assert(found, qt.HasLen, 1, qt.Commentf("%+v", s.effects))
	return found[0]
}

func TestArrivalIsRejectedImmediatelyWhenItCannotBeServed(t *testing.T) {
	tests := []struct {
		about  string
		before []Event
		change func(*structs.Request)
		kind   structs.ErrorKind
		retry  bool
	}{
		{"row not in the table", nil, func(r *structs.Request) { r.Row = "absent" }, structs.ErrorNotFound, false},
		{"draining", []Event{DrainStarted{}}, nil, structs.ErrorUnavailable, true},
		{"deadline passed", nil, func(r *structs.Request) { r.DeadlineAt = testStart }, structs.ErrorDeadline, true},
		{"cold load would end after the deadline", nil, func(r *structs.Request) { r.Row, r.DeadlineAt = "cold", testStart.Add(time.Second) }, structs.ErrorDeadline, true},
		{"row not in the table, with a key of another zone", nil, func(r *structs.Request) { r.Row, r.IdempotencyKey = "absent", "b:key" }, structs.ErrorNotFound, false},
		{"row without replicas allowed", []Event{ViewChanged{View: structs.ZoneView{Table: structs.TableDelta{SinceRevision: 1, Revision: 2, Rows: []structs.Row{{Name: "none"}}}}}},
			func(r *structs.Request) { r.Row = "none" }, structs.ErrorLimit, false},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s := newScript(t, nil)
			for _, event := range test.before {
				s.do(event)
			}
			s.arrive(test.change)
			rejection := only[Reject](s).Rejection
			s.c.Check(rejection.Error.Kind, qt.Equals, test.kind)
			s.c.Check(rejection.Execution, qt.Equals, structs.ExecutionNotRun)
			s.c.Check(rejection.Error.RetryAfter > 0, qt.Equals, test.retry)
			s.c.Check(rejection.Error.Remedy, qt.Not(qt.Equals), "")
			s.c.Check(s.core.Idle(), qt.IsTrue)
		})
	}
}

func TestForwarding(t *testing.T) {
	elsewhere := structs.TableDelta{SinceRevision: 1, Revision: 2,
		Rows:      []structs.Row{{Name: "far", MaxReplicas: 1}},
		Elsewhere: []structs.RowZones{{Row: "far", Zones: []structs.ZoneID{"a", "b"}}}}
	tests := []struct {
		about    string
		change   func(*structs.Request)
		forwards bool
	}{
		{"row granted to another zone", func(r *structs.Request) { r.Row = "far" }, true},
		{"not twice", func(r *structs.Request) { r.Row, r.Forwarded = "far", true }, false},
		{"key of another zone for a row served here", func(r *structs.Request) { r.IdempotencyKey = "b:key" }, false},
		{"key of another zone for a row granted to another zone", func(r *structs.Request) { r.IdempotencyKey, r.Row = "b:key", "far" }, true},
		{"own key for a row granted to another zone", func(r *structs.Request) { r.IdempotencyKey, r.Row = "a:key", "far" }, true},
		{"forwarded key of another zone", func(r *structs.Request) { r.IdempotencyKey, r.Forwarded = "b:key", true }, false},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s := newScript(t, nil)
			s.do(ViewChanged{View: structs.ZoneView{Table: elsewhere}})
			s.arrive(test.change)
			if !test.forwards {
				s.c.Assert(slices.ContainsFunc(s.effects, isForward), qt.IsFalse)
				return
			}
			s.c.Assert(only[Forward](s).Zones, qt.DeepEquals, []structs.ZoneID{"b"})
			s.do(ForwardFailed{ID: "id", Repeatable: true, Stage: NotSent})
			s.c.Assert(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionNotRun)
		})
	}
}

func isForward(effect Effect) bool {
	_, ok := effect.(Forward)
	return ok
}

func TestRepeatedKeyIsHandledByStateOfItsClaim(t *testing.T) {
	digest := RequestDigest(structs.Request{Row: "row", Prompt: "prompt", MaxTokens: 8})
	kept := []byte("kept")
	of := func(state structs.ClaimState, holder structs.DaemonID) structs.Claim {
		claim := structs.Claim{State: state, Digest: digest, Request: "earlier", Holder: holder, HolderAddress: "127.0.0.1:7"}
		if state == structs.ClaimFinished {
			claim.Answer = MarkAnswer(kept)
		}
		return claim
	}
	nowhere := of(structs.ClaimHeld, "another")
	nowhere.HolderAddress = ""
	tests := []struct {
		about string
		claim structs.Claim
		// fetched is nil when the answer is not asked for.
		fetched   *AnswerFetched
		execution structs.Execution
		retry     bool
	}{
		{"outcome unknown", structs.Claim{State: structs.ClaimUnknown, Digest: digest}, nil, structs.ExecutionUnknown, false},
		{"used for another request", structs.Claim{State: structs.ClaimFinished, Digest: digest + 1}, nil, structs.ExecutionNotRun, false},
		{"finished, without a holder", structs.Claim{State: structs.ClaimFinished, Digest: digest}, nil, structs.ExecutionDone, false},
		{"in progress at a router without an address", nowhere, nil, structs.ExecutionUnknown, true},
		{"finished, answer stored", of(structs.ClaimFinished, "another"), &AnswerFetched{Answer: kept}, "", false},
		{"finished, answer stored here", of(structs.ClaimFinished, "daemon"), &AnswerFetched{Answer: kept}, "", false},
		{"finished, answer no longer stored", of(structs.ClaimFinished, "another"), &AnswerFetched{}, structs.ExecutionDone, false},
		{"finished, different answer fetched", of(structs.ClaimFinished, "another"), &AnswerFetched{Answer: []byte("keep")}, structs.ExecutionDone, false},
		{"finished, router unreachable", of(structs.ClaimFinished, "another"), &AnswerFetched{Unreachable: true}, structs.ExecutionDone, true},
		{"in progress", of(structs.ClaimHeld, "another"), &AnswerFetched{}, structs.ExecutionUnknown, true},
		{"in progress, router unreachable", of(structs.ClaimHeld, "another"), &AnswerFetched{Unreachable: true}, structs.ExecutionUnknown, true},
		{"ended before the zone recorded it", of(structs.ClaimHeld, "another"), &AnswerFetched{Answer: kept}, "", false},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s := newScript(t, nil)
			s.arrive(keyed)
			s.c.Assert(only[BeginClaim](s).Claim.Digest, qt.Equals, digest)
			s.do(ClaimReplied{ID: "id", Claim: &test.claim})
			s.c.Check(s.effects, qt.HasLen, 1)
			s.c.Check(s.core.Idle(), qt.Equals, test.fetched == nil)
			if test.fetched != nil {
				s.c.Assert(only[FetchAnswer](s).Claim, qt.Equals, test.claim)
				test.fetched.ID = "id"
				s.do(*test.fetched)
				s.c.Check(s.effects, qt.HasLen, 1)
				s.c.Check(s.core.Idle(), qt.IsTrue)
			}
			if test.execution == "" {
				s.c.Assert(only[Replay](s).Answer, qt.DeepEquals, kept)
				return
			}
			rejection := only[Reject](s).Rejection
			s.c.Check(rejection.Execution, qt.Equals, test.execution)
			s.c.Check(rejection.Error.RetryAfter > 0, qt.Equals, test.retry)
		})
	}
}

func TestAnswerNotFetchedByTheDeadlineIsRejectedAsDone(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(keyed)
	claim := only[BeginClaim](s).Claim
	claim.State, claim.Request = structs.ClaimFinished, "earlier"
	s.do(ClaimReplied{ID: "id", Claim: &claim})
	only[FetchAnswer](s)
	s.now, _ = s.core.NextDeadline()
	s.do(Tick{})
	rejection := only[Reject](s).Rejection
	s.c.Check(rejection.Execution, qt.Equals, structs.ExecutionDone)
	s.c.Check(rejection.Error.RetryAfter > 0, qt.IsTrue)
	s.do(AnswerFetched{ID: "id", Answer: []byte("late")})
	s.c.Check(s.effects, qt.HasLen, 0)
}

func TestBrokenStreamResumesElsewhereWithoutLoss(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(nil)
	first := only[SendAttempt](s)
	s.do(TokenReceived{Attempt: first.Attempt, Token: structs.Token{ID: first.Generate.ID, Text: "zero"}})
	s.c.Assert(only[*Deliver](s).Token, qt.Equals, structs.Token{ID: "id", Text: "zero"})
	s.do(AttemptFailed{Attempt: first.Attempt, Stage: Broken})
	s.now, _ = s.core.NextDeadline()
	s.do(Tick{})
	second := only[SendAttempt](s)
	s.c.Check(second.Generate.ResumeFrom, qt.Equals, 1)
	s.c.Check(second.Attempt, qt.Not(qt.Equals), first.Attempt)
	s.c.Check(second.Runner, qt.Not(qt.Equals), first.Runner)
	s.do(TokenReceived{Attempt: first.Attempt, Token: structs.Token{ID: first.Generate.ID, Index: 1, Text: "late"}})
	s.c.Check(s.effects, qt.HasLen, 0)
	s.do(TokenReceived{Attempt: second.Attempt, Token: structs.Token{ID: second.Generate.ID, Index: 1, Finish: structs.FinishStop}})
	s.c.Check(only[Finish](s).Finish, qt.Equals, structs.FinishStop)
	s.c.Check(s.core.Idle(), qt.IsTrue)
}

func TestBrokenAttemptWithKeyIsRepeatedOnlyIfItCertainlyDidNotRun(t *testing.T) {
	tests := []struct {
		about   string
		status  structs.RequestStatus
		repeats bool
	}{
		{"no record in the same incarnation", structs.RequestStatus{State: structs.RunUnknown, Incarnation: 7}, true},
		{"cancelled before it started", structs.RequestStatus{State: structs.RunCancelled, Incarnation: 7}, true},
		{"no record in another incarnation", structs.RequestStatus{State: structs.RunUnknown, Incarnation: 8}, false},
		{"cancelled after it started", structs.RequestStatus{State: structs.RunCancelled, Incarnation: 7, Started: true}, false},
		{"finished", structs.RequestStatus{State: structs.RunFinished, Incarnation: 7, Started: true}, false},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s := newScript(t, nil)
			s.arrive(keyed)
			claim := only[BeginClaim](s).Claim
			s.do(ClaimReplied{ID: "id", Claim: &claim, New: true})
			sent := only[SendAttempt](s)
			s.do(AttemptFailed{Attempt: sent.Attempt, Stage: Broken})
			s.c.Assert(only[AskStatus](s).Attempt, qt.Equals, sent.Attempt)
			test.status.ID = sent.Generate.ID
			s.do(StatusReplied{ID: "id", Attempt: sent.Attempt, Status: &test.status})
			if test.repeats {
				s.now, _ = s.core.NextDeadline()
				s.do(Tick{})
				s.c.Assert(only[BeginClaim](s).Choice, qt.Equals, uint64(2))
				return
			}
			s.c.Check(only[FinishClaim](s).Claim.State, qt.Equals, structs.ClaimUnknown)
			s.c.Check(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionUnknown)
		})
	}
}

func TestWaitingRequestIsRefusedOnceItCannotStartInTime(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(func(r *structs.Request) { r.Row, r.DeadlineAt = "cold", s.now.Add(6*time.Second) })
	s.c.Assert(s.effects, qt.HasLen, 0)
	s.c.Assert(s.core.Demand().Rows, qt.DeepEquals, []structs.RowDemand{{Row: "cold", Waiting: 1, Arrived: 1, Unserved: true}})
	s.now = s.now.Add(4900 * time.Millisecond)
	s.do(Tick{})
	rejection := only[Reject](s).Rejection
	s.c.Check(rejection.Error.Kind, qt.Equals, structs.ErrorDeadline)
	s.c.Check(rejection.Error.RetryAfter >= MinRetryAfter, qt.IsTrue)
}

func TestRequestIsRejectedInTheStepOfItsLastFailure(t *testing.T) {
	s := newScript(t, func(options *Options) { options.AttemptLimit = 2 })
	s.arrive(nil)
	s.do(AttemptFailed{Attempt: only[SendAttempt](s).Attempt, Stage: RejectedByEngine})
	s.c.Assert(s.effects, qt.HasLen, 0)
	s.now, _ = s.core.NextDeadline()
	s.do(Tick{})
	s.do(AttemptFailed{Attempt: only[SendAttempt](s).Attempt, Stage: NotSent})
	rejection := only[Reject](s).Rejection
	s.c.Check(rejection.Execution, qt.Equals, structs.ExecutionNotRun)
	s.c.Check(rejection.Error.RetryAfter >= MinRetryAfter, qt.IsTrue)
}

// TestFullEngineGetsNoRequestBeforeItsRetryAfter also checks that the engine then gets
// one request at a time, until it accepts one.
func TestFullEngineGetsNoRequestBeforeItsRetryAfter(t *testing.T) {
	s := newScript(t, nil)
	s.do(ViewChanged{View: testView(1, "row")})
	full := structs.NewError(structs.ErrorOverloaded, "the engine's queue is full", "Retry later.")
	full.RetryAfter = 2 * time.Second
	s.arrive(nil)
	began := s.now
	s.do(AttemptFailed{Attempt: only[SendAttempt](s).Attempt, Stage: RejectedByEngine, Error: full})
	s.arrive(func(r *structs.Request) { r.ID = "other" })
	var sent []SendAttempt
	for s.now.Sub(began) < full.RetryAfter+50*time.Millisecond {
		s.c.Assert(sent == nil || s.now.Sub(began) >= full.RetryAfter, qt.IsTrue)
		s.now = s.now.Add(10 * time.Millisecond)
		for _, effect := range s.do(Tick{}) {
			if attempt, isSent := effect.(SendAttempt); isSent {
				sent = append(sent, attempt)
			}
		}
	}
	s.c.Assert(sent, qt.HasLen, 1)
	s.do(AttemptStarted{Attempt: sent[0].Attempt})
	s.now = s.now.Add(pollInterval)
	s.do(Tick{})
	only[SendAttempt](s)
}

func TestOverloadShedsBatchBeforeLive(t *testing.T) {
	tests := []struct {
		about  string
		change func(*Options)
	}{
		{"the queue of the row is full", func(options *Options) { options.QueueLimit = 1 }},
		{"the router is full", func(options *Options) { options.TotalLimit = 1 }},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s := newScript(t, test.change)
			s.arrive(func(r *structs.Request) { r.Row = "cold" })
			s.c.Assert(s.effects, qt.HasLen, 0)
			s.arrive(func(r *structs.Request) { r.ID, r.Row, r.Priority = "live", "cold", structs.PriorityLive })
			s.c.Check(only[Reject](s).ID, qt.Equals, structs.RequestID("id"))
			s.c.Check(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionNotRun)
			s.arrive(func(r *structs.Request) { r.ID, r.Row, r.Priority = "more", "cold", structs.PriorityLive })
			s.c.Check(only[Reject](s).ID, qt.Equals, structs.RequestID("more"))
		})
	}
}

func TestKeyedRequestContinuesAfterItsCallerDisconnects(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(keyed)
	claim := only[BeginClaim](s).Claim
	s.do(ClaimReplied{ID: "id", Claim: &claim, New: true})
	sent := only[SendAttempt](s)
	s.do(CallerGone{ID: "id"})
	s.do(DrainStarted{})
	s.c.Assert(s.core.Idle(), qt.IsFalse)
	s.do(TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Text: "all", Finish: structs.FinishStop}})
	answer, err := DecodeAnswer(only[FinishClaim](s).Answer)
	s.c.Check(err, qt.IsNil)
	s.c.Check(only[FinishClaim](s).Claim.Answer, qt.Equals, MarkAnswer(only[FinishClaim](s).Answer))
	s.c.Check(answer, qt.Equals, Answer{Text: "all", Tokens: 1, Finish: structs.FinishStop})
	s.c.Check(s.effects, qt.HasLen, 1)
	s.c.Check(s.core.Idle(), qt.IsTrue)
}

func TestOutdatedOrNoncontiguousTableDeltaIsIgnored(t *testing.T) {
	s := newScript(t, nil)
	removal := structs.TableDelta{SinceRevision: 1, Revision: 3, Deleted: []structs.RowName{"row"}}
	s.do(ViewChanged{View: structs.ZoneView{Table: removal}})
	s.do(ViewChanged{View: testView(2, "row")})
	gap := structs.TableDelta{SinceRevision: 4, Revision: 5, Rows: []structs.Row{{Name: "row", MaxReplicas: 1}}}
	s.do(ViewChanged{View: structs.ZoneView{Table: gap}})
	s.arrive(nil)
	s.c.Assert(only[Reject](s).Rejection.Error.Kind, qt.Equals, structs.ErrorNotFound)
}

func TestAnswerOverAnswerLimitEndsAsUnknown(t *testing.T) {
	s := newScript(t, func(options *Options) { options.AnswerLimit = 2 * answerOverhead })
	s.arrive(keyed)
	claim := only[BeginClaim](s).Claim
	s.do(ClaimReplied{ID: "id", Claim: &claim, New: true})
	sent := only[SendAttempt](s)
	long := string(make([]byte, 2*answerOverhead))
	s.do(TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Text: long}})
	s.c.Check(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
	s.c.Check(only[FinishClaim](s).Claim.State, qt.Equals, structs.ClaimUnknown)
	s.c.Check(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionUnknown)
}

func TestColdLoadIsObservedEvenIfEveryRequestWasRejected(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(func(r *structs.Request) { r.Row, r.DeadlineAt = "cold", s.now.Add(time.Second) })
	s.c.Assert(s.core.Demand().Rows, qt.DeepEquals, []structs.RowDemand{{Row: "cold", Arrived: 1, Unserved: true}})
	s.c.Assert(s.core.Demand().Rows, qt.HasLen, 0)
	s.now = s.now.Add(2 * time.Second)
	view := testView(2, "row", "cold")
	view.Table = structs.TableDelta{}
	s.do(ViewChanged{View: view})
	s.c.Check(s.core.rows["cold"].estimator.ColdLoad(), qt.Equals, 2*time.Second)
	s.c.Check(s.core.Demand().Rows, qt.HasLen, 0)
	s.c.Check(s.core.active, qt.HasLen, 0)
}

func TestFreedSlotGoesToTheMostUrgentWaitingRequestImmediately(t *testing.T) {
	s := newScript(t, func(options *Options) { options.Routing = routing.Options{MaxBatch: 1, QueueSlack: 1} })
	s.do(RunnerLeaving{Runner: "runner-1"})
	s.arrive(nil)
	sent := only[SendAttempt](s)
	s.arrive(func(r *structs.Request) { r.ID = "second" })
	only[SendAttempt](s)
	s.arrive(func(r *structs.Request) { r.ID = "third" })
	s.arrive(func(r *structs.Request) { r.ID, r.Priority = "live", structs.PriorityLive })
	s.c.Assert(s.effects, qt.HasLen, 0)
	s.do(TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Finish: structs.FinishStop}})
	s.c.Check(only[SendAttempt](s).Attempt.Request(), qt.Equals, structs.RequestID("live"))
}

func TestBrokenStreamWithKeyEndsImmediatelyAsUnknown(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(keyed)
	claim := only[BeginClaim](s).Claim
	s.do(ClaimReplied{ID: "id", Claim: &claim, New: true})
	sent := only[SendAttempt](s)
	s.do(TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Text: "part"}})
	s.do(AttemptFailed{Attempt: sent.Attempt, Stage: Broken})
	s.c.Check(only[FinishClaim](s).Claim.State, qt.Equals, structs.ClaimUnknown)
	s.c.Check(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionUnknown)
}

// TestRowWithLiveRequestsDoesNotStarveAnother runs two rows on one slot.
func TestRowWithLiveRequestsDoesNotStarveAnother(t *testing.T) {
	s := newScript(t, func(options *Options) {
		options.MaxPassedOver = 4
		options.Routing = routing.Options{MaxBatch: 1, QueueSlack: 1}
	})
	view := testView(1, "row", "other")
	view.Index = 2
	s.do(ViewChanged{View: view})
	live := func(number int) func(*structs.Request) {
		return func(r *structs.Request) {
			r.ID, r.Priority = structs.RequestID(fmt.Sprint(number)), structs.PriorityLive
		}
	}
	var running []SendAttempt
	for number := range 2 {
		s.arrive(live(number))
		running = append(running, only[SendAttempt](s))
	}
	s.arrive(func(r *structs.Request) { r.Row, r.Priority = "other", structs.PriorityBatch })
	var order []structs.RowName
	for number := 2; number < 8; number++ {
		s.arrive(live(number))
		done := running[0]
		s.do(TokenReceived{Attempt: done.Attempt, Token: structs.Token{ID: done.Generate.ID, Finish: structs.FinishStop}})
		next := only[SendAttempt](s)
		running = append(running[1:], next)
		order = append(order, next.Generate.Row)
	}
	s.c.Assert(order, qt.Contains, structs.RowName("other"))
	s.c.Assert(order[0], qt.Equals, structs.RowName("row"))
}
