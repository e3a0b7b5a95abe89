package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// settledCount returns a complete number of routers as of the given time.
func settledCount(routers int, at time.Time) *routerCount {
	return &routerCount{routers: routers, at: at, contactSince: at, settledUntil: at.Add(time.Hour)}
}

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
		if own.tryRepeat(now, settledCount(routers, now)) {
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
	granted := settledCount(2, now)
	c.Assert(own.tryRepeat(now.Add(routerCountTTL), granted), qt.IsTrue)
	c.Assert(own.tryRepeat(now.Add(routerCountTTL+time.Millisecond), granted), qt.IsFalse)
	c.Assert(own.tryRepeat(now, &routerCount{}), qt.IsFalse)
}

// With many routers, a router's share of Extra is less than one retry and must add up with its
// requests.
func TestFractionsOfExtraAddUp(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	own := budget{rule: RetryRule{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}}
	granted := settledCount(99, now)
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
		counts[i] = *settledCount(routers, now)
		counts[i].observe(now, routers, rule.countHold())
	}
	now = now.Add(time.Second)
	repeats := 0
	for i := range budgets {
		counts[i].observe(now, i+1, rule.countHold())
		for budgets[i].tryRepeat(now, &counts[i]) {
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
	own, count := newBudget(rule, now), settledCount(2, now.Add(9*time.Second))
	for range 10 {
		own.addRequest(now)
	}
	c.Assert(own.tryRepeat(now, count), qt.IsTrue)
	c.Assert(own.tryRepeat(now, count), qt.IsTrue)
	c.Assert(own.tryRepeat(now.Add(rule.Window-time.Millisecond), count), qt.IsFalse)
	c.Assert(own.tryRepeat(now.Add(rule.Window), count), qt.IsTrue)
}

// Guards against a share by the number that a new leader tells first, also if that one is lost soon.
func TestRouterHasNoExtraUntilContactHasSettled(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	const hold, watch = 20 * time.Second, time.Second
	var count routerCount
	hear := func(routers, times int) {
		for range times {
			count.observe(now, routers, hold)
			now = now.Add(watch)
		}
	}
	hear(1, 3)
	c.Assert(count.share(now, 50), qt.Equals, 0.0)
	now = now.Add(5 * time.Second)
	hear(2, 3)
	c.Assert(count.share(now, 50), qt.Equals, 0.0)
	hear(8, 1)
	c.Assert(count.share(now, 50), qt.Equals, 5.0)
	now = now.Add(5 * time.Second)
	hear(1, 1)
	c.Assert(count.share(now, 50), qt.Equals, 5.0, qt.Commentf("a new leader"))
	now = now.Add(20 * time.Second)
	hear(1, 1)
	c.Assert(count.share(now, 50), qt.Equals, 0.0, qt.Commentf("a new leader after a long time without one"))
}

func TestNumberOfRoutersFallsLate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	const hold = 20 * time.Second
	var count routerCount
	for _, each := range []struct {
		after         time.Duration
		told, counted int
	}{{0, 6, 6}, {time.Second, 2, 6}, {time.Second, 9, 9}, {time.Second, 4, 9}, {time.Second, 3, 9}, {18 * time.Second, 3, 9}, {1, 3, 4}, {time.Second, 3, 3}} {
		now = now.Add(each.after)
		count.observe(now, each.told, hold)
		c.Assert(count.routers, qt.Equals, each.counted, qt.Commentf("%v", each))
	}
}

// Guards against requests that count although they arrived before the window, which a busy site pays with more repeats than
// it allows.
func TestBudgetOfABusyRouterKeepsTheRule(t *testing.T) {
	const perSecond = 2000
	rule := RetryRule{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	own := newBudget(rule, start.Add(-rule.Window))
	repeats := 0
	for now := start; now.Before(start.Add(3 * rule.Window)); now = now.Add(time.Second / perSecond) {
		own.addRequest(now)
		if now.Before(start.Add(2*rule.Window + 240*time.Millisecond)) {
			continue
		}
		for own.tryRepeat(now, settledCount(1, now)) {
			repeats++
		}
	}
	allowed := rule.Ratio*perSecond*rule.Window.Seconds() + rule.Extra
	qt.Assert(t, float64(repeats) <= allowed, qt.IsTrue, qt.Commentf("%d repeats, %v allowed", repeats, allowed))
	qt.Assert(t, float64(repeats) > 0.98*allowed, qt.IsTrue, qt.Commentf("%d repeats, %v allowed", repeats, allowed))
}

// Guards against retries that are taken from the budget when attempts are withdrawn, and sent together with later ones after a wait, as
// when runners are reached again.
func TestReservedRetriesKeepTheRuleWhenTheyAreSent(t *testing.T) {
	const maxLoss = 25 * time.Second
	rule := RetryRule{Ratio: 0.2, Extra: 20, Window: 10 * time.Second}
	count := func(times []time.Time, after, until time.Time) (found float64) {
		for _, at := range times {
			if at.After(after) && !at.After(until) {
				found++
			}
		}
		return found
	}
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 5))
		now := time.Unix(1000, 0)
		own := newBudget(rule, now.Add(-rule.Window))
		lostUntil := now
		var requests, sent, reserved []time.Time
		for range 20_000 {
			now = now.Add(time.Duration(random.IntN(8)) * time.Millisecond)
			if random.IntN(3) == 0 {
				own.addRequest(now)
				requests = append(requests, now)
			}
			if own.tryRepeat(now, settledCount(1, now)) {
				reserved = append(reserved, now)
			}
			if now.Before(lostUntil) {
				continue
			}
			if random.IntN(4000) == 0 {
				lostUntil = now.Add(time.Duration(random.Int64N(int64(maxLoss))))
			}
			for _, takenAt := range reserved {
				if own.useReserved(takenAt, now, settledCount(1, now)) {
					sent = append(sent, now)
				}
			}
			reserved = nil
		}
		for _, at := range sent {
			begin := at.Add(-rule.Window)
			most := max(count(requests, begin, at), count(requests, begin.Add(-rule.Window), begin))
			qt.Assert(t, count(sent, begin, at) <= rule.Ratio*most+rule.Extra, qt.IsTrue, qt.Commentf("seed %d, window until %v", seed, at))
		}
		qt.Assert(t, len(sent) > 100, qt.IsTrue, qt.Commentf("seed %d: %d retries", seed, len(sent)))
	}
}

// Guards against a retry that is refused although it was taken from the budget before, as long as it counts.
func TestReservedRetryIsAllowedWhileItCounts(t *testing.T) {
	c := qt.New(t)
	rule := RetryRule{Extra: 10, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	own := newBudget(rule, start.Add(-rule.Window))
	taken := 0
	for own.tryRepeat(start, settledCount(1, start)) {
		taken++
	}
	c.Assert(taken > 0, qt.IsTrue)
	late := start.Add(rule.Window - time.Millisecond)
	for range taken {
		c.Assert(own.useReserved(start, late, settledCount(1, late)), qt.IsTrue)
	}
	after := start.Add(rule.Window + rule.Window/2)
	c.Assert(own.tryRepeat(after, settledCount(1, after)), qt.IsFalse)
	c.Assert(own.useReserved(start, after, settledCount(1, after)), qt.IsFalse)
}
