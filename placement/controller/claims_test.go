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

// claimFixture is a zone that holds one claim, and its leader.
type claimFixture struct {
	c       *qt.C
	state   *zone.State
	core    *Core
	now     time.Time
	renewed map[structs.RequestID]time.Time
}

func newClaimFixture(t testing.TB, runner structs.RunnerID) *claimFixture {
	s := &claimFixture{c: qt.New(t), state: zone.New("z"), core: New(Options{}), now: claimTime, renewed: map[structs.RequestID]time.Time{}}
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

// decide advances the time and applies the commands of a decision.
func (s *claimFixture) decide(after time.Duration) Decisions {
	s.now = s.now.Add(after)
	decisions := s.core.Decide(Input{Now: s.now, Epoch: 1, LeaseValid: true, State: s.state, Renewed: s.renewed})
	for _, command := range decisions.Commands {
		s.state.Apply(s.state.Index()+1, command)
	}
	return decisions
}

// claimState returns the state of the claim, or ClaimReleased if there is none.
func (s *claimFixture) claimState() structs.ClaimState {
	claim, held := s.state.Claim("k")
	if !held {
		return structs.ClaimReleased
	}
	return claim.State
}

func TestRenewedClaimIsHeld(t *testing.T) {
	s := newClaimFixture(t, "")
	for range 5 {
		s.renewed["r"] = s.now
		s.decide(DefaultClaimLease - 1)
		s.c.Assert(s.claimState(), qt.Equals, structs.ClaimHeld)
	}
	// Renewals of the holder's other claims do not renew this one.
	s.renewed["other"] = s.now
	s.decide(1)
	s.c.Assert(s.claimState(), qt.Equals, structs.ClaimReleased)
}

func TestNewLeaderGrantsEveryClaimALease(t *testing.T) {
	s := newClaimFixture(t, "")
	s.decide(DefaultClaimLease - 1)
	s.c.Assert(s.claimState(), qt.Equals, structs.ClaimHeld)
	s.decide(1)
	s.c.Assert(s.claimState(), qt.Equals, structs.ClaimReleased)
}

func TestExpiredClaimEndsByEngineStatus(t *testing.T) {
	status := func(state structs.RunState, change func(*structs.RequestStatus)) *structs.RequestStatus {
		status := &structs.RequestStatus{ID: "r.2", State: state, Incarnation: 7}
		if change != nil {
			change(status)
		}
		return status
	}
	for _, test := range []struct {
		name   string
		after  time.Duration
		status *structs.RequestStatus
		end    structs.ClaimState
	}{
		{"unknown to the engine", 0, status(structs.RunUnknown, nil), structs.ClaimReleased},
		{"unknown to the engine after the inquiry limit", DefaultInquiryLimit, status(structs.RunUnknown, nil), structs.ClaimUnknown},
		{"cancelled before it started", 0, status(structs.RunCancelled, nil), structs.ClaimReleased},
		{"cancelled before it started, after the inquiry limit", DefaultInquiryLimit, status(structs.RunCancelled, nil), structs.ClaimReleased},
		{"cancelled after it started", 0, status(structs.RunCancelled, func(s *structs.RequestStatus) { s.Started = true }), structs.ClaimUnknown},
		{"finished", 0, status(structs.RunFinished, func(s *structs.RequestStatus) { s.Started, s.Tokens = true, 4 }), structs.ClaimUnknown},
		{"still queued", 0, status(structs.RunQueued, nil), structs.ClaimHeld},
		{"engine restarted", 0, status(structs.RunUnknown, func(s *structs.RequestStatus) { s.Incarnation = 8 }), structs.ClaimUnknown},
		{"status of another request", 0, status(structs.RunUnknown, func(s *structs.RequestStatus) { s.ID = "r.1" }), structs.ClaimHeld},
		{"no reply", 0, nil, structs.ClaimHeld},
		{"no reply within the inquiry limit", DefaultInquiryLimit, nil, structs.ClaimUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newClaimFixture(t, "a")
			asked := s.decide(DefaultClaimLease).Inquiries
			s.c.Assert(asked, qt.DeepEquals, []Inquiry{{Key: "k", Choice: 3, Address: "127.0.0.1:1", Request: "r.2"}})
			if test.status != nil {
				s.core.ObserveInquiry(InquiryReply{Inquiry: asked[0], Status: *test.status})
			}
			s.decide(test.after)
			s.c.Assert(s.claimState(), qt.Equals, test.end)
			again := s.decide(DefaultResendAfter).Inquiries
			s.c.Assert(len(again) > 0, qt.Equals, test.end == structs.ClaimHeld)
		})
	}
}

func TestRunnerRestartEndsClaimAsUnknown(t *testing.T) {
	s := newClaimFixture(t, "a")
	info := structs.RunnerInfo{ID: "a", Zone: "z", Address: "127.0.0.1:1", Incarnation: 8, MemoryBytes: 1}
	s.c.Assert(s.state.Apply(2, zone.Command{Runner: &zone.RunnerCommand{Info: info}}).Error == nil, qt.IsTrue)
	decisions := s.decide(DefaultClaimLease)
	s.c.Assert(decisions.Inquiries, qt.HasLen, 0)
	s.c.Assert(s.claimState(), qt.Equals, structs.ClaimUnknown)
}

// Guards against ending a claim by a late inquiry reply after its holder has renewed it
// again.
func TestInquiryReplyIsIgnoredAfterRenewal(t *testing.T) {
	s := newClaimFixture(t, "a")
	asked := s.decide(DefaultClaimLease).Inquiries
	s.renewed["r"] = s.now
	s.decide(0)
	s.core.ObserveInquiry(InquiryReply{Inquiry: asked[0], Status: structs.RequestStatus{ID: "r.2", State: structs.RunUnknown, Incarnation: 7}})
	s.decide(time.Second)
	s.c.Assert(s.claimState(), qt.Equals, structs.ClaimHeld)
}

func TestInquiryLimitIsBelowHalfOfIDRetention(t *testing.T) {
	qt.Assert(t, 2*DefaultInquiryLimit < engineapi.IDRetention, qt.IsTrue)
}
