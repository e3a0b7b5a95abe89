package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSlowRunnersAreFoundByTheirStreams(t *testing.T) {
	c := qt.New(t)
	p := make(paces)
	see := func(instance, model string, gap time.Duration) {
		for range 3 {
			p.add(start, Pace{Service: "s", Model: model, Instance: instance, Gap: gap})
		}
	}
	see("only", "rare", 90*time.Millisecond)
	c.Assert(p.slowness("only"), qt.Equals, 1.0, qt.Commentf("nothing to compare with"))
	see("quick", "hot", 22*time.Millisecond)
	see("slow", "hot", 29*time.Millisecond)
	see("usual", "hot", 23*time.Millisecond)
	c.Assert(p.slowness("slow") > slowFactor, qt.IsTrue)
	c.Assert(p.slowness("usual") > slowFactor, qt.IsFalse)
	c.Assert(p.slowness("unknown"), qt.Equals, 1.0)
	p.forget(func(instance string) bool { return instance != "quick" && instance != "usual" })
	c.Assert(p.slowness("slow"), qt.Equals, 1.0)
}

func TestModelsInDemandAreLoadedOnQuickRunners(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(Options{}, start)
	p.SetDocument(twoModels())
	statuses := append(status(1), status(1)...)
	statuses[0].Heartbeat.Instance, statuses[1].Heartbeat.Instance = "a-slow", "b-quick"
	p.SetRunners(start, statuses)
	for _, instance := range []string{"a-slow", "b-quick"} {
		p.Reported(start, start, instance, Report{})
	}
	for range 3 {
		p.ObservePace(start, []Pace{
			{Service: "s", Model: "x", Instance: "a-slow", Gap: 30 * time.Millisecond},
			{Service: "s", Model: "x", Instance: "b-quick", Gap: 20 * time.Millisecond},
		})
	}
	p.Observe(start, "router", []Demand{{Row: Row{Service: "s", Model: "b"}, Waiting: 1, Arrived: 20}})
	orders := p.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Instance, qt.Equals, "b-quick")
}

func TestRunnerWhoseStreamsPauseIsSlowForAWhile(t *testing.T) {
	c := qt.New(t)
	p := newTestPlanner("a")
	see := func(isPaused bool) {
		p.ObservePace(start, []Pace{{Service: "s", Model: "a", Instance: "r", Gap: 20 * time.Millisecond, Paused: isPaused}})
	}
	see(true)
	isSlow := func(at time.Time) bool {
		p.slow = nil
		p.findSlow(at)
		return p.IsSlow("r")
	}
	c.Assert(isSlow(start), qt.IsFalse, qt.Commentf("one stream proves nothing"))
	for range 5 {
		see(false)
	}
	c.Assert(isSlow(start), qt.IsTrue, qt.Commentf("one of six"))
	c.Assert(isSlow(start.Add(pausedLife)), qt.IsFalse)
	for range 12 {
		see(false)
	}
	c.Assert(isSlow(start), qt.IsFalse)
}
