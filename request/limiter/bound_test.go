package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

// simulatedSite simulates routers that draw from a leader, in steps of one millisecond. Leaders
// change, reservations and answers are delayed or lost, and routers are partitioned, frozen and
// restarted.
type simulatedSite struct {
	random  *rand.Rand
	at      time.Time
	bound   quota.Bound
	tenants []site.Tenant
	// log survives leader changes.
	log     *domain.Machine
	divider *quota.Divider
	// proposal is in progress until committedAt; nil for none.
	proposal    []quota.Part
	decided     time.Time
	last        time.Time
	committedAt time.Time
	routers     []*simulatedRouter
	// admitted lists the admitted requests that were run.
	admitted []admission
	// rejected counts the requests rejected by the limit.
	refused int
	// leaderlessUntil is when the next leader takes over.
	leaderlessUntil time.Time
	// unrunShare is the share of admitted requests that no runner runs. refunds are those not yet
	// given back.
	unrunShare float64
	refunds    []simulatedRefund
	question   uint64
}

// simulatedRefund is given back to the limiter that admitted it, unless that was restarted.
type simulatedRefund struct {
	at      time.Time
	router  *simulatedRouter
	limiter *Limiter
	cost    float64
	fresh   LeaderGrant
}

type admission struct {
	at   time.Time
	cost float64
}

type simulatedRouter struct {
	name     string
	limiter  *Limiter
	cutUntil time.Time
	// While isAsking is set, a call is in flight: the leader receives it at arrivesAt and answers
	// at once, or by waitsUntil if it lacks reservations. The answer arrives at answerAt.
	isAsking    bool
	askedAt     time.Time
	arrivesAt   time.Time
	waitsUntil  time.Time
	wants       []quota.Want
	question    uint64
	answerAt    time.Time
	grants      []quota.Grant
	isLost      bool
	refilled    time.Time
	frozenUntil time.Time
}

const simulatedTenant = "t"

func newSimulatedSite(seed uint64, limit site.RateLimit, bound quota.Bound, routers int) *simulatedSite {
	s := &simulatedSite{
		random: rand.New(rand.NewPCG(seed, 7)), at: time.Unix(1000, 0), bound: bound, log: domain.NewMachine(),
		tenants: []site.Tenant{{Name: simulatedTenant, Limit: limit}},
	}
	s.elect()
	for i := range routers {
		s.routers = append(s.routers, &simulatedRouter{name: fmt.Sprint("r", i)})
		s.restart(s.routers[i])
	}
	return s
}

// elect starts a leader from the log.
func (s *simulatedSite) elect() {
	if s.proposal != nil && s.random.IntN(2) == 0 {
		s.commit()
	}
	s.proposal, s.last = nil, s.at
	s.divider = quota.New(s.at, s.bound, s.log.Reservations())
	s.divider.SetTenants(s.at, s.tenants)
}

func (s *simulatedSite) commit() {
	command, err := domain.Command{Reserve: &domain.Reservation{
		Since: s.decided.Sub(s.last), Keep: s.bound.ReservationRetention(), Parts: s.proposal,
	}}.Encode()
	if err != nil {
		panic(err)
	}
	s.log.Apply(1, 1, command)
	s.last = s.decided
}

// stepLeader proposes reservations and commits them some milliseconds later.
func (s *simulatedSite) stepLeader() {
	if s.at.Before(s.leaderlessUntil) {
		return
	}
	if s.proposal != nil {
		if s.at.Before(s.committedAt) {
			return
		}
		s.commit()
		s.divider.Reserved(s.decided, s.proposal)
		s.proposal = nil
		return
	}
	if s.proposal = s.divider.Reserve(s.at); s.proposal != nil {
		s.decided = s.at
		s.committedAt = s.at.Add(time.Duration(3+s.random.IntN(20)) * time.Millisecond)
	}
}

func (s *simulatedSite) restart(r *simulatedRouter) {
	r.limiter = New()
	r.limiter.SetTenants(s.tenants)
	r.isAsking = false
}

