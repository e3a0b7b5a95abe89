package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/request/zonewatch"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// zoneCheckInterval is the interval between checks of zone reachability: a quarter of the
	// silence limit of a zone.
	zoneCheckInterval = 50 * time.Millisecond
	// silenceCheckInterval is the interval while no response is expected from any zone. It limits the
	// idle load of sites with many routers.
	silenceCheckInterval = 500 * time.Millisecond
	// latencyInterval is the interval between updates of zone latencies. Each also connects to
	// zones with too few measurements, so that timeouts are known soon after the start.
	latencyInterval = time.Second
	// leaderAnswerTime bounds the response time of the leader plus the time between two watches.
	leaderAnswerTime = 200 * time.Millisecond
)

// reasonZoneLost means that the runner's zone became unreachable.
const reasonZoneLost = "zone_out_of_reach"

// reasonPathLost means that the runner, but not all of its zone, became unreachable on the direct way and is reached through peers.
const reasonPathLost = "path_lost"

// errZoneLost and errPathLost are the cancellation causes of such attempts if they are repeatable.
var (
	errZoneLost = errors.New("the runner's zone is unreachable")
	errPathLost = errors.New("the runner is reached through peers only")
)

// zones tracks the reachability of the site's zones. It is guarded by Router.mutex.
type zones struct {
	watch *zonewatch.Watch
	// attempts are the attempts in progress by the zone of their runner, which is empty if unknown.
	attempts map[structs.ZoneID]map[*watchdog]struct{}
	// probing is the context of probes; nil unless zoneLoop runs. probes waits for probes in
	// progress.
	probing context.Context
	// wake has capacity 1.
	wake chan struct{}
	// sent counts the requests sent, sampled the probes made without a request.
	sent    int
	sampled int
	probes  sync.WaitGroup
}

func newZones(seed uint64) zones {
	return zones{
		watch:    zonewatch.New(rand.New(rand.NewPCG(seed, 2))),
		attempts: make(map[structs.ZoneID]map[*watchdog]struct{}),
		wake:     make(chan struct{}, 1),
	}
}

// beginAttempt registers an attempt in progress. The returned function unregisters it.
func (r *Router) beginAttempt(choice routing.Choice, w *watchdog) (ended func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.isWanted(choice) {
		// The runner requested a cooldown or announced that it is leaving since it was chosen.
		w.recall()
		return func() {}
	}
	now := r.now()
	r.countSending(now, w)
	zone := r.zones.watch.ZoneOf(choice.Runner())
	w.path = r.peers.paths.Choose(now, choice.Runner(), zone, w.wish)
	if r.zones.attempts[zone] == nil {
		r.zones.attempts[zone] = make(map[*watchdog]struct{})
	}
	r.zones.attempts[zone][w] = struct{}{}
	if !w.path.IsDirect() {
		r.peers.paths.Began(now, w.path)
		r.metrics.peerSent.Inc()
		r.watchPeers(now)
	}
	if zone == "" || !w.path.IsDirect() {
		return func() { r.endAttempt(zone, w) }
	}
	if r.zones.watch.IsIdle() {
		r.zones.wakeUp()
	}
	r.zones.watch.Sent(now, zone)
	r.zones.sent++
	if r.zones.watch.IsLost(zone) {
		// The runner was chosen before the zone was found unreachable.
		w.cancelLost(errZoneLost)
	}
	return func() { r.endAttempt(zone, w) }
}

// endAttempt unregisters an attempt at a runner of the zone, which is empty if unknown.
func (r *Router) endAttempt(zone structs.ZoneID, w *watchdog) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.zones.attempts[zone], w)
	if !w.path.IsDirect() {
		r.peers.paths.Ended(r.now(), w.path)
		return
	}
	if zone != "" {
		r.zones.watch.Ended(zone)
	}
}

// connectFailed records a failed direct connect to a runner.
func (r *Router) connectFailed(id structs.RunnerID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.probe(r.zones.watch.ConnectFailed(r.now(), id))
	r.doubtDirectWay(id)
}

