package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPaceLimitFollowsWhatIsUsual(t *testing.T) {
	const floor, ceiling = time.Second, 10 * time.Second
	tests := []struct {
		about   string
		samples []time.Duration
		silent  int
		least   time.Duration
		most    time.Duration
	}{
		{"nothing observed", nil, 0, ceiling, ceiling},
		{"fast", []time.Duration{20 * time.Millisecond, 25 * time.Millisecond}, 0, floor, floor},
		{"steady", []time.Duration{time.Second, time.Second, time.Second, time.Second, time.Second, time.Second}, 0, 2 * time.Second, 5 * time.Second},
		{"varied", []time.Duration{time.Second, 3 * time.Second, time.Second, 3 * time.Second}, 0, 6 * time.Second, ceiling},
		{"silences in a row", []time.Duration{100 * time.Millisecond}, 3, 4 * time.Second, 6 * time.Second},
		{"never above the ceiling", []time.Duration{time.Minute}, 9, ceiling, ceiling},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			var pace TimeoutEstimator
			for _, sample := range test.samples {
				pace.Observe(sample)
			}
			for range test.silent {
				pace.RecordTimeout()
			}
			limit := pace.Timeout(floor, ceiling)
			qt.Assert(t, limit >= test.least && limit <= test.most, qt.IsTrue, qt.Commentf("%v", limit))
		})
	}
}

func TestPaceForgetsSilencesOnceSomethingComes(t *testing.T) {
	var pace TimeoutEstimator
	pace.Observe(time.Second)
	before := pace.Timeout(0, time.Hour)
	pace.RecordTimeout()
	qt.Assert(t, pace.Timeout(0, time.Hour), qt.Equals, 2*before)
	pace.Observe(time.Second)
	qt.Assert(t, pace.Timeout(0, time.Hour) <= before, qt.IsTrue)
}
