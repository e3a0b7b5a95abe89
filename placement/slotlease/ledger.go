package slotlease

import (
	"slices"
	"time"
)

const (
	// pollGrace is how long after it should have asked again a router keeps its place in the queue.
	pollGrace = 100 * time.Millisecond
	// minPollInterval is how often the routers ask again that are next, and maxPollInterval the others.
	minPollInterval = 20 * time.Millisecond
	maxPollInterval = 250 * time.Millisecond
	// maxTurn is how long a router goes on reusing slots if more routers wait than there are slots.
	maxTurn = 300 * time.Millisecond
	// scarceDivisor is the part of the slots whose use makes the rest scarce.
	scarceDivisor = 2
	// withholdInterval is the least time between two rejections that each withhold a slot: those of the same moment have
	// one cause.
	withholdInterval = 50 * time.Millisecond
	// restoreInterval is how long after the last rejection or restored slot one more is lent again.
	restoreInterval = 2 * time.Second
)

// Ledger lends the slots of runners for one leadership. Create one with New. Its methods are not safe for concurrent use.
type Ledger struct {
	startedAt time.Time
	runners   map[string]*runner
}

// runner is a runner whose slots are lent.
type runner struct {
	holders map[string]*holder
	// queue holds the routers that wait for slots and have none, those that have waited longest first.
	queue []waiter
	// withheld is the number of slots that are not lent because of rejections, changedAt when it changed last.
	withheld  int
	changedAt time.Time
}

// waiter is a router that waits for slots. It is forgotten if it does not ask again until the given time.
type waiter struct {
	router string
	until  time.Time
}

// holder is a router with slots of a runner.
type holder struct {
	// used counts until usedUntil, and granted until grantedUntil.
	used         int
	usedUntil    time.Time
	granted      int
	grantedUntil time.Time
	// since is when the router began to hold slots without a break. isTurnOver is set once it may begin nothing more until its
	// requests have ended.
	since      time.Time
	isTurnOver bool
}

// New returns the ledger of a leadership that begins at the given time.
func New(startedAt time.Time) *Ledger {
	return &Ledger{startedAt: startedAt, runners: make(map[string]*runner)}
}

// Claim answers a router's claim to slots of a runner that has the given number of them.
func (l *Ledger) Claim(now time.Time, router string, claim Claim, slots int) Grant {
	asked := l.runners[claim.Instance]
	if asked == nil {
		asked = &runner{holders: make(map[string]*holder), changedAt: now}
		l.runners[claim.Instance] = asked
	}
	asked.expire(now)
	asked.adjust(now, claim.Rejected, slots)
	own := asked.report(now, router, claim)
	grant := Grant{Instance: claim.Instance, Slots: claim.Used}
	if wait := GracePeriod - now.Sub(l.startedAt); wait > 0 {
		grant.MoreIn, grant.IsPending = wait, true
		return grant
	}
	grant.Slots = asked.share(now, router, own, claim, slots)
	asked.record(now, router, own, grant.Slots)
	if grant.Slots < claim.Wanted {
		grant.MoreIn = asked.wait(now, router, slots)
	}
	grant.IsScarce = len(asked.queue) > 0 || scarceDivisor*asked.occupied(now, "") > asked.capacity(slots)
	return grant
}

// Lent returns the number of slots of all runners that routers use or may use, and the number withheld.
func (l *Ledger) Lent(now time.Time) (lent, withheld int) {
	for _, each := range l.runners {
		lent += each.occupied(now, "")
		withheld += each.withheld
	}
	return lent, withheld
}

// Forget deletes the runners that are no longer listed.
func (l *Ledger) Forget(isListed func(instance string) bool) {
	for instance := range l.runners {
		if !isListed(instance) {
			delete(l.runners, instance)
		}
	}
}

// expire deletes the routers that hold nothing and those that no longer wait.
func (r *runner) expire(now time.Time) {
	for router, each := range r.holders {
		if each.occupies(now) == 0 {
			delete(r.holders, router)
		}
	}
	r.queue = slices.DeleteFunc(r.queue, func(each waiter) bool { return now.After(each.until) })
}

// adjust withholds a slot after a rejection, which shows that something else takes room at the runner, and restores one
// after a time without any.
func (r *runner) adjust(now time.Time, isRejected bool, slots int) {
	since := now.Sub(r.changedAt)
	switch {
	case isRejected && (r.withheld == 0 || since >= withholdInterval):
		r.withheld = min(r.withheld+1, slots-1)
		r.changedAt = now
	case !isRejected && r.withheld > 0 && since >= restoreInterval:
		r.withheld--
		r.changedAt = now
	}
}

// report records what a router tells to use, and that it gives back what it neither uses nor wants.
func (r *runner) report(now time.Time, router string, claim Claim) *holder {
	own := r.holders[router]
	if own == nil {
		own = &holder{}
		r.holders[router] = own
	}
	own.used, own.usedUntil = claim.Used, now.Add(UseTTL)
	own.granted = min(own.granted, max(claim.Used, claim.Wanted))
	return own
}

// share returns how many slots the router may have: what it wants of those that no other router has, less one for each
// router in the queue before it.
func (r *runner) share(now time.Time, router string, own *holder, claim Claim, slots int) int {
	capacity := r.capacity(slots)
	free := max(0, capacity-r.occupied(now, router))
	if own.occupies(now) == 0 {
		return min(claim.Wanted, max(0, free-r.position(router)))
	}
	waiting := len(r.queue)
	if waiting == 0 {
		return min(claim.Wanted, free)
	}
	contenders := len(r.holders) + waiting
	if own.isTurnOver || contenders > capacity && now.Sub(own.since) >= maxTurn {
		own.isTurnOver = true
		return 0
	}
	fair := max(1, capacity/contenders)
	return min(claim.Wanted, free, max(fair, free-waiting))
}

// position returns the number of routers in the queue before the router.
func (r *runner) position(router string) int {
	for index := range r.queue {
		if r.queue[index].router == router {
			return index
		}
	}
	return len(r.queue)
}

// wait queues a router without slots, and returns when one whose claim was not met should ask again.
func (r *runner) wait(now time.Time, router string, slots int) time.Duration {
	position := r.position(router)
	rounds := position / slots
	again := min(minPollInterval+time.Duration(rounds)*maxTurn, maxPollInterval)
	if r.holders[router] != nil {
		return again
	}
	if position == len(r.queue) {
		r.queue = append(r.queue, waiter{router: router})
	}
	r.queue[position].until = now.Add(again + pollGrace)
	return again
}

// record records a grant. A router that has slots waits no longer.
func (r *runner) record(now time.Time, router string, own *holder, granted int) {
	own.granted, own.grantedUntil = granted, now.Add(TTL)
	if own.since.IsZero() {
		own.since = now
	}
	if own.occupies(now) == 0 {
		delete(r.holders, router)
		return
	}
	if position := r.position(router); position < len(r.queue) {
		r.queue = slices.Delete(r.queue, position, position+1)
	}
}

// capacity returns the number of slots that may be lent.
func (r *runner) capacity(slots int) int { return max(1, slots-r.withheld) }

// occupied returns the number of slots that all routers but one have.
func (r *runner) occupied(now time.Time, but string) int {
	count := 0
	for router, each := range r.holders {
		if router != but {
			count += each.occupies(now)
		}
	}
	return count
}

// occupies returns the number of slots that the router uses or may use.
func (h *holder) occupies(now time.Time) int {
	count := 0
	if now.Before(h.usedUntil) {
		count = h.used
	}
	if now.Before(h.grantedUntil) {
		count = max(count, h.granted)
	}
	return count
}
