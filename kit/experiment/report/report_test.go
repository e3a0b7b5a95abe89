package report

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/experiment"
)

func newRun(site string, policy experiment.Policy, seed uint64, p99, idle float64) experiment.Run {
	return experiment.Run{
		Site: site, Policy: policy, Seed: seed, IdleHours: idle, GateInTime: 1,
		ColdWait: experiment.Quantiles{P99: p99}, ColdStart: experiment.Quantiles{P99: p99},
	}
}

func TestTargetsCompareMeansOverSeeds(t *testing.T) {
	runs := []experiment.Run{
		newRun("padano", experiment.PolicyLotusferry, 1, 1, 100), newRun("padano", experiment.PolicyLotusferry, 2, 3, 100),
		newRun("padano", experiment.PolicyLRU, 1, 4, 90), newRun("padano", experiment.PolicyLRU, 2, 4, 90),
		newRun("padano", experiment.PolicyOracle, 1, 0, 10),
	}
	got := New("command", 1, runs).Groups[0]
	qt.Assert(t, got.Policies, qt.HasLen, 3)
	qt.Assert(t, got.Policies[0].ColdWaitP99, qt.Equals, Spread{Mean: 2, Min: 1, Max: 3})
	var met []bool
	for _, target := range got.Targets {
		met = append(met, target.Met)
	}
	qt.Assert(t, got.Targets[0].Measured, qt.Equals, 0.5)
	qt.Assert(t, met, qt.DeepEquals, []bool{true, true, false, false, false})
}

func TestGateTargetUsesWorstSeed(t *testing.T) {
	late := newRun("meknes", experiment.PolicyLotusferry, 2, 1, 10)
	late.GateInTime = 0.998
	runs := []experiment.Run{newRun("meknes", experiment.PolicyLotusferry, 1, 1, 10), late, newRun("meknes", experiment.PolicyKeepAlive, 1, 1, 30)}
	targets := New("command", 1, runs).Groups[0].Targets
	qt.Assert(t, targets, qt.HasLen, 2)
	qt.Assert(t, targets[0].Met, qt.IsTrue)
	qt.Assert(t, targets[1].Met, qt.IsFalse)
}

func TestWriteHTMLIncludesCommandPlotsAndViolations(t *testing.T) {
	run := newRun("padano", experiment.PolicyLRU, 1, 4, 90)
	run.Violations = []experiment.Violation{{Invariant: "store", Detail: "9 reads"}}
	result := New("lotusferrylab experiment --days 1", 1, []experiment.Run{run})
	var page bytes.Buffer
	qt.Assert(t, result.WriteHTML(&page), qt.IsNil)
	for _, want := range []string{"lotusferrylab experiment --days 1", "store: 9 reads", "padano, faults off"} {
		qt.Check(t, page.String(), qt.Contains, want)
	}
	qt.Check(t, bytes.Count(page.Bytes(), []byte("<svg")), qt.Equals, 4)
}

func TestWriteFolderWritesBothFiles(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "new")
	result := New("command", 1, []experiment.Run{newRun("padano", experiment.PolicyLRU, 1, 4, 90)})
	qt.Assert(t, result.WriteFolder(folder), qt.IsNil)
	for _, name := range []string{"report.json", "report.html"} {
		data, err := os.ReadFile(filepath.Join(folder, name))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(data), qt.Contains, "command")
	}
}
