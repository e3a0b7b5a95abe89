package domainnode

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/asynclog"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/shares"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// minStepPause is the shortest pause between two steps, for what comes meanwhile to share
	// the next. stepRest times what a step took is the shortest as well, so that steps
	// take a quarter of the leader's time at most, however large the site is. maxStepPause
	// bounds that, as a step that took long may have been held up by a frozen machine.
	minStepPause = 15 * time.Millisecond
	stepRest     = 3
	maxStepPause = 300 * time.Millisecond
	// planInterval is the longest pause between two looks at what to load.
	planInterval = 100 * time.Millisecond
	// routerLife is how long a router that has gone silent keeps its part of what is
	// granted to all.
	routerLife = 25 * time.Second
	// contactMargin is how long after its watch should have ended a router still counts as in contact.
	contactMargin = time.Second
	// tellTimeout bounds the wait until routers know of a departure.
	tellTimeout = 600 * time.Millisecond
	// orderTimeout bounds one order or question to a runner.
	orderTimeout = time.Second
	// stoppingLife is how long an announced stop counts.
	stoppingLife = 15 * time.Second
)

// leadership is what a member holds in memory while it leads, in one term.
type leadership struct {
	node    *Node
	logger  log.Logger
	options Options
	member  *member
	term    structs.Epoch
	// beganAt is when the leadership began.
	beganAt time.Time
	// wake asks the plan loop for a look now.
	wake chan struct{}

	mutex    sync.Mutex
	registry *fleet.Registry
	planner  *residency.Planner
	// views numbers the views for routers, of the runners as they stood at the last look.
	views    *fleet.Publisher
	statuses []fleet.Status
	// refreshedAt is when the last look ended, and refreshTook how long it took.
	refreshedAt time.Time
	refreshTook time.Duration
	// answers spreads the answers to watches.
	answers *pacer
	// wholeViews gives turns to routers of a large fleet that know the view of the leader before.
	wholeViews *pacer
	// limits divides the limits of tenants over routers; reserving puts what it may grant in
	// the log.
	limits    *quota.Divider
	reserving *reserving
	// shares adds up what is done for each tenant.
	shares *shares.Book
	// document is the one that the planner works by.
	document  uint64
	announcer *announcer
	// poison finds the requests that crash runners.
	poison *poison.Tracker
	// failing finds the runners that fail what they are sent.
	failing *fleet.Failing
	// lost are the runners that are taken for lost.
	lost map[string]bool
	// loads are those of the last step.
	loads []fleet.Load
	// planned is closed and replaced after each plan.
	planned  chan struct{}
	routers  map[string]routerContact
	stopping map[raft.NodeID]time.Time
	// tokens lends requests to runners that bear few a second: cold ones, which bear coldRates of their service,
	// and those that name a limit.
	tokens       *ratelimit.Pacer
	coldRates    map[string]float64
	cold         map[string]bool
	runnerLimits *ratelimit.Limits
	// loggedLimits bounds the log lines about them.
	loggedLimits *asynclog.Limiter
	// loggedNotices bounds those about what runners said to routers.
	loggedNotices *asynclog.Limiter
	// drains are the zones whose runners get no new requests.
	drains drains
	ended  bool
	// unrecorded are registrations that are to be put in the log.
	unrecorded map[string]domain.Registration
	// unrecordedSuspects are news of requests that may crash runners, for the same.
	unrecordedSuspects []poison.Record
	isRecording        bool
	// summedUpAt is when the demand was last logged.
	summedUpAt time.Time
}

