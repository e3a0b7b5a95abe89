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
	// zonePause separates two looks at which zones are reached: a quarter of how long one may be
	// silent.
	zonePause = 50 * time.Millisecond
	// quietPause is the same while nothing is expected of any zone. With a thousand routers each has no request
	// most of the time, and twenty looks a second would be most of what its machine does.
	quietPause = 500 * time.Millisecond
	// wayPause separates two looks at how long the ways to the zones are, which change rarely. Zones to which
	// too few connects were made are connected to at each look: three times after the start, so that the
	// first lost connect is noticed as soon as later ones.
	wayPause = time.Second
	// leaderAnswer is what an answer of the leader takes at most, with what comes between two watches.
	leaderAnswer = 200 * time.Millisecond
)

// reasonZoneLost is that of an attempt at a runner of a zone that got out of reach.
const reasonZoneLost = "zone_out_of_reach"

// errZoneLost is the cause of ending such an attempt, if the request may be sent elsewhere.
var errZoneLost = errors.New("the runner's zone is out of reach")

// zones is what a router knows of the zones of its site. The router's mutex guards it.
type zones struct {
	watch *zonewatch.Watch
	// attempts are those under way, by the zone of their runner, which is empty if it is not known.
	attempts map[structs.ZoneID]map[*watchdog]struct{}
	// probing is nil unless zoneLoop runs, and ends with it; probes are the connects under way.
	probing context.Context
	// wake has room for one.
	wake chan struct{}
	// sent counts the requests that were sent, and sampled the connects that were made for no request.
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

// noteSent notes an attempt at a runner; what it returns ends the note.
func (r *Router) noteSent(choice routing.Choice, w *watchdog) (ended func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.isWanted(choice) {
		// Its runner said so since it was chosen.
		w.recall()
		return func() {}
	}
	r.noteSending(r.now(), w)
	zone := r.zones.watch.ZoneOf(choice.Runner())
	if r.zones.attempts[zone] == nil {
		r.zones.attempts[zone] = make(map[*watchdog]struct{})
	}
	r.zones.attempts[zone][w] = struct{}{}
	if zone == "" {
		return func() { r.noteEnded(zone, w) }
	}
	if r.zones.watch.IsQuiet() {
		r.zones.wakeUp()
	}
	r.zones.watch.Sent(r.now(), zone)
	r.zones.sent++
	if r.zones.watch.IsLost(zone) {
		// The runner was chosen before the zone was given up.
		w.leaveZone()
	}
	return func() { r.noteEnded(zone, w) }
}

// noteEnded notes the end of an attempt at a runner of a zone; empty if that is not known.
func (r *Router) noteEnded(zone structs.ZoneID, w *watchdog) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.zones.attempts[zone], w)
	if zone != "" {
		r.zones.watch.Ended(zone)
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
	for r.awaitLook(ctx) {
		now := r.now()
		r.mutex.Lock()
		r.probe(r.zones.watch.Step(now))
		if now.Sub(r.granted.at) >= r.leaderQuiet() && now.Sub(askedAt) >= r.leaderSilence() && r.IsReady() {
			askedAt = now
			r.askZones(now)
		}
		if now.Sub(lookedAt) >= wayPause {
			lookedAt = now
			r.balancer.SetWays(r.options.Connects.ways(r.options.Zone))
			r.sampleWays()
		}
		r.mutex.Unlock()
	}
}

// leaderSilence is after how long without a leader nobody is expected to load what no runner in reach holds: twice
// as long as a leader holds a watch. It runs under the mutex.
func (r *Router) leaderSilence() time.Duration { return 2 * max(r.leaderHold, domainapi.LeastHold) }

// leaderQuiet is after how long without a leader all zones are asked, once in leaderSilence: a little longer than a
// leader holds a watch and its answer takes. It runs under the mutex.
func (r *Router) leaderQuiet() time.Duration {
	return max(r.leaderHold, domainapi.LeastHold) + leaderAnswer
}

// awaitLook waits until it is time for the next look at the zones, or ctx ends; then it returns false.
func (r *Router) awaitLook(ctx context.Context) bool {
	wait := zonePause
	r.mutex.Lock()
	if r.zones.watch.IsQuiet() && !r.isPressed() {
		untilQuiet := r.leaderQuiet() - r.now().Sub(r.granted.at)
		wait = min(quietPause, max(zonePause, untilQuiet))
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

// wakeUp ends the pause of a router that expects nothing of any zone.
func (z *zones) wakeUp() {
	wake.Up(z.wake)
}

// earned is how many connects a router may make to learn something that no request has asked for yet: one for each
// request that it has sent. A thousand routers that each have a request once in seconds would else connect to runners
// for nothing but that.
func (z *zones) earned() int { return max(0, z.sent-z.sampled) }

// sampleWays connects to zones of which it is not known how long the way is. It runs under the mutex.
func (r *Router) sampleWays() {
	wanted := r.zones.watch.Sample(r.options.Connects.isUnmeasured)
	r.random.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
	wanted = wanted[:min(len(wanted), r.zones.earned())]
	r.zones.sampled += len(wanted)
	r.probe(wanted)
}

// askZones asks whether the zones are reached, as the leader is silent. It runs under the mutex.
func (r *Router) askZones(now time.Time) {
	if r.zones.earned() < r.zones.watch.Len() {
		return
	}
	asked := r.zones.watch.LeaderSilent(now)
	r.zones.sampled += len(asked)
	r.probe(asked)
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
	return r.zones.watch.Lost() > 0 && now.Sub(r.granted.at) > r.leaderSilence() && r.balancer.Reached(row) == 0
}
