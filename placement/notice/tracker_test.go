package notice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testRunner = "r#1"

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func cooldown(seconds float64) Notice {
	return Notice{Cooldown: time.Duration(seconds * float64(time.Second))}
}

func TestCooldownEndsOnlyWhenItsTimeHasPassed(t *testing.T) {
	c := qt.New(t)
	b := NewTracker()
	c.Assert(b.Observe(at(0), testRunner, cooldown(3)), qt.Equals, Change{IsCoolingDown: true})
	c.Assert(b.CooldownEnd(testRunner), qt.Equals, at(3))
	// A shorter cooldown has no effect, a longer one extends it.
	c.Assert(b.Observe(at(1), testRunner, cooldown(1)), qt.Equals, Change{})
	c.Assert(b.CooldownEnd(testRunner), qt.Equals, at(3))
	c.Assert(b.Observe(at(2), testRunner, cooldown(4)), qt.Equals, Change{IsCoolingDown: true})
	c.Assert(b.CooldownEnd(testRunner), qt.Equals, at(6))
	// Answers to earlier requests don't end it.
	b.Observe(at(2.5), testRunner, Notice{})
	b.RecordAccepted(at(2.5), testRunner)
	c.Assert(b.CooldownEnd(testRunner), qt.Equals, at(6))
	c.Assert(b.CountCoolingDown(at(5.9)), qt.Equals, 1)
	c.Assert(b.CountCoolingDown(at(6)), qt.Equals, 0)
	b.RecordAccepted(at(6.1), testRunner)
	c.Assert(b.IsEmpty(), qt.IsTrue)
}

func TestLeavingRunnerStaysLeaving(t *testing.T) {
	c := qt.New(t)
	b := NewTracker()
	c.Assert(b.Observe(at(0), testRunner, Notice{IsLeaving: true}), qt.Equals, Change{IsLeaving: true})
	c.Assert(b.Observe(at(1), testRunner, Notice{}), qt.Equals, Change{})
	b.RecordAccepted(at(2), testRunner)
	c.Assert(b.IsLeaving(testRunner), qt.IsTrue)
	// The next incarnation of the runner is not leaving.
	c.Assert(b.IsLeaving("r#2"), qt.IsFalse)
	// The runner is remembered while it is not listed.
	b.Sweep(at(60), func(string) bool { return false })
	c.Assert(b.IsLeaving(testRunner), qt.IsTrue)
	b.Sweep(at(0).Add(leavingTTL+time.Second), func(string) bool { return true })
	c.Assert(b.IsLeaving(testRunner), qt.IsTrue)
	b.Sweep(at(0).Add(leavingTTL+time.Second), func(string) bool { return false })
	c.Assert(b.IsEmpty(), qt.IsTrue)
}

func TestLongCooldownIsKeptAndMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	b := NewTracker()
	b.Observe(at(0), testRunner, cooldown(1e9))
	b.Sweep(at(1e6), func(string) bool { return true })
	c.Assert(b.CountCoolingDown(at(1e6)), qt.Equals, 1)
	for i := range maxUnlisted + 100 {
		b.Observe(at(1e6+float64(i)), fmt.Sprint("other", i), cooldown(1e9))
	}
	b.Sweep(at(1e6), func(instance string) bool { return instance == testRunner })
	c.Assert(b.runners, qt.HasLen, maxUnlisted+1)
	c.Assert(b.CooldownEnd("other0").IsZero(), qt.IsTrue)
	c.Assert(b.CountCoolingDown(at(1e6)), qt.Equals, maxUnlisted+1)
}

func TestNextEndReturnsEarliestEnd(t *testing.T) {
	c := qt.New(t)
	b := NewTracker()
	_, isAny := b.NextEnd(at(0))
	c.Assert(isAny, qt.IsFalse)
	b.Observe(at(0), "a", cooldown(5))
	b.Observe(at(0), "b", cooldown(2))
	b.Observe(at(0), "c", Notice{IsLeaving: true})
	next, _ := b.NextEnd(at(0))
	c.Assert(next, qt.Equals, at(2))
	next, _ = b.NextEnd(at(2))
	c.Assert(next, qt.Equals, at(5))
	_, isAny = b.NextEnd(at(5))
	c.Assert(isAny, qt.IsFalse)
}

