package limiter

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// reserveTime is how much of its usual use a router would like to hold: about as long as
	// it takes to find another leader.
	reserveTime = 3 * time.Second
	// refillShare of what a router would like to hold is when it asks for more.
	refillShare = 0.5
	// maxExhausted is how long requests of a tenant are refused without another question, at
	// most: the limit may have room again sooner than was thought.
	maxExhausted = 100 * time.Millisecond
	// maxAsked bounds the waiting requests of a tenant in one question.
	maxAsked = 64
	// shortestReturn is the least time after which a refused caller is asked to come back: of
	// a limit that is used up, a sooner return finds nothing.
	shortestReturn = 250 * time.Millisecond
)

// Verdict is what becomes of a request that waited.
type Verdict struct {
	// IsAdmitted requests have been counted; others are beyond the limit.
	IsAdmitted bool
	// ComeBackIn is when a request that is not admitted should be tried again.
	ComeBackIn time.Duration
}

// Waiter is a request that waits for room in its tenant's limit.
type Waiter struct {
	Tenant string
	Cost   float64
	// Settle is called once, with what becomes of the request, unless it is cancelled before.
	// It must return at once.
	Settle func(Verdict)
}

// Limiter holds this router's parts of all limits. Its methods must not run at the same time.
type Limiter struct {
	accounts map[string]*account
}

// account is the router's part of one tenant's limit.
type account struct {
	limit site.RateLimit
	held  float64
	// keep is the most that may be held, as the leader said, and until is when what is held
	// ends.
	keep  float64
	until time.Time
	// exhaustedUntil is when the limit may have room again.
	exhaustedUntil time.Time
	waiters        []*Waiter
	use            useRate
}

// New makes a limiter that holds nothing.
func New() *Limiter { return &Limiter{accounts: make(map[string]*account)} }

// SetTenants adopts the limits of a document. What is held of a limit that was lowered is
// dropped; requests of tenants that have no limit any more are admitted, and those of tenants
// that are gone are not.
func (l *Limiter) SetTenants(tenants []site.Tenant) {
	listed := make(map[string]bool, len(tenants))
	for i := range tenants {
		tenant := &tenants[i]
		listed[tenant.Name] = true
		known := l.accounts[tenant.Name]
		switch {
		case !tenant.Limit.IsLimited():
			l.close(tenant.Name, Verdict{IsAdmitted: true})
		case known == nil:
			l.accounts[tenant.Name] = &account{limit: tenant.Limit}
		default:
			known.setLimit(tenant.Limit)
		}
	}
	for name := range l.accounts {
		if !listed[name] {
			l.close(name, Verdict{ComeBackIn: shortestReturn})
		}
	}
}

func (a *account) setLimit(limit site.RateLimit) {
	if limit.Unit != a.limit.Unit || limit.Rate < a.limit.Rate || limit.Burst < a.limit.Burst {
		a.held, a.keep = 0, 0
	}
	a.limit = limit
}

// close ends an account and settles its waiters.
func (l *Limiter) close(name string, verdict Verdict) {
	known := l.accounts[name]
	if known == nil {
		return
	}
	for _, waiter := range known.waiters {
		waiter.Settle(verdict)
	}
	delete(l.accounts, name)
}

// Admit decides on a request at once, if that is possible. Otherwise the request waits, and the
// leader has to be asked.
func (l *Limiter) Admit(at time.Time, waiter *Waiter) (verdict Verdict, isDecided bool) {
	known := l.accounts[waiter.Tenant]
	if known == nil {
		return Verdict{IsAdmitted: true}, true
	}
	known.expire(at)
	known.use.add(at, waiter.Cost)
	if len(known.waiters) == 0 && known.held >= waiter.Cost {
		known.held -= waiter.Cost
		return Verdict{IsAdmitted: true}, true
	}
	if at.Before(known.exhaustedUntil) {
		return Verdict{ComeBackIn: max(shortestReturn, known.exhaustedUntil.Sub(at))}, true
	}
	known.waiters = append(known.waiters, waiter)
	return Verdict{}, false
}

