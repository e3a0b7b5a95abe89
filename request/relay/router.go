package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/asynclog"
	"github.com/lotusferry/lotusferry/internal/clock"
	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/shares"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/fairqueue"
	"github.com/lotusferry/lotusferry/request/paths"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// Router forwards requests to runners.
type Router struct {
	options Options
	logger  log.Logger
	metrics *metrics
	client  *transport.Client
	caller  *leadercall.Caller
	// index is the index of the current document; nil before the first.
	index atomic.Pointer[site.Index]
	// known is closed once there is a document.
	known chan struct{}
	// confirmed is the latest time at which the current document was known to be the newest; nil if
	// it never was.
	confirmed atomic.Pointer[time.Time]
	limits    *limits
	// rejectionLog limits the log lines about requests rejected for their keys or limits.
	rejectionLog *asynclog.Limiter
	// suspectLog limits those about requests that may crash runners.
	suspectLog *asynclog.Limiter
	// continuationLog limits those about continuations.
	continuationLog *asynclog.Limiter
	// trialIDs numbers the requests that ask the leader for permission to run.
	trialIDs atomic.Uint64
	stop     stops
	// report triggers the report loop, wantsTokens the token loop, wantsSlots the slot loop.
	report      chan struct{}
	wantsTokens chan struct{}
	wantsSlots  chan struct{}
	// hasWork wakes an idle report loop.
	hasWork chan struct{}

	mutex       sync.Mutex
	random      *rand.Rand
	balancer    *routing.Balancer
	rows        map[residency.Row]*rowState
	queue       *fairqueue.Queue[*waiter]
	budgets     map[string]*budget
	routerCount routerCount
	// startedAt is when the process started, and retryExtra its share of RetryRule.Extra.
	startedAt  time.Time
	retryExtra float64
	// leaderHold is the longest time for which the leader holds a watch.
	leaderHold time.Duration
	// fleet holds all known runners, candidates those that may be selected.
	fleet      *fleet.Directory
	candidates candidates
	loads      loadReports
	notHeld    map[string]bool
	// unreachable are the runners that could not be reached since the last report.
	unreachable map[string]bool
	// tokensUntil is the expiry of the current tokens; zero if there are none.
	tokensUntil time.Time
	// runnerLimits are the rate limits announced by runners.
	runnerLimits runnerLimits
	notices      notices
	// attemptCounts counts the outcomes of attempts since the last report.
	attemptCounts map[structs.RunnerID]*fleet.Attempts
	// lastDataAt is the time of the last data from each runner, and lastEventAt that of the last head of an answer, event or comment:
	// part of an event does not show that a runner is at work. lastDirectDataAt is that of the last data that did not come through a
	// peer.
	lastDataAt       map[structs.RunnerID]time.Time
	lastDirectDataAt map[structs.RunnerID]time.Time
	lastEventAt      map[structs.RunnerID]time.Time
	// paces are the stream timings to be reported.
	paces []residency.Pace
	// suspects are the requests that may crash runners.
	suspects suspects
	zones    zones
	peers    peering
	// brittle holds the services whose runners fall over if they reject many requests, and slots what the leader lent of
	// their slots.
	brittle *ratelimit.LimitCache
	slots   slots
	// streams are the software versions that began streams.
	streams streamVersions
	// copies are the copies of streams at their standbys.
	copies copies

	overload overload
}

const (
	callTimeout = 1200 * time.Millisecond
	dialTimeout = 600 * time.Millisecond
	tryTimeout  = 400 * time.Millisecond
	// newConnTime is the assumed cost of a new connection to a runner. A connection that was used
	// within idleConnTime is still open.
	newConnTime  = 4 * time.Millisecond
	idleConnTime = 8 * time.Second
	// selectionCostExponent controls how strongly the expected latency decides between replicas. Lower
	// values overload slow replicas; higher values make all routers select the same ones, the best
	// in the last load report, which is 0.1 to 0.5 s old.
	selectionCostExponent = 3
	// loadTTL is how long the load reports of the leader are used: about the length of a stream,
	// and several watch intervals.
	loadTTL = 2 * time.Second
)

