package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

// A return may be delayed while other routers draw. Their usage must still count after the returned
// grant has left the window.
func TestDelayedReturnIsNotDeductedFromLaterGrants(t *testing.T) {
	c := qt.New(t)
	began := time.Unix(1000, 0)
	const window, cost = 8 * time.Second, 100.0
	limits := quota.New(began, quota.Bound{Window: window}, nil)
	limits.SetTenants(began, []site.Tenant{{Name: "t", Limit: site.RateLimit{Rate: 100, Burst: 400, Unit: site.UnitRequests}}})
	draw := func(at time.Time, router string) {
		wants := []quota.Want{{Tenant: "t", Waiting: []float64{cost}}}
		limits.RecordShortfalls(at, router, wants)
		limits.Reserved(at, limits.Reserve(at))
		c.Assert(limits.Draw(at, router, wants)[0].Amount, qt.Equals, cost)
	}
	draw(began, "a")
	draw(began.Add(500*time.Millisecond), "b")
	returned := []quota.Want{{Tenant: "t", Returned: []quota.Return{{Amount: cost, Age: 100 * time.Millisecond}}}}
	ageReturns(returned)
	limits.ApplyReturns(began.Add(800*time.Millisecond), quota.RouterProcess{Router: "a"}, 1, returned)
	c.Assert(limits.TakeUsages(began.Add(window + 200*time.Millisecond))[0].Used, qt.Equals, cost)
}
