package relay

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

var (
	seriesSeed  = flag.Uint64("series-seed", 1, "first seed of the random series of configurations")
	seriesCount = flag.Int("series-count", 12, "number of random series of configurations")
)

const (
	// seriesTime is the length of a series, seriesRequests the number of its requests, and seriesWait the time of each.
	seriesTime     = 20 * time.Second
	seriesRequests = 150
	seriesWait     = 6 * time.Second
	// seriesExtra is a share of the retry budget that the silences use up.
	seriesExtra = 3
	// maxPauseInSeries is longer than any silence limit of the routes.
	maxPauseInSeries = 2500 * time.Millisecond
)

// configSeries is a random series of configurations at one router, whose sound runners fall silent for a time.
type configSeries struct {
	c       *qt.C
	router  *Router
	runners *steadyRunners

	mutex  sync.Mutex
	random *rand.Rand
	// silentUntil is until when each runner sends nothing, by its ID.
	silentUntil map[string]time.Time
	// counts are the requests by how they ended.
	counts map[string]int
}

func newConfigSeries(c *qt.C, seed uint64) *configSeries {
	s := &configSeries{
		c: c, random: rand.New(rand.NewPCG(seed, 11)), silentUntil: make(map[string]time.Time), counts: make(map[string]int),
	}
	s.runners = &steadyRunners{copies: make(map[string]bool), pause: s.pause}
	s.router = newChangingRouter(s.runners, seriesExtra)
	return s
}

// draw returns a random time in the given range.
func (s *configSeries) draw(least, most time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// pick returns a random number below the given one.
func (s *configSeries) pick(count int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(count)
}

func (s *configSeries) pause(attempt *Attempt, _, _ int) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(0, time.Until(s.silentUntil[fleet.IDOf(attempt.Instance)]))
}

// silence has random runners fall silent until ctx ends.
func (s *configSeries) silence(ctx context.Context) {
	listed := changingView().Runners
	for pause.For(ctx, s.draw(50*time.Millisecond, 300*time.Millisecond)) {
		instance, until := listed[s.pick(len(listed))].Instance, time.Now().Add(s.draw(500*time.Millisecond, maxPauseInSeries))
		s.mutex.Lock()
		s.silentUntil[instance] = until
		s.mutex.Unlock()
	}
}

// change has the router adopt random documents, each with up to three changes, until ctx ends.
func (s *configSeries) change(ctx context.Context) {
	listed := changes()
	for pause.For(ctx, s.draw(100*time.Millisecond, 700*time.Millisecond)) {
		document := changingDocument(s.router.version() + 1)
		for range s.pick(4) {
			picked := listed[s.pick(len(listed))]
			if edit := picked.edits[0]; isApplicable(picked.name, document) {
				edit(document)
			}
		}
		if document.Version%2 == 0 {
			// Every other document is the usual one, so that most requests are accepted.
			document = changingDocument(document.Version)
		}
		s.router.adoptDocument(document)
	}
}

// isApplicable reports whether a change of routes or services still finds what it changes.
func isApplicable(name string, document *site.Document) bool {
	isMoved := slices.ContainsFunc(document.Routes, func(route site.Route) bool {
		return len(route.Split) > 1 || route.Split[0].Service != "plain" && route.Split[0].Service != "engine"
	})
	switch name {
	case "route moves", "route moves and comes back", "split", "weight 0", "service removed", "service removed and added":
		return !isMoved
	}
	return true
}

// request sends one request and checks how it ends.
func (s *configSeries) request(number int) {
	path := []string{"/stream/x", "/stream/x", "/stream-once/x", "/again/x", "/once/x"}[s.pick(5)]
	route := s.router.index.Load().Route("h", path)
	began := time.Now()
	id := fmt.Sprint("r", number)
	recorder, aborted := askChanging(s.router, &Request{ID: id, Wait: seriesWait, ResumeAfter: NoEvent}, path)
	took := time.Since(began)
	runs, starts := s.runners.runsOf(id)
	outcome := "lost"
	switch {
	case !aborted && recorder.Code == http.StatusOK && recorder.Body.String() == wholeBody(path, 0):
		outcome = "whole"
	case !aborted && recorder.Code == http.StatusNotFound && route == nil, !aborted && recorder.Code == http.StatusUnauthorized:
		outcome = "not allowed"
	case !aborted && recorder.Code == http.StatusServiceUnavailable && runs == 0:
		outcome = "refused"
	case route != nil && took >= min(seriesWait, route.Timeout) && (aborted || recorder.Code == http.StatusGatewayTimeout):
		outcome = "deadline"
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[outcome]++
	if outcome == "lost" {
		s.c.Errorf("%s %s: status %d, aborted %t after %v, %d runs, body %q", id, path, recorder.Code, aborted, took, runs, recorder.Body)
	}
	if route != nil {
		s.c.Check(starts <= mostRuns(route), qt.IsTrue, qt.Commentf("%s %s ran %d times", id, path, starts))
	}
}

// mostRuns returns how often a request of the route may run, apart from continuations.
func mostRuns(route *site.Route) int {
	if !route.MayRepeat() {
		return 1
	}
	return max(1, route.MaxAttempts)
}

// Guards against answers that are cut or lost when configurations change one after the other while sound runners fall silent and no
// retry is left.
func TestRequestsOutliveSeriesOfConfigurations(t *testing.T) {
	for seed := *seriesSeed; seed < *seriesSeed+uint64(*seriesCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newConfigSeries(qt.New(t), seed)
				s.run(t.Context())
				t.Log(s.counts)
			})
		})
	}
}

