package residency

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// aheadPlanner is a planner of two runners that hold and have copies of all models but m19; m0
// is nowhere but at r0, and m18 nowhere but at r1.
func aheadPlanner() *Planner {
	return newStorePlanner(2, func(i int, heartbeat *fleet.Heartbeat) {
		heartbeat.Models = []fleet.LoadedModel{{Name: fmt.Sprint("m", i)}}
		for model := range 19 {
			if (model != 0 || i == 0) && (model != 18 || i == 1) {
				heartbeat.OnDisk = append(heartbeat.OnDisk, fmt.Sprint("m", model))
			}
		}
	})
}

// Nobody has a model, and nothing else is wanted: it is loaded before the first request for it,
// which would wait for longer than it can. The replica that makes way is not the last of a model
// without another copy.
func TestAbsentModelIsLoadedAheadOfNeed(t *testing.T) {
	c := qt.New(t)
	p := aheadPlanner()
	c.Assert(p.Plan(start.Add(aheadAfter-time.Millisecond)), qt.HasLen, 0, qt.Commentf("a runner may still come"))
	at := start.Add(aheadAfter)
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Unload)
	c.Assert(orders[0].Model, qt.Equals, "m1")
}

func TestNothingIsLoadedAheadBesideANeed(t *testing.T) {
	c := qt.New(t)
	p := aheadPlanner()
	at := start.Add(aheadAfter)
	waitForModels(p, at, 18, 1)
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Unload)
	p.Answered(at, orders[0], OutcomeAccepted)
	c.Assert(p.Plan(at.Add(50*time.Millisecond)), qt.HasLen, 0)
}

// A new leader knows some runners only from the one before, and not which copies they have.
func TestNewLeaderLoadsNothingAhead(t *testing.T) {
	c := qt.New(t)
	p := aheadPlanner()
	heartbeat := fleet.Heartbeat{Instance: "r2", Service: "s", Address: "r2"}
	statuses := []fleet.Status{{Heartbeat: heartbeat, Recalled: true}}
	for _, known := range p.sorted() {
		statuses = append(statuses, known.status)
	}
	p.SetRunners(start, statuses)
	c.Assert(p.Plan(start.Add(time.Minute)), qt.HasLen, 0)
}
