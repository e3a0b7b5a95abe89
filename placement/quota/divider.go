package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// Bound is by how much the use of a tenant may exceed its limit in a window, over all routers.
type Bound struct {
	// Window is the length of the windows in which the use is counted.
	Window time.Duration
	// Overshoot is a share of what the limit allows in a window, and Slack is added to that, in
	// units of the limit.
	Overshoot float64
	Slack     float64
}

// defaultWindow is the length of windows where none is set.
const defaultWindow = 8 * time.Second

// LeaseLife is how long a router may spend what it holds after it last asked for more: long
// enough for the loss of a leader and the election of another, with a search for it.
const LeaseLife = 6 * time.Second

// grantedExcess is the part of what may exceed a limit that the leader grants itself, so that a
// tenant that asks for more gets its limit whole though some of what is granted is lost. The
// rest is what routers may hold.
const grantedExcess = 0.3

// Want is what a router asks for of one tenant's limit, in units of it.
type Want struct {
	Tenant string
	// Held is what the router holds now.
	Held float64
	// Waiting lists what each request that waits costs, in the order in which they are to be
	// admitted. What the router holds counts towards them.
	Waiting []float64
	// Asks tells more of each of these. Routers of the version before send none.
	Asks []Ask
	// Reserve is how much the router would like to hold when these have been admitted.
	Reserve float64
	// Returned is what the router was granted for requests that no runner has run.
	Returned []Return
}

// Grant is what a router gets.
type Grant struct {
	Tenant string
	// Amount is added to what the router holds. It covers those that are admitted: as Answers
	// tells, or else the first of those that wait, as many as there is room for.
	Amount float64
	// Answers tells what becomes of each of those that wait. It is empty for routers that did not
	// tell more of them, and from leaders of the version before.
	Answers []Answer
	// Keep is the most that the router may hold when these have been admitted.
	Keep float64
	// RoomIn is when the next of those that wait should have room; 0 if there is room for
	// all, though not all of it may be granted yet.
	RoomIn time.Duration
}

// Part is an amount of one tenant's limit that is reserved in the log, to be granted soon.
type Part struct {
	Tenant string
	Amount float64
}

// Reservation is what was reserved together, some time before a leadership began.
type Reservation struct {
	Age   time.Duration
	Parts []Part
}

// KeepReservations is how long reservations must be kept for the leaders to come.
func (b Bound) KeepReservations() time.Duration { return b.withDefaults().Window + reservationLife }

func (b Bound) withDefaults() Bound {
	if b.Window <= 0 {
		b.Window = defaultWindow
	}
	return b
}

// Divider divides the limits of all tenants. It belongs to one leader.
type Divider struct {
	bound Bound
	// began is when the leadership began.
	began   time.Time
	windows map[string]*window
	// former are the reservations of former leaders.
	former []Reservation
	// questions is the number of the last question of each life of a router that returned something.
	questions map[Asker]uint64
}

// New makes a divider for a leadership that begins now, after leaders that reserved what is
// listed.
func New(at time.Time, bound Bound, former []Reservation) *Divider {
	return &Divider{bound: bound.withDefaults(), began: at, windows: make(map[string]*window), former: former,
		questions: make(map[Asker]uint64)}
}

// SetTenants adopts the limits of a document, and lists the tenants whose limits are new or
// have changed.
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
		known.age(at)
		// What was granted lately to a tenant that is no longer listed is kept: it may be listed
		// again.
		if !listed[name] && known.used == 0 {
			delete(d.windows, name)
		}
	}
	return changed
}

