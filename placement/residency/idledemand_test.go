package residency

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

func TestIdleModelsShareDemand(t *testing.T) {
	for _, test := range []struct {
		name   string
		models int
		asked  func(second int) string
		each   float64
	}{
		{"a different model each second", 200, func(second int) string { return fmt.Sprint("m", second%150) }, 1.0 / 184},
		{"always the same model", 200, func(int) string { return "m0" }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newIdleDemand()
			now := start
			for second := range 100 {
				now = start.Add(time.Duration(second) * time.Second)
				n.observe(now, test.asked(second), test.models)
			}
			got := n.ratePerModel(now)
			c.Assert(math.Abs(got-test.each) < 0.05*test.each+0.0001, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// Guards against attributing the rate of all models to the few idle ones that are left after a
// burst, which would prevent any eviction.
func TestBurstOverAllModelsKeepsIdleRateLow(t *testing.T) {
	n := newIdleDemand()
	for i := range 199 {
		n.observe(start.Add(time.Duration(i)*10*time.Millisecond), fmt.Sprint("m", i), 200)
	}
	got := n.ratePerModel(start.Add(2 * time.Second))
	qt.Assert(t, got < 0.5, qt.IsTrue, qt.Commentf("%v requests per second, where each model was requested once in two seconds", got))
}

// The only replica of a model without requests is worth more than one of many replicas of a model
// in little demand.
func TestRedundantReplicaIsEvictedBeforeOnlyReplica(t *testing.T) {
	c := qt.New(t)
	index := manyModels()
	index.Document.Services[0].Engine.WeightsMB = 200
	p := NewPlanner(Options{}, start)
	p.SetDocument(index)
	var statuses []fleet.Status
	for i := range 3 {
		name := fmt.Sprint("r", i)
		models := []fleet.LoadedModel{{Name: "m0"}, {Name: fmt.Sprint("m", 1+i)}}
		statuses = append(statuses, fleet.Status{Heartbeat: fleet.Heartbeat{
			Instance: name, Service: "s", Address: name, Sequence: 1, Models: models,
		}})
	}
	p.SetRunners(start, statuses)
	for _, status := range statuses {
		p.Reported(start, start, status.Heartbeat.Instance, Report{Models: status.Heartbeat.Models})
	}
	for second := range 8 {
		at := start.Add(time.Duration(second) * time.Second)
		p.Observe(at, "router", []Demand{
			{Row: Row{Service: "s", Model: "m0"}, Arrived: 1},
			{Row: Row{Service: "s", Model: fmt.Sprint("m", 4+second)}, Arrived: 1},
		})
	}
	at := start.Add(9 * time.Second)
	p.Observe(at, "router", []Demand{{Row: Row{Service: "s", Model: "m15"}, Waiting: 1, Arrived: 1}})
	orders := p.Plan(at)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Operation, qt.Equals, Unload)
	c.Assert(orders[0].Model, qt.Equals, "m0")
}
