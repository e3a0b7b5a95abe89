package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// versionedPlacement has runners of two software versions, which all hold one row.
func versionedPlacement(counts map[string]int) (placed structs.Placement) {
	for _, version := range []string{"v1", "v2"} {
		for number := range counts[version] {
			id := structs.RunnerID(fmt.Sprint(version, "-", number))
			placed.Runners = append(placed.Runners, structs.RunnerInfo{ID: id, Version: version, Address: string(id)})
			placed.Replicas = append(placed.Replicas, structs.Replica{Row: "row", Runner: id, State: structs.ReplicaReady})
		}
	}
	return placed
}

// A request that is bound to a version must get a runner of it, also where most of many replicas have another.
func TestBoundRequestGetsItsVersion(t *testing.T) {
	c := qt.New(t)
	b := New(Options{Daemon: "d", MaxBatch: 4}, rand.New(rand.NewPCG(1, 1)))
	b.SetPlacement(versionedPlacement(map[string]int{"v1": 2, "v2": 100}))
	now := time.Unix(1000, 0)
	for range 8 {
		choice, found := b.PickFor(now, "row", &Work{Version: "v1"})
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.Version(), qt.Equals, "v1")
		choice.Sent(now, nil)
	}
	c.Assert(b.HasVersion("row", "v1", nil), qt.IsTrue)
	c.Assert(b.HasVersion("row", "v3", nil), qt.IsFalse)
	c.Assert(b.HasVersion("other", "v1", nil), qt.IsFalse)
	b.Leave("v1-0")
	b.Leave("v1-1")
	c.Assert(b.HasVersion("row", "v1", nil), qt.IsFalse)
	_, found := b.PickFor(now, "row", &Work{Version: "v1"})
	c.Assert(found, qt.IsFalse)
	_, found = b.PickFor(now, "row", &Work{})
	c.Assert(found, qt.IsTrue)
}

// Guards against a bound request that goes to another version once no replica of its own is left.
func TestBoundRequestWaitsWhereAllReplicasHaveAnotherVersion(t *testing.T) {
	c := qt.New(t)
	b := New(Options{Daemon: "d", MaxBatch: 4}, rand.New(rand.NewPCG(1, 1)))
	b.SetPlacement(versionedPlacement(map[string]int{"v2": 3}))
	now := time.Unix(1000, 0)
	_, found := b.PickFor(now, "row", &Work{Version: "v1"})
	c.Assert(found, qt.IsFalse)
	c.Assert(b.LeaseTargets(now, "row", []*Work{{Version: "v1"}}), qt.HasLen, 0)
	_, found = b.PickFor(now, "row", &Work{Version: "v2"})
	c.Assert(found, qt.IsTrue)
	b.SetPlacement(versionedPlacement(map[string]int{"v1": 1, "v2": 3}))
	choice, found := b.PickFor(now, "row", &Work{Version: "v1"})
	c.Assert(found, qt.IsTrue)
	c.Assert(choice.Version(), qt.Equals, "v1")
}

// A stream must be copied to a runner of its version, so that it goes on there.
func TestStandbyHasTheVersionOfItsPrimary(t *testing.T) {
	c := qt.New(t)
	b := New(Options{Daemon: "d", MaxBatch: 8}, rand.New(rand.NewPCG(1, 1)))
	b.SetPlacement(versionedPlacement(map[string]int{"v1": 2, "v2": 40}))
	now := time.Unix(1000, 0)
	for range 2 {
		chosen, found := b.PickStandby(now, "row", &StandbyWork{Primary: "v1-0"})
		c.Assert(found, qt.Equals, StandbyFound)
		c.Assert(chosen.Runner(), qt.Equals, structs.RunnerID("v1-1"))
		chosen.CopyBegan("v1-0")
	}
	_, found := b.PickStandby(now, "row", &StandbyWork{Primary: "v1-0", Former: []structs.RunnerID{"v1-1"}})
	c.Assert(found, qt.Equals, StandbyNone)
}
