package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestColdRunnerIsChosenOnlyWithATokenForTheRequest(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := New(Options{Daemon: "d"}, rand.New(rand.NewPCG(1, 1)))
	b.SetPlacement(structs.Placement{
		Runners:  []structs.RunnerInfo{{ID: "cold"}, {ID: "warm"}},
		Replicas: []structs.Replica{{Row: "m", Runner: "cold", State: structs.ReplicaReady}, {Row: "m", Runner: "warm", State: structs.ReplicaReady}},
	})
	b.SetCold("cold", true)
	for range 20 {
		choice, found := b.Pick(now, "m", nil, "")
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.Runner(), qt.Equals, structs.RunnerID("warm"))
	}
	b.Leave("warm")
	_, found := b.Pick(now, "m", nil, "")
	c.Assert(found, qt.IsFalse)
	c.Assert(b.Cold(now, "m"), qt.DeepEquals, []structs.RunnerID{"cold"})
	b.Warm("cold", 2)
	c.Assert(b.Cold(now, "m"), qt.HasLen, 0)
	for range 2 {
		choice, found := b.Pick(now, "m", nil, "")
		c.Assert(found, qt.IsTrue)
		choice.Sent(now, nil)
	}
	_, found = b.Pick(now, "m", nil, "")
	c.Assert(found, qt.IsFalse)
	b.Warm("cold", 1)
	b.DropTokens()
	_, found = b.Pick(now, "m", nil, "")
	c.Assert(found, qt.IsFalse)
	b.SetCold("cold", false)
	_, found = b.Pick(now, "m", nil, "")
	c.Assert(found, qt.IsTrue)
	c.Assert(b.Cold(now, "m"), qt.HasLen, 0)
}
