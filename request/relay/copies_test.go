package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

var (
	shortSize = Size{Tokens: 700, Prompt: 600, Answer: 100}
	longSize  = Size{Tokens: 9070, Prompt: 9000, Answer: 70}
)

// Copies must be made only where the document asks for them and their cost is known, and long prompts
// only at doubtful runners.
func TestCopyDecisions(t *testing.T) {
	change := func(edit func(document *site.Document)) func(*continuityRouter) {
		return func(r *continuityRouter) {
			document := continuityDocument(2)
			edit(document)
			r.adoptDocument(document)
		}
	}
	changeEngine := func(edit func(engine *site.Engine)) func(*continuityRouter) {
		return change(func(document *site.Document) { edit(document.Services[1].Engine) })
	}
	for name, test := range map[string]struct {
		prepare  func(r *continuityRouter)
		path     string
		size     Size
		decision string
	}{
		"short prompt":             {size: shortSize, decision: copyMade},
		"long prompt":              {size: longSize, decision: copyTooDear},
		"long prompt, doubt":       {prepare: doubtAll, size: longSize, decision: copyMade},
		"short prompt, resumable":  {path: resumablePath, size: shortSize, decision: copyTooDear},
		"unknown size":             {size: Size{Tokens: NoSize}, decision: copyOff},
		"engine without backups":   {prepare: changeEngine(func(engine *site.Engine) { engine.Backups = false }), size: shortSize, decision: copyOff},
		"unknown size of a token":  {prepare: changeEngine(func(engine *site.Engine) { engine.TokenBytes = 0 }), size: shortSize, decision: copyOff},
		"unknown link":             {prepare: changeEngine(func(engine *site.Engine) { engine.LinkMbps = 0 }), size: shortSize, decision: copyOff},
		"unknown number of others": {prepare: func(r *continuityRouter) { r.routerCount = routerCount{} }, size: shortSize, decision: copyAtLimit},
		"one replica":              {prepare: func(r *continuityRouter) { r.adoptView(continuityView("n1")) }, size: shortSize, decision: copyNoStandby},
		"replica in another region": {
			prepare: func(r *continuityRouter) { r.adoptView(continuityView("n1", "s1")) }, size: shortSize, decision: copyNoStandby,
		},
		"no replica in the allowed regions": {
			prepare: func(r *continuityRouter) {
				// The zones of the regions are known, but n3 is in none of them.
				r.options.Regions = map[structs.ZoneID]string{"n1": "north", "n2": "east", "n3": "east"}
				change(func(document *site.Document) { document.Routes[3].Regions = []string{"north"} })(r)
			},
			size: shortSize, decision: copyNoStandby,
		},
	} {
		t.Run(name, func(t *testing.T) {
			inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
				if test.prepare != nil {
					test.prepare(r)
				}
				path := copiedPath
				if test.path != "" {
					path = test.path
				}
				recorder, aborted := r.askSized(t.Context(), path, test.size)
				r.checkWhole(recorder, aborted, 1)
				c.Assert(r.counted("stream_copies_total"), qt.DeepEquals, map[string]float64{test.decision: 1})
				c.Assert(r.runners.attempts[0].CopyTo != "", qt.Equals, test.decision == copyMade)
			})
		})
	}
}

// doubtAll has all runners have lost a connection a moment ago.
func doubtAll(r *continuityRouter) {
	for _, instance := range []structs.RunnerID{"e-n1", "e-n2", "e-n3"} {
		r.copies.brokenAt[instance] = r.now()
	}
}

// A runner whose connection broke is doubtful for ten seconds.
func TestDoubtEnds(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.cut = cutAt(1, 4)
		r.ask(t.Context(), copiedPath)
		former := structs.RunnerID(r.runners.attempts[0].Instance)
		signs := func() bool {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			return r.signsOf(r.now(), former).IsBroken
		}
		c.Assert(signs(), qt.IsTrue)
		<-time.After(10 * time.Second)
		c.Assert(signs(), qt.IsFalse)
		view := continuityView("n1", "n2", "n3")
		for i := range view.Runners {
			view.Runners[i].Leaving, view.Runners[i].Failing, view.Runners[i].Cold = true, true, true
		}
		r.adoptView(view)
		seen := r.signsOf(r.now(), former)
		c.Assert(seen.IsLeaving && seen.IsFailing && seen.IsCold, qt.IsTrue)
	})
}

// The leader must see a continuation as a request at the standby, and a copy must take no slot there.
func TestContinuationCountsAtItsStandby(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		active := func() []residency.ActiveCount {
			for _, demand := range r.takeDemands(r.now()) {
				if demand.Row.Model == "m" {
					return demand.Active
				}
			}
			return nil
		}
		var first, second []residency.ActiveCount
		r.runners.cut = func(_ context.Context, number, event int) error {
			if event == 2 && number == 1 {
				first = active()
			}
			if event == 6 {
				second = active()
			}
			return cutAt(1, 4)(nil, number, event)
		}
		recorder, aborted := r.ask(t.Context(), copiedPath)
		r.checkWhole(recorder, aborted, 1)
		c.Assert(first, qt.HasLen, 1)
		c.Assert(first[0].Instance, qt.Equals, r.runners.attempts[0].Instance)
		c.Assert(second, qt.HasLen, 1)
		c.Assert(second[0], qt.Equals, residency.ActiveCount{Instance: r.runners.attempts[1].Instance, Count: 1})
		c.Assert(active(), qt.HasLen, 0)
		c.Assert(r.paces, qt.HasLen, 0, qt.Commentf("the timing of two runners says nothing of either"))
	})
}

