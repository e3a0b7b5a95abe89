package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// newTwoRunners returns a Balancer with the rows m and n on two runners.
func newTwoRunners() *Balancer {
	b := New(Options{Daemon: "d", UseFailing: true}, rand.New(rand.NewPCG(1, 1)))
	placement := structs.Placement{Runners: []structs.RunnerInfo{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z2"}}}
	for _, runner := range placement.Runners {
		for _, row := range []structs.RowName{"m", "n"} {
			placement.Replicas = append(placement.Replicas, structs.Replica{Row: row, Runner: runner.ID, State: structs.ReplicaReady})
		}
	}
	b.SetPlacement(placement)
	return b
}

// send picks a runner, records a sent request and reports whether there was a runner.
func send(b *Balancer, now time.Time, row structs.RowName) (Choice, bool) {
	choice, found := b.Pick(now, row, nil, "")
	if found {
		choice.Sent(now, nil)
	}
	return choice, found
}

func TestRunnerInRequestedCooldownIsNotPicked(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newTwoRunners()
	before, _ := b.PickFor(now, "m", &Work{Excluded: "b"})
	before.Sent(now, nil)
	b.CoolDown("a", now.Add(3*time.Second))
	c.Assert(before.AcceptsRequests(now), qt.IsFalse)
	// Neither the answer to an earlier request nor a shorter cooldown ends it.
	c.Assert(before.RecordAccepted(), qt.IsFalse)
	before.Done(now, OutcomeSuccess)
	b.CoolDown("a", now.Add(time.Second))
	for _, row := range []structs.RowName{"m", "n"} {
		for range 20 {
			choice, found := b.Pick(now.Add(2999*time.Millisecond), row, nil, "")
			c.Assert(found, qt.IsTrue)
			c.Assert(choice.Runner(), qt.Equals, structs.RunnerID("b"))
		}
	}
	b.Leave("b")
	_, found := b.Pick(now, "m", nil, "")
	c.Assert(found, qt.IsFalse)
}

func TestRunnerIsProbedOneRequestAtATimeAfterCooldown(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newTwoRunners()
	b.Leave("b")
	end := now.Add(3 * time.Second)
	b.CoolDown("a", end)
	first, found := send(b, end, "m")
	c.Assert(found, qt.IsTrue)
	c.Assert(first.ProbeDelay(end), qt.Equals, probeInterval)
	_, found = send(b, end, "n")
	c.Assert(found, qt.IsFalse)
	// After probeInterval another probe is sent without an answer to the first.
	second, found := send(b, end.Add(probeInterval), "n")
	c.Assert(found, qt.IsTrue)
	_, found = send(b, end.Add(probeInterval), "m")
	c.Assert(found, qt.IsFalse)
	// The runner accepts requests again.
	c.Assert(first.RecordAccepted(), qt.IsTrue)
	c.Assert(second.RecordAccepted(), qt.IsFalse)
	for range 5 {
		choice, found := send(b, end.Add(probeInterval), "m")
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.ProbeDelay(end.Add(probeInterval)), qt.Equals, time.Duration(0))
	}
}

func TestRowCooldownEndsWithFirstRunner(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newTwoRunners()
	cooldownFor := func(work Work) time.Duration {
		until, isCooling := b.CooldownEnd(now, "m", &work)
		if !isCooling {
			return 0
		}
		return until.Sub(now)
	}
	b.CoolDown("a", now.Add(3*time.Second))
	c.Assert(cooldownFor(Work{}), qt.Equals, time.Duration(0))
	// Work restricted to the one runner waits for its cooldown.
	c.Assert(cooldownFor(Work{Excluded: "b"}), qt.Equals, 3*time.Second)
	c.Assert(cooldownFor(Work{Zones: map[structs.ZoneID]bool{"z1": true}}), qt.Equals, 3*time.Second)
	b.CoolDown("b", now.Add(2*time.Second))
	c.Assert(cooldownFor(Work{}), qt.Equals, 2*time.Second)
	b.Leave("b")
	c.Assert(cooldownFor(Work{}), qt.Equals, 3*time.Second)
	b.Leave("a")
	c.Assert(cooldownFor(Work{}), qt.Equals, time.Duration(0))
	_, isCooling := b.CooldownEnd(now, "unknown", &Work{})
	c.Assert(isCooling, qt.IsFalse)
}

// Runners outside the subset replace its members that cool down or leave, until none is left.
func TestSubsetReplacesCoolingAndLeavingRunners(t *testing.T) {
	for name, lose := range map[string]func(b *Balancer, id structs.RunnerID, until time.Time){
		"cooldown": func(b *Balancer, id structs.RunnerID, until time.Time) { b.CoolDown(id, until) },
		"leave":    func(b *Balancer, id structs.RunnerID, _ time.Time) { b.Leave(id) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			const size, runners = 3, 8
			b := New(Options{Daemon: "d", SubsetSize: size}, rand.New(rand.NewPCG(1, 1)))
			var placement structs.Placement
			for i := range runners {
				id := structs.RunnerID(rune('a' + i))
				placement.Runners = append(placement.Runners, structs.RunnerInfo{ID: id})
				placement.Replicas = append(placement.Replicas, structs.Replica{Row: "m", Runner: id, State: structs.ReplicaReady})
			}
			b.SetPlacement(placement)
			lost := make(map[structs.RunnerID]bool)
			for len(lost) < runners {
				choice, found := b.Pick(now, "m", nil, "")
				c.Assert(found, qt.IsTrue)
				c.Assert(lost[choice.Runner()], qt.IsFalse)
				lost[choice.Runner()] = true
				lose(b, choice.Runner(), now.Add(time.Hour))
			}
			_, found := b.Pick(now, "m", nil, "")
			c.Assert(found, qt.IsFalse)
			_, isCooling := b.CooldownEnd(now, "m", &Work{})
			c.Assert(isCooling, qt.Equals, name == "cooldown")
		})
	}
}
