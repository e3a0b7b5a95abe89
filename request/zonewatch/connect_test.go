package zonewatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/zonewatch"
)

// The timeout adapts to the measured latency: a lost SYN in a near zone costs little, and a distant zone
// gets enough time.
func TestConnectTimeoutAdaptsToLatency(t *testing.T) {
	for _, test := range []struct {
		name        string
		took        []time.Duration
		least, most time.Duration
	}{
		{"no measurements", nil, zonewatch.MaxConnectTimeout, zonewatch.MaxConnectTimeout},
		{"within a region", repeat(2*time.Millisecond, 20), zonewatch.MinConnectTimeout, zonewatch.MinConnectTimeout},
		{"another continent", repeat(60*time.Millisecond, 40), 240 * time.Millisecond, 300 * time.Millisecond},
		{"a busy router", append(repeat(2*time.Millisecond, 20), 40*time.Millisecond, 3*time.Millisecond, 50*time.Millisecond), 100 * time.Millisecond, 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var times zonewatch.ConnectTimes
			for _, took := range test.took {
				times.Observe("z", took)
			}
			timeout := times.Timeout("z")
			c.Assert(timeout >= test.least && timeout <= test.most, qt.IsTrue, qt.Commentf("%s", timeout))
		})
	}
}

func repeat(took time.Duration, count int) []time.Duration {
	var listed []time.Duration
	for range count {
		listed = append(listed, took)
	}
	return listed
}
