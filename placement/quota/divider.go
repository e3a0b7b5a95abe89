package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// Bound limits by how much the use of a tenant may exceed its limit in a window, over all routers.
type Bound struct {
	// Window is the length of the window in which the use is counted.
	Window time.Duration
	// Overshoot is a share of what the limit allows in a window. Slack is added to that, in units
	// of the limit.
	Overshoot float64
	Slack     float64
}

// defaultWindow is the default length of a window.
const defaultWindow = 8 * time.Second

// LeaseTTL is how long a router may spend what it holds after its last query. It covers the loss
// of a leader, an election and the discovery of the new leader.
const LeaseTTL = 6 * time.Second

// grantedExcessShare is the part of the allowed excess that the leader grants itself, so that a
// tenant gets its whole limit although some grants are lost. Routers may hold the rest.
const grantedExcessShare = 0.3

// Want is a router's request for a part of one tenant's limit, in units of the limit.
type Want struct {
	Tenant string
	// Held is the amount that the router holds.
	Held float64
	// Waiting lists the costs of the waiting requests in the order of admission. Held counts
	// towards them.
	Waiting []float64
	// Asks describes each of these requests. Routers of the previous version send none.
	Asks []Ask
	// Reserve is the amount that the router would like to hold after these requests are admitted.
	Reserve float64
	// Returned lists grants for requests that no runner has executed.
	Returned []Return
}

// Grant is the answer to a Want.
type Grant struct {
	Tenant string
	// Amount is added to what the router holds. It covers the requests that Answers admits, or
	// without Answers as many of the first waiting ones as it suffices for.
	Amount float64
	// Answers holds the decision on each waiting request. It is empty if Asks was, and from leaders
	// of the previous version.
	Answers []Answer
	// Keep is the maximum that the router may hold after these requests are admitted.
	Keep float64
	// RoomIn is the expected time until the next waiting request can be admitted; 0 if there is
	// room for all, though the grant may be incomplete.
	RoomIn time.Duration
}

// Part is an amount of one tenant's limit that is reserved in the log before it is granted.
type Part struct {
	Tenant string
	Amount float64
}

// Reservation is one log entry of parts. Age is the time from the entry until the leadership began.
type Reservation struct {
	Age   time.Duration
	Parts []Part
}

// ReservationRetention returns how long reservations must be kept for later leaders.
func (b Bound) ReservationRetention() time.Duration { return b.withDefaults().Window + reservationTTL }

func (b Bound) withDefaults() Bound {
	if b.Window <= 0 {
		b.Window = defaultWindow
	}
	return b
}

// Divider divides the limits of all tenants for one leadership.
type Divider struct {
	bound Bound
	// startedAt is the beginning of the leadership.
	startedAt time.Time
	windows   map[string]*window
	// former holds the reservations of former leaders.
	former []Reservation
	// lastQueries holds the number of the last query with returns, by router process.
	lastQueries map[RouterProcess]uint64
}

// New returns a divider for a leadership that begins at the given time, with the reservations of
// former leaders.
func New(at time.Time, bound Bound, former []Reservation) *Divider {
	return &Divider{bound: bound.withDefaults(), startedAt: at, windows: make(map[string]*window), former: former,
		lastQueries: make(map[RouterProcess]uint64)}
}

// SetTenants sets the tenants' limits and returns the tenants whose limits are new or have changed.
func (d *Divider) SetTenants(at time.Time, tenants []site.Tenant) []site.Tenant {
	var changed []site.Tenant
	listed := make(map[string]bool, len(tenants))
	for i := range tenants {
		tenant := &tenants[i]
		listed[tenant.Name] = true
		known := d.windows[tenant.Name]
		if known == nil && !tenant.Limit.IsLimited() {
			continue
		}
		if known == nil {
			known = newWindow(at)
			d.windows[tenant.Name] = known
			known.setLimit(tenant.Limit, d.bound)
			d.inherit(tenant.Name, known)
			changed = append(changed, *tenant)
		} else if known.limit != tenant.Limit {
			known.setLimit(tenant.Limit, d.bound)
			changed = append(changed, *tenant)
		}
	}
	for name, known := range d.windows {
		known.expire(at)
		// Keep the recent grants of a tenant that is no longer listed, since it may be listed
		// again.
		if !listed[name] && known.used == 0 {
			delete(d.windows, name)
		}
	}
	return changed
}

