package config_test

import (
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// localFlags returns flags for a temporary data folder with TLS files for the
// example's daemon.
func localFlags(c *qt.C, example string) config.Flags {
	content, err := os.ReadFile(examplePath(example))
	c.Assert(err, qt.IsNil)
	settings, problems := config.Decode(content)
	c.Assert(problems, qt.HasLen, 0)
	callers, err := netip.ParseAddrPort(settings.Listen.Callers)
	c.Assert(err, qt.IsNil)
	authority, err := keys.NewAuthority(settings.Site.Name, time.Now())
	c.Assert(err, qt.IsNil)
	return issueFlags(c, authority, keys.Request{
		Identity:  keys.Identity{Zone: settings.Zone, Daemon: settings.Daemon},
		Addresses: []netip.Addr{callers.Addr()},
		Now:       time.Now(),
	})
}

// issueFlags writes the files of a new certificate and returns flags with their paths.
func issueFlags(c *qt.C, authority *keys.Authority, request keys.Request) config.Flags {
	folder := c.TempDir()
	path := func(name string) string { return filepath.Join(folder, name) }
	c.Assert(authority.Save(path("ca.crt"), path("ca.key")), qt.IsNil)
	issued, err := authority.Issue(request)
	c.Assert(err, qt.IsNil)
	c.Assert(issued.Save(path("own.crt"), path("own.key")), qt.IsNil)
	return config.Flags{DataFolder: folder, TLSCA: path("ca.crt"), TLSCertificate: path("own.crt"), TLSKey: path("own.key")}
}

func examplePath(name string) string { return filepath.Join("..", "examples", name) }

func TestExamplesAreValid(t *testing.T) {
	tests := map[string]config.Site{
		"padano.yaml": {Zones: make([]config.Zone, 3), Objective: structs.ObjectiveLatency, StoreConcurrent: 8},
		"meknes.yaml": {Zones: make([]config.Zone, 4), Objective: structs.ObjectiveIdle, StoreConcurrent: 11},
	}
	for file, want := range tests {
		c := qt.New(t)
		loaded, err := config.Load(examplePath(file), localFlags(c, file))
		c.Assert(err, qt.IsNil)
		c.Check(loaded.Check(), qt.HasLen, 0)
		c.Check(loaded.Site.Zones, qt.HasLen, len(want.Zones))
		c.Check(loaded.Site.Objective, qt.Equals, want.Objective)
		c.Check(loaded.Site.StoreConcurrent, qt.Equals, want.StoreConcurrent)
	}
}

func TestPlannerSettingsReachTheScheduler(t *testing.T) {
	c := qt.New(t)
	unset := config.Default()
	c.Check(unset.Site.PlanSettings(), qt.Equals, scheduler.DefaultSettings())
	loaded, err := config.Load(examplePath("padano.yaml"), localFlags(c, "padano.yaml"))
	c.Assert(err, qt.IsNil)
	c.Check(loaded.Site.PlanSettings().ReserveBytes, qt.Equals, int64(16<<30))
	site := config.Site{Objective: structs.ObjectiveIdle, Planner: config.Planner{
		ReserveBytes: 1, LatencyColdStartWorth: 2, IdleColdStartWorth: 3, MinimumKeepAlive: 4, MaximumKeepAlive: 5,
	}}
	want := scheduler.DefaultSettings()
	want.Objective, want.ReserveBytes = structs.ObjectiveIdle, 1
	want.LatencyColdStartWorth, want.IdleColdStartWorth = 2, 3
	want.MinKeepAlive, want.MaxKeepAlive = 4, 5
	c.Check(site.PlanSettings(), qt.Equals, want)
}

func TestFlagsOverrideFile(t *testing.T) {
	c := qt.New(t)
	flags := localFlags(c, "padano.yaml")
	want, err := config.Load(examplePath("padano.yaml"), flags)
	c.Assert(err, qt.IsNil)
	authority, err := keys.NewAuthority("padano", time.Now())
	c.Assert(err, qt.IsNil)
	flags = issueFlags(c, authority, keys.Request{Identity: keys.Identity{Zone: "sala-b", Daemon: "sala-b-2"}, Now: time.Now()})
	want.DataFolder = flags.DataFolder
	want.TLS = config.TLS{CA: flags.TLSCA, Certificate: flags.TLSCertificate, Key: flags.TLSKey}
	flags.Daemon, want.Daemon = "sala-b-2", "sala-b-2"
	flags.Zone, want.Zone = "sala-b", "sala-b"
	flags.ListenCallers, want.Listen.Callers = "10.20.2.12:7400", "10.20.2.12:7400"
	flags.ListenInternal, want.Listen.Internal = "10.20.2.12:7402", "10.20.2.12:7402"
	flags.LogLevel, want.Log.Level = "debug", "debug"
	flags.Roles, want.Roles = []string{"controller", "router"}, []config.Role{config.RoleController, config.RoleRouter}
	loaded, err := config.Load(examplePath("padano.yaml"), flags)
	c.Assert(err, qt.IsNil)
	c.Check(loaded, qt.DeepEquals, want)
}

// problemTests each invalidate one setting of an example and expect a problem with
// that key.
var problemTests = []struct {
	name   string
	change func(*config.Config)
	key    string
	warns  bool
}{
	{"no daemon", func(s *config.Config) { s.Daemon = "" }, "daemon", false},
	{"slash in the daemon", func(s *config.Config) { s.Daemon = "a/b" }, "daemon", false},
	{"zone not in the site", func(s *config.Config) { s.Zone = "sala-z" }, "zone", false},
	{"zone of another daemon", func(s *config.Config) { s.Zone = "sala-b" }, "zone", false},
	{"unlisted controller", func(s *config.Config) { s.Daemon = "sala-a-9" }, "daemon", true},
	{"no role", func(s *config.Config) { s.Roles = nil }, "roles", false},
	{"unknown role", func(s *config.Config) { s.Roles = append(s.Roles, "voter") }, "roles[2]", false},
	{"role twice", func(s *config.Config) { s.Roles = append(s.Roles, config.RoleRouter) }, "roles[2]", false},
	{"controller without the role", func(s *config.Config) { s.Roles = s.Roles[:1] }, "roles", false},
	{"no data folder", func(s *config.Config) { s.DataFolder = "" }, "data_folder", false},
	{"missing data folder", func(s *config.Config) { s.DataFolder += "/none" }, "data_folder", false},
	{"data folder is a file", func(s *config.Config) { s.DataFolder = s.TLS.CA }, "data_folder", false},
	{"data folder that cannot be written", func(s *config.Config) { s.DataFolder = "/proc" }, "data_folder", false},
	{"host name", func(s *config.Config) { s.Listen.Callers = "localhost:7400" }, "listen.callers", false},
	{"no port", func(s *config.Config) { s.Listen.Internal = "10.20.1.11" }, "listen.internal", false},
	{"no address for the role", func(s *config.Config) { s.Listen.Callers = "" }, "listen.callers", false},
	{"same port", func(s *config.Config) { s.Listen.Operators = s.Listen.Callers }, "listen.operators", false},
	{"same port on the unspecified address", func(s *config.Config) { s.Listen.Internal = "0.0.0.0:7400" }, "listen.internal", false},
	{"development on a non-loopback address", func(s *config.Config) { s.Development = true; s.TLS = config.TLS{} }, "listen.callers", false},
	{"TLS in development", func(s *config.Config) { s.Development = true }, "tls.key", false},
	{"TLS incomplete", func(s *config.Config) { s.TLS.Key = "" }, "tls.key", false},
	{"TLS file missing", func(s *config.Config) { s.TLS.CA += ".none" }, "tls.ca", false},
	{"negative reserve", func(s *config.Config) { s.Site.Planner.ReserveBytes = -1 }, "site.planner.reserve_bytes", false},
	{"reserve above the maximum", func(s *config.Config) { s.Site.Planner.ReserveBytes = 1<<40 + 1 }, "site.planner.reserve_bytes", false},
	{"cold start worth below the minimum", func(s *config.Config) { s.Site.Planner.IdleColdStartWorth = 0.001 }, "site.planner.idle_cold_start_worth", false},
	{"cold start worth is NaN", func(s *config.Config) { s.Site.Planner.LatencyColdStartWorth = math.NaN() }, "site.planner.latency_cold_start_worth", false},
	{"idle worth above latency worth", func(s *config.Config) { s.Site.Planner.IdleColdStartWorth = 5001 }, "site.planner.latency_cold_start_worth", true},
	{"negative keep-alive", func(s *config.Config) { s.Site.Planner.MinimumKeepAlive = -1 }, "site.planner.minimum_keep_alive", false},
	{"keep-alive above the maximum", func(s *config.Config) { s.Site.Planner.MaximumKeepAlive = 721 * time.Hour }, "site.planner.maximum_keep_alive", false},
	{"minimum keep-alive above the maximum", func(s *config.Config) {
		s.Site.Planner.MinimumKeepAlive = 24 * time.Hour
		s.Site.Planner.MaximumKeepAlive = time.Hour
	}, "site.planner.minimum_keep_alive", false},
	{"objective unknown", func(s *config.Config) { s.Site.Objective = "cost" }, "site.objective", false},
	{"no zone", func(s *config.Config) { s.Site.Zones = nil }, "site.zones", false},
	{"zone twice", func(s *config.Config) { s.Site.Zones[1].ID = "sala-a" }, "site.zones[1].id", false},
	{"zone without weight", func(s *config.Config) { s.Site.Zones[2].Weight = 0 }, "site.zones[2].weight", false},
	{"daemon in two zones", func(s *config.Config) { s.Site.Zones[1].Controllers[0].Daemon = "sala-a-2" }, "site.zones[1].controllers[0].daemon", false},
	{"address twice", func(s *config.Config) { s.Site.Zones[1].Controllers[0].Address = "10.20.1.12:7402" }, "site.zones[1].controllers[0].address", false},
	{"unspecified member", func(s *config.Config) { s.Site.Zones[0].Controllers[2].Address = "0.0.0.0:7402" }, "site.zones[0].controllers[2].address", false},
	{"even number of voters", func(s *config.Config) { s.Site.Zones[0].Controllers = s.Site.Zones[0].Controllers[:2] }, "site.zones[0].controllers", true},
	{"single voter", func(s *config.Config) { s.Site.Zones[0].Controllers = s.Site.Zones[0].Controllers[:1] }, "site.zones[0].controllers", true},
	{"all members standbys", func(s *config.Config) {
		for i := range s.Site.Zones[0].Controllers {
			s.Site.Zones[0].Controllers[i].Standby = true
		}
	}, "site.zones[0].controllers", true},
	{"router by name", func(s *config.Config) { s.Site.Zones[0].Routers[0] = "router:7400" }, "site.zones[0].routers[0]", false},
	{"no global voter", func(s *config.Config) { s.Site.GlobalVoters = nil }, "site.global_voters", false},
	{"unknown global voter", func(s *config.Config) { s.Site.GlobalVoters[0].Daemon = "x" }, "site.global_voters[0].daemon", false},
	{"other address of a global voter", func(s *config.Config) { s.Site.GlobalVoters[0].Address = "10.20.1.11:9" }, "site.global_voters[0].address", false},
	{"half of the voters in a zone", func(s *config.Config) { s.Site.GlobalVoters = s.Site.GlobalVoters[:2] }, "site.global_voters", true},
	{"machine list by name", func(s *config.Config) { s.Site.MachineList = "http://machines/" }, "site.machine_list", false},
	{"machine list of another scheme", func(s *config.Config) { s.Site.MachineList = "ftp://10.0.0.1" }, "site.machine_list", false},
	{"machine list over TLS", func(s *config.Config) { s.Site.MachineList = "https://10.0.0.1:8700" }, "site.machine_list", false},
	{"machine list with a path", func(s *config.Config) { s.Site.MachineList = "http://10.0.0.1:8700/machines" }, "site.machine_list", false},
	{"machine list with a user", func(s *config.Config) { s.Site.MachineList = "http://a:b@10.0.0.1:8700" }, "site.machine_list", false},
	{"router of two zones", func(s *config.Config) { s.Site.Zones[1].Routers[0] = "10.20.1.12:7400" }, "site.zones[1].routers[0]", false},
	{"router at a controller's address", func(s *config.Config) { s.Site.Zones[0].Routers[0] = "10.20.2.11:7402" }, "site.zones[0].routers[0]", false},
	{"listens on a port that the site does not list", func(s *config.Config) { s.Listen.Internal = "10.20.1.11:7502" }, "listen.internal", false},
	{"listens at another daemon's address", func(s *config.Config) { s.Listen.Internal = "10.20.1.12:7402" }, "listen.internal", false},
	{"no store concurrency", func(s *config.Config) { s.Site.StoreConcurrent = 0 }, "site.store_concurrent", false},
	{"no operator", func(s *config.Config) { s.Operators = nil }, "operators", false},
	{"hash of another algorithm", func(s *config.Config) { s.Operators[0].Hash = "md5:00" }, "operators[0].hash", false},
	{"no caller", func(s *config.Config) { s.Callers = nil }, "callers", false},
	{"caller twice", func(s *config.Config) { s.Callers[1].Name = s.Callers[0].Name }, "callers[1].name", false},
	{"key twice", func(s *config.Config) { s.Callers[1].Hash = s.Callers[0].Hash }, "callers[1].hash", false},
	{"priority unknown", func(s *config.Config) { s.Callers[0].Priority = "urgent" }, "callers[0].priority", false},
	{"tick out of range", func(s *config.Config) { s.Timing.TickInterval = 0 }, "timing.tick_interval", false},
	{"election timeout too short", func(s *config.Config) { s.Timing.ElectionTicks = s.Timing.HeartbeatTicks }, "timing.election_ticks", false},
	{"machine list interval too long", func(s *config.Config) { s.Timing.MachineListInterval *= 4 }, "timing.machine_list_interval", false},
	{"zero queue limit", func(s *config.Config) { s.Limits.QueuePerRow = 0 }, "limits.queue_per_row", false},
	{"negative caller tokens", func(s *config.Config) { s.Limits.CallerTokensPerMinute = -1 }, "limits.caller_tokens_per_minute", false},
	{"negative row tokens", func(s *config.Config) { s.Limits.RowTokensPerMinute = -1 }, "limits.row_tokens_per_minute", false},
	{"body too large", func(s *config.Config) { s.Limits.BodyBytes = 1 << 40 }, "limits.body_bytes", false},
	{"deadline above its maximum", func(s *config.Config) { s.Limits.DefaultDeadline = s.Limits.MaximumDeadline * 2 }, "limits.default_deadline", false},
	{"claim retention too short", func(s *config.Config) { s.Limits.ClaimRetention = s.Limits.MaximumDeadline / 2 }, "limits.claim_retention", false},
	{"log level unknown", func(s *config.Config) { s.Log.Level = "loud" }, "log.level", false},
	{"log format unknown", func(s *config.Config) { s.Log.Format = "xml" }, "log.format", false},
}

func TestCheckReportsProblem(t *testing.T) {

	for _, test := range problemTests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			settings, err := config.Load(examplePath("padano.yaml"), localFlags(c, "padano.yaml"))
			c.Assert(err, qt.IsNil)
			test.change(&settings)
			c.Check(hasProblem(settings.Check(), test.key, test.warns), qt.IsTrue, qt.Commentf("%v", settings.Check()))
		})
	}
}

