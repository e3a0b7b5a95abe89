package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainnode"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

// The size of the site.
const (
	largeSiteZones       = 5
	largeSiteControllers = 25
	largeSiteSeeds       = 3
	largeSiteVoters      = 5
	largeSiteRouters     = 985
	// largeSiteRunners is far below what such a site has: runners are told of in a view only if they
	// change, and those that change are as many as there.
	largeSiteRunners = 100
	largeSiteModels  = 574
	// largeSiteDocumentBytes is the least size of a document's text.
	largeSiteDocumentBytes = 125_000
	largeSiteHeartbeat     = 5 * time.Second
)

// The start of the site.
const (
	// settlingTime is the time until all runners have sent heartbeats and the group has all voters.
	settlingTime = largeSiteHeartbeat
	// firstHeartbeats is the time over which the first heartbeats are spread.
	firstHeartbeats = 2 * time.Second
	// routerStartInterval keeps a thousand routers from all being new to the leader at once.
	routerStartInterval = 3 * time.Millisecond
)

// largeSite is a site of many controllers and routers in virtual time, whose controllers take time
// for each message.
type largeSite struct {
	c       *qt.C
	ctx     context.Context
	network *busyNetwork
	options largeSiteOptions
	decoder domainnode.Decoder
	// regions maps zones to regions.
	regions     map[string]string
	controllers []*largeSiteController
	routers     []*Router
	// ends has the end of each router.
	ends      []context.CancelFunc
	startedAt time.Time

	mutex sync.Mutex
	// leaderships are the leaderships that controllers began.
	leaderships []startedLeadership
	// departed are the runners that send no further heartbeats, with the time of their first call about
	// the departure while that is not acknowledged, otherwise zero.
	departed map[string]time.Time
	// longestDeparture is the longest time until a departure was acknowledged.
	longestDeparture time.Duration
	failedCalls      int
	// acknowledgedAt is when the last document was acknowledged.
	acknowledgedAt time.Time
}

// largeSiteOptions are the size of a large site and of the links of its machines.
type largeSiteOptions struct {
	regions int
	runners int
	// nameDigits is the number of random digits in the name of each runner. Names take most of the bytes of a view.
	nameDigits int
	// services is the number of services over which the runners are spread. The fewer runners a service has, the less
	// a router has to do when one of them changes.
	services int
	// viewBytes is about the size of a full view, or 0 if messages of that size are not to be counted.
	viewBytes int
	// documentBytes is the least size of a document's text.
	documentBytes int
	// controllerLink and routerLink are the bandwidths of links in bytes per second. Those of routers limit only what they receive.
	controllerLink, routerLink float64
	// seed selects the random choices of all processes.
	seed uint64
}

type largeSiteController struct {
	*domainnode.Node
	end  context.CancelFunc
	done chan struct{}
}

type startedLeadership struct {
	controller int
	term       any
	at         time.Duration
	// largeMessages is how many large messages the controller had sent to routers before.
	largeMessages int
}

// String says who led and since when.
func (l startedLeadership) String() string {
	return fmt.Sprintf("term %v of controller %d at %v", l.term, l.controller, l.at)
}

// leadershipLog is the logger of a controller. It records the leaderships that it begins.
type leadershipLog struct {
	site       *largeSite
	controller int
}

// Log implements log.Logger.
func (l leadershipLog) Log(keyvals ...any) error {
	var term any
	isStart := false
	for i := 0; i+1 < len(keyvals); i += 2 {
		switch keyvals[i] {
		case "term":
			term = keyvals[i+1]
		case "msg":
			isStart = keyvals[i+1] == "This controller leads."
		}
	}
	if isStart {
		l.site.mutex.Lock()
		defer l.site.mutex.Unlock()
		l.site.leaderships = append(l.site.leaderships, startedLeadership{
			l.controller, term, time.Since(l.site.startedAt), l.site.network.largeMessages(largeSiteControllerIP(l.controller)),
		})
	}
	return nil
}

