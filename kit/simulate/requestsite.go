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
	// The table's rows of this scenario are all loaded on every engine of the
	// zones that serve them.
	requestRowBytes int64 = 4 << 30
)

// requestRow is a row with the zones that serve it.
type requestRow struct {
	name  structs.RowName
	zones []structs.ZoneID
	// coldOutside, if set, is the only zone that loads the row before coldUntil.
	coldOutside structs.ZoneID
}

// coldUntil is when the zones load the rows that only one of them loads at first.
const coldUntil = 12 * time.Second

// loadAt is when, in virtual time, the zone's engines load the row at the earliest.
func (r requestRow) loadAt(zone structs.ZoneID) time.Duration {
	if r.coldOutside == "" || r.coldOutside == zone {
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
		{name: "orchard", zones: requestZones, coldOutside: "zone-b"},
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

	// controlled is the site whose controllers decide what is loaded where. Without
	// it, singleGroups and answerEngines stand for the zones' control.
	controlled    *tableSite
	singleGroups  map[structs.ZoneID]*zoneGroup
	answerEngines []*answerEngine

	routers []*routerHost
	engines []*streamingEngine
	callers []*requestCaller
	// rows are those that callers ask for.
	rows []structs.RowName
	// loadEnd is when callers stop coming.
	loadEnd time.Duration
	// load multiplies the arrivals, batchLoad only those of batch requests.
	load      float64
	batchLoad float64
	submitted int
	// networkFaults counts the cuts and storms under way.
	networkFaults int
}

// newRequestSite makes a site whose zones have a single group each.
func newRequestSite(plan seedPlan) *requestSite {
	shared := newSimulatedSite(plan)
	site := newRequestParties(&shared)
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

// newRequestParties makes the requests' part of a site, without engines and routers.
func newRequestParties(shared *simulatedSite) *requestSite {
	site := &requestSite{
		simulatedSite: shared,
		singleGroups:  map[structs.ZoneID]*zoneGroup{},
		load:          1,
		batchLoad:     1,
	}
	site.records = newRequestRecords(site)
	return site
}

// begin starts the routers and lets callers come.
func (s *requestSite) begin() {
	for _, router := range s.routers {
		router.start()
	}
	s.arriveNext()
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

// homes returns the zones' groups as a router that has just started sees them.
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

// between draws a duration from least to most.
func (s *requestSite) between(least, most time.Duration) time.Duration {
	return between(s.random, least, most)
}

func (s *requestSite) chance(probability float64) bool { return s.random.Float64() < probability }

// routersOf lists the routers of a zone.
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
