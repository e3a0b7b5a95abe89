package limiter

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// reserveTime is the amount of usual use that a router tries to hold: about the time to
	// find another leader.
	reserveTime = 3 * time.Second
	// refillThreshold is the missing share of the reserve from which a router asks for more.
	refillThreshold = 0.5
	// maxExhaustedTime bounds how long no reserves are asked for after a limit is exhausted,
	// as it may have room again earlier than estimated.
	maxExhaustedTime = 100 * time.Millisecond
	// minAskInterval separates two requests to the leader for waiters of an exhausted limit;
	// askIntervalPerRouter raises it with the number of routers, which bounds the leader's load
	// to 2,000 requests per second and tenant. Verdicts are delayed by as much.
	minAskInterval       = 25 * time.Millisecond
	askIntervalPerRouter = 500 * time.Microsecond
	// maxAsked bounds the waiters of a tenant in one request to the leader.
	maxAsked = 64
	// minRetryAfter is the minimum retry delay of a rejected request; an exhausted limit has no
	// room earlier.
	minRetryAfter = 250 * time.Millisecond
)

// Verdict is the decision on a request.
type Verdict struct {
	// IsAdmitted is set if the request was counted; otherwise it exceeds the limit.
	IsAdmitted bool
	// RetryAfter is the delay after which a rejected request should be retried.
	RetryAfter time.Duration
	// Granted is the part of the cost that the leader granted for this request.
	Granted LeaderGrant
}

// LeaderGrant is an amount granted by the leader in answer to a call made at the time Asked.
type LeaderGrant struct {
	Amount float64
	Asked  time.Time
}

// Waiter is a request that waits for room in its tenant's limit.
type Waiter struct {
	Tenant string
	// Cost is in Unit until Settle is called; another unit of the limit changes both. Tokens is the
	// size of the request, negative if unknown.
	Cost   float64
	Unit   site.Unit
	Tokens int64
	// Ask holds what orders the request among those of its tenant, as of Asked.
	Ask   quota.Ask
	Asked time.Time
	// Settle is called at most once, with the decision on a request that was not cancelled.
	// It must not block.
	Settle func(Verdict)
}

// Limiter holds this router's shares of all limits. It is not safe for concurrent use.
type Limiter struct {
	accounts map[string]*account
	// askInterval separates two calls for waiters of an exhausted limit.
	askInterval time.Duration
}

// account is the router's share of one tenant's limit.
type account struct {
	limit site.RateLimit
	held  float64
	// maxHeld bounds held, as set by the leader; heldUntil is when held expires.
	maxHeld   float64
	heldUntil time.Time
	// exhaustedUntil is when the limit may have room again.
	exhaustedUntil time.Time
	// nextAskAt is when the leader may be asked again for the waiters.
	nextAskAt time.Time
	waiters   []*Waiter
	// askedWaiters are those of the call in flight, in its order.
	askedWaiters []*Waiter
	// returns are the amounts to give back to the leader.
	returns []LeaderGrant
	use     useRate
	// isAsked is set if the leader was asked for the account since the last grant, ignoresGrant if that was about a limit
	// in another unit.
	isAsked, ignoresGrant bool
}

// New returns a Limiter that holds nothing.
func New() *Limiter {
	return &Limiter{accounts: make(map[string]*account), askInterval: minAskInterval}
}

// SetRouters sets the number of routers that ask the leader.
func (l *Limiter) SetRouters(count int) {
	l.askInterval = max(minAskInterval, time.Duration(count)*askIntervalPerRouter)
}

// SetTenants adopts the limits of the configured tenants. A share of a lowered limit is
// dropped. Waiters of tenants without a limit are admitted, and those of removed tenants
// are rejected. If the unit of a limit changes, nothing counted in the former one is used.
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
		case known.limit.Unit != tenant.Limit.Unit:
			known.changeUnit(tenant.Limit)
		default:
			known.setLimit(tenant.Limit)
		}
	}
	for name := range l.accounts {
		if !listed[name] {
			l.close(name, Verdict{RetryAfter: minRetryAfter})
		}
	}
}

