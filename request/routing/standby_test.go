package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/structs"
)

var standbyRegions = map[structs.ZoneID]string{"n1": "north", "n2": "north", "s1": "south"}

// newStandbyBalancer returns a balancer with runners of eight slots that hold row m. Their IDs begin
// with their zones.
func newStandbyBalancer(ids ...structs.RunnerID) *Balancer {
	b := New(Options{Daemon: "d", Regions: standbyRegions, MaxBatch: 8, CostExponent: 3, BreakerFailures: 1}, rand.New(rand.NewPCG(1, 1)))
	var placed structs.Placement
	for _, id := range ids {
		placed.Runners = append(placed.Runners, structs.RunnerInfo{ID: id, Zone: structs.ZoneID(id[:2]), Address: string(id)})
		placed.Replicas = append(placed.Replicas, structs.Replica{Row: "m", Runner: id, State: structs.ReplicaReady})
	}
	b.SetPlacement(placed)
	for _, id := range ids {
		b.SetPace(id, pace.Runner{PromptRate: 40000, Event: 30 * time.Millisecond, Slowness: 1})
	}
	return b
}

func pickStandby(b *Balancer, now time.Time) (structs.RunnerID, StandbyResult) {
	choice, result := b.PickStandby(now, "m", &StandbyWork{Primary: "n1-a"})
	return choice.Runner(), result
}

// The standby must be in another zone of the same region if there is one, as memory between regions is
// expensive and the loss of a zone takes both runners in it.
func TestStandbyIsInAnotherZoneOfTheRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		runners []structs.RunnerID
		standby structs.RunnerID
		result  StandbyResult
	}{
		"another zone":         {[]structs.RunnerID{"n1-a", "n1-b", "n2-c", "s1-d"}, "n2-c", StandbyFound},
		"same zone":            {[]structs.RunnerID{"n1-a", "n1-b", "s1-d"}, "n1-b", StandbyFound},
		"another region alone": {[]structs.RunnerID{"n1-a", "s1-d"}, "", StandbyNone},
		"no other replica":     {[]structs.RunnerID{"n1-a"}, "", StandbyNone},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			found, result := pickStandby(newStandbyBalancer(test.runners...), now)
			c.Assert(result, qt.Equals, test.result)
			c.Assert(found, qt.Equals, test.standby)
		})
	}
}

// Copies must not go to a runner that cannot take up the stream.
func TestUnfitRunnersAreNoStandby(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, spoil := range map[string]func(b *Balancer){
		"leaving":                func(b *Balancer) { b.Leave("n2-b") },
		"failing":                func(b *Balancer) { b.SetFailing("n2-b", true) },
		"cold":                   func(b *Balancer) { b.SetPaced("n2-b", true, false) },
		"limited":                func(b *Balancer) { b.SetPaced("n2-b", false, true); b.GiveTokens("n2-b", 3) },
		"in a cooldown":          func(b *Balancer) { b.CoolDown("n2-b", now.Add(time.Second)) },
		"after a cooldown":       func(b *Balancer) { b.CoolDown("n2-b", now.Add(-time.Millisecond)) },
		"in an unreachable zone": func(b *Balancer) { b.SetZoneUnreachable("n2", true) },
		"full": func(b *Balancer) {
			b.ObserveLoad("n2-b", structs.LoadReport{Running: 8, ObservedAt: now.Add(-time.Millisecond)})
		},
		"full with copies": func(b *Balancer) {
			b.ObserveLoad("n2-b", structs.LoadReport{Running: 7, ObservedAt: now.Add(-time.Millisecond)})
			choice, _ := b.At(now, "m", "n2-b")
			choice.CopyBegan("n1-a")
		},
		"broken": func(b *Balancer) {
			choice, _ := b.At(now, "m", "n2-b")
			choice.Sent(now, nil)
			choice.Done(now, OutcomeBroken)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newStandbyBalancer("n1-a", "n2-b")
			_, result := pickStandby(b, now)
			c.Assert(result, qt.Equals, StandbyFound)
			spoil(b)
			_, result = pickStandby(b, now)
			c.Assert(result, qt.Equals, StandbyNone)
		})
	}
}

