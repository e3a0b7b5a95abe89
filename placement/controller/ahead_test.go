package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// aheadWorld is a zone with the empty runners r-0 and r-1, of 100 bytes each, and the
// rows a and b of 60 bytes.
type aheadWorld struct {
	state *zone.State
	index uint64
	core  *Core
	input Input
}

func newAheadWorld(c *qt.C, now time.Time) *aheadWorld {
	settings := scheduler.DefaultSettings()
	settings.StoreBytesPerSecond = 10
	w := &aheadWorld{state: zone.New("z"), core: New(Options{Zone: "z", Settings: settings})}
	delta := &structs.TableDelta{Revision: 1, Full: true}
	for _, name := range []structs.RowName{"a", "b"} {
		delta.Rows = append(delta.Rows, structs.Row{Name: name, Kind: structs.RowModel, MemoryBytes: 60, Weight: 1})
		delta.Grants = append(delta.Grants, structs.Grant{Row: name, Zone: "z", Limit: 2, Held: 2})
	}
	w.apply(c, zone.Command{Adopt: delta})
	w.input = Input{Epoch: 1, LeaseValid: true, State: w.state, StoreBudget: 2, Reports: map[structs.RunnerID]ReportSeen{}}
	for _, id := range []structs.RunnerID{"r-0", "r-1"} {
		info := structs.RunnerInfo{ID: id, Zone: "z", Incarnation: 1, MemoryBytes: 100}
		w.apply(c, zone.Command{Runner: &zone.RunnerCommand{Info: info}})
		w.input.Machines = append(w.input.Machines, structs.Machine{Runner: id, Zone: "z", State: structs.MachineLive})
	}
	w.at(now)
	return w
}

func (w *aheadWorld) apply(c *qt.C, command zone.Command) {
	w.index++
	c.Assert(w.state.Apply(w.index, command).Error == nil, qt.IsTrue)
}

// at lets all runners report at the time.
func (w *aheadWorld) at(now time.Time) {
	w.input.Now = now
	for _, machine := range w.input.Machines {
		report := structs.EngineReport{Runner: machine.Runner, Incarnation: 1, MemoryBytes: 100}
		w.input.Reports[machine.Runner] = ReportSeen{report, now}
	}
}

// reserved decides and returns the rows for which memory is reserved.
func (w *aheadWorld) reserved() []structs.RowName {
	var rows []structs.RowName
	for _, command := range w.core.Decide(w.input).Commands {
		if command.Reserve != nil {
			rows = append(rows, command.Reserve.Row)
		}
	}
	return rows
}

func (w *aheadWorld) arrives(row structs.RowName, waiting int) {
	w.core.ObserveDemand(w.input.Now, structs.DemandReport{
		Daemon: "router", Rows: []structs.RowDemand{{Row: row, Waiting: waiting, Arrived: 1}},
	})
}

func TestRowsAreLoadedAheadOfTheirUsualHour(t *testing.T) {
	c := qt.New(t)
	monday := time.Date(2026, 9, 7, 9, 0, 0, 0, time.UTC)
	w := newAheadWorld(c, monday)
	w.arrives("a", 0)
	w.reserved()
	// Nothing is loaded ahead in an hour that has not been watched before.
	w.at(monday.Add(10 * time.Hour))
	c.Assert(w.reserved(), qt.HasLen, 0)
	w.at(monday.Add(24 * time.Hour))
	c.Assert(w.reserved(), qt.DeepEquals, []structs.RowName{"a"})
	w.arrives("a", 0)
	// The member leads again, after others did for a week.
	w.input.Epoch = 3
	w.at(monday.Add(8 * 24 * time.Hour))
	c.Assert(w.reserved(), qt.DeepEquals, []structs.RowName{"a"})
}

func TestAPrefetchUnderWayCountsAgainstTheStoreBudget(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*aheadWorld)
		want   []structs.RowName
	}{
		{"its order is not accepted yet", func(*aheadWorld) {}, nil},
		{"its order is accepted, and its record ended", func(w *aheadWorld) {
			c := qt.New(t)
			w.apply(c, zone.Command{Prefetch: &zone.PrefetchCommand{Runner: "r-0", Incarnation: 1}})
		}, nil},
		{"its checkpoint is there", func(w *aheadWorld) {
			seen := w.input.Reports["r-0"]
			seen.Report.Cached = []structs.CachedRow{{Row: "a", Tier: structs.TierDisk}}
			w.input.Reports["r-0"] = seen
		}, []structs.RowName{"b"}},
		{"it failed or was refused", func(w *aheadWorld) {
			// 24 s at four times the read time of 6 s, and 5 s.
			w.at(w.input.Now.Add(30 * time.Second))
			w.arrives("b", 1)
		}, []structs.RowName{"b"}},
		{"its runner is leaving", func(w *aheadWorld) { w.input.Machines[0].State = structs.MachineLeaving }, []structs.RowName{"b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newAheadWorld(c, claimTime)
			w.input.StoreBudget = 1
			w.apply(c, zone.Command{Prefetch: &zone.PrefetchCommand{Row: "a", Runner: "r-0", Incarnation: 1}})
			w.core.Decide(w.input)
			w.arrives("b", 1)
			test.change(w)
			c.Assert(w.reserved(), qt.DeepEquals, test.want)
		})
	}
}
