package residency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// playStreams lets so many streams end in each second, of which a share paused, and
// returns the rate that follows.
func playStreams(p *Planner, from time.Time, seconds int, paused float64) float64 {
	for second := range seconds {
		at := from.Add(time.Duration(second) * judgeInterval)
		for stream := range 50 {
			p.ObservePace(at, []Pace{{Service: "s", Model: "a", Instance: "r", Paused: float64(stream) < paused*50}})
		}
		p.judge(at)
	}
	return p.rateOf("s")
}

// A replica gets less while many streams pause, and more again when few do.
func TestRateOfReplicasFollowsThePausesOfStreams(t *testing.T) {
	c := qt.New(t)
	p := newTestPlanner("a")
	most := p.options.ReplicaRate
	first := p.rateOf("s")
	c.Assert(first < most, qt.IsTrue)
	later := start.Add(time.Minute)
	c.Assert(playStreams(p, start, 20, 0), qt.Equals, most)
	c.Assert(playStreams(p, later, 1, 0.5) < most, qt.IsTrue)
	c.Assert(playStreams(p, later.Add(time.Minute), 100, 0.5), qt.Equals, leastRate)
	c.Assert(playStreams(p, later.Add(time.Hour), 10, 0.04), qt.Equals, leastRate, qt.Commentf("neither many nor few"))
	c.Assert(playStreams(p, later.Add(2*time.Hour), 10, 0) > leastRate, qt.IsTrue)
}

func TestPausesOfSlowRunnersDoNotChangeTheRate(t *testing.T) {
	c := qt.New(t)
	p := newTestPlanner("a")
	p.RecallSpeed("s", "r:1", true)
	p.judge(start)
	first := p.rateOf("s")
	c.Assert(playStreams(p, start.Add(time.Minute), 20, 1), qt.Equals, first)
}
