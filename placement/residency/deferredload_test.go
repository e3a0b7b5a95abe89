package residency

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// deferredShape is a load of rarely requested models whose callers wait for some seconds: 90 runners
// with 3 places for 530 models, 105 requests a second over 500 of them beside 188 over the 30
// busiest, which shift by five models every eight seconds. onDisk is the number of copies on each
// disk: with 7, three models of four have a single copy.
func deferredShape(onDisk int) burstShape {
	shape := burstShape{
		runners: 90, rare: 500, rareRate: 105.0 / 500, burstFactor: 1,
		objective: 3 * time.Second, deadline: 13 * time.Second,
		storeTime: 6 * time.Second, storeAtOnce: 4, diskTime: 900 * time.Millisecond,
		onDisk: onDisk, slots: 16, replica: 10, sizes: []float64{65_000}, shiftEvery: 8 * time.Second, shiftBy: 5,
	}
	sum := 0.0
	for i := range 30 {
		shape.hot = append(shape.hot, math.Pow(float64(i+2), -0.8))
		sum += shape.hot[i]
	}
	for i := range shape.hot {
		shape.hot[i] *= 188 / sum
	}
	return shape
}

// Requests for rare models whose copies load in 0.9 s are in time within 3 s if most models have two
// copies or more, also while the models in high demand shift. Where most have a single copy, they
// wait for the runner with it: it loads other models with a single copy, executes a load from the
// store, or all of its places hold models in high demand.
func TestDeferredRequestsWithShiftingDemand(t *testing.T) {
	for _, test := range []struct {
		onDisk int
		// minInTime is the minimum share in time, and maxLost the maximum share of late and dropped
		// requests.
		minInTime, maxLost float64
	}{
		{16, 0.95, 0.01},
		{7, 0.88, 0.06},
	} {
		t.Run(fmt.Sprint(test.onDisk, " copies on each disk"), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newBurstWorld(deferredShape(test.onDisk), 0)
			w.engine.LoadsPerSecond = 67
			w.play(24 * time.Second)
			asked := float64(w.rareSeen.asked)
			c.Check(w.inTimeShare() >= test.minInTime, qt.IsTrue, qt.Commentf("%v", w))
			c.Check(float64(w.rareSeen.late+w.rareSeen.refused) <= test.maxLost*asked, qt.IsTrue, qt.Commentf("%v", w))
			c.Check(float64(w.hotSeen.inTime) >= 0.98*float64(w.hotSeen.asked), qt.IsTrue, qt.Commentf("%v", w))
		})
	}
}

// shifted returns by how many places the models in high demand have shifted.
func (w *burstWorld) shifted() int {
	if w.shape.shiftEvery == 0 || w.now.Before(w.began) {
		return 0
	}
	return w.shape.shiftBy * int(w.now.Sub(w.began)/w.shape.shiftEvery)
}

// hotName returns the model that gets the i-th of the high rates now.
func (w *burstWorld) hotName(i int) string {
	return w.engine.Models[(i+w.shifted())%len(w.engine.Models)].Name
}

// hotRate returns the high rate of a model, or 0 if it is rare now.
func (w *burstWorld) hotRate(name string) float64 {
	i := w.places[name] - w.shifted()%len(w.engine.Models)
	if i < 0 {
		i += len(w.engine.Models)
	}
	if i < len(w.shape.hot) {
		return w.shape.hot[i]
	}
	return 0
}
