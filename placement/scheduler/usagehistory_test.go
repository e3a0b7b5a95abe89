package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

// monday is the first hour of a week.
var monday = time.Date(2026, 9, 7, 0, 0, 0, 0, time.UTC)

func at(day, hour int) time.Time {
	return monday.AddDate(0, 0, day).Add(time.Duration(hour) * time.Hour)
}

func TestExpectedUsesSameHourOfEarlierDaysOfKind(t *testing.T) {
	const certain = 2 / (2 + historyPrior)
	for _, test := range []struct {
		name string
		uses []time.Time
		now  time.Time
		want float64
	}{
		{"first day", []time.Time{at(0, 9)}, at(0, 9), 0},
		{"used on each working day", []time.Time{at(0, 9), at(1, 9)}, at(2, 9), certain},
		{"used in another hour", []time.Time{at(0, 9), at(1, 9)}, at(2, 12), 0},
		{"current day does not count", []time.Time{at(0, 9), at(1, 9), at(2, 9)}, at(2, 9), certain},
		{"used on one of two days", []time.Time{at(0, 9), at(1, 12)}, at(2, 9), certain / 2},
		{"working days do not predict the weekend", []time.Time{at(0, 9), at(4, 9)}, at(5, 9), 0},
		{"weekend does not predict working days", []time.Time{at(0, 8), at(5, 9), at(6, 9)}, at(7, 9), 0},
		{"Saturday predicts Sunday", []time.Time{at(0, 8), at(5, 9)}, at(6, 9), 1 / (1 + historyPrior)},
		{"half an hour before", []time.Time{at(0, 9)}, at(1, 8).Add(30 * time.Minute), 1 - 0.577350},
		{"use older than the history", []time.Time{at(0, 9)}, at(28, 9), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			history := NewUsageHistory()
			for hour := test.uses[0]; !hour.After(test.now); hour = hour.Add(time.Hour) {
				history.MarkObserved(hour)
				if slices.Contains(test.uses, hour) {
					history.Observe(hour, "a")
				}
			}
			got := 0.0
			if list := history.Expected(test.now, 1e-9, 1); len(list) > 0 {
				got = list[0].Probability
			}
			qt.Assert(t, got > test.want-1e-6 && got < test.want+1e-6, qt.IsTrue, qt.Commentf("got %v, want %v", got, test.want))
		})
	}
}

func TestUnobservedHoursDoNotCount(t *testing.T) {
	history := NewUsageHistory()
	history.Observe(at(0, 9), "a")
	// Another member leads on Tuesday, on Wednesday and until noon on Thursday.
	history.MarkObserved(at(3, 12))
	want := []Expectation{{"a", 1 / (1 + historyPrior)}}
	qt.Assert(t, history.Expected(at(4, 9), 0.1, 1), qt.DeepEquals, want)
}

func TestRowsWithoutUseInHistoryAreDropped(t *testing.T) {
	history := NewUsageHistory()
	history.Observe(at(0, 9), "a")
	history.Observe(at(7, 9), "b")
	qt.Assert(t, history.ExpectedSoon(at(7, 10)), qt.HasLen, 0)
	qt.Assert(t, history.rows, qt.HasLen, 2)
	history.ExpectedSoon(at(10, 9))
	qt.Assert(t, history.rows, qt.HasLen, 1)
}

func TestExpectedIsSortedAndBounded(t *testing.T) {
	history := NewUsageHistory()
	for _, row := range []structs.RowName{"c", "a", "b"} {
		history.Observe(at(0, 9), row)
	}
	history.Observe(at(1, 9), "b")
	history.Observe(at(1, 12), "a")
	var names []structs.RowName
	for _, expectation := range history.Expected(at(2, 9), 0.1, 2) {
		names = append(names, expectation.Row)
	}
	qt.Assert(t, names, qt.DeepEquals, []structs.RowName{"b", "a"})
}

