package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The retries of all routers must keep to the rule in each sliding window.
func TestBudgetsOfAllRoutersKeepTheRule(t *testing.T) {
	const routers = 6
	rule := RetryRule{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	budgets := make([]budget, routers)
	for i := range budgets {
		budgets[i].rule = rule
	}
	var requests, repeats []time.Time
	now := time.Unix(1000, 0)
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(8)) * time.Millisecond)
		own := &budgets[random.IntN(routers)]
		if random.IntN(3) == 0 {
			own.addRequest(now)
			requests = append(requests, now)
		}
		if own.tryRepeat(now, routerCount{routers: routers, at: now}) {
			repeats = append(repeats, now)
		}
	}
	count := func(times []time.Time, from, to time.Time) (found int) {
		for _, at := range times {
			if !at.Before(from) && !at.After(to) {
				found++
			}
		}
		return found
	}
	for at := time.Unix(1000, 0); at.Before(now); at = at.Add(500 * time.Millisecond) {
		end := at.Add(rule.Window)
		// The rule counts the requests of this window or of the previous one.
		most := max(count(requests, at, end), count(requests, at.Add(-rule.Window), at))
		qt.Assert(t, float64(count(repeats, at, end)) <= rule.Ratio*float64(most)+rule.Extra, qt.IsTrue)
	}
	qt.Assert(t, len(repeats) > 100, qt.IsTrue)
}

func TestExtraExpiresWithoutRouterCount(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	own := budget{rule: RetryRule{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}}
	granted := routerCount{routers: 2, at: now}
	c.Assert(own.tryRepeat(now.Add(routerCountTTL), granted), qt.IsTrue)
	c.Assert(own.tryRepeat(now.Add(routerCountTTL+time.Millisecond), granted), qt.IsFalse)
	c.Assert(own.tryRepeat(now, routerCount{}), qt.IsFalse)
}

// With many routers, a router's share of Extra is less than one retry and must add up with its
// requests.
func TestFractionsOfExtraAddUp(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	own := budget{rule: RetryRule{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}}
	granted := routerCount{routers: 99, at: now}
	own.addRequest(now)
	c.Assert(own.tryRepeat(now, granted), qt.IsFalse)
	own.addRequest(now)
	own.addRequest(now)
	c.Assert(own.tryRepeat(now, granted), qt.IsTrue)
	c.Assert(own.tryRepeat(now, granted), qt.IsFalse)
}

// Guards against larger shares of Extra after the loss of the leader, as the next one knows few routers at first.
func TestNewLeaderThatKnowsFewRoutersRaisesNoShare(t *testing.T) {
	c := qt.New(t)
	const routers = 10
	rule := RetryRule{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}
	budgets, counts := make([]budget, routers), make([]routerCount, routers)
	now := time.Unix(1000, 0)
	for i := range budgets {
		budgets[i].rule = rule
		counts[i] = routerCount{routers: routers, at: now}
	}
	now = now.Add(time.Second)
	repeats := 0
	for i := range budgets {
		counts[i] = routerCount{routers: i + 1, at: now}
		for budgets[i].tryRepeat(now, counts[i]) {
			repeats++
		}
	}
	c.Assert(float64(repeats) <= rule.Extra, qt.IsTrue, qt.Commentf("%d repeats", repeats))
}

// Guards against a restarted router that uses the share of Extra that its predecessor has just used.
func TestStartedRouterHasNoExtraForAWindow(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	rule := RetryRule{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}
	own, count := newBudget(rule, now), routerCount{routers: 2, at: now.Add(9 * time.Second)}
	for range 10 {
		own.addRequest(now)
	}
	c.Assert(own.tryRepeat(now, count), qt.IsTrue)
	c.Assert(own.tryRepeat(now, count), qt.IsTrue)
	c.Assert(own.tryRepeat(now.Add(rule.Window-time.Millisecond), count), qt.IsFalse)
	c.Assert(own.tryRepeat(now.Add(rule.Window), count), qt.IsTrue)
}