// run sends the requests of a series.
func (s *configSeries) run(parent context.Context) {
	ctx, end := context.WithCancel(parent)
	var disturbing, asking sync.WaitGroup
	disturbing.Go(func() { s.silence(ctx) })
	disturbing.Go(func() { s.change(ctx) })
	for number := range seriesRequests {
		asking.Go(func() { s.request(number) })
		time.Sleep(s.draw(0, 2*seriesTime/seriesRequests))
	}
	asking.Wait()
	end()
	disturbing.Wait()
	time.Sleep(handleTTL + time.Second)
	assertNothingInProgress(s.c, s.router)
}

// Guards against a request that waits for its tenant's limit and gets no answer when the configuration changes the tenant.
func TestWaitForLimitOutlivesItsConfiguration(t *testing.T) {
	raised := site.RateLimit{Unit: site.UnitTokens, Rate: 5000, Burst: 5000, PlainTokens: 100}
	requests := site.RateLimit{Unit: site.UnitRequests, Rate: 5, Burst: 5}
	edit := func(limit site.RateLimit) func(*site.Document) {
		return func(document *site.Document) { document.Tenants[0].Limit = limit }
	}
	for name, test := range map[string]struct {
		edits []func(*site.Document)
		// granted is what the leader grants afterwards; 0 for no answer.
		granted float64
		status  int
	}{
		"nothing changes":        {[]func(*site.Document){unchanged}, 500, http.StatusOK},
		"no leader":              {[]func(*site.Document){unchanged}, 0, http.StatusServiceUnavailable},
		"tenant removed":         {[]func(*site.Document){func(document *site.Document) { document.Tenants = document.Tenants[1:] }}, 0, http.StatusTooManyRequests},
		"tenant goes and comes":  {[]func(*site.Document){func(document *site.Document) { document.Tenants = document.Tenants[1:] }, unchanged}, 500, http.StatusTooManyRequests},
		"limit removed":          {[]func(*site.Document){edit(site.RateLimit{})}, 0, http.StatusOK},
		"limit removed and back": {[]func(*site.Document){edit(site.RateLimit{}), unchanged}, 0, http.StatusOK},
		"limit raised":           {[]func(*site.Document){edit(raised)}, 500, http.StatusOK},
		"other unit":             {[]func(*site.Document){edit(requests)}, 500, http.StatusOK},
		"other unit, no leader":  {[]func(*site.Document){edit(requests)}, 0, http.StatusServiceUnavailable},
		"key replaced": {[]func(*site.Document){func(document *site.Document) {
			document.Tenants[0].Keys = []keys.Hash{keys.HashAPIKey("key-9")}
		}}, 500, http.StatusOK},
		"keys not required": {[]func(*site.Document){func(document *site.Document) { document.RequiresKeys, document.Tenants = false, nil }}, 0, http.StatusTooManyRequests},
		"route goes":        {[]func(*site.Document){dropRoutes}, 500, http.StatusOK},
		"nothing left": {[]func(*site.Document){func(document *site.Document) {
			document.Routes, document.Services, document.Tenants = nil, nil, nil
		}}, 500, http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newTenantRouter(always(fine))
				var changing sync.WaitGroup
				defer changing.Wait()
				changing.Go(func() {
					for i, edit := range test.edits {
						time.Sleep(changeInterval)
						document := tenantDocument(uint64(3 + i))
						edit(document)
						router.adoptDocument(document)
					}
					if test.granted == 0 {
						return
					}
					time.Sleep(changeInterval)
					router.limits.mutex.Lock()
					defer router.limits.mutex.Unlock()
					router.limits.limiter.Adopt(time.Now(), time.Now(), []quota.Grant{{Tenant: "limited", Amount: test.granted, Keep: test.granted}})
				})
				recorder := askAs(router, "/once/", Credential{Key: "key-1"}, Size{Tokens: 400})
				c.Assert(recorder.Code, qt.Equals, test.status)
				if test.status != http.StatusOK {
					c.Assert(recorder.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
				}
			})
		})
	}
}
