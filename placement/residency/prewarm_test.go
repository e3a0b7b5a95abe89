package residency

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// newPrewarmPlanner returns a planner of two runners that hold one model each and have copies of
// all models but m19. Runner r0 has the only copy of m0, and r1 that of m18.
func newPrewarmPlanner() *Planner {
	return newStorePlanner(2, func(i int, heartbeat *fleet.Heartbeat) {
		heartbeat.Models = []fleet.LoadedModel{{Name: fmt.Sprint("m", i)}}
		for model := range 19 {
			if (model != 0 || i == 0) && (model != 18 || i == 1) {
				heartbeat.OnDisk = append(heartbeat.OnDisk, fmt.Sprint("m", model))
			}
		}
	})
}

// Guards against evicting the last replica of a model without another copy for a prewarm.
func TestAbsentModelIsPrewarmed(t *testing.T) {
	c := qt.New(t)
	p := newPrewarmPlanner()
	c.Assert(p.Plan(start.Add(prewarmDelay-time.Millisecond)), qt.HasLen, 0, qt.Commentf("further runners may still be added"))
	at := start.Add(prewarmDelay)
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Unload)
	c.Assert(orders[0].Model, qt.Equals, "m1")
}

func TestNoPrewarmBesideOtherNeeds(t *testing.T) {
	c := qt.New(t)
	p := newPrewarmPlanner()
	at := start.Add(prewarmDelay)
	waitForModels(p, at, 18, 1)
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Unload)
	p.Answered(at, orders[0], OutcomeAccepted)
	c.Assert(p.Plan(at.Add(50*time.Millisecond)), qt.HasLen, 0)
}

// The copies of runners recalled from the previous leader are unknown.
func TestNoPrewarmByNewLeader(t *testing.T) {
	c := qt.New(t)
	p := newPrewarmPlanner()
	heartbeat := fleet.Heartbeat{Instance: "r2", Service: "s", Address: "r2"}
	statuses := []fleet.Status{{Heartbeat: heartbeat, Recalled: true}}
	for _, r := range p.sorted() {
		statuses = append(statuses, r.status)
	}
	p.SetRunners(start, statuses)
	c.Assert(p.Plan(start.Add(time.Minute)), qt.HasLen, 0)
}
