package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainnode"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

var (
	regionalZones  = []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	regionOfZone   = map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"}
	siteRegions    = map[structs.ZoneID]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"}
	regionalRunner = "runner"
)

// regionalSite is a site of two regions with a controller and routers in each zone, in virtual time.
type regionalSite struct {
	c       *qt.C
	ctx     context.Context
	network *regionalNetwork
	folder  string
	// hasRelays is set if the settings name the regions.
	hasRelays bool
	routers   []*regionalRouter

	mutex sync.Mutex
	// controllers has nil for those that do not run. Only the test itself changes it.
	controllers []*regionalController
	// runners are the runners that send heartbeats.
	runners map[string]bool
}

type regionalController struct {
	*domainnode.Node
	ip, zone string
	end      context.CancelFunc
	done     chan struct{}
}

type regionalRouter struct {
	*Router
	zone string
	end  context.CancelFunc

	mutex sync.Mutex
	// followed is the relay that it watches; empty for the leader.
	followed string
	// relayFailures counts the relays that failed or redirected it.
	relayFailures int
	// term and revision identify its view; wentBack is set if one was older than the one before.
	term, revision uint64
	wentBack       string
}

// Log implements log.Logger. It records what the router says of the controllers.
func (r *regionalRouter) Log(keyvals ...any) error {
	fields := make(map[string]any)
	for i := 0; i+1 < len(keyvals); i += 2 {
		fields[fmt.Sprint(keyvals[i])] = keyvals[i+1]
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch fields["msg"] {
	case "Watching another controller.":
		r.followed = fields["relay"].(string)
	case "A relay did not answer; another controller is asked.":
		r.relayFailures++
	case "A view of the runners was adopted.":
		term, revision := fields["term"].(uint64), fields["revision"].(uint64)
		if term < r.term || term == r.term && revision < r.revision {
			r.wentBack = fmt.Sprintf("from %d/%d to %d/%d", r.term, r.revision, term, revision)
		}
		r.term, r.revision = term, revision
	}
	return nil
}

func (r *regionalRouter) follows() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.followed
}

// takes reports whether the router's view lists a runner that is not leaving.
func (r *regionalRouter) takes(instance string) bool {
	r.Router.mutex.Lock()
	defer r.Router.mutex.Unlock()
	known := r.fleet.Runner(instance)
	return known != nil && !known.Leaving
}

type silentEngines struct{}

func (silentEngines) Order(context.Context, domainnode.Holder, residency.Order, func() bool) (residency.Outcome, notice.Notice) {
	return residency.OutcomeRejected, notice.Notice{}
}

func (silentEngines) Report(context.Context, fleet.Heartbeat) (residency.Report, notice.Notice, error) {
	return residency.Report{}, notice.Notice{}, nil
}

func regionalDecoder(source []byte) (*site.Document, error) {
	document := &site.Document{}
	return document, json.Unmarshal(source, document)
}

func regionalDocument(version int) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Limits":{"MaxBodyBytes":1},"Services":[{"Name":"s"}]}`, version)
}

// inRegions runs a test on a site with a controller and the given number of routers in each zone.
func inRegions(t *testing.T, hasRelays bool, routersPerZone int, test func(s *regionalSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		zones := make(map[string]string)
		for index, zone := range regionalZones {
			zones[controllerIP(index)] = zone
			// One more router may be started by the test.
			for i := range routersPerZone + 1 {
				zones[routerIP(index, i)] = zone
			}
		}
		s := &regionalSite{
			c: c, ctx: ctx, folder: c.TempDir(), hasRelays: hasRelays, network: newRegionalNetwork(zones, regionOfZone),
			controllers: make([]*regionalController, len(regionalZones)), runners: make(map[string]bool),
		}
		c.Cleanup(s.stop)
		c.Cleanup(cancel)
		for index := range regionalZones {
			s.startController(index, true)
		}
		for index := range regionalZones {
			for i := range routersPerZone {
				s.routers = append(s.routers, s.newRouter(index, i))
			}
		}
		s.await("the document", func() bool { return s.controllers[0].PutDocument(ctx, regionalDocument(1)) == nil })
		s.addRunners(8)
		pause.For(ctx, 15*time.Second)
		s.awaitSettled()
		test(s)
		s.checkNoneWentBack()
	})
}

func (s *regionalSite) stop() {
	s.network.set(func() {
		clear(s.network.isolated)
		clear(s.network.cuts)
		clear(s.network.muted)
	})
	for _, router := range s.routers {
		router.end()
	}
	for _, controller := range s.controllers {
		if controller != nil {
			controller.end()
			<-controller.done
		}
	}
	// The bytes under way and the ends of connections take their latency.
	pause.For(context.Background(), time.Second)
	synctest.Wait()
}

func controllerIP(index int) string    { return fmt.Sprint("10.0.0.", index+1) }
func regionalAddress(index int) string { return controllerIP(index) + ":7000" }
func routerIP(zone, index int) string  { return fmt.Sprint("10.1.", zone, ".", index+1) }
func isRouterIP(ip string) bool        { return strings.HasPrefix(ip, "10.1.") }
func runnerInstance(index int) string  { return fmt.Sprint(regionalRunner, "-", index) }
func regionalSeeds() (addresses []string) {
	for index := range regionalZones {
		addresses = append(addresses, regionalAddress(index))
	}
	return addresses
}

func (s *regionalSite) await(what string, holds func() bool) {
	s.c.Helper()
	for range 12000 {
		if holds() {
			return
		}
		pause.For(s.ctx, 5*time.Millisecond)
	}
	s.c.Fatalf("%s did not happen in time", what)
}

