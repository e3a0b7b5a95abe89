package router

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestDemandIsUrgentOnlyForRowsWithoutAReplica(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(nil)
	s.c.Assert(s.core.DemandUrgent(), qt.IsFalse)
	for id := range 8 {
		s.arrive(func(r *structs.Request) { r.ID, r.Row = structs.RequestID(fmt.Sprint(id)), "cold" })
		// A new report is urgent only when the waiting requests have doubled.
		told := id == 0 || id == 1 || id == 3 || id == 7
		s.c.Assert(s.core.DemandUrgent(), qt.Equals, told, qt.Commentf("%d wait", id+1))
		if !told {
			continue
		}
		report, send := s.core.DemandOf(DemandWaiting)
		s.c.Assert(send, qt.IsTrue)
		s.c.Assert(report.Partial, qt.IsTrue)
		s.c.Assert(report.Rows, qt.HasLen, 1)
		s.c.Check(report.Rows[0].Waiting, qt.Equals, id+1)
		s.c.Check(report.Rows[0].Unserved, qt.IsTrue)
		s.c.Check(s.core.DemandUrgent(), qt.IsFalse)
	}
}

func TestDemandListsOnlyChangedRows(t *testing.T) {
	s := newScript(t, nil)
	reports := func(scope DemandScope, want ...structs.RowDemand) {
		t.Helper()
		report, _ := s.core.DemandOf(scope)
		s.c.Assert(report.Rows, qt.DeepEquals, want)
	}
	s.arrive(nil)
	sent := only[SendAttempt](s)
	reports(DemandWaiting)
	reports(DemandChanged, structs.RowDemand{Row: "row", Running: 1, Arrived: 1})
	reports(DemandChanged)
	reports(DemandWhole, structs.RowDemand{Row: "row", Running: 1})
	s.do(TokenReceived{Attempt: sent.Attempt, Token: structs.Token{ID: sent.Generate.ID, Text: "all", Finish: structs.FinishStop}})
	reports(DemandChanged, structs.RowDemand{Row: "row"})
	_, send := s.core.DemandOf(DemandChanged)
	s.c.Check(send, qt.IsFalse)
	s.c.Check(s.core.active, qt.HasLen, 0)
}

func TestWholeReportIsDueWhenTheLeaderMayLackEarlierOnes(t *testing.T) {
	const interval = 500 * time.Millisecond
	start := time.Unix(1000, 0)
	tests := []struct {
		about  string
		change func(*DemandSchedule)
		after  time.Duration
		want   DemandScope
	}{
		{"nothing happened", func(*DemandSchedule) {}, interval, DemandWaiting},
		{"the changed rows are due", func(*DemandSchedule) {}, changedEvery * interval, DemandChanged},
		{"a report failed", (*DemandSchedule).Failed, interval, DemandWhole},
		{"another leader took a report", func(s *DemandSchedule) { s.Acknowledged(start, DemandChanged, 8) }, interval, DemandWhole},
		{"the last report is stale", func(*DemandSchedule) {}, staleAfter, DemandWhole},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s := NewDemandSchedule(interval)
			qt.Assert(t, s.Next(start), qt.Equals, DemandWhole)
			s.Acknowledged(start, DemandWhole, 7)
			test.change(s)
			qt.Assert(t, s.Next(start.Add(test.after)), qt.Equals, test.want)
		})
	}
}
