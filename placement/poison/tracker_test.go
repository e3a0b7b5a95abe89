package poison

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	start    = time.Unix(1000, 0)
	crashing = Content{URI: "/bad"}.Digest()
	harmless = Content{URI: "/harmless"}.Digest()
)

// reportLoss reports the loss of a runner with the requests in flight.
func reportLoss(t *Tracker, at time.Time, instance string, digests ...Digest) {
	t.Observe(at, Report{Instance: instance, Digests: digests})
}

// newTrackerWithSuspect returns a tracker with enough losses to make the request a suspect.
func newTrackerWithSuspect(digest Digest) *Tracker {
	t := New()
	for number := range minLosses {
		reportLoss(t, start, fmt.Sprint("r", number), digest)
	}
	return t
}

// askOnce returns the permission for a new asker.
func askOnce(t *Tracker, at time.Time, digest Digest, instance string) Permission {
	askCount++
	found, _ := t.Ask(at, digest, fmt.Sprint("asker ", askCount), instance)
	return found
}

// askCount numbers the askers.
var askCount int

func TestRequestIsFreeUntilMinLosses(t *testing.T) {
	c := qt.New(t)
	tracker := New()
	for number := range minLosses - 1 {
		// Several routers report the same loss.
		for range 3 {
			reportLoss(tracker, start, fmt.Sprint("r", number), crashing)
		}
	}
	c.Assert(askOnce(tracker, start, crashing, "next"), qt.Equals, Free)
	reportLoss(tracker, start, "last", crashing, harmless)
	c.Assert(askOnce(tracker, start, crashing, "next"), qt.Equals, Trial)
	c.Assert(askOnce(tracker, start, harmless, "next"), qt.Equals, Free)
}

func TestOneTrialPerSuspectAndRunner(t *testing.T) {
	c := qt.New(t)
	tracker := newTrackerWithSuspect(crashing)
	for number := range minLosses {
		reportLoss(tracker, start, fmt.Sprint("r", number), harmless)
	}
	c.Assert(askOnce(tracker, start, crashing, "a"), qt.Equals, Trial)
	c.Assert(askOnce(tracker, start, crashing, "b"), qt.Equals, Later, qt.Commentf("one suspect at two runners"))
	c.Assert(askOnce(tracker, start, harmless, "a"), qt.Equals, Later, qt.Commentf("two suspects at one runner"))
	c.Assert(askOnce(tracker, start, harmless, "b"), qt.Equals, Trial)
}

func TestTrialOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(tracker *Tracker)
		then Permission
	}{
		"succeeded":                 {func(t *Tracker) { t.Ended(start, Ending{crashing, Succeeded}) }, Free},
		"runner lost":               {func(t *Tracker) { reportLoss(t, start, "a", crashing) }, Refused},
		"another runner lost":       {func(t *Tracker) { reportLoss(t, start, "b", crashing) }, Later},
		"inconclusive":              {func(t *Tracker) { t.Ended(start, Ending{crashing, Inconclusive}) }, Refused},
		"timed out":                 {func(t *Tracker) { t.Expire(start.Add(trialTimeout + time.Second)) }, Refused},
		"not sent":                  {func(t *Tracker) { t.Ended(start, Ending{crashing, NotSent}) }, Trial},
		"loss refuted by heartbeat": {func(t *Tracker) { reportLoss(t, start, "a", crashing); t.ObserveHeartbeat(start.Add(refuteAfter), "a") }, Trial},
		"heartbeat too soon to refute": {func(t *Tracker) {
			reportLoss(t, start, "a", crashing)
			t.ObserveHeartbeat(start.Add(refuteAfter-1), "a")
		}, Refused},
		"loss refuted by departure":     {func(t *Tracker) { reportLoss(t, start, "a", crashing); t.Refute(start, "a") }, Trial},
		"still running":                 {func(*Tracker) {}, Later},
		"runner had announced leaving":  {func(t *Tracker) { t.CancelTrials(Report{Instance: "a", Digests: []Digest{crashing}}) }, Trial},
		"another had announced leaving": {func(t *Tracker) { t.CancelTrials(Report{Instance: "b", Digests: []Digest{crashing}}) }, Later},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tracker := newTrackerWithSuspect(crashing)
			c.Assert(askOnce(tracker, start, crashing, "a"), qt.Equals, Trial)
			test.end(tracker)
			c.Assert(askOnce(tracker, start.Add(retryDelay/2), crashing, "c"), qt.Equals, test.then)
		})
	}
}

// Guards against a request with inconclusive trials being tried at a constant rate.
func TestInconclusiveTrialsBackOff(t *testing.T) {
	c := qt.New(t)
	tracker := newTrackerWithSuspect(crashing)
	tracker.Ask(start, crashing, "asker", "a")
	tracker.Ended(start, Ending{crashing, Rejected})
	c.Assert(askOnce(tracker, start.Add(retryDelay), crashing, "a"), qt.Equals, Trial)
	tracker.Ended(start.Add(retryDelay), Ending{crashing, Rejected})
	c.Assert(askOnce(tracker, start.Add(2*retryDelay), crashing, "a"), qt.Equals, Refused)
	tracker = newTrackerWithSuspect(crashing)
	var trials []time.Duration
	for at := start; at.Before(start.Add(5 * time.Minute)); at = at.Add(time.Second) {
		tracker.Expire(at)
		if askOnce(tracker, at, crashing, "a") == Trial {
			trials = append(trials, at.Sub(start))
			tracker.Ended(at, Ending{crashing, Inconclusive})
		}
	}
	c.Assert(trials, qt.DeepEquals, []time.Duration{0, 30 * time.Second, 90 * time.Second, 210 * time.Second})
}

