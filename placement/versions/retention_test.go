package versions

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a version that is forgotten while streams of it go on, as the longest timeout was lowered after they had begun.
func TestLoweredTimeoutKeepsVersions(t *testing.T) {
	c := qt.New(t)
	var retention Retention
	retention.SetLongestTimeout(start, 60*time.Second)
	c.Assert(retention.After(start), qt.Equals, 70*time.Second)
	lowered := start.Add(time.Minute)
	retention.SetLongestTimeout(lowered, 15*time.Second)
	retention.SetLongestTimeout(lowered, 10*time.Second)
	c.Assert(retention.After(lowered.Add(69*time.Second)), qt.Equals, 70*time.Second)
	c.Assert(retention.After(lowered.Add(70*time.Second)), qt.Equals, 30*time.Second)

	tracker := NewTracker()
	tracker.Observe(lowered, Key{Service: "s", Version: "v1"})
	tracker.Observe(lowered.Add(time.Second), Key{Service: "s", Version: "v2"})
	for at := lowered; at.Before(lowered.Add(60 * time.Second)); at = at.Add(time.Second) {
		tracker.Observe(at, Key{Service: "s", Version: "v2"})
		tracker.Expire(at, retention.After(at))
		c.Assert(tracker.IsMixed("s"), qt.IsTrue, qt.Commentf("%v later", at.Sub(lowered)))
	}
}

func TestRaisedTimeoutHoldsAtOnce(t *testing.T) {
	c := qt.New(t)
	var retention Retention
	retention.SetLongestTimeout(start, 5*time.Second)
	c.Assert(retention.After(start), qt.Equals, minRetention)
	retention.SetLongestTimeout(start, 90*time.Second)
	c.Assert(retention.After(start), qt.Equals, 100*time.Second)
}
