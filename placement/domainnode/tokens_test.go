package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
)

// warmUp asks the leader for requests to r0.
func (d *testDomain) warmUp(requests int) ratelimit.Grant {
	var reply domainapi.WarmUpReply
	d.await("an answer of the leader", func() bool {
		leader := d.awaitLeader()
		reply = domainapi.WarmUpReply{}
		arguments := &domainapi.WarmUpArguments{Router: "router", Wants: []ratelimit.Want{{Instance: "r0", Requests: requests}}}
		_ = (&service{node: d.nodes[leader].Node}).WarmUp(arguments, &reply)
		return reply.Error == nil
	})
	return reply.Grants[0]
}

func (d *testDomain) isCold(instance string) bool {
	found := d.runner(instance)
	return found != nil && found.Cold
}

// Runners may cool down while they get no requests: when their zone is drained no more they count as cold until
// they say otherwise.
func TestRunnersOfAZoneThatWasDrainedAreColdUntilTheyAreHeard(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.foundWithRunners()
		d.drain(0, true)
		// The order ends well between two heartbeats, of which there is one each 0.3 s.
		pause.For(d.ctx, 3*time.Second+100*time.Millisecond)
		d.drain(0, false)
		d.c.Assert(d.isCold("r0"), qt.IsTrue)
		d.c.Assert(d.isCold("r1"), qt.IsFalse)
		d.await("the next heartbeat", func() bool { return !d.isCold("r0") })
	})
}

func TestLeaderLendsWhatColdRunnersBear(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.foundWithRunners()
		pause.For(d.ctx, time.Second)
		first := d.warmUp(5)
		d.c.Assert(first.Requests, qt.Equals, ratelimit.Burst)
		d.c.Assert(first.MoreIn > 0, qt.IsTrue)
		d.kill(d.awaitLeader())
		next := d.warmUp(1)
		d.c.Assert(next.Requests, qt.Equals, 0)
		d.await("tokens of the next leader", func() bool { return d.warmUp(1).Requests == 1 })
	})
}

// hearLimit has a router report what it heard of the limit of a runner.
func (d *testDomain) hearLimit(report ratelimit.Report) {
	d.report(&domainapi.DemandArguments{Limits: []ratelimit.Report{report}})
}

// report has a router report to the leader.
func (d *testDomain) report(arguments *domainapi.DemandArguments) {
	arguments.Router = "router"
	d.await("a report", func() bool {
		var reply domainapi.DemandReply
		leader := d.awaitLeader()
		return (&service{node: d.nodes[leader].Node}).Demand(arguments, &reply) == nil && reply.Error == nil
	})
}

// limitOf is the limit of a runner in the leader's view.
func (d *testDomain) limitOf(instance string) float64 {
	found := d.runner(instance)
	if found == nil {
		return -1
	}
	return found.Limit
}

func TestLimitThatOneRouterHeardIsToldToAllAndLent(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.foundWithRunners()
		pause.For(d.ctx, 5*time.Second)
		d.hearLimit(ratelimit.Report{Instance: "r0", PerSecond: 0.5})
		d.await("the limit in the view", func() bool { return d.limitOf("r0") == 0.5 })
		d.c.Assert(d.limitOf("r1"), qt.Equals, 0.0)
		d.c.Assert(d.warmUp(5).Requests, qt.Equals, 0)
		pause.For(d.ctx, 2*time.Second)
		d.c.Assert(d.warmUp(5).Requests, qt.Equals, 1)
		pause.For(d.ctx, 10*time.Second)
		d.c.Assert(d.warmUp(5).Requests, qt.Equals, ratelimit.Burst)
		// A new leader knows nothing until a router tells it again.
		d.kill(d.awaitLeader())
		d.hearLimit(ratelimit.Report{Instance: "r0", PerSecond: 0.5})
		d.await("the limit in the next leader's view", func() bool { return d.limitOf("r0") == 0.5 })
		d.hearLimit(ratelimit.Report{Instance: "r0", IsEnded: true})
		d.await("the end in the view", func() bool { return d.limitOf("r0") == 0 })
		d.hearLimit(ratelimit.Report{Instance: "nobody", PerSecond: 1})
		d.c.Assert(d.limitOf("nobody"), qt.Equals, -1.0)
	})
}
