package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

const testGigabyte = 1 << 30

// streamSite is a site that serves requests, with one daemon and one engine per zone.
// Its rows are named r0, r1 and so on.
type streamSite struct {
	testing.TB
	*qt.C
	ctx      context.Context
	options  streamSiteOptions
	network  network.Network
	random   func() uint64
	settings []config.Config
	engines  []*emulator.EngineServer
	daemons  []*Daemon
	http     *http.Transport
	scheme   string
}

type streamSiteOptions struct {
	zones  int
	secure bool
	// absent is the number of machines listed in the first zone without an engine.
	absent int
	// engine, if set, handles the generate calls of the first zone.
	engine http.Handler
	// limits, if set, modifies the limits of the HTTP servers.
	limits func(*httpLimits)
}

func newStreamSite(t testing.TB, options streamSiteOptions) *streamSite {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	if _, isTest := t.(*testing.T); isTest {
		ctx, cancel = context.WithTimeout(ctx, siteTestLimit)
	}
	c.Cleanup(cancel)
	s := &streamSite{TB: t, C: c, ctx: ctx, options: options, network: newSiteNetwork(t), random: newSiteRandom(t), scheme: "http://"}
	s.http = &http.Transport{DialContext: network.OrTCP(s.network).DialContext, MaxIdleConnsPerHost: 64}
	c.Cleanup(s.http.CloseIdleConnections)
	clock := emulator.NewClock(1)
	list := emulator.NewMachineServer(log.NewNopLogger(), emulator.NewMachineList(0), clock)
	site := config.Site{Name: "test", MachineList: "http://" + s.serve(list), StoreConcurrent: 8}
	for i := range options.zones {
		zone := structs.ZoneID(fmt.Sprintf("zone-%d", i))
		ip := testIP(s.network)
		member := config.Member{Daemon: structs.DaemonID(fmt.Sprintf("d%d", i)), Address: ip + ":7403"}
		site.Zones = append(site.Zones, config.Zone{ID: zone, Weight: 100, Controllers: []config.Member{member}, Routers: []string{ip + ":7401"}})
		site.GlobalVoters = site.Zones[0].Controllers
		list.Put(s.addEngine(i, zone, clock))
		s.settings = append(s.settings, s.newSettings(member, zone, ip))
	}
	for i := range options.absent {
		list.Put(structs.Machine{Runner: structs.RunnerID(fmt.Sprint("absent-", i)), Zone: "zone-0", Address: testIP(s.network) + ":1", State: structs.MachineLive})
	}
	if options.secure {
		s.secure()
	}
	c.Cleanup(s.close)
	for i := range s.settings {
		s.settings[i].Site = site
		s.daemons = append(s.daemons, nil)
		s.start(i)
	}
	return s
}

func (s *streamSite) newSettings(member config.Member, zone structs.ZoneID, ip string) config.Config {
	settings := config.Default()
	settings.Daemon, settings.Zone = member.Daemon, zone
	settings.Development = !s.options.secure
	settings.Bootstrap = true
	settings.Listen = config.Listen{Callers: ip + ":7401", Operators: ip + ":7402", Internal: ip + ":7403"}
	settings.DataFolder = s.C.TempDir()
	settings.Timing.TickInterval = 5 * time.Millisecond
	settings.Timing.PlanInterval = 10 * time.Millisecond
	settings.Timing.ReportInterval = 50 * time.Millisecond
	settings.Timing.MachineListInterval = 50 * time.Millisecond
	return settings
}

func (s *streamSite) close() {
	over, cancel := context.WithCancel(context.Background())
	cancel()
	for _, daemon := range s.daemons {
		if daemon != nil {
			daemon.Close(over)
		}
	}
	for _, engine := range s.engines {
		engine.Close()
	}
}

