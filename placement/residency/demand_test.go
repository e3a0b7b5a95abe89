package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Demand that rises evenly is planned for as high as it is, not as it was on average.
func TestRisingDemandIsPlannedForInTime(t *testing.T) {
	c := qt.New(t)
	const rateTime = 8 * time.Second
	known := &rowDemand{reports: make(map[string]routerDemand)}
	now := start
	for tenth := range 80 {
		now = start.Add(time.Duration(tenth) * 100 * time.Millisecond)
		known.add(now, "router", Demand{Arrived: tenth / 2}, rateTime)
	}
	// 39 requests in a tenth of a second.
	expected := expectedRate(known.rate, known.recent)
	c.Assert(expected > 300 && expected < 420, qt.IsTrue, qt.Commentf("%.0f of 390", expected))
}

func TestDemandThatFallsIsPlannedForAsBefore(t *testing.T) {
	c := qt.New(t)
	c.Assert(expectedRate(5, 2), qt.Equals, 5.0)
}