// Cancel takes back a request that waits. It reports false if the request was settled before.
func (l *Limiter) Cancel(waiter *Waiter) bool {
	known := l.accounts[waiter.Tenant]
	if known == nil {
		return false
	}
	at := slices.Index(known.waiters, waiter)
	if at < 0 {
		return false
	}
	known.waiters = slices.Delete(known.waiters, at, at+1)
	return true
}

// Refund gives back what was counted for a request that no runner has run.
func (l *Limiter) Refund(at time.Time, tenant string, cost float64) {
	known := l.accounts[tenant]
	if known == nil {
		return
	}
	known.expire(at)
	known.use.add(at, -cost)
	// No more than the leader takes the router to hold.
	known.held = max(known.held, min(known.held+cost, known.keep))
}

// Held is what the router holds of a tenant's limit.
func (l *Limiter) Held(at time.Time, tenant string) float64 {
	known := l.accounts[tenant]
	if known == nil {
		return 0
	}
	known.expire(at)
	return known.held
}

// IsAsking reports whether the leader should be asked now for requests that wait, and whether
// it should be asked sometime soon for reserves.
func (l *Limiter) IsAsking(at time.Time) (now, soon bool) {
	for _, known := range l.accounts {
		now = now || len(known.waiters) > 0
		soon = soon || known.isLow(at)
	}
	return now, soon
}

// Wants lists what to ask the leader for.
func (l *Limiter) Wants(at time.Time) []quota.Want {
	var wants []quota.Want
	for name, known := range l.accounts {
		known.expire(at)
		if len(known.waiters) == 0 && !known.isLow(at) {
			continue
		}
		want := quota.Want{Tenant: name, Held: known.held, Reserve: known.reserve(at)}
		for _, waiter := range known.waiters[:min(len(known.waiters), maxAsked)] {
			want.Waiting = append(want.Waiting, waiter.Cost)
		}
		wants = append(wants, want)
	}
	return wants
}

// Adopt takes what the leader granted, in answer to a question that was asked at a time, and
// settles those that waited.
func (l *Limiter) Adopt(asked, at time.Time, grants []quota.Grant) {
	for _, grant := range grants {
		if known := l.accounts[grant.Tenant]; known != nil {
			known.adopt(asked, at, grant)
		}
	}
}

func (a *account) adopt(asked, at time.Time, grant quota.Grant) {
	a.expire(at)
	a.held += grant.Amount
	a.until = asked.Add(quota.LeaseLife)
	a.exhaustedUntil = time.Time{}
	if grant.RoomIn > 0 {
		a.exhaustedUntil = at.Add(min(grant.RoomIn, maxExhausted))
	}
	for len(a.waiters) > 0 && a.held >= a.waiters[0].Cost {
		a.held -= a.waiters[0].Cost
		a.waiters[0].Settle(Verdict{IsAdmitted: true})
		a.waiters = a.waiters[1:]
	}
	if grant.RoomIn > 0 {
		for _, waiter := range a.waiters {
			waiter.Settle(Verdict{ComeBackIn: max(shortestReturn, grant.RoomIn)})
		}
		a.waiters = nil
	}
	a.keep = grant.Keep
	a.held = min(a.held, a.keep)
}

// expire drops what is held when its time is over.
func (a *account) expire(at time.Time) {
	if !at.Before(a.until) {
		a.held, a.keep = 0, 0
	}
}

// reserve is what the router would like to hold.
func (a *account) reserve(at time.Time) float64 {
	return a.use.perSecond(at) * reserveTime.Seconds()
}

// isLow reports whether the router holds much less than it would like to, by one request at
// least.
func (a *account) isLow(at time.Time) bool {
	if at.Before(a.exhaustedUntil) {
		return false
	}
	aim := a.reserve(at)
	return aim-a.held > aim*refillShare && aim-a.held >= a.use.mean()
}