// hasProblem reports whether problems has one with the key and a remedy.
func hasProblem(problems []config.Problem, key string, warning bool) bool {
	for _, problem := range problems {
		if problem.Key == key && problem.Warning == warning && problem.Problem != "" && strings.HasSuffix(problem.Remedy, ".") {
			return true
		}
	}
	return false
}

// TestCheckWarnsOfUnreachableStoredResponses covers routers that the site does not list,
// whose only known address is their listen address.
func TestCheckWarnsOfUnreachableStoredResponses(t *testing.T) {
	for _, test := range []struct {
		name     string
		internal string
		daemon   structs.DaemonID
		role     config.Role
		warns    bool
	}{
		{"no address", "", "router-1", config.RoleRouter, true},
		{"unspecified address", "0.0.0.0:7402", "router-1", config.RoleRouter, true},
		{"unspecified IPv6 address", "[::]:7402", "router-1", config.RoleRouter, true},
		{"port 0", "10.20.1.19:0", "router-1", config.RoleRouter, true},
		{"loopback address", "127.0.0.1:7402", "router-1", config.RoleRouter, true},
		{"address and port", "10.20.1.19:7402", "router-1", config.RoleRouter, false},
		{"unspecified address of a listed daemon", "0.0.0.0:7402", "sala-a-1", config.RoleRouter, false},
		{"unspecified address of a daemon without the router role", "0.0.0.0:7402", "router-1", config.RoleController, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			settings, err := config.Load(examplePath("padano.yaml"), localFlags(c, "padano.yaml"))
			c.Assert(err, qt.IsNil)
			settings.Listen.Internal, settings.Daemon = test.internal, test.daemon
			settings.Roles = []config.Role{test.role}
			c.Check(hasProblem(settings.Check(), "listen.internal", true), qt.Equals, test.warns, qt.Commentf("%v", settings.Check()))
		})
	}
	c := qt.New(t)
	local, err := config.Load(examplePath("loopback.yaml"), config.Flags{DataFolder: c.TempDir(), Daemon: "router-1", Roles: []string{"router"}})
	c.Assert(err, qt.IsNil)
	c.Check(hasProblem(local.Check(), "listen.internal", true), qt.IsFalse, qt.Commentf("%v", local.Check()))
}

