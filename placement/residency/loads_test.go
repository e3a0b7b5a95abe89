package residency

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// busyPlanner returns a planner of runners with 1, 2 and so on requests.
func busyPlanner(runners int) *Planner {
	p := NewPlanner(Options{}, start)
	var statuses []fleet.Status
	demand := Demand{Row: Row{Service: "s", Model: "m"}}
	for number := range runners {
		instance := fmt.Sprintf("i-%010d", number)
		statuses = append(statuses, fleet.Status{Heartbeat: fleet.Heartbeat{Instance: instance, Service: "s", Slots: 1000, Sequence: 1}})
		demand.Active = append(demand.Active, ActiveCount{Instance: instance, Count: number + 1, Prompt: 1000})
	}
	p.SetRunners(start, statuses)
	p.Observe(start, "router", []Demand{demand})
	p.takeSnapshot(start)
	return p
}

func TestLoadsListsBusiestRunnersWithinSizeLimit(t *testing.T) {
	c := qt.New(t)
	listed := busyPlanner(500).Loads(start)
	c.Assert(listed, qt.HasLen, maxListedLoads)
	c.Assert(listed[0].Requests, qt.Equals, 500)
	c.Assert(listed[maxListedLoads-1].Requests, qt.Equals, 501-maxListedLoads)
	for i := range listed {
		listed[i].Reading = 41.0 / readingSteps
	}
	// The first value of a stream includes the type descriptions; the second shows the cost of each
	// reply.
	var buf bytes.Buffer
	encoder := gob.NewEncoder(&buf)
	c.Assert(encoder.Encode(listed), qt.IsNil)
	first := buf.Len()
	c.Assert(encoder.Encode(listed), qt.IsNil)
	c.Assert(buf.Len()-first <= 1600, qt.IsTrue, qt.Commentf("%d bytes", buf.Len()-first))
}

func TestReadTokensAreAveragedAndDecay(t *testing.T) {
	c := qt.New(t)
	read := &readTokens{}
	for step := range 100 {
		read.add(start.Add(time.Duration(step)*100*time.Millisecond), 1000)
	}
	end := start.Add(9900 * time.Millisecond)
	c.Assert(read.rateAt(end) > 9000 && read.rateAt(end) < 11000, qt.IsTrue, qt.Commentf("%f", read.rateAt(end)))
	c.Assert(read.rateAt(end.Add(5*time.Second)) < 100, qt.IsTrue)
}

func TestEndedRequestsDoNotCountAsUse(t *testing.T) {
	p := busyPlanner(1)
	p.runners["i-0000000000"].holdings["m"] = &holding{}
	p.Observe(start.Add(time.Second), "router", []Demand{{
		Row: Row{Service: "s", Model: "m"}, Active: []ActiveCount{{Instance: "i-0000000000", Prompt: 10}},
	}})
	qt.Assert(t, p.runners["i-0000000000"].holdings["m"].usedAt.IsZero(), qt.IsTrue)
}
