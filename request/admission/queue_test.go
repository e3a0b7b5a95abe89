package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

var start = time.Unix(1_000_000, 0)

func item(id string, caller string, priority structs.Priority, deadline int) Item {
	return Item{
		ID: structs.RequestID(id), Caller: caller, Priority: priority,
		QueuedAt: start, DeadlineAt: start.Add(time.Duration(deadline) * time.Second),
	}
}

func drain(queue *Queue) []structs.RequestID {
	var order []structs.RequestID
	for {
		peeked, _ := queue.Peek()
		popped, ok := queue.Pop()
		if !ok {
			return order
		}
		if peeked.ID != popped.ID {
			return append(order, "peek and pop differ")
		}
		order = append(order, popped.ID)
	}
}

func TestOrder(t *testing.T) {
	tests := []struct {
		about   string
		options Options
		items   []Item
		want    []structs.RequestID
	}{{
		about: "earliest deadline first within a class, classes strictly",
		items: []Item{item("batch", "x", 0, 1), item("late", "x", 2, 9), item("soon", "y", 2, 3), item("standard", "x", 1, 2)},
		want:  []structs.RequestID{"soon", "late", "standard", "batch"},
	}, {
		about:   "a class that was passed over gets one turn",
		options: Options{MaxPassedOver: 2},
		items:   []Item{item("b1", "x", 0, 1), item("b2", "x", 0, 2), item("l1", "x", 2, 1), item("l2", "x", 2, 2), item("l3", "x", 2, 3)},
		want:    []structs.RequestID{"l1", "l2", "b1", "l3", "b2"},
	}, {
		about: "a caller far ahead of its share waits despite early deadlines",
		items: []Item{
			item("x1", "x", 1, 1), item("x2", "x", 1, 1), item("x3", "x", 1, 1), item("x4", "x", 1, 1), item("x5", "x", 1, 1),
			item("x6", "x", 1, 1), item("x7", "x", 1, 1), item("y1", "y", 1, 9), item("y2", "y", 1, 9),
		},
		want: []structs.RequestID{"x1", "x2", "x3", "x4", "x5", "y1", "x6", "y2", "x7"},
	}}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			queue := NewQueue(test.options)
			for _, added := range test.items {
				queue.Push(added)
			}
			qt.Assert(t, drain(queue), qt.DeepEquals, test.want)
		})
	}
}

func TestPushVerdicts(t *testing.T) {
	full := []Item{item("b1", "x", 0, 1), item("b2", "y", 0, 2), item("s", "x", 1, 3)}
	tests := []struct {
		about   string
		before  []Item
		pushed  Item
		verdict Verdict
		shed    structs.RequestID
	}{
		{"live displaces the newest batch item", full, item("l", "z", 2, 1), QueuedDisplacing, "b2"},
		{"standard displaces nothing", full, item("n", "z", 1, 1), FullQueue, ""},
		{"live finds no batch item", []Item{item("1", "x", 1, 1), item("2", "y", 1, 1), item("3", "y", 2, 1)}, item("l", "z", 2, 1), FullQueue, ""},
		{"caller at its limit", []Item{item("1", "x", 1, 1), item("2", "x", 1, 1)}, item("3", "x", 2, 1), FullCaller, ""},
		{"same ID", []Item{item("1", "x", 1, 1)}, item("1", "y", 2, 1), Duplicate, ""},
		{"room", nil, item("1", "x", 9, 1), Queued, ""},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			queue := NewQueue(Options{Limit: 3, CallerLimit: 2})
			for _, added := range test.before {
				queue.Push(added)
			}
			shed, verdict := queue.Push(test.pushed)
			qt.Check(t, verdict, qt.Equals, test.verdict)
			qt.Check(t, shed.ID, qt.Equals, test.shed)
			qt.Check(t, queue.Len() <= 3, qt.IsTrue)
		})
	}
}

// TestSharesFollowWeights keeps three callers backlogged and counts their turns.
func TestSharesFollowWeights(t *testing.T) {
	weights := map[string]int{"x": 1, "y": 2, "z": 5}
	queue := NewQueue(Options{Weight: func(caller string) int { return weights[caller] }})
	random := rand.New(rand.NewPCG(1, 1))
	served := map[string]int{}
	for number := range 8000 {
		for caller := range weights {
			for queue.callers[caller] < 4 {
				queue.Push(item(fmt.Sprint(caller, number, queue.callers[caller]), caller, 1, number+random.IntN(50)))
			}
		}
		popped, _ := queue.Pop()
		served[popped.Caller]++
	}
	for caller, weight := range weights {
		qt.Check(t, served[caller] >= 1000*weight-20 && served[caller] <= 1000*weight+20, qt.IsTrue, qt.Commentf("%v", served))
	}
}

