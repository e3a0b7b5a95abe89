package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// offer makes the first zone's router offer a request to zone-1, as for a row without a
// ready replica, and waits until the offer ends.
func (s *streamSite) offer(request structs.Request, budget time.Duration) *call {
	own := s.daemons[0].router
	submitted := newCall(request, func() {})
	own.mutex.Lock()
	own.calls[request.ID] = submitted
	own.offer(router.Offer{ID: request.ID, Zones: []structs.ZoneID{"zone-1"}, Budget: budget})
	own.mutex.Unlock()
	s.await("the end of the offer", &own.workDone, func() bool { return own.working.Load() == 0 })
	return submitted
}

// longBudget is a budget that no test exhausts.
const longBudget = time.Minute

func TestOfferIsTakenByAZoneWithAReadyReplica(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		for _, secure := range []bool{false, true} {
			s := newStreamSite(t, streamSiteOptions{zones: 2, secure: secure})
			s.applyRows(1)
			_, err := s.ask(1, streamRequest("warming", "r0", 5))
			s.Assert(err, qt.IsNil)
			for _, embedding := range []bool{false, true} {
				request := streamRequest("offered", "r0", 5)
				request.Embedding = embedding
				answer := s.offer(request, longBudget)
				s.Assert(answer.sent, qt.IsTrue)
				text, err := readRest(answer, "")
				s.Assert(err, qt.IsNil)
				s.Assert(embedding || text == wholeAnswer(request), qt.IsTrue)
			}
		}
	})
}

// TestOfferThatNoZoneTakesGoesBack checks that the request is returned to the queue of
// its own zone and not ended.
func TestOfferThatNoZoneTakesGoesBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 2})
		s.applyRows(1)
		_, err := s.ask(1, streamRequest("warming", "r0", 5))
		s.Assert(err, qt.IsNil)
		tests := []struct {
			about  string
			before func()
			row    string
			budget time.Duration
		}{
			{"no replica there", func() {}, "absent", longBudget},
			{"no time", func() {}, "r0", 0},
			{"too late", func() { s.daemons[0].faults.Delay(s.settings[1].Listen.Callers, 2*shortLimit) }, "r0", shortLimit},
			{"cut off", func() {
				s.daemons[0].faults.Heal(s.settings[1].Listen.Callers)
				s.daemons[0].faults.Cut(s.settings[1].Listen.Callers)
			}, "r0", shortLimit},
		}
		for _, test := range tests {
			test.before()
			request := streamRequest(test.about, test.row, 5)
			answer := s.offer(request, test.budget)
			_, ended, err := answer.take()
			s.Assert(err, qt.IsNil, qt.Commentf(test.about))
			s.Assert(ended, qt.IsFalse, qt.Commentf(test.about))
			if test.row == "absent" {
				s.Assert(answer.sent, qt.IsFalse)
			}
			s.Assert(s.executions(request) == 0 || answer.sent, qt.IsTrue, qt.Commentf(test.about))
		}
	})
}

func TestOfferIsEitherTakenOrGivenUp(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 2})
		newTry := func() *offerAttempt {
			submitted := newCall(streamRequest("offered", "r0", 5), func() {})
			return s.daemons[0].router.newOfferAttempt(s.ctx, submitted, "zone-1", time.Now().Add(longBudget))
		}
		taken := newTry()
		s.Assert(taken.accept(), qt.IsTrue)
		taken.timeOut()
		s.Assert(taken.ctx.Err(), qt.IsNil)
		late := newTry()
		late.timeOut()
		s.Assert(late.ctx.Err(), qt.IsNotNil)
		s.Assert(late.accept(), qt.IsFalse)
	})
}
