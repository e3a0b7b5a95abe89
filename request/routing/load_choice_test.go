package routing

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// loadScale is the load relative to the capacity of the omniscient policy.
const loadScale = 0.9

// manyRouters returns the options of one router among many.
func manyRouters() Options {
	return Options{ReportTTL: 3 * time.Second, CostExponent: 3, ColdTime: 4 * time.Millisecond, WarmTime: 8 * time.Second}
}

// simulate runs the load with a policy for several seeds and returns the mean result.
func simulate(reportAge float64, change func(l *load, now float64), policyOf func(l *load) policy) result {
	const seeds = 4
	var results [seeds]result
	var running sync.WaitGroup
	for seed := range results {
		running.Go(func() {
			l := newLoad(uint64(seed)+5, reportAge, loadScale)
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
		mean.inTime += each.inTime / seeds
		mean.spread += each.spread / seeds
		mean.hotSpread += each.hotSpread / seeds
	}
	return mean
}

func byExpectedTime(l *load) policy { return newBalanced(l, manyRouters()) }
func byOwnCount(l *load) policy     { return &byCount{load: l} }

// With load reports of 0.1 to 2 s age, choosing by expected time serves more requests in time
// than counting requests, without all routers picking the runner that was best in the report.
func TestExpectedTimeBeatsRequestCountWithManyRouters(t *testing.T) {
	best := simulate(0.1, nil, func(l *load) policy { return omniscient{l} })
	t.Logf("omniscient: %v", best)
	for _, test := range []struct {
		name      string
		reportAge float64
		// mostShare bounds the requests not in time relative to those of byOwnCount.
		mostShare float64
	}{
		{"reports of 0.1 s", 0.1, 0.5},
		{"reports of 0.5 s", 0.5, 0.5},
		{"reports of 2 s", 2, 0.6},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := simulate(test.reportAge, nil, byOwnCount)
			now := simulate(test.reportAge, nil, byExpectedTime)
			t.Logf("by count: %v", before)
			t.Logf("by time:  %v", now)
			qt.Assert(t, 1-now.inTime <= test.mostShare*(1-before.inTime), qt.IsTrue)
			qt.Assert(t, now.lateLong <= before.lateLong, qt.IsTrue)
		})
	}
	t.Run("no reports", func(t *testing.T) {
		before := simulate(1000, nil, byOwnCount)
		now := simulate(1000, nil, byExpectedTime)
		t.Logf("by count: %v", before)
		t.Logf("by time:  %v", now)
		qt.Assert(t, 1-now.inTime <= 0.75*(1-before.inTime), qt.IsTrue)
	})
}

// Under partial failures, choosing by expected time serves no fewer requests in time than counting.
func TestExpectedTimeUnderFailures(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(l *load, now float64)
		// wrap changes the reports that a policy receives.
		wrap func(p policy) policy
	}{
		{"a runner becomes four times slower", func(l *load, _ float64) { l.engines[0].slowness *= 4 }, unwrapped},
		{"late reports on half of the runners", nil, func(p policy) policy { return &delayedReports{policy: p} }},
		{"one router without reports", nil, func(p policy) policy {
			if balanced, isBalanced := p.(*balanced); isBalanced {
				balanced.dropsReports = func(router int) bool { return router == 0 }
			}
			return p
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := simulate(0.1, test.change, func(l *load) policy { return test.wrap(byOwnCount(l)) })
			now := simulate(0.1, test.change, func(l *load) policy { return test.wrap(byExpectedTime(l)) })
			t.Logf("by count: %v", before)
			t.Logf("by time:  %v", now)
			qt.Assert(t, now.inTime >= before.inTime, qt.IsTrue)
		})
	}
}

func unwrapped(p policy) policy { return p }

// delayedReports delays the reports on every second runner by two seconds.
type delayedReports struct {
	policy
	previous [][]runnerReport
}

func (p *delayedReports) observe(written float64, current []runnerReport) {
	const late = int(2 / reportInterval)
	p.previous = append(p.previous, current)
	mixed := append([]runnerReport(nil), current...)
	if len(p.previous) > late {
		for number := 0; number < len(mixed); number += 2 {
			mixed[number] = p.previous[len(p.previous)-1-late][number]
		}
	}
	p.policy.observe(written, mixed)
}

// Without reports, requests are distributed by the speed of the replicas.
func TestWithoutReportsLoadFollowsReplicaSpeed(t *testing.T) {
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
	// Two of six replicas at 0.55 of the speed have 1.1 of 5.1 of the capacity.
	share := float64(slow) / float64(all)
	qt.Assert(t, share > 0.17 && share < 0.27, qt.IsTrue, qt.Commentf("%f", share))
}

// The breaker excludes a runner that appears idle because its answers are lost.
func TestBreakerExcludesRunnerWithLostAnswers(t *testing.T) {
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

func TestRejectionStartsCooldown(t *testing.T) {
	c := qt.New(t)
	balancer := newBalancer(1, Options{})
	reject := func(now time.Time) bool {
		choice, found := balancer.Pick(now, "row", nil, "")
		if found {
			choice.Sent(now, nil)
			choice.Done(now, OutcomeRejected)
		}
		return found
	}
	now := start
	for _, length := range []time.Duration{minCooldown, 2 * minCooldown, 4 * minCooldown, maxCooldown, maxCooldown} {
		c.Assert(reject(now), qt.IsTrue)
		c.Assert(reject(now.Add(length-time.Millisecond)), qt.IsFalse)
		now = now.Add(length)
	}
	// Unloading and reloading the model ends the cooldown.
	c.Assert(reject(now), qt.IsTrue)
	without := placement(1)
	without.Replicas = nil
	balancer.SetPlacement(without)
	balancer.SetPlacement(placement(1))
	c.Assert(reject(now), qt.IsTrue)
	c.Assert(balancer.rows["row"].subset[0].cooldown.duration, qt.Equals, minCooldown)
}

func TestSuccessEndsCooldown(t *testing.T) {
	c := qt.New(t)
	balancer := newBalancer(1, Options{})
	first, _ := balancer.Pick(start, "row", nil, "")
	first.Sent(start, nil)
	second, _ := balancer.Pick(start, "row", nil, "")
	second.Sent(start, nil)
	second.Done(start, OutcomeRejected)
	c.Assert(second.Cooldown(start), qt.Equals, minCooldown)
	first.Done(start, OutcomeSuccess)
	c.Assert(second.Cooldown(start), qt.Equals, time.Duration(0))
}

func TestExcludedRunnerIsNeverPicked(t *testing.T) {
	c := qt.New(t)
	balancer := newBalancer(1, Options{UseFailing: true})
	_, found := balancer.PickFor(start, "row", &Work{Avoid: "runner-0"})
	c.Assert(found, qt.IsTrue)
	_, found = balancer.PickFor(start, "row", &Work{Excluded: "runner-0"})
	c.Assert(found, qt.IsFalse)
}

// The prefill time saved by a cached prefix decides for a long prompt, and not for a short one.
func TestCachedPromptSavesPrefillTime(t *testing.T) {
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
