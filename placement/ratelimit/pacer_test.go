package ratelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// token is a token that a router holds.
type token struct {
	until time.Time
}

// simulateArrivals has routers request tokens of one runner continuously, over several leaders. It
// returns the sorted arrival times of the requests sent with them.
func simulateArrivals(random *rand.Rand, routers int, perSecond float64, length time.Duration) []time.Time {
	start := time.Unix(1000, 0)
	pacer := New(start.Add(-time.Minute))
	held := make([][]token, routers)
	var arrivals []time.Time
	for at := start; at.Before(start.Add(length)); at = at.Add(time.Duration(random.IntN(4)) * time.Millisecond) {
		if random.IntN(400) == 0 {
			pacer = New(at)
		}
		router := random.IntN(routers)
		// The token request was in flight for some time.
		asked := at.Add(-time.Duration(random.IntN(100)) * time.Millisecond)
		for range pacer.GrantTokens(at, Want{Instance: "r", Requests: 1 + random.IntN(3)}, perSecond).Requests {
			held[router] = append(held[router], token{until: asked.Add(TokenTTL)})
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

// maxWithin returns the maximum number of arrivals in any period of the given length.
func maxWithin(arrivals []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against exceeding a cold runner's rate by more than half, plus five requests, in any
// second, for random interleavings of routers and leaders.
func TestColdRunnerRateIsBounded(t *testing.T) {
	for _, perSecond := range []float64{1, 4, 17, 60} {
		for _, routers := range []int{3, 77, 985} {
			for seed := range uint64(8) {
				c := qt.New(t)
				arrivals := simulateArrivals(rand.New(rand.NewPCG(seed, 7)), routers, perSecond, 20*time.Second)
				most := maxWithin(arrivals, time.Second)
				c.Assert(float64(most) <= 1.5*perSecond+5, qt.IsTrue, qt.Commentf("%d in a second of %v", most, perSecond))
			}
		}
	}
}

// Guards against exceeding an announced limit by more than half, plus five requests, in any four
// seconds, also for limits below one request a second.
func TestAnnouncedLimitIsBounded(t *testing.T) {
	const span = 4 * time.Second
	for _, perSecond := range []float64{MinRate, 0.3, 1, 1.1, 4, 17} {
		for _, routers := range []int{9, 77, 985} {
			for seed := range uint64(6) {
				c := qt.New(t)
				arrivals := simulateArrivals(rand.New(rand.NewPCG(seed, 9)), routers, perSecond, 20*time.Second)
				most := maxWithin(arrivals, span)
				c.Assert(float64(most) <= 1.5*perSecond*span.Seconds()+5, qt.IsTrue,
					qt.Commentf("%d in %v of %v a second, %d routers", most, span, perSecond, routers))
			}
		}
	}
}

// Guards against granting less than a cold runner's rate while routers ask for tokens.
func TestFullRateIsGranted(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	pacer := New(start.Add(-time.Minute))
	granted := 0
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(10 * time.Millisecond) {
		granted += pacer.GrantTokens(at, Want{Instance: "r", Requests: 1}, 17).Requests
	}
	c.Assert(granted >= 169 && granted <= 172, qt.IsTrue, qt.Commentf("%d", granted))
}

func TestNewLeaderWaitsForFormerTokens(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	pacer := New(start)
	refused := pacer.GrantTokens(start.Add(100*time.Millisecond), Want{Instance: "r", Requests: 1}, 17)
	c.Assert(refused, qt.Equals, Grant{Instance: "r", MoreIn: 300 * time.Millisecond})
	// The bucket is empty when the wait ends.
	c.Assert(pacer.GrantTokens(start.Add(TokenTTL), Want{Instance: "r", Requests: 1}, 17).Requests, qt.Equals, 0)
	c.Assert(pacer.GrantTokens(start.Add(TokenTTL+60*time.Millisecond), Want{Instance: "r", Requests: 2}, 17).Requests, qt.Equals, 1)
}

func TestBeginStartsWithEmptyBucket(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	pacer := New(start.Add(-time.Minute))
	pacer.Begin(start, "r")
	c.Assert(pacer.GrantTokens(start, Want{Instance: "r", Requests: 2}, 1).Requests, qt.Equals, 0)
	c.Assert(pacer.GrantTokens(start.Add(time.Second), Want{Instance: "r", Requests: 2}, 1).Requests, qt.Equals, 1)
}

// Guards against a token requested ahead taking the last one from a router whose requests have no
// other runner.
func TestTokenAheadLeavesOne(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	pacer := New(start.Add(-time.Minute))
	ahead := Want{Instance: "r", Requests: 1, IsAhead: true}
	c.Assert(pacer.GrantTokens(start, ahead, 0.5).Requests, qt.Equals, 1)
	c.Assert(pacer.GrantTokens(start, ahead, 0.5).Requests, qt.Equals, 0)
	c.Assert(pacer.GrantTokens(start, Want{Instance: "r", Requests: 1}, 0.5).Requests, qt.Equals, 1)
	c.Assert(pacer.GrantTokens(start.Add(2*time.Second), ahead, 0.5).Requests, qt.Equals, 0)
	c.Assert(pacer.GrantTokens(start.Add(4*time.Second), ahead, 0.5).Requests, qt.Equals, 1)
}

func TestGrantTellsTimeToNextToken(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	pacer := New(start.Add(-time.Minute))
	first := pacer.GrantTokens(start, Want{Instance: "r", Requests: 5}, 10)
	c.Assert(first, qt.Equals, Grant{Instance: "r", Requests: Burst, MoreIn: 100 * time.Millisecond})
	c.Assert(pacer.GrantTokens(start.Add(first.MoreIn), Want{Instance: "r", Requests: 1}, 10).Requests, qt.Equals, 1)
	pacer.Forget(func(string) bool { return false })
	c.Assert(pacer.buckets, qt.HasLen, 0)
	c.Assert(pacer.GrantTokens(start, Want{Instance: "r", Requests: -7}, 10), qt.Equals, Grant{Instance: "r"})
}
