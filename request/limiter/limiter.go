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
	// maxExhausted is how long nothing is asked for reserves of a limit that has no room: it may
	// have again sooner than was thought.
	maxExhausted = 100 * time.Millisecond
	// exhaustedPause separates two questions for requests that wait for a limit that has no room, at
	// least, and exhaustedShare is the part of it for each router that asks: all of them together ask 2,000
	// times a second for a tenant at most, which takes a leader about a tenth of a core. Requests are told
	// that much later.
	exhaustedPause = 25 * time.Millisecond
	exhaustedShare = 500 * time.Microsecond
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
	// Fresh is the part of its cost that the leader granted for the request itself.
	Fresh Fresh
}

// Fresh is an amount that the leader granted, in answer to a question that was asked at a time.
type Fresh struct {
	Amount float64
	Asked  time.Time
}

// Waiter is a request that waits for room in its tenant's limit.
type Waiter struct {
	Tenant string
	Cost   float64
	// Ask is what decides whether the request goes before others of its tenant, as it was at
	// a time.
	Ask   quota.Ask
	Asked time.Time
	// Settle is called once, with what becomes of the request, unless it is cancelled before.
	// It must return at once.
	Settle func(Verdict)
}

// Limiter holds this router's parts of all limits. Its methods must not run at the same time.
type Limiter struct {
	accounts map[string]*account
	// pause separates two questions for a limit that has no room.
	pause time.Duration
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
	// askAgainAt is when the leader may be asked again for those that wait.
	askAgainAt time.Time
	waiters    []*Waiter
	// asked are those of the question under way, in its order.
	asked []*Waiter
	// returns are for the leader.
	returns []Fresh
	use     useRate
}

// New makes a limiter that holds nothing.
func New() *Limiter { return &Limiter{accounts: make(map[string]*account), pause: exhaustedPause} }

// SetRouters says how many routers ask the leader.
func (l *Limiter) SetRouters(count int) {
	l.pause = max(exhaustedPause, time.Duration(count)*exhaustedShare)
}

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

// Refund gives back what was counted for a request that no runner has run: what the leader granted for it
// to the leader, with the next question, and the rest to what is held.
func (l *Limiter) Refund(at time.Time, tenant string, cost float64, fresh Fresh) {
	known := l.accounts[tenant]
	if known == nil {
		return
	}
	known.expire(at)
	known.use.add(at, -cost)
	if fresh.Amount > 0 && len(known.returns) < maxAsked {
		known.returns = append(known.returns, fresh)
		cost -= fresh.Amount
	}
	// No more than the leader takes the router to hold.
	known.held = max(known.held, min(known.held+cost, known.keep))
}

// takeReturns lists what goes back to the leader. It is told once: whether a question whose answer is
// lost was heard, nobody knows.
func (a *account) takeReturns(at time.Time) []quota.Return {
	var returns []quota.Return
	for _, fresh := range a.returns {
		returns = append(returns, quota.Return{Amount: fresh.Amount, Age: at.Sub(fresh.Asked)})
	}
	a.returns = nil
	return returns
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
		soon = soon || known.isLow(at) || len(known.returns) > 0
	}
	return now, soon
}

// Wants lists what to ask the leader for.
func (l *Limiter) Wants(at time.Time) []quota.Want {
	var wants []quota.Want
	for name, known := range l.accounts {
		known.expire(at)
		known.asked = nil
		if !known.mayAsk(at) && !known.isLow(at) && len(known.returns) == 0 {
			continue
		}
		want := quota.Want{Tenant: name, Held: known.held, Reserve: known.reserve(at), Returned: known.takeReturns(at)}
		known.asked = slices.Clone(known.waiters[:min(len(known.waiters), maxAsked)])
		for _, waiter := range known.asked {
			want.Waiting = append(want.Waiting, waiter.Cost)
			want.Asks = append(want.Asks, waiter.askAt(at))
		}
		wants = append(wants, want)
	}
	return wants
}

// mayAsk reports whether requests wait that the leader may be asked for.
func (a *account) mayAsk(at time.Time) bool { return len(a.waiters) > 0 && !at.Before(a.askAgainAt) }

// askAt is what the request has left of its times.
func (w *Waiter) askAt(at time.Time) quota.Ask {
	ask, passed := w.Ask, at.Sub(w.Asked)
	ask.Due = max(0, ask.Due-passed)
	ask.Away = max(0, ask.Away-passed)
	return ask
}

// Adopt takes what the leader granted, in answer to a question that was asked at a time, and
// settles those that waited.
func (l *Limiter) Adopt(asked, at time.Time, grants []quota.Grant) {
	for _, grant := range grants {
		if known := l.accounts[grant.Tenant]; known != nil {
			known.adopt(asked, at, grant, l.pause)
		}
	}
}

func (a *account) adopt(asked, at time.Time, grant quota.Grant, pause time.Duration) {
	a.expire(at)
	a.held += grant.Amount
	a.until = asked.Add(quota.LeaseLife)
	a.exhaustedUntil, a.askAgainAt = time.Time{}, time.Time{}
	if grant.RoomIn > 0 {
		a.askAgainAt = at.Add(pause)
		a.exhaustedUntil = at.Add(min(grant.RoomIn, maxExhausted))
	}
	if len(grant.Answers) > 0 {
		a.settle(grant.Answers, Fresh{Amount: grant.Amount, Asked: asked})
	} else {
		a.settleInOrder(grant.RoomIn)
	}
	a.keep = grant.Keep
	a.held = min(a.held, a.keep)
}

// settle tells each request that was asked for what becomes of it. Those that are not decided wait
// on, and so do those that came after the question.
func (a *account) settle(answers []quota.Answer, fresh Fresh) {
	for i, waiter := range a.asked[:min(len(a.asked), len(answers))] {
		place := slices.Index(a.waiters, waiter)
		answer := answers[i]
		switch {
		case place < 0:
			// Its caller has left.
			continue
		case answer.IsAdmitted && a.held >= waiter.Cost:
			a.held -= waiter.Cost
			part := Fresh{Amount: min(waiter.Cost, fresh.Amount), Asked: fresh.Asked}
			fresh.Amount -= part.Amount
			waiter.Settle(Verdict{IsAdmitted: true, Fresh: part})
		case !answer.IsAdmitted && answer.ComeBackIn > 0:
			waiter.Settle(Verdict{ComeBackIn: answer.ComeBackIn})
		default:
			continue
		}
		a.waiters = slices.Delete(a.waiters, place, place+1)
	}
}

// settleInOrder admits the first of those that wait, as far as what is held goes. A leader of the
// version before refuses all others if it says when there is room.
func (a *account) settleInOrder(roomIn time.Duration) {
	for len(a.waiters) > 0 && a.held >= a.waiters[0].Cost {
		a.held -= a.waiters[0].Cost
		a.waiters[0].Settle(Verdict{IsAdmitted: true})
		a.waiters = a.waiters[1:]
	}
	if roomIn > 0 {
		for _, waiter := range a.waiters {
			waiter.Settle(Verdict{ComeBackIn: max(shortestReturn, roomIn)})
		}
		a.waiters = nil
	}
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
