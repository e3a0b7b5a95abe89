package domainnode

import (
	"testing"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

func lifeBeat(born int64, sequence uint64) fleet.Heartbeat {
	return fleet.Heartbeat{Instance: "r", Born: born, Service: "s", Address: "10.9.9.9:1", Zone: "zone-0", Slots: 4, Sequence: sequence}
}

// tell gives a heartbeat to the node until it is acknowledged.
func (d *testDomain) tell(index int, heartbeat fleet.Heartbeat) {
	d.await("the acknowledgement of a heartbeat", func() bool { return d.nodes[index].Heartbeat(d.ctx, heartbeat) == nil })
}

func (d *testDomain) isServed(instance string) bool {
	found := d.runner(instance)
	return found != nil && !found.Leaving
}

// A runner ends, starts again under its ID, and words of its former life come late: here and at the next leader.
func TestRunnerThatStartsAgainIsServedAtOnce(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.found(0, 1, 2)
		d.put(1)
		d.tell(0, lifeBeat(100, 7))
		d.await("the first life", func() bool { return d.isServed("r#100") })
		d.await("its end", func() bool { return d.nodes[1].Depart(d.ctx, "r", 0) == nil })
		d.await("that it is listed no more", func() bool { return d.runner("r#100") == nil })
		d.tell(2, lifeBeat(200, 1))
		d.await("the second life", func() bool { return d.isServed("r#200") })
		d.tell(0, lifeBeat(100, 8))
		d.await("the end of the first life, told late", func() bool { return d.nodes[0].Depart(d.ctx, "r", 100) == nil })
		pause.For(d.ctx, time.Second)
		if !d.isServed("r#200") || d.runner("r#100") != nil {
			d.c.Fatalf("late words of the first life changed the second: %v", d.runner("r#100"))
		}
		d.kill(d.awaitLeader())
		d.awaitLeader()
		d.await("the second life at the next leader", func() bool { return d.isServed("r#200") })
		for index := range d.nodes {
			d.tell(index, lifeBeat(100, 9))
		}
		pause.For(d.ctx, time.Second)
		if !d.isServed("r#200") || d.runner("r#100") != nil {
			d.c.Fatalf("the first life came back at the next leader")
		}
	})
}