// connectionBroke records that a direct connection to a runner broke before any answer. Where the way to runners is lost
// behind a proxy, connects go on to succeed.
func (r *Router) connectionBroke(id structs.RunnerID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.doubtDirectWay(id)
}

// doubtDirectWay records that a direct connection to a runner failed. The caller must hold r.mutex.
func (r *Router) doubtDirectWay(id structs.RunnerID) {
	r.probePaths(r.peers.paths.ConnectFailed(r.now(), id, r.zones.watch.ZoneOf(id)))
	r.zones.wakeUp()
}

// zoneLoop monitors zone reachability until ctx ends.
func (r *Router) zoneLoop(ctx context.Context) {
	if r.options.Dialer == nil {
		return
	}
	r.mutex.Lock()
	r.zones.probing = ctx
	r.mutex.Unlock()
	defer r.awaitProbes()
	var lookedAt, askedAt time.Time
	for r.awaitCheck(ctx) {
		now := r.now()
		r.mutex.Lock()
		r.probe(r.zones.watch.Step(now))
		r.stepPaths(now)
		if now.Sub(r.routerCount.at) >= r.leaderSilenceLimit() && now.Sub(askedAt) >= r.leaderSilence() && r.IsReady() {
			askedAt = now
			r.probeZones(now)
		}
		if now.Sub(lookedAt) >= latencyInterval {
			lookedAt = now
			r.balancer.SetZoneLatencies(r.options.Dialer.extraLatencies(r.options.Zone))
			r.sampleLatencies()
		}
		r.mutex.Unlock()
	}
}

// leaderSilence returns the time without a leader after which no model load can be expected: twice
// the hold time of a watch. The caller must hold r.mutex.
func (r *Router) leaderSilence() time.Duration { return 2 * max(r.leaderHold, domainapi.MinHold) }

// leaderSilenceLimit returns the time without a leader after which all zones are probed, once per
// leaderSilence: the hold time of a watch plus leaderAnswerTime. The caller must hold r.mutex.
func (r *Router) leaderSilenceLimit() time.Duration {
	return max(r.leaderHold, domainapi.MinHold) + leaderAnswerTime
}

// awaitCheck waits until the next check is due. It returns false if ctx ends first.
func (r *Router) awaitCheck(ctx context.Context) bool {
	wait := zoneCheckInterval
	r.mutex.Lock()
	if r.zones.watch.IsIdle() && r.peers.paths.IsIdle() && !r.isOverloaded() {
		untilSilent := r.leaderSilenceLimit() - r.now().Sub(r.routerCount.at)
		wait = min(silenceCheckInterval, max(zoneCheckInterval, untilSilent))
	}
	r.mutex.Unlock()
	due := r.now().Add(wait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.zones.wake:
	case <-timer.C:
		now := r.now()
		r.observeLateness(now, now.Sub(due))
	}
	return true
}

// wakeUp ends the idle interval.
func (z *zones) wakeUp() {
	wake.Up(z.wake)
}

// probeBudget returns how many probes may be made without a request that needs them: one for each
// request sent. This bounds the connects of sites with many idle routers.
func (z *zones) probeBudget() int { return max(0, z.sent-z.sampled) }

// sampleLatencies probes zones whose latency is unknown. The caller must hold r.mutex.
func (r *Router) sampleLatencies() {
	wanted := r.zones.watch.Sample(r.options.Dialer.isUnmeasured)
	r.random.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
	wanted = wanted[:min(len(wanted), r.zones.probeBudget())]
	r.zones.sampled += len(wanted)
	r.probe(wanted)
}

// probeZones probes the zones because the leader is silent. The caller must hold r.mutex.
func (r *Router) probeZones(now time.Time) {
	if r.zones.probeBudget() < r.zones.watch.Len() {
		return
	}
	asked := r.zones.watch.LeaderSilent(now)
	r.zones.sampled += len(asked)
	r.probe(asked)
}

// awaitProbes disables probing and waits for the probes in progress.
func (r *Router) awaitProbes() {
	r.mutex.Lock()
	r.zones.probing = nil
	r.mutex.Unlock()
	r.zones.probes.Wait()
}

