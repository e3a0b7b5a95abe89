package poison

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	start    = time.Unix(1000, 0)
	bad      = Content{URI: "/bad"}.Digest()
	harmless = Content{URI: "/harmless"}.Digest()
)

// lose reports the loss of a runner under the requests.
func lose(t *Tracker, at time.Time, instance string, digests ...Digest) {
	t.Observe(at, Report{Instance: instance, Digests: digests})
}

// suspected makes a tracker that has seen enough losses under the request.
func suspected(digest Digest) *Tracker {
	t := New()
	for number := range enoughLosses {
		lose(t, start, fmt.Sprint("r", number), digest)
	}
	return t
}

// permission is that for a request that nobody has asked for before.
func permission(t *Tracker, at time.Time, digest Digest, instance string) Permission {
	asked++
	found, _ := t.Ask(at, digest, fmt.Sprint("asker ", asked), instance)
	return found
}

// asked counts the askers.
var asked int

func TestRequestIsFreeUntilEnoughRunnersAreLost(t *testing.T) {
	c := qt.New(t)
	tracker := New()
	for number := range enoughLosses - 1 {
		// Several routers tell of the same loss.
		for range 3 {
			lose(tracker, start, fmt.Sprint("r", number), bad)
		}
	}
	c.Assert(permission(tracker, start, bad, "next"), qt.Equals, Free)
	lose(tracker, start, "last", bad, harmless)
	c.Assert(permission(tracker, start, bad, "next"), qt.Equals, Trial)
	c.Assert(permission(tracker, start, harmless, "next"), qt.Equals, Free)
}

func TestSuspectsRunOneByOne(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(bad)
	for number := range enoughLosses {
		lose(tracker, start, fmt.Sprint("r", number), harmless)
	}
	c.Assert(permission(tracker, start, bad, "a"), qt.Equals, Trial)
	c.Assert(permission(tracker, start, bad, "b"), qt.Equals, Later, qt.Commentf("at two runners at once"))
	c.Assert(permission(tracker, start, harmless, "a"), qt.Equals, Later, qt.Commentf("two suspects at one runner"))
	c.Assert(permission(tracker, start, harmless, "b"), qt.Equals, Trial)
}

func TestTrialDecides(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(tracker *Tracker)
		then Permission
	}{
		"it ends well":               {func(t *Tracker) { t.Ended(start, Ending{bad, EndedWell}) }, Free},
		"its runner is lost":         {func(t *Tracker) { lose(t, start, "a", bad) }, Refused},
		"another runner is lost":     {func(t *Tracker) { lose(t, start, "b", bad) }, Later},
		"it shows nothing":           {func(t *Tracker) { t.Ended(start, Ending{bad, EndedOpen}) }, Refused},
		"nothing is heard of it":     {func(t *Tracker) { t.Expire(start.Add(trialLife + time.Second)) }, Refused},
		"it reached no runner":       {func(t *Tracker) { t.Ended(start, Ending{bad, NotSent}) }, Trial},
		"its runner lives on":        {func(t *Tracker) { lose(t, start, "a", bad); t.Heard(start.Add(refutingTime), "a") }, Trial},
		"heartbeats came late":       {func(t *Tracker) { lose(t, start, "a", bad); t.Heard(start.Add(refutingTime-1), "a") }, Refused},
		"its runner said it leaves":  {func(t *Tracker) { lose(t, start, "a", bad); t.Refute(start, "a") }, Trial},
		"it is lost under no router": {func(*Tracker) {}, Later},
		"its runner had said so":     {func(t *Tracker) { t.Excuse(Report{Instance: "a", Digests: []Digest{bad}}) }, Trial},
		"another had said so":        {func(t *Tracker) { t.Excuse(Report{Instance: "b", Digests: []Digest{bad}}) }, Later},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tracker := suspected(bad)
			c.Assert(permission(tracker, start, bad, "a"), qt.Equals, Trial)
			test.end(tracker)
			c.Assert(permission(tracker, start.Add(laterPause/2), bad, "c"), qt.Equals, test.then)
		})
	}
}

// A request that shows nothing in its trials is tried more and more seldom.
func TestOpenTrialsGetRare(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(bad)
	tracker.Ask(start, bad, "asker", "a")
	tracker.Ended(start, Ending{bad, TurnedAway})
	c.Assert(permission(tracker, start.Add(laterPause), bad, "a"), qt.Equals, Trial)
	tracker.Ended(start.Add(laterPause), Ending{bad, TurnedAway})
	c.Assert(permission(tracker, start.Add(2*laterPause), bad, "a"), qt.Equals, Refused)
	tracker = suspected(bad)
	var trials []time.Duration
	for at := start; at.Before(start.Add(5 * time.Minute)); at = at.Add(time.Second) {
		tracker.Expire(at)
		if permission(tracker, at, bad, "a") == Trial {
			trials = append(trials, at.Sub(start))
			tracker.Ended(at, Ending{bad, EndedOpen})
		}
	}
	c.Assert(trials, qt.DeepEquals, []time.Duration{0, 30 * time.Second, 90 * time.Second, 210 * time.Second})
}