// New returns a router. It has no document or view before Run is called.
func New(options Options) *Router {
	if options.Now == nil {
		options.Now = clock.Now
	}
	transportOptions := transport.Options{DialTimeout: dialTimeout, CallTimeout: callTimeout, Network: options.Network}
	if options.Network == nil {
		transportOptions.Network = network.Prompt()
	}
	transportOptions.Network = network.ForControl(transportOptions.Network)
	made := newMetrics(options)
	transportOptions.OnMessage = made.traffic.AddMessage
	if options.Dialer != nil {
		options.Dialer.setTraffic(made.traffic)
	}
	client := transport.NewClient(options.Logger, transportOptions)
	random := rand.New(rand.NewPCG(options.Seed, 1))
	r := &Router{
		options:     options,
		logger:      log.With(options.Logger, "component", "router"),
		metrics:     made,
		client:      client,
		caller:      leadercall.New(client, nil).WithTryTimeout(tryTimeout),
		stop:        newStops(),
		report:      make(chan struct{}, 1),
		wantsTokens: make(chan struct{}, 1),
		hasWork:     make(chan struct{}, 1),
		random:      random,
		startedAt:   options.Now(),
		fleet:       fleet.NewDirectory(),
		candidates:  newCandidates(),
		balancer: routing.New(routing.Options{
			Daemon: structs.DaemonID(options.Name), Zone: options.Zone, Regions: options.Regions, MaxBatch: fleet.DefaultSlots, ReportTTL: loadTTL,
			BreakerFailures: 2, BreakerDelay: 500 * time.Millisecond, BreakerDelayLimit: 4 * time.Second,
			EjectionTime: 2 * time.Second, ColdTime: newConnTime, WarmTime: idleConnTime, UseFailing: true, CostExponent: selectionCostExponent,
		}, random),
		rows:    make(map[residency.Row]*rowState),
		queue:   fairqueue.New[*waiter](),
		budgets: make(map[string]*budget),
		notHeld: make(map[string]bool),

		unreachable:   make(map[string]bool),
		attemptCounts: make(map[structs.RunnerID]*fleet.Attempts),

		lastDataAt: make(map[structs.RunnerID]time.Time), lastDirectDataAt: make(map[structs.RunnerID]time.Time),
		lastEventAt: make(map[structs.RunnerID]time.Time),
		known:       make(chan struct{}),

		limits:       newLimits(random.Uint64()),
		rejectionLog: asynclog.NewLimiter(maxTenantLogRate),

		runnerLimits: newRunnerLimits(),
		notices:      newNotices(),
		suspects:     newSuspects(),
		zones:        newZones(options.Seed),
		copies:       newCopies(),
		brittle:      ratelimit.NewLimitCache(),
		slots:        newSlots(),
		wantsSlots:   make(chan struct{}, 1),
		streams:      newStreamVersions(options.Name),
		suspectLog:   asynclog.NewLimiter(maxSuspectLogRate),

		continuationLog: asynclog.NewLimiter(maxContinuationLogRate),
	}
	r.peers = newPeering(options, r.zones.watch)
	return r
}

// Run exchanges state with the controllers until ctx ends.
func (r *Router) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { r.watchLoop(ctx) })
	running.Go(func() { r.reportLoop(ctx) })
	running.Go(func() { r.limitLoop(ctx) })
	running.Go(func() { r.zoneLoop(ctx) })
	running.Go(func() { r.tokenLoop(ctx) })
	running.Go(func() { r.slotLoop(ctx) })
	running.Go(func() { r.noteLoop(ctx) })
	running.Wait()
	r.client.Close()
}

// now returns the time for deadlines and leases. Intervals within one response use the monotonic
// clock, which is cheaper to read.
func (r *Router) now() time.Time { return r.options.Now() }

// age returns the time since the request arrived.
func (r *Router) age(request *Request) time.Duration { return r.now().Sub(request.Arrived) }

// IsReady reports whether the router has a document.
func (r *Router) IsReady() bool { return r.index.Load() != nil }