// TestRandomOperationsKeepCounts compares the queue with a map.
func TestRandomOperationsKeepCounts(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	queue := NewQueue(Options{Limit: 40, CallerLimit: 15})
	held := map[structs.RequestID]Item{}
	for number := range 20000 {
		added := item(fmt.Sprint(number), fmt.Sprint(random.IntN(5)), structs.Priority(random.IntN(3)), random.IntN(100))
		switch random.IntN(5) {
		case 0, 1, 2:
			shed, verdict := queue.Push(added)
			if verdict == Queued || verdict == QueuedDisplacing {
				held[added.ID] = added
			}
			delete(held, shed.ID)
		case 3:
			popped, ok := queue.Pop()
			_, known := held[popped.ID]
			qt.Assert(t, known, qt.Equals, ok)
			delete(held, popped.ID)
		case 4:
			for id := range held {
				qt.Assert(t, queue.Remove(id), qt.IsTrue)
				delete(held, id)
				break
			}
		}
		qt.Assert(t, queue.Len(), qt.Equals, len(held))
		qt.Assert(t, queue.countFrom(0), qt.Equals, len(held))
	}
	qt.Assert(t, drain(queue), qt.HasLen, len(held))
}

func TestItemsAheadFollowFairShares(t *testing.T) {
	queue := NewQueue(Options{})
	for number := range 20 {
		queue.Push(item(fmt.Sprint("flood", number), "flood", 1, 30))
	}
	queue.Push(item("live", "y", 2, 30))
	queue.Push(item("quiet", "quiet", 1, 30))
	tests := []struct {
		caller   string
		priority structs.Priority
		want     int
	}{
		{"new", 2, 1},
		{"new", 1, 1 + 3 + 1},
		{"quiet", 1, 1 + 1 + 4},
		{"flood", 1, 1 + 20 + 1},
		{"new", 0, 1 + 20 + 1},
	}
	for _, test := range tests {
		qt.Check(t, queue.AheadOf(test.priority, test.caller), qt.Equals, test.want, qt.Commentf("%s %d", test.caller, test.priority))
	}
	ahead := map[structs.RequestID]int{}
	queue.EachAhead(func(visited Item, count int) bool {
		ahead[visited.ID] = count
		return visited.ID != "flood3"
	})
	qt.Check(t, ahead["live"], qt.Equals, 0)
	qt.Check(t, ahead["flood3"], qt.Equals, 1+3)
	qt.Check(t, ahead["flood4"], qt.Equals, 1+3, qt.Commentf("removed items do not count"))
	qt.Check(t, ahead["quiet"], qt.Equals, 1+3)
}

func TestPreferredItemGoesFirstABoundedNumberOfTimes(t *testing.T) {
	queue := NewQueue(Options{})
	queue.Push(item("head", "x", 1, 1))
	for number := range 2 * PreferenceLimit {
		queue.Push(item(fmt.Sprint("liked", number), fmt.Sprint(number), 1, 2))
	}
	queue.Push(item("liked-batch", "z", 0, 1))
	liked := func(candidate Item) int { return min(1, len(candidate.ID)-len("head")) }
	var order []structs.RequestID
	for range PreferenceLimit + 1 {
		popped, ok := queue.PopPreferred(liked)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, popped.Priority, qt.Equals, structs.PriorityStandard)
		order = append(order, popped.ID)
	}
	qt.Check(t, order[0], qt.Not(qt.Equals), structs.RequestID("head"))
	qt.Check(t, order[PreferenceLimit], qt.Equals, structs.RequestID("head"))
}

