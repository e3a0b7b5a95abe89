package simulate

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	requestRoutersPerZone = 2
	requestEnginesPerZone = 3
	requestCallersPerZone = 3
	// requestRowBytes is the memory of a row; all rows fit together on an engine.
	requestRowBytes int64 = 4 << 30
)

// requestRow is a row with the zones that serve it.
type requestRow struct {
	name  structs.RowName
	zones []structs.ZoneID
	// initialZone, if set, is the only zone that loads the row before coldUntil.
	initialZone structs.ZoneID
}

// coldUntil is when all serving zones load the rows with an initialZone.
const coldUntil = 12 * time.Second

// loadAt returns the earliest virtual time at which the zone's engines load the row.
func (r requestRow) loadAt(zone structs.ZoneID) time.Duration {
	if r.initialZone == "" || r.initialZone == zone {
		return 0
	}
	return coldUntil
}

var (
	requestZones = []structs.ZoneID{"zone-a", "zone-b", "zone-c"}
	requestRows  = []requestRow{
		{name: "symbols", zones: requestZones},
		{name: "harvest", zones: requestZones},
		{name: "certificate", zones: requestZones[:2]},
		{name: "orchard", zones: requestZones, initialZone: "zone-b"},
	}
)

// servedIn reports whether the zone serves the row.
func (r requestRow) servedIn(zone structs.ZoneID) bool {
	for _, serving := range r.zones {
		if serving == zone {
			return true
		}
	}
	return false
}

// requestSite is a simulated site of the requests scenario.
type requestSite struct {
	*simulatedSite
	records *requestRecords

	// controlled is the site whose controllers decide on placement. Without it,
	// singleGroups and answerEngines simulate the zones' control plane.
	controlled    *tableSite
	singleGroups  map[structs.ZoneID]*zoneGroup
	answerEngines []*answerEngine

	routers []*routerHost
	engines []*streamingEngine
	callers []*requestCaller
	// rows lists the rows that callers request.
	rows []structs.RowName
	// loadEnd is when arrivals stop.
	loadEnd time.Duration
	// load multiplies the arrival rate, batchLoad that of batch requests.
	load      float64
	batchLoad float64
	submitted int
	// networkFaults counts the cuts and storms in progress.
	networkFaults int
}

// newRequestSite returns a site with a single group per zone.
func newRequestSite(plan seedPlan) *requestSite {
	shared := newSimulatedSite(plan)
	site := newEmptyRequestSite(&shared)
	for _, row := range requestRows {
		site.rows = append(site.rows, row.name)
	}
	site.loadEnd = requestLoadEnd
	site.scheduler.limit = requestEventLimit
	for _, zone := range requestZones {
		site.addZone(zone)
	}
	site.begin()
	return site
}

// newEmptyRequestSite returns a request site without engines and routers.
func newEmptyRequestSite(shared *simulatedSite) *requestSite {
	site := &requestSite{
		simulatedSite: shared,
		singleGroups:  map[structs.ZoneID]*zoneGroup{},
		load:          1,
		batchLoad:     1,
	}
	site.records = newRequestRecords(site)
	return site
}

// begin starts the routers and the arrivals.
func (s *requestSite) begin() {
	for _, router := range s.routers {
		router.start()
	}
	s.scheduleArrival()
}

func (s *requestSite) addZone(zone structs.ZoneID) {
	group := newZoneGroup(s, zone)
	s.singleGroups[zone] = group
	for i := range requestEnginesPerZone {
		id := structs.RunnerID(fmt.Sprintf("%s/engine-%d", zone, i+1))
		host := newAnswerEngine(s, id, zone)
		s.answerEngines = append(s.answerEngines, host)
		s.engines = append(s.engines, &host.streamingEngine)
	}
	s.addRouters(zone)
}

func (s *requestSite) addRouters(zone structs.ZoneID) {
	for i := range requestRoutersPerZone {
		id := structs.DaemonID(fmt.Sprintf("%s/router-%d", zone, i+1))
		s.routers = append(s.routers, newRouterHost(s, id, zone))
	}
}

// homes returns the zones' groups for a newly started router.
func (s *requestSite) homes() map[structs.ZoneID]homeGroup {
	homes := map[structs.ZoneID]homeGroup{}
	for _, zone := range requestZones {
		if s.controlled == nil {
			homes[zone] = s.singleGroups[zone]
		} else {
			homes[zone] = newReplicatedHome(s.controlled, zone)
		}
	}
	return homes
}

// between returns a random duration in [least, most).
func (s *requestSite) between(least, most time.Duration) time.Duration {
	return between(s.random, least, most)
}

func (s *requestSite) chance(probability float64) bool { return s.random.Float64() < probability }

// routersOf returns the routers of a zone.
func (s *requestSite) routersOf(zone structs.ZoneID) []*routerHost {
	var found []*routerHost
	for _, router := range s.routers {
		if router.zone == zone {
			found = append(found, router)
		}
	}
	return found
}

func (s *requestSite) engineNamed(id structs.RunnerID) *streamingEngine {
	for _, engine := range s.engines {
		if engine.id == id {
			return engine
		}
	}
	return nil
}

func (s *requestSite) routerNamed(id structs.DaemonID) *routerHost {
	for _, router := range s.routers {
		if router.id == id {
			return router
		}
	}
	return nil
}
