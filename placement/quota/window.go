package quota

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// window is the limit of one tenant, with what was granted of it lately.
type window struct {
	limit site.RateLimit
	// length is that of the windows in which the use is counted, and most is what may be
	// granted in each.
	length time.Duration
	most   float64
	// lendable is the most that routers may hold.
	lendable float64
	// floor may be granted in every second, and credit beyond that.
	floor  float64
	credit float64
	// promises is the room that callers were told to come back for, notices remembers the other
	// refused callers, and classes compares the kinds of requests.
	promises promises
	notices  notices
	classes  classes
	// granted lists what was granted, oldest first, in steps of grantStep. inherited lists what
	// former leaders may have granted. used is the sum of both.
	granted   []grantedStep
	inherited []grantedStep
	used      float64
	// reserved lists what is in the log and may be granted, oldest first, and available is
	// its sum.
	reserved  []reservedPart
	available float64
	// proposed is on its way into the log, and short what requests at each router lack beyond
	// that.
	proposed float64
	short    map[string]float64
	// leases is by router; total is the sum of what routers hold, and aimed that of what they
	// would like to hold. Both may count leases that have ended until the next sweep.
	leases map[string]lease
	total  float64
	aimed  float64
	// shown is what routers showed to hold when they first asked this leader.
	shown   float64
	sweptAt time.Time
	// drawn is what was granted since the last look, and counts what became of requests.
	drawn  float64
	counts counts
}

// counts are requests that were decided on.
type counts struct {
	asked    int
	refused  int
	promised int
}

// grantedStep is what was granted until a time; it counts until the window has passed.
type grantedStep struct {
	until  time.Time
	amount float64
}

// reservedPart may be granted until a time.
type reservedPart struct {
	until  time.Time
	amount float64
}

// lease is what a router may hold.
type lease struct {
	amount float64
	aim    float64
	until  time.Time
}

const (
	// grantStep is how finely grants are counted: what is granted in a step counts as granted
	// at its end.
	grantStep = 50 * time.Millisecond
	// sweepInterval is the pause between two looks for leases that have ended.
	sweepInterval = 500 * time.Millisecond
	// reservationLife is how long what was reserved may be granted: several times the pause
	// between two reservations.
	reservationLife = time.Second
	// aheadTime is how much of the present use is reserved ahead, and rateTime the time over
	// which that is looked at. At most one entry of the log comes in aheadTime/2 then, unless
	// requests wait for one.
	aheadTime = 400 * time.Millisecond
	rateTime  = time.Second
	// fullShare of a window may be used before routers are lent no more reserves.
	fullShare = 0.85
)

func newWindow(at time.Time) *window {
	return &window{sweptAt: at, leases: make(map[string]lease), short: make(map[string]float64)}
}

// setLimit adopts a limit. In any window of the bound, routers spend at most what they held
// at its beginning and what was granted in it: the two share what the bound allows.
func (w *window) setLimit(limit site.RateLimit, bound Bound) {
	allowed := limit.Rate*bound.Window.Seconds() + limit.Burst
	excess := bound.Overshoot*allowed + bound.Slack
	if limit.Rate < w.limit.Rate || limit.Burst < w.limit.Burst {
		// What was promised of the former limit would take all room of this one.
		w.promises = promises{}
	}
	w.limit, w.length = limit, bound.Window
	w.most = allowed + excess*grantedExcess
	w.lendable = excess * (1 - grantedExcess)
	w.setPace()
}

// inherit counts what former leaders may have granted until a time.
func (w *window) inherit(until time.Time, amount float64) {
	w.inherited = append(w.inherited, grantedStep{until: until, amount: amount})
	w.used += amount
}

