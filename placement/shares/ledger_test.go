package shares

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/site"
)

var start = time.Unix(1000, 0)

func tenantsOf(rates ...float64) []site.Tenant {
	var tenants []site.Tenant
	for i, rate := range rates {
		tenants = append(tenants, site.Tenant{Name: fmt.Sprint("t", i), Limit: site.RateLimit{Unit: site.UnitTokens, Rate: rate}})
	}
	return tenants
}

// observeWork reports, for the seconds, the work per second of each tenant through ten routers,
// and returns the new time.
func observeWork(b *Ledger, at time.Time, seconds int, perSecond ...float64) time.Time {
	for range seconds * 2 {
		at = at.Add(500 * time.Millisecond)
		for router := range 10 {
			var works []Work
			for i, work := range perSecond {
				works = append(works, Work{Tenant: fmt.Sprint("t", i), Done: work / 20})
			}
			b.Observe(at, fmt.Sprint(router), works)
		}
	}
	return at
}

func TestTenantFarAboveItsShareIsReported(t *testing.T) {
	c := qt.New(t)
	b := New(start)
	b.SetTenants(tenantsOf(1000, 1000, 500, 100))
	at := observeWork(b, start, 10, 600, 700, 350, 60)
	c.Assert(b.Overuse(at), qt.DeepEquals, Overuse{IsKnown: true, Above: []Share{}})
	at = observeWork(b, at, 3, 600, 4200, 350, 60)
	overuse := b.Overuse(at)
	c.Assert(overuse.Above, qt.HasLen, 1)
	c.Assert(overuse.Above[0].Tenant, qt.Equals, "t1")
	at = observeWork(b, at, 12, 600, 700, 350, 60)
	c.Assert(b.Overuse(at).Above, qt.HasLen, 0)
}

func TestOveruseIsUnknownForNewLeader(t *testing.T) {
	c := qt.New(t)
	b := New(start)
	b.SetTenants(tenantsOf(100, 100))
	at := observeWork(b, start, 1, 10, 900)
	c.Assert(b.Overuse(at).IsKnown, qt.IsFalse)
	at = observeWork(b, at, 3, 10, 900)
	c.Assert(b.Overuse(at).IsKnown, qt.IsTrue)
}

func TestOnlyActiveTenantIsNotAboveItsShare(t *testing.T) {
	c := qt.New(t)
	b := New(start)
	b.SetTenants(tenantsOf(100, 100))
	at := observeWork(b, start, 10, 0, 5000)
	c.Assert(b.Overuse(at).Above, qt.HasLen, 0)
	c.Assert(b.Shares(at), qt.HasLen, 1)
}

func TestExpiredReportsAndRemovedTenantsAreDropped(t *testing.T) {
	c := qt.New(t)
	b := New(start)
	b.SetTenants(tenantsOf(100, 100))
	b.Observe(start, "a", []Work{{Tenant: "t0", Waiting: 3}, {Tenant: "nobody", Done: 1e9}, {Tenant: "t1", Done: math.NaN()}})
	b.Observe(start, "b", []Work{{Tenant: "t0", Waiting: 4}})
	c.Assert(b.Waiting("t0"), qt.Equals, 7)
	b.Observe(start.Add(time.Second), "b", nil)
	c.Assert(b.Waiting("t0"), qt.Equals, 3)
	b.Observe(start.Add(reportLifetime+time.Millisecond), "b", nil)
	c.Assert(b.Waiting("t0"), qt.Equals, 0)
	c.Assert(b.Shares(start.Add(reportLifetime+time.Millisecond)), qt.HasLen, 0)
	b.SetTenants(nil)
	c.Assert(b.Waiting("t0"), qt.Equals, 0)
}

func TestWeightsFollowLimits(t *testing.T) {
	tenants := append(tenantsOf(100, 300), site.Tenant{Name: "free"},
		site.Tenant{Name: "counted", Limit: site.RateLimit{Unit: site.UnitRequests, Rate: 2}})
	qt.Assert(t, Weights(tenants), qt.DeepEquals, map[string]float64{"t0": 100, "t1": 300, "counted": 1400, "free": 600})
}

// BenchmarkObserve measures reports on 16 tenants from 830 routers.
func BenchmarkObserve(b *testing.B) {
	book := New(start)
	book.SetTenants(tenantsOf(make([]float64, 16)...))
	at := start
	var works []Work
	for i := range 16 {
		works = append(works, Work{Tenant: fmt.Sprint("t", i), Done: 700, Waiting: 1})
	}
	names := make([]string, 830)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at = at.Add(time.Millisecond)
		book.Observe(at, names[i%830], works)
	}
}