// Guards against blocking an asker that repeats its request because the answer was lost.
func TestAskerMayRepeatRequest(t *testing.T) {
	c := qt.New(t)
	tracker := newTrackerWithSuspect(crashing)
	for _, instance := range []string{"a", "a", "b"} {
		found, _ := tracker.Ask(start, crashing, "first", instance)
		c.Assert(found, qt.Equals, Trial)
	}
	found, _ := tracker.Ask(start, crashing, "second", "c")
	c.Assert(found, qt.Equals, Later)
	reportLoss(tracker, start, "b", crashing)
	c.Assert(askOnce(tracker, start, crashing, "c"), qt.Equals, Refused)
}

// Guards against counting losses of runners that were not lost.
func TestRefutedLossesDoNotCount(t *testing.T) {
	c := qt.New(t)
	tracker := newTrackerWithSuspect(crashing)
	tracker.Refute(start, "r1")
	c.Assert(askOnce(tracker, start, crashing, "a"), qt.Equals, Free)
	reportLoss(tracker, start, "r9", crashing)
	c.Assert(askOnce(tracker, start, crashing, "a"), qt.Equals, Trial)
}

// Guards against a crashing request getting more than three trials in a day.
func TestRefusalsGrow(t *testing.T) {
	c := qt.New(t)
	tracker := newTrackerWithSuspect(crashing)
	trials := 0
	for at := start; at.Before(start.Add(24 * time.Hour)); at = at.Add(10 * time.Second) {
		tracker.Expire(at)
		instance := fmt.Sprint("a", trials)
		if askOnce(tracker, at, crashing, instance) == Trial {
			trials++
			reportLoss(tracker, at, instance, crashing)
		}
	}
	c.Assert(trials, qt.Equals, 3)
	c.Assert(refusalTime(100), qt.Equals, maxRefusal)
}

func TestOldLossesExpire(t *testing.T) {
	c := qt.New(t)
	tracker := newTrackerWithSuspect(crashing)
	tracker.Expire(start.Add(lossTTL + time.Second))
	c.Assert(askOnce(tracker, start.Add(lossTTL+time.Second), crashing, "a"), qt.Equals, Free)
	c.Assert(tracker.losses, qt.HasLen, 0)
	records := tracker.TakeRecords()
	c.Assert(records[len(records)-1].IsCleared, qt.IsTrue)
}

// Guards against losing suspects and the growth of refusals at a change of the leader.
func TestRecallRestoresSuspects(t *testing.T) {
	c := qt.New(t)
	tracker := newTrackerWithSuspect(crashing)
	askOnce(tracker, start, crashing, "a")
	reportLoss(tracker, start, "a", crashing)
	records := tracker.TakeRecords()
	next := New()
	next.RestoreSuspects(start, records[len(records)-1:])
	c.Assert(askOnce(next, start.Add(time.Minute), crashing, "a"), qt.Equals, Refused)
	c.Assert(next.List(start).Entries, qt.DeepEquals, []Entry{{Digest: crashing, RefusedFor: minRefusal}})
	next.Expire(start.Add(minRefusal + time.Second))
	c.Assert(askOnce(next, start.Add(minRefusal+time.Second), crashing, "a"), qt.Equals, Trial)
	reportLoss(next, start.Add(minRefusal+time.Second), "a", crashing)
	_, retryAfter := next.Ask(start.Add(minRefusal+time.Second), crashing, "asker", "a")
	c.Assert(retryAfter, qt.Equals, refusalGrowth*minRefusal)
}

func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	tracker := New()
	for number := range 2 * maxLosses {
		digest := Content{URI: fmt.Sprint(number)}.Digest()
		reportLoss(tracker, start.Add(time.Duration(number)), fmt.Sprint("r", number), digest)
	}
	c.Assert(tracker.losses, qt.HasLen, maxLosses)
	for number := range 2 * maxDigests {
		reportLoss(tracker, start, "r", Content{URI: fmt.Sprint("of one", number)}.Digest())
	}
	c.Assert(tracker.losses["r"].digests, qt.HasLen, maxDigests)
}

// BenchmarkObserve measures the report of a loss with 64 requests while maxLosses losses are known.
func BenchmarkObserve(b *testing.B) {
	tracker := New()
	digests := make([]Digest, 64)
	for i := range digests {
		digests[i] = Content{URI: fmt.Sprint(i)}.Digest()
	}
	for number := range maxLosses {
		reportLoss(tracker, start, fmt.Sprint("r", number), digests[:2]...)
	}
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		reportLoss(tracker, start, fmt.Sprint("n", number), digests...)
	}
}
