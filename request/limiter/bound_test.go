package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

// The simulated site plays routers that draw from a leader in virtual time, in steps of one
// millisecond. Leaders change, answers are late or lost, routers are cut off and restarted.
type simulatedSite struct {
	random  *rand.Rand
	at      time.Time
	bound   quota.Bound
	tenants []site.Tenant
	divider *quota.Divider
	routers []*simulatedRouter
	// spent lists what was admitted.
	spent []expense
	// refused and beyond count requests that were refused by the limit or for want of a leader.
	refused, unknown int
	// leaderlessUntil is when the next leader begins.
	leaderlessUntil time.Time
}

type expense struct {
	at   time.Time
	cost float64
}

type simulatedRouter struct {
	name     string
	limiter  *Limiter
	cutUntil time.Time
	// question is under way until answerAt; nil grants mean that its answer is lost.
	isAsking  bool
	askedAt   time.Time
	answerAt  time.Time
	grants    []quota.Grant
	isLost    bool
	refilled  time.Time
	frozenTil time.Time
}

const simulatedTenant = "t"

func newSimulatedSite(seed uint64, limit site.RateLimit, bound quota.Bound, routers int) *simulatedSite {
	s := &simulatedSite{
		random: rand.New(rand.NewPCG(seed, 7)), at: time.Unix(1000, 0), bound: bound,
		tenants: []site.Tenant{{Name: simulatedTenant, Limit: limit}},
	}
	s.elect()
	for i := range routers {
		s.routers = append(s.routers, &simulatedRouter{name: fmt.Sprint("r", i)})
		s.restart(s.routers[i])
	}
	return s
}

// elect begins a leadership that knows nothing of the former.
func (s *simulatedSite) elect() {
	s.divider = quota.New(s.at, s.bound)
	s.divider.SetTenants(s.at, s.tenants)
}

func (s *simulatedSite) restart(r *simulatedRouter) {
	r.limiter = New()
	r.limiter.SetTenants(s.tenants)
	r.isAsking = false
}

// request is one that comes to a router.
func (s *simulatedSite) request(r *simulatedRouter, cost float64) {
	at := s.at
	settle := func(verdict Verdict) {
		if verdict.IsAdmitted {
			s.spent = append(s.spent, expense{at, cost})
			return
		}
		s.refused++
	}
	waiter := &Waiter{Tenant: simulatedTenant, Cost: cost, Settle: settle}
	if verdict, isDecided := r.limiter.Admit(at, waiter); isDecided {
		settle(verdict)
	}
}

// step plays one millisecond.
func (s *simulatedSite) step() {
	s.at = s.at.Add(time.Millisecond)
	for _, r := range s.routers {
		if s.at.Before(r.frozenTil) {
			continue
		}
		s.stepRouter(r)
	}
}

func (s *simulatedSite) stepRouter(r *simulatedRouter) {
	if r.isAsking {
		if s.at.Before(r.answerAt) {
			return
		}
		r.isAsking = false
		if !r.isLost {
			r.limiter.Adopt(r.askedAt, s.at, r.grants)
		}
	}
	now, soon := r.limiter.IsAsking(s.at)
	if !now && !(soon && s.at.Sub(r.refilled) >= time.Second) {
		return
	}
	wants := r.limiter.Wants(s.at)
	if len(wants) == 0 {
		return
	}
	r.isAsking, r.askedAt, r.refilled, r.isLost = true, s.at, s.at, false
	r.answerAt = s.at.Add(time.Duration(2+s.random.IntN(5)) * time.Millisecond)
	if s.at.Before(s.leaderlessUntil) || s.at.Before(r.cutUntil) {
		r.isLost = true
		r.answerAt = s.at.Add(300 * time.Millisecond)
		return
	}
	r.grants = s.divider.Draw(s.at, r.name, wants)
	// The answer may be lost after the leader has counted it.
	r.isLost = s.random.IntN(50) == 0
}

