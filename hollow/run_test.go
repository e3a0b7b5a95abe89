package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// smallSite is a site of a few seconds of real time with all kinds of faults.
func smallSite(workers int, seed uint64) Options {
	return Options{
		Regions: 2, Zones: 3, Daemons: 24, Controls: 6, Runners: 48, Models: 10, Adapters: 200,
		Duration: 15 * time.Second, RealLimit: time.Hour, Share: 0.1, BurstEdits: 20, Workers: workers, Seed: seed,
	}
}

func runSite(c *qt.C, options Options) Report {
	report, err := Run(context.Background(), options, io.Discard)
	c.Assert(err, qt.IsNil)
	return report
}

// counts is the part of a report that does not depend on the machine.
func counts(c *qt.C, report Report) string {
	report.BootstrapRealSeconds, report.LoadRealSeconds, report.ProcessCPUSeconds = 0, 0, 0
	report.Cost, report.Memory = nil, MemoryReport{}
	encoded, err := json.Marshal(report)
	c.Assert(err, qt.IsNil)
	return string(encoded)
}

func TestSmallSiteKeepsWhatMustHold(t *testing.T) {
	c := qt.New(t)
	report := runSite(c, smallSite(2, 1))
	c.Assert(report.Violations, qt.HasLen, 0)
	c.Assert(report.CutShort, qt.IsFalse)
	requests := report.Requests
	c.Assert(requests.Open, qt.Equals, 0)
	c.Assert(requests.Answered+requests.Refused+requests.Cut, qt.Equals, requests.Sent)
	c.Assert(requests.Answered > requests.Sent*9/10, qt.IsTrue, qt.Commentf("%+v", requests))
	c.Assert(report.Edits.Accepted > 0, qt.IsTrue)
	c.Assert(report.Edits.Missing, qt.Equals, 0)
	c.Assert(report.LoadsDone > 0, qt.IsTrue)
	kinds := map[string]bool{}
	for _, fault := range report.Faults {
		kinds[fault.Kind] = true
	}
	for _, kind := range []string{"runner failed", "runner restarted", "router restarted", "zone cut off", "region cut off", "control machine failed", "rack lost"} {
		c.Assert(kinds[kind], qt.IsTrue, qt.Commentf(kind))
	}
}

func TestEqualSeedsGiveEqualCountsWithAnyWorkers(t *testing.T) {
	c := qt.New(t)
	options := smallSite(1, 7)
	options.Duration = 6 * time.Second
	first := counts(c, runSite(c, options))
	options.Workers = 3
	c.Assert(counts(c, runSite(c, options)), qt.Equals, first)
	options.Seed = 8
	c.Assert(counts(c, runSite(c, options)) != first, qt.IsTrue)
}

func TestSiteThatCannotBeLaidOutIsRefused(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"one zone":              func(o *Options) { o.Zones = 1 },
		"more regions":          func(o *Options) { o.Regions = 4 },
		"no control machine":    func(o *Options) { o.Controls = 2 },
		"too few routers":       func(o *Options) { o.Daemons = 8 },
		"fewer runners":         func(o *Options) { o.Runners = 2 },
		"share above the whole": func(o *Options) { o.Share = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			options := smallSite(1, 1)
			change(&options)
			_, err := Run(context.Background(), options, io.Discard)
			c.Assert(err, qt.Not(qt.IsNil))
			c.Assert(err.(*structs.Error).Kind, qt.Equals, structs.ErrorInvalid)
		})
	}
}

func TestCancelledRunEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var progress bytes.Buffer
	_, err := Run(ctx, smallSite(1, 1), &progress)
	c.Assert(err, qt.Equals, context.Canceled)
}

func TestCutPartsAZoneFromTheOthersOnly(t *testing.T) {
	c := qt.New(t)
	laid, err := newSite(smallSite(1, 1))
	c.Assert(err, qt.IsNil)
	defer laid.clock.close()
	first, second, third := laid.zones[0], laid.zones[1], laid.zones[2]
	laid.cuts = []zoneCut{{zones: laid.zones[:2], from: 5, to: 9}}
	c.Assert(laid.connected(first, third, 4), qt.IsTrue)
	c.Assert(laid.connected(first, third, 5), qt.IsFalse)
	c.Assert(laid.connected(third, second, 8), qt.IsFalse)
	c.Assert(laid.connected(first, second, 5), qt.IsTrue)
	c.Assert(laid.connected(first, third, 9), qt.IsTrue)
}

// A dead runner refuses the connection, so a request with a key did not run there.
func TestAttemptAtADeadRunnerDidNotRun(t *testing.T) {
	c := qt.New(t)
	options := smallSite(1, 1)
	options.KeyedShare = 1
	laid, err := newSite(options)
	c.Assert(err, qt.IsNil)
	defer laid.clock.close()
	r := &run{site: laid, ctx: context.Background(), progress: io.Discard, began: time.Now()}
	c.Assert(r.bootstrap(), qt.IsNil)
	home := laid.zones[0]
	home.prepare()
	for _, node := range home.runners {
		node.crash()
	}
	for _, model := range home.load.models {
		home.request(model, false)
	}
	laid.clock.advance(requestDeadline + 2*lateAllowance)
	c.Assert(home.load.refused, qt.Equals, len(home.load.models))
	c.Assert(home.load.refusedBy["unavailable/outcome_unknown"], qt.Equals, 0, qt.Commentf("%v", home.load.refusedBy))
	c.Assert(home.box.violations, qt.HasLen, 0)
}

func TestLostRackLeavesTheMachineList(t *testing.T) {
	c := qt.New(t)
	laid, err := newSite(smallSite(1, 1))
	c.Assert(err, qt.IsNil)
	defer laid.clock.close()
	laid.openRouters()
	home := laid.zones[0]
	home.openBox()
	home.now = int64(machineListLag)
	home.loseRack()
	lost := len(home.runners) / rackPart
	c.Assert(home.box.machines.List(home.time()), qt.HasLen, len(home.runners))
	home.now += int64(machineListLag)
	c.Assert(home.box.machines.List(home.time()), qt.HasLen, len(home.runners)-lost)
}
