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
	simulatedSite
	records *requestRecords

	groups  map[structs.ZoneID]*zoneGroup
	routers []*routerHost
	engines []*answerEngine
	callers []*requestCaller
	// load multiplies the arrivals, batchLoad only those of batch requests.
	load      float64
	batchLoad float64
	submitted int
	// networkFaults counts the cuts and storms under way.
	networkFaults int
}

func newRequestSite(plan seedPlan) *requestSite {
	site := &requestSite{
		simulatedSite: newSimulatedSite(plan),
		groups:        map[structs.ZoneID]*zoneGroup{},
		load:          1,
		batchLoad:     1,
	}
	site.scheduler.limit = requestEventLimit
	site.records = newRequestRecords(site)
	for _, zone := range requestZones {
		site.addZone(zone)
	}
	for _, router := range site.routers {
		router.start()
	}
	site.arriveNext()
	return site
}

func (s *requestSite) addZone(zone structs.ZoneID) {
	group := newZoneGroup(s, zone)
	s.groups[zone] = group
	for i := range requestEnginesPerZone {
		id := structs.RunnerID(fmt.Sprintf("%s/engine-%d", zone, i+1))
		s.engines = append(s.engines, newAnswerEngine(s, id, zone))
	}
	for i := range requestRoutersPerZone {
		id := structs.DaemonID(fmt.Sprintf("%s/router-%d", zone, i+1))
		s.routers = append(s.routers, newRouterHost(s, id, zone))
	}
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

func (s *requestSite) engineNamed(id structs.RunnerID) *answerEngine {
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
