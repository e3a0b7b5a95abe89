package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func observed(gap time.Duration, count int) *Interarrivals {
	gaps := &Interarrivals{}
	for range count {
		gaps.Observe(gap)
	}
	return gaps
}

func TestFewShortGapsLeaveProbabilityToLongGaps(t *testing.T) {
	settings := DefaultSettings()
	// The gaps within one session; the gap after it was not observed yet.
	fewSamples := observed(30*time.Second, minInterarrivalSamples)
	qt.Check(t, fewSamples.KeepAlive(24*time.Hour, settings) >= time.Hour, qt.IsTrue)
	qt.Check(t, fewSamples.KeepAlive(10*time.Second, settings), qt.Equals, settings.MinKeepAlive)
	// Unobserved gaps become less likely with more samples.
	manySamples := observed(30*time.Second, interarrivalDecayAt-1)
	idle := 2 * time.Minute
	soon := fewSamples.returnProbability(idle, idle)
	qt.Check(t, soon > 0 && soon < defaultReturnProbability, qt.IsTrue, qt.Commentf("%v", soon))
	qt.Check(t, manySamples.returnProbability(15*time.Second, time.Minute) > 0.98, qt.IsTrue)
	qt.Check(t, manySamples.expectedCost(time.Minute, 3600) < fewSamples.expectedCost(time.Minute, 3600)/10, qt.IsTrue)
}

func TestKeepAliveSpansWeekendForCostlyColdStarts(t *testing.T) {
	settings := DefaultSettings()
	weekend := 62 * time.Hour
	gaps := observed(weekend, 8)
	qt.Check(t, gaps.KeepAlive(10*24*time.Hour, settings) >= weekend, qt.IsTrue)
	qt.Check(t, gaps.KeepAlive(time.Hour, settings) < 5*time.Minute, qt.IsTrue)
}

func TestPickVictimsEvictsNoMoreThanNeeded(t *testing.T) {
	small := victim{replica: &replicaState{}, bytes: 8, cost: 1}
	large := victim{replica: &replicaState{}, bytes: 20, cost: 5}
	for _, test := range []struct {
		name    string
		missing int64
		want    []*replicaState
		cost    float64
	}{
		{"cheap victim suffices", 8, []*replicaState{small.replica}, 1},
		{"large victim suffices alone", 14, []*replicaState{large.replica}, 5},
		{"both victims are needed", 21, []*replicaState{small.replica, large.replica}, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			chosen, cost := pickVictims([]victim{small, large}, test.missing)
			qt.Assert(t, len(chosen), qt.Equals, len(test.want))
			for i := range chosen {
				qt.Check(t, chosen[i] == test.want[i], qt.IsTrue)
			}
			qt.Check(t, cost, qt.Equals, test.cost)
		})
	}
}
