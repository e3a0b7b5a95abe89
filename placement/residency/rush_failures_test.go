package residency

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// smallShape is a quarter of messagingShape, and takes a fifth of the time to play.
func smallShape() rushShape {
	shape := messagingShape
	shape.runners, shape.rare, shape.absent = 16, 42, 0
	shape.hot = []float64{30, 20, 12, 8, 5}
	return shape
}

// shareInAim is the share of requests for rare models in time.
func (w *rushWorld) shareInAim() float64 {
	return float64(w.rareSeen.inAim) / float64(w.rareSeen.asked)
}

// Each subtest brings one failure about two seconds into the rush, and says what is left in time
// at least.
func TestRushUnderAFailure(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(w *rushWorld)
		// inAim is the least share in time.
		inAim float64
	}{
		{"no failure", func(*rushWorld) {}, 0.96},
		{"the leader is lost in mid-turn", func(w *rushWorld) { w.newLeaderAfter(time.Second) }, 0.94},
		{"a runner that swaps crashes", func(w *rushWorld) { w.loseOneThatLoads() }, 0.91},
		{"a quarter of the runners is gone", func(w *rushWorld) { w.lose(func(i int) bool { return i%4 == 0 }) }, 0.85},
		{"orders are unanswered, and some carried out late", func(w *rushWorld) { w.silent = 0.2 }, 0.91},
		{"disks take three times as long", func(w *rushWorld) { w.diskFactor = 3 }, 0.73},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newRushWorld(smallShape(), 1)
			w.play(10 * time.Second)
			test.fail(w)
			w.play(24 * time.Second)
			t.Logf("%s: %.3f in time, %v", test.name, w.shareInAim(), w)
			qt.Assert(t, w.shareInAim() >= test.inAim, qt.IsTrue, qt.Commentf("%v", w))
		})
	}
}

// newLeaderAfter has another planner take over, which may send orders after a time.
func (w *rushWorld) newLeaderAfter(lease time.Duration) {
	w.newLeader()
	w.planner.SetOrdersFrom(w.now.Add(lease))
}

// loseOneThatLoads ends the first runner that is found to load a model.
func (w *rushWorld) loseOneThatLoads() {
	for range 500 {
		for i, known := range w.runners {
			if known.isBusy && known.order.Operation == Load && !known.isStore {
				w.lose(func(lost int) bool { return lost == i })
				return
			}
		}
		w.step()
	}
}

// A new leader knows what routers and runners report. It begins no more loads from the weight
// store than that serves at once, and no more swaps than the one before.
func TestNewLeaderTakesTurnsUpWithoutAStorm(t *testing.T) {
	c := qt.New(t)
	swapsAfter := func(change func(w *rushWorld)) (swaps, storeLoads int) {
		w := newRushWorld(smallShape(), 2)
		w.play(10 * time.Second)
		change(w)
		swaps, storeLoads = w.swaps, w.storeLoads
		w.play(14 * time.Second)
		return w.swaps - swaps, w.storeLoads - storeLoads
	}
	before, _ := swapsAfter(func(*rushWorld) {})
	after, storeLoads := swapsAfter(func(w *rushWorld) { w.newLeaderAfter(time.Second) })
	c.Assert(after <= before*5/4, qt.IsTrue, qt.Commentf("%d swaps in the 4 s after the change, %d without", after, before))
	c.Assert(storeLoads <= 1, qt.IsTrue, qt.Commentf("%d loads from the store", storeLoads))
}

// The copies of a model are lost with their runners, in the rush. It comes from the store after
// another one, beside at most one load that tries whether the store bears more; the other models
// take their turns meanwhile.
func TestModelWhoseCopiesAreLostComesFromTheStore(t *testing.T) {
	c := qt.New(t)
	w := newRushWorld(smallShape(), 3)
	w.play(9 * time.Second)
	w.lose(func(i int) bool { return slices.Contains(w.runners[i].heartbeat.OnDisk, "rare0") })
	for range 42 * time.Second / rushStep {
		w.step()
		c.Assert(w.storesBusy() <= w.shape.storeAtOnce+1, qt.IsTrue)
	}
	c.Assert(w.planner.tally.copies[Row{Service: "s", Model: "rare0"}], qt.HasLen, 1)
	c.Assert(w.shareInAim() >= 0.7, qt.IsTrue, qt.Commentf("%v", w))
}

// storesBusy counts the loads from the store that are under way.
func (w *rushWorld) storesBusy() int {
	busy := 0
	for _, known := range w.runners {
		if known.isBusy && known.isStore && !known.isDead {
			busy++
		}
	}
	return busy
}

// waitBound is the longest that a request for a model with a copy waits where runners have copies
// of ten models, each of which is at two others as well: what two thirds of a round take, in
// which every model of a runner has its turn of a second.
const waitBound = 7 * time.Second

// A request for a model with a copy at a runner waits no longer than the bound, however many
// others are wanted, and however seldom it is.
func TestWaitForACopyIsBounded(t *testing.T) {
	for seed := range uint64(3) {
		shape := smallShape()
		shape.runners, shape.hot, shape.storeTime = 10, nil, time.Minute
		w := newRushWorld(shape, seed)
		w.play(20 * time.Second)
		qt.Check(t, w.longest <= waitBound, qt.IsTrue, qt.Commentf("%v", w))
	}
}

// A machine's disk takes three times as long. Its loads are expected to, so that callers are told
// the truth, and turns begin earlier.
func TestExpectedTimeOfCopiesFollowsTheDisk(t *testing.T) {
	c := qt.New(t)
	known := &runner{holdings: make(map[string]*holding), copies: map[string]copyPlace{"m": copyOnDisk}}
	model := manyModels().Service("s").Engine.ModelByName("m1")
	known.copies[model.Name] = copyOnDisk
	for range 12 {
		held := newHolding(start, phaseLoading)
		held.expected = loadTime(known, model)
		known.noteEnded(start.Add(3*model.DiskLoadTime), model.Name, held)
	}
	c.Assert(loadTime(known, model) > 2800*time.Millisecond, qt.IsTrue, qt.Commentf("%v", loadTime(known, model)))
	c.Assert(loadTime(known, model) <= 3*model.DiskLoadTime, qt.IsTrue)
}
