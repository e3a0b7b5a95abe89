package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTimeoutFollowsObservedDurations(t *testing.T) {
	const floor, ceiling = time.Second, 10 * time.Second
	tests := []struct {
		about    string
		samples  []time.Duration
		timeouts int
		least    time.Duration
		most     time.Duration
	}{
		{"nothing observed", nil, 0, ceiling, ceiling},
		{"fast", []time.Duration{20 * time.Millisecond, 25 * time.Millisecond}, 0, floor, floor},
		{"steady", []time.Duration{time.Second, time.Second, time.Second, time.Second, time.Second, time.Second}, 0, 2 * time.Second, 5 * time.Second},
		{"varied", []time.Duration{time.Second, 3 * time.Second, time.Second, 3 * time.Second}, 0, 6 * time.Second, ceiling},
		{"consecutive timeouts", []time.Duration{100 * time.Millisecond}, 3, 4 * time.Second, 6 * time.Second},
		{"never above the ceiling", []time.Duration{time.Minute}, 9, ceiling, ceiling},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			var estimator TimeoutEstimator
			for _, sample := range test.samples {
				estimator.Observe(sample)
			}
			for range test.timeouts {
				estimator.RecordTimeout()
			}
			limit := estimator.Timeout(floor, ceiling)
			qt.Assert(t, limit >= test.least && limit <= test.most, qt.IsTrue, qt.Commentf("%v", limit))
		})
	}
}

func TestObservationResetsTheTimeoutBackoff(t *testing.T) {
	var estimator TimeoutEstimator
	estimator.Observe(time.Second)
	before := estimator.Timeout(0, time.Hour)
	estimator.RecordTimeout()
	qt.Assert(t, estimator.Timeout(0, time.Hour), qt.Equals, 2*before)
	estimator.Observe(time.Second)
	qt.Assert(t, estimator.Timeout(0, time.Hour) <= before, qt.IsTrue)
}