// request sends a request to a router.
func (s *simulatedSite) request(r *simulatedRouter, cost float64) {
	at, from := s.at, r.limiter
	settle := func(verdict Verdict) {
		if verdict.IsAdmitted && s.unrunShare > 0 && s.random.Float64() < s.unrunShare {
			after := time.Duration(s.random.IntN(2500)) * time.Millisecond
			s.refunds = append(s.refunds, simulatedRefund{s.at.Add(after), r, from, cost, verdict.Granted})
			return
		}
		if verdict.IsAdmitted {
			s.admitted = append(s.admitted, admission{s.at, cost})
			return
		}
		s.refused++
	}
	waiter := &Waiter{Tenant: simulatedTenant, Cost: cost, Unit: site.UnitTokens, Settle: settle}
	if verdict, isDecided := r.limiter.Admit(at, waiter); isDecided {
		settle(verdict)
	}
}

// step simulates one millisecond.
func (s *simulatedSite) step() {
	s.at = s.at.Add(time.Millisecond)
	s.stepLeader()
	s.refund()
	for _, r := range s.routers {
		if s.at.Before(r.frozenUntil) {
			continue
		}
		s.answer(r)
		s.ask(r)
	}
}

func (s *simulatedSite) refund() {
	kept := s.refunds[:0]
	for _, each := range s.refunds {
		switch {
		case each.at.After(s.at):
			kept = append(kept, each)
		case each.router.limiter == each.limiter:
			each.limiter.Refund(s.at, simulatedTenant, site.UnitTokens, each.cost, each.fresh)
		}
	}
	s.refunds = kept
}

// answer advances a router's call to the leader.
func (s *simulatedSite) answer(r *simulatedRouter) {
	if !r.isAsking || s.at.Before(r.arrivesAt) {
		return
	}
	if r.wants != nil {
		s.divider.ApplyReturns(s.at, quota.RouterProcess{Router: r.name}, r.question, r.wants)
		if s.divider.RecordShortfalls(s.at, r.name, r.wants) && s.at.Before(r.waitsUntil) {
			return
		}
		r.grants, r.wants = s.divider.Draw(s.at, r.name, r.wants), nil
		r.answerAt = s.at.Add(time.Duration(1+s.random.IntN(3)) * time.Millisecond)
		// The answer may be lost after the leader has counted it.
		r.isLost = s.random.IntN(50) == 0
	}
	if s.at.Before(r.answerAt) {
		return
	}
	r.isAsking = false
	if !r.isLost {
		r.limiter.Adopt(r.askedAt, s.at, r.grants)
	}
}

func (s *simulatedSite) ask(r *simulatedRouter) {
	if r.isAsking {
		return
	}
	now, soon := r.limiter.NeedsLeader(s.at)
	if !now && !(soon && s.at.Sub(r.refilled) >= time.Second) {
		return
	}
	wants := r.limiter.Wants(s.at)
	if len(wants) == 0 {
		return
	}
	s.question++
	r.isAsking, r.askedAt, r.refilled, r.question = true, s.at, s.at, s.question
	if s.at.Before(s.leaderlessUntil) || s.at.Before(r.cutUntil) {
		r.arrivesAt, r.answerAt, r.wants, r.isLost = s.at, s.at.Add(300*time.Millisecond), nil, true
		return
	}
	r.arrivesAt = s.at.Add(time.Duration(1+s.random.IntN(3)) * time.Millisecond)
	r.waitsUntil = r.arrivesAt.Add(150 * time.Millisecond)
	r.wants = wants
}

// maxWindowUse returns the largest share of the bound used in any window.
func (s *simulatedSite) maxWindowUse(limit site.RateLimit) float64 {
	allowed := (limit.Rate*s.bound.Window.Seconds()+limit.Burst)*(1+s.bound.Overshoot) + s.bound.Slack
	most, sum, first := 0.0, 0.0, 0
	for _, each := range s.admitted {
		sum += each.cost
		for each.at.Sub(s.admitted[first].at) > s.bound.Window {
			sum -= s.admitted[first].cost
			first++
		}
		most = max(most, sum/allowed)
	}
	return most
}

