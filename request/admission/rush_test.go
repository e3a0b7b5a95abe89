package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRushLastsOverShortBreaksOnly(t *testing.T) {
	tests := []struct {
		about string
		// changes are when requests begin to wait and cease to, in turn.
		changes []time.Duration
		at      time.Duration
		want    time.Duration
	}{
		{"nothing ever waited", nil, time.Minute, 0},
		{"since requests wait", []time.Duration{time.Second}, 9 * time.Second, 8 * time.Second},
		{"a short break", []time.Duration{0, 8 * time.Second, 9 * time.Second}, 10 * time.Second, 5 * time.Second},
		{"a long break", []time.Duration{0, 8 * time.Second, 30 * time.Second}, 31 * time.Second, time.Second},
		{"over for long", []time.Duration{0, 8 * time.Second}, time.Hour, 0},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			var rush BusyPeriod
			for index, at := range test.changes {
				rush.Observe(start.Add(at), index%2 == 0)
				rush.Observe(start.Add(at), index%2 == 0)
			}
			qt.Assert(t, rush.Duration(start.Add(test.at)), qt.Equals, test.want)
		})
	}
}
