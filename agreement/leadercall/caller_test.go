package leadercall_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// siteCallers and siteMembers are the routers and the controllers of a large site.
	siteCallers = 985
	siteMembers = 25
	// maxCallsPerSecond bounds the calls of searches to one member: at about 0.2 ms each, a tenth
	// of a core.
	maxCallsPerSecond = 500
	// requestTimeout is the shortest timeout of a call that runners and operators wait for.
	requestTimeout = 900 * time.Millisecond
	// clients limits the connections of the test. Callers share the clients.
	clients = 20
)

// siteCallersOf returns the callers of a large site.
func siteCallersOf(g *testGroup) []*leadercall.Caller {
	shared := make([]*transport.Client, clients)
	for i := range shared {
		shared[i] = g.client()
	}
	callers := make([]*leadercall.Caller, siteCallers)
	for i := range callers {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		callers[i] = leadercall.New(shared[i%clients], g.addresses).WithTryTimeout(tryTimeout).WithRandom(random.Uint64)
	}
	return callers
}

// askRepeatedly calls the leader again and again until the time.
func askRepeatedly(ctx context.Context, caller *leadercall.Caller, until time.Time, timeout time.Duration) {
	for left := time.Until(until); left > 0; left = time.Until(until) {
		_, _ = ask(ctx, caller, min(timeout, left))
	}
}

// The searches of all routers of a site after the loss of the leader must not keep the members
// from electing the next one, and must find it within the timeout of a call.
func TestManyCallersSearchWithoutOverloadingMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newTestGroup(c, siteMembers)
		callers := siteCallersOf(g)
		electedAt := g.began.Add(3 * time.Second)
		var searching sync.WaitGroup
		for _, caller := range callers {
			searching.Go(func() { askRepeatedly(t.Context(), caller, electedAt, requestTimeout) })
		}
		searching.Wait()
		busiest, all := g.callsOf()
		t.Logf("calls in each second: %d to the busiest member, %d to all", busiest, all)
		for second, calls := range busiest {
			c.Check(calls <= maxCallsPerSecond, qt.IsTrue, qt.Commentf("%d calls to a member in second %d", calls, second))
		}

		g.elect(g.addresses[17])
		took := make([]time.Duration, len(callers))
		for i, caller := range callers {
			searching.Go(func() {
				answered, err := ask(t.Context(), caller, requestTimeout)
				c.Check(err, qt.IsNil)
				c.Check(answered, qt.Equals, g.addresses[17])
				took[i] = time.Since(electedAt)
			})
		}
		searching.Wait()
		t.Logf("the last caller found the leader after %v", slices.Max(took))
	})
}

// Members that were restarted or cut off know no leader for some time. They must not keep a call
// from finding it.
func TestLeaderIsFoundAmongIsolatedMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newTestGroup(c, siteMembers)
		leader := g.addresses[siteMembers-1]
		for _, address := range g.addresses[:8] {
			g.isolated[address] = true
		}
		var searching sync.WaitGroup
		for _, caller := range siteCallersOf(g) {
			searching.Go(func() {
				askRepeatedly(t.Context(), caller, g.began.Add(3*time.Second), requestTimeout)
				answered, err := ask(t.Context(), caller, requestTimeout)
				c.Check(err, qt.IsNil)
				c.Check(answered, qt.Equals, leader)
			})
		}
		pause.For(t.Context(), 3*time.Second-time.Nanosecond)
		g.elect(leader)
		searching.Wait()
	})
}

// Members that cannot be reached cost the others nothing, so that a round does not end with them.
func TestUnreachableMembersDoNotDelayCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newTestGroup(c, 3)
		leader := g.addresses[2]
		g.elect(leader)
		g.addresses = append(g.addresses, "10.0.1.1:7000", "10.0.1.2:7000", "10.0.1.3:7000", "10.0.1.4:7000", "10.0.1.5:7000", "10.0.1.6:7000")
		for range 100 {
			began := time.Now()
			answered, err := ask(t.Context(), g.caller(), requestTimeout)
			c.Assert(err, qt.IsNil)
			c.Assert(answered, qt.Equals, leader)
			c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		}
	})
}

