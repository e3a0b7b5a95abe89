package shares

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// usageTimeConstant is the time constant of the moving average of work: short enough for
	// callers to notice, and long enough for several requests of a small tenant.
	usageTimeConstant = 3 * time.Second
	// overuseThreshold is the use, relative to its share, at which a tenant counts as above it.
	// It tolerates random and daily fluctuations.
	overuseThreshold = 1.5
	// reportLifetime is how long the waiting requests of a router count without a new report:
	// several report intervals.
	reportLifetime = 3 * time.Second
	// sweepInterval is the minimum time between two removals of expired reports.
	sweepInterval = 500 * time.Millisecond
	// maxReportedTenants bounds the tenants in an Overuse to those furthest above their shares,
	// which limits its size to a few hundred bytes.
	maxReportedTenants = 32
	// tokensPerRequest is the assumed work of a request, in tokens, if a tenant's limit counts
	// requests.
	tokensPerRequest = 700
	// minActiveWork is the work, in tokens per second, above which a tenant counts as active.
	minActiveWork = 1
)

// Work is what a router did for a tenant since its last report.
type Work struct {
	Tenant string
	// Done is the admitted work in tokens, less earlier admitted work that was not run.
	Done float64
	// Waiting is the number of waiting requests of the tenant.
	Waiting int
}

// Share is a tenant's use relative to its share; 1 is exactly its share.
type Share struct {
	Tenant string
	Use    float64
}

// Overuse lists the tenants that are above their shares.
type Overuse struct {
	// IsKnown is false while the leader has too little data.
	IsKnown bool
	Above   []Share
}

// Weights returns the weights of a document's tenants by name.
func Weights(tenants []site.Tenant) map[string]float64 {
	weights := make(map[string]float64, len(tenants))
	sum := 0.0
	for i := range tenants {
		limit := tenants[i].Limit
		if !limit.IsLimited() {
			continue
		}
		weight := limit.Rate
		if limit.Unit == site.UnitRequests {
			weight *= tokensPerRequest
		}
		weights[tenants[i].Name] = weight
		sum += weight
	}
	mean := 1.0
	if len(weights) > 0 {
		mean = sum / float64(len(weights))
	}
	for i := range tenants {
		if !tenants[i].Limit.IsLimited() {
			weights[tenants[i].Name] = mean
		}
	}
	return weights
}

// Ledger sums the work reported by all routers during one leader term.
type Ledger struct {
	startedAt time.Time
	decayedAt time.Time
	sweptAt   time.Time
	weights   map[string]float64
	tenants   map[string]*account
}

// account is the recent work for one tenant, in tokens.
type account struct {
	work float64
	// waiting is keyed by router.
	waiting map[string]waitingCount
}

// waitingCount is the number of waiting requests at a router as of a report.
type waitingCount struct {
	count int
	at    time.Time
}

// New returns an empty Ledger for a leader term that begins at the time.
func New(at time.Time) *Ledger {
	return &Ledger{startedAt: at, decayedAt: at, tenants: make(map[string]*account)}
}

// SetTenants adopts the weights of a document's tenants.
func (b *Ledger) SetTenants(tenants []site.Tenant) {
	b.weights = Weights(tenants)
	for name := range b.tenants {
		if b.weights[name] == 0 {
			delete(b.tenants, name)
		}
	}
}

// Observe adds a router's report.
func (b *Ledger) Observe(at time.Time, router string, reported []Work) {
	b.decay(at)
	for _, known := range b.tenants {
		delete(known.waiting, router)
	}
	for _, work := range reported {
		if b.weights[work.Tenant] == 0 || math.IsNaN(work.Done) || math.IsInf(work.Done, 0) {
			continue
		}
		known := b.tenants[work.Tenant]
		if known == nil {
			known = &account{waiting: make(map[string]waitingCount)}
			b.tenants[work.Tenant] = known
		}
		known.work = max(0, known.work+work.Done)
		if work.Waiting > 0 {
			known.waiting[router] = waitingCount{work.Waiting, at}
		}
	}
}

func (b *Ledger) decay(at time.Time) {
	passed := at.Sub(b.decayedAt)
	if passed <= 0 {
		return
	}
	b.decayedAt = at
	factor := math.Exp(-passed.Seconds() / usageTimeConstant.Seconds())
	for _, known := range b.tenants {
		known.work *= factor
	}
	if at.Sub(b.sweptAt) < sweepInterval {
		return
	}
	b.sweptAt = at
	for _, known := range b.tenants {
		maps.DeleteFunc(known.waiting, func(_ string, waiting waitingCount) bool { return at.Sub(waiting.at) > reportLifetime })
	}
}

// Overuse returns the tenants that are above their shares. It is unknown until the leader has
// received reports for the averaging time.
func (b *Ledger) Overuse(at time.Time) Overuse {
	if at.Sub(b.startedAt) < usageTimeConstant {
		return Overuse{}
	}
	above := slices.DeleteFunc(b.Shares(at), func(share Share) bool { return share.Use < overuseThreshold })
	slices.SortStableFunc(above, func(a, c Share) int { return cmp.Compare(c.Use, a.Use) })
	return Overuse{IsKnown: true, Above: above[:min(len(above), maxReportedTenants)]}
}

// Shares returns the relative use of the active tenants, sorted by name.
func (b *Ledger) Shares(at time.Time) []Share {
	b.decay(at)
	work, weights := 0.0, 0.0
	for name, known := range b.tenants {
		if known.isActive() {
			work += known.work
			weights += b.weights[name]
		}
	}
	var listed []Share
	for name, known := range b.tenants {
		if known.isActive() && work > 0 {
			listed = append(listed, Share{Tenant: name, Use: known.work / b.weights[name] * weights / work})
		}
	}
	slices.SortFunc(listed, func(a, c Share) int { return cmp.Compare(a.Tenant, c.Tenant) })
	return listed
}

func (a *account) isActive() bool {
	return a.work > minActiveWork*usageTimeConstant.Seconds() || len(a.waiting) > 0
}

// Waiting returns the number of waiting requests of a tenant at all routers.
func (b *Ledger) Waiting(tenant string) int {
	sum := 0
	if known := b.tenants[tenant]; known != nil {
		for _, waiting := range known.waiting {
			sum += waiting.count
		}
	}
	return sum
}
