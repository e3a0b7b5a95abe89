package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// simulatedTick is the resolution of simulated time, and simulatedTicks the length of a simulation.
	simulatedTick  = 50 * time.Millisecond
	simulatedTicks = 1800
	// simulatedExpiry is how long a leader counts a router that it does not hear.
	simulatedExpiry = 25 * time.Second
	// simulatedWatch is the interval between the watches of a router.
	simulatedWatch = 500 * time.Millisecond
)

// budgetSimulation is a site of routers that repeat requests whenever their budgets allow it, while routers restart or lose
// the leader, and leaders change.
type budgetSimulation struct {
	rule    RetryRule
	random  *rand.Rand
	now     time.Time
	routers []*simulatedRouter
	// heardAt is when the current leader heard each router; nil while there is no leader.
	heardAt map[int]time.Time
	// requests and repeats are sums over all routers by tick.
	requests, repeats []int
}

type simulatedRouter struct {
	budget   *budget
	count    routerCount
	watchAt  time.Time
	cutUntil time.Time
}

func newBudgetSimulation(routers int, seed uint64) *budgetSimulation {
	s := &budgetSimulation{
		rule:   RetryRule{Ratio: 0.2, Extra: max(52, float64(routers)), Window: 10 * time.Second},
		random: rand.New(rand.NewPCG(seed, uint64(routers))), now: time.Unix(1000, 0), heardAt: make(map[int]time.Time),
	}
	for range routers {
		s.routers = append(s.routers, &simulatedRouter{})
	}
	for index := range s.routers {
		s.restart(index)
	}
	return s
}

func (s *budgetSimulation) randomTime(longest time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(longest)))
}

// restart replaces the process of a router.
func (s *budgetSimulation) restart(index int) {
	known := s.routers[index]
	known.budget, known.count = newBudget(s.rule, s.now), routerCount{}
	known.watchAt = s.now.Add(s.randomTime(simulatedWatch))
}

// watch has the routers whose watches are due hear the leader.
func (s *budgetSimulation) watch() {
	if s.heardAt == nil {
		return
	}
	for index, router := range s.routers {
		if s.now.Before(router.watchAt) || s.now.Before(router.cutUntil) {
			continue
		}
		router.watchAt = s.now.Add(simulatedWatch)
		s.heardAt[index] = s.now
		for other, at := range s.heardAt {
			if s.now.Sub(at) > simulatedExpiry {
				delete(s.heardAt, other)
			}
		}
		router.count.observe(s.now, len(s.heardAt), s.rule.countHold())
	}
}

// send has all routers get requests, and repeat as many as they may.
func (s *budgetSimulation) send() {
	requests, repeats := 0, 0
	for _, router := range s.routers {
		if s.random.IntN(4) == 0 {
			router.budget.addRequest(s.now)
			requests++
		}
		for router.budget.tryRepeat(s.now, &router.count) {
			repeats++
		}
	}
	s.requests, s.repeats = append(s.requests, requests), append(s.repeats, repeats)
}

// fail makes the faults that begin in this tick. At most a quarter of the routers is cut off from the leader at a time.
func (s *budgetSimulation) fail(tick int, leaderBack *time.Time) {
	if s.random.IntN(60) == 0 {
		for index := range s.routers {
			if s.random.IntN(3) > 0 {
				s.restart(index)
			}
		}
	}
	if s.random.IntN(100) == 0 {
		s.heardAt, *leaderBack = nil, s.now.Add(s.randomTime(8*time.Second))
	}
	if s.heardAt == nil && !s.now.Before(*leaderBack) {
		s.heardAt = make(map[int]time.Time)
	}
	if tick%600 == 0 {
		for index := range len(s.routers) / 4 {
			s.routers[index].cutUntil = s.now.Add(s.randomTime(30 * time.Second))
		}
	}
}

// sum returns the sum of a window that begins at a tick.
func (s *budgetSimulation) sum(counts []int, from int) (total int) {
	length := int(s.rule.Window / simulatedTick)
	for tick := max(0, from); tick < min(len(counts), from+length); tick++ {
		total += counts[tick]
	}
	return total
}

func (s *budgetSimulation) check(c *qt.C) {
	c.Helper()
	half := int(s.rule.Window/simulatedTick) / 2
	total := 0
	for from := range s.repeats {
		requests := max(s.sum(s.requests, from), s.sum(s.requests, from-half), s.sum(s.requests, from-2*half))
		repeats := s.sum(s.repeats, from)
		total = max(total, repeats)
		if float64(repeats) > s.rule.Ratio*float64(requests)+s.rule.Extra {
			c.Fatalf("%d repeats for %d requests from %v on", repeats, requests, time.Duration(from)*simulatedTick)
		}
	}
	c.Assert(total > 0, qt.IsTrue)
}

// Guards against shares of the retry budget that add up to more than the rule while processes restart, leaders change and
// routers are cut off from them, at any number of routers.
func TestRetryBudgetHoldsThroughFaults(t *testing.T) {
	for _, routers := range []int{1, 2, 6, 9, 77, 985} {
		seeds := uint64(30)
		if routers > 100 {
			seeds = 2
		}
		for seed := range seeds {
			t.Run(fmt.Sprint(routers, " routers, seed ", seed), func(t *testing.T) {
				t.Parallel()
				s := newBudgetSimulation(routers, seed)
				var leaderBack time.Time
				for tick := range simulatedTicks {
					s.fail(tick, &leaderBack)
					s.watch()
					s.send()
					s.now = s.now.Add(simulatedTick)
				}
				s.check(qt.New(t))
			})
		}
	}
}
