package daemon

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// statusOf returns the status of a daemon as reported by another one.
func (s *streamSite) statusOf(asked int, daemon structs.DaemonID) operatorapi.DaemonStatus {
	status, err := s.daemons[asked].operators.Status(s.ctx)
	s.Assert(err, qt.IsNil)
	for _, entry := range status.Daemons {
		if entry.Daemon == daemon {
			return entry
		}
	}
	s.TB.Fatal("no status of " + daemon)
	return operatorapi.DaemonStatus{}
}

// TestDrainedDaemonFinishesWhatItHasAndTakesNothingNew drains d1 through d0, and d0
// through itself.
func TestDrainedDaemonFinishesWhatItHasAndTakesNothingNew(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 2})
		s.applyRows(1)
		for index, name := range []structs.DaemonID{"d0", "d1"} {
			s.slowDown()
			request := streamRequest("running at "+string(name), "r0", longAnswer)
			answer, err := s.call(index, request)
			s.Assert(err, qt.IsNil)
			first, err := answer.Next(s.ctx)
			s.Assert(err, qt.IsNil)
			operators := s.daemons[0].operators
			s.Assert(operators.Drain(s.ctx, operatorapi.DrainRequest{Daemon: name}), qt.IsNil)

			late := streamRequest("late at "+string(name), "r0", 1)
			_, err = s.call(index, late)
			refusal := refusalOf(s.C, err)
			s.Assert(refusal.Execution, qt.Equals, structs.ExecutionNotRun)
			s.Assert(refusal.Error.Kind, qt.Equals, structs.ErrorUnavailable)
			s.Assert(refusal.Error.Remedy, qt.Contains, "another router")
			s.Assert(refusal.Error.RetryAfter > 0, qt.IsTrue)
			s.Assert(s.daemons[index].notReady(), qt.Contains, "undrain")
			status := s.statusOf(1-index, name)
			s.Assert(status.Draining, qt.IsTrue)
			s.Assert(status.OpenRequests, qt.Equals, 1)

			s.restoreSpeed()
			text, err := readRest(answer, first.Text)
			s.Assert(err, qt.IsNil)
			s.Assert(text, qt.Equals, wholeAnswer(request))
			drained := s.statusOf(1-index, name)
			s.Assert(drained.Draining, qt.IsTrue)
			s.Assert(drained.OpenRequests, qt.Equals, 0)

			s.Assert(operators.Drain(s.ctx, operatorapi.DrainRequest{Daemon: name, Cancel: true}), qt.IsNil)
			s.Assert(s.daemons[index].notReady(), qt.Equals, "")
			s.Assert(s.statusOf(1-index, name).Draining, qt.IsFalse)
			text, err = s.ask(index, late)
			s.Assert(err, qt.IsNil)
			s.Assert(text, qt.Equals, wholeAnswer(late))
		}
		err := s.daemons[0].operators.Drain(s.ctx, operatorapi.DrainRequest{Daemon: "unknown"})
		s.Assert(structs.KindOf(err), qt.Equals, structs.ErrorNotFound)
	})
}