func TestStandbyIsInAllowedZonesAndNotFormer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newStandbyBalancer("n1-a", "n2-b", "n1-c")
	choice, _ := b.PickStandby(now, "m", &StandbyWork{Primary: "n1-a", Zones: map[structs.ZoneID]bool{"n1": true}})
	c.Assert(choice.Runner(), qt.Equals, structs.RunnerID("n1-c"))
	choice, _ = b.PickStandby(now, "m", &StandbyWork{Primary: "n1-a", Former: []structs.RunnerID{"n2-b"}})
	c.Assert(choice.Runner(), qt.Equals, structs.RunnerID("n1-c"))
}

// The loss of one runner must not send all its streams to one other runner, and copies take at most a
// quarter of a standby's slots.
func TestCopiesAreSpreadAndBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	ids := []structs.RunnerID{"n1-a"}
	for number := range 4 {
		ids = append(ids, structs.RunnerID(fmt.Sprintf("n2-%d", number)))
	}
	b := newStandbyBalancer(ids...)
	copies := make(map[structs.RunnerID]int)
	var last Choice
	for range 8 {
		choice, result := b.PickStandby(now, "m", &StandbyWork{Primary: "n1-a"})
		c.Assert(result, qt.Equals, StandbyFound)
		choice.CopyBegan("n1-a")
		copies[choice.Runner()]++
		last = choice
	}
	c.Assert(copies, qt.DeepEquals, map[structs.RunnerID]int{"n2-0": 2, "n2-1": 2, "n2-2": 2, "n2-3": 2})
	_, result := pickStandby(b, now)
	c.Assert(result, qt.Equals, StandbyAtLimit)
	last.CopyEnded("n1-a")
	found, result := pickStandby(b, now)
	c.Assert(result, qt.Equals, StandbyFound)
	c.Assert(found, qt.Equals, last.Runner())
	_, result = b.PickStandby(now, "m", &StandbyWork{Primary: "n1-a", MayTake: func(structs.RunnerID) bool { return false }})
	c.Assert(result, qt.Equals, StandbyAtLimit)
}

// Copies of other runners' streams must not lead all streams of one runner to the same standby.
func TestStreamsOfOneRunnerHaveSeveralStandbys(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newStandbyBalancer("n1-a", "n1-b", "n2-c", "n2-d")
	b.SetBatch("n2-c", 16)
	choice, _ := b.At(now, "m", "n2-c")
	choice.CopyBegan("n1-b")
	choice.CopyBegan("n1-b")
	first, _ := pickStandby(b, now)
	c.Assert(first, qt.Equals, structs.RunnerID("n2-d"))
	choice, _ = b.At(now, "m", "n2-d")
	choice.CopyBegan("n1-a")
	for range 20 {
		second, _ := pickStandby(b, now)
		c.Assert(second, qt.Equals, structs.RunnerID("n2-c"))
	}
}

// Of equal candidates, routers with the same load report must not all choose the same one, but a slow one
// is chosen less often.
func TestStandbyIsDrawnByExpectedCost(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newStandbyBalancer("n1-a", "n2-b", "n2-c", "n2-d")
	b.SetPace("n2-d", pace.Runner{PromptRate: 20000, Event: 60 * time.Millisecond, Slowness: 2})
	drawn := make(map[structs.RunnerID]int)
	for range 900 {
		found, _ := pickStandby(b, now)
		drawn[found]++
	}
	c.Assert(drawn["n2-b"] > 200 && drawn["n2-c"] > 200, qt.IsTrue, qt.Commentf("%v", drawn))
	c.Assert(drawn["n2-d"] > 0 && drawn["n2-d"] < 300, qt.IsTrue, qt.Commentf("%v", drawn))
}

// A continuation goes to the incarnation that has the copy, and to a full one, as its memory is there.
func TestContinuationIsSentToTheRunnerThatHoldsTheCopy(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newStandbyBalancer("n1-a", "n2-b")
	b.ObserveLoad("n2-b", structs.LoadReport{Running: 30, ObservedAt: now.Add(-time.Millisecond)})
	choice, found := b.At(now, "m", "n2-b")
	c.Assert(found, qt.IsTrue)
	c.Assert(choice.Runner(), qt.Equals, structs.RunnerID("n2-b"))
	_, found = b.At(now, "other", "n2-b")
	c.Assert(found, qt.IsFalse)
	b.Leave("n2-b")
	_, found = b.At(now, "m", "n2-b")
	c.Assert(found, qt.IsFalse)
	b.Drop("n2-b")
	_, found = b.At(now, "m", "n2-b")
	c.Assert(found, qt.IsFalse)
}
