package quota

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/site"
)

func urgent(digest uint64) Ask {
	return Ask{Class: "urgent", Digest: digest, Due: 400 * time.Millisecond, Away: 1500 * time.Millisecond}
}

func patient(digest uint64) Ask {
	return Ask{Class: "patient", Digest: digest, Due: 6 * time.Second, Away: 5 * time.Second}
}

func oneRequest(cost float64, ask Ask) Want { return Want{Waiting: []float64{cost}, Asks: []Ask{ask}} }

func TestBookingIsHonoredOnRetry(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	c.Assert(drawAt(d, origin, "a", oneRequest(230, urgent(1))).Answers[0].IsAdmitted, qt.IsTrue)
	rejected := drawAt(d, origin, "a", oneRequest(20, patient(2))).Answers[0]
	c.Assert(rejected.IsAdmitted, qt.IsFalse)
	// Its answer is in time then, and the next moments are left to urgent callers.
	c.Assert(rejected.ComeBackIn >= 3*time.Second && rejected.ComeBackIn <= 5*time.Second, qt.IsTrue, qt.Commentf("%v", rejected.ComeBackIn))
	// Meanwhile other callers exceed the rate.
	at := origin
	for digest := uint64(100); at.Before(origin.Add(rejected.ComeBackIn)); digest++ {
		at = at.Add(10 * time.Millisecond)
		drawAt(d, at, "b", oneRequest(10, urgent(digest)))
	}
	// The caller retries at another router.
	redeemed := drawAt(d, origin.Add(rejected.ComeBackIn), "c", oneRequest(20, patient(2)))
	c.Assert(redeemed.Answers[0].IsAdmitted, qt.IsTrue)
	c.Assert(redeemed.Amount, qt.Equals, 20.0)
}

func TestEarlyRetryIsToldRemainingTime(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	drawAt(d, origin, "a", oneRequest(230, urgent(1)))
	in := drawAt(d, origin, "a", oneRequest(20, patient(2))).Answers[0].ComeBackIn
	early := drawAt(d, origin.Add(time.Second), "a", oneRequest(20, patient(2))).Answers[0]
	c.Assert(early, qt.Equals, Answer{ComeBackIn: in - time.Second})
}

func TestUnredeemedBookingExpires(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	drawAt(d, origin, "a", oneRequest(230, urgent(1)))
	in := drawAt(d, origin, "a", oneRequest(20, patient(2))).Answers[0].ComeBackIn
	late := origin.Add(in + bookingTTL + time.Second)
	drawAt(d, late, "a", oneRequest(1, urgent(3)))
	c.Assert(d.windows["t"].bookings.entries, qt.HasLen, 0)
}

func TestLoweredLimitDropsBookings(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	drawAt(d, origin, "a", oneRequest(230, urgent(1)))
	drawAt(d, origin, "a", oneRequest(20, patient(2)))
	c.Assert(d.windows["t"].bookings.entries, qt.HasLen, 1)
	lower := testLimit
	lower.Rate /= 10
	d.SetTenants(origin, tenants(lower))
	c.Assert(d.windows["t"].bookings.entries, qt.HasLen, 0)
}

// Guards against a class getting less than its share under contention. Small requests have a
// greater weight.
func TestClassesShareContendedLimit(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	asked, admitted := make(map[string]float64), make(map[string]float64)
	classes := []struct {
		name string
		cost float64
	}{{"small", 1}, {"small", 1}, {"small", 1}, {"small", 1}, {"long", 12}}
	digest := uint64(0)
	for step := range 6000 {
		at := origin.Add(time.Duration(step) * 10 * time.Millisecond)
		class := classes[step%len(classes)]
		digest++
		answer := drawAt(d, at, fmt.Sprint(step%7), oneRequest(class.cost, Ask{Class: class.name, Digest: digest})).Answers[0]
		asked[class.name] += class.cost
		if answer.IsAdmitted {
			admitted[class.name] += class.cost
		}
	}
	small, long := admitted["small"]/asked["small"], admitted["long"]/asked["long"]
	c.Assert(small/long > 0.95 && small/long < smallWeight*1.1, qt.IsTrue, qt.Commentf("small %.3f, long %.3f", small, long))
}

// Guards against a limit without a burst rejecting requests that arrive together.
func TestLimitWithoutBurstAdmitsConcurrentRequests(t *testing.T) {
	c := qt.New(t)
	d := New(origin, Bound{Window: 10 * time.Second}, nil)
	d.SetTenants(origin, []site.Tenant{{Name: "t", Limit: site.RateLimit{Unit: site.UnitRequests, Rate: 10}}})
	at := origin.Add(LeaseTTL)
	c.Assert(drawAt(d, at, "a", waiting(1, 1, 1, 1, 1, 1, 1, 1)).Amount, qt.Equals, 8.0)
	granted := 8.0
	for step := range 1000 {
		granted += drawAt(d, at.Add(time.Duration(step)*10*time.Millisecond), "a", waiting(1)).Amount
	}
	c.Assert(granted <= 100, qt.IsTrue, qt.Commentf("%g", granted))
	c.Assert(granted >= 97, qt.IsTrue, qt.Commentf("%g", granted))
}

func TestMostUrgentRequestOfQueryIsFirst(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	grant := drawAt(d, origin, "a", Want{Waiting: []float64{200, 200}, Asks: []Ask{patient(1), urgent(2)}})
	c.Assert(grant.Answers[0].IsAdmitted, qt.IsFalse)
	c.Assert(grant.Answers[1].IsAdmitted, qt.IsTrue)
	c.Assert(grant.Amount, qt.Equals, 200.0)
}

func TestPreviousVersionRouterIsServedInOrder(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	grant := drawAt(d, origin, "a", waiting(200, 100, 10))
	c.Assert(grant.Answers, qt.HasLen, 0)
	c.Assert(grant.Amount, qt.Equals, 200.0)
	c.Assert(grant.RoomIn > 0, qt.IsTrue)
}

// Requests that need a reservation which is not in the log yet stay undecided.
func TestUnreservedRequestIsUndecided(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	want := oneRequest(10, urgent(1))
	want.Tenant = "t"
	c.Assert(d.Draw(origin, "a", []Want{want})[0].Answers, qt.DeepEquals, []Answer{{}})
}

func TestRejectedCallerGetsOneMoreChance(t *testing.T) {
	c := qt.New(t)
	var n rejections
	n.add(origin, 7, time.Second)
	c.Assert(n.isEarly(origin.Add(900*time.Millisecond), 7), qt.IsTrue)
	second := origin.Add(time.Second)
	c.Assert(n.isEarly(second, 7), qt.IsFalse)
	n.add(second, 7, 600*time.Millisecond)
	c.Assert(n.isEarly(second.Add(time.Second), 7), qt.IsTrue)
	n.expire(origin.Add(3*time.Second + bookingTTL))
	c.Assert(n.byDigest, qt.HasLen, 0)
	c.Assert(n.entries, qt.HasLen, 0)
}
