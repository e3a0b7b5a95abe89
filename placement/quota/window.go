package quota

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// window is the limit of one tenant with its recent grants.
type window struct {
	limit site.RateLimit
	// length is the length of the window, and maxGranted the maximum that may be granted in it.
	length     time.Duration
	maxGranted float64
	// maxLeased is the maximum that routers may hold.
	maxLeased float64
	// sustainedRate may be granted in every second, and burstCapacity at once beyond that.
	sustainedRate float64
	burstCapacity float64
	// bookings holds amounts kept for rejected callers, rejections the other rejected callers, and
	// classes the use by class of request.
	bookings   bookings
	rejections rejections
	classes    classes
	// granted lists the grants in steps of grantStep, oldest first, and inherited what former
	// leaders may have granted. used is the sum of both.
	granted   []grantedStep
	inherited []grantedStep
	used      float64
	// reserved lists what is in the log and may be granted, oldest first. available is its sum.
	reserved  []reservedPart
	available float64
	// proposed is the amount being written to the log, and shortfalls holds what each router lacks
	// beyond that.
	proposed   float64
	shortfalls map[string]float64
	// leases is by router. leasedSum is the sum of what routers hold, and reserveSum that of what
	// they would like to hold. Both may include expired leases until the next sweep.
	leases     map[string]lease
	leasedSum  float64
	reserveSum float64
	// shownHeld is the amount that routers reported to hold in their first query to this leader.
	shownHeld float64
	sweptAt   time.Time
	// drawn and counts are reset by TakeUsages.
	drawn  float64
	counts counts
}

// counts holds the numbers of requests by decision.
type counts struct {
	asked    int
	rejected int
	booked   int
}

// grantedStep is the amount granted in one step. It counts until the window after its end has
// passed.
type grantedStep struct {
	until  time.Time
	amount float64
}

// reservedPart is a reserved amount that may be granted before until.
type reservedPart struct {
	until  time.Time
	amount float64
}

// lease is the amount that a router may hold, and the reserve that it would like to hold.
type lease struct {
	amount  float64
	reserve float64
	until   time.Time
}

const (
	// grantStep is the resolution of granted. Grants count as made at the end of their step.
	grantStep = 50 * time.Millisecond
	// sweepInterval is the time between removals of expired leases.
	sweepInterval = 500 * time.Millisecond
	// reservationTTL is how long a reserved amount may be granted: several times the interval
	// between reservations.
	reservationTTL = time.Second
	// reserveAhead is the time of the current use that is reserved in advance, and rateWindow the
	// time over which that use is measured. This limits log entries to one per reserveAhead/2
	// unless requests wait.
	reserveAhead = 400 * time.Millisecond
	rateWindow   = time.Second
	// Routers are lent reserves while less than maxLendingShare of a window is used.
	maxLendingShare = 0.85
)

func newWindow(at time.Time) *window {
	return &window{sweptAt: at, leases: make(map[string]lease), shortfalls: make(map[string]float64)}
}

// setLimit sets the limit. In any window, routers spend at most what they held at its beginning
// plus what was granted in it, so these two share the excess that the bound allows.
func (w *window) setLimit(limit site.RateLimit, bound Bound) {
	allowed := limit.Rate*bound.Window.Seconds() + limit.Burst
	excess := bound.Overshoot*allowed + bound.Slack
	if limit.Rate < w.limit.Rate || limit.Burst < w.limit.Burst {
		// Bookings under the former limit could take up all of the new one.
		w.bookings = bookings{}
	}
	w.limit, w.length = limit, bound.Window
	w.maxGranted = allowed + excess*grantedExcessShare
	w.maxLeased = excess * (1 - grantedExcessShare)
	w.computeRates()
}

// inherit counts an amount that former leaders may have granted until the given time.
func (w *window) inherit(until time.Time, amount float64) {
	w.inherited = append(w.inherited, grantedStep{until: until, amount: amount})
	w.used += amount
}

// expire drops grants that have left the window, and reservations that may no longer be granted.
func (w *window) expire(at time.Time) {
	w.granted = w.dropExpired(at, w.granted)
	w.inherited = w.dropExpired(at, w.inherited)
	if len(w.granted) == 0 && len(w.inherited) == 0 {
		// Discard the accumulated rounding error.
		w.used = 0
	}
	for len(w.reserved) > 0 && !at.Before(w.reserved[0].until) {
		w.available -= w.reserved[0].amount
		w.reserved = w.reserved[1:]
	}
	if len(w.reserved) == 0 {
		w.available = 0
	}
}

func (w *window) dropExpired(at time.Time, steps []grantedStep) []grantedStep {
	for len(steps) > 0 && at.Sub(steps[0].until) > w.length {
		w.used -= steps[0].amount
		steps = steps[1:]
	}
	return steps
}

// unreserved returns the room in the window beyond what is reserved or proposed.
func (w *window) unreserved() float64 { return max(0, w.maxGranted-w.used-w.available-w.proposed) }

// recordShortfall records what must be reserved before the waiting requests of a router can be
// granted. It reports whether anything is not available yet, including amounts already proposed.
func (w *window) recordShortfall(at time.Time, router string, want Want) bool {
	held := clampAmount(want.Held)
	needed, headroom := -held, w.headroom(at)+held
	for _, cost := range want.Waiting {
		cost = clampAmount(cost)
		if needed+cost > w.available+w.proposed+w.unreserved() || !w.covers(headroom, cost) {
			break
		}
		needed += cost
		headroom -= cost
	}
	delete(w.shortfalls, router)
	if missing := needed - w.available - w.proposed; missing > 0 {
		w.shortfalls[router] = missing
	}
	return needed > w.available
}

