package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

func TestPartialReportsChangeOnlyListedRows(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newDemandTable()
	report := func(after time.Duration, partial bool, rows ...structs.RowDemand) {
		table.observe(now.Add(after), structs.DemandReport{Daemon: "router", Partial: partial, Rows: rows})
	}
	collect := func(after time.Duration) map[structs.RowName]scheduler.Demand {
		demands := map[structs.RowName]scheduler.Demand{}
		for _, demand := range table.collect(now.Add(after), DefaultDemandAfter, nil) {
			demands[demand.Row] = demand
		}
		return demands
	}
	report(0, false, structs.RowDemand{Row: "calm", Running: 3, Arrived: 3}, structs.RowDemand{Row: "ended", Running: 1})
	report(4*time.Second, true, structs.RowDemand{Row: "cold", Waiting: 2, Arrived: 2}, structs.RowDemand{Row: "ended"})
	seen := collect(6 * time.Second)
	qt.Check(t, seen, qt.HasLen, 2)
	qt.Check(t, seen["calm"].Running, qt.Equals, 3)
	// The later partial report omits the row, so its requests continue.
	qt.Check(t, seen["calm"].LastUsed, qt.Equals, now.Add(4*time.Second))
	qt.Check(t, seen["cold"].OldestWait, qt.Equals, 2*time.Second)
	report(7*time.Second, true)
	qt.Check(t, collect(11*time.Second), qt.HasLen, 2)
	report(11*time.Second, false, structs.RowDemand{Row: "cold", Running: 2})
	qt.Check(t, collect(11*time.Second), qt.HasLen, 1)
	qt.Check(t, collect(17*time.Second), qt.HasLen, 0)
}
