package quota

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// bucket is the limit of one tenant.
type bucket struct {
	limit site.RateLimit
	rate  float64
	// depth is the most that the bucket holds, and reserves the most that routers may hold.
	depth    float64
	reserves float64
	level    float64
	filledAt time.Time
	// leases is by router.
	leases map[string]lease
	// total is the sum of the leases, and aimed that of what the routers would like to hold;
	// both may count leases that have ended until the next sweep.
	total float64
	aimed float64
	// inherited is what routers showed to hold when they first asked this leader.
	inherited float64
	sweptAt   time.Time
	// drawn is what was drawn since the last look.
	drawn float64
}

// lease is what a router may hold.
type lease struct {
	amount float64
	aim    float64
	until  time.Time
}

// sweepInterval is the pause between two looks for leases that have ended.
const sweepInterval = 500 * time.Millisecond

func newBucket(at time.Time) *bucket {
	return &bucket{filledAt: at, sweptAt: at, leases: make(map[string]lease)}
}

// setLimit adopts a limit. In any window of the bound, routers spend at most what they held
// at its beginning, what the bucket held, and what flowed into it: the depth of the bucket and
// the reserves share what the bound leaves above the rate.
func (b *bucket) setLimit(at time.Time, limit site.RateLimit, bound Bound) {
	b.fill(at)
	allowed := limit.Rate*bound.Window.Seconds() + limit.Burst
	room := limit.Burst + bound.Overshoot*allowed + bound.Slack
	b.limit, b.rate = limit, limit.Rate
	b.reserves = room * reserveShare
	// A bucket that could not hold one request would admit none.
	b.depth = max(room-b.reserves, limit.Cost(-1), 1)
	b.level = min(b.level, b.depth)
}

func (b *bucket) fill(at time.Time) {
	if at.After(b.filledAt) {
		b.level = min(b.depth, b.level+b.rate*at.Sub(b.filledAt).Seconds())
		b.filledAt = at
	}
}

// leased is what routers may hold.
func (b *bucket) leased(at time.Time) float64 {
	b.sweep(at)
	return b.total
}

// sweep forgets leases that have ended.
func (b *bucket) sweep(at time.Time) {
	if at.Sub(b.sweptAt) < sweepInterval {
		return
	}
	b.sweptAt, b.total, b.aimed = at, 0, 0
	for router, each := range b.leases {
		if !at.Before(each.until) {
			delete(b.leases, router)
			continue
		}
		b.total += each.amount
		b.aimed += each.aim
	}
}

// draw answers one router. isYoung is set while leases of a former leader may be out.
func (b *bucket) draw(at time.Time, router string, want Want, isYoung bool) Grant {
	b.fill(at)
	b.sweep(at)
	held, aim := figure(want.Held), figure(want.Reserve)
	known, isKnown := b.leases[router]
	if !isKnown && isYoung {
		b.inherited += held
	}
	grant := Grant{Tenant: want.Tenant}
	admitted := 0.0
	for _, cost := range want.Waiting {
		if lacking := admitted + figure(cost) - held - b.level; lacking > 0 {
			grant.RoomIn = b.roomIn(lacking)
			break
		}
		admitted += figure(cost)
	}
	grant.Amount = max(0, admitted-held)
	b.level -= grant.Amount
	held = max(0, held-admitted)
	b.total += held - known.amount
	b.aimed += aim - known.aim
	if grant.RoomIn == 0 {
		reserve := b.reserve(held, aim, isYoung)
		b.level -= reserve
		b.total += reserve
		held += reserve
		grant.Amount += reserve
	}
	grant.Keep = held
	b.drawn += grant.Amount
	b.leases[router] = lease{amount: held, aim: aim, until: at.Add(LeaseLife)}
	return grant
}

// reserve is how much a router that holds something is lent on top: its part of the reserves,
// by what all would like to hold.
func (b *bucket) reserve(held, aim float64, isYoung bool) float64 {
	most := b.reserves
	if isYoung {
		most = min(most, b.inherited)
	}
	part := aim
	if b.aimed > most {
		part = aim * most / b.aimed
	}
	free := min(most-b.total, b.level-b.depth*reserveLevel)
	return max(0, min(part-held, free))
}

// roomIn is when the bucket should hold an amount that it lacks.
func (b *bucket) roomIn(lacking float64) time.Duration {
	if b.rate <= 0 {
		return slowestRoom
	}
	return min(slowestRoom, time.Duration(lacking/b.rate*float64(time.Second))+time.Millisecond)
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
