package limiter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

var began = time.Unix(1000, 0)

// newLimited holds nothing of the limit of a tenant t.
func newLimited() *Limiter {
	l := New()
	l.SetTenants([]site.Tenant{{Name: "t", Limit: site.RateLimit{Unit: site.UnitTokens, Rate: 100, Burst: 100}}})
	return l
}

// settling makes a request that notes what becomes of it.
func settling(cost float64) (*Waiter, *[]Verdict) {
	var verdicts []Verdict
	return &Waiter{Tenant: "t", Cost: cost, Settle: func(verdict Verdict) { verdicts = append(verdicts, verdict) }}, &verdicts
}

func TestEachRequestIsToldWhatBecomesOfIt(t *testing.T) {
	c := qt.New(t)
	l := newLimited()
	var waiters []*Waiter
	var verdicts []*[]Verdict
	for range 4 {
		waiter, verdict := settling(10)
		l.Admit(began, waiter)
		waiters, verdicts = append(waiters, waiter), append(verdicts, verdict)
	}
	c.Assert(l.Wants(began)[0].Waiting, qt.DeepEquals, []float64{10, 10, 10, 10})
	// One leaves, and another comes, while the question is under way.
	c.Assert(l.Cancel(waiters[1]), qt.IsTrue)
	late, lateVerdict := settling(10)
	l.Admit(began, late)
	answers := []quota.Answer{{ComeBackIn: time.Second}, {IsAdmitted: true}, {IsAdmitted: true}, {}}
	l.Adopt(began, began, []quota.Grant{{Tenant: "t", Amount: 20, Answers: answers, RoomIn: time.Second}})
	c.Assert(*verdicts[0], qt.DeepEquals, []Verdict{{ComeBackIn: time.Second}})
	c.Assert(*verdicts[1], qt.HasLen, 0)
	c.Assert(*verdicts[2], qt.DeepEquals, []Verdict{{IsAdmitted: true, Fresh: Fresh{Amount: 10, Asked: began}}})
	c.Assert(*verdicts[3], qt.HasLen, 0)
	c.Assert(*lateVerdict, qt.HasLen, 0)
	// Those that are not decided are asked for again, after a pause.
	c.Assert(l.Wants(began.Add(exhaustedPause-time.Millisecond)), qt.HasLen, 0)
	c.Assert(l.Wants(began.Add(exhaustedPause))[0].Waiting, qt.HasLen, 2)
}

func TestManyRoutersAskForARushMoreSeldom(t *testing.T) {
	c := qt.New(t)
	l := newLimited()
	l.SetRouters(800)
	waiter, _ := settling(10)
	l.Admit(began, waiter)
	l.Wants(began)
	l.Adopt(began, began, []quota.Grant{{Tenant: "t", Answers: []quota.Answer{{}}, RoomIn: time.Second}})
	c.Assert(l.Wants(began.Add(399*time.Millisecond)), qt.HasLen, 0)
	c.Assert(l.Wants(began.Add(400*time.Millisecond)), qt.HasLen, 1)
}

func TestLeaderOfTheVersionBeforeAdmitsTheFirst(t *testing.T) {
	c := qt.New(t)
	l := newLimited()
	first, admitted := settling(10)
	second, refused := settling(10)
	l.Admit(began, first)
	l.Admit(began, second)
	l.Wants(began)
	l.Adopt(began, began, []quota.Grant{{Tenant: "t", Amount: 10, RoomIn: 700 * time.Millisecond}})
	c.Assert(*admitted, qt.DeepEquals, []Verdict{{IsAdmitted: true}})
	c.Assert(*refused, qt.DeepEquals, []Verdict{{ComeBackIn: 700 * time.Millisecond}})
}

// What the leader granted for a request goes back to it once, and what was held before to what is held.
func TestRefundGoesWhereItCameFrom(t *testing.T) {
	c := qt.New(t)
	l := newLimited()
	waiter, verdicts := settling(10)
	l.Admit(began, waiter)
	l.Wants(began)
	l.Adopt(began, began, []quota.Grant{{Tenant: "t", Amount: 6, Keep: 4, Answers: []quota.Answer{{IsAdmitted: true}}}})
	c.Assert(*verdicts, qt.HasLen, 0, qt.Commentf("too little is held"))
	l.Wants(began)
	l.Adopt(began, began, []quota.Grant{{Tenant: "t", Amount: 6, Keep: 4, Answers: []quota.Answer{{IsAdmitted: true}}}})
	c.Assert((*verdicts)[0].Fresh, qt.Equals, Fresh{Amount: 6, Asked: began})
	l.Refund(began.Add(time.Second), "t", 10, (*verdicts)[0].Fresh)
	c.Assert(l.Held(began.Add(time.Second), "t"), qt.Equals, 4.0)
	returned := l.Wants(began.Add(2 * time.Second))[0].Returned
	c.Assert(returned, qt.DeepEquals, []quota.Return{{Amount: 6, Age: 2 * time.Second}})
	for _, want := range l.Wants(began.Add(2 * time.Second)) {
		c.Assert(want.Returned, qt.HasLen, 0)
	}
}
