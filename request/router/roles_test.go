package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// loseRunners removes the last runner of the rows' role from the zone.
func (s *script) loseRunners(leaving bool) {
	view := testView(0)
	view.Index, view.Table = 2, structs.TableDelta{}
	if leaving {
		view.Placement.Runners = []structs.RunnerInfo{{ID: "runner-0", Incarnation: 7, Leaving: true}, {ID: "other", Role: "other"}}
	}
	s.do(ViewChanged{View: view})
}

func TestRowWhoseRoleIsLostIsServedElsewhereOrRefusedAtOnce(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		for _, test := range []struct {
			about    string
			change   func(*structs.Request)
			forwards bool
		}{
			{"served elsewhere", nil, true},
			{"served elsewhere, with a key", keyed, true},
			{"forwarded already", func(r *structs.Request) { r.Forwarded = true }, false},
			{"served only here", func(r *structs.Request) { r.Row = "row" }, false},
		} {
			t.Run(test.about, func(t *testing.T) {
				s := newOfferScript(t)
				s.loseRunners(leaving)
				s.arriveCold("id", test.change)
				if test.forwards {
					s.c.Assert(only[Forward](s).Zones, qt.DeepEquals, []structs.ZoneID{"b", "c"})
					return
				}
				rejection := only[Reject](s).Rejection
				s.c.Assert(rejection.Error.Remedy, qt.Contains, "runner")
				s.c.Assert(rejection.Error.RetryAfter > 0, qt.IsTrue)
				s.c.Assert(rejection.Execution, qt.Equals, structs.ExecutionNotRun)
			})
		}
	}
}

func TestWaitingRequestsOfALostRoleAreForwardedOrRejected(t *testing.T) {
	s := newOfferScript(t)
	s.arriveCold("first", nil)
	s.arriveCold("queued", nil)
	s.loseRunners(true)
	s.c.Assert(only[Forward](s).ID, qt.Equals, structs.RequestID("queued"))
	alone := newScript(t, nil)
	alone.arriveCold("queued", nil)
	alone.loseRunners(false)
	alone.c.Assert(only[Reject](alone).Rejection.Error.Remedy, qt.Contains, "runner")
}

func TestRoleIsNotLostWhileItsRunnersMayRegister(t *testing.T) {
	s := newScript(t, nil)
	s.do(ViewChanged{View: structs.ZoneView{Table: structs.TableDelta{SinceRevision: 1, Revision: 2,
		Rows:   []structs.Row{{Name: "new", MaxReplicas: 1, Role: "new"}},
		Grants: []structs.Grant{{Row: "new", Zone: "a", Limit: 1, Sequence: 1}}}}})
	s.arrive(func(r *structs.Request) { r.Row = "new" })
	s.c.Assert(s.effects, qt.HasLen, 0)
	s.now = s.now.Add(registrationGrace)
	s.arrive(func(r *structs.Request) { r.ID, r.Row = "later", "new" })
	s.c.Assert(only[Reject](s).ID, qt.Equals, structs.RequestID("later"))
}