func TestLoadReportsAllProblemsTogether(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "bad.yaml")
	content := "daemon: a\ncolour: red\nlisten: {port: 1}\ntiming: {tick_interval: soon}\nsite: {objective: cost}\n"
	c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	_, err := config.Load(path, config.Flags{})
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	for _, part := range []string{"colour: is an unknown key (line 2)", "port: is an unknown key", "soon", `site.objective: "cost"`, "data_folder", "tls.ca"} {
		c.Check(err.Error(), qt.Contains, part)
	}
}

func TestLoadRejectsUnusableFile(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "bad.yaml")
	contents := []string{"daemon: [a", "daemon: a\n---\ndaemon: b\n", "daemon: a\ndaemon: b\n", "- a\n", strings.Repeat("# long\n", 1<<20)}
	for _, content := range contents {
		c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
		_, err := config.Load(path, config.Flags{})
		c.Check(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
		c.Check(err, qt.ErrorMatches, `(?s).*(file: |larger than).*`)
	}
	_, err := config.Load(path+".missing", config.Flags{})
	c.Check(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
}

// TestSettingsPageNamesEveryKey guards against settings that
// docs/operations/settings.md does not document.
func TestSettingsPageNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "operations", "settings.md"))
	qt.Assert(t, err, qt.IsNil)
	var check func(prefix string, kind reflect.Type)
	check = func(prefix string, kind reflect.Type) {
		for index := range kind.NumField() {
			field := kind.Field(index)
			key := prefix + field.Tag.Get("yaml")
			switch {
			case field.Type.Kind() == reflect.Struct:
				check(key+".", field.Type)
				continue
			case field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
				check("", field.Type.Elem())
			}
			qt.Check(t, string(page), qt.Contains, "`"+key+"`")
		}
	}
	check("", reflect.TypeFor[config.Config]())
}

