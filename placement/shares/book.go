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
	// useTime is the time over which work is averaged: the time over which callers notice who is
	// served, and some requests of a small tenant.
	useTime = 3 * time.Second
	// aboveShare is what a tenant must use of its share to count as above it: use that is uneven by
	// chance, or by hour, is not.
	aboveShare = 1.5
	// reportLife is how long the requests of a router that has gone silent count as waiting: some
	// reports.
	reportLife = 3 * time.Second
	// sweepInterval is the pause between two looks for such routers.
	sweepInterval = 500 * time.Millisecond
	// maxTold bounds the tenants that a word names, those furthest above their shares first, so
	// that it takes some hundred bytes.
	maxTold = 32
	// requestWork is the work of a request of a tenant whose limit counts requests, in tokens.
	requestWork = 700
	// idleWork a second is what a tenant uses that does not count as asking for something.
	idleWork = 1
)

// Work is what a router did for a tenant since its last report.
type Work struct {
	Tenant string
	// Done is the work that was let in, in tokens; what was not run after all counts below 0.
	Done float64
	// Waiting is how many requests of the tenant wait.
	Waiting int
}

// Share is what a tenant uses over its share: 1 for all of it and no more.
type Share struct {
	Tenant string
	Use    float64
}

// Word names the tenants that are above their shares.
type Word struct {
	// IsKnown is false while the leader cannot tell.
	IsKnown bool
	Above   []Share
}

// Weights are those of the tenants of a document, by name.
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
			weight *= requestWork
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

// Book adds up the work of all routers. It belongs to one leader.
type Book struct {
	began   time.Time
	at      time.Time
	sweptAt time.Time
	weights map[string]float64
	tenants map[string]*account
}

// account is what was done for one tenant lately, in tokens.
type account struct {
	work float64
	// waiting is by router.
	waiting map[string]waitingCount
}

// waitingCount is how many requests wait at a router, as it said at a time.
type waitingCount struct {
	count int
	at    time.Time
}

// New makes a book for a leadership that begins now.
func New(at time.Time) *Book {
	return &Book{began: at, at: at, tenants: make(map[string]*account)}
}

// SetTenants adopts the weights of a document.
func (b *Book) SetTenants(tenants []site.Tenant) {
	b.weights = Weights(tenants)
	for name := range b.tenants {
		if b.weights[name] == 0 {
			delete(b.tenants, name)
		}
	}
}

// Observe takes what a router reports.
func (b *Book) Observe(at time.Time, router string, works []Work) {
	b.fade(at)
	for _, known := range b.tenants {
		delete(known.waiting, router)
	}
	for _, work := range works {
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

func (b *Book) fade(at time.Time) {
	passed := at.Sub(b.at)
	if passed <= 0 {
		return
	}
	b.at = at
	left := math.Exp(-passed.Seconds() / useTime.Seconds())
	for _, known := range b.tenants {
		known.work *= left
	}
	if at.Sub(b.sweptAt) < sweepInterval {
		return
	}
	b.sweptAt = at
	for _, known := range b.tenants {
		maps.DeleteFunc(known.waiting, func(_ string, waiting waitingCount) bool { return at.Sub(waiting.at) > reportLife })
	}
}

// Word names the tenants that are above their shares. A new leader cannot tell before it has
// heard of some time.
func (b *Book) Word(at time.Time) Word {
	if at.Sub(b.began) < useTime {
		return Word{}
	}
	above := slices.DeleteFunc(b.Shares(at), func(share Share) bool { return share.Use < aboveShare })
	slices.SortStableFunc(above, func(a, c Share) int { return cmp.Compare(c.Use, a.Use) })
	return Word{IsKnown: true, Above: above[:min(len(above), maxTold)]}
}

// Shares lists what the tenants that ask for something use of their shares, by name.
func (b *Book) Shares(at time.Time) []Share {
	b.fade(at)
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

func (a *account) isActive() bool { return a.work > idleWork*useTime.Seconds() || len(a.waiting) > 0 }

// Waiting is how many requests of a tenant wait at all routers together.
func (b *Book) Waiting(tenant string) int {
	sum := 0
	if known := b.tenants[tenant]; known != nil {
		for _, waiting := range known.waiting {
			sum += waiting.count
		}
	}
	return sum
}