// largeSiteDocument returns the text of a document with all models.
func (s *largeSite) document(version uint64) []byte {
	random := rand.New(rand.NewPCG(version, 1))
	engine := &site.Engine{Slots: 12, CacheTokens: 58_095, WeightsMB: 200_000, MaxAdapters: 8, LoadsPerSecond: 2}
	for index := range largeSiteModels {
		engine.Models = append(engine.Models, site.Model{
			Name: fmt.Sprint("model-", index), SizeMB: 42_700 + 30_000*float64(random.IntN(2)), LoadTime: 6900 * time.Millisecond,
			DiskLoadTime: 1700 * time.Millisecond, MemoryLoadTime: 1300 * time.Millisecond, Adapters: random.IntN(160), AdapterMB: 66,
		})
	}
	document := site.Document{
		Version: version, Limits: site.Limits{MaxBodyBytes: 1 << 20},
		Services: []site.Service{{Name: "s"}, {Name: "engine", Engine: engine}},
	}
	for index := 0; ; index++ {
		source, _ := json.Marshal(document)
		if len(source) >= s.options.documentBytes {
			return source
		}
		document.Routes = append(document.Routes, site.Route{
			Name: fmt.Sprint("route-", index), Host: fmt.Sprintf("host-%d.example", index), PathPrefix: "/", Kind: site.KindRepeatable,
			Timeout: 15 * time.Second, Objective: 800 * time.Millisecond, Split: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2,
		})
	}
}

// decodeOnce returns a decoder that parses each text once: the routers of all machines are in one
// process.
func decodeOnce() func(source []byte) (*site.Document, error) {
	var mutex sync.Mutex
	decoded := make(map[string]*site.Document)
	return func(source []byte) (*site.Document, error) {
		mutex.Lock()
		defer mutex.Unlock()
		document := decoded[string(source)]
		if document == nil {
			document = &site.Document{}
			if err := json.Unmarshal(source, document); err != nil {
				return nil, err
			}
			decoded[string(source)] = document
		}
		// An index of the document changes its engines.
		own := *document
		own.Services = slices.Clone(document.Services)
		for i := range own.Services {
			if engine := own.Services[i].Engine; engine != nil {
				cloned := *engine
				own.Services[i].Engine = &cloned
			}
		}
		return &own, nil
	}
}

// setRouter replaces a router that was started again.
func (s *largeSite) setRouter(index int, router *Router) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.routers[index] = router
}

func largeSiteZone(index int) string { return fmt.Sprint("zone-", index%largeSiteZones) }

func largeSiteControllerIP(index int) string { return fmt.Sprint("10.0.0.", index+1) }

func largeSiteAddress(index int) string { return largeSiteControllerIP(index) + ":7000" }

func largeSiteRouterIP(index int) string { return fmt.Sprintf("10.1.%d.%d", index/250, index%250+1) }

// runner returns the instance of a runner.
func (s *largeSite) runner(index int) string {
	name := fmt.Sprint("runner-", index)
	if s.options.nameDigits == 0 {
		return name
	}
	hash := sha256.Sum256([]byte(name))
	return name + "-" + hex.EncodeToString(hash[:])[:s.options.nameDigits]
}

func largeSiteSeedAddresses() (addresses []string) {
	for index := range largeSiteSeeds {
		addresses = append(addresses, largeSiteAddress(index))
	}
	return addresses
}

// onLargeSite runs a test on a site with the given number of regions that has settled under its first
// leader.
func onLargeSite(t *testing.T, regions int, test func(s *largeSite)) {
	t.Helper()
	onLargeSiteOf(t, largeSiteOptions{
		regions: regions, runners: largeSiteRunners, services: 1, documentBytes: largeSiteDocumentBytes,
		controllerLink: controllerLinkBytes, routerLink: math.Inf(1),
	}, test)
}

// onLargeSiteOf is onLargeSite for a site with other options.
func onLargeSiteOf(t *testing.T, options largeSiteOptions, test func(s *largeSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var controllerIPs []string
		for index := range largeSiteControllers {
			controllerIPs = append(controllerIPs, largeSiteControllerIP(index))
		}
		s := &largeSite{
			c: c, ctx: ctx, network: newBusyNetwork(zoneLatency, controllerIPs), regions: make(map[string]string),
			options: options, decoder: decodeOnce(),
			departed: make(map[string]time.Time), startedAt: time.Now(),
		}
		for index := range largeSiteZones {
			s.regions[largeSiteZone(index)] = fmt.Sprint("region-", index%options.regions)
		}
		s.network.linkBytes, s.network.receiverLinkBytes = options.controllerLink, options.routerLink
		if options.viewBytes > 0 {
			s.network.largeBytes = options.viewBytes / 2
		}
		c.Cleanup(s.stop)
		c.Cleanup(cancel)
		s.start()
		test(s)
	})
}

