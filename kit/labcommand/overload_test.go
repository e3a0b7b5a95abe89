package labcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/overload"
)

func TestOverloadPrintsAndWritesTheSameReport(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "report")
	var output, failures bytes.Buffer
	arguments := []string{"overload", "--seed", "3", "--seeds", "2", "--for", "2s", "--scenario", "load-1.0x", "--policy", "lotusferry", "--json", "--report", folder}
	code := Run(context.Background(), arguments, Environment{Output: &output, Errors: &failures})
	qt.Assert(t, code, qt.Equals, ExitOK, qt.Commentf("%s", &failures))
	var report overload.Report
	qt.Assert(t, json.Unmarshal(output.Bytes(), &report), qt.IsNil)
	qt.Assert(t, report.Scenarios, qt.HasLen, 1)
	qt.Assert(t, report.Requests > 0 && len(report.Violations) == 0, qt.IsTrue)
	written, err := os.ReadFile(filepath.Join(folder, overloadJSON))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(written), qt.Equals, output.String())
	table, err := os.ReadFile(filepath.Join(folder, overloadTable))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(table), qt.Contains, "| goodput_per_second |")
}

func TestOverloadRejectsUnknownPolicy(t *testing.T) {
	var output, failures bytes.Buffer
	code := Run(context.Background(), []string{"overload", "--policy", "absent"}, Environment{Output: &output, Errors: &failures})
	qt.Assert(t, code, qt.Equals, ExitFailed)
	qt.Assert(t, failures.String(), qt.Contains, "Name a scenario")
}
