package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

var testRegions = map[structs.ZoneID]string{"n1": "north", "n2": "north", "s1": "south"}

func TestRegionsOfRouteAndTenantAreIntersected(t *testing.T) {
	for name, test := range map[string]struct {
		route, tenant []string
		zones         []string
		isAnywhere    bool
	}{
		"neither":              {isAnywhere: true},
		"route only":           {route: []string{"south"}, zones: []string{"s1"}},
		"tenant only":          {tenant: []string{"north"}, zones: []string{"n1", "n2"}},
		"overlapping":          {route: []string{"north"}, tenant: []string{"north", "south"}, zones: []string{"n1", "n2"}},
		"disjoint":             {route: []string{"north"}, tenant: []string{"south"}},
		"region without zones": {route: []string{"east"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			found := regionLimitOf(&site.Route{Regions: test.route}, &site.Tenant{Regions: test.tenant}, testRegions)
			c.Assert(found == nil, qt.Equals, test.isAnywhere)
			if found != nil {
				c.Assert(found.zoneNames(), qt.DeepEquals, test.zones)
			}
		})
	}
	c := qt.New(t)
	c.Assert(regionLimitOf(&site.Route{}, nil, testRegions), qt.IsNil)
}

// newRegionsRouter returns a router with a plain runner and a runner that holds a model in each
// zone but n2, and a tenant limited to the regions.
func newRegionsRouter(regions ...string) (*Router, *scriptedBackend) {
	router, backend := newTestRouter(always(fine))
	router.options.Regions = testRegions
	document := testDocument()
	document.Version = 2
	document.RequiresKeys = true
	document.Tenants = []site.Tenant{{Name: "restricted", Keys: []keys.Hash{keys.HashAPIKey("key")}, Regions: regions}}
	router.adoptDocument(document)
	router.adoptView(regionsView("n1", "s1"))
	return router, backend
}

func regionsView(zones ...string) fleet.View {
	view := fleet.View{Complete: true}
	for _, zone := range zones {
		view.Runners = append(view.Runners,
			fleet.Runner{Instance: "plain-" + zone, Service: "plain", Address: "p" + zone, Zone: zone, Slots: 4},
			fleet.Runner{Instance: "engine-" + zone, Service: "engine", Address: "e" + zone, Zone: zone, Slots: 4,
				Models: []fleet.LoadedModel{{Name: "m"}}})
	}
	return view
}

func TestRequestsStayInAllowedRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newRegionsRouter("south")
		for range 30 {
			c.Assert(askAs(router, "/once/", Credential{Key: "key"}, Size{}).Code, qt.Equals, http.StatusOK)
		}
		for _, name := range backend.runners() {
			c.Assert(name, qt.Equals, "plain-s1")
		}
	})
}

// Without a runner in the allowed regions, a request must be rejected at once and sent nowhere.
func TestRequestWithoutRunnerInRegionIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newRegionsRouter("south")
		router.adoptView(regionsView("n1"))
		began := time.Now()
		refused := askAs(router, "/once/", Credential{Key: "key"}, Size{})
		c.Assert(refused.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(refused.Header().Get("Retry-After"), qt.Equals, "1")
		c.Assert(refused.Body.String(), qt.Contains, "south")
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(backend.runners(), qt.HasLen, 0)
	})
}

// A request must wait for its model in the allowed regions even if others are served elsewhere, and
// its zones must be reported to the leader.
func TestRequestWaitsForModelInAllowedRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newRegionsRouter("south")
		view := regionsView("n1", "s1")
		view.Runners[3].Models = nil
		router.adoptView(view)
		var code int
		go func() { code = serveModel(router, "key") }()
		pause.For(t.Context(), 100*time.Millisecond)
		c.Assert(backend.runners(), qt.HasLen, 0)
		demands := router.takeDemands(time.Now())
		c.Assert(demands, qt.HasLen, 1)
		c.Assert(demands[0].Waiting, qt.Equals, 1)
		c.Assert(demands[0].Zones, qt.DeepEquals, []string{"s1"})
		router.adoptView(regionsView("n1", "s1"))
		synctest.Wait()
		c.Assert(code, qt.Equals, http.StatusOK)
		c.Assert(backend.runners(), qt.DeepEquals, []string{"engine-s1"})
	})
}

// serveModel sends a request for the model with an API key.
func serveModel(router *Router, key string) int {
	recorder := httptest.NewRecorder()
	router.Serve(recorder, &Request{
		HTTP: httptest.NewRequest(http.MethodPost, "http://h/stream/x", nil), ID: "id", Arrived: time.Now(), Wait: 5 * time.Second,
		Model: "m", ResumeAfter: NoEvent, Credential: Credential{Key: key},
	})
	return recorder.Code
}
