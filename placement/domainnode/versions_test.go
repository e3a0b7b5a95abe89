package domainnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/versions"
)

// mixedVersions returns what the leader tells a router of services with several versions.
func (d *testDomain) mixedVersions() []string {
	var reply domainapi.WatchReply
	d.await("an answer", func() bool {
		reply = domainapi.WatchReply{}
		_ = (&service{node: d.nodes[d.awaitLeader()].Node}).Watch(&domainapi.WatchArguments{Router: "router"}, &reply)
		return reply.Error == nil
	})
	return reply.MixedVersions
}

func (d *testDomain) beat(instance, version string, sequence uint64) {
	heartbeat := fleet.Heartbeat{Instance: instance, Service: "s", Address: "10.9.0.1:" + instance, Version: version, Sequence: sequence}
	d.await("a heartbeat", func() bool { return d.nodes[d.awaitLeader()].Heartbeat(d.ctx, heartbeat) == nil })
}

// Guards against a new leader that knows one version alone, as the last runner of another has just gone: streams that it began may
// be taken up for a while.
func TestNewLeaderKnowsVersionsThatAreGone(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.beat("1", "v1", 1)
		c := d.c
		c.Assert(d.mixedVersions(), qt.HasLen, 0)
		d.beat("2", "v2", 1)
		c.Assert(d.mixedVersions(), qt.DeepEquals, []string{"s"})
		pause.For(d.ctx, time.Second)
		d.await("its departure", func() bool { return d.nodes[d.awaitLeader()].Depart(d.ctx, "1", 0) == nil })
		former := d.awaitLeader()
		d.kill(former)
		c.Assert(d.mixedVersions(), qt.DeepEquals, []string{"s"})
		for sequence := range uint64(45) {
			d.beat("2", "v2", sequence+2)
			pause.For(d.ctx, time.Second)
		}
		c.Assert(d.mixedVersions(), qt.HasLen, 0)
		leader, err := d.nodes[d.awaitLeader()].current()
		c.Assert(err, qt.IsNil)
		var known []versions.Key
		leader.group.View(func() { known = leader.machine.Versions() })
		c.Assert(known, qt.DeepEquals, []versions.Key{{Service: "s", Version: "v2"}})
	})
}

// Any controller holds records of streams, whether it leads or not.
func TestControllersHoldStreams(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		record := versions.Record{ID: "a", Service: "s", Version: "v1", TTL: 10 * time.Second}
		for index := range 3 {
			register := &service{node: d.nodes[index].Node}
			var noted domainapi.NoteStreamsReply
			d.c.Assert(register.NoteStreams(&domainapi.NoteStreamsArguments{Records: []versions.Record{record}}, &noted), qt.IsNil)
			var found domainapi.FindStreamReply
			d.c.Assert(register.FindStream(&domainapi.FindStreamArguments{ID: "a"}, &found), qt.IsNil)
			d.c.Assert(found.Record, qt.Equals, record)
			d.c.Assert(register.FindStream(&domainapi.FindStreamArguments{ID: "b"}, &found), qt.IsNil)
			pause.For(d.ctx, record.TTL)
			found = domainapi.FindStreamReply{}
			d.c.Assert(register.FindStream(&domainapi.FindStreamArguments{ID: "a"}, &found), qt.IsNil)
			d.c.Assert(found.IsFound, qt.IsFalse)
		}
	})
}