// Copies of one router may take a quarter of a standby's slots: further streams run without.
func TestCopiesAreBoundedPerStandby(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.isConcurrent = true
		r.adoptView(fleet.View{Complete: true, Runners: continuityView("n1", "n2").Runners})
		const streams = 6
		done := make(chan struct{})
		for number := range streams {
			go func() {
				defer func() { done <- struct{}{} }()
				r.askNamed(t.Context(), string(rune('a'+number)))
			}()
		}
		for range streams {
			<-done
		}
		primaries, copied := make(map[string]int), make(map[string]int)
		for _, attempt := range r.runners.attempts {
			primaries[attempt.Instance]++
			if attempt.CopyTo != "" {
				copied[attempt.Instance]++
			}
		}
		for instance, count := range primaries {
			c.Check(copied[instance], qt.Equals, min(count, 2), qt.Commentf("%s of %v", instance, primaries))
		}
	})
}

// Runners identify copies by the IDs of requests: the copy of one must never be continued as another's.
func TestSecondRequestWithTheSameIDIsNotCopied(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.runners.isConcurrent = true
		done := make(chan struct{})
		for range 2 {
			go func() {
				defer func() { done <- struct{}{} }()
				r.askNamed(t.Context(), "same")
			}()
		}
		<-done
		<-done
		c.Assert(r.counted("stream_copies_total"), qt.DeepEquals, map[string]float64{copyMade: 1, copyOff: 1})
	})
}

// A run that ended well needs no copy any more; the copy of a lost one takes memory for a while.
func TestCopyEndsWithItsRun(t *testing.T) {
	for _, test := range []struct {
		event int
		held  int
	}{{copiedEvents + 5, 0}, {4, 1}} {
		inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
			r.options.Retry = RetryRule{}
			r.runners.cut = cutAt(1, test.event)
			r.ask(t.Context(), copiedPath)
			r.mutex.Lock()
			c.Check(r.copies.owners, qt.HasLen, test.held)
			r.mutex.Unlock()
		})
	}
}

// The losses that all routers see must count at a router that has seen none, and its own must reach the
// leader.
func TestLossesOfOtherRoutersRaiseTheRisk(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		r.adopt(&domainapi.WatchReply{Term: 1, Routers: 1, StreamLosses: map[string]float64{"engine": 0.05}}, &domainapi.WatchArguments{}, r.now())
		r.runners.cut = cutAt(1, 4)
		r.askSized(t.Context(), copiedPath, longSize)
		c.Assert(r.counted("stream_copies_total"), qt.DeepEquals, map[string]float64{copyMade: 2})
		counts := r.copies.takeCounts(r.now())
		c.Assert(counts, qt.DeepEquals, []fleet.StreamCount{{Service: "engine", Sent: 2, Lost: 1}})
		c.Assert(r.copies.takeCounts(r.now()), qt.HasLen, 0)
		<-time.After(leaderRateTTL)
		c.Assert(r.copies.lossRate(r.now(), "engine") < 0.05, qt.IsTrue)
	})
}

// The goal of copies: of the streams that had begun to be copied, at most one in ten is lost with their
// runner, and those of one runner go on at several.
func TestLostRunnerLosesFewCopiedStreams(t *testing.T) {
	inContinuity(t, func(t *testing.T, c *qt.C, r *continuityRouter) {
		const lost, streams = "e-n1", 28
		r.runners.isConcurrent = true
		view := continuityView("n1", "n2", "n3")
		for i := range view.Runners {
			view.Runners[i].Slots = 24
		}
		for _, each := range continuityView("n2", "n3").Runners {
			each.Instance, each.Address, each.Slots = each.Instance+"-b", each.Address+"-b", 24
			view.Runners = append(view.Runners, each)
		}
		r.adoptView(view)
		r.runners.cut = func(_ context.Context, number, event int) error {
			r.runners.mutex.Lock()
			defer r.runners.mutex.Unlock()
			if r.runners.attempts[number-1].Instance == lost && event == 5 {
				return errReset
			}
			return nil
		}
		whole := make(chan bool)
		for number := range streams {
			go func() {
				recorder, aborted := r.askNamed(t.Context(), fmt.Sprint("stream-", number))
				whole <- !aborted && recorder.Body.String() == events(1, copiedEvents)
			}()
		}
		broken := 0
		for range streams {
			if !<-whole {
				broken++
			}
		}
		copied, standbys := 0, make(map[string]int)
		for _, attempt := range r.runners.attempts {
			if attempt.IsContinuation {
				standbys[attempt.Instance]++
			}
			if attempt.Instance == lost && attempt.CopyTo != "" {
				copied++
			}
		}
		c.Assert(copied >= 2, qt.IsTrue, qt.Commentf("%d copied", copied))
		uncopied := int(r.counted("stream_copies_total")[copyAtLimit])
		c.Assert(broken <= uncopied+copied/10, qt.IsTrue, qt.Commentf("%d broken, %d copied, %d not", broken, copied, uncopied))
		c.Assert(copied < 3 || len(standbys) >= 2, qt.IsTrue, qt.Commentf("%v", standbys))
		t.Logf("%d streams copied at the lost runner, %d broken, continued at %v", copied, broken, standbys)
	})
}
