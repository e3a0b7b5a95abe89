package limiter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

// rushClass is one kind of request of a tenant in a rush: small ones that a driver waits for,
// patient ones, and long ones.
type rushClass struct {
	name      string
	cost      float64
	perSecond float64
	objective time.Duration
	wait      time.Duration
}

var rushClasses = []rushClass{
	{name: "urgent", cost: 716, perSecond: 73, objective: 400 * time.Millisecond, wait: 5 * time.Second},
	{name: "patient", cost: 716, perSecond: 14, objective: 6 * time.Second, wait: 17 * time.Second},
	{name: "long", cost: 9239, perSecond: 3, objective: 600 * time.Millisecond, wait: 4 * time.Second},
}

// rushTally counts what became of the callers of one class.
type rushTally struct {
	asked  int
	inTime int
	late   int
	// returned came back when they were told, and refusedAgain of them were refused again.
	returned     int
	refusedAgain int
}

func (t rushTally) served() float64 { return float64(t.inTime+t.late) / float64(t.asked) }

// rush plays one tenant at a multiple of its use over many routers, in virtual time. Callers come
// back once: when they are told, or after a third of the time that they have left, if that is
// sooner.
type rush struct {
	*simulatedSite
	tallies map[string]*rushTally
	returns []rushReturn
	// seconds is what was admitted in each second.
	seconds []float64
	next    uint64
	began   time.Time
	// impatient is the part of the callers that come back after a fifth of the time that they were
	// told, again and again; the parity of digests tells them apart.
	impatient bool
	early     rushTally
}

type rushReturn struct {
	at      time.Time
	class   *rushClass
	arrived time.Time
	digest  uint64
	isTimed bool
}

func newRush(limit site.RateLimit, routers int) *rush {
	r := &rush{simulatedSite: newSimulatedSite(3, limit, simulatedBound, routers), tallies: make(map[string]*rushTally)}
	for _, class := range rushClasses {
		r.tallies[class.name] = &rushTally{}
	}
	r.began = r.at
	return r
}

func (r *rush) ask(class *rushClass, arrived time.Time, digest uint64, isReturn, isTimed bool) {
	tally, asked := r.tallies[class.name], r.at
	if r.isImpatient(digest) {
		tally = &r.early
		if !isReturn {
			r.tallies[class.name].asked--
			tally.asked++
		}
	}
	deadline := arrived.Add(class.wait)
	third := deadline.Sub(asked) / 3
	waiter := &Waiter{Tenant: simulatedTenant, Cost: class.cost, Asked: asked}
	waiter.Ask = quota.Ask{Class: class.name, Digest: digest, Due: arrived.Add(class.objective).Sub(asked), Away: third - 150*time.Millisecond}
	settle := func(verdict Verdict) {
		if verdict.IsAdmitted {
			if r.at.Sub(arrived) <= class.objective {
				tally.inTime++
			} else {
				tally.late++
			}
			r.spent = append(r.spent, expense{r.at, class.cost})
			second := int(r.at.Sub(r.began) / time.Second)
			for len(r.seconds) <= second {
				r.seconds = append(r.seconds, 0)
			}
			r.seconds[second] += class.cost
			return
		}
		if isReturn && !r.isImpatient(digest) {
			if isTimed {
				tally.refusedAgain++
			}
			return
		}
		if third < 100*time.Millisecond {
			return
		}
		after := min(verdict.ComeBackIn, third)
		if r.isImpatient(digest) {
			after /= 5
		}
		r.returns = append(r.returns, rushReturn{
			at: r.at.Add(after), class: class, arrived: arrived, digest: digest, isTimed: verdict.ComeBackIn <= third,
		})
	}
	waiter.Settle = settle
	router := r.routers[r.random.IntN(len(r.routers))]
	if verdict, isDecided := router.limiter.Admit(r.at, waiter); isDecided {
		settle(verdict)
	}
}

func (r *rush) isImpatient(digest uint64) bool { return r.impatient && digest%4 == 0 }

// play goes on for some seconds at a multiple of the usual use.
func (r *rush) play(factor float64, seconds int) {
	for range seconds * 1000 {
		r.stepFor(factor)
	}
}

// stepFor plays one millisecond.
func (r *rush) stepFor(factor float64) {
	for i := range rushClasses {
		class := &rushClasses[i]
		if r.random.Float64() < class.perSecond*factor/1000 {
			r.next++
			r.tallies[class.name].asked++
			r.ask(class, r.at, r.next, false, false)
		}
	}
	due := r.returns
	r.returns = nil
	for _, each := range due {
		if each.at.After(r.at) {
			r.returns = append(r.returns, each)
			continue
		}
		if each.isTimed && !r.isImpatient(each.digest) {
			r.tallies[each.class.name].returned++
		}
		r.ask(each.class, each.arrived, each.digest, true, each.isTimed)
	}
	r.step()
}

