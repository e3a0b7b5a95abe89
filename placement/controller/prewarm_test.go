package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// prewarmFixture is a zone with the empty runners r-0 and r-1, of 100 bytes each, and the
// rows a and b of 60 bytes.
type prewarmFixture struct {
	state *zone.State
	index uint64
	core  *Core
	input Input
}

func newPrewarmFixture(c *qt.C, now time.Time) *prewarmFixture {
	settings := scheduler.DefaultSettings()
	settings.StoreBytesPerSecond = 10
	w := &prewarmFixture{state: zone.New("z"), core: New(Options{Zone: "z", Settings: settings})}
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
	w.reportAt(now)
	return w
}

func (w *prewarmFixture) apply(c *qt.C, command zone.Command) {
	w.index++
	c.Assert(w.state.Apply(w.index, command).Error == nil, qt.IsTrue)
}

// reportAt sets the time and lets all runners report.
func (w *prewarmFixture) reportAt(now time.Time) {
	w.input.Now = now
	for _, machine := range w.input.Machines {
		report := structs.EngineReport{Runner: machine.Runner, Incarnation: 1, MemoryBytes: 100}
		w.input.Reports[machine.Runner] = ReportSeen{report, now}
	}
}

// decideReservedRows decides and returns the rows for which memory is reserved.
func (w *prewarmFixture) decideReservedRows() []structs.RowName {
	var rows []structs.RowName
	for _, command := range w.core.Decide(w.input).Commands {
		if command.Reserve != nil {
			rows = append(rows, command.Reserve.Row)
		}
	}
	return rows
}

func (w *prewarmFixture) observeArrival(row structs.RowName, waiting int) {
	w.core.ObserveDemand(w.input.Now, structs.DemandReport{
		Daemon: "router", Rows: []structs.RowDemand{{Row: row, Waiting: waiting, Arrived: 1}},
	})
}

func TestRowsArePrewarmedInTheirUsualHour(t *testing.T) {
	c := qt.New(t)
	monday := time.Date(2026, 9, 7, 9, 0, 0, 0, time.UTC)
	w := newPrewarmFixture(c, monday)
	w.observeArrival("a", 0)
	w.decideReservedRows()
	// Nothing is prewarmed in an hour that was not observed before.
	w.reportAt(monday.Add(10 * time.Hour))
	c.Assert(w.decideReservedRows(), qt.HasLen, 0)
	w.reportAt(monday.Add(24 * time.Hour))
	c.Assert(w.decideReservedRows(), qt.DeepEquals, []structs.RowName{"a"})
	w.observeArrival("a", 0)
	// The member leads again after a week of other leaders.
	w.input.Epoch = 3
	w.reportAt(monday.Add(8 * 24 * time.Hour))
	c.Assert(w.decideReservedRows(), qt.DeepEquals, []structs.RowName{"a"})
}

func TestOpenPrefetchCountsAgainstStoreBudget(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*prewarmFixture)
		want   []structs.RowName
	}{
		{"order is not accepted yet", func(*prewarmFixture) {}, nil},
		{"order is accepted and its record removed", func(w *prewarmFixture) {
			c := qt.New(t)
			w.apply(c, zone.Command{Prefetch: &zone.PrefetchCommand{Runner: "r-0", Incarnation: 1}})
		}, nil},
		{"checkpoint is cached", func(w *prewarmFixture) {
			seen := w.input.Reports["r-0"]
			seen.Report.Cached = []structs.CachedRow{{Row: "a", Tier: structs.TierDisk}}
			w.input.Reports["r-0"] = seen
		}, []structs.RowName{"b"}},
		{"prefetch failed or was refused", func(w *prewarmFixture) {
			// Later than 4 times the read time of 6 s, plus 5 s.
			w.reportAt(w.input.Now.Add(30 * time.Second))
			w.observeArrival("b", 1)
		}, []structs.RowName{"b"}},
		{"runner is leaving", func(w *prewarmFixture) { w.input.Machines[0].State = structs.MachineLeaving }, []structs.RowName{"b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newPrewarmFixture(c, claimTime)
			w.input.StoreBudget = 1
			w.apply(c, zone.Command{Prefetch: &zone.PrefetchCommand{Row: "a", Runner: "r-0", Incarnation: 1}})
			w.core.Decide(w.input)
			w.observeArrival("b", 1)
			test.change(w)
			c.Assert(w.decideReservedRows(), qt.DeepEquals, test.want)
		})
	}
}