// changeUnit adopts a limit in another unit.
func (a *account) changeUnit(limit site.RateLimit) {
	waiters := a.waiters
	*a = account{limit: limit, waiters: waiters, ignoresGrant: a.isAsked || a.ignoresGrant}
	for _, waiter := range waiters {
		waiter.convert(limit)
	}
}

// convert counts the cost in the unit of the limit.
func (w *Waiter) convert(limit site.RateLimit) {
	if w.Unit != limit.Unit {
		w.Unit, w.Cost = limit.Unit, limit.Cost(w.Tokens)
	}
}

// setLimit adopts a limit in the same unit.
func (a *account) setLimit(limit site.RateLimit) {
	if limit.Rate < a.limit.Rate || limit.Burst < a.limit.Burst {
		a.held, a.maxHeld = 0, 0
	}
	a.limit = limit
}

// close removes an account and settles its waiters.
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

// Admit decides on a request if the held share allows. Otherwise it queues the waiter, and
// the leader has to be asked.
func (l *Limiter) Admit(at time.Time, waiter *Waiter) (verdict Verdict, isDecided bool) {
	known := l.accounts[waiter.Tenant]
	if known == nil {
		return Verdict{IsAdmitted: true}, true
	}
	waiter.convert(known.limit)
	known.expire(at)
	known.use.add(at, waiter.Cost)
	if len(known.waiters) == 0 && known.held >= waiter.Cost {
		known.held -= waiter.Cost
		return Verdict{IsAdmitted: true}, true
	}
	known.waiters = append(known.waiters, waiter)
	return Verdict{}, false
}

// Cancel removes a waiter. It reports false if the waiter was already settled.
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

// Refund gives back the cost of a request that no runner has run: the part that the leader granted for it
// to the leader with the next call, and the rest to the held share. A cost in another unit than that of the
// limit is not given back.
func (l *Limiter) Refund(at time.Time, tenant string, unit site.Unit, cost float64, fresh LeaderGrant) {
	known := l.accounts[tenant]
	if known == nil || known.limit.Unit != unit {
		return
	}
	known.expire(at)
	known.use.add(at, -cost)
	if fresh.Amount > 0 && len(known.returns) < maxAsked {
		known.returns = append(known.returns, fresh)
		cost -= fresh.Amount
	}
	// Hold no more than the leader assumes.
	known.held = max(known.held, min(known.held+cost, known.maxHeld))
}

// takeReturns returns the amounts for the leader. They are sent only once, as the leader may have
// received a call whose answer was lost.
func (a *account) takeReturns(at time.Time) []quota.Return {
	var returns []quota.Return
	for _, fresh := range a.returns {
		returns = append(returns, quota.Return{Amount: fresh.Amount, Age: at.Sub(fresh.Asked)})
	}
	a.returns = nil
	return returns
}

// Held returns the amount that the router holds of a tenant's limit.
func (l *Limiter) Held(at time.Time, tenant string) float64 {
	known := l.accounts[tenant]
	if known == nil {
		return 0
	}
	known.expire(at)
	return known.held
}

// NeedsLeader reports whether the leader should be called now, for waiters, and whether it
// should be called soon, for reserves or returns.
func (l *Limiter) NeedsLeader(at time.Time) (now, soon bool) {
	for _, known := range l.accounts {
		now = now || len(known.waiters) > 0
		soon = soon || known.isLow(at) || len(known.returns) > 0
	}
	return now, soon
}

// Wants returns the request to the leader.
func (l *Limiter) Wants(at time.Time) []quota.Want {
	var wants []quota.Want
	for name, known := range l.accounts {
		known.expire(at)
		known.askedWaiters, known.isAsked, known.ignoresGrant = nil, false, false
		if !known.mayAsk(at) && !known.isLow(at) && len(known.returns) == 0 {
			continue
		}
		want := quota.Want{Tenant: name, Held: known.held, Reserve: known.reserve(at), Returned: known.takeReturns(at)}
		known.isAsked = true
		known.askedWaiters = slices.Clone(known.waiters[:min(len(known.waiters), maxAsked)])
		for _, waiter := range known.askedWaiters {
			want.Waiting = append(want.Waiting, waiter.Cost)
			want.Asks = append(want.Asks, waiter.currentAsk(at))
		}
		wants = append(wants, want)
	}
	return wants
}

