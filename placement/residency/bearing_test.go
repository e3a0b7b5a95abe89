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

// shape is a kind of requests and the engine that serves them.
type shape struct {
	gap       time.Duration
	events    int
	prompts   []int64
	perSecond float64
	objective time.Duration
	pause     time.Duration
	slots     int
}

var (
	// shortAnswers to short prompts, of which one in forty is long.
	shortAnswers = shape{
		gap: 21 * time.Millisecond, events: 10, prompts: []int64{640, 9200}, perSecond: 38400,
		objective: 400 * time.Millisecond, pause: 500 * time.Millisecond, slots: 24,
	}
	// longAnswers of an engine with half the speed and callers who mind shorter pauses.
	longAnswers = shape{
		gap: 21 * time.Millisecond, events: 86, prompts: []int64{1110, 1110}, perSecond: 19200,
		objective: 600 * time.Millisecond, pause: 300 * time.Millisecond, slots: 64,
	}
)

// newShapePlanner is a planner of five runners, of which r4 takes twice as long.
func newShapePlanner(of shape) *Planner {
	p := NewPlanner(Options{}, start)
	engine := &site.Engine{Slots: of.slots, WeightsMB: 100, MaxAdapters: 2, LoadsPerSecond: 2, Models: []site.Model{{Name: "a", SizeMB: 80, LoadTime: time.Second}}}
	p.SetDocument(site.NewIndex(&site.Document{Version: 1, Services: []site.Service{{Name: "s", Engine: engine}}, Routes: []site.Route{
		{Name: "r", Kind: site.KindStream, Objective: of.objective, MaxPause: of.pause, Split: []site.Share{{Service: "s", Weight: 1}}},
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

// playShape lets so many streams end at each runner in each second, of which a share is late,
// and judges each second.
func playShape(p *Planner, of shape, from time.Time, seconds, rate int, late float64) {
	random := rand.New(rand.NewPCG(3, 9))
	for second := range seconds {
		at := from.Add(time.Duration(second) * judgeInterval)
		for stream := range rate {
			for runner := range 5 {
				slowness := 1.0
				if runner == 4 {
					slowness = 2
				}
				prompt := of.prompts[0]
				if random.IntN(40) == 0 {
					prompt = of.prompts[1]
				}
				reading := float64(prompt) / of.perSecond * float64(time.Second)
				// Some of the first events waited for other prompts.
				wait := float64(random.IntN(4)) * 40 * float64(time.Millisecond)
				p.ObservePace(at, []Pace{{
					Service: "s", Model: "a", Instance: fmt.Sprint("r", runner), Prompt: prompt, Events: of.events,
					Gap:   time.Duration(float64(of.gap) * slowness),
					First: time.Duration((reading + wait + float64(of.gap)) * slowness), IsLate: float64(stream) < late*float64(rate),
				}})
			}
		}
		p.judge(at)
		p.takeTally(at)
	}
}

// A runner bears what its own kind of requests lets it: one with short answers some tens of
// requests a second, one with long answers a few, and a slow runner less by its speed or more.
func TestWhatARunnerBearsIsLearned(t *testing.T) {
	for _, test := range []struct {
		name        string
		of          shape
		rate        int
		least, most float64
	}{
		{"short answers", shortAnswers, 8, 18, 40},
		{"long answers", longAnswers, 1, 2, 6.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newShapePlanner(test.of)
			playShape(p, test.of, start, 60, test.rate, 0)
			usual, slow := p.runners["r0"].borne, p.runners["r4"].borne
			c.Assert(usual >= test.least && usual <= test.most, qt.IsTrue, qt.Commentf("%.1f requests a second", usual))
			c.Assert(slow < 0.6*usual && slow > 0.05*usual, qt.IsTrue, qt.Commentf("%.1f requests a second", slow))
			c.Assert(p.Pace("r4").Slowness > 1.8, qt.IsTrue)
			rate := p.Pace("r0").PromptRate / test.of.perSecond
			c.Assert(rate > 0.7 && rate < 1.4, qt.IsTrue, qt.Commentf("%.2f of the true rate of prompt tokens", rate))
		})
	}
}

// Late streams at runners that are busy tell that they bear less; late ones at runners with
// little to do tell nothing, however many.
func TestLateStreamsCountAtBusyRunnersOnly(t *testing.T) {
	c := qt.New(t)
	p := newShapePlanner(shortAnswers)
	playShape(p, shortAnswers, start, 30, 8, 0)
	playShape(p, shortAnswers, start.Add(40*time.Second), 10, 4, 0)
	former := p.bearing("s").scale
	playShape(p, shortAnswers, start.Add(time.Minute), 5, 4, 0.5)
	c.Assert(p.bearing("s").scale, qt.Equals, former, qt.Commentf("half of the streams of runners with little to do were late"))
	playShape(p, shortAnswers, start.Add(2*time.Minute), 60, 30, 0.5)
	c.Assert(p.bearing("s").scale, qt.Equals, leastScale, qt.Commentf("half of the streams of busy runners were late"))
	lowest := p.runners["r0"].borne
	playShape(p, shortAnswers, start.Add(4*time.Minute), 60, 30, 0)
	c.Assert(p.runners["r0"].borne > 1.2*lowest, qt.IsTrue, qt.Commentf("none was late"))
}

// Noise, faults and links make streams late at all runners alike. That is no reason to send
// less to the busy ones.
func TestLateStreamsEverywhereAreNoLoad(t *testing.T) {
	c := qt.New(t)
	p := newShapePlanner(shortAnswers)
	playShape(p, shortAnswers, start, 30, 8, 0)
	playShape(p, shortAnswers, start.Add(time.Minute), 60, 4, 0.5)
	calm := p.bearing("s").scale
	playShape(p, shortAnswers, start.Add(2*time.Minute), 3, 30, 0.5)
	c.Assert(p.bearing("s").scale >= calm, qt.IsTrue, qt.Commentf("while what calm runners showed is fresh"))
}

// A leader that has learned nothing plans as if runners bore a little, and its first word from
// streams is no reason to load more.
func TestNewLeaderLoadsNoMoreThanTheOldOne(t *testing.T) {
	c := qt.New(t)
	old, next := newShapePlanner(shortAnswers), newShapePlanner(shortAnswers)
	playShape(old, shortAnswers, start, 60, 8, 0)
	at := start.Add(time.Minute)
	for _, p := range []*Planner{old, next} {
		p.Observe(at, "router", []Demand{{Row: Row{Service: "s", Model: "a"}, Arrived: 60}})
		p.takeTally(at)
	}
	row := Row{Service: "s", Model: "a"}
	c.Assert(old.crowding(row), qt.Equals, 0.0)
	c.Assert(next.crowding(row), qt.Equals, 0.0)
	c.Assert(old.IsSlowPlace("r4"), qt.IsTrue)
	c.Assert(next.IsSlowPlace("r4"), qt.IsFalse)
	next.RecallSpeed("s", "r:4", true)
	playShape(next, shortAnswers, at, 1, 0, 0)
	c.Assert(next.Pace("r4").PromptRate, qt.Equals, 0.0, qt.Commentf("nothing is said before it is known"))
}