// Callers of a leader that is slow must not turn to all other members, which know no other.
func TestSlowLeaderIsNotSearchedAtAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newTestGroup(c, siteMembers)
		leader := g.addresses[3]
		g.elect(leader)
		g.silent[leader] = true
		askRepeatedly(t.Context(), g.caller(), g.began.Add(10*time.Second), requestTimeout)
		asked := g.takeAsked()
		others := len(slices.DeleteFunc(slices.Clone(asked), func(address string) bool { return address == leader }))
		t.Logf("%d calls, %d to members other than the leader", len(asked), others)
		// A round asks the leader and another member, which names the same leader.
		c.Assert(others <= 2*(len(asked)-others), qt.IsTrue, qt.Commentf("%d calls, %d to other members", len(asked), others))
	})
}

// A group of a few members is asked in the given order, the known leader first.
func TestSmallGroupIsAskedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newTestGroup(c, 3)
		first, second, third := g.addresses[0], g.addresses[1], g.addresses[2]
		caller := g.caller()

		_, err := ask(t.Context(), caller, 10*time.Millisecond)
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
		c.Assert(g.takeAsked(), qt.DeepEquals, []string{first, second, third})

		pause.For(t.Context(), time.Second)
		g.elect(third)
		answered, err := ask(t.Context(), caller, requestTimeout)
		c.Assert(err, qt.IsNil)
		c.Assert(answered, qt.Equals, third)
		c.Assert(g.takeAsked(), qt.DeepEquals, []string{first, third})

		g.elect(second)
		_, err = ask(t.Context(), caller, requestTimeout)
		c.Assert(err, qt.IsNil)
		c.Assert(g.takeAsked(), qt.DeepEquals, []string{third, second})

		// The leader is not yet known to the other members.
		g.elect(third)
		g.isolated[first], g.isolated[second] = true, true
		began := time.Now()
		_, err = ask(t.Context(), caller, requestTimeout)
		c.Assert(err, qt.IsNil)
		c.Assert(g.takeAsked(), qt.DeepEquals, []string{second, first, third})
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}

// A caller whose calls fail must not begin each with a burst, nor must many concurrent calls load
// the members more than one. All of them go on once one has found the leader.
func TestCallsOfCallerShareBackoff(t *testing.T) {
	for name, test := range map[string]struct {
		concurrent int
		timeout    time.Duration
	}{
		"one long call":                 {1, 3 * time.Second},
		"short calls one after another": {1, 20 * time.Millisecond},
		"concurrent calls":              {50, 3 * time.Second},
		"concurrent short calls":        {50, 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				g := newTestGroup(c, siteMembers)
				caller := g.caller()
				electedAt := g.began.Add(3 * time.Second)
				var calling sync.WaitGroup
				for range test.concurrent {
					calling.Go(func() { askRepeatedly(t.Context(), caller, electedAt, test.timeout) })
				}
				calling.Wait()
				calls := len(g.takeAsked())
				// A round asks one member, and rounds start at least RetryDelay apart.
				c.Check(calls <= int(3*time.Second/leadercall.RetryDelay)+1, qt.IsTrue, qt.Commentf("%d calls", calls))
				t.Logf("%d calls", calls)

				for range test.concurrent {
					calling.Go(func() {
						_, err := ask(t.Context(), caller, requestTimeout)
						c.Check(err, qt.IsNil)
					})
				}
				pause.For(t.Context(), 100*time.Millisecond)
				g.elect(g.addresses[5])
				calling.Wait()
				c.Check(time.Since(electedAt) <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(electedAt)))

				// The backoff has ended with the success.
				began := time.Now()
				g.elect(g.addresses[6])
				_, err := ask(t.Context(), caller, requestTimeout)
				c.Check(err, qt.IsNil)
				c.Check(time.Since(began), qt.Equals, time.Duration(0))
			})
		})
	}
}

// A caller that learns of a leader by other means must not wait out the backoff, not even if the
// last round has asked that member before it was elected.
func TestSuggestedLeaderIsAskedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newTestGroup(c, siteMembers)
		caller := g.caller()
		var leader string
		time.AfterFunc(2*time.Second, func() {
			asked := g.takeAsked()
			leader = asked[len(asked)-1]
			g.elect(leader)
			caller.SuggestLeader(leader)
		})
		_, err := ask(t.Context(), caller, 3*time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(g.began), qt.Equals, 2*time.Second)

		// A suggestion that is out of date does not replace the leader that answered.
		next := g.addresses[4]
		if next == leader {
			next = g.addresses[5]
		}
		g.elect(next)
		_, err = ask(t.Context(), caller, time.Second)
		c.Assert(err, qt.IsNil)
		g.takeAsked()
		caller.SuggestLeader(leader)
		_, err = ask(t.Context(), caller, time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(g.takeAsked(), qt.DeepEquals, []string{next})
	})
}
