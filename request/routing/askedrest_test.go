package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// newTwoRunners places the rows m and n on two runners.
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

// send picks a runner and counts a request to it; it returns false if there is none.
func send(b *Balancer, now time.Time, row structs.RowName) (Choice, bool) {
	choice, found := b.Pick(now, row, nil, "")
	if found {
		choice.Sent(now, nil)
	}
	return choice, found
}

func TestRunnerThatAskedForRestIsChosenForNoRow(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newTwoRunners()
	before, _ := b.PickFor(now, "m", &Work{Barred: "b"})
	before.Sent(now, nil)
	b.Rest("a", now.Add(3*time.Second))
	c.Assert(before.IsWanted(now), qt.IsFalse)
	// The answer to what was sent before ends nothing, and neither does a shorter rest.
	c.Assert(before.Took(), qt.IsFalse)
	before.Done(now, OutcomeSuccess)
	b.Rest("a", now.Add(time.Second))
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

func TestOneRequestAtATimeTriesARunnerAfterItsRest(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newTwoRunners()
	b.Leave("b")
	end := now.Add(3 * time.Second)
	b.Rest("a", end)
	first, found := send(b, end, "m")
	c.Assert(found, qt.IsTrue)
	c.Assert(first.NextTry(end), qt.Equals, trialPause)
	_, found = send(b, end, "n")
	c.Assert(found, qt.IsFalse)
	// A slow answer holds the others up for a moment only.
	second, found := send(b, end.Add(trialPause), "n")
	c.Assert(found, qt.IsTrue)
	_, found = send(b, end.Add(trialPause), "m")
	c.Assert(found, qt.IsFalse)
	// It takes requests again.
	c.Assert(first.Took(), qt.IsTrue)
	c.Assert(second.Took(), qt.IsFalse)
	for range 5 {
		choice, found := send(b, end.Add(trialPause), "m")
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.NextTry(end.Add(trialPause)), qt.Equals, time.Duration(0))
	}
}

func TestRowRestsUntilTheFirstOfItsRunnersTakesRequests(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newTwoRunners()
	restsFor := func(work Work) time.Duration {
		until, isResting := b.RestsUntil(now, "m", &work)
		if !isResting {
			return 0
		}
		return until.Sub(now)
	}
	b.Rest("a", now.Add(3*time.Second))
	c.Assert(restsFor(Work{}), qt.Equals, time.Duration(0))
	// Who may have the one runner alone rests with it.
	c.Assert(restsFor(Work{Barred: "b"}), qt.Equals, 3*time.Second)
	c.Assert(restsFor(Work{Zones: map[structs.ZoneID]bool{"z1": true}}), qt.Equals, 3*time.Second)
	b.Rest("b", now.Add(2*time.Second))
	c.Assert(restsFor(Work{}), qt.Equals, 2*time.Second)
	b.Leave("b")
	c.Assert(restsFor(Work{}), qt.Equals, 3*time.Second)
	b.Leave("a")
	c.Assert(restsFor(Work{}), qt.Equals, time.Duration(0))
	_, isResting := b.RestsUntil(now, "unknown", &Work{})
	c.Assert(isResting, qt.IsFalse)
}

// Of a row with more replicas than a daemon uses, all of its subset rest or leave: others take their places.
func TestOthersTakeThePlacesOfRunnersThatRestOrLeave(t *testing.T) {
	for name, lose := range map[string]func(b *Balancer, id structs.RunnerID, until time.Time){
		"rest":  func(b *Balancer, id structs.RunnerID, until time.Time) { b.Rest(id, until) },
		"leave": func(b *Balancer, id structs.RunnerID, _ time.Time) { b.Leave(id) },
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
			_, isResting := b.RestsUntil(now, "m", &Work{})
			c.Assert(isResting, qt.Equals, name == "rest")
		})
	}
}
