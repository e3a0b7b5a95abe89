package standby

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	tokenBytes  = 163840
	testStandby = structs.RunnerID("b")
)

// Copies of long prompts are a third of the bytes and save little, while short streams with answers
// are cheap to save.
func TestStreamsWorthCopying(t *testing.T) {
	broken := Signs{IsBroken: true}
	for name, test := range map[string]struct {
		signs       Signs
		lossRate    float64
		size        Size
		isResumable bool
		isWorth     bool
	}{
		"short prompt on a calm day":               {size: Size{600, 100}, isWorth: true},
		"short prompt, resumable":                  {size: Size{600, 100}, isResumable: true, isWorth: false},
		"answer as long as the prompt, resumable":  {size: Size{100, 100}, isResumable: true, isWorth: true},
		"long prompt on a calm day":                {size: Size{9000, 70}, isWorth: false},
		"long prompt at a doubtful runner":         {signs: broken, size: Size{9000, 70}, isWorth: true},
		"long prompt at a failing runner":          {signs: Signs{IsFailing: true}, size: Size{9000, 70}, isWorth: true},
		"long prompt at a cold runner":             {signs: Signs{IsCold: true}, size: Size{9000, 70}, isWorth: true},
		"long prompt at a runner that ends":        {signs: Signs{IsLeaving: true}, size: Size{9000, 70}, isWorth: true},
		"long prompt while streams are lost":       {lossRate: 0.05, size: Size{9000, 70}, isWorth: true},
		"prompt of 239 MB on a calm day":           {size: Size{1460, 172}, isWorth: false},
		"prompt of 239 MB, some losses":            {lossRate: 0.03, size: Size{1460, 172}, isWorth: false},
		"prompt of 239 MB at a doubtful runner":    {signs: broken, size: Size{1460, 172}, isWorth: true},
		"prompt of 239 MB while many are lost":     {lossRate: 0.05, size: Size{1460, 172}, isWorth: true},
		"prompt only":                              {size: Size{100, 0}, isWorth: false},
		"long prompt, resumable, doubtful runner":  {signs: broken, size: Size{9000, 70}, isResumable: true, isWorth: true},
		"long prompt with few losses in the fleet": {lossRate: 0.007, size: Size{9000, 70}, isWorth: false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(IsWorthCopying(Risk(test.signs, test.lossRate), test.size, tokenBytes, test.isResumable), qt.Equals, test.isWorth)
		})
	}
}

func TestRiskIsProbability(t *testing.T) {
	c := qt.New(t)
	least := Risk(Signs{}, 0)
	c.Assert(math.Abs(least-minRisk) < 1e-9, qt.IsTrue, qt.Commentf("%g", least))
	all := Risk(Signs{IsFailing: true, IsBroken: true, IsCold: true, IsLeaving: true}, 5)
	c.Assert(all <= 1 && all > leavingRisk, qt.IsTrue, qt.Commentf("%g", all))
}

// The transfer cost on a calm day must stay far below that of copying everything: 97 of 100 streams
// have short prompts, 3 have prompts of 9,000 tokens and are a third of the bytes.
func TestCostOfCalmMixIsBounded(t *testing.T) {
	c := qt.New(t)
	var all, copied int64
	for number := range 100 {
		size := Size{Prompt: 550, Answer: 80}
		if number%33 == 0 && number > 0 {
			size = Size{Prompt: 9000, Answer: 70}
		}
		all += size.Tokens() * tokenBytes
		if IsWorthCopying(Risk(Signs{}, 0), size, tokenBytes, false) {
			copied += size.Tokens() * tokenBytes
		}
	}
	share := float64(copied) / float64(all)
	c.Assert(share < 0.7 && share > 0.6, qt.IsTrue, qt.Commentf("%g", share))
}

// A copy is much larger than a router's share of a second, so that large copies must be possible and
// the mean must still hold.
func TestTrafficKeepsShareOnAverage(t *testing.T) {
	c := qt.New(t)
	share := Share(100_000, 80)
	c.Assert(share, qt.Equals, 100_000*1e6/8/10/80)
	traffic := NewTraffic()
	now := time.Unix(1000, 0)
	began, bytes := now, 0.0
	for ; now.Sub(began) < time.Minute; now = now.Add(10 * time.Millisecond) {
		if traffic.MayBegin(now, testStandby, share) {
			traffic.Begin(now, testStandby, share, 700*tokenBytes)
			bytes += 700 * tokenBytes
		}
	}
	most := share*61 + 700*tokenBytes
	c.Assert(bytes > share*55 && bytes <= most, qt.IsTrue, qt.Commentf("%g of %g", bytes, most))
	c.Assert(traffic.MayBegin(now, "another", share), qt.IsTrue)
	c.Assert(traffic.MayBegin(now, "another", Share(0, 80)), qt.IsFalse)
	c.Assert(traffic.MayBegin(now, "another", Share(100, 0)), qt.IsFalse)
}