func (s *streamSite) addEngine(index int, zone structs.ZoneID, clock *emulator.Clock) structs.Machine {
	machine := structs.Machine{Runner: structs.RunnerID("engine-" + string(zone)), Zone: zone, State: structs.MachineLive}
	engine := emulator.NewEngineServer(log.NewNopLogger(), emulator.NewEngine(emulator.EngineOptions{
		Runner: machine.Runner, Zone: zone, Role: "answers", MemoryBytes: 40 * testGigabyte, Accelerators: 2,
		HostMemoryBytes: 100 * testGigabyte, DiskBytes: 100 * testGigabyte, DecodeBase: 2 * time.Millisecond,
		DecodePerSequence: time.Microsecond, LoadBase: time.Millisecond, ReportLag: 10 * time.Millisecond,
		FetchTime: func(structs.RowName, int64) (time.Duration, bool) { return time.Millisecond, true },
	}), clock)
	s.engines = append(s.engines, engine)
	var handler http.Handler = engine
	if index == 0 && s.options.engine != nil {
		handler = overridden{generate: s.options.engine, rest: engine}
	}
	machine.Address = s.serve(handler)
	return machine
}

// overridden is an engine with another handler for generate calls.
type overridden struct{ generate, rest http.Handler }

func (o overridden) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == engineapi.PathGenerate {
		o.generate.ServeHTTP(w, r)
		return
	}
	o.rest.ServeHTTP(w, r)
}