// amountToReserve returns the amount to reserve now, for waiting requests and for expected ones.
func (w *window) amountToReserve(at time.Time) float64 {
	ahead := w.recent(at) * reserveAhead.Seconds() / rateWindow.Seconds()
	shortfall := 0.0
	for _, missing := range w.shortfalls {
		shortfall += missing
	}
	if headroom := w.headroom(at); headroom < w.burstCapacity {
		// The pacing bounds what can be granted, however many routers lack it.
		shortfall = min(shortfall, max(0, headroom))
	}
	if shortfall <= 0 && w.available+w.proposed >= ahead/2 {
		return 0
	}
	return min(w.unreserved(), shortfall+max(0, ahead-w.available-w.proposed))
}

// recent returns the amount granted within the last rateWindow.
func (w *window) recent(at time.Time) float64 {
	sum := 0.0
	for i := len(w.granted) - 1; i >= 0 && at.Sub(w.granted[i].until) < rateWindow; i-- {
		sum += w.granted[i].amount
	}
	return sum
}

// propose records the amount that is being written to the log.
func (w *window) propose(amount float64) {
	w.proposed = amount
	clear(w.shortfalls)
}

// reserve adds an amount that was committed to the log, proposed at the given time.
func (w *window) reserve(decided time.Time, amount float64) {
	w.reserved = append(w.reserved, reservedPart{until: decided.Add(reservationTTL), amount: amount})
	w.available += amount
}

// grant moves an amount from reserved to granted.
func (w *window) grant(at time.Time, amount float64) {
	if amount <= 0 {
		return
	}
	w.available -= amount
	w.used += amount
	w.drawn += amount
	if last := len(w.granted) - 1; last >= 0 && at.Before(w.granted[last].until) {
		w.granted[last].amount += amount
	} else {
		w.granted = append(w.granted, grantedStep{until: at.Add(grantStep), amount: amount})
	}
	for amount > 0 && len(w.reserved) > 0 {
		taken := min(amount, w.reserved[0].amount)
		w.reserved[0].amount -= taken
		amount -= taken
		if w.reserved[0].amount <= 0 {
			w.reserved = w.reserved[1:]
		}
	}
}

// draw answers the query of one router. isNewLeader is set while leases of a former leader may be
// outstanding.
func (w *window) draw(at time.Time, router string, want Want, isNewLeader bool) Grant {
	w.expire(at)
	w.sweep(at)
	held, reserve := clampAmount(want.Held), clampAmount(want.Reserve)
	known, isKnown := w.leases[router]
	if !isKnown && isNewLeader {
		w.shownHeld += held
	}
	decided := w.newDecision(at, held)
	grant := Grant{Tenant: want.Tenant, Answers: decided.answerAll(want)}
	grant.RoomIn = decided.roomIn
	grant.Amount = max(0, decided.admitted-held)
	w.grant(at, grant.Amount)
	held = max(0, held-decided.admitted)
	w.leasedSum += held - known.amount
	w.reserveSum += reserve - known.reserve
	if grant.RoomIn == 0 && decided.isUncontended(0) {
		lent := w.lend(held, reserve, isNewLeader)
		w.grant(at, lent)
		w.leasedSum += lent
		held += lent
		grant.Amount += lent
	}
	grant.Keep = held
	w.leases[router] = lease{amount: held, reserve: reserve, until: at.Add(LeaseTTL)}
	return grant
}

// lend returns the additional amount that a router may hold: its share of maxLeased, in proportion
// to the reserves that routers ask for.
func (w *window) lend(held, reserve float64, isNewLeader bool) float64 {
	maxLeased := w.maxLeased
	if isNewLeader {
		maxLeased = min(maxLeased, w.shownHeld)
	}
	part := reserve
	if w.reserveSum > maxLeased {
		part = reserve * maxLeased / w.reserveSum
	}
	available := min(maxLeased-w.leasedSum, w.maxGranted*maxLendingShare-w.used, w.available)
	return max(0, min(part-held, available))
}

// sweep deletes expired leases.
func (w *window) sweep(at time.Time) {
	if at.Sub(w.sweptAt) < sweepInterval {
		return
	}
	w.sweptAt, w.leasedSum, w.reserveSum = at, 0, 0
	for router, each := range w.leases {
		if !at.Before(each.until) {
			delete(w.leases, router)
			continue
		}
		w.leasedSum += each.amount
		w.reserveSum += each.reserve
	}
}

// roomIn returns the time until the window should have room for an amount that is not reserved yet;
// 0 if it has now.
func (w *window) roomIn(at time.Time, lacking float64) time.Duration {
	lacking -= w.unreserved()
	if lacking <= 0 {
		return 0
	}
	in := time.Duration(0)
	for _, steps := range [][]grantedStep{w.inherited, w.granted} {
		for _, step := range steps {
			if lacking <= 0 {
				break
			}
			lacking -= step.amount
			in = max(in, step.until.Add(w.length).Sub(at))
		}
	}
	return max(in, grantStep)
}

// clampAmount bounds an amount received from a router to a valid range.
func clampAmount(value float64) float64 {
	if math.IsNaN(value) || value < 0 {
		return 0
	}
	return min(value, maxAmount)
}

// maxAmount is more than any limit allows.
const maxAmount = 1e13

// clampDuration bounds a duration received from a router to a valid range.
func clampDuration(value time.Duration) time.Duration { return min(max(0, value), maxDuration) }

// maxDuration is longer than any request.
const maxDuration = 10 * time.Minute
