package ratelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// token is one that a router holds.
type token struct {
	until time.Time
}

// rush has routers ask for a cold runner all the time, over several leaders of which each may have lent tokens
// until the next began. It returns when requests arrived, oldest first.
func rush(random *rand.Rand, routers int, perSecond float64, length time.Duration) []time.Time {
	start := time.Unix(1000, 0)
	pacer := New(start.Add(-time.Minute))
	held := make([][]token, routers)
	var arrivals []time.Time
	for at := start; at.Before(start.Add(length)); at = at.Add(time.Duration(random.IntN(4)) * time.Millisecond) {
		if random.IntN(400) == 0 {
			pacer = New(at)
		}
		router := random.IntN(routers)
		// The question was under way for some time, and so is the answer.
		asked := at.Add(-time.Duration(random.IntN(100)) * time.Millisecond)
		for range pacer.Lend(at, Want{Instance: "r", Requests: 1 + random.IntN(3)}, perSecond).Requests {
			held[router] = append(held[router], token{until: asked.Add(TokenLife)})
		}
		sender := random.IntN(routers)
		if random.IntN(3) > 0 {
			continue
		}
		for _, each := range held[sender] {
			if !at.After(each.until) {
				arrivals = append(arrivals, at)
			}
		}
		held[sender] = nil
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	return arrivals
}

// mostWithin is the most arrivals in any span of a length.
func mostWithin(arrivals []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// However routers, leaders and ways interleave, a cold runner gets no more than it bears and half as much again,
// and five more.
func TestColdRunnerGetsWhatItBears(t *testing.T) {
	for _, perSecond := range []float64{1, 4, 17, 60} {
		for _, routers := range []int{3, 77, 985} {
			for seed := range uint64(8) {
				c := qt.New(t)
				arrivals := rush(rand.New(rand.NewPCG(seed, 7)), routers, perSecond, 20*time.Second)
				most := mostWithin(arrivals, time.Second)
				c.Assert(float64(most) <= 1.5*perSecond+5, qt.IsTrue, qt.Commentf("%d in a second of %v", most, perSecond))
			}
		}
	}
}

// However routers, leaders and ways interleave, a runner that names a limit gets in four seconds no more than the limit
// and half as much again, and five more, also if it takes one request in some seconds.
func TestRunnerThatNamesALimitGetsNoMore(t *testing.T) {
	const span = 4 * time.Second
	for _, perSecond := range []float64{LeastRate, 0.3, 1, 1.1, 4, 17} {
		for _, routers := range []int{9, 77, 985} {
			for seed := range uint64(6) {
				c := qt.New(t)
				arrivals := rush(rand.New(rand.NewPCG(seed, 9)), routers, perSecond, 20*time.Second)
				most := mostWithin(arrivals, span)
				c.Assert(float64(most) <= 1.5*perSecond*span.Seconds()+5, qt.IsTrue,
					qt.Commentf("%d in %v of %v a second, %d routers", most, span, perSecond, routers))
			}
		}
	}
}

// What a cold runner bears is used while routers ask for it.
func TestWhatAColdRunnerBearsIsLent(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	pacer := New(start.Add(-time.Minute))
	granted := 0
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(10 * time.Millisecond) {
		granted += pacer.Lend(at, Want{Instance: "r", Requests: 1}, 17).Requests
	}
	c.Assert(granted >= 169 && granted <= 172, qt.IsTrue, qt.Commentf("%d", granted))
}

func TestNewLeaderWaitsForTheTokensOfTheFormer(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	pacer := New(start)
	refused := pacer.Lend(start.Add(100*time.Millisecond), Want{Instance: "r", Requests: 1}, 17)
	c.Assert(refused, qt.Equals, Grant{Instance: "r", MoreIn: 300 * time.Millisecond})
	// By then it has lent as little as if it had led for a moment only.
	c.Assert(pacer.Lend(start.Add(TokenLife), Want{Instance: "r", Requests: 1}, 17).Requests, qt.Equals, 0)
	c.Assert(pacer.Lend(start.Add(TokenLife+60*time.Millisecond), Want{Instance: "r", Requests: 2}, 17).Requests, qt.Equals, 1)
}

func TestTokensOfARunnerThatBeginsToNeedThemGatherFromThen(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	pacer := New(start.Add(-time.Minute))
	pacer.Begin(start, "r")
	c.Assert(pacer.Lend(start, Want{Instance: "r", Requests: 2}, 1).Requests, qt.Equals, 0)
	c.Assert(pacer.Lend(start.Add(time.Second), Want{Instance: "r", Requests: 2}, 1).Requests, qt.Equals, 1)
}

// A token ahead leaves one for a router whose requests have no other runner.
func TestTokenAheadIsLentIfOneIsLeft(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	pacer := New(start.Add(-time.Minute))
	ahead := Want{Instance: "r", Requests: 1, IsAhead: true}
	c.Assert(pacer.Lend(start, ahead, 0.5).Requests, qt.Equals, 1)
	c.Assert(pacer.Lend(start, ahead, 0.5).Requests, qt.Equals, 0)
	c.Assert(pacer.Lend(start, Want{Instance: "r", Requests: 1}, 0.5).Requests, qt.Equals, 1)
	c.Assert(pacer.Lend(start.Add(2*time.Second), ahead, 0.5).Requests, qt.Equals, 0)
	c.Assert(pacer.Lend(start.Add(4*time.Second), ahead, 0.5).Requests, qt.Equals, 1)
}

func TestRouterIsToldWhenThereIsMore(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	pacer := New(start.Add(-time.Minute))
	first := pacer.Lend(start, Want{Instance: "r", Requests: 5}, 10)
	c.Assert(first, qt.Equals, Grant{Instance: "r", Requests: Burst, MoreIn: 100 * time.Millisecond})
	c.Assert(pacer.Lend(start.Add(first.MoreIn), Want{Instance: "r", Requests: 1}, 10).Requests, qt.Equals, 1)
	pacer.Forget(func(string) bool { return false })
	c.Assert(pacer.buckets, qt.HasLen, 0)
	c.Assert(pacer.Lend(start, Want{Instance: "r", Requests: -7}, 10), qt.Equals, Grant{Instance: "r"})
}
