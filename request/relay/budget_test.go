package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A sum over routers must keep to the rule in each sliding window.
func TestBudgetsOfAllRoutersTogetherKeepTheRule(t *testing.T) {
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
			own.request(now)
			requests = append(requests, now)
		}
		if own.withdraw(now, grant{routers: routers, at: now}) {
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
		// The rule counts the requests of this window or of the one before it.
		most := max(count(requests, at, end), count(requests, at.Add(-rule.Window), at))
		qt.Assert(t, float64(count(repeats, at, end)) <= rule.Ratio*float64(most)+rule.Extra, qt.IsTrue)
	}
	qt.Assert(t, len(repeats) > 100, qt.IsTrue)
}

func TestRouterWithoutNewsHasNoPartOfTheExtra(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	own := budget{rule: RetryRule{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}}
	granted := grant{routers: 2, at: now}
	c.Assert(own.withdraw(now.Add(grantLife), granted), qt.IsTrue)
	c.Assert(own.withdraw(now.Add(grantLife+time.Millisecond), granted), qt.IsFalse)
	c.Assert(own.withdraw(now, grant{}), qt.IsFalse)
}

// On a large site a router's part of the extra is less than one repeat; with its requests
// it adds up to one.
func TestSmallPartsOfTheExtraCount(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	own := budget{rule: RetryRule{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}}
	granted := grant{routers: 99, at: now}
	own.request(now)
	c.Assert(own.withdraw(now, granted), qt.IsFalse)
	own.request(now)
	own.request(now)
	c.Assert(own.withdraw(now, granted), qt.IsTrue)
	c.Assert(own.withdraw(now, granted), qt.IsFalse)
}
