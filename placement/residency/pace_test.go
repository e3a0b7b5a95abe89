package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/pace"
)

// seeGaps ends two streams at each of the runners.
func seeGaps(p *Planner, at time.Time, model string, gaps map[string]time.Duration) {
	for instance, gap := range gaps {
		for range 2 {
			p.ObservePace(at, []Pace{{Service: "s", Model: model, Instance: instance, Gap: gap}})
		}
	}
}

// A runner with the only replica of a model is compared by models of the same size.
func TestSlowRunnerWithOnlyReplicaIsDetected(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(Options{}, start)
	p.SetDocument(twoModels())
	p.SetRunners(start, twoRunners("quick", "slow"))
	seeGaps(p, start, "a", map[string]time.Duration{"quick": 22 * time.Millisecond})
	seeGaps(p, start, "b", map[string]time.Duration{"slow": 46 * time.Millisecond})
	p.judge(start)
	c.Assert(p.IsSlow("quick"), qt.IsFalse)
	c.Assert(p.IsSlow("slow"), qt.IsTrue)
	c.Assert(p.TakeJudgements(), qt.HasLen, 1, qt.Commentf("the other assessment has not changed"))
}

// twoRunners returns two runners without models.
func twoRunners(first, second string) []fleet.Status {
	statuses := append(status(1), status(1)...)
	statuses[0].Heartbeat.Instance, statuses[1].Heartbeat.Instance = first, second
	return statuses
}

// A slow runner gets help from a fast one only if the demand exceeds its capacity.
func TestOverloadedSlowRunnerGetsFastReplica(t *testing.T) {
	for _, test := range []struct {
		name    string
		arrived int
		orders  int
	}{
		{"above the capacity", 10, 1},
		{"below the capacity", 3, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := NewPlanner(Options{}, start)
			p.SetDocument(twoModels())
			statuses := append(twoRunners("holder", "spare"), twoRunners("a-slow", "r")...)
			statuses[0].Heartbeat.Models = []fleet.LoadedModel{{Name: "b"}}
			p.SetRunners(start, statuses)
			for _, instance := range []string{"holder", "spare", "a-slow"} {
				p.Reported(start, start, instance, Report{Models: p.Loaded(instance)})
			}
			seeGaps(p, start, "a", map[string]time.Duration{
				"r": 20 * time.Millisecond, "spare": 21 * time.Millisecond, "a-slow": 44 * time.Millisecond,
			})
			seeGaps(p, start, "b", map[string]time.Duration{"holder": 45 * time.Millisecond})
			p.Observe(start, "router", []Demand{{Row: Row{Service: "s", Model: "b"}, Arrived: test.arrived}})
			p.judge(start)
			orders := p.Plan(start)
			c.Assert(orders, qt.HasLen, test.orders)
			if test.orders > 0 {
				c.Assert(orders[0].Instance, qt.Equals, "spare")
			}
		})
	}
}

func TestModelInDemandIsLoadedOnFastRunner(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(Options{}, start)
	p.SetDocument(twoModels())
	p.SetRunners(start, twoRunners("a-slow", "b-quick"))
	for _, instance := range []string{"a-slow", "b-quick"} {
		p.Reported(start, start, instance, Report{})
	}
	for range 3 {
		p.ObservePace(start, []Pace{
			{Service: "s", Model: "x", Instance: "a-slow", Gap: 44 * time.Millisecond},
			{Service: "s", Model: "x", Instance: "b-quick", Gap: 20 * time.Millisecond},
		})
	}
	p.Observe(start, "router", []Demand{{Row: Row{Service: "s", Model: "b"}, Waiting: 1, Arrived: 20}})
	p.judge(start)
	orders := p.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Instance, qt.Equals, "b-quick")
}

func TestPausedStreamsMakeRunnerSlowForPausedLife(t *testing.T) {
	c := qt.New(t)
	p := newTestPlanner("a")
	observe := func(isPaused bool) {
		p.ObservePace(start, []Pace{{Service: "s", Model: "a", Instance: "r", Gap: 20 * time.Millisecond, Paused: isPaused}})
	}
	observe(true)
	isSlow := func(at time.Time) bool {
		p.judgedAt = time.Time{}
		p.judge(at)
		return p.IsSlow("r")
	}
	c.Assert(isSlow(start), qt.IsFalse, qt.Commentf("too few streams"))
	for range 5 {
		observe(false)
	}
	c.Assert(isSlow(start), qt.IsTrue, qt.Commentf("one of six"))
	c.Assert(isSlow(start.Add(pausedTTL)), qt.IsFalse)
	for range 12 {
		observe(false)
	}
	c.Assert(isSlow(start), qt.IsFalse)
}

// The assessment survives a change of the leader and a restart of the runner.
func TestSlownessIsKeptByEndpoint(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(Options{}, start)
	p.SetDocument(twoModels())
	p.RecallSpeed("s", "r:1", true)
	p.SetRunners(start, status(1))
	p.judge(start)
	c.Assert(p.IsSlow("r"), qt.IsTrue)
	c.Assert(p.TakeJudgements(), qt.DeepEquals, []Judgement{{Instance: "r", Slowness: slowThreshold, IsSlow: true, Pace: pace.Runner{Slowness: slowThreshold}}})
	c.Assert(p.TakeJudgements(), qt.HasLen, 0)
	next := status(1)
	next[0].Heartbeat.Instance = "next"
	at := start.Add(judgeInterval)
	p.SetRunners(at, next)
	p.judge(at)
	c.Assert(p.IsSlowMachine("next"), qt.IsTrue)
	c.Assert(p.IsSlow("r"), qt.IsFalse, qt.Commentf("the runner has been removed"))
}

// Streams at a busy runner are slower because of its load, not its speed.
func TestLoadIsNotSlowness(t *testing.T) {
	c := qt.New(t)
	p := newStorePlanner(2, func(_ int, heartbeat *fleet.Heartbeat) { heartbeat.Models = []fleet.LoadedModel{{Name: "m0"}} })
	for i := range 40 {
		busy := 36 * time.Millisecond
		if i%6 == 0 {
			busy = 25 * time.Millisecond
		}
		p.ObservePace(start, []Pace{
			{Service: "s", Model: "m0", Instance: "r0", Gap: 25 * time.Millisecond},
			{Service: "s", Model: "m0", Instance: "r1", Gap: busy},
		})
	}
	p.Plan(start)
	c.Assert(p.IsSlowMachine("r1"), qt.IsFalse)
}
