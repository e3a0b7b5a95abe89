package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/request/zonewatch"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// zonePause separates two looks at which zones are reached: a quarter of how long one may be
	// silent.
	zonePause = 50 * time.Millisecond
	// wayPause separates two looks at how long the ways to the zones are, which change rarely. Zones to which
	// too few connects were made are connected to at each look: three times after the start, so that the
	// first lost connect is noticed as soon as later ones.
	wayPause = time.Second
	// leaderSilence is after how long without a leader nobody is expected to load what no runner in
	// reach holds: twice as long as a leader holds a watch.
	leaderSilence = time.Second
	// leaderQuiet is after how long without a leader all zones are asked, once in leaderSilence: a little
	// longer than a leader holds a watch and its answer takes.
	leaderQuiet = 700 * time.Millisecond
)

// reasonZoneLost is that of an attempt at a runner of a zone that got out of reach.
const reasonZoneLost = "zone_out_of_reach"

// errZoneLost is the cause of ending such an attempt, if the request may be sent elsewhere.
var errZoneLost = errors.New("the runner's zone is out of reach")

// zones is what a router knows of the zones of its site. The router's mutex guards it.
type zones struct {
	watch *zonewatch.Watch
	// attempts are those under way, by the zone of their runner.
	attempts map[structs.ZoneID]map[*watchdog]struct{}
	// probing is nil unless zoneLoop runs, and ends with it; probes are the connects under way.
	probing context.Context
	probes  sync.WaitGroup
}

func newZones(seed uint64) zones {
	return zones{
		watch:    zonewatch.New(rand.New(rand.NewPCG(seed, 2))),
		attempts: make(map[structs.ZoneID]map[*watchdog]struct{}),
	}
}

// noteSent notes an attempt at a runner; what it returns ends the note.
func (r *Router) noteSent(choice routing.Choice, w *watchdog) (ended func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	zone := r.zones.watch.ZoneOf(choice.Runner())
	if zone == "" {
		return func() {}
	}
	r.zones.watch.Sent(r.now(), zone)
	if r.zones.attempts[zone] == nil {
		r.zones.attempts[zone] = make(map[*watchdog]struct{})
	}
	r.zones.attempts[zone][w] = struct{}{}
	if r.zones.watch.IsLost(zone) {
		// The runner was chosen before the zone was given up.
		w.leaveZone()
	}
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.zones.watch.Ended(zone)
		delete(r.zones.attempts[zone], w)
	}
}

// connectFailed notes that a runner could not be connected to.
func (r *Router) connectFailed(id structs.RunnerID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.probe(r.zones.watch.ConnectFailed(r.now(), id))
}

// zoneLoop watches which zones are reached until ctx ends.
func (r *Router) zoneLoop(ctx context.Context) {
	if r.options.Connects == nil {
		return
	}
	r.mutex.Lock()
	r.zones.probing = ctx
	r.mutex.Unlock()
	defer r.endProbing()
	var lookedAt, askedAt time.Time
	for due := r.now().Add(zonePause); pause.For(ctx, zonePause); due = r.now().Add(zonePause) {
		now := r.now()
		r.observeLateness(now, now.Sub(due))
		r.mutex.Lock()
		r.probe(r.zones.watch.Step(now))
		if now.Sub(r.granted.at) >= leaderQuiet && now.Sub(askedAt) >= leaderSilence && r.IsReady() {
			askedAt = now
			r.probe(r.zones.watch.LeaderSilent(now))
		}
		if now.Sub(lookedAt) >= wayPause {
			lookedAt = now
			r.balancer.SetWays(r.options.Connects.ways(r.options.Zone))
			r.probe(r.zones.watch.Sample(r.options.Connects.isUnmeasured))
		}
		r.mutex.Unlock()
	}
}

// endProbing waits for the connects under way.
func (r *Router) endProbing() {
	r.mutex.Lock()
	r.zones.probing = nil
	r.mutex.Unlock()
	r.zones.probes.Wait()
}

// probe connects to runners to learn whether their zones are reached. It runs under the mutex and
// does not wait.
func (r *Router) probe(probes []zonewatch.Probe) {
	ctx := r.zones.probing
	if ctx == nil {
		return
	}
	for _, each := range probes {
		runner := r.fleet.Runner(string(each.Runner))
		if runner == nil {
			continue
		}
		address := runner.Address
		r.metrics.zoneProbes.Inc()
		r.zones.probes.Go(func() {
			outcome := r.options.Connects.probe(ctx, address)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			changes, more := r.zones.watch.Probed(r.now(), each, outcome)
			for _, change := range changes {
				r.adoptChange(change)
			}
			r.probe(more)
		})
	}
}

// adoptChange takes a zone out of the choice of runners, or in again. It runs under the mutex.
func (r *Router) adoptChange(change zonewatch.Change) {
	r.balancer.SetOutOfReach(change.Zone, change.IsLost)
	r.metrics.zonesLost.Set(float64(r.zones.watch.Lost()))
	sinceLeader := r.now().Sub(r.granted.at)
	if !change.IsLost {
		level.Info(r.logger).Log("msg", "A zone is reached again.", "zone", change.Zone, "answered", change.Runners,
			"leader_heard_before", sinceLeader)
		r.serveWaiters()
		return
	}
	r.metrics.zoneLosses.Inc()
	level.Warn(r.logger).Log("msg", "A zone is out of reach.", "zone", change.Zone, "cause", change.Cause, "after", change.After,
		"runners_asked", change.Runners, "requests", change.Open, "leader_heard_before", sinceLeader)
	for w := range r.zones.attempts[change.Zone] {
		w.leaveZone()
	}
	for _, id := range r.zones.watch.RunnersOf(change.Zone) {
		r.unreachable[string(id)] = true
	}
	r.wakeReport()
	r.serveWaiters()
}

// isCutOff reports whether nobody in reach holds the row and nobody is heard who could order a load: the
// router is in a part of the site that is cut off. Requests for the row wait as for any other, since a cut
// may end at any moment and whoever waits is served then; to tell their callers at once to come back later
// was measured, and served fewer of them. One that has waited in vain is told to stay away for longer than
// usual. It runs under the mutex.
func (r *Router) isCutOff(now time.Time, row structs.RowName) bool {
	return r.zones.watch.Lost() > 0 && now.Sub(r.granted.at) > leaderSilence && r.balancer.Reached(row) == 0
}
