package limiter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

var start = time.Unix(1000, 0)

// newTestLimiter returns a Limiter that holds nothing of the limit of a tenant t.
func newTestLimiter() *Limiter {
	l := New()
	l.SetTenants([]site.Tenant{{Name: "t", Limit: site.RateLimit{Unit: site.UnitTokens, Rate: 100, Burst: 100}}})
	return l
}

// newWaiter returns a waiter and the list of its verdicts.
func newWaiter(cost float64) (*Waiter, *[]Verdict) {
	var verdicts []Verdict
	return &Waiter{Tenant: "t", Cost: cost, Unit: site.UnitTokens, Tokens: int64(cost), Settle: func(verdict Verdict) { verdicts = append(verdicts, verdict) }}, &verdicts
}

func TestAdoptSettlesEachWaiter(t *testing.T) {
	c := qt.New(t)
	l := newTestLimiter()
	var waiters []*Waiter
	var verdicts []*[]Verdict
	for range 4 {
		waiter, verdict := newWaiter(10)
		l.Admit(start, waiter)
		waiters, verdicts = append(waiters, waiter), append(verdicts, verdict)
	}
	c.Assert(l.Wants(start)[0].Waiting, qt.DeepEquals, []float64{10, 10, 10, 10})
	// One waiter is cancelled and another one added while the call is in flight.
	c.Assert(l.Cancel(waiters[1]), qt.IsTrue)
	late, lateVerdict := newWaiter(10)
	l.Admit(start, late)
	answers := []quota.Answer{{ComeBackIn: time.Second}, {IsAdmitted: true}, {IsAdmitted: true}, {}}
	l.Adopt(start, start, []quota.Grant{{Tenant: "t", Amount: 20, Answers: answers, RoomIn: time.Second}})
	c.Assert(*verdicts[0], qt.DeepEquals, []Verdict{{RetryAfter: time.Second}})
	c.Assert(*verdicts[1], qt.HasLen, 0)
	c.Assert(*verdicts[2], qt.DeepEquals, []Verdict{{IsAdmitted: true, Granted: LeaderGrant{Amount: 10, Asked: start}}})
	c.Assert(*verdicts[3], qt.HasLen, 0)
	c.Assert(*lateVerdict, qt.HasLen, 0)
	// The undecided ones are asked for again after minAskInterval.
	c.Assert(l.Wants(start.Add(minAskInterval-time.Millisecond)), qt.HasLen, 0)
	c.Assert(l.Wants(start.Add(minAskInterval))[0].Waiting, qt.HasLen, 2)
}

func TestAskIntervalGrowsWithRouters(t *testing.T) {
	c := qt.New(t)
	l := newTestLimiter()
	l.SetRouters(800)
	waiter, _ := newWaiter(10)
	l.Admit(start, waiter)
	l.Wants(start)
	l.Adopt(start, start, []quota.Grant{{Tenant: "t", Answers: []quota.Answer{{}}, RoomIn: time.Second}})
	c.Assert(l.Wants(start.Add(399*time.Millisecond)), qt.HasLen, 0)
	c.Assert(l.Wants(start.Add(400*time.Millisecond)), qt.HasLen, 1)
}

func TestPreviousLeaderVersionAdmitsInOrder(t *testing.T) {
	c := qt.New(t)
	l := newTestLimiter()
	first, admitted := newWaiter(10)
	second, refused := newWaiter(10)
	l.Admit(start, first)
	l.Admit(start, second)
	l.Wants(start)
	l.Adopt(start, start, []quota.Grant{{Tenant: "t", Amount: 10, RoomIn: 700 * time.Millisecond}})
	c.Assert(*admitted, qt.DeepEquals, []Verdict{{IsAdmitted: true}})
	c.Assert(*refused, qt.DeepEquals, []Verdict{{RetryAfter: 700 * time.Millisecond}})
}

