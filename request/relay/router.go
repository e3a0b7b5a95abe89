package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
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
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/shares"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/fairqueue"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// Router passes requests on to runners.
type Router struct {
	options Options
	logger  log.Logger
	metrics *metrics
	client  *transport.Client
	caller  *leadercall.Caller
	// index is that of the document in force; nil before the first.
	index atomic.Pointer[site.Index]
	// known is closed once a document is in force.
	known chan struct{}
	// confirmed is the newest time at which the document in force was the newest; nil for
	// never.
	confirmed atomic.Pointer[time.Time]
	limits    *limits
	// refused bounds the log lines about requests refused for their keys or limits.
	refused *asynclog.Limiter
	// refusedSuspects does the same for requests that may crash runners.
	refusedSuspects *asynclog.Limiter
	// askers numbers the requests that ask the leader for permission to run.
	askers atomic.Uint64
	stop   stops
	// report asks the report loop for a report now, and wantsTokens the token loop for a question.
	report      chan struct{}
	wantsTokens chan struct{}
	// hasWork ends the rest of a report loop that has nothing to report.
	hasWork chan struct{}

	mutex    sync.Mutex
	random   *rand.Rand
	balancer *routing.Balancer
	rows     map[residency.Row]*rowState
	queue    *fairqueue.Queue[*waiter]
	budgets  map[string]*budget
	granted  grant
	// leaderHold is how long the leader holds a watch at most.
	leaderHold time.Duration
	// fleet is what is known of the runners, and placed those of them that may be chosen.
	fleet   *fleet.Directory
	placed  placed
	doubted map[string]bool
	// unreachable are runners that could not be reached since the last report.
	unreachable map[string]bool
	// tokensUntil is until when the tokens for requests to paced runners may be used; zero if there are none.
	tokensUntil time.Time
	// runnerLimits are the rate limits that runners name.
	runnerLimits runnerLimits
	notices      notices
	// ended counts how attempts ended since the last report.
	ended map[structs.RunnerID]*fleet.Attempts
	// heard is when each runner last sent something.
	heard map[structs.RunnerID]time.Time
	// paces are those of streams that have ended since the last report.
	paces []residency.Pace
	// suspects are requests that may crash runners.
	suspects suspects
	zones    zones

	pressure ownPressure
}

const (
	callTimeout = 1200 * time.Millisecond
	dialTimeout = 600 * time.Millisecond
	tryTimeout  = 400 * time.Millisecond
	// defaultBatch is the room of a runner that has not said its own.
	defaultBatch = 16
	// coldTime is what a new connection to a runner costs its request: the way there and back, some
	// milliseconds within a region. One that answered within warmTime is still open.
	coldTime = 4 * time.Millisecond
	warmTime = 8 * time.Second
	// drawSharpness is how much the expected time decides between replicas. With 68 routers and
	// word that is 0.1 to 0.5 s old, 3 served most callers in time in the load test of package
	// routing; with 1 slow and full replicas got too many, with 6 those that were best in the
	// last word.
	drawSharpness = 3
	// loadLife is how long it counts what the leader says of the requests at a runner: about as
	// long as a stream takes, and several times the pause between two replies to a watch.
	loadLife = 2 * time.Second
)

// New makes a router, which knows nothing until Run is called.
func New(options Options) *Router {
	if options.Now == nil {
		options.Now = clock.Now
	}
	transportOptions := transport.Options{DialTimeout: dialTimeout, CallTimeout: callTimeout, Network: options.Network}
	if options.Network == nil {
		transportOptions.Network = network.Prompt()
	}
	client := transport.NewClient(options.Logger, transportOptions)
	random := rand.New(rand.NewPCG(options.Seed, 1))
	return &Router{
		options:     options,
		logger:      log.With(options.Logger, "component", "router"),
		metrics:     newMetrics(options.Metrics),
		client:      client,
		caller:      leadercall.New(client, nil).WithTryTimeout(tryTimeout),
		stop:        newStops(),
		report:      make(chan struct{}, 1),
		wantsTokens: make(chan struct{}, 1),
		hasWork:     make(chan struct{}, 1),
		random:      random,
		fleet:       fleet.NewDirectory(),
		placed:      newPlaced(),
		balancer: routing.New(routing.Options{
			Daemon: structs.DaemonID(options.Name), Zone: options.Zone, MaxBatch: defaultBatch, ReportLife: loadLife,
			BreakerFailures: 2, BreakerDelay: 500 * time.Millisecond, BreakerDelayLimit: 4 * time.Second,
			EjectionTime: 2 * time.Second, ColdTime: coldTime, WarmTime: warmTime, UseFailing: true, Sharpness: drawSharpness,
		}, random),
		rows:    make(map[residency.Row]*rowState),
		queue:   fairqueue.New[*waiter](),
		budgets: make(map[string]*budget),
		doubted: make(map[string]bool),

		unreachable: make(map[string]bool),
		ended:       make(map[structs.RunnerID]*fleet.Attempts),

		heard: make(map[structs.RunnerID]time.Time),
		known: make(chan struct{}),

		limits:  newLimits(random.Uint64()),
		refused: asynclog.NewLimiter(maxTenantLines),

		runnerLimits:    newRunnerLimits(),
		notices:         newNotices(),
		suspects:        newSuspects(),
		zones:           newZones(options.Seed),
		refusedSuspects: asynclog.NewLimiter(maxSuspectLines),
	}
}

