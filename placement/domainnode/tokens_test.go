package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
)

// warmUp asks the leader for tokens for r0, retrying errors.
func (d *testDomain) warmUp(requests int) ratelimit.Grant {
	var reply domainapi.WarmUpReply
	d.await("a reply of the leader", func() bool {
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

// Runners may cool down while drained, so they count as cold until their next heartbeat.
func TestRunnersAreColdAfterDrainUntilHeartbeat(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
		d.drain(0, true)
		// The drain ends well between two heartbeats, which come every 0.3 s.
		pause.For(d.ctx, 3*time.Second+100*time.Millisecond)
		d.drain(0, false)
		d.c.Assert(d.isCold("r0"), qt.IsTrue)
		d.c.Assert(d.isCold("r1"), qt.IsFalse)
		d.await("the next heartbeat", func() bool { return !d.isCold("r0") })
	})
}

func TestLeaderGrantsTokensAtColdRate(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
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

// reportLimit reports a runner's rate limit as a router.
func (d *testDomain) reportLimit(report ratelimit.Report) {
	d.reportDemand(&domainapi.DemandArguments{Limits: []ratelimit.Report{report}})
}

// reportDemand sends a router's report to the leader, retrying errors.
func (d *testDomain) reportDemand(arguments *domainapi.DemandArguments) {
	arguments.Router = "router"
	d.await("a report", func() bool {
		var reply domainapi.DemandReply
		leader := d.awaitLeader()
		return (&service{node: d.nodes[leader].Node}).Demand(arguments, &reply) == nil && reply.Error == nil
	})
}

// limitOf returns a runner's limit in the leader's view, or -1 if it is not listed.
func (d *testDomain) limitOf(instance string) float64 {
	found := d.runner(instance)
	if found == nil {
		return -1
	}
	return found.Limit
}

func TestReportedRateLimitAppliesToAllRouters(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
		pause.For(d.ctx, 5*time.Second)
		d.reportLimit(ratelimit.Report{Instance: "r0", PerSecond: 0.5})
		d.await("the limit in the view", func() bool { return d.limitOf("r0") == 0.5 })
		d.c.Assert(d.limitOf("r1"), qt.Equals, 0.0)
		d.c.Assert(d.warmUp(5).Requests, qt.Equals, 0)
		pause.For(d.ctx, 2*time.Second)
		d.c.Assert(d.warmUp(5).Requests, qt.Equals, 1)
		pause.For(d.ctx, 10*time.Second)
		d.c.Assert(d.warmUp(5).Requests, qt.Equals, ratelimit.Burst)
		// A new leader has no limits until routers report them again.
		d.kill(d.awaitLeader())
		d.reportLimit(ratelimit.Report{Instance: "r0", PerSecond: 0.5})
		d.await("the limit in the next leader's view", func() bool { return d.limitOf("r0") == 0.5 })
		d.reportLimit(ratelimit.Report{Instance: "r0", IsEnded: true})
		d.await("the end in the view", func() bool { return d.limitOf("r0") == 0 })
		d.reportLimit(ratelimit.Report{Instance: "nobody", PerSecond: 1})
		d.c.Assert(d.limitOf("nobody"), qt.Equals, -1.0)
	})
}
