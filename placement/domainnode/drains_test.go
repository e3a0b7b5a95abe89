package domainnode

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/structs"
)

const drainDocument = `{"Version":3,"Services":[{"Name":"s","ColdRate":4,"Engine":{"WeightsMB":1000,"MaxAdapters":8,"LoadsPerSecond":9,` +
	`"Models":[{"Name":"both","SizeMB":1},{"Name":"sole","SizeMB":1}]}}]}`

// drainHeartbeats returns the heartbeats of two runners; only the one in zone-0 holds the model "sole".
func drainHeartbeats(sequence uint64) []fleet.Heartbeat {
	return []fleet.Heartbeat{
		{Instance: "r0", Service: "s", Address: "10.9.9.1:1", Zone: "zone-0", Slots: 4, Sequence: sequence,
			Models: []fleet.LoadedModel{{Name: "both"}, {Name: "sole"}}},
		{Instance: "r1", Service: "s", Address: "10.9.9.2:1", Zone: "zone-1", Slots: 4, Sequence: sequence,
			Models: []fleet.LoadedModel{{Name: "both"}}},
	}
}

// startHeartbeats sends the heartbeats of drainHeartbeats until the domain ends.
func (d *testDomain) startHeartbeats() {
	go func() {
		for sequence := uint64(1); pause.For(d.ctx, 300*time.Millisecond); sequence++ {
			running := d.node(d.leader())
			if running == nil {
				continue
			}
			m, err := running.current()
			if err != nil {
				continue
			}
			if current := m.currentLeadership(); current != nil {
				for _, heartbeat := range drainHeartbeats(sequence) {
					current.receiveHeartbeat(heartbeat)
				}
				current.wakePlan()
			}
		}
	}()
}

// runner returns a runner from the leader's view, or nil if it is not listed.
func (d *testDomain) runner(instance string) *fleet.Runner {
	leader := d.leader()
	if leader < 0 {
		return nil
	}
	m, err := d.nodes[leader].current()
	if err != nil || m.currentLeadership() == nil {
		return nil
	}
	current := m.currentLeadership()
	current.mutex.Lock()
	defer current.mutex.Unlock()
	for _, listed := range current.views.Since(0).Runners {
		if listed.Instance == instance {
			return &listed
		}
	}
	return nil
}

func (d *testDomain) isLeaving(instance string) bool {
	found := d.runner(instance)
	return found != nil && found.Leaving
}

// drain starts or ends the drain of zone-0 through a node, retrying errors.
func (d *testDomain) drain(index int, isDrained bool) {
	d.await("the acknowledgement of a drain order", func() bool {
		return d.nodes[index].DrainZone(d.ctx, domain.ZoneDrain{Zone: "zone-0", IsDrained: isDrained}) == nil
	})
}

func (d *testDomain) bootstrapWithRunners() {
	d.bootstrap(0, 1, 2)
	d.await("the document", func() bool { return d.nodes[0].PutDocument(d.ctx, []byte(drainDocument)) == nil })
	d.startHeartbeats()
	d.await("both runners", func() bool {
		found := d.runner("r0")
		return found != nil && len(found.Models) == 2 && d.runner("r1") != nil
	})
}

func TestDrainedZoneServesSoleReplicasDuringGrace(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
		d.drain(1, true)
		found := d.runner("r0")
		d.c.Assert(found.Leaving, qt.IsFalse)
		d.c.Assert(found.Models, qt.DeepEquals, []fleet.LoadedModel{{Name: "sole"}})
		d.c.Assert(d.isLeaving("r1"), qt.IsFalse)
		pause.For(d.ctx, soleReplicaGrace+planInterval)
		d.c.Assert(d.isLeaving("r0"), qt.IsTrue)
		d.drain(2, false)
		d.c.Assert(d.runner("r0").Leaving, qt.IsFalse)
		d.c.Assert(d.runner("r0").Models, qt.HasLen, 2)
	})
}

func TestDrainSurvivesLeaderChangeAndFullRestart(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
		leader := d.awaitLeader()
		d.drain(leader, true)
		d.kill(leader)
		d.await("a drained runner at the next leader", func() bool { return d.isLeaving("r0") })
		for index := range 3 {
			if d.nodes[index] != nil {
				d.kill(index)
			}
		}
		d.start(0, 1, 2)
		d.await("a drained runner after the restart", func() bool { return d.isLeaving("r0") })
		zones, err := d.nodes[0].DrainedZones(d.ctx)
		d.c.Assert(err, qt.IsNil)
		d.c.Assert(zones, qt.DeepEquals, []string{"zone-0"})
	})
}

// Orders are repeated at other nodes, as after a lost reply.
func TestDrainOrdersAreIdempotent(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
		var both sync.WaitGroup
		for index := range 3 {
			both.Go(func() { d.drain(index, true) })
		}
		both.Wait()
		for index := range 3 {
			zones, err := d.nodes[index].DrainedZones(d.ctx)
			d.c.Assert(err, qt.IsNil)
			d.c.Assert(zones, qt.DeepEquals, []string{"zone-0"})
		}
		d.drain(0, false)
		d.drain(1, false)
		zones, err := d.nodes[2].DrainedZones(d.ctx)
		d.c.Assert(err, qt.IsNil)
		d.c.Assert(zones, qt.HasLen, 0)
	})
}

func TestDrainOfUnknownZoneIsRejected(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		err := d.nodes[0].DrainZone(d.ctx, domain.ZoneDrain{Zone: "elsewhere", IsDrained: true})
		d.c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorNotFound)
		d.c.Assert(fmt.Sprint(err), qt.Contains, "zone-0")
	})
}

func TestDrainNeedsQuorum(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrapWithRunners()
		d.kill(1)
		d.kill(2)
		pause.For(d.ctx, 5*time.Second)
		c := d.c
		c.Assert(d.nodes[0].DrainZone(d.ctx, domain.ZoneDrain{Zone: "zone-0", IsDrained: true}), qt.IsNotNil)
		_, err := d.nodes[0].DrainedZones(d.ctx)
		c.Assert(err, qt.IsNotNil)
	})
}