func TestEstimateFollowsTheRateOfStarts(t *testing.T) {
	estimator := NewEstimator(EstimatorOptions{})
	now := start
	for range 2 * minSamples {
		now = now.Add(500 * time.Millisecond)
		estimator.ObserveTurn(now, true)
		estimator.ObserveArrival(now, structs.PriorityLive)
		estimator.ObserveService(3*time.Second, 10)
	}
	estimator.ObserveTurn(now.Add(time.Millisecond), false)
	estimator.ObserveTurn(now.Add(time.Hour), true)
	live := QueueState{Slots: 4, Ahead: 3, Now: now, Priority: structs.PriorityLive}
	near := func(got, want time.Duration) {
		qt.Check(t, got > want*9/10 && got < want*11/10, qt.IsTrue, qt.Commentf("%v, not %v", got, want))
	}
	near(estimator.Start(live), 2*time.Second)
	near(estimator.Finish(live), 5*time.Second)
	batch := live
	batch.Priority = structs.PriorityBatch
	near(estimator.Start(batch), 2*time.Second)
	batch.BusyFor = time.Hour
	near(estimator.Start(batch), minShareDivisor*2*time.Second)
	batch.BusyFor = 17 * time.Second / busyOutlookFactor
	near(estimator.Start(batch), 18*time.Second)
	batch.Now = now.Add(time.Minute)
	near(estimator.Start(batch), 2*time.Second)
	estimator.ObserveTurn(now.Add(2*time.Hour), true)
	qt.Check(t, estimator.Start(live) < 3*time.Second, qt.IsTrue, qt.Commentf("one long gap does not change the estimate much"))
	live.Free = 4
	qt.Check(t, estimator.Finish(live), qt.Equals, time.Duration(0))
}

func TestEstimatedStart(t *testing.T) {
	observed := NewEstimator(EstimatorOptions{})
	observed.ObserveService(4*time.Second, 100)
	observed.ObserveColdLoad(8 * time.Second)
	reported := NewEstimator(EstimatorOptions{})
	reported.ObserveLoadReport(structs.LoadReport{Running: 2, TokensPerSecond: 100})
	tests := []struct {
		about     string
		estimator *Estimator
		situation QueueState
		want      time.Duration
	}{
		{"a slot is free", observed, QueueState{Slots: 2, Free: 1}, 0},
		{"no slot is free", observed, QueueState{Slots: 2}, 2 * time.Second},
		{"requests ahead", observed, QueueState{Slots: 2, Ahead: 3}, 8 * time.Second},
		{"cold", observed, QueueState{ColdFor: 3 * time.Second}, 5 * time.Second},
		{"cold with others ahead", observed, QueueState{Ahead: 1}, 12 * time.Second},
		{"cold for longer than expected", observed, QueueState{ColdFor: time.Minute}, 2 * time.Second},
		{"speed known from a report only", reported, QueueState{Slots: 1, MaxTokens: 500}, 10 * time.Second},
		{"nothing observed", NewEstimator(EstimatorOptions{}), QueueState{}, DefaultColdLoad},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			qt.Assert(t, test.estimator.Start(test.situation), qt.Equals, test.want)
		})
	}
}

func TestAccuracyTracksTheError(t *testing.T) {
	estimator := NewEstimator(EstimatorOptions{})
	estimator.ObserveStart(3*time.Second, time.Second)
	estimator.ObserveStart(time.Second, 4*time.Second)
	qt.Assert(t, estimator.Accuracy(), qt.Equals, Accuracy{Bias: time.Second, Absolute: 2200 * time.Millisecond})
}

// BenchmarkPushPop compares the queue with a bounded FIFO at a depth of 128.
func BenchmarkPushPop(b *testing.B) {
	items := make([]Item, 1024)
	for index := range items {
		items[index] = item(fmt.Sprint(index), fmt.Sprint(index%16), structs.Priority(index%3), index%97)
	}
	b.Run("queue", func(b *testing.B) {
		queue := NewQueue(Options{})
		for index := range 128 {
			queue.Push(items[index])
		}
		b.ReportAllocs()
		for index := 128; b.Loop(); index++ {
			queue.Push(items[index%len(items)])
			queue.Pop()
		}
	})
	b.Run("preferred", func(b *testing.B) {
		queue := NewQueue(Options{})
		for index := range 128 {
			queue.Push(items[index])
		}
		b.ReportAllocs()
		for index := 128; b.Loop(); index++ {
			queue.Push(items[index%len(items)])
			queue.PopPreferred(func(candidate Item) int { return len(candidate.ID) })
		}
	})
	b.Run("baseline=fifo", func(b *testing.B) {
		fifo := make(chan Item, 256)
		for index := range 128 {
			fifo <- items[index]
		}
		b.ReportAllocs()
		for index := 128; b.Loop(); index++ {
			fifo <- items[index%len(items)]
			<-fifo
		}
	})
}

// BenchmarkEachAhead measures a review of a full queue with 16 callers.
func BenchmarkEachAhead(b *testing.B) {
	queue := NewQueue(Options{})
	for index := range DefaultLimit {
		queue.Push(item(fmt.Sprint(index), fmt.Sprint(index%16), structs.Priority(index%3), index%97))
	}
	b.ReportAllocs()
	for b.Loop() {
		queue.EachAhead(func(Item, int) bool { return true })
	}
}
