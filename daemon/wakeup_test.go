package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/structs"
)

// signalled reports whether work broadcasts on the notifier.
func signalled(changed *notifier, work func()) bool {
	next := changed.wait()
	work()
	select {
	case <-next:
		return true
	default:
		return false
	}
}

func TestOnlyUnservedDemandSignalsLeader(t *testing.T) {
	tests := []struct {
		about string
		row   structs.RowDemand
		wakes bool
	}{
		{"a cold row is waited for", structs.RowDemand{Row: "r", Waiting: 1, Unserved: true}, true},
		{"a loaded row is waited for", structs.RowDemand{Row: "r", Waiting: 9, Running: 64}, false},
		{"requests of a cold row were refused", structs.RowDemand{Row: "r", Arrived: 1, Unserved: true}, false},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			queue := newDemandQueue()
			report := structs.DemandReport{Daemon: "router", Rows: []structs.RowDemand{test.row}}
			qt.Check(t, signalled(&queue.unserved, func() { queue.put(report) }), qt.Equals, test.wakes)
			qt.Check(t, queue.take(), qt.DeepEquals, []structs.DemandReport{report})
		})
	}
}

func TestMachineListSignalsOnlyChanges(t *testing.T) {
	observer := newEngineObserver(log.NewNopLogger(), "z", "", nil, config.Timing{})
	list := func(state structs.MachineState) func() {
		return func() { observer.setMachines([]structs.Machine{{Runner: "a", Zone: "z", State: state}}) }
	}
	qt.Check(t, signalled(&observer.machinesChanged, list(structs.MachineLive)), qt.IsTrue)
	qt.Check(t, signalled(&observer.machinesChanged, list(structs.MachineLive)), qt.IsFalse)
	qt.Check(t, signalled(&observer.machinesChanged, list(structs.MachineLeaving)), qt.IsTrue)
}

func TestWatchOfTheTableCarriesOnlyWhatChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1})
		s.applyRows(3)
		operators := s.daemons[0].operators
		before, err := operators.Table(s.ctx)
		s.Assert(err, qt.IsNil)
		changed := before.Rows[1]
		changed.Weight++
		edit := structs.Edit{ID: "one", Author: "test", Changes: []structs.RowChange{{Row: changed, BaseRevision: changed.Revision}}}
		result, err := operators.Apply(s.ctx, edit, false)
		s.Assert(err, qt.IsNil)
		s.Assert(result.Problems, qt.HasLen, 0)
		changes, err := operators.Watch(s.ctx, before.Revision, time.Minute)
		s.Assert(err, qt.IsNil)
		s.Assert(changes.Full, qt.IsFalse)
		s.Assert(changes.Rows, qt.HasLen, 1)
		after, err := operators.Table(s.ctx)
		s.Assert(err, qt.IsNil)
		s.Check(changes.Apply(before), qt.DeepEquals, after)
		nothing, err := operators.Watch(s.ctx, after.Revision, 0)
		s.Assert(err, qt.IsNil)
		s.Check(nothing.Rows, qt.HasLen, 0)
		s.Check(nothing.Full, qt.IsFalse)
	})
}
