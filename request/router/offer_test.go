package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// newOfferScript returns a script whose row "cold" may also be served by zones b and c.
func newOfferScript(t *testing.T) *script {
	s := newScript(t, nil)
	s.do(ViewChanged{View: structs.ZoneView{Table: structs.TableDelta{SinceRevision: 1, Revision: 2,
		Elsewhere: []structs.RowZones{{Row: "cold", Zones: []structs.ZoneID{"a", "b", "c"}}}}}})
	return s
}

func (s *script) arriveCold(id structs.RequestID, change func(*structs.Request)) {
	s.arrive(func(r *structs.Request) {
		r.ID, r.Row = id, "cold"
		if change != nil {
			change(r)
		}
	})
}

func (s *script) offers() int {
	count := 0
	for _, effect := range s.effects {
		if _, isOffer := effect.(Offer); isOffer {
			count++
		}
	}
	return count
}

func TestRequestIsOfferedOnlyIfEligible(t *testing.T) {
	tests := []struct {
		about  string
		change func(*structs.Request)
		offers int
	}{
		{"no ready replica here", nil, 1},
		{"ready replica here", func(r *structs.Request) { r.Row = "row" }, 0},
		{"with a key", keyed, 0},
		{"forwarded already", func(r *structs.Request) { r.Forwarded = true }, 0},
		{"no time for an answer", func(r *structs.Request) { r.DeadlineAt = testStart.Add(300 * time.Millisecond) }, 0},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s := newOfferScript(t)
			s.arriveCold("id", test.change)
			s.c.Assert(s.offers(), qt.Equals, test.offers)
		})
	}
}

func TestOfferedRequestIsNotDemandUntilTheOfferFails(t *testing.T) {
	s := newOfferScript(t)
	s.arriveCold("id", nil)
	offer := only[Offer](s)
	s.c.Assert(offer.Budget, qt.Equals, offerBudgetMax)
	s.c.Assert(offer.Zones, qt.HasLen, offerZoneLimit)
	s.c.Assert(s.core.DemandUrgent(), qt.IsFalse)
	s.c.Assert(s.core.Demand().Rows, qt.HasLen, 0)
	arrivedAt := s.now
	s.now = s.now.Add(offer.Budget)
	s.do(OfferFailed{ID: "id", Rejected: offer.Zones})
	s.c.Assert(s.effects, qt.HasLen, 0)
	s.c.Assert(s.core.DemandUrgent(), qt.IsTrue)
	demand := s.core.Demand().Rows[0]
	s.c.Assert(demand.Waiting, qt.Equals, 1)
	s.c.Assert(demand.OldestWait, qt.Equals, s.now.Sub(arrivedAt))
	s.now = arrivedAt.Add(20 * time.Second)
	s.do(Tick{})
	s.c.Assert(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionNotRun)
}

func TestNextOfferPrefersTheZoneThatAcceptedLast(t *testing.T) {
	s := newOfferScript(t)
	s.arriveCold("first", nil)
	s.do(OfferTaken{ID: "first", Zone: "c"})
	s.c.Assert(s.core.Idle(), qt.IsTrue)
	for _, id := range []structs.RequestID{"second", "third", "fourth"} {
		s.arriveCold(id, nil)
		s.c.Assert(only[Offer](s).Zones[0], qt.Equals, structs.ZoneID("c"))
	}
}

func TestBurstForAColdRowMakesOneOffer(t *testing.T) {
	s := newOfferScript(t)
	s.arriveCold("first", nil)
	zones := only[Offer](s).Zones
	s.arriveCold("during", nil)
	s.c.Assert(s.offers(), qt.Equals, 0)
	s.do(OfferFailed{ID: "first", Rejected: zones})
	s.arriveCold("after", nil)
	s.c.Assert(s.offers(), qt.Equals, 0)
	s.now = s.now.Add(rejectionBackoff)
	s.arriveCold("later", nil)
	s.c.Assert(s.offers(), qt.Equals, 1)
}

func TestSilentZoneGetsNoOfferForAWhile(t *testing.T) {
	s := newOfferScript(t)
	s.arriveCold("first", nil)
	s.do(OfferFailed{ID: "first", TimedOut: []structs.ZoneID{"b"}, MayHaveRun: true})
	s.arriveCold("second", nil)
	s.c.Assert(only[Offer](s).Zones, qt.DeepEquals, []structs.ZoneID{"c"})
	s.now = testStart.Add(20 * time.Second)
	s.do(Tick{})
	for _, effect := range s.effects {
		s.c.Assert(effect.(Reject).Rejection.Execution, qt.Equals, structs.ExecutionPartial)
	}
}

func TestOfferOfAnotherZoneIsTakenOrRefusedAtOnce(t *testing.T) {
	offered := func(r *structs.Request) { r.Forwarded, r.IfReady = true, true }
	s := newOfferScript(t)
	s.arriveCold("cold", offered)
	rejection := only[Reject](s).Rejection
	s.c.Assert(rejection.Error.Kind, qt.Equals, structs.ErrorUnavailable)
	s.c.Assert(rejection.Execution, qt.Equals, structs.ExecutionNotRun)
	s.c.Assert(s.core.Demand().Rows, qt.HasLen, 0)
	for s.effects = nil; ; {
		id := structs.RequestID(string(rune('a' + len(s.core.requests))))
		s.arrive(func(r *structs.Request) { r.ID = id; offered(r) })
		if _, rejected := s.effects[0].(Reject); rejected {
			break
		}
		only[SendAttempt](s)
	}
	s.c.Assert(only[Reject](s).Rejection.Execution, qt.Equals, structs.ExecutionNotRun)
	s.c.Assert(s.core.queued, qt.Equals, 0)
}
