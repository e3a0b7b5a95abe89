package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

// A slow link or the search for a leader holds a return up, while others are granted something. When
// the grant that was returned has left the window, what they used still counts.
func TestReturnThatIsHeldUpIsTakenOffNothingNewer(t *testing.T) {
	c := qt.New(t)
	began := time.Unix(1000, 0)
	const window, cost = 8 * time.Second, 100.0
	limits := quota.New(began, quota.Bound{Window: window}, nil)
	limits.SetTenants(began, []site.Tenant{{Name: "t", Limit: site.RateLimit{Rate: 100, Burst: 400, Unit: site.UnitRequests}}})
	draw := func(at time.Time, router string) {
		wants := []quota.Want{{Tenant: "t", Waiting: []float64{cost}}}
		limits.Lacks(at, router, wants)
		limits.Reserved(at, limits.Reserve(at))
		c.Assert(limits.Draw(at, router, wants)[0].Amount, qt.Equals, cost)
	}
	draw(began, "a")
	draw(began.Add(500*time.Millisecond), "b")
	returned := []quota.Want{{Tenant: "t", Returned: []quota.Return{{Amount: cost, Age: 100 * time.Millisecond}}}}
	ageReturns(returned)
	limits.TakeBack(began.Add(800*time.Millisecond), quota.Asker{Router: "a"}, 1, returned)
	c.Assert(limits.TakeUsages(began.Add(window + 200*time.Millisecond))[0].Used, qt.Equals, cost)
}