// leadershipLoop begins and ends the leadership as the group's lease says.
func (n *Node) leadershipLoop(ctx context.Context, joined *member) {
	for ctx.Err() == nil {
		changed := joined.group.Applied()
		term, isValid := joined.group.LeaderLease()
		current := joined.leads()
		switch {
		case isValid && (current == nil || current.term != term):
			n.beginLeadership(ctx, joined, term)
		case current != nil && (!joined.group.Status().IsLeader || current.term != term):
			joined.endLeadership()
			level.Info(n.logger).Log("msg", "This controller leads no more.", "term", current.term)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (n *Node) beginLeadership(ctx context.Context, joined *member, term structs.Epoch) {
	at := n.now()
	l := &leadership{
		node:      n,
		logger:    log.With(n.logger, "term", term),
		options:   n.options,
		member:    joined,
		term:      term,
		beganAt:   at,
		wake:      make(chan struct{}, 1),
		registry:  fleet.NewRegistry(at, n.options.timing()),
		planner:   residency.NewPlanner(n.options.Planner, at.Add(n.options.OrderLease)),
		views:     fleet.NewPublisher(),
		reserving: newReserving(),
		shares:    shares.New(at),
		announcer: newAnnouncer(),
		poison:    poison.New(),
		failing:   fleet.NewFailing(),
		tokens:    ratelimit.New(at),
		cold:      make(map[string]bool),

		runnerLimits: ratelimit.NewLimits(),
		loggedLimits: asynclog.NewLimiter(maxLimitLines),

		loggedNotices: asynclog.NewLimiter(maxNoticeLines),
		answers:       newPacer(n.options.LinkBytes * linkShare),
		wholeViews:    newPacer(n.options.LinkBytes * wholeViewShare),
		planned:       make(chan struct{}),
		routers:       make(map[string]routerContact),
		lost:          make(map[string]bool),
		unrecorded:    make(map[string]domain.Registration),
		stopping:      make(map[raft.NodeID]time.Time),
	}
	joined.group.View(func() {
		for instance, isGone := range joined.machine.Departures() {
			l.registry.Depart(at, instance, isGone)
		}
		l.drains = newDrains(joined.machine.Drained())
		l.poison.Recall(at, joined.machine.Suspects())
		l.limits = quota.New(at, n.options.Limits, joined.machine.Reservations())
		for _, each := range joined.machine.StoreLimits() {
			l.planner.RecallStore(at, each.Service, each.AtOnce, each.IsCrowded)
		}
		for _, each := range joined.machine.Registrations() {
			l.planner.RecallSpeed(each.Service, each.Address, each.IsSlow)
			l.registry.Recall(at, fleet.Heartbeat{
				Instance: each.Instance, Service: each.Service, Address: each.Address, Zone: each.Zone, Slots: each.Slots,
			})
		}
	})
	joined.mutex.Lock()
	joined.leadership = l
	joined.mutex.Unlock()
	n.metrics.leads.Set(1)
	n.metrics.changes.Inc()
	level.Info(l.logger).Log("msg", "This controller leads.", "orders_in", n.options.OrderLease)
	go l.findOrdersFrom(ctx)
	go l.run(ctx)
	go l.reserveLoop(ctx)
}

// now is the time that decisions are made by.
func (l *leadership) now() time.Time { return l.node.now() }

func (m *member) leads() *leadership {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.leadership
}

func (m *member) endLeadership() {
	m.mutex.Lock()
	ending := m.leadership
	m.leadership = nil
	m.mutex.Unlock()
	if ending == nil {
		return
	}
	ending.node.metrics.leads.Set(0)
	ending.mutex.Lock()
	defer ending.mutex.Unlock()
	ending.ended = true
	ending.announcer.wakeAll()
	ending.reserving.wakeUp()
}

// isValid reports whether no other controller can lead now.
func (l *leadership) isValid() bool {
	term, isValid := l.member.group.LeaderLease()
	return isValid && term == l.term
}

// run plans until the leadership ends.
func (l *leadership) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.wake:
		}
		l.mutex.Lock()
		ended := l.ended
		l.mutex.Unlock()
		if ended {
			return
		}
		began, next := l.now(), planInterval
		if l.isValid() {
			next = l.step(ctx)
		}
		took := l.now().Sub(began)
		l.node.metrics.stepTime.Observe(took.Seconds())
		rest := min(maxStepPause, max(minStepPause, stepRest*took))
		pause.For(ctx, rest)
		timer.Reset(max(0, next-rest))
	}
}