func (s *regionalSite) startController(index int, isFirst bool) {
	options := domainnode.Options{
		Logger: log.NewNopLogger(), Name: fmt.Sprint("controller-", index), Address: regionalAddress(index), Seeds: regionalSeeds,
		Bootstrap: isFirst, DataFolder: filepath.Join(s.folder, fmt.Sprint(index)), Voters: 5, OrderLease: 3 * time.Second,
		Decoder: regionalDecoder, Engines: silentEngines{}, Network: s.network.from(controllerIP(index)), Seed: uint64(index) + 1,
		Zone: regionalZones[index], Zones: regionalZones, Heartbeat: time.Second,
	}
	if s.hasRelays {
		options.Regions = regionOfZone
	}
	node, err := domainnode.New(options)
	s.c.Assert(err, qt.IsNil)
	ctx, end := context.WithCancel(context.Background())
	started := &regionalController{Node: node, ip: controllerIP(index), zone: regionalZones[index], end: end, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		_ = node.Run(ctx)
	}()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.controllers[index] = started
}

// kill ends a controller without a handover.
func (s *regionalSite) kill(index int) {
	s.mutex.Lock()
	killed := s.controllers[index]
	s.controllers[index] = nil
	s.mutex.Unlock()
	killed.end()
	<-killed.done
}

func (s *regionalSite) newRouter(zone, index int) *regionalRouter {
	made := &regionalRouter{zone: regionalZones[zone]}
	options := Options{
		Logger: made, Name: fmt.Sprintf("router-%s-%d", made.zone, index), Zone: structs.ZoneID(made.zone), Seeds: regionalSeeds,
		Decoder: regionalDecoder, Network: s.network.from(routerIP(zone, index)), Seed: uint64(10*zone+index) + 1,
	}
	if s.hasRelays {
		options.Regions = siteRegions
	}
	made.Router = New(options)
	ctx, end := context.WithCancel(context.Background())
	made.end = end
	go made.Run(ctx)
	return made
}

// addRunners starts runners that send heartbeats every second.
func (s *regionalSite) addRunners(count int) {
	for index := range count {
		s.addRunner(runnerInstance(index))
	}
}

func (s *regionalSite) addRunner(instance string) {
	s.mutex.Lock()
	s.runners[instance] = true
	port := 1000 + len(s.runners)
	s.mutex.Unlock()
	go func() {
		for sequence := uint64(1); s.ctx.Err() == nil; sequence++ {
			s.mutex.Lock()
			isRunning := s.runners[instance]
			s.mutex.Unlock()
			if !isRunning {
				return
			}
			heartbeat := fleet.Heartbeat{
				Instance: instance, Service: "s", Address: fmt.Sprint("10.2.0.1:", port), Zone: "a1", Slots: 16, Sequence: sequence,
			}
			if leading := s.leading(); leading != nil {
				_ = leading.Heartbeat(s.ctx, heartbeat)
			}
			pause.For(s.ctx, time.Second)
		}
	}()
}

// depart reports that a runner is gone, and returns once that is acknowledged.
func (s *regionalSite) depart(instance string) {
	s.c.Helper()
	s.mutex.Lock()
	delete(s.runners, instance)
	s.mutex.Unlock()
	s.await("the departure", func() bool {
		leading := s.leading()
		return leading != nil && leading.Depart(s.ctx, instance, 0) == nil
	})
}

// leader returns the index of the controller that leads, or -1.
func (s *regionalSite) leader() int {
	s.mutex.Lock()
	running := slices.Clone(s.controllers)
	s.mutex.Unlock()
	for index, controller := range running {
		if controller != nil && controller.Leads() {
			return index
		}
	}
	return -1
}

func (s *regionalSite) leading() *regionalController {
	leader := s.leader()
	if leader < 0 {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.controllers[leader]
}

// expected returns the address of the relay that a router of a zone watches when all controllers
// run; empty for the leader.
func (s *regionalSite) expected(zone string) string {
	for index, each := range regionalZones {
		if s.hasRelays && each == zone && index != s.leader() {
			return regionalAddress(index)
		}
	}
	return ""
}

// awaitSettled waits until each router watches the controller in its zone.
func (s *regionalSite) awaitSettled() {
	s.c.Helper()
	s.await("all routers at the nearest controllers", func() bool {
		for _, router := range s.routers {
			if s.leader() < 0 || router.follows() != s.expected(router.zone) {
				return false
			}
		}
		return true
	})
}

// allTake reports whether all routers may send requests to a runner, or none may.
func (s *regionalSite) allTake(instance string, isTaken bool) bool {
	for _, router := range s.routers {
		if router.takes(instance) != isTaken {
			return false
		}
	}
	return true
}

func (s *regionalSite) checkNoneWentBack() {
	s.c.Helper()
	for _, router := range s.routers {
		router.mutex.Lock()
		s.c.Check(router.wentBack, qt.Equals, "", qt.Commentf(router.options.Name))
		router.mutex.Unlock()
	}
}

// relaysBeyond returns the indexes of the controllers in the region in which a controller is not.
func (s *regionalSite) relaysBeyond(controller int) (relays []int) {
	for index, zone := range regionalZones {
		if regionOfZone[zone] != regionOfZone[regionalZones[controller]] {
			relays = append(relays, index)
		}
	}
	return relays
}

// relayOf returns the index of a relay in a region that serves routers.
func (s *regionalSite) relayIn(region string) int {
	for index, zone := range regionalZones {
		if strings.HasPrefix(zone, region) && index != s.leader() && s.controllers[index] != nil {
			return index
		}
	}
	s.c.Fatal("no relay")
	return -1
}
