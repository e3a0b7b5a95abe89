package residency

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// smallShape is a quarter of messagingShape, which takes a fifth of the time to simulate.
func smallShape() burstShape {
	shape := messagingShape
	shape.runners, shape.rare, shape.absent = 16, 42, 0
	shape.hot = []float64{30, 20, 12, 8, 5}
	return shape
}

// inTimeShare returns the share of requests for rare models that were in time.
func (w *burstWorld) inTimeShare() float64 {
	return float64(w.rareSeen.inTime) / float64(w.rareSeen.asked)
}

// Each subtest injects a failure about two seconds into the burst and checks the share of requests
// in time.
func TestBurstWithFailure(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(w *burstWorld)
		// minInTime is the minimum share in time.
		minInTime float64
	}{
		{"no failure", func(*burstWorld) {}, 0.96},
		{"the leader is lost", func(w *burstWorld) { w.newLeaderAfter(time.Second) }, 0.94},
		{"a runner crashes during a load", func(w *burstWorld) { w.loseLoadingRunner() }, 0.91},
		{"a quarter of the runners is lost", func(w *burstWorld) { w.lose(func(i int) bool { return i%4 == 0 }) }, 0.85},
		{"answers to orders are lost, and some orders executed late", func(w *burstWorld) { w.silent = 0.2 }, 0.91},
		{"loads from disk take three times as long", func(w *burstWorld) { w.diskFactor = 3 }, 0.73},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newBurstWorld(smallShape(), 1)
			w.play(10 * time.Second)
			test.fail(w)
			w.play(24 * time.Second)
			t.Logf("%s: %.3f in time, %v", test.name, w.inTimeShare(), w)
			qt.Assert(t, w.inTimeShare() >= test.minInTime, qt.IsTrue, qt.Commentf("%v", w))
		})
	}
}

// newLeaderAfter replaces the planner by a new one, which may send orders after the given time.
func (w *burstWorld) newLeaderAfter(lease time.Duration) {
	w.newLeader()
	w.planner.SetOrdersFrom(w.now.Add(lease))
}

// loseLoadingRunner stops the first runner that is found loading a model from a copy.
func (w *burstWorld) loseLoadingRunner() {
	for range 500 {
		for i, r := range w.runners {
			if r.isBusy && r.order.Operation == Load && !r.isStore {
				w.lose(func(lost int) bool { return lost == i })
				return
			}
		}
		w.step()
	}
}

// Guards against a new leader that exceeds the throughput of the weight store, or that swaps more
// than the previous one.
func TestNewLeaderContinuesSwapsWithinLimits(t *testing.T) {
	c := qt.New(t)
	swapsAfter := func(change func(w *burstWorld)) (swaps, storeLoads int) {
		w := newBurstWorld(smallShape(), 2)
		w.play(10 * time.Second)
		change(w)
		swaps, storeLoads = w.swaps, w.storeLoads
		w.play(14 * time.Second)
		return w.swaps - swaps, w.storeLoads - storeLoads
	}
	before, _ := swapsAfter(func(*burstWorld) {})
	after, storeLoads := swapsAfter(func(w *burstWorld) { w.newLeaderAfter(time.Second) })
	c.Assert(after <= before*5/4, qt.IsTrue, qt.Commentf("%d swaps in the 4 s after the change, %d without", after, before))
	c.Assert(storeLoads <= 1, qt.IsTrue, qt.Commentf("%d loads from the store", storeLoads))
}

// Models without a copy left are loaded from the store one after the other, with at most one
// additional load that probes the limit, while the other models are still swapped.
func TestModelWithLostCopiesIsLoadedFromStore(t *testing.T) {
	c := qt.New(t)
	w := newBurstWorld(smallShape(), 3)
	w.play(9 * time.Second)
	w.lose(func(i int) bool { return slices.Contains(w.runners[i].heartbeat.OnDisk, "rare0") })
	for range 42 * time.Second / burstStep {
		w.step()
		c.Assert(w.storesBusy() <= w.shape.storeAtOnce+1, qt.IsTrue)
	}
	c.Assert(w.planner.snapshot.copies[Row{Service: "s", Model: "rare0"}], qt.HasLen, 1)
	c.Assert(w.inTimeShare() >= 0.7, qt.IsTrue, qt.Commentf("%v", w))
}

// storesBusy returns the number of loads from the store in progress.
func (w *burstWorld) storesBusy() int {
	busy := 0
	for _, r := range w.runners {
		if r.isBusy && r.isStore && !r.isDead {
			busy++
		}
	}
	return busy
}

// waitBound is the maximum wait for a model with a copy where runners have copies of ten models,
// each of which has copies at two other runners: two thirds of a round in which each model of a
// runner is loaded for a second.
const waitBound = 7 * time.Second

// Guards against starvation of rarely requested models.
func TestWaitForCopyIsBounded(t *testing.T) {
	for seed := range uint64(3) {
		shape := smallShape()
		shape.runners, shape.hot, shape.storeTime = 10, nil, time.Minute
		w := newBurstWorld(shape, seed)
		w.play(20 * time.Second)
		qt.Check(t, w.longest <= waitBound, qt.IsTrue, qt.Commentf("%v", w))
	}
}

// Loads at a machine whose disk takes three times as long are expected to, so that forecasts stay
// correct.
func TestExpectedLoadTimeFollowsDisk(t *testing.T) {
	c := qt.New(t)
	r := &runner{holdings: make(map[string]*holding), copies: map[string]copyLocation{"m": copyOnDisk}}
	model := manyModels().Service("s").Engine.ModelByName("m1")
	r.copies[model.Name] = copyOnDisk
	for range 12 {
		held := newHolding(start, phaseLoading)
		held.expected = loadTime(r, model)
		r.noteEnded(start.Add(3*model.DiskLoadTime), model.Name, held)
	}
	c.Assert(loadTime(r, model) > 2800*time.Millisecond, qt.IsTrue, qt.Commentf("%v", loadTime(r, model)))
	c.Assert(loadTime(r, model) <= 3*model.DiskLoadTime, qt.IsTrue)
}
