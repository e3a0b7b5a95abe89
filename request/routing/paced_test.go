package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestColdRunnerRequiresToken(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := New(Options{Daemon: "d"}, rand.New(rand.NewPCG(1, 1)))
	b.SetPlacement(structs.Placement{
		Runners:  []structs.RunnerInfo{{ID: "cold"}, {ID: "warm"}},
		Replicas: []structs.Replica{{Row: "m", Runner: "cold", State: structs.ReplicaReady}, {Row: "m", Runner: "warm", State: structs.ReplicaReady}},
	})
	b.SetPaced("cold", true, false)
	for range 20 {
		choice, found := b.Pick(now, "m", nil, "")
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.Runner(), qt.Equals, structs.RunnerID("warm"))
	}
	b.Leave("warm")
	_, found := b.Pick(now, "m", nil, "")
	c.Assert(found, qt.IsFalse)
	c.Assert(b.Paced(now, "m", &Work{}), qt.DeepEquals, []structs.RunnerID{"cold"})
	b.GiveTokens("cold", 2)
	c.Assert(b.Paced(now, "m", &Work{}), qt.HasLen, 0)
	for range 2 {
		choice, found := b.Pick(now, "m", nil, "")
		c.Assert(found, qt.IsTrue)
		choice.Sent(now, nil)
	}
	_, found = b.Pick(now, "m", nil, "")
	c.Assert(found, qt.IsFalse)
	b.GiveTokens("cold", 1)
	b.DropTokens()
	_, found = b.Pick(now, "m", nil, "")
	c.Assert(found, qt.IsFalse)
	b.SetPaced("cold", false, false)
	_, found = b.Pick(now, "m", nil, "")
	c.Assert(found, qt.IsTrue)
	c.Assert(b.Paced(now, "m", &Work{}), qt.HasLen, 0)
}

// A rate-limited runner that has not answered for limitedProbeInterval gets the next request if it has a token.
func TestTokenOfSilentLimitedRunnerIsUsed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := New(Options{Daemon: "d"}, rand.New(rand.NewPCG(1, 1)))
	b.SetPlacement(structs.Placement{
		Runners:  []structs.RunnerInfo{{ID: "paced"}, {ID: "free"}},
		Replicas: []structs.Replica{{Row: "m", Runner: "paced", State: structs.ReplicaReady}, {Row: "m", Runner: "free", State: structs.ReplicaReady}},
	})
	b.SetPaced("paced", false, true)
	for range 5 {
		b.GiveTokens("paced", 1)
		choice, found := b.Pick(now, "m", nil, "")
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.Runner(), qt.Equals, structs.RunnerID("paced"))
		choice.Sent(now, nil)
		choice.Done(now, OutcomeSuccess)
		now = now.Add(limitedProbeInterval)
	}
	b.GiveTokens("paced", 1)
	choice, _ := b.Pick(now, "m", nil, "paced")
	c.Assert(choice.Runner(), qt.Equals, structs.RunnerID("free"))
}

// A token of a cold runner is not used by every request that has an alternative.
func TestColdRunnerTokenIsNotAlwaysTaken(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := New(Options{Daemon: "d", Zone: "near", CostExponent: 3}, rand.New(rand.NewPCG(1, 1)))
	b.SetPlacement(structs.Placement{
		Runners:  []structs.RunnerInfo{{ID: "cold", Zone: "far"}, {ID: "warm", Zone: "near"}},
		Replicas: []structs.Replica{{Row: "m", Runner: "cold", State: structs.ReplicaReady}, {Row: "m", Runner: "warm", State: structs.ReplicaReady}},
	})
	b.SetPaced("cold", true, false)
	taken := 0
	for range 200 {
		b.GiveTokens("cold", 1)
		choice, found := b.Pick(now, "m", nil, "")
		c.Assert(found, qt.IsTrue)
		if choice.Runner() == "cold" {
			taken++
		}
	}
	c.Assert(taken < 200, qt.IsTrue, qt.Commentf("%d", taken))
}
