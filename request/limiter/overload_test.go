package limiter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

// requestClass is a kind of request of the overloaded tenant.
type requestClass struct {
	name      string
	cost      float64
	perSecond float64
	objective time.Duration
	wait      time.Duration
}

var requestClasses = []requestClass{
	{name: "urgent", cost: 716, perSecond: 73, objective: 400 * time.Millisecond, wait: 5 * time.Second},
	{name: "patient", cost: 716, perSecond: 14, objective: 6 * time.Second, wait: 17 * time.Second},
	{name: "long", cost: 9239, perSecond: 3, objective: 600 * time.Millisecond, wait: 4 * time.Second},
}

// classTally counts the outcomes of the requests of one class.
type classTally struct {
	asked  int
	inTime int
	late   int
	// retried counts retries after the given delay, rejectedRetries those of them that were rejected again.
	retried         int
	rejectedRetries int
}

func (t classTally) served() float64 { return float64(t.inTime+t.late) / float64(t.asked) }

// overloadRun simulates one tenant at a multiple of its usual use over many routers. Rejected requests
// are retried once: after the given delay, or after a third of their remaining time if that is
// sooner.
type overloadRun struct {
	*simulatedSite
	tallies map[string]*classTally
	retries []pendingRetry
	// seconds is the cost admitted in each second.
	seconds []float64
	next    uint64
	began   time.Time
	// impatient makes a quarter of the callers, selected by digest, retry repeatedly after a fifth of
	// the given delay.
	impatient bool
	early     classTally
}

type pendingRetry struct {
	at                time.Time
	class             *requestClass
	arrived           time.Time
	digest            uint64
	followsRetryAfter bool
}

func newOverloadRun(limit site.RateLimit, routers int) *overloadRun {
	r := &overloadRun{simulatedSite: newSimulatedSite(3, limit, simulatedBound, routers), tallies: make(map[string]*classTally)}
	for _, class := range requestClasses {
		r.tallies[class.name] = &classTally{}
	}
	r.began = r.at
	return r
}

func (r *overloadRun) ask(class *requestClass, arrived time.Time, digest uint64, isRetry, followsRetryAfter bool) {
	tally, asked := r.tallies[class.name], r.at
	if r.isImpatient(digest) {
		tally = &r.early
		if !isRetry {
			r.tallies[class.name].asked--
			tally.asked++
		}
	}
	deadline := arrived.Add(class.wait)
	third := deadline.Sub(asked) / 3
	waiter := &Waiter{Tenant: simulatedTenant, Cost: class.cost, Unit: site.UnitTokens, Asked: asked}
	waiter.Ask = quota.Ask{Class: class.name, Digest: digest, Due: arrived.Add(class.objective).Sub(asked), Away: third - 150*time.Millisecond}
	settle := func(verdict Verdict) {
		if verdict.IsAdmitted {
			if r.at.Sub(arrived) <= class.objective {
				tally.inTime++
			} else {
				tally.late++
			}
			r.admitted = append(r.admitted, admission{r.at, class.cost})
			second := int(r.at.Sub(r.began) / time.Second)
			for len(r.seconds) <= second {
				r.seconds = append(r.seconds, 0)
			}
			r.seconds[second] += class.cost
			return
		}
		if isRetry && !r.isImpatient(digest) {
			if followsRetryAfter {
				tally.rejectedRetries++
			}
			return
		}
		if third < 100*time.Millisecond {
			return
		}
		after := min(verdict.RetryAfter, third)
		if r.isImpatient(digest) {
			after /= 5
		}
		r.retries = append(r.retries, pendingRetry{
			at: r.at.Add(after), class: class, arrived: arrived, digest: digest, followsRetryAfter: verdict.RetryAfter <= third,
		})
	}
	waiter.Settle = settle
	router := r.routers[r.random.IntN(len(r.routers))]
	if verdict, isDecided := router.limiter.Admit(r.at, waiter); isDecided {
		settle(verdict)
	}
}

func (r *overloadRun) isImpatient(digest uint64) bool { return r.impatient && digest%4 == 0 }

// play simulates some seconds at a multiple of the usual use.
func (r *overloadRun) play(factor float64, seconds int) {
	for range seconds * 1000 {
		r.stepFor(factor)
	}
}

// stepFor simulates one millisecond.
func (r *overloadRun) stepFor(factor float64) {
	for i := range requestClasses {
		class := &requestClasses[i]
		if r.random.Float64() < class.perSecond*factor/1000 {
			r.next++
			r.tallies[class.name].asked++
			r.ask(class, r.at, r.next, false, false)
		}
	}
	due := r.retries
	r.retries = nil
	for _, each := range due {
		if each.at.After(r.at) {
			r.retries = append(r.retries, each)
			continue
		}
		if each.followsRetryAfter && !r.isImpatient(each.digest) {
			r.tallies[each.class.name].retried++
		}
		r.ask(each.class, each.arrived, each.digest, true, each.followsRetryAfter)
	}
	r.step()
}