// admittedSince returns the cost admitted since the given time.
func (s *simulatedSite) admittedSince(since time.Time) float64 {
	sum := 0.0
	for _, each := range s.admitted {
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
			for _, notRun := range []float64{0, 0.5}[:2-seed%2] {
				t.Run(fmt.Sprintf("%g units a second, seed %d, %g not run", rate, seed, notRun), func(t *testing.T) {
					t.Parallel()
					limit := site.RateLimit{Unit: site.UnitTokens, Rate: rate, Burst: rate, PlainTokens: 200}
					s := newSimulatedSite(seed, limit, simulatedBound, 40)
					s.unrunShare = notRun
					simulateFaults(s, rate)
					most := s.maxWindowUse(limit)
					qt.Assert(t, most <= 1, qt.IsTrue, qt.Commentf("largest use of a window: %.3f of the bound", most))
				})
			}
		}
	}
}

// simulateFaults runs 30 s with bursts far above the limit, while leaders change and routers are
// partitioned, frozen and restarted.
func simulateFaults(s *simulatedSite, rate float64) {
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
			// The lease of the former leader ends before the next one starts.
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
			r.frozenUntil = s.at.Add(time.Duration(s.random.IntN(3000)) * time.Millisecond)
		}
		s.step()
	}
}

// A tenant below its limit is denied nothing while there is a leader, and one far above it gets
// nearly its whole limit.
func TestLimitIsFullyUsed(t *testing.T) {
	assertLimitIsFullyUsed(t, func(s *simulatedSite) *simulatedRouter { return s.routers[s.random.IntN(len(s.routers))] })
}

// Guards against limits of which a router with all callers of a tenant may use a part alone.
func TestLimitIsFullyUsedAtOneRouter(t *testing.T) {
	assertLimitIsFullyUsed(t, func(s *simulatedSite) *simulatedRouter { return s.routers[0] })
}

// assertLimitIsFullyUsed sends the requests of a tenant through the routers that next returns.
func assertLimitIsFullyUsed(t *testing.T, next func(s *simulatedSite) *simulatedRouter) {
	t.Helper()
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
							s.request(next(s), 1500)
						}
					}
					s.step()
				}
			}
			play(0.55, 20000)
			c.Assert(s.refused, qt.Equals, 0)
			began := s.at
			play(4, 24000)
			used := s.admittedSince(began.Add(8*time.Second)) / (2 * (rate*8 + rate))
			c.Assert(used >= 0.99, qt.IsTrue, qt.Commentf("%.3f of the limit was used", used))
			c.Assert(s.maxWindowUse(limit) <= 1, qt.IsTrue)
		})
	}
}

// Half of the requests of a tenant at four times its limit are refunded 1.25 s later on average. Their
// cost is granted again; otherwise half of the limit would be lost.
func TestRefundsAreGrantedAgain(t *testing.T) {
	c := qt.New(t)
	const rate = 30000.0
	limit := site.RateLimit{Unit: site.UnitTokens, Rate: rate, Burst: rate, PlainTokens: 200}
	s := newSimulatedSite(1, limit, simulatedBound, 40)
	s.unrunShare = 0.5
	for range 24000 {
		for expected := rate * 4 / 1500 / 1000; expected > 0; expected-- {
			if s.random.Float64() < expected {
				s.request(s.routers[s.random.IntN(len(s.routers))], 1500)
			}
		}
		s.step()
	}
	used := s.admittedSince(s.at.Add(-16*time.Second)) / (2 * (rate*8 + rate))
	c.Assert(used >= 0.65, qt.IsTrue, qt.Commentf("%.3f of the limit was used", used))
	c.Assert(s.maxWindowUse(limit) <= 1, qt.IsTrue)
}