// start starts all processes and waits until the site has settled.
func (s *largeSite) start() {
	s.c.Helper()
	for index := range largeSiteControllers {
		s.startController(index)
	}
	s.await("the first document", func() bool { return s.put(0, 1) == nil })
	for index := range s.options.runners {
		go func() {
			pause.For(s.ctx, firstHeartbeats*time.Duration(index)/time.Duration(s.options.runners))
			s.sendHeartbeats(index)
		}()
	}
	pause.For(s.ctx, settlingTime)
	for index := range largeSiteRouters {
		s.routers = append(s.routers, s.startRouter(index))
		pause.For(s.ctx, routerStartInterval)
	}
	s.await("the first document and all runners at all routers", func() bool {
		return !slices.ContainsFunc(s.routers, func(router *Router) bool {
			router.mutex.Lock()
			defer router.mutex.Unlock()
			return router.version() != 1 || router.fleet.Len() != s.options.runners
		})
	})
	go s.sendRequests()
	pause.For(s.ctx, 2*time.Second)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.c.Assert(s.leaderships, qt.HasLen, 1, qt.Commentf("leaderships before any event: %v", s.leaderships))
}

func (s *largeSite) stop() {
	for _, end := range s.ends {
		end()
	}
	for _, controller := range s.controllers {
		controller.end()
		<-controller.done
	}
	// Messages under way arrive.
	pause.For(context.Background(), time.Minute)
	synctest.Wait()
}

func (s *largeSite) await(what string, holds func() bool) {
	s.c.Helper()
	for range 3000 {
		if holds() {
			return
		}
		pause.For(s.ctx, 20*time.Millisecond)
	}
	s.c.Fatalf("%s did not happen in time", what)
}

func (s *largeSite) startController(index int) {
	node, err := domainnode.New(domainnode.Options{
		Logger: leadershipLog{s, index}, Name: fmt.Sprint("controller-", index), Address: largeSiteAddress(index),
		Seeds: largeSiteSeedAddresses, Bootstrap: true, DataFolder: filepath.Join(s.c.TempDir(), "data"), Voters: largeSiteVoters,
		OrderLease: 3 * time.Second, Decoder: s.decoder, Engines: silentEngines{}, Network: s.network.from(largeSiteControllerIP(index)),
		Seed: s.options.seed<<32 + uint64(index) + 1, Zone: largeSiteZone(index), Zones: largeSiteZoneNames(), Regions: s.regions, LinkBytes: s.options.controllerLink,
		Heartbeat: largeSiteHeartbeat,
	})
	s.c.Assert(err, qt.IsNil)
	ctx, end := context.WithCancel(context.Background())
	started := &largeSiteController{Node: node, end: end, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		_ = node.Run(ctx)
	}()
	s.controllers = append(s.controllers, started)
}

func largeSiteZoneNames() (names []string) {
	for index := range largeSiteZones {
		names = append(names, largeSiteZone(index))
	}
	return names
}

func (s *largeSite) startRouter(index int) *Router {
	regions := make(map[structs.ZoneID]string)
	for zone, region := range s.regions {
		regions[structs.ZoneID(zone)] = region
	}
	router := New(Options{
		Logger: log.NewNopLogger(), Name: fmt.Sprint("router-", index), Zone: structs.ZoneID(largeSiteZone(index)), Regions: regions,
		Seeds: largeSiteSeedAddresses, Decoder: s.decoder, Network: s.network.from(largeSiteRouterIP(index)), Seed: s.options.seed<<32 + uint64(index) + 1,
	})
	ctx, end := context.WithCancel(context.Background())
	go router.Run(ctx)
	s.ends = append(s.ends, end)
	return router
}

// sendHeartbeats sends a runner's heartbeats until it departs.
func (s *largeSite) sendHeartbeats(index int) {
	instance := s.runner(index)
	for sequence := uint64(1); s.ctx.Err() == nil; sequence++ {
		s.mutex.Lock()
		_, isDeparted := s.departed[instance]
		s.mutex.Unlock()
		if isDeparted {
			return
		}
		heartbeat := s.heartbeatOf(index, sequence)
		s.callUntilAcknowledged(index, func(ctx context.Context, controller *domainnode.Node) error {
			return controller.Heartbeat(ctx, heartbeat)
		})
		pause.For(s.ctx, largeSiteHeartbeat)
	}
}

// service returns the service of a runner.
func (s *largeSite) service(index int) string {
	if index%s.options.services == 0 {
		return "s"
	}
	return fmt.Sprint("s-", index%s.options.services)
}

func (s *largeSite) heartbeatOf(index int, sequence uint64) fleet.Heartbeat {
	return fleet.Heartbeat{
		Instance: s.runner(index), Service: s.service(index), Address: fmt.Sprintf("10.2.%d.%d:80", index/250, index%250+1),
		Zone: largeSiteZone(index), Slots: 12, Sequence: sequence,
	}
}

func (s *largeSite) put(controller int, version uint64) error {
	ctx, cancel := context.WithTimeout(s.ctx, runnerCallTimeout)
	defer cancel()
	return s.controllers[controller].PutDocument(ctx, s.document(version))
}