// Guards against expecting a short cooldown from a runner that has been cooling down for longer.
func TestReportsExpectedRemainingCooldown(t *testing.T) {
	c := qt.New(t)
	b := NewTracker()
	cooldownLeft := func(now time.Time) time.Duration { return b.Pending(now).Reports[0].RestsFor }
	b.Observe(at(0), testRunner, cooldown(3))
	c.Assert(cooldownLeft(at(0)), qt.Equals, 3*time.Second)
	c.Assert(cooldownLeft(at(1)), qt.Equals, 2*time.Second)
	b.Observe(at(3.5), testRunner, cooldown(3))
	c.Assert(cooldownLeft(at(3.5)), qt.Equals, 3500*time.Millisecond)
	b.RecordAccepted(at(7), testRunner)
	b.Observe(at(8), testRunner, cooldown(3))
	c.Assert(cooldownLeft(at(8)), qt.Equals, 3*time.Second)
}

func TestReportsStayPendingUntilAcknowledged(t *testing.T) {
	c := qt.New(t)
	b := NewTracker()
	b.Observe(at(0), testRunner, cooldown(3))
	pending := b.Pending(at(0))
	c.Assert(pending.Reports, qt.DeepEquals, []Report{{Instance: testRunner, RestsFor: 3 * time.Second}})
	// Changes after Pending are not acknowledged by Acknowledge.
	b.Observe(at(1), testRunner, Notice{IsLeaving: true, Cooldown: 10 * time.Second})
	b.Acknowledge(pending)
	pending = b.Pending(at(1))
	c.Assert(pending.Reports, qt.DeepEquals, []Report{{Instance: testRunner, RestsFor: 10 * time.Second, IsLeaving: true}})
	b.ResendAll()
	b.Acknowledge(pending)
	c.Assert(b.Pending(at(1)).Reports, qt.HasLen, 1)
	b.Acknowledge(b.Pending(at(1)))
	c.Assert(b.Pending(at(1)).Reports, qt.HasLen, 0)
	b.ResendAll()
	c.Assert(b.Pending(at(1)).Reports, qt.HasLen, 1)
}

// Guards against a cooldown that ends early, or a leaving runner that is forgotten, for random
// interleavings of answers, views and leader changes.
func TestAnnouncementsAreKept(t *testing.T) {
	for seed := range uint64(300) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 5))
		b := NewTracker()
		now := start
		var cooldownUntil time.Time
		isLeaving := false
		for range 80 {
			now = now.Add(time.Duration(random.IntN(900)) * time.Millisecond)
			switch random.IntN(6) {
			case 0:
				duration := time.Duration(random.IntN(5000)) * time.Millisecond
				b.Observe(now, testRunner, Notice{Cooldown: duration})
				if duration > 0 && now.Add(duration).After(cooldownUntil) {
					cooldownUntil = now.Add(duration)
				}
			case 1:
				b.RecordAccepted(now.Add(-time.Duration(random.IntN(4000))*time.Millisecond), testRunner)
			case 2:
				isListed := random.IntN(2) == 0
				b.Sweep(now, func(string) bool { return isListed })
			case 3:
				b.Acknowledge(b.Pending(now))
			case 4:
				b.ResendAll()
			case 5:
				if random.IntN(20) == 0 {
					b.Observe(now, testRunner, Notice{IsLeaving: true})
					isLeaving = true
				}
			}
			if now.Before(cooldownUntil) {
				c.Assert(b.CooldownEnd(testRunner), qt.Equals, cooldownUntil, qt.Commentf("seed %d", seed))
			}
			c.Assert(b.IsLeaving(testRunner), qt.Equals, isLeaving, qt.Commentf("seed %d", seed))
		}
	}
}
