package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// newZonedBalancer returns a balancer in the given zone with two runners in each of the zones a and b.
func newZonedBalancer(zone structs.ZoneID) *routing.Balancer {
	b := routing.New(routing.Options{Daemon: "d", Zone: zone, MaxBatch: 24, CostExponent: 3, BreakerFailures: 2, BreakerDelay: 10 * time.Second}, rand.New(rand.NewPCG(1, 2)))
	var placed structs.Placement
	for _, id := range []structs.RunnerID{"a1", "a2", "b1", "b2"} {
		placed.Runners = append(placed.Runners, structs.RunnerInfo{ID: id, Zone: structs.ZoneID(id[:1])})
		placed.Replicas = append(placed.Replicas, structs.Replica{Row: "r", Runner: id, State: structs.ReplicaReady})
	}
	b.SetPlacement(placed)
	for _, info := range placed.Runners {
		b.SetPace(info.ID, pace.Runner{PromptRate: 40000, Event: 30 * time.Millisecond, Slowness: 1})
	}
	return b
}

// countLocal runs sequential requests and counts those sent to zone a.
func countLocal(c *qt.C, b *routing.Balancer, now time.Time) int {
	local := 0
	for range 1000 {
		choice, found := b.Pick(now, "r", nil, "")
		c.Assert(found, qt.IsTrue)
		if choice.Runner()[:1] == "a" {
			local++
		}
		choice.Sent(now, nil)
		choice.Done(now, routing.OutcomeSuccess)
	}
	return local
}

// Remote runners are chosen only if they save more than the latency. Without zones all runners are alike.
func TestLocalRunnersArePreferredUntilRemoteAreFaster(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name      string
		zone      structs.ZoneID
		latencies map[structs.ZoneID]time.Duration
		// others are the requests of other routers on each local runner.
		others      int
		least, most int
	}{
		{"idle", "a", nil, 0, 1000, 1000},
		{"local runners have one request more", "a", nil, 1, 900, 1000},
		{"local runners are half full", "a", nil, 12, 0, 250},
		{"high latency", "a", map[structs.ZoneID]time.Duration{"b": 700 * time.Millisecond}, 12, 1000, 1000},
		{"router without a zone", "", nil, 0, 400, 600},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newZonedBalancer(test.zone)
			b.SetZoneLatencies(test.latencies)
			for _, id := range []structs.RunnerID{"a1", "a2"} {
				b.ObserveLoad(id, structs.LoadReport{Running: test.others, ObservedAt: now})
			}
			local := countLocal(c, b, now.Add(time.Millisecond))
			c.Assert(local >= test.least && local <= test.most, qt.IsTrue, qt.Commentf("%d of 1000", local))
		})
	}
}

// An unreachable zone gets no requests, and earlier failures do not exclude its runners once it is reachable again.
func TestUnreachableZoneIsNotPicked(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newZonedBalancer("a")
	for range 20 {
		choice, found := b.Pick(now, "r", nil, "")
		if !found {
			break
		}
		choice.Sent(now, nil)
		choice.Done(now, routing.OutcomeBroken)
	}
	b.SetZoneUnreachable("a", true)
	b.SetZoneUnreachable("b", true)
	_, found := b.Pick(now, "r", nil, "")
	c.Assert(found, qt.IsFalse)
	c.Assert(b.ReachableReplicas("r"), qt.Equals, 0)
	b.SetZoneUnreachable("b", false)
	c.Assert(b.ReachableReplicas("r"), qt.Equals, 2)
	c.Assert(countLocal(c, b, now), qt.Equals, 0)
	b.SetZoneUnreachable("a", false)
	c.Assert(countLocal(c, b, now), qt.Equals, 1000)
}
