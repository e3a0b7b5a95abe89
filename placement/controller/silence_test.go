package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// silenceFixture is a zone with three runners whose commands are applied at once.
type silenceFixture struct {
	now     time.Time
	index   uint64
	epoch   structs.Epoch
	state   *zone.State
	core    *Core
	reports map[structs.RunnerID]ReportSeen
	// unlisted are missing from the machine list.
	unlisted map[structs.RunnerID]bool
}

var silenceRunners = []structs.RunnerID{"a", "b", "c"}

func newSilenceFixture() *silenceFixture {
	w := &silenceFixture{now: time.Unix(1000, 0), epoch: 1, state: zone.New("z"), core: New(Options{Zone: "z"}),
		reports: map[structs.RunnerID]ReportSeen{}, unlisted: map[structs.RunnerID]bool{}}
	w.advance(time.Second, silenceRunners...)
	return w
}

// advance advances the time, with reports of the given runners only, and decides.
func (w *silenceFixture) advance(span time.Duration, reporting ...structs.RunnerID) {
	w.now = w.now.Add(span)
	for _, id := range reporting {
		w.reports[id] = ReportSeen{structs.EngineReport{Runner: id, Incarnation: 1, MemoryBytes: 1 << 30}, w.now}
	}
	input := Input{Now: w.now, Epoch: w.epoch, LeaseValid: true, State: w.state, Reports: w.reports}
	for _, id := range silenceRunners {
		if !w.unlisted[id] {
			input.Machines = append(input.Machines, structs.Machine{Runner: id, Zone: "z", State: structs.MachineLive})
		}
	}
	for _, command := range w.core.Decide(input).Commands {
		w.index++
		w.state.Apply(w.index, command)
	}
}

// hidden returns the runners that routers must not choose.
func (w *silenceFixture) hidden() []structs.RunnerID {
	var hidden []structs.RunnerID
	for _, runner := range w.state.View(0, 0).Placement.Runners {
		if runner.Leaving {
			hidden = append(hidden, runner.ID)
		}
	}
	return hidden
}

func TestSilentRunnerIsHiddenFromRoutersUntilItReports(t *testing.T) {
	const bound = DefaultSilentAfter
	a := []structs.RunnerID{"a"}
	tests := []struct {
		name string
		run  func(*silenceFixture)
		want []structs.RunnerID
	}{
		{"within the bound", func(w *silenceFixture) { w.advance(bound, "b", "c") }, nil},
		{"after the bound", func(w *silenceFixture) { w.advance(bound+1, "b", "c") }, a},
		{"missing from the machine list", func(w *silenceFixture) {
			w.unlisted["a"] = true
			w.advance(bound+1, "b", "c")
		}, a},
		{"reports again", func(w *silenceFixture) {
			w.advance(bound+1, "b", "c")
			w.advance(1, "a")
		}, nil},
		{"still silent under a new leader", func(w *silenceFixture) {
			w.advance(bound+1, "b", "c")
			w.epoch++
			w.advance(1, "b", "c")
		}, a},
		{"most are silent, so the leader may be partitioned", func(w *silenceFixture) { w.advance(bound+1, "c") }, nil},
		{"leader is partitioned after one is hidden", func(w *silenceFixture) {
			w.advance(bound+1, "b", "c")
			w.advance(bound + 1)
		}, a},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newSilenceFixture()
			test.run(w)
			qt.Assert(t, w.hidden(), qt.DeepEquals, test.want)
		})
	}
}

func TestRelayedReportsKeepRunnersAliveAndFreeNothing(t *testing.T) {
	w := newSilenceFixture()
	w.advance(time.Second, silenceRunners...)
	before := w.state.Runners()
	relayed := map[structs.RunnerID]time.Time{}
	for range 30 {
		w.now = w.now.Add(time.Second)
		for _, id := range silenceRunners {
			relayed[id] = w.now
		}
		decisions := w.core.Decide(Input{Now: w.now, Epoch: w.epoch, LeaseValid: true, State: w.state, Reports: w.reports, Relayed: relayed})
		qt.Assert(t, decisions.Commands, qt.HasLen, 0)
	}
	qt.Assert(t, w.state.Runners(), qt.DeepEquals, before)
	decisions := w.core.Decide(Input{Now: w.now, Epoch: w.epoch, LeaseValid: true, State: w.state, Reports: w.reports})
	qt.Assert(t, decisions.Commands, qt.HasLen, 0, qt.Commentf("if all are silent, the leader may be partitioned"))
	delete(relayed, silenceRunners[0])
	decisions = w.core.Decide(Input{Now: w.now, Epoch: w.epoch, LeaseValid: true, State: w.state, Reports: w.reports, Relayed: relayed})
	qt.Assert(t, decisions.Commands, qt.HasLen, 1)
	qt.Assert(t, decisions.Commands[0].Runner.Info.Silent, qt.IsTrue)
}
