package routing

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// loadScale is the load as a part of that at which a policy that knows all begins to be late.
const loadScale = 0.9

// manyRouters are the options of a router that is one of many.
func manyRouters() Options {
	return Options{ReportLife: 3 * time.Second, Sharpness: 3, ColdTime: 4 * time.Millisecond, WarmTime: 8 * time.Second}
}

// play plays the load with a policy for each of some seeds and returns what callers saw on average.
func play(wordAge float64, change func(l *load, now float64), policyOf func(l *load) policy) result {
	const seeds = 4
	var results [seeds]result
	var running sync.WaitGroup
	for seed := range results {
		running.Go(func() {
			l := newLoad(uint64(seed)+5, wordAge, loadScale)
			l.change = change
			results[seed] = l.run(policyOf(l))
		})
	}
	running.Wait()
	var mean result
	for _, each := range results {
		mean.lateShort += each.lateShort / seeds
		mean.lateLong += each.lateLong / seeds
		mean.paused += each.paused / seeds
		mean.inAim += each.inAim / seeds
		mean.spread += each.spread / seeds
		mean.hotSpread += each.hotSpread / seeds
	}
	return mean
}

func byTime(l *load) policy     { return newBalanced(l, manyRouters()) }
func byOwnCount(l *load) policy { return &byCount{load: l} }

// Routers that know of each other by word of 0.1 to 2 s serve more callers in time than routers
// that count requests, and none of them floods the runner that was best when the word was written.
func TestManyRoutersChooseByExpectedTime(t *testing.T) {
	best := play(0.1, nil, func(l *load) policy { return omniscient{l} })
	t.Logf("all known at once: %v", best)
	for _, test := range []struct {
		name    string
		wordAge float64
		// mostShare bounds the callers that are not served in time, as a part of those by count.
		mostShare float64
	}{
		{"word of 0.1 s", 0.1, 0.5},
		{"word of 0.5 s", 0.5, 0.5},
		{"word of 2 s", 2, 0.6},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := play(test.wordAge, nil, byOwnCount)
			now := play(test.wordAge, nil, byTime)
			t.Logf("by count: %v", before)
			t.Logf("by time:  %v", now)
			qt.Assert(t, 1-now.inAim <= test.mostShare*(1-before.inAim), qt.IsTrue)
			qt.Assert(t, now.lateLong <= before.lateLong, qt.IsTrue)
		})
	}
	t.Run("no word at all", func(t *testing.T) {
		before := play(1000, nil, byOwnCount)
		now := play(1000, nil, byTime)
		t.Logf("by count: %v", before)
		t.Logf("by time:  %v", now)
		qt.Assert(t, 1-now.inAim <= 0.75*(1-before.inAim), qt.IsTrue)
	})
}

// What fails may cost callers no more than it did with routers that count requests.
func TestLoadUnderFailure(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(l *load, now float64)
		// spoil changes what a policy hears.
		spoil func(p policy) policy
	}{
		{"a runner turns slow by four", func(l *load, _ float64) { l.engines[0].slowness *= 4 }, unspoiled},
		{"half of the runners have late reports", nil, func(p policy) policy { return &halfLate{policy: p} }},
		{"one router hears nothing", nil, func(p policy) policy {
			if balanced, isBalanced := p.(*balanced); isBalanced {
				balanced.isDeaf = func(router int) bool { return router == 0 }
			}
			return p
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := play(0.1, test.change, func(l *load) policy { return test.spoil(byOwnCount(l)) })
			now := play(0.1, test.change, func(l *load) policy { return test.spoil(byTime(l)) })
			t.Logf("by count: %v", before)
			t.Logf("by time:  %v", now)
			qt.Assert(t, now.inAim >= before.inAim, qt.IsTrue)
		})
	}
}

func unspoiled(p policy) policy { return p }

// halfLate has the word on every second runner come two seconds later.
type halfLate struct {
	policy
	former [][]news
}

func (p *halfLate) word(written float64, current []news) {
	const late = int(2 / wordPause)
	p.former = append(p.former, current)
	mixed := append([]news(nil), current...)
	if len(p.former) > late {
		for number := 0; number < len(mixed); number += 2 {
			mixed[number] = p.former[len(p.former)-1-late][number]
		}
	}
	p.policy.word(written, mixed)
}

