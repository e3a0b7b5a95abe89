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

// regionLimit is the set of zones in which a request may be served. It is immutable.
type regionLimit struct {
	// name is the comma-separated list of regions.
	name string
	// zones are the zones of the regions; possibly empty.
	zones map[structs.ZoneID]bool
}

// allowedZones returns the zones that may serve the request; nil for all.
func (l *regionLimit) allowedZones() map[structs.ZoneID]bool {
	if l == nil {
		return nil
	}
	return l.zones
}

// reasonNoRegion means that no runner is available in the allowed regions.
const reasonNoRegion = "no_home"

// noRegionRetryAfter is the Retry-After of such requests, about the time until the heartbeat of a
// new runner reaches the router.
const noRegionRetryAfter = time.Second

// regionLimitOf returns the regions allowed by both the route and the tenant, or nil if neither
// restricts them. Zones without a configured region are excluded.
func regionLimitOf(route *site.Route, tenant *site.Tenant, regions map[structs.ZoneID]string) *regionLimit {
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
	made := &regionLimit{name: strings.Join(slices.Sorted(slices.Values(allowed)), ","), zones: make(map[structs.ZoneID]bool)}
	for zone, region := range regions {
		if slices.Contains(allowed, region) {
			made.zones[zone] = true
		}
	}
	return made
}

// zoneNames returns the sorted names of the zones.
func (l *regionLimit) zoneNames() []string {
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(l.zones)) {
		zones = append(zones, string(zone))
	}
	return zones
}

// hasRunners reports whether the service has runners in the allowed regions, or none of its runners
// is known yet.
func (x *exchange) hasRunners() bool {
	if x.regions == nil {
		return true
	}
	x.router.mutex.Lock()
	defer x.router.mutex.Unlock()
	isListed, isAvailable := false, false
	x.router.fleet.Each(fleet.ModelKey{Service: x.row.Service}, func(runner *fleet.Runner) bool {
		isListed = true
		isAvailable = x.regions.zones[structs.ZoneID(runner.Zone)] && !runner.Leaving
		return !isAvailable
	})
	return isAvailable || !isListed && len(x.regions.zones) > 0
}

// rejectNoRegion answers a request that no runner is allowed to serve.
func (x *exchange) rejectNoRegion() {
	x.count(reasonNoRegion)
	level.Info(x.router.logger).Log("msg", "A request was refused, as it may be served nowhere.", "request", x.request.ID,
		"route", x.route.Name, "tenant", x.tenantName(), "outcome", reasonNoRegion, "regions", x.regions.name, "version", x.version,
		"age", x.router.age(x.request))
	reject(x.writer, http.StatusServiceUnavailable, noRegionRetryAfter,
		fmt.Sprintf("the request may be served in the regions %q alone, and the service has no runners there now", x.regions.name))
}