// worst is the largest part of the bound that any window used.
func (s *simulatedSite) worst(limit site.RateLimit) float64 {
	allowed := (limit.Rate*s.bound.Window.Seconds()+limit.Burst)*(1+s.bound.Overshoot) + s.bound.Slack
	most, sum, first := 0.0, 0.0, 0
	for _, each := range s.spent {
		sum += each.cost
		for each.at.Sub(s.spent[first].at) > s.bound.Window {
			sum -= s.spent[first].cost
			first++
		}
		most = max(most, sum/allowed)
	}
	return most
}

// spentIn is what was admitted from a time on.
func (s *simulatedSite) spentSince(since time.Time) float64 {
	sum := 0.0
	for _, each := range s.spent {
		if !each.at.Before(since) {
			sum += each.cost
		}
	}
	return sum
}

var simulatedBound = quota.Bound{Window: 8 * time.Second, Overshoot: 0.1, Slack: 11000}

func TestNoWindowExceedsTheBound(t *testing.T) {
	for _, rate := range []float64{2700, 30000, 180000} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%g units a second, seed %d", rate, seed), func(t *testing.T) {
				limit := site.RateLimit{Unit: site.UnitTokens, Rate: rate, Burst: rate, PlainTokens: 200}
				s := newSimulatedSite(seed, limit, simulatedBound, 40)
				playTroubles(s, rate)
				most := s.worst(limit)
				qt.Assert(t, most <= 1, qt.IsTrue, qt.Commentf("a window used %.3f of the bound", most))
			})
		}
	}
}

// playTroubles plays half a minute in which the tenant asks for far more than its limit at times,
// while leaders change and routers are cut off, frozen and restarted.
func playTroubles(s *simulatedSite, rate float64) {
	const meanCost = 1500.0
	for millisecond := range 30000 {
		factor := 0.5
		if (millisecond/4000)%2 == 1 {
			factor = 5
		}
		expected := rate * factor / meanCost / 1000
		for ; expected > 0; expected-- {
			if s.random.Float64() < expected {
				s.request(s.routers[s.random.IntN(len(s.routers))], 100+s.random.ExpFloat64()*meanCost)
			}
		}
		if s.random.IntN(3000) == 0 {
			// The lease of the former leader has ended before the next begins.
			s.leaderlessUntil = s.at.Add(time.Duration(s.random.IntN(1500)) * time.Millisecond)
		}
		if s.at.Equal(s.leaderlessUntil) {
			s.elect()
		}
		r := s.routers[s.random.IntN(len(s.routers))]
		switch s.random.IntN(800) {
		case 0:
			s.restart(r)
		case 1:
			r.cutUntil = s.at.Add(time.Duration(s.random.IntN(6000)) * time.Millisecond)
		case 2:
			r.frozenTil = s.at.Add(time.Duration(s.random.IntN(3000)) * time.Millisecond)
		}
		s.step()
	}
}

// A tenant that stays below its limit is refused nothing while there is a leader, and one that
// asks for far more gets nearly all of its limit.
func TestLimitIsGivenWholeAndNotLess(t *testing.T) {
	for _, rate := range []float64{2700, 30000, 180000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			c := qt.New(t)
			limit := site.RateLimit{Unit: site.UnitTokens, Rate: rate, Burst: rate, PlainTokens: 200}
			s := newSimulatedSite(1, limit, simulatedBound, 86)
			play := func(factor float64, milliseconds int) {
				for range milliseconds {
					expected := rate * factor / 1500 / 1000
					for ; expected > 0; expected-- {
						if s.random.Float64() < expected {
							s.request(s.routers[s.random.IntN(len(s.routers))], 1500)
						}
					}
					s.step()
				}
			}
			play(0, 2000)
			play(0.55, 20000)
			c.Assert(s.refused, qt.Equals, 0)
			began := s.at
			play(4, 20000)
			used := s.spentSince(began) / (rate * 20)
			c.Assert(used >= 0.95, qt.IsTrue, qt.Commentf("%.3f of the limit was used", used))
			c.Assert(s.worst(limit) <= 1, qt.IsTrue)
		})
	}
}
