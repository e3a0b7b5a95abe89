package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"github.com/lotusferry/lotusferry/config"
)

// run runs the program until it ends by itself; a daemon that starts is stopped at once.
func run(arguments ...string) (code int, output, failures string) {
	stop, cancel := context.WithCancel(context.Background())
	cancel()
	var out, errs bytes.Buffer
	code = Main(stop, stop, arguments, &out, &errs)
	return code, out.String(), errs.String()
}

// settingsFile writes settings that a daemon starts with.
func settingsFile(c *qt.C) string {
	settings := newTestSite(c, 1).settings[0]
	settings.Listen.Operators = "127.0.0.1:0"
	content, err := yaml.Marshal(settings)
	c.Assert(err, qt.IsNil)
	path := filepath.Join(c.TempDir(), "settings.yaml")
	c.Assert(os.WriteFile(path, content, 0o600), qt.IsNil)
	return path
}

func TestCheckNeverStartsADaemon(t *testing.T) {
	c := qt.New(t)
	path := settingsFile(c)
	for _, arguments := range [][]string{{"check", "--config", path}, {"--config", path, "check"}} {
		code, output, failures := run(arguments...)
		c.Check(code, qt.Equals, ExitOK)
		c.Check(output, qt.Contains, path+" can be used\n")
		c.Check(failures, qt.Equals, "")
	}
	code, output, _ := run("check", "--config", path, "--zone", "nowhere")
	c.Check(code, qt.Equals, ExitSettings)
	c.Check(output, qt.Contains, `zone: "nowhere" is not a zone of the site: Name one of the zones`)
	c.Check(output, qt.Contains, path+" cannot be used\n")

	code, output, _ = run("check", "--config", path, "--zone", "nowhere", "--json")
	c.Check(code, qt.Equals, ExitSettings)
	var result config.CheckResult
	c.Assert(json.Unmarshal([]byte(output), &result), qt.IsNil)
	c.Check(result.OK, qt.IsFalse)
	c.Check(result.Problems[0].Key, qt.Equals, "zone")

	code, _, failures := run("check", "--config", path+".none")
	c.Check(code, qt.Equals, ExitSettings)
	c.Check(failures, qt.Contains, "cannot be read")
}

func TestWrongCommandLinesStartNoDaemon(t *testing.T) {
	c := qt.New(t)
	path := settingsFile(c)
	for _, arguments := range [][]string{{"chek", "--config", path}, {"--config", path, "rest"}, {"check"}, {}, {"--colour"}} {
		code, _, failures := run(arguments...)
		c.Check(code, qt.Equals, ExitUsage, qt.Commentf("%v", arguments))
		c.Check(failures, qt.Not(qt.Equals), "")
	}
	code, output, failures := run("--help")
	c.Check(code, qt.Equals, ExitOK)
	c.Check(output, qt.Contains, "--config")
	c.Check(failures, qt.Equals, "")
}