// step looks once at what the runners hold and what is demanded, and sends orders. It returns
// after how long the next step is due if nothing else happens.
func (l *leadership) step(ctx context.Context) time.Duration {
	l.adoptDocument()
	l.mutex.Lock()
	at := l.now()
	l.registry.Expire(at)
	l.poison.Expire(at)
	l.adoptDrains()
	l.refresh(at)
	questions := l.planner.Questions(at)
	orders := l.planner.Plan(at)
	close(l.planned)
	l.planned = make(chan struct{})
	l.publish(at)
	l.loads = l.planner.Loads(at)
	next := l.tellRouters(at)
	judged := l.planner.TakeJudgements()
	ended := l.planner.TakeEndedLoads()
	l.recordNews()
	l.sumUp(at)
	l.mutex.Unlock()
	l.noteEndedLoads(ended)
	for _, found := range judged {
		level.Info(l.logger).Log("msg", "A runner's speed was judged.", "runner", found.Instance,
			"slow", found.IsSlow, "pauses", found.Pauses, "slowness", fmt.Sprintf("%.2f", found.Slowness),
			"tokens_per_s", found.Pace.PromptRate, "event", found.Pace.Event, "bears", fmt.Sprintf("%.1f", found.Borne))
	}
	for _, status := range questions {
		go l.ask(ctx, status)
	}
	for _, order := range orders {
		go l.send(ctx, order)
	}
	return next
}

// tellRouters lets the routers know of the newest view: at once those with requests that wait
// for what has become ready, the others when it is their time. It returns after how long
// the next step is due. It runs under the mutex.
func (l *leadership) tellRouters(at time.Time) time.Duration {
	for _, router := range l.planner.WaitingRouters(at, l.planner.TakeArrived()) {
		l.notify(router)
	}
	next := planInterval
	if left := l.announcer.offer(at, l.news(), len(l.routers)); left > 0 {
		next = min(next, left)
	}
	if in, isKnown := l.planner.NextArrival(at); isKnown {
		next = min(next, in)
	}
	return next
}

// news is what routers should know. It runs under the mutex.
func (l *leadership) news() news {
	return news{revision: l.views.Revision(), document: l.document, suspects: l.poison.Revision()}
}

// notify lets a router know of the newest view at once, unless it does already. It runs under
// the mutex.
func (l *leadership) notify(router string) {
	known := l.routers[router]
	if known.isBehind {
		known.wantsWhole = true
		l.routers[router] = known
	}
	if known.wantsWhole || known.revision < l.views.Revision() {
		l.node.metrics.earlyViews.Inc()
		l.announcer.notify(router)
	}
}

// adoptDocument gives the planner the document in force.
func (l *leadership) adoptDocument() {
	var current domain.Document
	l.member.group.View(func() { current = l.member.machine.Document() })
	l.mutex.Lock()
	isKnown := l.document == current.Version
	l.mutex.Unlock()
	if isKnown {
		return
	}
	document, err := l.options.documentOf(current)
	if err != nil {
		level.Error(l.logger).Log("msg", "The document in force cannot be decoded.", "version", current.Version, "err", err)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.document = current.Version
	l.planner.SetDocument(site.NewIndex(document))
	level.Info(l.logger).Log("msg", "A document is in force.", "version", current.Version)
	l.setColdRates(document.Services)
	l.shares.SetTenants(document.Tenants)
	for _, tenant := range l.limits.SetTenants(l.now(), document.Tenants) {
		level.Info(l.logger).Log("msg", "A tenant's limit is in force.", "tenant", tenant.Name, "rate", tenant.Limit.Rate,
			"burst", tenant.Limit.Burst, "version", current.Version)
	}
}

// wakePlan asks for a look at what to load now.
func (l *leadership) wakePlan() {
	wake.Up(l.wake)
}

func (l *leadership) isStopping(node raft.NodeID) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at, known := l.stopping[node]
	return known && l.now().Sub(at) < stoppingLife
}

// heard takes a heartbeat. A runner that is not registered is put in the log, for the
// leaders to come; nobody waits for that.
func (l *leadership) heard(heartbeat fleet.Heartbeat) {
	l.mutex.Lock()
	heartbeat = l.registry.Resolve(heartbeat)
	isTaken := l.hear(l.now(), heartbeat)
	isSlow := l.planner.IsSlowPlace(heartbeat.Instance)
	l.mutex.Unlock()
	if !isTaken {
		return
	}
	registration := domain.Registration{
		Instance: heartbeat.Instance, Service: heartbeat.Service, Address: heartbeat.Address,
		Zone: heartbeat.Zone, Slots: heartbeat.Slots, IsSlow: isSlow,
	}
	var known domain.Registration
	l.member.group.View(func() { known, _ = l.member.machine.Registered(heartbeat.Instance) })
	if known != registration {
		l.mutex.Lock()
		l.unrecorded[heartbeat.Instance] = registration
		l.mutex.Unlock()
	}
}