// serve serves a handler on a free port until the test ends.
func (s *streamSite) serve(handler http.Handler) string {
	listener, err := network.OrTCP(s.network).Listen(s.ctx, "127.0.0.1:0")
	s.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	s.C.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// secure issues certificates of one CA to the daemons.
func (s *streamSite) secure() {
	authority, err := keys.NewAuthority("test", time.Now())
	s.Assert(err, qt.IsNil)
	folder := s.C.TempDir()
	ca := filepath.Join(folder, "ca.crt")
	s.Assert(authority.Save(ca, filepath.Join(s.C.TempDir(), "ca.key")), qt.IsNil)
	for i := range s.settings {
		settings := &s.settings[i]
		address, err := netip.ParseAddrPort(settings.Listen.Callers)
		s.Assert(err, qt.IsNil)
		issued, err := authority.Issue(keys.Request{
			Identity:  keys.Identity{Zone: settings.Zone, Daemon: settings.Daemon},
			Addresses: []netip.Addr{address.Addr()},
			Now:       time.Now(),
		})
		s.Assert(err, qt.IsNil)
		settings.TLS = config.TLS{CA: ca, Certificate: filepath.Join(folder, fmt.Sprint(i, ".crt")), Key: filepath.Join(folder, fmt.Sprint(i, ".key"))}
		s.Assert(issued.Save(settings.TLS.Certificate, settings.TLS.Key), qt.IsNil)
	}
	public, err := keys.PublicClientConfig(ca)
	s.Assert(err, qt.IsNil)
	s.http.TLSClientConfig = public
	s.scheme = "https://"
}

// start starts or restarts a daemon.
func (s *streamSite) start(index int) {
	limits := defaultHTTPLimits()
	if s.options.limits != nil {
		s.options.limits(&limits)
	}
	daemon, err := newDaemon(log.NewNopLogger(), s.settings[index], options{limits: limits, network: s.network, random: s.random})
	s.Assert(err, qt.IsNil)
	s.daemons[index] = daemon
	daemon.Start()
}

// await waits until met returns true, checking whenever changed is signalled.
func (s *streamSite) await(what string, changed *notifier, met func() bool) {
	for {
		next := changed.wait()
		if met() {
			return
		}
		select {
		case <-next:
		case <-s.ctx.Done():
			s.TB.Fatal("waited in vain for " + what)
		}
	}
}

// replicasPerZone allows replicas of every row in every zone.
const replicasPerZone = 4

// applyRows adds rows to the table and waits until every zone is granted replicas of
// them.
func (s *streamSite) applyRows(count int) {
	edit := structs.Edit{ID: "00000000-0000-4000-8000-000000000001", Author: "test"}
	for i := range count {
		row := structs.Row{Name: structs.RowName(fmt.Sprint("r", i)), Kind: structs.RowModel, Weight: 100, MaxReplicas: replicasPerZone * len(s.daemons),
			Priority: structs.PriorityLive, MemoryBytes: testGigabyte, Role: "answers"}
		if len(s.daemons) > 1 {
			row.MinReplicas = len(s.daemons)
		}
		edit.Changes = append(edit.Changes, structs.RowChange{Row: row})
	}
	result, err := s.daemons[0].operators.Apply(s.ctx, edit, false)
	s.Assert(err, qt.IsNil)
	s.Assert(result.Problems, qt.HasLen, 0)
	for _, daemon := range s.daemons {
		s.await("the rows", &daemon.router.viewChanged, func() bool {
			daemon.router.mutex.Lock()
			defer daemon.router.mutex.Unlock()
			granted := 0
			for _, grant := range daemon.router.core.Table().Grants {
				granted += min(grant.Limit, 1)
			}
			return granted == count
		})
	}
}

// slowFactor stretches a long answer to 10 s.
const slowFactor = 20

// slowDown slows the engines so that long answers do not end during a test step;
// restoreSpeed ends that.
func (s *streamSite) slowDown() { s.setFaults(emulator.EngineFaults{SlowFactor: slowFactor}) }

func (s *streamSite) restoreSpeed() { s.setFaults(emulator.EngineFaults{}) }

func (s *streamSite) setFaults(faults emulator.EngineFaults) {
	for _, engine := range s.engines {
		engine.SetFaults(faults)
	}
}

// streamRequest returns a request whose answer has the given number of tokens, or at
// least longAnswer if tokens is larger.
func streamRequest(id, row string, tokens int) structs.Request {
	request := structs.Request{ID: structs.RequestID(id), Row: structs.RowName(row), Prompt: "the prompt of " + id,
		MaxTokens: tokens, DeadlineAt: time.Now().Add(siteTestLimit), Priority: structs.PriorityLive}
	for emulator.ExpectedLength(request.Row, request.Prompt, tokens) < min(tokens, longAnswer) {
		request.Prompt += "."
	}
	return request
}

func (s *streamSite) url(index int) string { return s.scheme + s.settings[index].Listen.Callers }

// call sends a request to a daemon.
func (s *streamSite) call(index int, request structs.Request) (api.Answer, error) {
	return api.NewClient(&http.Client{Transport: s.http}).Call(s.ctx, s.url(index), "", "", request)
}

// ask sends a request to a daemon and returns its complete answer.
func (s *streamSite) ask(index int, request structs.Request) (string, error) {
	answer, err := s.call(index, request)
	if err != nil {
		return "", err
	}
	return readRest(answer, "")
}

// readRest appends the remaining tokens of an answer to text.
func readRest(answer api.Answer, text string) (string, error) {
	defer answer.Close()
	for {
		token, err := answer.Next(context.Background())
		if err != nil {
			return text, err
		}
		text += token.Text
		if token.Finish != "" {
			return text, nil
		}
	}
}

// wholeAnswer returns the engines' complete answer to a request.
func wholeAnswer(request structs.Request) string {
	text := ""
	for i := range emulator.ExpectedLength(request.Row, request.Prompt, request.MaxTokens) {
		text += emulator.ExpectedToken(request.Row, request.Prompt, i)
	}
	return text
}

// executions returns how many times the engines started to run a request.
func (s *streamSite) executions(request structs.Request) int {
	count := 0
	for _, engine := range s.engines {
		engine.Engine(func(engine *emulator.Engine, _ time.Time) []emulator.EngineOutput {
			for _, execution := range engine.Records().Executions {
				if execution.PromptHash == emulator.PromptHash(request.Row, request.Prompt) {
					count++
				}
			}
			return nil
		})
	}
	return count
}
