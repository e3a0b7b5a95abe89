package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

func TestKeyOfAnotherZoneRunsOnceAndIsReplayedInEveryZone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 2})
		s.applyRows(1)
		request := streamRequest("first", "r0", 8)
		request.IdempotencyKey = "zone-1:lot"
		for index, id := range []structs.RequestID{"first", "second", "third"} {
			request.ID = id
			text, err := s.ask(index%2, request)
			s.Assert(err, qt.IsNil)
			s.Assert(text, qt.Equals, wholeAnswer(request))
		}
		s.Assert(s.executions(request), qt.Equals, 1)
	})
}

// TestClaimOfADeadRouterIsResolvedByItsHomeZone waits until the claim's lease expires.
func TestClaimOfADeadRouterIsResolvedByItsHomeZone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 2})
		s.applyRows(1)
		s.slowDown()
		request := streamRequest("first", "r0", longAnswer)
		request.IdempotencyKey = "zone-1:lot"
		answer, err := s.call(0, request)
		s.Assert(err, qt.IsNil)
		_, err = answer.Next(s.ctx)
		s.Assert(err, qt.IsNil)
		// Keeps the answer from ending before its router stops.
		s.engines[0].SetFaults(emulator.EngineFaults{SlowFactor: 1e6})
		node := s.daemons[1].zone
		var held []structs.Claim
		node.group.View(func() { held = node.machine.state.HeldClaims() })
		s.Assert(held, qt.HasLen, 1)
		claimed := func() structs.Claim {
			var claim structs.Claim
			node.group.View(func() { claim, _ = node.machine.state.Claim(held[0].Key) })
			return claim
		}
		dead := s.daemons[0]
		s.daemons[0] = nil
		over, cancel := context.WithCancel(context.Background())
		cancel()
		dead.Close(over)
		_, err = readRest(answer, "")
		s.Assert(err, qt.IsNotNil)
		request.ID = "second"
		_, err = s.ask(1, request)
		open := refusalOf(s.C, err)
		s.Assert(open.Execution, qt.Equals, structs.ExecutionUnknown)
		s.Assert(open.Error.RetryAfter > 0, qt.IsTrue)

		s.await("the resolution", &s.daemons[1].zone.machine.changed, func() bool { return claimed().State != structs.ClaimHeld })
		s.Assert(claimed().State, qt.Equals, structs.ClaimUnknown)
		request.ID = "third"
		_, err = s.ask(1, request)
		resolved := refusalOf(s.C, err)
		s.Assert(resolved.Execution, qt.Equals, structs.ExecutionUnknown)
		s.Assert(resolved.Error.RetryAfter, qt.Equals, time.Duration(0))
		s.Assert(s.executions(request), qt.Equals, 1)
	})
}
