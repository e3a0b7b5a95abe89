package quota

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/site"
)

// The test limit allows 1000 units in each window of ten seconds, and the bound 100 more.
var (
	testBound = Bound{Window: 10 * time.Second, Overshoot: 0.1}
	testLimit = site.RateLimit{Unit: site.UnitTokens, Rate: 80, Burst: 200, PlainTokens: 10}
	origin    = time.Unix(1000, 0)
)

func tenants(limit site.RateLimit) []site.Tenant { return []site.Tenant{{Name: "t", Limit: limit}} }

func newDivider(former ...Reservation) *Divider {
	divider := New(origin, testBound, former)
	divider.SetTenants(origin, tenants(testLimit))
	return divider
}

// drawAt reserves what the router lacks, as if the log committed at once, and draws.
func drawAt(d *Divider, at time.Time, router string, want Want) Grant {
	want.Tenant = "t"
	d.RecordShortfalls(at, router, []Want{want})
	if parts := d.Reserve(at); parts != nil {
		d.Reserved(at, parts)
	}
	return d.Draw(at, router, []Want{want})[0]
}

func waiting(costs ...float64) Want { return Want{Waiting: costs} }

func TestDrawGrantsLimitAndReportsRoomIn(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	// The burst and a part of the excess are granted at once.
	c.Assert(drawAt(d, origin, "a", waiting(100, 100)).Amount, qt.Equals, 200.0)
	full := drawAt(d, origin, "a", waiting(20, 100))
	c.Assert(full.Amount, qt.Equals, 20.0)
	// 10 are left; the rest becomes available at the limit's rate.
	c.Assert(full.RoomIn.Round(time.Millisecond), qt.Equals, 1125*time.Millisecond)
	c.Assert(drawAt(d, origin.Add(full.RoomIn-2*grantStep), "a", waiting(100)).Amount, qt.Equals, 0.0)
	c.Assert(drawAt(d, origin.Add(full.RoomIn+grantStep), "a", waiting(100)).Amount, qt.Equals, 100.0)
}

// Guards against a tenant over its limit getting less than its rate in a second, or more than its
// limit with the granted excess in a window.
func TestTenantOverLimitGetsRateInEverySecond(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	seconds := make([]float64, 40)
	for step := range len(seconds) * 100 {
		at := origin.Add(time.Duration(step) * 10 * time.Millisecond)
		cost := []float64{2, 5, 10}[step%3]
		seconds[step/100] += drawAt(d, at, "a", waiting(cost)).Amount
	}
	sum := 0.0
	for i, granted := range seconds {
		// A second may fall short by one request and one step.
		c.Assert(granted >= testLimit.Rate-10-testLimit.Rate*grantStep.Seconds(), qt.IsTrue, qt.Commentf("second %d: %g", i, granted))
		sum += granted
		if i >= 10 {
			sum -= seconds[i-10]
			c.Assert(sum <= 1030+1e-6, qt.IsTrue, qt.Commentf("window that ends with second %d: %g", i, sum))
		}
	}
	// The burst is available once per window.
	c.Assert(sum >= 0.99*1000, qt.IsTrue, qt.Commentf("%g in the last window", sum))
}

func TestHeldAmountCountsTowardsWaitingRequests(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	grant := drawAt(d, origin, "a", Want{Held: 70, Waiting: []float64{50, 50}})
	c.Assert(grant.Amount, qt.Equals, 30.0)
	c.Assert(grant.Keep, qt.Equals, 0.0)
}

func TestOnlyReservedAmountsAreGranted(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	want := Want{Tenant: "t", Waiting: []float64{10}}
	grant := d.Draw(origin, "a", []Want{want})[0]
	c.Assert(grant.Amount, qt.Equals, 0.0)
	c.Assert(grant.RoomIn, qt.Equals, time.Duration(0))
	c.Assert(d.RecordShortfalls(origin, "a", []Want{want}), qt.IsTrue)
	parts := d.Reserve(origin)
	c.Assert(parts, qt.DeepEquals, []Part{{Tenant: "t", Amount: 10}})
	// A proposed amount is not requested again.
	c.Assert(d.RecordShortfalls(origin, "a", []Want{want}), qt.IsTrue)
	c.Assert(d.Reserve(origin), qt.IsNil)
	d.Reserved(origin, parts)
	c.Assert(d.RecordShortfalls(origin, "a", []Want{want}), qt.IsFalse)
	// An expired reservation is not granted, since the next leader counts it at an earlier time.
	c.Assert(d.Draw(origin.Add(reservationTTL), "a", []Want{want})[0].Amount, qt.Equals, 0.0)
}

