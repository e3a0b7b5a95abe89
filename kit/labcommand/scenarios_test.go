package labcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/kit/lab"
	"github.com/lotusferry/lotusferry/kit/simulate"
)

func run(arguments ...string) (exit int, output, failures string) {
	var out, errs bytes.Buffer
	exit = Run(context.Background(), arguments, Environment{Output: &out, Errors: &errs})
	return exit, out.String(), errs.String()
}

func TestListedFailuresAreReproducible(t *testing.T) {
	kinds := map[string]bool{}
	for _, kind := range lab.FaultKinds() {
		kinds[kind.Name] = true
	}
	covered := map[string]bool{}
	for _, entry := range failures {
		qt.Assert(t, len(entry.Simulate)+len(entry.Fleet) > 0, qt.IsTrue, qt.Commentf("%s", entry.Name))
		for _, name := range entry.Simulate {
			covered[name] = true
			qt.Assert(t, simulate.Check(name), qt.IsNil, qt.Commentf("%s", entry.Name))
		}
		for _, name := range entry.Fleet {
			qt.Assert(t, kinds[name], qt.IsTrue, qt.Commentf("%s: %s", entry.Name, name))
		}
	}
	for _, known := range simulate.Scenarios() {
		for _, plan := range known.Plans {
			if name := known.Name + "/" + plan.Name; plan.Name != "calm" {
				qt.Assert(t, covered[name], qt.IsTrue, qt.Commentf("%s is not listed", name))
			}
		}
	}
	exit, output, _ := run("scenarios")
	qt.Assert(t, exit, qt.Equals, ExitOK)
	qt.Assert(t, output, qt.Contains, "fleet: not yet")
}

func TestSimulateReportsAndReplaysViolations(t *testing.T) {
	exit, output, _ := run("simulate", "--scenario", "table/calm", "--json")
	qt.Assert(t, exit, qt.Equals, ExitOK)
	qt.Assert(t, output, qt.Contains, `"violations": []`)
	var report simulate.Result
	qt.Assert(t, json.Unmarshal([]byte(output), &report), qt.IsNil)
	qt.Assert(t, report.HoursPerSecond > 0, qt.IsTrue)

	file := filepath.Join(t.TempDir(), "replay.json")
	exit, output, failures := run("simulate", "--scenario", "table/calm", "--mutate", "order-unapplied", "--write-replay", file)
	qt.Assert(t, exit, qt.Equals, ExitViolation)
	qt.Assert(t, output+failures, qt.Contains, "violation of reservation")
	exit, replayed, _ := run("simulate", "--replay", file, "--json")
	qt.Assert(t, exit, qt.Equals, ExitViolation)
	qt.Assert(t, json.Unmarshal([]byte(replayed), &report), qt.IsNil)
	qt.Assert(t, report.Violations, qt.HasLen, 1)
	qt.Assert(t, output, qt.Contains, report.Violations[0].Message)
}

func TestSimulateListsMutationsAndRejectsUnknownNames(t *testing.T) {
	exit, output, _ := run("simulate", "--mutate", "help")
	qt.Assert(t, exit, qt.Equals, ExitOK)
	qt.Assert(t, output, qt.Contains, "no-fence")
	for _, arguments := range [][]string{
		{"simulate", "--scenario", "nothing"}, {"simulate", "--scenario", "table/nothing"},
		{"simulate", "--mutate", "nothing"}, {"simulate", "--replay", filepath.Join(t.TempDir(), "none")},
	} {
		exit, _, failures := run(arguments...)
		qt.Assert(t, exit, qt.Equals, ExitFailed, qt.Commentf("%v", arguments))
		qt.Assert(t, failures, qt.Not(qt.Equals), "")
	}
}