func TestExpectedSelectsMostLikelyOfMany(t *testing.T) {
	history := NewUsageHistory()
	for day := range 3 {
		for i := range 1000 {
			if day < 2-i%2 || i%10 == 0 {
				history.Observe(at(day, 9), structs.RowName(fmt.Sprintf("%03d", i)))
			}
		}
	}
	all := history.Expected(at(3, 9), 0.1, 1000)
	qt.Assert(t, all, qt.HasLen, 1000)
	qt.Assert(t, history.Expected(at(3, 9), 0.1, 150), qt.DeepEquals, all[:150])
}

func expects(row structs.RowName) setup {
	return func(s *Snapshot) { s.Expected = append(s.Expected, Expectation{row, 1}) }
}

func reserves(bytes int64) setup { return func(s *Snapshot) { s.Settings.ReserveBytes = bytes } }

func storeBudgetForOneRead(s *Snapshot) { s.StoreLoadBudget = 1 }

func cheapColdStarts(s *Snapshot) { s.Settings.LatencyColdStartWorth = 1 }

func TestPlanPrewarmAndReserve(t *testing.T) {
	ready := structs.ReplicaReady
	for _, test := range []struct {
		name    string
		setups  []setup
		loads   []LoadDecision
		unloads []UnloadDecision
	}{
		{"expected row is prewarmed", []setup{expects("b")}, []LoadDecision{{"b", "r1", structs.TierStore, ReasonPrewarm}}, nil},
		{"one prewarm per plan", []setup{expects("b"), expects("a")}, []LoadDecision{{"b", "r1", structs.TierStore, ReasonPrewarm}}, nil},
		{"requests come before prewarms", []setup{expects("b"), wants("a", 1, 0)}, []LoadDecision{{"a", "r1", structs.TierStore, ReasonDemand}}, nil},
		{"adapter is prewarmed with its base", []setup{expects("t")}, []LoadDecision{
			{"a", "r1", structs.TierStore, ReasonBase}, {"t", "r1", structs.TierStore, ReasonPrewarm},
		}, nil},
		{"no grant", []setup{expects("b"), limits("b", 0)}, nil, nil},
		{"last store read is left for requests", []setup{expects("b"), storeBudgetForOneRead}, nil, nil},
		{"cold start is worth too little", []setup{expects("b"), cheapColdStarts}, nil, nil},
		{"nothing is evicted for a prewarm", []setup{oneRunner, expects("b"), places("a", 0, ready, 0), usedAgo("a", time.Minute), longKeepAlive}, nil, nil},
		{"expected row is kept when idle", []setup{expects("a"), places("a", 0, ready, 0), usedAgo("a", 30*24*time.Hour)}, nil, nil},
		{"reserve is freed", []setup{
			oneRunner, reserves(20), memory("a", 90), places("a", 0, ready, 0), usedAgo("a", time.Minute), longKeepAlive,
		}, nil, []UnloadDecision{{"a", "r1", ReasonReserve}}},
		{"reserve is free on another runner", []setup{
			reserves(20), memory("a", 90), places("a", 0, ready, 0), usedAgo("a", time.Minute), longKeepAlive,
		}, nil, nil},
		{"reserve is a large part of the memory", []setup{
			oneRunner, reserves(34), memory("a", 90), places("a", 0, ready, 0), usedAgo("a", time.Minute), longKeepAlive,
		}, nil, nil},
		{"busy replica is not unloaded for the reserve", []setup{oneRunner, reserves(20), memory("a", 90), places("a", 0, ready, 1), wants("a", 0, 1)}, nil, nil},
		{"prewarm does not use the reserve", []setup{oneRunner, reserves(20), memory("b", 90), expects("b")}, nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			snapshot := newTestSnapshot()
			snapshot.Settings.LatencyColdStartWorth = expectationSeconds
			for _, change := range test.setups {
				change(&snapshot)
			}
			plan := Plan(snapshot)
			qt.Assert(t, plan.Loads, qt.DeepEquals, test.loads)
			qt.Assert(t, plan.Unloads, qt.DeepEquals, test.unloads)
		})
	}
}
