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

// LeaseLife is how long a router may spend what it holds after it last asked for more: long
// enough for the loss of a leader and the election of another, with a search for it.
const LeaseLife = 6 * time.Second

const (
	// reserveShare is the part of a limit's room that routers may hold as reserves: what they
	// need while no leader answers. The rest is the depth of the leader's bucket, for the
	// requests of routers whose reserve is too small.
	reserveShare = 0.6
	// reserveLevel is the share of the bucket that reserves leave to requests that wait.
	reserveLevel = 0.4
	// slowestRoom bounds what a caller is told of when there is room again.
	slowestRoom = 30 * time.Second
)

// Want is what a router asks for of one tenant's limit, in units of it.
type Want struct {
	Tenant string
	// Held is what the router holds now.
	Held float64
	// Waiting lists what each request that waits costs, in the order in which they are to be
	// admitted. What the router holds counts towards them.
	Waiting []float64
	// Reserve is how much the router would like to hold when these have been admitted.
	Reserve float64
}

// Grant is what a router gets.
type Grant struct {
	Tenant string
	// Amount is added to what the router holds. It covers the first of those that wait, as many
	// as there is room for.
	Amount float64
	// Keep is the most that the router may hold when these have been admitted.
	Keep float64
	// RoomIn is when the next of those that wait should have room; 0 if all have.
	RoomIn time.Duration
}

// Divider divides the limits of all tenants. It belongs to one leader.
type Divider struct {
	bound Bound
	// began is when the leadership began.
	began   time.Time
	buckets map[string]*bucket
}

// New makes a divider for a leadership that begins now.
func New(at time.Time, bound Bound) *Divider {
	return &Divider{bound: bound, began: at, buckets: make(map[string]*bucket)}
}

// SetTenants adopts the limits of a document, and lists the tenants whose limits are new or
// have changed.
func (d *Divider) SetTenants(at time.Time, tenants []site.Tenant) []site.Tenant {
	var changed []site.Tenant
	listed := make(map[string]bool, len(tenants))
	for i := range tenants {
		tenant := &tenants[i]
		if !tenant.Limit.IsLimited() {
			continue
		}
		listed[tenant.Name] = true
		known := d.buckets[tenant.Name]
		if known == nil {
			known = newBucket(at)
			d.buckets[tenant.Name] = known
		}
		if known.limit != tenant.Limit {
			changed = append(changed, *tenant)
			known.setLimit(at, tenant.Limit, d.bound)
		}
	}
	for name := range d.buckets {
		if !listed[name] {
			delete(d.buckets, name)
		}
	}
	return changed
}

// Draw answers what a router asks for. A tenant without a limit in the document in force is
// left out of the answer.
func (d *Divider) Draw(at time.Time, router string, wants []Want) []Grant {
	grants := make([]Grant, 0, len(wants))
	for _, want := range wants {
		known := d.buckets[want.Tenant]
		if known == nil {
			continue
		}
		grants = append(grants, known.draw(at, router, want, at.Sub(d.began) < LeaseLife))
	}
	return grants
}

// Usage tells of one tenant's limit.
type Usage struct {
	Tenant string
	// Level is what the bucket holds, Depth the most that it may, and Leased what routers
	// may hold, in units of the limit. Rate is what flows into the bucket a second, and Drawn
	// what was drawn since the last look.
	Level  float64
	Depth  float64
	Leased float64
	Rate   float64
	Drawn  float64
}

// TakeUsages lists what is left of each limit, in the order of the tenants' names, and begins to
// count anew what is drawn.
func (d *Divider) TakeUsages(at time.Time) []Usage {
	usages := make([]Usage, 0, len(d.buckets))
	for name, known := range d.buckets {
		known.fill(at)
		usages = append(usages, Usage{
			Tenant: name, Level: known.level, Depth: known.depth, Leased: known.leased(at), Rate: known.rate, Drawn: known.drawn,
		})
		known.drawn = 0
	}
	slices.SortFunc(usages, func(a, b Usage) int { return strings.Compare(a.Tenant, b.Tenant) })
	return usages
}
