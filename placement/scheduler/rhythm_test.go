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

func TestRhythmsExpectWhatTheSameHourHadOnEarlierDaysOfTheKind(t *testing.T) {
	const certain = 2 / (2 + rhythmPrior)
	for _, test := range []struct {
		name string
		uses []time.Time
		now  time.Time
		want float64
	}{
		{"nothing on the first day", []time.Time{at(0, 9)}, at(0, 9), 0},
		{"each working day", []time.Time{at(0, 9), at(1, 9)}, at(2, 9), certain},
		{"another hour", []time.Time{at(0, 9), at(1, 9)}, at(2, 12), 0},
		{"today does not count", []time.Time{at(0, 9), at(1, 9), at(2, 9)}, at(2, 9), certain},
		{"one of two days", []time.Time{at(0, 9), at(1, 12)}, at(2, 9), certain / 2},
		{"the weekend is no working day", []time.Time{at(0, 9), at(4, 9)}, at(5, 9), 0},
		{"nor the other way round", []time.Time{at(0, 8), at(5, 9), at(6, 9)}, at(7, 9), 0},
		{"Saturday tells of Sunday", []time.Time{at(0, 8), at(5, 9)}, at(6, 9), 1 / (1 + rhythmPrior)},
		{"half of an hour before", []time.Time{at(0, 9)}, at(1, 8).Add(30 * time.Minute), 1 - 0.577350},
		{"long ago is forgotten", []time.Time{at(0, 9)}, at(28, 9), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			rhythms := NewRhythms()
			for hour := test.uses[0]; !hour.After(test.now); hour = hour.Add(time.Hour) {
				rhythms.Watch(hour)
				if slices.Contains(test.uses, hour) {
					rhythms.Observe(hour, "a")
				}
			}
			got := 0.0
			if list := rhythms.Expected(test.now, 1e-9, 1); len(list) > 0 {
				got = list[0].Probability
			}
			qt.Assert(t, got > test.want-1e-6 && got < test.want+1e-6, qt.IsTrue, qt.Commentf("got %v, want %v", got, test.want))
		})
	}
}

func TestHoursThatNobodyWatchedSayNothing(t *testing.T) {
	rhythms := NewRhythms()
	rhythms.Observe(at(0, 9), "a")
	// Another leads on Tuesday and Wednesday, and up to noon on Thursday.
	rhythms.Watch(at(3, 12))
	want := []Expectation{{"a", 1 / (1 + rhythmPrior)}}
	qt.Assert(t, rhythms.Expected(at(4, 9), 0.1, 1), qt.DeepEquals, want)
}

func TestRowsWithoutUseInAllRememberedDaysAreForgotten(t *testing.T) {
	rhythms := NewRhythms()
	rhythms.Observe(at(0, 9), "a")
	rhythms.Observe(at(7, 9), "b")
	qt.Assert(t, rhythms.Soon(at(7, 10)), qt.HasLen, 0)
	qt.Assert(t, rhythms.rows, qt.HasLen, 2)
	rhythms.Soon(at(10, 9))
	qt.Assert(t, rhythms.rows, qt.HasLen, 1)
}

func TestExpectedIsOrderedAndBounded(t *testing.T) {
	rhythms := NewRhythms()
	for _, row := range []structs.RowName{"c", "a", "b"} {
		rhythms.Observe(at(0, 9), row)
	}
	rhythms.Observe(at(1, 9), "b")
	rhythms.Observe(at(1, 12), "a")
	var names []structs.RowName
	for _, expectation := range rhythms.Expected(at(2, 9), 0.1, 2) {
		names = append(names, expectation.Row)
	}
	qt.Assert(t, names, qt.DeepEquals, []structs.RowName{"b", "a"})
}

func TestExpectedFindsTheLikeliestOfMany(t *testing.T) {
	rhythms := NewRhythms()
	for day := range 3 {
		for i := range 1000 {
			if day < 2-i%2 || i%10 == 0 {
				rhythms.Observe(at(day, 9), structs.RowName(fmt.Sprintf("%03d", i)))
			}
		}
	}
	all := rhythms.Expected(at(3, 9), 0.1, 1000)
	qt.Assert(t, all, qt.HasLen, 1000)
	qt.Assert(t, rhythms.Expected(at(3, 9), 0.1, 150), qt.DeepEquals, all[:150])
}

func expects(row structs.RowName) setup {
	return func(s *Snapshot) { s.Expected = append(s.Expected, Expectation{row, 1}) }
}

func reserves(bytes int64) setup { return func(s *Snapshot) { s.Settings.ReserveBytes = bytes } }

func oneStoreRead(s *Snapshot) { s.StoreLoadBudget = 1 }

func coldStartsAreCheap(s *Snapshot) { s.Settings.LatencyColdStartWorth = 1 }

func TestPlanAheadOfNeed(t *testing.T) {
	ready := structs.ReplicaReady
	for _, test := range []struct {
		name    string
		setups  []setup
		loads   []LoadDecision
		unloads []UnloadDecision
	}{
		{"loads what is expected", []setup{expects("b")}, []LoadDecision{{"b", "r1", structs.TierStore, ReasonPrewarm}}, nil},
		{"one a plan", []setup{expects("b"), expects("a")}, []LoadDecision{{"b", "r1", structs.TierStore, ReasonPrewarm}}, nil},
		{"requests go first", []setup{expects("b"), wants("a", 1, 0)}, []LoadDecision{{"a", "r1", structs.TierStore, ReasonDemand}}, nil},
		{"an adapter brings its base", []setup{expects("t")}, []LoadDecision{
			{"a", "r1", structs.TierStore, ReasonBase}, {"t", "r1", structs.TierStore, ReasonPrewarm},
		}, nil},
		{"not without a grant", []setup{expects("b"), limits("b", 0)}, nil, nil},
		{"not the last store read", []setup{expects("b"), oneStoreRead}, nil, nil},
		{"not when it is worth too little", []setup{expects("b"), coldStartsAreCheap}, nil, nil},
		{"not for another's memory", []setup{oneRunner, expects("b"), places("a", 0, ready, 0), usedAgo("a", time.Minute), keepsLong}, nil, nil},
		{"keeps what is expected", []setup{expects("a"), places("a", 0, ready, 0), usedAgo("a", 30*24*time.Hour)}, nil, nil},
		{"room is made for the next load", []setup{
			oneRunner, reserves(20), memory("a", 90), places("a", 0, ready, 0), usedAgo("a", time.Minute), keepsLong,
		}, nil, []UnloadDecision{{"a", "r1", ReasonReserve}}},
		{"not while there is room elsewhere", []setup{
			reserves(20), memory("a", 90), places("a", 0, ready, 0), usedAgo("a", time.Minute), keepsLong,
		}, nil, nil},
		{"not where it is a large part of the memory", []setup{
			oneRunner, reserves(34), memory("a", 90), places("a", 0, ready, 0), usedAgo("a", time.Minute), keepsLong,
		}, nil, nil},
		{"not of what is busy", []setup{oneRunner, reserves(20), memory("a", 90), places("a", 0, ready, 1), wants("a", 0, 1)}, nil, nil},
		{"nothing expected is loaded into the reserve", []setup{oneRunner, reserves(20), memory("b", 90), expects("b")}, nil, nil},
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