// A router that hears nothing gives each replica what its speed bears, as it must not take the
// quickest ones for idle.
func TestWithoutWordReplicasGetWhatTheirSpeedBears(t *testing.T) {
	l := newLoad(1, 0.1, 1)
	p := newBalanced(l, manyRouters())
	slow, all := 0, 4000
	for range all {
		s := &stream{}
		s.runner = p.choose(0, s)
		if l.engines[s.runner].slowness > 1 {
			slow++
		}
		p.done(0, s)
	}
	// Two of six at 0.55 of the speed bear 1.1 of 5.1.
	share := float64(slow) / float64(all)
	qt.Assert(t, share > 0.17 && share < 0.27, qt.IsTrue, qt.Commentf("%f", share))
}

// A runner whose answers are lost looks idle, and is shut out by its breaker all the same.
func TestRunnerWhoseAnswersAreLostIsShutOut(t *testing.T) {
	options := manyRouters()
	options.BreakerFailures, options.BreakerDelay = 2, 500*time.Millisecond
	balancer := newBalancer(6, options)
	lost := 0
	for step := range 1000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		choice, found := balancer.Pick(now, "row", nil, "")
		qt.Assert(t, found, qt.IsTrue)
		choice.Sent(now, nil)
		outcome := OutcomeSuccess
		if choice.Runner() == "runner-0" {
			outcome = OutcomeBroken
			lost++
		}
		choice.Done(now, outcome)
	}
	qt.Assert(t, lost <= 8, qt.IsTrue, qt.Commentf("%d requests lost in 10 s", lost))
}

func TestReplicaThatTurnsRequestsAwayRests(t *testing.T) {
	c := qt.New(t)
	balancer := newBalancer(1, Options{})
	turnAway := func(now time.Time) bool {
		choice, found := balancer.Pick(now, "row", nil, "")
		if found {
			choice.Sent(now, nil)
			choice.Done(now, OutcomeTurnedAway)
		}
		return found
	}
	now := start
	for _, length := range []time.Duration{firstRest, 2 * firstRest, 4 * firstRest, maxRest, maxRest} {
		c.Assert(turnAway(now), qt.IsTrue)
		c.Assert(turnAway(now.Add(length-time.Millisecond)), qt.IsFalse)
		now = now.Add(length)
	}
	// A view in which the model was unloaded and loaded again ends the rest.
	c.Assert(turnAway(now), qt.IsTrue)
	without := placement(1)
	without.Replicas = nil
	balancer.SetPlacement(without)
	balancer.SetPlacement(placement(1))
	c.Assert(turnAway(now), qt.IsTrue)
	c.Assert(balancer.rows["row"].subset[0].rest.length, qt.Equals, firstRest)
}

func TestOneThatServesIsOutOfRest(t *testing.T) {
	c := qt.New(t)
	balancer := newBalancer(1, Options{})
	first, _ := balancer.Pick(start, "row", nil, "")
	first.Sent(start, nil)
	second, _ := balancer.Pick(start, "row", nil, "")
	second.Sent(start, nil)
	second.Done(start, OutcomeTurnedAway)
	c.Assert(second.Rest(start), qt.Equals, firstRest)
	first.Done(start, OutcomeSuccess)
	c.Assert(second.Rest(start), qt.Equals, time.Duration(0))
}

func TestBarredRunnerIsNeverChosen(t *testing.T) {
	c := qt.New(t)
	balancer := newBalancer(1, Options{UseFailing: true})
	_, found := balancer.PickFor(start, "row", &Work{Avoid: "runner-0"})
	c.Assert(found, qt.IsTrue)
	_, found = balancer.PickFor(start, "row", &Work{Barred: "runner-0"})
	c.Assert(found, qt.IsFalse)
}

// A prompt that a runner has read before is cheaper there by the time that it takes to read, which
// outweighs some more requests for a long one and nothing for a short one.
func TestCachedPromptSavesItsReadingTime(t *testing.T) {
	share := func(prompt int64) float64 {
		balancer := newBalancer(2, manyRouters())
		for _, id := range []structs.RunnerID{"runner-0", "runner-1"} {
			balancer.SetPace(id, paceOf(&engine{slowness: 1}))
			balancer.SetBatch(id, loadSlots)
			balancer.ObserveLoad(id, structs.LoadReport{Running: 5, ObservedAt: start})
		}
		balancer.hints.learn(7, balancer.runners["runner-0"].number)
		work := &Work{Prefixes: []uint64{7}, Lengths: []int64{prompt * 2 / 3}, Prompt: prompt}
		there := 0
		for range 1000 {
			choice, _ := balancer.PickFor(start, "row", work)
			if choice.Runner() == "runner-0" {
				there++
			}
		}
		return float64(there) / 1000
	}
	short, long := share(600), share(9000)
	qt.Assert(t, short > 0.45 && short < 0.62, qt.IsTrue, qt.Commentf("%f", short))
	qt.Assert(t, long > 0.65, qt.IsTrue, qt.Commentf("%f", long))
}
