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

func TestAFewShortGapsDoNotRuleOutLongOnes(t *testing.T) {
	settings := DefaultSettings()
	// The calls of one session: what comes after it was not seen yet.
	session := observed(30*time.Second, interarrivalMinimum)
	qt.Check(t, session.KeepAlive(24*time.Hour, settings) >= time.Hour, qt.IsTrue)
	qt.Check(t, session.KeepAlive(10*time.Second, settings), qt.Equals, settings.MinimumKeepAlive)
	// The more were seen, the less likely are others.
	habit := observed(30*time.Second, interarrivalDecayAt-1)
	idle := 2 * time.Minute
	soon := session.returnProbability(idle, idle)
	qt.Check(t, soon > 0 && soon < unknownReturn, qt.IsTrue, qt.Commentf("%v", soon))
	qt.Check(t, habit.returnProbability(15*time.Second, time.Minute) > 0.98, qt.IsTrue)
	qt.Check(t, habit.expectedCost(time.Minute, 3600) < session.expectedCost(time.Minute, 3600)/10, qt.IsTrue)
}

func TestARowIsKeptThroughTheWeekendWhenItsStartsAreWorthIt(t *testing.T) {
	settings := DefaultSettings()
	weekend := 62 * time.Hour
	gaps := observed(weekend, 8)
	qt.Check(t, gaps.KeepAlive(10*24*time.Hour, settings) >= weekend, qt.IsTrue)
	qt.Check(t, gaps.KeepAlive(time.Hour, settings) < 5*time.Minute, qt.IsTrue)
}

func TestNoMoreIsEvictedThanNeeded(t *testing.T) {
	small := victim{replica: &replicaState{}, bytes: 8, cost: 1}
	large := victim{replica: &replicaState{}, bytes: 20, cost: 5}
	for _, test := range []struct {
		name    string
		missing int64
		want    []*replicaState
		cost    float64
	}{
		{"the cheap one is enough", 8, []*replicaState{small.replica}, 1},
		{"the other one is enough alone", 14, []*replicaState{large.replica}, 5},
		{"both are needed", 21, []*replicaState{small.replica, large.replica}, 6},
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
