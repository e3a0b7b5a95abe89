package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBusyPeriodSpansShortBreaksOnly(t *testing.T) {
	tests := []struct {
		about string
		// changes are the times at which requests alternately start and stop waiting.
		changes []time.Duration
		at      time.Duration
		want    time.Duration
	}{
		{"no waiting requests", nil, time.Minute, 0},
		{"requests still wait", []time.Duration{time.Second}, 9 * time.Second, 8 * time.Second},
		{"a short break", []time.Duration{0, 8 * time.Second, 9 * time.Second}, 10 * time.Second, 5 * time.Second},
		{"a long break", []time.Duration{0, 8 * time.Second, 30 * time.Second}, 31 * time.Second, time.Second},
		{"ended long ago", []time.Duration{0, 8 * time.Second}, time.Hour, 0},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			var busy BusyPeriod
			for index, at := range test.changes {
				busy.Observe(start.Add(at), index%2 == 0)
				busy.Observe(start.Add(at), index%2 == 0)
			}
			qt.Assert(t, busy.Duration(start.Add(test.at)), qt.Equals, test.want)
		})
	}
}
