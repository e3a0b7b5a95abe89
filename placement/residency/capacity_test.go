package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
)

// workload describes requests and the engine that serves them.
type workload struct {
	gap       time.Duration
	events    int
	prompts   []int64
	perSecond float64
	objective time.Duration
	pause     time.Duration
	slots     int
}

var (
	// shortAnswers has short prompts, of which one in forty is long.
	shortAnswers = workload{
		gap: 21 * time.Millisecond, events: 10, prompts: []int64{640, 9200}, perSecond: 38400,
		objective: 400 * time.Millisecond, pause: 500 * time.Millisecond, slots: 24,
	}
	// longAnswers has an engine of half the speed and a lower limit for pauses.
	longAnswers = workload{
		gap: 21 * time.Millisecond, events: 86, prompts: []int64{1110, 1110}, perSecond: 19200,
		objective: 600 * time.Millisecond, pause: 300 * time.Millisecond, slots: 64,
	}
)

// newWorkloadPlanner returns a planner of five runners, of which r4 takes twice as long.
func newWorkloadPlanner(load workload) *Planner {
	p := NewPlanner(Options{}, start)
	engine := &site.Engine{Slots: load.slots, WeightsMB: 100, MaxAdapters: 2, LoadsPerSecond: 2, Models: []site.Model{{Name: "a", SizeMB: 80, LoadTime: time.Second}}}
	p.SetDocument(site.NewIndex(&site.Document{Version: 1, Services: []site.Service{{Name: "s", Engine: engine}}, Routes: []site.Route{
		{Name: "r", Kind: site.KindStream, Objective: load.objective, MaxPause: load.pause, Split: []site.Share{{Service: "s", Weight: 1}}},
	}}))
	var statuses []fleet.Status
	for i := range 5 {
		each := status(1, "a")[0]
		each.Heartbeat.Instance, each.Heartbeat.Address = fmt.Sprint("r", i), fmt.Sprint("r:", i)
		statuses = append(statuses, each)
	}
	p.SetRunners(start, statuses)
	return p
}

// runWorkload ends rate streams at each runner in each second, of which a share is late, and runs
// an assessment each second.
func runWorkload(p *Planner, load workload, from time.Time, seconds, rate int, late float64) {
	random := rand.New(rand.NewPCG(3, 9))
	for second := range seconds {
		at := from.Add(time.Duration(second) * judgeInterval)
		for stream := range rate {
			for runner := range 5 {
				slowness := 1.0
				if runner == 4 {
					slowness = 2
				}
				prompt := load.prompts[0]
				if random.IntN(40) == 0 {
					prompt = load.prompts[1]
				}
				reading := float64(prompt) / load.perSecond * float64(time.Second)
				// Some of the first events waited for other prompts.
				wait := float64(random.IntN(4)) * 40 * float64(time.Millisecond)
				p.ObservePace(at, []Pace{{
					Service: "s", Model: "a", Instance: fmt.Sprint("r", runner), Prompt: prompt, Events: load.events,
					Gap:   time.Duration(float64(load.gap) * slowness),
					First: time.Duration((reading + wait + float64(load.gap)) * slowness), IsLate: float64(stream) < late*float64(rate),
				}})
			}
		}
		p.judge(at)
		p.takeSnapshot(at)
	}
}

// The learned capacity of a runner depends on its requests, and is lower for a slow runner.
func TestCapacityIsLearned(t *testing.T) {
	for _, test := range []struct {
		name        string
		load        workload
		rate        int
		least, most float64
	}{
		{"short answers", shortAnswers, 8, 18, 40},
		{"long answers", longAnswers, 1, 2, 6.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newWorkloadPlanner(test.load)
			runWorkload(p, test.load, start, 60, test.rate, 0)
			typical, slow := p.runners["r0"].capacity, p.runners["r4"].capacity
			c.Assert(typical >= test.least && typical <= test.most, qt.IsTrue, qt.Commentf("%.1f requests per second", typical))
			c.Assert(slow < 0.6*typical && slow > 0.05*typical, qt.IsTrue, qt.Commentf("%.1f requests per second", slow))
			c.Assert(p.Pace("r4").Slowness > 1.8, qt.IsTrue)
			rate := p.Pace("r0").PromptRate / test.load.perSecond
			c.Assert(rate > 0.7 && rate < 1.4, qt.IsTrue, qt.Commentf("%.2f of the true rate of prompt tokens", rate))
		})
	}
}

// Late streams at busy runners lower the capacity; late streams at lightly loaded runners don't,
// however many there are.
func TestLateStreamsLowerCapacityOnlyAtBusyRunners(t *testing.T) {
	c := qt.New(t)
	p := newWorkloadPlanner(shortAnswers)
	runWorkload(p, shortAnswers, start, 30, 8, 0)
	runWorkload(p, shortAnswers, start.Add(40*time.Second), 10, 4, 0)
	former := p.capacityModel("s").scale
	runWorkload(p, shortAnswers, start.Add(time.Minute), 5, 4, 0.5)
	c.Assert(p.capacityModel("s").scale, qt.Equals, former, qt.Commentf("half of the streams of lightly loaded runners were late"))
	runWorkload(p, shortAnswers, start.Add(2*time.Minute), 60, 30, 0.5)
	c.Assert(p.capacityModel("s").scale, qt.Equals, minScale, qt.Commentf("half of the streams of busy runners were late"))
	lowest := p.runners["r0"].capacity
	runWorkload(p, shortAnswers, start.Add(4*time.Minute), 60, 30, 0)
	c.Assert(p.runners["r0"].capacity > 1.2*lowest, qt.IsTrue, qt.Commentf("none was late"))
}

// Noise, faults and links make streams late at all runners alike, which must not lower the
// capacity.
func TestLateStreamsEverywhereKeepCapacity(t *testing.T) {
	c := qt.New(t)
	p := newWorkloadPlanner(shortAnswers)
	runWorkload(p, shortAnswers, start, 30, 8, 0)
	runWorkload(p, shortAnswers, start.Add(time.Minute), 60, 4, 0.5)
	former := p.capacityModel("s").scale
	runWorkload(p, shortAnswers, start.Add(2*time.Minute), 3, 30, 0.5)
	c.Assert(p.capacityModel("s").scale >= former, qt.IsTrue, qt.Commentf("while the baseline is recent"))
}

// A leader without observations assumes a low capacity, which must not lead to additional replicas.
func TestNewLeaderAddsNoReplicas(t *testing.T) {
	c := qt.New(t)
	old, next := newWorkloadPlanner(shortAnswers), newWorkloadPlanner(shortAnswers)
	runWorkload(old, shortAnswers, start, 60, 8, 0)
	at := start.Add(time.Minute)
	for _, p := range []*Planner{old, next} {
		p.Observe(at, "router", []Demand{{Row: Row{Service: "s", Model: "a"}, Arrived: 60}})
		p.takeSnapshot(at)
	}
	row := Row{Service: "s", Model: "a"}
	c.Assert(old.overload(row), qt.Equals, 0.0)
	c.Assert(next.overload(row), qt.Equals, 0.0)
	c.Assert(old.IsSlowMachine("r4"), qt.IsTrue)
	c.Assert(next.IsSlowMachine("r4"), qt.IsFalse)
	next.RecallSpeed("s", "r:4", true)
	runWorkload(next, shortAnswers, at, 1, 0, 0)
	c.Assert(next.Pace("r4").PromptRate, qt.Equals, 0.0, qt.Commentf("the speed is unknown"))
}