// inherit counts what former leaders reserved as granted at the latest possible time.
func (d *Divider) inherit(tenant string, window *window) {
	for _, reservation := range d.former {
		for _, part := range reservation.Parts {
			if part.Tenant == tenant {
				window.inherit(d.startedAt.Add(reservationTTL-reservation.Age), part.Amount)
			}
		}
	}
}

// limited returns the window of a tenant, or nil if it has no limit.
func (d *Divider) limited(tenant string) *window {
	known := d.windows[tenant]
	if known == nil || !known.limit.IsLimited() {
		return nil
	}
	return known
}

// RecordShortfalls records what must be reserved before the waiting requests of a router can be granted. It
// reports whether any reservation is missing.
func (d *Divider) RecordShortfalls(at time.Time, router string, wants []Want) bool {
	isLacking := false
	for _, want := range wants {
		known := d.limited(want.Tenant)
		if known == nil || len(want.Waiting) == 0 {
			continue
		}
		known.expire(at)
		isLacking = known.recordShortfall(at, router, want) || isLacking
	}
	return isLacking
}

// ApplyReturns credits the returns in a router's query. Queries are numbered, and a repeated one is not
// credited again.
func (d *Divider) ApplyReturns(at time.Time, process RouterProcess, query uint64, wants []Want) {
	isReturn := func(want Want) bool { return len(want.Returned) > 0 }
	if !slices.ContainsFunc(wants, isReturn) || !d.isNewQuery(process, query) {
		return
	}
	for _, want := range wants {
		if known := d.limited(want.Tenant); known != nil {
			known.expire(at)
			known.applyReturns(at, want.Returned)
		}
	}
}

// Draw returns the grants for a router's query. Tenants without a limit are omitted.
func (d *Divider) Draw(at time.Time, router string, wants []Want) []Grant {
	grants := make([]Grant, 0, len(wants))
	for _, want := range wants {
		if known := d.limited(want.Tenant); known != nil {
			grants = append(grants, known.draw(at, router, want, at.Sub(d.startedAt) < LeaseTTL))
		}
	}
	return grants
}

// Reserve returns the parts to reserve in the log, sorted by tenant. Reserved or NotReserved must
// be called before the next Reserve.
func (d *Divider) Reserve(at time.Time) []Part {
	var parts []Part
	for name, known := range d.windows {
		known.expire(at)
		if amount := known.amountToReserve(at); amount > 0 && known.limit.IsLimited() {
			parts = append(parts, Part{Tenant: name, Amount: amount})
			known.propose(amount)
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return strings.Compare(a.Tenant, b.Tenant) })
	return parts
}

// Reserved records parts that were committed to the log, proposed at the given time.
func (d *Divider) Reserved(decided time.Time, parts []Part) {
	for _, part := range parts {
		if known := d.windows[part.Tenant]; known != nil {
			known.reserve(decided, part.Amount)
		}
	}
	d.NotReserved(parts)
}

// NotReserved records that parts were not committed, as far as is known. They must not be granted.
func (d *Divider) NotReserved(parts []Part) {
	for _, part := range parts {
		if known := d.windows[part.Tenant]; known != nil {
			known.proposed = 0
		}
	}
}

// IsReserving reports whether there are parts to reserve.
func (d *Divider) IsReserving(at time.Time) bool {
	for _, known := range d.windows {
		if known.limit.IsLimited() && known.amountToReserve(at) > 0 {
			return true
		}
	}
	return false
}

// Usage is the use of one tenant's limit, in units of the limit.
type Usage struct {
	Tenant string
	// Used is the amount granted in the last window, Most its maximum, and Lent the amount that
	// routers may hold.
	Used float64
	Most float64
	Lent float64
	// Drawn is the amount granted since the last TakeUsages. Asked, Refused and Promised count the
	// requests since then: those decided, those rejected, and the rejected ones that got a booking.
	Drawn    float64
	Asked    int
	Refused  int
	Promised int
}

// TakeUsages returns the use of all limits, sorted by tenant, and resets the counters.
func (d *Divider) TakeUsages(at time.Time) []Usage {
	var usages []Usage
	for name, known := range d.windows {
		if !known.limit.IsLimited() {
			continue
		}
		known.expire(at)
		known.sweep(at)
		usages = append(usages, Usage{Tenant: name, Used: known.used, Most: known.maxGranted, Lent: known.leasedSum, Drawn: known.drawn,
			Asked: known.counts.asked, Refused: known.counts.rejected, Promised: known.counts.booked})
		known.drawn, known.counts = 0, counts{}
	}
	slices.SortFunc(usages, func(a, b Usage) int { return strings.Compare(a.Tenant, b.Tenant) })
	return usages
}
