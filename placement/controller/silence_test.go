package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// silenceWorld is a zone with three runners, whose commands apply at once.
type silenceWorld struct {
	now     time.Time
	index   uint64
	epoch   structs.Epoch
	state   *zone.State
	core    *Core
	reports map[structs.RunnerID]ReportSeen
	// unlisted are off the machine list.
	unlisted map[structs.RunnerID]bool
}

var silenceRunners = []structs.RunnerID{"a", "b", "c"}

func newSilenceWorld() *silenceWorld {
	w := &silenceWorld{now: time.Unix(1000, 0), epoch: 1, state: zone.New("z"), core: New(Options{Zone: "z"}),
		reports: map[structs.RunnerID]ReportSeen{}, unlisted: map[structs.RunnerID]bool{}}
	w.pass(time.Second, silenceRunners...)
	return w
}

// pass lets time go by in which only the runners given report, and decides.
func (w *silenceWorld) pass(span time.Duration, reporting ...structs.RunnerID) {
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

// hidden lists the runners that routers are told not to choose.
func (w *silenceWorld) hidden() []structs.RunnerID {
	var hidden []structs.RunnerID
	for _, runner := range w.state.View(0, 0).Placement.Runners {
		if runner.Leaving {
			hidden = append(hidden, runner.ID)
		}
	}
	return hidden
}

func TestSilentRunnerIsHiddenFromRoutersUntilItIsHeard(t *testing.T) {
	const bound = DefaultSilentAfter
	a := []structs.RunnerID{"a"}
	tests := []struct {
		about string
		play  func(*silenceWorld)
		want  []structs.RunnerID
	}{
		{"within the bound", func(w *silenceWorld) { w.pass(bound, "b", "c") }, nil},
		{"after the bound", func(w *silenceWorld) { w.pass(bound+1, "b", "c") }, a},
		{"when the machine list has dropped it", func(w *silenceWorld) {
			w.unlisted["a"] = true
			w.pass(bound+1, "b", "c")
		}, a},
		{"heard again", func(w *silenceWorld) {
			w.pass(bound+1, "b", "c")
			w.pass(1, "a")
		}, nil},
		{"a new leader has not heard of it either", func(w *silenceWorld) {
			w.pass(bound+1, "b", "c")
			w.epoch++
			w.pass(1, "b", "c")
		}, a},
		{"most are silent, so the leader may be cut off", func(w *silenceWorld) { w.pass(bound+1, "c") }, nil},
		{"the leader is cut off once one is hidden", func(w *silenceWorld) {
			w.pass(bound+1, "b", "c")
			w.pass(bound + 1)
		}, a},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			w := newSilenceWorld()
			test.play(w)
			qt.Assert(t, w.hidden(), qt.DeepEquals, test.want)
		})
	}
}

func TestARoutersWordKeepsARunnerInUseAndFreesNothing(t *testing.T) {
	w := newSilenceWorld()
	w.pass(time.Second, silenceRunners...)
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
	qt.Assert(t, decisions.Commands, qt.HasLen, 0, qt.Commentf("all at once may be the leader's own fault"))
	delete(relayed, silenceRunners[0])
	decisions = w.core.Decide(Input{Now: w.now, Epoch: w.epoch, LeaseValid: true, State: w.state, Reports: w.reports, Relayed: relayed})
	qt.Assert(t, decisions.Commands, qt.HasLen, 1)
	qt.Assert(t, decisions.Commands[0].Runner.Info.Silent, qt.IsTrue)
}
