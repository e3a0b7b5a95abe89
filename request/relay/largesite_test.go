package relay

import (
	"context"
	"encoding/json"
	"fmt"
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
	// regions maps zones to regions.
	regions     map[string]string
	controllers []*largeSiteController
	routers     []*Router
	ends        []context.CancelFunc
	startedAt   time.Time

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

type largeSiteController struct {
	*domainnode.Node
	end  context.CancelFunc
	done chan struct{}
}

type startedLeadership struct {
	controller int
	term       any
	at         time.Duration
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
		l.site.leaderships = append(l.site.leaderships, startedLeadership{l.controller, term, time.Since(l.site.startedAt)})
	}
	return nil
}

// largeSiteDocument returns the text of a document with all models.
func largeSiteDocument(version uint64) []byte {
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
		if len(source) >= largeSiteDocumentBytes {
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

func largeSiteZone(index int) string { return fmt.Sprint("zone-", index%largeSiteZones) }

func largeSiteControllerIP(index int) string { return fmt.Sprint("10.0.0.", index+1) }

func largeSiteAddress(index int) string { return largeSiteControllerIP(index) + ":7000" }

func largeSiteRouterIP(index int) string { return fmt.Sprintf("10.1.%d.%d", index/250, index%250+1) }

func largeSiteRunner(index int) string { return fmt.Sprint("runner-", index) }

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
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var controllerIPs []string
		for index := range largeSiteControllers {
			controllerIPs = append(controllerIPs, largeSiteControllerIP(index))
		}
		s := &largeSite{
			c: c, ctx: ctx, network: newBusyNetwork(zoneLatency, controllerIPs), regions: make(map[string]string),
			departed: make(map[string]time.Time), startedAt: time.Now(),
		}
		for index := range largeSiteZones {
			s.regions[largeSiteZone(index)] = fmt.Sprint("region-", index%regions)
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
	decoder := decodeOnce()
	for index := range largeSiteControllers {
		s.startController(index, decoder)
	}
	s.await("the first document", func() bool { return s.put(0, 1) == nil })
	for index := range largeSiteRunners {
		go func() {
			pause.For(s.ctx, firstHeartbeats*time.Duration(index)/largeSiteRunners)
			s.sendHeartbeats(index)
		}()
	}
	pause.For(s.ctx, settlingTime)
	for index := range largeSiteRouters {
		s.startRouter(index, decoder)
		pause.For(s.ctx, routerStartInterval)
	}
	s.await("the first document and all runners at all routers", func() bool {
		return !slices.ContainsFunc(s.routers, func(router *Router) bool {
			router.mutex.Lock()
			defer router.mutex.Unlock()
			return router.version() != 1 || router.fleet.Len() != largeSiteRunners
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

func (s *largeSite) startController(index int, decoder domainnode.Decoder) {
	node, err := domainnode.New(domainnode.Options{
		Logger: leadershipLog{s, index}, Name: fmt.Sprint("controller-", index), Address: largeSiteAddress(index),
		Seeds: largeSiteSeedAddresses, Bootstrap: true, DataFolder: filepath.Join(s.c.TempDir(), "data"), Voters: largeSiteVoters,
		OrderLease: 3 * time.Second, Decoder: decoder, Engines: silentEngines{}, Network: s.network.from(largeSiteControllerIP(index)),
		Seed: uint64(index) + 1, Zone: largeSiteZone(index), Zones: largeSiteZoneNames(), Regions: s.regions, LinkBytes: controllerLinkBytes,
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

func (s *largeSite) startRouter(index int, decoder domainnode.Decoder) {
	regions := make(map[structs.ZoneID]string)
	for zone, region := range s.regions {
		regions[structs.ZoneID(zone)] = region
	}
	router := New(Options{
		Logger: log.NewNopLogger(), Name: fmt.Sprint("router-", index), Zone: structs.ZoneID(largeSiteZone(index)), Regions: regions,
		Seeds: largeSiteSeedAddresses, Decoder: decoder, Network: s.network.from(largeSiteRouterIP(index)), Seed: uint64(index) + 1,
	})
	ctx, end := context.WithCancel(context.Background())
	go router.Run(ctx)
	s.routers, s.ends = append(s.routers, router), append(s.ends, end)
}

// sendHeartbeats sends a runner's heartbeats until it departs.
func (s *largeSite) sendHeartbeats(index int) {
	instance := largeSiteRunner(index)
	for sequence := uint64(1); s.ctx.Err() == nil; sequence++ {
		s.mutex.Lock()
		_, isDeparted := s.departed[instance]
		s.mutex.Unlock()
		if isDeparted {
			return
		}
		heartbeat := largeSiteHeartbeatOf(index, sequence)
		s.callUntilAcknowledged(index, func(ctx context.Context, controller *domainnode.Node) error {
			return controller.Heartbeat(ctx, heartbeat)
		})
		pause.For(s.ctx, largeSiteHeartbeat)
	}
}

func largeSiteHeartbeatOf(index int, sequence uint64) fleet.Heartbeat {
	return fleet.Heartbeat{
		Instance: largeSiteRunner(index), Service: "s", Address: fmt.Sprintf("10.2.%d.%d:80", index/250, index%250+1),
		Zone: largeSiteZone(index), Slots: 12, Sequence: sequence,
	}
}

func (s *largeSite) put(controller int, version uint64) error {
	ctx, cancel := context.WithTimeout(s.ctx, runnerCallTimeout)
	defer cancel()
	return s.controllers[controller].PutDocument(ctx, largeSiteDocument(version))
}