// A tenant at six times its usual use, which is 0.85 of its limit: admissions must be spread over every
// second, retry delays must hold, and no class of requests may starve.
func TestOverloadIsServedEvenly(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	limit := site.RateLimit{Unit: site.UnitTokens, Rate: 105571, Burst: 105571, PlainTokens: 200}
	r := newOverloadRun(limit, 40)
	r.play(1, 10)
	usual := *r.tallies["urgent"]
	c.Assert(usual.inTime, qt.Equals, usual.asked, qt.Commentf("refused while within its limit"))
	for name := range r.tallies {
		*r.tallies[name] = classTally{}
	}
	r.play(6, 12)
	// Let the rejected requests be retried.
	r.play(0, 6)
	for _, class := range requestClasses {
		tally := r.tallies[class.name]
		t.Logf("%s: %+v, served %.3f", class.name, *tally, tally.served())
	}
	t.Logf("%.0f", r.seconds)
	// Room is reserved for retries, and a long request may fall into the next second.
	for second := 12; second < 21; second++ {
		c.Assert(r.seconds[second] >= 0.7*limit.Rate, qt.IsTrue, qt.Commentf("second %d: %.0f", second, r.seconds[second]))
		three := r.seconds[second] + r.seconds[second-1] + r.seconds[second-2]
		c.Assert(three >= 3*0.9*limit.Rate, qt.IsTrue, qt.Commentf("three seconds up to %d: %.0f", second, three))
	}
	c.Assert(r.maxWindowUse(limit) <= 1, qt.IsTrue)
	for _, class := range requestClasses {
		tally := r.tallies[class.name]
		// The limit is slightly above a sixth of the demand.
		c.Assert(tally.served() >= 0.2, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *tally))
		// The simulation loses 1 in 50 answers of the leader after it has counted them.
		c.Assert(tally.rejectedRetries <= tally.retried/20, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *tally))
	}
}

// The leader fails under overload, and another one starts from the log half a second later. The tenant
// loses at most the reserved and not yet granted amount.
func TestOverloadAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	limit := site.RateLimit{Unit: site.UnitTokens, Rate: 105571, Burst: 105571, PlainTokens: 200}
	r := newOverloadRun(limit, 40)
	r.play(1, 4)
	r.play(6, 6)
	r.leaderlessUntil = r.at.Add(500 * time.Millisecond)
	for range 500 {
		r.stepFor(6)
	}
	r.elect()
	r.play(6, 8)
	t.Logf("%.0f", r.seconds)
	c.Assert(r.maxWindowUse(limit) <= 1, qt.IsTrue)
	sum := 0.0
	for second := 11; second < 18; second++ {
		c.Assert(r.seconds[second] >= limit.Rate/2, qt.IsTrue, qt.Commentf("second %d: %.0f", second, r.seconds[second]))
		sum += r.seconds[second]
	}
	// Up to 0.4 s of reservations counts as granted.
	c.Assert(sum >= 6.5*limit.Rate, qt.IsTrue, qt.Commentf("%.0f in 7 s", sum))
}

// A quarter of the callers retry too early, again and again. This must not affect those that wait.
func TestEarlyRetriesDoNotPenalizeOthers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	limit := site.RateLimit{Unit: site.UnitTokens, Rate: 105571, Burst: 105571, PlainTokens: 200}
	r := newOverloadRun(limit, 40)
	r.impatient = true
	r.play(1, 10)
	r.play(6, 10)
	r.play(0, 6)
	t.Logf("early: %+v, served %.3f", r.early, r.early.served())
	for _, class := range requestClasses {
		tally := r.tallies[class.name]
		t.Logf("%s: %+v, served %.3f", class.name, *tally, tally.served())
		// The simulation loses 1 in 50 answers; 3 allows for chance where few requests are retried.
		c.Assert(tally.rejectedRetries <= tally.retried/20+3, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *tally))
		c.Assert(tally.served() >= 0.2, qt.IsTrue, qt.Commentf("%s: %+v", class.name, *tally))
	}
	c.Assert(r.maxWindowUse(limit) <= 1, qt.IsTrue)
}

// A limit is lowered to a tenth under overload. Waiters and retries count against the new limit, and one
// window later no more than it is admitted.
func TestLoweredLimitHoldsUnderOverload(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	limit := site.RateLimit{Unit: site.UnitTokens, Rate: 105571, Burst: 105571, PlainTokens: 200}
	r := newOverloadRun(limit, 40)
	r.play(6, 6)
	lower := limit
	lower.Rate, lower.Burst = limit.Rate/10, limit.Burst/10
	r.tenants = []site.Tenant{{Name: simulatedTenant, Limit: lower}}
	r.divider.SetTenants(r.at, r.tenants)
	for _, router := range r.routers {
		router.limiter.SetTenants(r.tenants)
	}
	r.admitted = nil
	r.play(6, 16)
	t.Logf("%.0f", r.seconds)
	c.Assert(r.maxWindowUse(lower) <= 1, qt.IsTrue)
	// The whole limit is granted once earlier use has left the window, except for a remainder of up to one
	// long request, a tenth of it.
	c.Assert(r.admittedSince(r.at.Add(-8*time.Second)) >= 0.9*(8*lower.Rate+lower.Burst), qt.IsTrue)
}