// inherit counts what former leaders reserved as granted at the last moment at which it can
// have been.
func (d *Divider) inherit(tenant string, window *window) {
	for _, reservation := range d.former {
		for _, part := range reservation.Parts {
			if part.Tenant == tenant {
				window.inherit(d.began.Add(reservationLife-reservation.Age), part.Amount)
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

// Lacks notes what has to be reserved before the requests that wait at a router can be granted,
// and reports whether there is something.
func (d *Divider) Lacks(at time.Time, router string, wants []Want) bool {
	lacks := false
	for _, want := range wants {
		known := d.limited(want.Tenant)
		if known == nil || len(want.Waiting) == 0 {
			continue
		}
		known.age(at)
		lacks = known.lacking(at, router, want) || lacks
	}
	return lacks
}

// TakeBack takes what a router returns with a question. Its questions are numbered in their order; one
// that was sent again returns nothing more.
func (d *Divider) TakeBack(at time.Time, asker Asker, question uint64, wants []Want) {
	isReturn := func(want Want) bool { return len(want.Returned) > 0 }
	if !slices.ContainsFunc(wants, isReturn) || !d.isNews(asker, question) {
		return
	}
	for _, want := range wants {
		if known := d.limited(want.Tenant); known != nil {
			known.age(at)
			known.giveBack(at, want.Returned)
		}
	}
}

// Draw answers what a router asks for. A tenant without a limit in the document in force is
// left out of the answer.
func (d *Divider) Draw(at time.Time, router string, wants []Want) []Grant {
	grants := make([]Grant, 0, len(wants))
	for _, want := range wants {
		if known := d.limited(want.Tenant); known != nil {
			grants = append(grants, known.draw(at, router, want, at.Sub(d.began) < LeaseLife))
		}
	}
	return grants
}

// Reserve lists what should be reserved in the log now, in the order of the tenants' names. It
// must be followed by Reserved or NotReserved before the next.
func (d *Divider) Reserve(at time.Time) []Part {
	var parts []Part
	for name, known := range d.windows {
		known.age(at)
		if amount := known.wanted(at); amount > 0 && known.limit.IsLimited() {
			parts = append(parts, Part{Tenant: name, Amount: amount})
			known.propose(amount)
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return strings.Compare(a.Tenant, b.Tenant) })
	return parts
}

// Reserved takes what has come into the log, as was decided at a time.
func (d *Divider) Reserved(decided time.Time, parts []Part) {
	for _, part := range parts {
		if known := d.windows[part.Tenant]; known != nil {
			known.reserve(decided, part.Amount)
		}
	}
	d.NotReserved(parts)
}

// NotReserved takes back what has not come into the log, as far as is known: it must not be
// granted.
func (d *Divider) NotReserved(parts []Part) {
	for _, part := range parts {
		if known := d.windows[part.Tenant]; known != nil {
			known.proposed = 0
		}
	}
}

// IsReserving reports whether something should be reserved.
func (d *Divider) IsReserving(at time.Time) bool {
	for _, known := range d.windows {
		if known.limit.IsLimited() && known.wanted(at) > 0 {
			return true
		}
	}
	return false
}

// Usage tells of one tenant's limit, in units of it.
type Usage struct {
	Tenant string
	// Used is what was granted in the last window, of Most, and Lent what routers may hold.
	Used float64
	Most float64
	Lent float64
	// Drawn is what was granted since the last look, and Asked, Refused and Promised count the
	// requests of the questions since then, those that were refused, and those of these that were promised
	// room.
	Drawn    float64
	Asked    int
	Refused  int
	Promised int
}

// TakeUsages lists how far each limit is used, in the order of the tenants' names, and begins
// to count anew what is drawn.
func (d *Divider) TakeUsages(at time.Time) []Usage {
	var usages []Usage
	for name, known := range d.windows {
		if !known.limit.IsLimited() {
			continue
		}
		known.age(at)
		known.sweep(at)
		usages = append(usages, Usage{Tenant: name, Used: known.used, Most: known.most, Lent: known.total, Drawn: known.drawn,
			Asked: known.counts.asked, Refused: known.counts.refused, Promised: known.counts.promised})
		known.drawn, known.counts = 0, counts{}
	}
	slices.SortFunc(usages, func(a, b Usage) int { return strings.Compare(a.Tenant, b.Tenant) })
	return usages
}
