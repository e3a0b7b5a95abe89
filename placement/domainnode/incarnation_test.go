package domainnode

import (
	"testing"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

func incarnationHeartbeat(startTime int64, sequence uint64) fleet.Heartbeat {
	return fleet.Heartbeat{Instance: "r", Born: startTime, Service: "s", Address: "10.9.9.9:1", Zone: "zone-0", Slots: 4, Sequence: sequence}
}

// sendHeartbeat sends a heartbeat to a node, retrying errors.
func (d *testDomain) sendHeartbeat(index int, heartbeat fleet.Heartbeat) {
	d.await("the acknowledgement of a heartbeat", func() bool { return d.nodes[index].Heartbeat(d.ctx, heartbeat) == nil })
}

func (d *testDomain) isServed(instance string) bool {
	found := d.runner(instance)
	return found != nil && !found.Leaving
}

// Late messages of a runner's former incarnation must not affect the current one, neither at
// this leader nor at the next.
func TestRestartedRunnerIsServedDespiteLateMessages(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.put(1)
		d.sendHeartbeat(0, incarnationHeartbeat(100, 7))
		d.await("the first incarnation", func() bool { return d.isServed("r#100") })
		d.await("its departure", func() bool { return d.nodes[1].Depart(d.ctx, "r", 0) == nil })
		d.await("its removal from the view", func() bool { return d.runner("r#100") == nil })
		d.sendHeartbeat(2, incarnationHeartbeat(200, 1))
		d.await("the second incarnation", func() bool { return d.isServed("r#200") })
		d.sendHeartbeat(0, incarnationHeartbeat(100, 8))
		d.await("the late departure of the first incarnation", func() bool { return d.nodes[0].Depart(d.ctx, "r", 100) == nil })
		pause.For(d.ctx, time.Second)
		if !d.isServed("r#200") || d.runner("r#100") != nil {
			d.c.Fatalf("late messages of the first incarnation changed the second: %v", d.runner("r#100"))
		}
		d.kill(d.awaitLeader())
		d.awaitLeader()
		d.await("the second incarnation at the next leader", func() bool { return d.isServed("r#200") })
		for index := range d.nodes {
			d.sendHeartbeat(index, incarnationHeartbeat(100, 9))
		}
		pause.For(d.ctx, time.Second)
		if !d.isServed("r#200") || d.runner("r#100") != nil {
			d.c.Fatalf("the first incarnation is listed again at the next leader")
		}
	})
}