// mayAsk reports whether there are waiters for which the leader may be called.
func (a *account) mayAsk(at time.Time) bool { return len(a.waiters) > 0 && !at.Before(a.nextAskAt) }

// currentAsk returns the waiter's Ask with the remaining times.
func (w *Waiter) currentAsk(at time.Time) quota.Ask {
	ask, passed := w.Ask, at.Sub(w.Asked)
	ask.Due = max(0, ask.Due-passed)
	ask.Away = max(0, ask.Away-passed)
	return ask
}

// Adopt records the grants of the leader in answer to the call made at the time asked, and
// settles the waiters.
func (l *Limiter) Adopt(asked, at time.Time, grants []quota.Grant) {
	for _, grant := range grants {
		known := l.accounts[grant.Tenant]
		if known == nil {
			continue
		}
		if !known.ignoresGrant {
			known.adopt(asked, at, grant, l.askInterval)
		}
		known.isAsked, known.ignoresGrant = false, false
	}
}

func (a *account) adopt(asked, at time.Time, grant quota.Grant, askInterval time.Duration) {
	a.expire(at)
	a.held += grant.Amount
	a.heldUntil = asked.Add(quota.LeaseTTL)
	a.exhaustedUntil, a.nextAskAt = time.Time{}, time.Time{}
	if grant.RoomIn > 0 {
		a.nextAskAt = at.Add(askInterval)
		a.exhaustedUntil = at.Add(min(grant.RoomIn, maxExhaustedTime))
	}
	if len(grant.Answers) > 0 {
		a.settle(grant.Answers, LeaderGrant{Amount: grant.Amount, Asked: asked})
	} else {
		a.settleInOrder(grant.RoomIn)
	}
	a.maxHeld = grant.Keep
	a.held = min(a.held, a.maxHeld)
}

// settle applies the answers to the waiters of the call. Undecided waiters and those that
// came after the call keep waiting.
func (a *account) settle(answers []quota.Answer, fresh LeaderGrant) {
	for i, waiter := range a.askedWaiters[:min(len(a.askedWaiters), len(answers))] {
		place := slices.Index(a.waiters, waiter)
		answer := answers[i]
		switch {
		case place < 0:
			// Cancelled meanwhile.
			continue
		case answer.IsAdmitted && a.held >= waiter.Cost:
			a.held -= waiter.Cost
			part := LeaderGrant{Amount: min(waiter.Cost, fresh.Amount), Asked: fresh.Asked}
			fresh.Amount -= part.Amount
			waiter.Settle(Verdict{IsAdmitted: true, Granted: part})
		case !answer.IsAdmitted && answer.ComeBackIn > 0:
			waiter.Settle(Verdict{RetryAfter: answer.ComeBackIn})
		default:
			continue
		}
		a.waiters = slices.Delete(a.waiters, place, place+1)
	}
}

// settleInOrder admits waiters in order while the held share suffices. It serves leaders of
// the previous version, which send no answers and reject all others if roomIn is set.
func (a *account) settleInOrder(roomIn time.Duration) {
	for len(a.waiters) > 0 && a.held >= a.waiters[0].Cost {
		a.held -= a.waiters[0].Cost
		a.waiters[0].Settle(Verdict{IsAdmitted: true})
		a.waiters = a.waiters[1:]
	}
	if roomIn > 0 {
		for _, waiter := range a.waiters {
			waiter.Settle(Verdict{RetryAfter: max(minRetryAfter, roomIn)})
		}
		a.waiters = nil
	}
}

// expire drops the held share after its end.
func (a *account) expire(at time.Time) {
	if !at.Before(a.heldUntil) {
		a.held, a.maxHeld = 0, 0
	}
}

// reserve returns the amount that the router tries to hold.
func (a *account) reserve(at time.Time) float64 {
	return a.use.perSecond(at) * reserveTime.Seconds()
}

// isLow reports whether the held share is below the refill threshold and lacks the cost of
// at least one request.
func (a *account) isLow(at time.Time) bool {
	if at.Before(a.exhaustedUntil) {
		return false
	}
	target := a.reserve(at)
	return target-a.held > target*refillThreshold && target-a.held >= a.use.mean()
}