// An asker that did not hear the answer has its turn still.
func TestAskerMayAskAgain(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(bad)
	for _, instance := range []string{"a", "a", "b"} {
		found, _ := tracker.Ask(start, bad, "first", instance)
		c.Assert(found, qt.Equals, Trial)
	}
	found, _ := tracker.Ask(start, bad, "second", "c")
	c.Assert(found, qt.Equals, Later)
	lose(tracker, start, "b", bad)
	c.Assert(permission(tracker, start, bad, "c"), qt.Equals, Refused)
}

// Losses that were none take the suspicion away.
func TestRefutedLossesDoNotCount(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(bad)
	tracker.Refute(start, "r1")
	c.Assert(permission(tracker, start, bad, "a"), qt.Equals, Free)
	lose(tracker, start, "r9", bad)
	c.Assert(permission(tracker, start, bad, "a"), qt.Equals, Trial)
}

// In a day a request that crashes all that run it gets three trials at most, and at no time more
// than one.
func TestRefusalsGrow(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(bad)
	trials := 0
	for at := start; at.Before(start.Add(24 * time.Hour)); at = at.Add(10 * time.Second) {
		tracker.Expire(at)
		instance := fmt.Sprint("a", trials)
		if permission(tracker, at, bad, instance) == Trial {
			trials++
			lose(tracker, at, instance, bad)
		}
	}
	c.Assert(trials, qt.Equals, 3)
	c.Assert(refusalTime(100), qt.Equals, longestRefusal)
}

func TestWhatIsOldIsForgotten(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(bad)
	tracker.Expire(start.Add(lossLife + time.Second))
	c.Assert(permission(tracker, start.Add(lossLife+time.Second), bad, "a"), qt.Equals, Free)
	c.Assert(tracker.losses, qt.HasLen, 0)
	records := tracker.TakeRecords()
	c.Assert(records[len(records)-1].IsCleared, qt.IsTrue)
}

// A new leader goes on with what the records say.
func TestRecordsOutliveALeader(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(bad)
	permission(tracker, start, bad, "a")
	lose(tracker, start, "a", bad)
	records := tracker.TakeRecords()
	next := New()
	next.Recall(start, records[len(records)-1:])
	c.Assert(permission(next, start.Add(time.Minute), bad, "a"), qt.Equals, Refused)
	c.Assert(next.List(start).Entries, qt.DeepEquals, []Entry{{Digest: bad, RefusedFor: firstRefusal}})
	next.Expire(start.Add(firstRefusal + time.Second))
	c.Assert(permission(next, start.Add(firstRefusal+time.Second), bad, "a"), qt.Equals, Trial)
	lose(next, start.Add(firstRefusal+time.Second), "a", bad)
	_, comeBackIn := next.Ask(start.Add(firstRefusal+time.Second), bad, "asker", "a")
	c.Assert(comeBackIn, qt.Equals, refusalGrowth*firstRefusal)
}

func TestWhatIsKeptIsBounded(t *testing.T) {
	c := qt.New(t)
	tracker := New()
	for number := range 2 * maxLosses {
		digest := Content{URI: fmt.Sprint(number)}.Digest()
		lose(tracker, start.Add(time.Duration(number)), fmt.Sprint("r", number), digest)
	}
	c.Assert(tracker.losses, qt.HasLen, maxLosses)
	for number := range 2 * maxDigests {
		lose(tracker, start, "r", Content{URI: fmt.Sprint("of one", number)}.Digest())
	}
	c.Assert(tracker.losses["r"].digests, qt.HasLen, maxDigests)
}

// BenchmarkObserve reports the loss of a runner with 64 requests, when as many losses are known as
// are kept.
func BenchmarkObserve(b *testing.B) {
	tracker := New()
	digests := make([]Digest, 64)
	for i := range digests {
		digests[i] = Content{URI: fmt.Sprint(i)}.Digest()
	}
	for number := range maxLosses {
		lose(tracker, start, fmt.Sprint("r", number), digests[:2]...)
	}
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		lose(tracker, start, fmt.Sprint("n", number), digests...)
	}
}
