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
	// report asks the report loop for a report now.
	report chan struct{}

	mutex    sync.Mutex
	random   *rand.Rand
	balancer *routing.Balancer
	rows     map[residency.Row]*rowState
	queue    *fairqueue.Queue[*waiter]
	budgets  map[string]*budget
	granted  grant
	view     fleet.View
	doubted  map[string]bool
	// unreachable are runners that could not be reached since the last report.
	unreachable map[string]bool
	// heard is when each runner last sent something.
	heard map[structs.RunnerID]time.Time
	// paces are those of streams that have ended since the last report.
	paces []residency.Pace
	// suspects are requests that may crash runners.
	suspects suspects
}

const (
	callTimeout = 1200 * time.Millisecond
	dialTimeout = 600 * time.Millisecond
	tryTimeout  = 400 * time.Millisecond
	// defaultBatch is the room of a runner that has not said its own.
	defaultBatch = 16
	// slowPenalty is by how much more a request weighs at a slow runner: twice, so that it
	// gets half of the requests. Shutting it out instead drove all of them to one other.
	slowPenalty = 1
	// affinityBound is by how much of a batch a runner that has read the beginning of a
	// prompt may be more loaded: two requests of 64. Sixteen drove all prompts with the
	// same first part to one replica, whose streams paused (docs/design/further.md).
	affinityBound = 0.03
	// coldRequests keeps to runners to which a connection is open, as they stay for
	// warmTime at least. A new connection is worth half a request; with 3.5 some replicas
	// of models in demand got none.
	coldRequests = 0.5
	warmTime     = 8 * time.Second
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
		options: options,
		logger:  log.With(options.Logger, "component", "router"),
		metrics: newMetrics(options.Metrics),
		client:  client,
		caller:  leadercall.New(client, nil).WithTryTimeout(tryTimeout),
		stop:    newStops(),
		report:  make(chan struct{}, 1),
		random:  random,
		balancer: routing.New(routing.Options{
			Daemon: structs.DaemonID(options.Name), MaxBatch: defaultBatch, ReportLife: loadLife,
			BreakerFailures: 2, BreakerDelay: 500 * time.Millisecond, BreakerDelayLimit: 4 * time.Second,
			EjectionTime: 2 * time.Second, ColdRequests: coldRequests, WarmTime: warmTime, UseFailing: true, AffinityBound: affinityBound,
		}, random),
		rows:    make(map[residency.Row]*rowState),
		queue:   fairqueue.New[*waiter](),
		budgets: make(map[string]*budget),
		doubted: make(map[string]bool),

		unreachable: make(map[string]bool),

		heard: make(map[structs.RunnerID]time.Time),
		known: make(chan struct{}),

		limits:  newLimits(random.Uint64()),
		refused: asynclog.NewLimiter(maxTenantLines),

		suspects:        newSuspects(),
		refusedSuspects: asynclog.NewLimiter(maxSuspectLines),
	}
}

// Run follows the controllers until ctx ends.
func (r *Router) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { r.watchLoop(ctx) })
	running.Go(func() { r.reportLoop(ctx) })
	running.Go(func() { r.limitLoop(ctx) })
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
	r.view = fleet.Merge(r.view, view)
	r.metrics.runners.Set(float64(len(r.view.Runners)))
	r.balancer.SetPlacement(placement(r.view))
	for _, runner := range r.view.Runners {
		penalty := 0.0
		if runner.Slow {
			penalty = slowPenalty
		}
		r.balancer.SetPenalty(structs.RunnerID(runner.Instance), penalty)
		r.balancer.SetBatch(structs.RunnerID(runner.Instance), runner.Slots)
	}
	r.forgetUnlisted()
	r.serveWaiters()
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
	r.view = without(r.view, string(instance), row)
	r.balancer.SetPlacement(placement(r.view))
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
	r.heard[instance] = time.Now()
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

// forgetUnlisted drops what is kept for runners that are listed no more. It runs
// under the mutex.
func (r *Router) forgetUnlisted() {
	listed := make(map[structs.RunnerID]bool, len(r.view.Runners))
	for _, runner := range r.view.Runners {
		listed[structs.RunnerID(runner.Instance)] = true
	}
	for instance := range r.heard {
		if !listed[instance] {
			delete(r.heard, instance)
		}
	}
}
