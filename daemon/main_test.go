package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"go.yaml.in/yaml/v3"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// run runs the program with contexts that are already done, so that a daemon that
// starts is stopped at once.
func run(arguments ...string) (code int, output, failures string) {
	stop, cancel := context.WithCancel(context.Background())
	cancel()
	var out, errs bytes.Buffer
	code = Main(stop, stop, arguments, &out, &errs)
	return code, out.String(), errs.String()
}

// settingsFile writes valid settings of a daemon and returns the path.
func settingsFile(c *qt.C) string {
	settings := newTestSiteOver(nil, c, 1).settings[0]
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

// TestLogLinesHaveOneForm checks the log of a daemon from start to end, including a
// failed TLS handshake.
func TestLogLinesHaveOneForm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		site := newTestSite(c, 1)
		settings := site.settings[0]
		settings.Roles = config.Default().Roles
		settings.Listen.Callers, settings.Listen.Operators = "127.0.0.1:0", "127.0.0.1:0"
		authority, err := keys.NewAuthority("test", time.Now())
		c.Assert(err, qt.IsNil)
		secure(c, &settings, authority, keys.Identity{Zone: "north", Daemon: "north-0"})
		var output lockedBuffer
		running, err := newDaemon(newLogger(&output, config.Log{Level: "debug", Format: "json"}), settings, site.options())
		c.Assert(err, qt.IsNil)
		running.Start()
		site.running["north-0"] = running
		site.await("its leader", func(operatorapi.GroupMembers) bool { return true })
		conn, err := site.network.DialContext(site.ctx, "tcp", running.servers[0].listener.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		c.Assert(err, qt.IsNil)
		_, err = io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		conn.Close()
		site.kill(0)

		components := componentsOf(c, output.String())
		for _, part := range []string{"daemon", "member", "group", "http"} {
			c.Check(components[part], qt.IsTrue, qt.Commentf(part))
		}
	})
}

func TestLogLinesOfTheProgramHaveTheSameForm(t *testing.T) {
	c := qt.New(t)
	code, _, failures := run("--config", settingsFile(c), "--log-format", "json")
	c.Check(code, qt.Equals, ExitOK)
	c.Check(componentsOf(c, failures)["daemon"], qt.IsTrue)
}

// componentsOf checks that all lines have the common fields and returns their
// components.
func componentsOf(c *qt.C, lines string) map[string]bool {
	components := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(lines), "\n") {
		var fields map[string]any
		c.Assert(json.Unmarshal([]byte(line), &fields), qt.IsNil, qt.Commentf(line))
		for _, field := range []string{"ts", "level", "component", "msg", "daemon", "zone"} {
			c.Check(fields[field], qt.Not(qt.IsNil), qt.Commentf("%s in %s", field, line))
		}
		name, _ := fields["component"].(string)
		components[name] = true
	}
	return components
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mutex   sync.Mutex
	content bytes.Buffer
}

func (b *lockedBuffer) Write(content []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.content.Write(content)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.content.String()
}

func TestAddressInUseNamesTheRemedy(t *testing.T) {
	for key, change := range map[string]func(*config.Config, string){
		"listen.callers":   func(s *config.Config, address string) { s.Listen.Callers = address },
		"listen.operators": func(s *config.Config, address string) { s.Listen.Operators = address },
		"listen.internal":  func(s *config.Config, address string) { s.Listen.Internal = address },
	} {
		c := qt.New(t)
		settings := newTestSiteOver(nil, c, 1).settings[0]
		settings.Roles = config.Default().Roles
		settings.Listen.Callers, settings.Listen.Operators = "127.0.0.1:0", "127.0.0.1:0"
		taken, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer taken.Close()
		change(&settings, taken.Addr().String())
		_, err = New(log.NewNopLogger(), settings, "")
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid, qt.Commentf("%v", err))
		c.Check(err, qt.ErrorMatches, ".*"+key+" .* cannot be listened on.*in use: Stop the process that listens there.*")
	}
}