// age drops what has left the window, and what may not be granted any more.
func (w *window) age(at time.Time) {
	w.granted = w.dropOld(at, w.granted)
	w.inherited = w.dropOld(at, w.inherited)
	if len(w.granted) == 0 && len(w.inherited) == 0 {
		// Sums of many fractions drift.
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

func (w *window) dropOld(at time.Time, steps []grantedStep) []grantedStep {
	for len(steps) > 0 && at.Sub(steps[0].until) > w.length {
		w.used -= steps[0].amount
		steps = steps[1:]
	}
	return steps
}

// free is what the window has room for, beyond what is reserved or will be.
func (w *window) free() float64 { return max(0, w.most-w.used-w.available-w.proposed) }

// lacking notes what has to be reserved before the requests that wait at a router can be granted,
// and reports whether there is something, or will be once what is proposed is in the log.
func (w *window) lacking(at time.Time, router string, want Want) bool {
	held := figure(want.Held)
	needed, level := -held, w.level(at)+held
	for _, cost := range want.Waiting {
		cost = figure(cost)
		if needed+cost > w.available+w.proposed+w.free() || !w.covers(level, cost) {
			break
		}
		needed += cost
		level -= cost
	}
	delete(w.short, router)
	if missing := needed - w.available - w.proposed; missing > 0 {
		w.short[router] = missing
	}
	return needed > w.available
}

// wanted is what should be reserved now: for requests that lack it, and for those to come.
func (w *window) wanted(at time.Time) float64 {
	ahead := w.recent(at) * aheadTime.Seconds() / rateTime.Seconds()
	short := 0.0
	for _, missing := range w.short {
		short += missing
	}
	if level := w.level(at); level < w.credit {
		// More than the pace allows is not granted, however many routers lack it.
		short = min(short, max(0, level))
	}
	if short <= 0 && w.available+w.proposed >= ahead/2 {
		return 0
	}
	return min(w.free(), short+max(0, ahead-w.available-w.proposed))
}

// recent is what was granted within the last rateTime.
func (w *window) recent(at time.Time) float64 {
	sum := 0.0
	for i := len(w.granted) - 1; i >= 0 && at.Sub(w.granted[i].until) < rateTime; i-- {
		sum += w.granted[i].amount
	}
	return sum
}

// propose notes what is on its way into the log.
func (w *window) propose(amount float64) {
	w.proposed = amount
	clear(w.short)
}

// reserve adds what is now in the log, as was decided at a time.
func (w *window) reserve(decided time.Time, amount float64) {
	w.reserved = append(w.reserved, reservedPart{until: decided.Add(reservationLife), amount: amount})
	w.available += amount
}

// grant takes an amount of what is reserved.
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

// draw answers one router. isYoung is set while leases of a former leader may be out.
func (w *window) draw(at time.Time, router string, want Want, isYoung bool) Grant {
	w.age(at)
	w.sweep(at)
	held, aim := figure(want.Held), figure(want.Reserve)
	known, isKnown := w.leases[router]
	if !isKnown && isYoung {
		w.shown += held
	}
	decided := w.newRound(at, held)
	grant := Grant{Tenant: want.Tenant, Answers: decided.answerAll(want)}
	grant.RoomIn = decided.roomIn
	grant.Amount = max(0, decided.admitted-held)
	w.grant(at, grant.Amount)
	held = max(0, held-decided.admitted)
	w.total += held - known.amount
	w.aimed += aim - known.aim
	if grant.RoomIn == 0 && decided.isEasy(0) {
		lent := w.lend(held, aim, isYoung)
		w.grant(at, lent)
		w.total += lent
		held += lent
		grant.Amount += lent
	}
	grant.Keep = held
	w.leases[router] = lease{amount: held, aim: aim, until: at.Add(LeaseLife)}
	return grant
}

// lend is how much a router that holds something is lent on top: its part of what routers may
// hold, by what all would like to.
func (w *window) lend(held, aim float64, isYoung bool) float64 {
	most := w.lendable
	if isYoung {
		most = min(most, w.shown)
	}
	part := aim
	if w.aimed > most {
		part = aim * most / w.aimed
	}
	free := min(most-w.total, w.most*fullShare-w.used, w.available)
	return max(0, min(part-held, free))
}

// sweep forgets leases that have ended.
func (w *window) sweep(at time.Time) {
	if at.Sub(w.sweptAt) < sweepInterval {
		return
	}
	w.sweptAt, w.total, w.aimed = at, 0, 0
	for router, each := range w.leases {
		if !at.Before(each.until) {
			delete(w.leases, router)
			continue
		}
		w.total += each.amount
		w.aimed += each.aim
	}
}

// roomIn is when the window should have room for an amount that is not reserved yet; 0 if it
// has now.
func (w *window) roomIn(at time.Time, lacking float64) time.Duration {
	lacking -= w.free()
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

// figure makes a router's figure one to reckon with.
func figure(value float64) float64 {
	if math.IsNaN(value) || value < 0 {
		return 0
	}
	return min(value, maxFigure)
}

// maxFigure is more than any limit allows.
const maxFigure = 1e13

// span makes a router's time one to reckon with.
func span(value time.Duration) time.Duration { return min(max(0, value), maxSpan) }

// maxSpan is more than the time of any request.
const maxSpan = 10 * time.Minute
