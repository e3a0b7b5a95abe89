package labcommand

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/lab"
)

func TestFleetFaultNames(t *testing.T) {
	exit, output, _ := run("fleet", "--faults", "list")
	qt.Assert(t, exit, qt.Equals, ExitOK)
	all, err := faultNames(allFaults)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Count(output, "\n"), qt.Equals, len(all))
	for _, name := range all {
		qt.Check(t, output, qt.Contains, name)
	}
	for _, list := range []string{noFaults, ""} {
		names, err := faultNames(list)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, names, qt.HasLen, 0)
	}
	_, err = faultNames("engine-crash,nothing")
	qt.Assert(t, err, qt.ErrorMatches, ".*no kind of fault nothing.*")
}

func reportFile(t *testing.T, change func(*lab.LoadReport)) string {
	report := lab.LoadReport{Violations: []lab.Violation{}}
	report.Requests, report.Answered, report.LiveInTime = 10, 10, 1
	report.FirstToken = lab.Percentiles{Count: 10, P50: 1, P95: 1, P99: 1}
	change(&report)
	encoded, err := json.Marshal(report)
	qt.Assert(t, err, qt.IsNil)
	path := filepath.Join(t.TempDir(), "report.json")
	qt.Assert(t, os.WriteFile(path, encoded, 0o600), qt.IsNil)
	return path
}

func TestCompareExitCodes(t *testing.T) {
	base := reportFile(t, func(*lab.LoadReport) {})
	slower := reportFile(t, func(r *lab.LoadReport) { r.FirstToken.P99 = 1.5 })
	violating := reportFile(t, func(r *lab.LoadReport) { r.Violations = []lab.Violation{{Invariant: "answered"}} })
	empty := reportFile(t, func(r *lab.LoadReport) { r.Requests = 0 })
	for _, test := range []struct {
		arguments []string
		exit      int
	}{
		{[]string{base, base}, ExitOK},
		{[]string{base, slower}, ExitWorse},
		{[]string{slower, base}, ExitOK},
		{[]string{base, slower, "--tolerance", "0.6"}, ExitOK},
		{[]string{base, violating}, ExitViolation},
		{[]string{base, empty}, ExitFailed},
		{[]string{base}, ExitUsage},
	} {
		exit, output, failures := run(append([]string{"compare"}, test.arguments...)...)
		qt.Check(t, exit, qt.Equals, test.exit, qt.Commentf("%v: %s%s", test.arguments, output, failures))
	}
	_, output, _ := run("compare", base, slower)
	qt.Assert(t, output, qt.Matches, `(?s).*first token p99 \(s\) +1 +1.5 +\+50.0% worse.*`)
}

func TestLoadRejectsInvalidOptions(t *testing.T) {
	for _, arguments := range [][]string{
		{"--target", "http://192.0.2.1:1"},
		{"--target", "http://127.0.0.1:1", "--rate", "1000000"},
		{"--target", "http://127.0.0.1:1", "--workload", "nothing"},
	} {
		exit, _, failures := run(append([]string{"load"}, arguments...)...)
		qt.Check(t, exit, qt.Equals, ExitFailed, qt.Commentf("%v", arguments))
		qt.Check(t, failures, qt.Not(qt.Equals), "")
	}
}

func TestProgressViewOnTerminalAndFile(t *testing.T) {
	var out bytes.Buffer
	view := newProgressView(&out)
	for second := range 12 {
		view.show(lab.Progress{Elapsed: time.Duration(second+1) * time.Second})
	}
	view.end()
	qt.Assert(t, strings.Count(out.String(), "\n"), qt.Equals, 2)
	qt.Assert(t, out.String(), qt.Not(qt.Contains), clearLine)
	view.terminal = true
	view.show(lab.Progress{})
	qt.Assert(t, out.String(), qt.Contains, clearLine)
}