func TestVerdictAfterLoss(t *testing.T) {
	now := time.Unix(1000, 0)
	whole := &Copy{Runner: testStandby, TTL: 5 * time.Second}
	for name, test := range map[string]struct {
		copied  *Copy
		silent  time.Duration
		isShort bool
		loss    Loss
		verdict Verdict
	}{
		"with a copy":                {copied: whole, loss: Loss{TimeLeft: time.Second, Runners: 1}, verdict: VerdictContinue},
		"without a copy":             {loss: Loss{TimeLeft: time.Second}, verdict: VerdictNoCopy},
		"lost before its copy began": {copied: whole, isShort: true, loss: Loss{TimeLeft: time.Second}, verdict: VerdictNoCopy},
		"no time left":               {copied: whole, loss: Loss{TimeLeft: time.Millisecond}, verdict: VerdictLate},
		"copy dropped by its host":   {copied: whole, silent: 6 * time.Second, loss: Loss{TimeLeft: time.Second}, verdict: VerdictLate},
		"unknown TTL":                {copied: &Copy{Runner: testStandby}, silent: 6 * time.Second, loss: Loss{TimeLeft: time.Second}, verdict: VerdictContinue},
		"suspected by the leader":    {copied: whole, loss: Loss{TimeLeft: time.Second, IsSuspected: true}, verdict: VerdictSuspected},
		"second runner lost with it": {copied: whole, loss: Loss{TimeLeft: time.Second, Runners: 2}, verdict: VerdictSuspected},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var stream Handover
			stream.Sent(test.copied)
			if !test.isShort {
				stream.Passed(now.Add(-test.silent - minCopyAge))
			}
			stream.Passed(now.Add(-test.silent))
			_, verdict := stream.Lost(now, test.loss)
			c.Assert(verdict, qt.Equals, test.verdict)
			// A copy is used once, whatever the verdict was.
			_, verdict = stream.Lost(now, Loss{TimeLeft: time.Second})
			c.Assert(verdict, qt.Equals, VerdictNoCopy)
		})
	}
}

// A stream must not run at two runners, so a continuation may begin only after the loss of the former
// run, and at most twice.
func TestContinuationFollowsLossAndIsBounded(t *testing.T) {
	c := qt.New(t)
	copied := &Copy{Runner: testStandby}
	left := Loss{TimeLeft: time.Second}
	var stream Handover
	c.Assert(stream.Continued(copied), qt.IsFalse)
	stream.Sent(copied)
	c.Assert(stream.Continued(copied), qt.IsFalse)
	for range maxContinuations {
		c.Assert(stream.MayCopy(), qt.IsTrue)
		stream.Passed(time.Unix(1000, 0))
		_, verdict := stream.Lost(time.Unix(1000, 0).Add(minCopyAge), left)
		c.Assert(verdict, qt.Equals, VerdictContinue)
		c.Assert(stream.Continued(copied), qt.IsTrue)
		c.Assert(stream.Continued(copied), qt.IsFalse)
	}
	c.Assert(stream.MayCopy(), qt.IsFalse)
	_, verdict := stream.Lost(time.Time{}, left)
	c.Assert(verdict, qt.Equals, VerdictNoCopy)
	c.Assert(stream.Continued(nil), qt.IsFalse)
}

func TestEndedStreamIsNotContinued(t *testing.T) {
	c := qt.New(t)
	var stream Handover
	stream.Sent(&Copy{Runner: testStandby})
	stream.End()
	_, verdict := stream.Lost(time.Time{}, Loss{TimeLeft: time.Second})
	c.Assert(verdict, qt.Equals, VerdictNoCopy)
	c.Assert(stream.Continued(nil), qt.IsFalse)
	c.Assert(stream.HasCopy(), qt.IsFalse)
}

func TestEventsThatFollow(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		last, next int64
		follows    bool
	}{{3, 4, true}, {3, 3, false}, {3, 5, false}, {-1, 1, true}, {-1, 0, true}, {-1, 2, false}, {0, 1, true}} {
		c.Check(Follows(test.last, test.next), qt.Equals, test.follows, qt.Commentf("%+v", test))
	}
}
