package daemon

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/keys"
)

// keySite is a daemon whose settings are loaded from a file.
type keySite struct {
	*testSite
	path   string
	client *http.Client
	output lockedBuffer
}

// newKeySite starts a daemon with the given operator and caller keys.
func newKeySite(c *qt.C, operators []config.OperatorKey, callers []config.CallerKey) *keySite {
	s := &keySite{testSite: newTestSite(c, 1), path: filepath.Join(c.TempDir(), "settings.yaml")}
	settings := &s.settings[0]
	settings.Roles = config.Default().Roles
	settings.Listen.Callers, settings.Listen.Operators = "127.0.0.1:7401", "127.0.0.1:7402"
	authority, err := keys.NewAuthority("test", time.Now())
	c.Assert(err, qt.IsNil)
	secure(c, settings, authority, keys.Identity{Zone: "north", Daemon: "north-0"})
	s.write(operators, callers)
	loaded, err := config.Load(s.path, config.Flags{})
	c.Assert(err, qt.IsNil)
	s.settings[0] = loaded
	options := s.options()
	options.settingsPath = s.path
	running, err := newDaemon(newLogger(&s.output, config.Log{Level: "info", Format: "json"}), loaded, options)
	c.Assert(err, qt.IsNil)
	running.Start()
	s.running[loaded.Daemon] = running
	public, err := keys.PublicClientConfig(loaded.TLS.CA)
	c.Assert(err, qt.IsNil)
	transport := &http.Transport{DialContext: s.network.DialContext, TLSClientConfig: public}
	c.Cleanup(transport.CloseIdleConnections)
	s.client = &http.Client{Transport: transport}
	return s
}

// write replaces the settings file by one with other API keys.
func (s *keySite) write(operators []config.OperatorKey, callers []config.CallerKey) {
	settings := s.settings[0]
	settings.Operators, settings.Callers = operators, callers
	content, err := yaml.Marshal(settings)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(keys.WriteFile(s.path, content), qt.IsNil)
}

// accepts reports whether a key is accepted. The client keeps its connection open.
func (s *keySite) accepts(url, key string) bool {
	request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, url, nil)
	s.c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := s.client.Do(request)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode != http.StatusUnauthorized && response.StatusCode != http.StatusForbidden
}

func TestAPIKeysFollowTheSettingsFile(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lost, lostHash := keys.NewAPIKey()
		kept, keptHash := keys.NewAPIKey()
		operator := func(name string, hash keys.Hash) config.OperatorKey {
			return config.OperatorKey{Name: name, Hash: hash.String()}
		}
		caller := func(name string, hash keys.Hash) config.CallerKey {
			return config.CallerKey{Name: name, Hash: hash.String()}
		}
		both := []config.OperatorKey{operator("ada", lostHash), operator("ines", keptHash)}
		s := newKeySite(c, both, []config.CallerKey{caller("old", lostHash), caller("editor", keptHash)})
		holds := func(about string, lostIsGood bool) {
			for _, url := range []string{"https://127.0.0.1:7402/v1/status", "https://127.0.0.1:7401/v1/models"} {
				c.Check(s.accepts(url, kept), qt.IsTrue, qt.Commentf("%s: %s", about, url))
				c.Check(s.accepts(url, lost), qt.Equals, lostIsGood, qt.Commentf("%s: %s", about, url))
			}
		}
		holds("at the start", true)
		s.write(both[1:], []config.CallerKey{caller("editor", keptHash)})
		holds("once the lines are gone", false)
		s.write(both, []config.CallerKey{caller("old", lostHash), caller("editor", keptHash)})
		holds("once the lines are back", true)

		// An unusable file leaves the keys in force unchanged and logs the remedy.
		for _, bad := range []struct{ about, content, remedy string }{
			{"empty", "", "Add the line that `lotusferryctl keys operator NAME` prints."},
			{"not YAML", "operators: [", "Correct the line that is named."},
			{"a broken hash", "operators: [{name: ada, hash: sha256:0}]\ncallers: [{name: editor, hash: sha256:0}]",
				"Copy the hash that `lotusferryctl keys` prints"},
		} {
			before := len(s.output.String())
			c.Assert(keys.WriteFile(s.path, []byte(bad.content)), qt.IsNil)
			holds(bad.about, true)
			logged := s.output.String()[before:]
			c.Check(strings.Count(logged, "The last good ones stay in force."), qt.Equals, 1, qt.Commentf(bad.about))
			c.Check(logged, qt.Contains, bad.remedy)
		}
		before := len(s.output.String())
		c.Assert(os.Remove(s.path), qt.IsNil)
		holds("missing", true)
		logged := s.output.String()[before:]
		c.Check(strings.Count(logged, "The last good ones stay in force."), qt.Equals, 1)
		c.Check(logged, qt.Contains, "cannot be read")

		s.write(both[1:], []config.CallerKey{caller("editor", keptHash)})
		holds("once the file is good again", false)
	})
}
