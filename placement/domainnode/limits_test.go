package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/quota"
)

// limitSource limits a tenant to 1000 units per window of the default length, nearly all of
// which may be granted at once.
const limitSource = `{"Version":3,"RequiresKeys":true,"Tenants":[{"Name":"t","Limit":{"Unit":1,"Rate":1,"Burst":992}}]}`

func (d *testDomain) putLimits() {
	d.await("the limits", func() bool { return d.nodes[d.awaitLeader()].PutDocument(d.ctx, []byte(limitSource)) == nil })
}

// draw asks the leader for a grant, retrying errors.
func (d *testDomain) draw(want quota.Want) quota.Grant {
	want.Tenant = "t"
	var reply domainapi.DrawReply
	d.await("a grant", func() bool {
		reply = domainapi.DrawReply{}
		arguments := domainapi.DrawArguments{Router: "router", Wants: []quota.Want{want}}
		_ = (&service{node: d.nodes[d.awaitLeader()].Node}).Draw(&arguments, &reply)
		return reply.Error == nil && len(reply.Grants) == 1
	})
	return reply.Grants[0]
}

func TestLimitHoldsOverAChangeOfLeaders(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.putLimits()
		d.c.Assert(d.draw(quota.Want{Waiting: []float64{400, 400}}).Amount, qt.Equals, 800.0)
		for range 2 {
			leader := d.awaitLeader()
			d.kill(leader)
			d.awaitLeader()
			d.start(leader)
			grant := d.draw(quota.Want{Waiting: []float64{400}})
			d.c.Assert(grant.Amount, qt.Equals, 0.0)
			d.c.Assert(grant.RoomIn > 0, qt.IsTrue)
		}
		d.c.Assert(d.draw(quota.Want{Waiting: []float64{150}}).Amount, qt.Equals, 150.0)
		pause.For(d.ctx, 10*time.Second)
		d.c.Assert(d.draw(quota.Want{Waiting: []float64{400, 400}}).Amount, qt.Equals, 800.0)
	})
}

func TestLimitHoldsOverThePowerLossOfAll(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.putLimits()
		d.c.Assert(d.draw(quota.Want{Waiting: []float64{400, 400}}).Amount, qt.Equals, 800.0)
		for index := range 3 {
			d.kill(index)
		}
		d.start(0, 1, 2)
		d.c.Assert(d.draw(quota.Want{Waiting: []float64{400}}).Amount, qt.Equals, 0.0)
	})
}

func TestMinorityGrantsAndConfirmsNothing(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.putLimits()
		leader := d.awaitLeader()
		running := &service{node: d.nodes[leader].Node}
		watch := func() domainapi.WatchReply {
			var reply domainapi.WatchReply
			_ = running.Watch(&domainapi.WatchArguments{Router: "router", Version: 3}, &reply)
			return reply
		}
		d.c.Assert(watch().Confirmed, qt.Equals, uint64(3))
		for index := range 3 {
			if index != leader {
				d.kill(index)
			}
		}
		// No other node can lead before the lease expires.
		pause.For(d.ctx, time.Second)
		reply := watch()
		d.c.Assert(reply.Error != nil, qt.IsTrue)
		d.c.Assert(reply.Confirmed, qt.Equals, uint64(0))
		var drawn domainapi.DrawReply
		arguments := domainapi.DrawArguments{Router: "router", Wants: []quota.Want{{Tenant: "t", Waiting: []float64{5}}}}
		_ = running.Draw(&arguments, &drawn)
		d.c.Assert(drawn.Error != nil, qt.IsTrue)
		d.c.Assert(drawn.Grants, qt.HasLen, 0)
	})
}
