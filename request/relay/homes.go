package relay

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

// home is where a request may be served. It does not change.
type home struct {
	// name lists the regions.
	name string
	// zones are those of the regions. It may be empty.
	zones map[structs.ZoneID]bool
}

// reasonNoHome is that of a request for which there are no runners where it may be served.
const reasonNoHome = "no_home"

// homelessReturn is when callers of such requests are asked to come back: about as long as a heartbeat of a runner
// that starts there, and its way here, take.
const homelessReturn = time.Second

// homeOf is where a request of a tenant on a route may be served; nil for anywhere. The regions of both bind.
// Of a zone that the settings do not list it is not known where it is, so that nothing is sent there.
func homeOf(route *site.Route, tenant *site.Tenant, regions map[structs.ZoneID]string) *home {
	allowed := route.Regions
	if tenant != nil && len(tenant.Regions) > 0 {
		if len(allowed) == 0 {
			allowed = tenant.Regions
		} else {
			isOther := func(region string) bool { return !slices.Contains(tenant.Regions, region) }
			allowed = slices.DeleteFunc(slices.Clone(allowed), isOther)
		}
	} else if len(allowed) == 0 {
		return nil
	}
	made := &home{name: strings.Join(slices.Sorted(slices.Values(allowed)), ","), zones: make(map[structs.ZoneID]bool)}
	for zone, region := range regions {
		if slices.Contains(allowed, region) {
			made.zones[zone] = true
		}
	}
	return made
}

// listZones lists the zones, sorted.
func (h *home) listZones() []string {
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(h.zones)) {
		zones = append(zones, string(zone))
	}
	return zones
}

// hasRunners reports whether a service has runners where the request may be served, or nothing is known of its
// runners yet.
func (x *exchange) hasRunners() bool {
	if x.home == nil {
		return true
	}
	x.router.mutex.Lock()
	defer x.router.mutex.Unlock()
	isListed, isHome := false, false
	x.router.fleet.Each(fleet.ModelKey{Service: x.row.Service}, func(runner *fleet.Runner) bool {
		isListed = true
		isHome = x.home.zones[structs.ZoneID(runner.Zone)] && !runner.Leaving
		return !isHome
	})
	return isHome || !isListed && len(x.home.zones) > 0
}

// refuseHomeless answers a request that no runner may get.
func (x *exchange) refuseHomeless() {
	x.count(reasonNoHome)
	level.Info(x.router.logger).Log("msg", "A request was refused, as it may be served nowhere.", "request", x.request.ID,
		"route", x.route.Name, "tenant", x.tenantName(), "outcome", reasonNoHome, "regions", x.home.name, "version", x.version,
		"age", x.router.age(x.request))
	refuse(x.writer, http.StatusServiceUnavailable, homelessReturn,
		fmt.Sprintf("the request may be served in the regions %q alone, and the service has no runners there now", x.home.name))
}
