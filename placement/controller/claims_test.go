package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

var claimTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// claimScript decides at a zone that holds one claim.
type claimScript struct {
	c       *qt.C
	state   *zone.State
	core    *Core
	now     time.Time
	renewed map[structs.RequestID]time.Time
}

func newClaimScript(t testing.TB, runner structs.RunnerID) *claimScript {
	s := &claimScript{c: qt.New(t), state: zone.New("z"), core: New(Options{}), now: claimTime, renewed: map[structs.RequestID]time.Time{}}
	begin := &zone.ClaimBeginCommand{
		Key: "k", Request: "r", Holder: "d", Session: 1, Runner: runner,
	}
	if runner != "" {
		begin.Attempt, begin.Incarnation, begin.Address, begin.EngineRequest = 3, 7, "127.0.0.1:1", "r.2"
	}
	result := s.state.Apply(1, zone.Command{ClaimBatch: &zone.ClaimBatchCommand{At: s.now, Operations: []zone.ClaimOperation{{Begin: begin}}}})
	s.c.Assert(result.Error == nil, qt.IsTrue)
	s.decide(0)
	return s
}

// decide lets time pass and applies the commands that follow.
func (s *claimScript) decide(after time.Duration) Decisions {
	s.now = s.now.Add(after)
	decisions := s.core.Decide(Input{Now: s.now, Epoch: 1, LeaseValid: true, State: s.state, Renewed: s.renewed})
	for _, command := range decisions.Commands {
		s.state.Apply(s.state.Index()+1, command)
	}
	return decisions
}

// end returns the state of the claim, or ClaimReleased when there is none.
func (s *claimScript) end() structs.ClaimState {
	claim, held := s.state.Claim("k")
	if !held {
		return structs.ClaimReleased
	}
	return claim.State
}

func TestClaimIsKeptWhileItIsRenewed(t *testing.T) {
	s := newClaimScript(t, "")
	for range 5 {
		s.renewed["r"] = s.now
		s.decide(DefaultClaimLease - 1)
		s.c.Assert(s.end(), qt.Equals, structs.ClaimHeld)
	}
	// The holder's other claims do not speak for this one.
	s.renewed["other"] = s.now
	s.decide(1)
	s.c.Assert(s.end(), qt.Equals, structs.ClaimReleased)
}

func TestNewLeaderGivesEveryClaimALease(t *testing.T) {
	s := newClaimScript(t, "")
	s.decide(DefaultClaimLease - 1)
	s.c.Assert(s.end(), qt.Equals, structs.ClaimHeld)
	s.decide(1)
	s.c.Assert(s.end(), qt.Equals, structs.ClaimReleased)
}

func TestLapsedClaimEndsByWhatItsEngineKnows(t *testing.T) {
	status := func(state structs.RunState, change func(*structs.RequestStatus)) *structs.RequestStatus {
		status := &structs.RequestStatus{ID: "r.2", State: state, Incarnation: 7}
		if change != nil {
			change(status)
		}
		return status
	}
	for _, test := range []struct {
		about  string
		after  time.Duration
		status *structs.RequestStatus
		end    structs.ClaimState
	}{
		{"never came", 0, status(structs.RunUnknown, nil), structs.ClaimReleased},
		{"never came, as far as the engine still remembers", DefaultInquiryLimit, status(structs.RunUnknown, nil), structs.ClaimUnknown},
		{"cancelled before it started", 0, status(structs.RunCancelled, nil), structs.ClaimReleased},
		{"cancelled before it started, asked late", DefaultInquiryLimit, status(structs.RunCancelled, nil), structs.ClaimReleased},
		{"cancelled after it started", 0, status(structs.RunCancelled, func(s *structs.RequestStatus) { s.Started = true }), structs.ClaimUnknown},
		{"finished", 0, status(structs.RunFinished, func(s *structs.RequestStatus) { s.Started, s.Tokens = true, 4 }), structs.ClaimUnknown},
		{"still waits", 0, status(structs.RunQueued, nil), structs.ClaimHeld},
		{"engine restarted", 0, status(structs.RunUnknown, func(s *structs.RequestStatus) { s.Incarnation = 8 }), structs.ClaimUnknown},
		{"about another request", 0, status(structs.RunUnknown, func(s *structs.RequestStatus) { s.ID = "r.1" }), structs.ClaimHeld},
		{"no answer", 0, nil, structs.ClaimHeld},
		{"no answer for long", DefaultInquiryLimit, nil, structs.ClaimUnknown},
	} {
		t.Run(test.about, func(t *testing.T) {
			s := newClaimScript(t, "a")
			asked := s.decide(DefaultClaimLease).Inquiries
			s.c.Assert(asked, qt.DeepEquals, []Inquiry{{Key: "k", Choice: 3, Address: "127.0.0.1:1", Request: "r.2"}})
			if test.status != nil {
				s.core.ObserveInquiry(InquiryReply{Inquiry: asked[0], Status: *test.status})
			}
			s.decide(test.after)
			s.c.Assert(s.end(), qt.Equals, test.end)
			again := s.decide(DefaultResendAfter).Inquiries
			s.c.Assert(len(again) > 0, qt.Equals, test.end == structs.ClaimHeld)
		})
	}
}

func TestRestartOfTheRunnerEndsAClaimAsUnknown(t *testing.T) {
	s := newClaimScript(t, "a")
	info := structs.RunnerInfo{ID: "a", Zone: "z", Address: "127.0.0.1:1", Incarnation: 8, MemoryBytes: 1}
	s.c.Assert(s.state.Apply(2, zone.Command{Runner: &zone.RunnerCommand{Info: info}}).Error == nil, qt.IsTrue)
	decisions := s.decide(DefaultClaimLease)
	s.c.Assert(decisions.Inquiries, qt.HasLen, 0)
	s.c.Assert(s.end(), qt.Equals, structs.ClaimUnknown)
}

// TestHolderThatComesBackIsLeftAlone answers an inquiry after the holder was heard again.
func TestHolderThatComesBackIsLeftAlone(t *testing.T) {
	s := newClaimScript(t, "a")
	asked := s.decide(DefaultClaimLease).Inquiries
	s.renewed["r"] = s.now
	s.decide(0)
	s.core.ObserveInquiry(InquiryReply{Inquiry: asked[0], Status: structs.RequestStatus{ID: "r.2", State: structs.RunUnknown, Incarnation: 7}})
	s.decide(time.Second)
	s.c.Assert(s.end(), qt.Equals, structs.ClaimHeld)
}

func TestInquiriesEndWellBeforeEnginesForget(t *testing.T) {
	qt.Assert(t, 2*DefaultInquiryLimit < engineapi.IDRetention, qt.IsTrue)
}