// The load: one tenant over 40 routers at its usual use, 0.85 of its limit, and then for 12 s at
// six times that, of all kinds alike. What callers need: that those who wait for an answer are
// served in every second rather than in the first alone; that a time to come back at is true; and
// that no kind of request is shut out for another.
func TestRushOfOneTenantIsPaced(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	limit := site.RateLimit{Unit: site.UnitTokens, Rate: 105571, Burst: 105571, PlainTokens: 200}
	r := newRush(limit, 40)
	r.play(1, 10)
	usual := *r.tallies["urgent"]
	c.Assert(usual.inTime, qt.Equals, usual.asked, qt.Commentf("refused while within its limit"))
	for name := range r.tallies {
		*r.tallies[name] = rushTally{}
	}
	r.play(6, 12)
	// Those who were told to come back do so.
	r.play(0, 6)
	for _, class := range rushClasses {
		tally := r.tallies[class.name]
		t.Logf("%s: %+v, served %.3f", class.name, *tally, tally.served())
	}
	t.Logf("%.0f", r.seconds)
	// Room is kept for promises, and a long request may fall into the second after.
	for second := 12; second < 21; second++ {
		c.Assert(r.seconds[second] >= 0.7*limit.Rate, qt.IsTrue, qt.Commentf("second %d: %.0f", second, r.seconds[second]))
		three := r.seconds[second] + r.seconds[second-1] + r.seconds[second-2]
		c.Assert(three >= 3*0.9*limit.Rate, qt.IsTrue, qt.Commentf("three seconds up to %d: %.0f", second, three))
	}
	c.Assert(r.worst(limit) <= 1, qt.IsTrue)
	for _, class := range rushClasses {
		tally := r.tallies[class.name]
		// The rate is a sixth and a little more of what is asked for.
		c.Assert(tally.served() >= 0.2, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *tally))
		// The play loses 1 in 50 answers of the leader after it has counted them.
		c.Assert(tally.refusedAgain <= tally.returned/20, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *tally))
	}
}

// Half a second after the leader froze in the midst of a rush another begins, which knows what is in
// the log. The tenant is served in every second from then on, and misses no more of its rate than
// what was reserved and not granted.
func TestRushGoesOnUnderAnotherLeader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	limit := site.RateLimit{Unit: site.UnitTokens, Rate: 105571, Burst: 105571, PlainTokens: 200}
	r := newRush(limit, 40)
	r.play(1, 4)
	r.play(6, 6)
	r.leaderlessUntil = r.at.Add(500 * time.Millisecond)
	for range 500 {
		r.stepFor(6)
	}
	r.elect()
	r.play(6, 8)
	t.Logf("%.0f", r.seconds)
	c.Assert(r.worst(limit) <= 1, qt.IsTrue)
	sum := 0.0
	for second := 11; second < 18; second++ {
		c.Assert(r.seconds[second] >= limit.Rate/2, qt.IsTrue, qt.Commentf("second %d: %.0f", second, r.seconds[second]))
		sum += r.seconds[second]
	}
	// What was reserved ahead, of 0.4 s, counts as granted.
	c.Assert(sum >= 6.5*limit.Rate, qt.IsTrue, qt.Commentf("%.0f in 7 s", sum))
}

// A quarter of the callers come back after a fifth of the time that they were told, again and again.
// That must not cost those who come back when they were told.
func TestCallersThatRepeatEarlyTakeNothingFromOthers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	limit := site.RateLimit{Unit: site.UnitTokens, Rate: 105571, Burst: 105571, PlainTokens: 200}
	r := newRush(limit, 40)
	r.impatient = true
	r.play(1, 10)
	r.play(6, 10)
	r.play(0, 6)
	t.Logf("early: %+v, served %.3f", r.early, r.early.served())
	for _, class := range rushClasses {
		tally := r.tallies[class.name]
		t.Logf("%s: %+v, served %.3f", class.name, *tally, tally.served())
		// The play loses 1 in 50 answers of the leader; 3 more come by chance where few return.
		c.Assert(tally.refusedAgain <= tally.returned/20+3, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *tally))
		c.Assert(tally.served() >= 0.2, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *tally))
	}
	c.Assert(r.worst(limit) <= 1, qt.IsTrue)
}

// A limit is lowered to a tenth in the midst of a rush. What waits and what was promised counts by
// the new limit from then on, and one window later nothing above it is admitted.
func TestLimitLoweredInARushHolds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	limit := site.RateLimit{Unit: site.UnitTokens, Rate: 105571, Burst: 105571, PlainTokens: 200}
	r := newRush(limit, 40)
	r.play(6, 6)
	lower := limit
	lower.Rate, lower.Burst = limit.Rate/10, limit.Burst/10
	r.tenants = []site.Tenant{{Name: simulatedTenant, Limit: lower}}
	r.divider.SetTenants(r.at, r.tenants)
	for _, router := range r.routers {
		router.limiter.SetTenants(r.tenants)
	}
	r.spent = nil
	r.play(6, 16)
	t.Logf("%.0f", r.seconds)
	c.Assert(r.worst(lower) <= 1, qt.IsTrue)
	// It is granted once what was used before has left the window, but for what a long request, a tenth
	// of it, leaves.
	c.Assert(r.spentSince(r.at.Add(-8*time.Second)) >= 0.9*(8*lower.Rate+lower.Burst), qt.IsTrue)
}
