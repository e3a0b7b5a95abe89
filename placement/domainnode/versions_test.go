package domainnode

import (
	"slices"
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
		// No stream begins at the new version before.
		d.await("runners of both versions to be listed", func() bool {
			leader, err := d.nodes[d.awaitLeader()].current()
			return err == nil && len(leader.currentLeadership().listedVersions(c)) == 2
		})
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

// Guards against streams that begin at a software version which the next leader does not know, as this one could not store it any
// more: they would go on at another version.
func TestVersionIsStoredBeforeItsRunnersAreListed(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.beat("1", "v1", 1)
		pause.For(d.ctx, time.Second)
		former := d.awaitLeader()
		leader, err := d.nodes[former].current()
		d.c.Assert(err, qt.IsNil)
		current := leader.currentLeadership()
		d.c.Assert(current.listedVersions(d.c), qt.DeepEquals, []string{"v1"})
		d.network.Cut(machineIP(former))
		current.receiveHeartbeat(fleet.Heartbeat{Instance: "2", Service: "s", Address: "10.9.0.1:2", Version: "v2", Sequence: 1})
		looks := 0
		for ; current.isValid(); looks++ {
			d.c.Assert(current.listedVersions(d.c), qt.DeepEquals, []string{"v1"})
			pause.For(d.ctx, 10*time.Millisecond)
		}
		d.c.Assert(looks > 10, qt.IsTrue, qt.Commentf("%d looks", looks))
		d.network.Restore(machineIP(former))
		d.beat("2", "v2", 2)
		d.await("the new version", func() bool {
			leader, err := d.nodes[d.awaitLeader()].current()
			return err == nil && slices.Equal(leader.currentLeadership().listedVersions(d.c), []string{"v1", "v2"})
		})
	})
}

// listedVersions returns the software versions of the runners that routers are told of.
func (l *leadership) listedVersions(c *qt.C) (listed []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	encoded, _, err := l.views.Whole(l.now(), 0)
	c.Assert(err, qt.IsNil)
	view, err := encoded.Decode()
	c.Assert(err, qt.IsNil)
	for _, each := range view.Runners {
		listed = append(listed, each.Version)
	}
	slices.Sort(listed)
	return listed
}