// adoptView applies a view of the runners.
func (r *Router) adoptView(view fleet.View) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.candidates.hasPaced = false
	r.applyFleetChanges(r.fleet.ApplyView(view))
	r.metrics.runners.Set(float64(r.fleet.Len()))
	r.dropIdleModels(r.now())
	r.serveWaiters()
	r.deferBound()
	if r.candidates.hasPaced {
		r.wakeTokens()
	}
}

// adoptDocument replaces the current document by a newer one, and reports whether it was newer.
func (r *Router) adoptDocument(document *site.Document) bool {
	current := r.index.Load()
	if current != nil && current.Document.Version >= document.Version {
		return false
	}
	r.limits.mutex.Lock()
	r.limits.limiter.SetTenants(document.Tenants)
	r.limits.mutex.Unlock()
	r.mutex.Lock()
	r.queue.SetWeights(shares.Weights(document.Tenants))
	r.mutex.Unlock()
	r.index.Store(site.NewIndex(document))
	r.metrics.version.Set(float64(document.Version))
	if current == nil {
		close(r.known)
	}
	return true
}

// version returns the version of the current document, or 0.
func (r *Router) version() uint64 {
	if current := r.index.Load(); current != nil {
		return current.Document.Version
	}
	return 0
}

// randomFraction returns a uniform random number in [0, 1).
func (r *Router) randomFraction() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.Float64()
}

// noteNotHeld records that a runner does not hold a row. The row is not sent there until a view
// lists it again.
func (r *Router) noteNotHeld(instance structs.RunnerID, row residency.Row) {
	r.mutex.Lock()
	r.notHeld[string(instance)] = true
	r.fleet.Update(string(instance), without(row))
	if r.fleet.Runner(string(instance)) == nil {
		r.removeCandidates([]string{string(instance)})
	} else {
		r.addCandidates([]string{string(instance)})
	}
	r.mutex.Unlock()
	r.wakeReport()
}

// noteUnreachable records that a runner could not be reached or sent nothing for too long.
func (r *Router) noteUnreachable(instance structs.RunnerID) {
	r.mutex.Lock()
	r.unreachable[string(instance)] = true
	r.mutex.Unlock()
	r.wakeReport()
}

// observeBytes records that a runner sent something over a path, if only part of an event.
func (r *Router) observeBytes(instance structs.RunnerID, path paths.Path) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.recordBytes(instance, path)
}

// observeEvent records that what a runner sent has completed an event or a comment.
func (r *Router) observeEvent(instance structs.RunnerID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.recordEvent(instance)
}

// recordEvent is observeEvent for callers that hold r.mutex.
func (r *Router) recordEvent(instance structs.RunnerID) { r.lastEventAt[instance] = time.Now() }

// recordBytes is observeBytes for callers that hold r.mutex.
func (r *Router) recordBytes(instance structs.RunnerID, path paths.Path) {
	r.lastDataAt[instance] = time.Now()
	if path.IsDirect() {
		r.lastDirectDataAt[instance] = r.lastDataAt[instance]
		r.zones.watch.ObserveData(r.now(), instance)
	}
}

// silentFor returns the time since a runner sent data on the direct way. The caller must hold r.mutex.
func (r *Router) silentFor(instance structs.RunnerID) time.Duration {
	return time.Since(r.lastDirectDataAt[instance])
}

// addPace queues the timing of a stream for the next report.
func (r *Router) addPace(pace residency.Pace) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.paces) < maxPaces {
		r.paces = append(r.paces, pace)
	}
}

// takePaces returns the timings to report and resets them.
func (r *Router) takePaces() []residency.Pace {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	taken := r.paces
	r.paces = nil
	return taken
}

// maxPaces bounds the stream timings in one report.
const maxPaces = 64

// isBusy reports whether a runner that has sent nothing for a request since the given time is
// occupied: it has sent events for another request, or comments for this one, or all its slots are taken.
func (r *Router) isBusy(instance structs.RunnerID, since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lastEventAt[instance].After(since) || r.balancer.IsCrowded(time.Now(), instance)
}