// The amount granted for a request goes back to the leader once, and the rest to the held share.
func TestRefundReturnsGrantOnce(t *testing.T) {
	c := qt.New(t)
	l := newTestLimiter()
	waiter, verdicts := newWaiter(10)
	l.Admit(start, waiter)
	l.Wants(start)
	l.Adopt(start, start, []quota.Grant{{Tenant: "t", Amount: 6, Keep: 4, Answers: []quota.Answer{{IsAdmitted: true}}}})
	c.Assert(*verdicts, qt.HasLen, 0, qt.Commentf("too little is held"))
	l.Wants(start)
	l.Adopt(start, start, []quota.Grant{{Tenant: "t", Amount: 6, Keep: 4, Answers: []quota.Answer{{IsAdmitted: true}}}})
	c.Assert((*verdicts)[0].Granted, qt.Equals, LeaderGrant{Amount: 6, Asked: start})
	l.Refund(start.Add(time.Second), "t", site.UnitTokens, 10, (*verdicts)[0].Granted)
	c.Assert(l.Held(start.Add(time.Second), "t"), qt.Equals, 4.0)
	returned := l.Wants(start.Add(2 * time.Second))[0].Returned
	c.Assert(returned, qt.DeepEquals, []quota.Return{{Amount: 6, Age: 2 * time.Second}})
	for _, want := range l.Wants(start.Add(2 * time.Second)) {
		c.Assert(want.Returned, qt.HasLen, 0)
	}
}

// Guards against tokens that are counted as requests after the unit of a limit has changed: those of requests that did not run, of a
// grant in flight, and of requests that wait.
func TestChangedUnitDropsWhatWasCountedInTheFormer(t *testing.T) {
	requests := []site.Tenant{{Name: "t", Limit: site.RateLimit{Unit: site.UnitRequests, Rate: 100, Burst: 100}}}
	grant := []quota.Grant{{Tenant: "t", Amount: 30, Keep: 30, Answers: []quota.Answer{{IsAdmitted: true}}}}
	// admitted returns a Limiter that has admitted a request of 20 tokens, and its verdict.
	admitted := func(c *qt.C) (*Limiter, Verdict) {
		l := newTestLimiter()
		waiter, verdicts := newWaiter(20)
		l.Admit(start, waiter)
		l.Wants(start)
		l.Adopt(start, start, grant)
		c.Assert(*verdicts, qt.HasLen, 1)
		return l, (*verdicts)[0]
	}
	t.Run("a refund", func(t *testing.T) {
		c := qt.New(t)
		l, verdict := admitted(c)
		l.SetTenants(requests)
		l.Wants(start)
		l.Adopt(start, start, []quota.Grant{{Tenant: "t", Amount: 1, Keep: 100}})
		l.Refund(start, "t", site.UnitTokens, 20, verdict.Granted)
		c.Assert(l.Held(start, "t"), qt.Equals, 1.0)
		for _, want := range l.Wants(start.Add(time.Second)) {
			c.Assert(want.Returned, qt.HasLen, 0)
		}
	})
	t.Run("a refund that waits for a call", func(t *testing.T) {
		c := qt.New(t)
		l, verdict := admitted(c)
		l.Refund(start, "t", site.UnitTokens, 20, verdict.Granted)
		l.SetTenants(requests)
		for _, want := range l.Wants(start.Add(time.Second)) {
			c.Assert(want.Returned, qt.HasLen, 0)
		}
	})
	t.Run("a grant in flight", func(t *testing.T) {
		c := qt.New(t)
		l := newTestLimiter()
		waiter, verdicts := newWaiter(20)
		l.Admit(start, waiter)
		l.Wants(start)
		l.SetTenants(requests)
		l.Adopt(start, start, grant)
		c.Assert(l.Held(start, "t"), qt.Equals, 0.0)
		c.Assert(*verdicts, qt.HasLen, 0)
		// The next call is about requests.
		l.Wants(start)
		l.Adopt(start, start, grant)
		c.Assert(l.Held(start, "t"), qt.Equals, 29.0)
		c.Assert(*verdicts, qt.HasLen, 1)
	})
	t.Run("requests that wait and come", func(t *testing.T) {
		c := qt.New(t)
		l := newTestLimiter()
		waiting, _ := newWaiter(20)
		l.Admit(start, waiting)
		l.SetTenants(requests)
		// The router of this one has read the limit before it changed.
		late, _ := newWaiter(30)
		l.Admit(start, late)
		c.Assert(l.Wants(start)[0].Waiting, qt.DeepEquals, []float64{1, 1})
	})
}