// Run follows the controllers until ctx ends.
func (r *Router) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { r.watchLoop(ctx) })
	running.Go(func() { r.reportLoop(ctx) })
	running.Go(func() { r.limitLoop(ctx) })
	running.Go(func() { r.zoneLoop(ctx) })
	running.Go(func() { r.tokenLoop(ctx) })
	running.Wait()
	r.client.Close()
}

// now is the time that deadlines and grants are held against. What is measured within one answer
// goes by the steady clock, which costs less.
func (r *Router) now() time.Time { return r.options.Now() }

// age is how long ago a request came.
func (r *Router) age(request *Request) time.Duration { return r.now().Sub(request.Arrived) }

// IsReady reports whether the router knows a document.
func (r *Router) IsReady() bool { return r.index.Load() != nil }

// adoptView adopts a view of the runners.
func (r *Router) adoptView(view fleet.View) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.placed.hasPaced = false
	r.adoptChanges(r.fleet.Learn(view))
	r.metrics.runners.Set(float64(r.fleet.Len()))
	r.forgetUnasked(r.now())
	r.serveWaiters()
	if r.placed.hasPaced {
		r.wakeTokens()
	}
}

// adoptDocument adopts a document that is newer than the one in force.
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

// version is that of the document in force, or 0.
func (r *Router) version() uint64 {
	if current := r.index.Load(); current != nil {
		return current.Document.Version
	}
	return 0
}

// countRequest counts a request for the budget of its service and the demand of its
// row.
func (r *Router) countRequest(row residency.Row, objective time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.noteWork()
	r.budget(row.Service).request(r.now())
	state := r.rowState(row)
	state.arrived++
	if objective > 0 && (state.objective == 0 || objective < state.objective) {
		state.objective = objective
	}
}

// mayRepeat takes one repeated sending from the budget of the service.
func (r *Router) mayRepeat(service string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	allowed := r.budget(service).withdraw(r.now(), r.granted)
	r.metrics.repeats.WithLabelValues(strconv.FormatBool(allowed)).Inc()
	return allowed
}

func (r *Router) budget(service string) *budget {
	known := r.budgets[service]
	if known == nil {
		known = &budget{rule: r.options.Retry}
		r.budgets[service] = known
	}
	return known
}

// point draws evenly from [0, 1).
func (r *Router) point() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.Float64()
}

// doubt notes a runner that refused a row that it was thought to hold: no further
// request of the row goes there until a view says again that it is held.
func (r *Router) doubt(instance structs.RunnerID, row residency.Row) {
	r.mutex.Lock()
	r.doubted[string(instance)] = true
	r.fleet.Update(string(instance), without(row))
	if r.fleet.Runner(string(instance)) == nil {
		r.displace([]string{string(instance)})
	} else {
		r.place([]string{string(instance)})
	}
	r.mutex.Unlock()
	r.wakeReport()
}

// complain notes a runner that could not be reached or said nothing for too long.
func (r *Router) complain(instance structs.RunnerID) {
	r.mutex.Lock()
	r.unreachable[string(instance)] = true
	r.mutex.Unlock()
	r.wakeReport()
}

// heardFrom notes that a runner has sent something.
func (r *Router) heardFrom(instance structs.RunnerID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.noteHeard(instance)
}

// noteHeard notes the same under the mutex.
func (r *Router) noteHeard(instance structs.RunnerID) {
	r.heard[instance] = time.Now()
	r.zones.watch.Heard(r.now(), instance)
}

// notePace notes the pace of a stream that has ended.
func (r *Router) notePace(pace residency.Pace) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.paces) < maxPaces {
		r.paces = append(r.paces, pace)
	}
}

// takePaces hands out the paces to report.
func (r *Router) takePaces() []residency.Pace {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	taken := r.paces
	r.paces = nil
	return taken
}

// maxPaces bounds the paces in one report.
const maxPaces = 64

// isBusy reports whether a runner that has sent nothing for a request since a time has other
// things to do: it has answered another one, or has as many as it can run.
func (r *Router) isBusy(instance structs.RunnerID, since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.heard[instance].After(since) || r.balancer.IsCrowded(time.Now(), instance)
}