func TestCallerPriority(t *testing.T) {
	tests := map[string]structs.Priority{
		"": structs.PriorityLive, "live": structs.PriorityLive,
		"standard": structs.PriorityStandard, "batch": structs.PriorityBatch,
	}
	for name, want := range tests {
		qt.Check(t, config.CallerKey{Priority: name}.HighestPriority(), qt.Equals, want, qt.Commentf(name))
	}
}

// FuzzDecode checks that settings decoded without a problem survive an encode and
// decode round trip, and that Check never panics.
func FuzzDecode(f *testing.F) {
	for _, name := range []string{"padano.yaml", "meknes.yaml"} {
		content, err := os.ReadFile(examplePath(name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Add([]byte("daemon: [a"))
	f.Add([]byte("a: &x [*x]"))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, problems := config.Decode(content)
		settings.DataFolder = "" // Check must not read files of the machine
		settings.TLS = config.TLS{}
		settings.Check()
		if len(problems) > 0 {
			return
		}
		written, err := yaml.Marshal(settings)
		qt.Assert(t, err, qt.IsNil)
		again, problems := config.Decode(written)
		qt.Assert(t, problems, qt.HasLen, 0)
		rewritten, err := yaml.Marshal(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(rewritten), qt.Equals, string(written))
	})
}
