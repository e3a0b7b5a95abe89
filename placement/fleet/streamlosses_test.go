package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLossRateDecays(t *testing.T) {
	c := qt.New(t)
	var losses StreamLosses
	now := time.Unix(1000, 0)
	c.Assert(losses.Rate(now), qt.Equals, 0.0)
	losses.Add(now, 90, 2)
	c.Assert(losses.Rate(now), qt.Equals, 0.02)
	later := losses.Rate(now.Add(5 * lossWindow))
	c.Assert(later < minLossRate && later > 0, qt.IsTrue, qt.Commentf("%g", later))
	// A clock that goes back must not raise the rate.
	c.Assert(losses.Rate(now) <= 0.02, qt.IsTrue)
}

// One router of many sees few losses, so the leader adds them up, and tells nothing on a calm day.
func TestLossesOfAllRoutersAreAddedUp(t *testing.T) {
	c := qt.New(t)
	tracker := NewLossTracker()
	now := time.Unix(1000, 0)
	for range 80 {
		tracker.Observe(now, []StreamCount{{Service: "calm", Sent: 10}, {Service: "rough", Sent: 9}})
	}
	c.Assert(tracker.Rates(now), qt.IsNil)
	for range 20 {
		tracker.Observe(now, []StreamCount{{Service: "rough", Sent: 4, Lost: 1}, {Service: "calm", Sent: -5, Lost: -1}})
	}
	rates := tracker.Rates(now)
	c.Assert(rates, qt.HasLen, 1)
	c.Assert(rates["rough"] > 0.02 && rates["rough"] < 0.03, qt.IsTrue, qt.Commentf("%v", rates))
	c.Assert(tracker.Rates(now.Add(10*lossWindow)), qt.IsNil)
}