// probe connects to runners in the background to check whether their zones are reachable. The
// caller must hold r.mutex.
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
			outcome := r.options.Dialer.probe(ctx, address)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			changes, more := r.zones.watch.Probed(r.now(), each, outcome)
			for _, change := range changes {
				r.applyZoneChange(change)
			}
			r.probe(more)
		})
	}
}

// applyZoneChange excludes a zone from selection or includes it again. The caller must hold
// r.mutex.
func (r *Router) applyZoneChange(change zonewatch.Change) {
	r.balancer.SetZoneUnreachable(change.Zone, change.IsLost)
	r.metrics.zonesLost.Set(float64(r.zones.watch.Lost()))
	if r.peers.server != nil {
		r.peers.server.Announce()
	}
	sinceLeader := r.now().Sub(r.routerCount.at)
	if !change.IsLost {
		level.Info(r.logger).Log("msg", "A zone is reached again.", "zone", change.Zone, "answered", change.Runners,
			"leader_heard_before", sinceLeader)
		r.peers.paths.ZoneReached(change.Zone)
		r.serveWaiters()
		return
	}
	r.metrics.zoneLosses.Inc()
	level.Warn(r.logger).Log("msg", "A zone is out of reach.", "zone", change.Zone, "cause", change.Cause, "after", change.After,
		"runners_asked", change.Runners, "requests", change.Open, "leader_heard_before", sinceLeader)
	r.cancelSilent(change.Zone)
	time.AfterFunc(liveConnectionTime, func() { r.cancelIfStillLost(change.Zone) })
	r.probePaths(r.peers.paths.ZoneLost(r.now(), change.Zone))
	for _, id := range r.zones.watch.RunnersOf(change.Zone) {
		r.unreachable[string(id)] = true
	}
	r.wakeReport()
	r.serveWaiters()
}

// liveConnectionTime is how recent data has to be for an attempt to go on although its zone is unreachable: open
// connections may live on while new ones are refused.
const liveConnectionTime = 250 * time.Millisecond

// cancelSilent cancels the direct attempts in a zone whose runners have sent nothing for liveConnectionTime. The
// caller must hold r.mutex.
func (r *Router) cancelSilent(zone structs.ZoneID) {
	for w := range r.zones.attempts[zone] {
		if w.path.IsDirect() && r.silentFor(w.runner) >= liveConnectionTime {
			w.cancelLost(errZoneLost)
		}
	}
}

// cancelSilentAt is cancelSilent for a single runner that is reached through peers. The caller must hold r.mutex.
func (r *Router) cancelSilentAt(runner structs.RunnerID) {
	if r.silentFor(runner) < liveConnectionTime {
		return
	}
	for w := range r.zones.attempts[r.zones.watch.ZoneOf(runner)] {
		if w.path.IsDirect() && w.runner == runner {
			w.cancelLost(errPathLost)
		}
	}
}

// cancelIfStillThroughPeers is cancelSilentAt for a runner of which the direct way was lost a moment ago.
func (r *Router) cancelIfStillThroughPeers(runner structs.RunnerID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.peers.paths.IsLost(runner, r.zones.watch.ZoneOf(runner)) {
		r.cancelSilentAt(runner)
	}
}

// cancelIfStillLost is cancelSilent for a zone that was lost a moment ago.
func (r *Router) cancelIfStillLost(zone structs.ZoneID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.zones.watch.IsLost(zone) {
		r.cancelSilent(zone)
	}
}

// isPartitioned reports whether no reachable runner holds the row and no leader can order a load,
// as after a network partition. Requests for the row still wait, since the partition may heal at
// any moment, and rejecting them at once served fewer of their callers; if they wait in vain they
// get a longer Retry-After. The caller must hold r.mutex.
func (r *Router) isPartitioned(now time.Time, row structs.RowName) bool {
	return r.zones.watch.Lost() > 0 && now.Sub(r.routerCount.at) > r.leaderSilence() && r.balancer.ReachableReplicas(row) == 0
}
