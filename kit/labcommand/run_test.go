package labcommand_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/labcommand"
)

// run executes a command line with a cancelled context, so that commands that run until
// interrupted return immediately.
func run(arguments ...string) (code int, output, failures string) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out, errs bytes.Buffer
	code = labcommand.Run(ctx, arguments, labcommand.Environment{Output: &out, Errors: &errs})
	return code, out.String(), errs.String()
}

func TestInvalidCommandLinesFailWithUsage(t *testing.T) {
	c := qt.New(t)
	for _, arguments := range [][]string{{"fleet", "padano"}, {"scenarios", "all"}, {"demon"}, {}, {"demo", "--colour"}, {"platform"}} {
		code, output, failures := run(arguments...)
		c.Check(code, qt.Equals, labcommand.ExitUsage, qt.Commentf("%v", arguments))
		c.Check(output, qt.Equals, "")
		c.Check(failures, qt.Not(qt.Equals), "")
	}
	code, output, failures := run("--help")
	c.Check(code, qt.Equals, labcommand.ExitOK)
	c.Check(output, qt.Contains, "demo")
	c.Check(failures, qt.Equals, "")
}

func TestPlatformServesConfiguredZones(t *testing.T) {
	c := qt.New(t)
	content, err := os.ReadFile(filepath.Join("..", "..", "examples", "loopback.yaml"))
	c.Assert(err, qt.IsNil)
	settings := filepath.Join(c.TempDir(), "settings.yaml")
	write := func(machineList string) {
		changed := strings.Replace(string(content), "http://127.0.0.1:8700", machineList, 1)
		c.Assert(os.WriteFile(settings, []byte(changed), 0o600), qt.IsNil)
	}
	write("http://127.81.3.9:18700")
	code, output, failures := run("platform", "--config", settings, "--runners", "3")
	c.Assert(code, qt.Equals, labcommand.ExitOK, qt.Commentf(failures))
	c.Check(output, qt.Contains, "machine list http://127.81.3.9:18700, weight store http://127.81.3.9:18701\n")
	c.Check(output, qt.Contains, "runner local-answers-2 at 127.81.3.9:18704, 48 GiB\n")

	for machineList, problem := range map[string]string{
		"http://10.20.0.5:8700":   "no loopback address",
		"http://127.81.3.9:65534": "have no ports",
	} {
		write(machineList)
		code, _, failures = run("platform", "--config", settings)
		c.Check(code, qt.Equals, labcommand.ExitFailed)
		c.Check(failures, qt.Contains, problem)
	}
}