func TestNewLeaderCountsFormerReservations(t *testing.T) {
	c := qt.New(t)
	d := newDivider(
		Reservation{Age: 5 * time.Second, Parts: []Part{{"t", 600}, {"other", 5000}}},
		Reservation{Age: 0, Parts: []Part{{"t", 350}}},
	)
	// The burst is used up.
	c.Assert(drawAt(d, origin, "a", waiting(80)).Amount, qt.Equals, 0.0)
	c.Assert(drawAt(d, origin.Add(5*time.Second), "a", waiting(80)).Amount, qt.Equals, 80.0)
	c.Assert(drawAt(d, origin.Add(5*time.Second), "a", waiting(80)).Amount, qt.Equals, 0.0)
	// It may have been granted up to reservationTTL after it was reserved.
	c.Assert(drawAt(d, origin.Add(5*time.Second+reservationTTL-grantStep), "a", waiting(80)).Amount, qt.Equals, 0.0)
	c.Assert(drawAt(d, origin.Add(5*time.Second+reservationTTL+grantStep), "a", waiting(80)).Amount, qt.Equals, 80.0)
}

func TestLeasedAmountIsBounded(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	at := origin.Add(LeaseTTL)
	lent := 0.0
	for range 10 {
		for _, router := range []string{"a", "b", "c", "d"} {
			// The use stays below the rate.
			at = at.Add(200 * time.Millisecond)
			grant := drawAt(d, at, router, Want{Waiting: []float64{10}, Reserve: 50})
			lent += grant.Amount - 10
			c.Assert(grant.Keep <= 50, qt.IsTrue)
		}
	}
	c.Assert(lent > 0, qt.IsTrue)
	c.Assert(d.TakeUsages(at)[0].Lent <= 100*(1-grantedExcessShare)+1e-9, qt.IsTrue)
}

func TestNewLeaderLendsNoMoreThanRoutersReport(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	c.Assert(drawAt(d, origin, "a", Want{Waiting: []float64{10}, Reserve: 40}).Keep, qt.Equals, 0.0)
	// A router that reported 30 may get them again after spending them.
	c.Assert(drawAt(d, origin, "b", Want{Held: 30, Reserve: 40}).Keep, qt.Equals, 30.0)
	kept := 0.0
	for range 5 {
		kept = drawAt(d, origin, "b", Want{Held: kept, Waiting: []float64{kept + 5}, Reserve: 40}).Keep
	}
	c.Assert(kept > 0, qt.IsTrue)
	lent := d.TakeUsages(origin)[0].Lent
	c.Assert(lent <= 30, qt.IsTrue, qt.Commentf("%g", lent))
	later := origin.Add(LeaseTTL)
	for range 5 {
		kept = drawAt(d, later, "a", Want{Waiting: []float64{10}, Reserve: 40}).Keep
	}
	c.Assert(kept > 0, qt.IsTrue)
}

func TestLoweredLimitAppliesToLaterGrants(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	c.Assert(drawAt(d, origin, "a", waiting(500)).Amount, qt.Equals, 500.0)
	lower := testLimit
	lower.Rate, lower.Burst = 8, 20
	changed := d.SetTenants(origin, tenants(lower))
	c.Assert(changed, qt.HasLen, 1)
	c.Assert(d.SetTenants(origin, tenants(lower)), qt.HasLen, 0)
	c.Assert(drawAt(d, origin, "a", waiting(10)).Amount, qt.Equals, 0.0)
	c.Assert(drawAt(d, origin.Add(11*time.Second), "a", waiting(10)).Amount, qt.Equals, 10.0)
}

func TestTenantWithoutLimitIsOmitted(t *testing.T) {
	c := qt.New(t)
	d := New(origin, testBound, nil)
	d.SetTenants(origin, []site.Tenant{{Name: "t"}})
	want := []Want{{Tenant: "t", Waiting: []float64{10}}, {Tenant: "unknown", Waiting: []float64{10}}}
	c.Assert(d.RecordShortfalls(origin, "a", want), qt.IsFalse)
	c.Assert(d.Draw(origin, "a", want), qt.HasLen, 0)
	c.Assert(d.Reserve(origin), qt.IsNil)
}

func TestInvalidAmountsAreClamped(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	for _, figure := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e300} {
		grant := drawAt(d, origin, "a", Want{Held: figure, Waiting: []float64{figure}, Reserve: figure})
		c.Assert(grant.Amount >= 0 && grant.Amount <= 1100, qt.IsTrue, qt.Commentf("%g: %g", figure, grant.Amount))
	}
	c.Assert(d.TakeUsages(origin)[0].Used <= 1100, qt.IsTrue)
}

func TestInvalidDurationsAreClamped(t *testing.T) {
	c := qt.New(t)
	for _, span := range []time.Duration{math.MinInt64, -time.Hour, math.MaxInt64} {
		d := newDivider()
		drawAt(d, origin, "a", waiting(230))
		ask := Ask{Class: "c", Digest: 1, Due: span, Away: span}
		answers := drawAt(d, origin, "a", oneRequest(20, ask)).Answers
		c.Assert(answers[0].IsAdmitted, qt.IsFalse, qt.Commentf("%v", span))
		c.Assert(answers[0].ComeBackIn > 0, qt.IsTrue, qt.Commentf("%v", span))
		c.Assert(cap(d.windows["t"].bookings.slots) <= int(maxDuration/bookingSlot), qt.IsTrue, qt.Commentf("%v", span))
	}
}
