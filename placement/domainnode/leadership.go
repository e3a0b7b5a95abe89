package domainnode

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/asynclog"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/peers"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/shares"
	"github.com/lotusferry/lotusferry/placement/slotlease"
	"github.com/lotusferry/lotusferry/placement/versions"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// routerExpiry is how long a silent router keeps its share of the grants.
	routerExpiry = 25 * time.Second
	// contactMargin is how long after the end of its watch a router still counts as active.
	contactMargin = domainapi.ContactMargin
	// routerAckTimeout bounds the wait until routers have received a change.
	routerAckTimeout = 600 * time.Millisecond
	// stopNoticeExpiry is how long an announced stop is taken into account.
	stopNoticeExpiry = 15 * time.Second
)

// leadership is the in-memory state of a leader in one term.
type leadership struct {
	node      *Node
	logger    log.Logger
	options   Options
	member    *member
	term      structs.Epoch
	startedAt time.Time
	// context ends with the leadership, and with it the orders in progress.
	context context.Context
	end     context.CancelFunc
	// wake triggers a step.
	wake chan struct{}

	mutex    sync.Mutex
	registry *fleet.Registry
	planner  *residency.Planner
	// views holds the numbered views for routers, and statuses the runners as of the last refresh.
	views    *fleet.Publisher
	statuses []fleet.Status
	// refreshedAt is when the last refresh ended, and refreshDuration how long it took.
	refreshedAt     time.Time
	refreshDuration time.Duration
	// replyPacer paces the replies to watches.
	replyPacer *pacer
	// fullViewPacer paces full views to routers of a large fleet that have the previous leader's view.
	fullViewPacer *pacer
	// limits divides the tenants' limits among the routers; reservation signals the loop that
	// logs reservations.
	limits      *quota.Divider
	reservation *reservationSignal
	// shares sums the work of each tenant over all routers.
	shares *shares.Ledger
	// document is the version of the planner's document.
	document  uint64
	announcer *announcer
	// poison tracks requests that may crash runners.
	poison *poison.Tracker
	// failing tracks runners that fail requests.
	failing *fleet.OutlierDetector
	// streams are the losses of streams as routers report them.
	streams *fleet.LossTracker
	// lost is the set of unreachable runners.
	lost map[string]bool
	// loads are the loads of the last step, packedLoads the same in packed form.
	loads       []fleet.Load
	packedLoads []byte
	// planned is closed and replaced after each plan.
	planned chan struct{}
	routers map[string]routerContact
	// peers are the routers through which others may reach runners.
	peers *peers.Roster
	// departures are those of which views tell.
	departures map[domain.Departure]publishedDeparture
	// seenRevision is the revision that every active router had at seenAt.
	seenAt       time.Time
	seenRevision uint64
	// contactsValidUntil is the earliest time at which one of the routers may expire.
	contactsValidUntil time.Time
	relays             relays
	stopping           map[raft.NodeID]time.Time
	// tokens grants requests to rate-limited runners: cold ones, limited to the coldRates of
	// their service, and those that announce a limit.
	tokens       *ratelimit.Pacer
	coldRates    map[string]float64
	cold         map[string]bool
	runnerLimits *ratelimit.Limits
	// brittle holds the services whose runners fall over if they reject many requests, and slots lends their slots.
	brittle *ratelimit.Limits
	slots   *slotlease.Ledger
	// loggedLimits limits the log lines about rate limits.
	loggedLimits *asynclog.Limiter
	// loggedNotices limits the log lines about notices of runners.
	loggedNotices *asynclog.Limiter
	drains        drains
	ended         bool
	// versions are the software versions that runners had lately, and versionRetention is for how long they are remembered.
	versions *versions.Tracker
	// introductions hold new versions back until routers know of them.
	introductions    *versions.Introductions
	versionRetention versions.Retention
	// pendingRegistrations are registrations to be proposed, keyed by instance.
	pendingRegistrations map[string]domain.Registration
	// pendingSuspects are updates on suspected requests to be proposed.
	pendingSuspects []poison.Record
	isProposing     bool
	// summarizedAt is when the demand was last logged.
	summarizedAt time.Time
}

// leadershipLoop starts and ends the leadership as the group's lease is gained and lost.
func (n *Node) leadershipLoop(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		changed := m.group.Changed()
		term, isValid := m.group.LeaderLease()
		current := m.currentLeadership()
		switch {
		case isValid && (current == nil || current.term != term):
			n.beginLeadership(ctx, m, term)
		case current != nil && (!m.group.Status().IsLeader || current.term != term):
			m.endLeadership()
			level.Info(n.logger).Log("msg", "This controller leads no more.", "term", current.term)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// newLeadership returns the leadership of a term that begins at the given time, with what the
// replicated state tells of the ones before.
func newLeadership(n *Node, m *member, term structs.Epoch, at time.Time) *leadership {
	l := &leadership{
		node:        n,
		logger:      log.With(n.logger, "term", term),
		options:     n.options,
		member:      m,
		term:        term,
		startedAt:   at,
		wake:        make(chan struct{}, 1),
		registry:    fleet.NewRegistry(at, n.options.timing()),
		planner:     residency.NewPlanner(n.options.Planner, at.Add(n.options.OrderLease)),
		views:       fleet.NewPublisher(),
		reservation: newReservationSignal(),
		shares:      shares.New(at),
		announcer:   newAnnouncer(),
		poison:      poison.New(),
		failing:     fleet.NewOutlierDetector(),
		streams:     fleet.NewLossTracker(),
		tokens:      ratelimit.New(at),
		cold:        make(map[string]bool),

		runnerLimits: ratelimit.NewLimits(),
		brittle:      ratelimit.NewLimits(),
		slots:        slotlease.New(at),
		loggedLimits: asynclog.NewLimiter(maxLimitLogLines),

		loggedNotices:        asynclog.NewLimiter(maxNoticeLogLines),
		replyPacer:           newPacer(n.options.LinkBytes * replyLinkShare),
		fullViewPacer:        newPacer(n.options.LinkBytes * fullViewLinkShare),
		planned:              make(chan struct{}),
		routers:              make(map[string]routerContact),
		peers:                peers.New(n.options.Regions),
		departures:           make(map[domain.Departure]publishedDeparture),
		relays:               newRelays(),
		lost:                 make(map[string]bool),
		pendingRegistrations: make(map[string]domain.Registration),
		stopping:             make(map[raft.NodeID]time.Time),
		versions:             versions.NewTracker(),
		introductions:        versions.NewIntroductions(at),
	}
	m.group.View(func() {
		for _, key := range m.machine.Versions() {
			l.versions.Observe(at, key)
		}
		for instance, isGone := range m.machine.Departures() {
			l.registry.Depart(at, instance, isGone)
		}
		l.drains = newDrains(m.machine.Drained())
		l.poison.RestoreSuspects(at, m.machine.Suspects())
		l.limits = quota.New(at, n.options.Limits, m.machine.Reservations())
		for _, each := range m.machine.StoreLimits() {
			l.planner.RecallStore(at, each.Service, each.AtOnce, each.IsCrowded)
		}
		for _, each := range m.machine.Registrations() {
			l.planner.RecallSpeed(each.Service, each.Address, each.IsSlow)
			l.registry.Recall(at, fleet.Heartbeat{
				Instance: each.Instance, Service: each.Service, Address: each.Address, Zone: each.Zone, Slots: each.Slots,
				Version: each.Version,
			})
			l.versions.Observe(at, versions.Key{Service: each.Service, Version: each.Version})
		}
	})
	return l
}

func (n *Node) beginLeadership(ctx context.Context, m *member, term structs.Epoch) {
	l := newLeadership(n, m, term, n.now())
	// A leadership of an earlier term may still be there if this member was elected again at once.
	m.endLeadership()
	l.context, l.end = context.WithCancel(ctx)
	m.mutex.Lock()
	m.leadership = l
	m.mutex.Unlock()
	n.metrics.leads.Set(1)
	n.metrics.leaderships.Inc()
	level.Info(l.logger).Log("msg", "This controller leads.", "orders_in", n.options.OrderLease)
	go l.setFirstOrderTime(ctx)
	go l.run(ctx)
	go l.workloadLoop(l.context)
	go l.reserveLoop(ctx)
}

// lock takes the mutex and records how long it had to wait for it.
func (l *leadership) lock() {
	began := l.now()
	l.mutex.Lock()
	l.node.workload.mutexWait.note(l.now().Sub(began))
}

func (l *leadership) now() time.Time { return l.node.now() }

func (m *member) currentLeadership() *leadership {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.leadership
}

// endLeadership ends the leadership, if there is one, and cancels its orders in progress.
func (m *member) endLeadership() {
	m.mutex.Lock()
	ending := m.leadership
	m.leadership = nil
	m.mutex.Unlock()
	if ending == nil {
		return
	}
	ending.end()
	ending.node.metrics.leads.Set(0)
	ending.mutex.Lock()
	defer ending.mutex.Unlock()
	ending.ended = true
	ending.announcer.wakeAll()
	ending.reservation.wakeUp()
}

// isValid reports whether the lease of the term still holds.
func (l *leadership) isValid() bool {
	term, isValid := l.member.group.LeaderLease()
	return isValid && term == l.term
}

// notify notifies a router of the latest view unless it has it. The caller holds the mutex.
func (l *leadership) notify(router string) {
	known := l.routers[router]
	if known.lacksFullView {
		known.wantsFullView = true
		l.routers[router] = known
	}
	if known.wantsFullView || known.revision < l.views.Revision() {
		l.node.metrics.earlyViews.Inc()
		if !l.relays.notify(known.relay, router) {
			l.announcer.notify(router)
		}
	}
}

// wakePlan triggers a step.
func (l *leadership) wakePlan() {
	wake.Up(l.wake)
}

func (l *leadership) isStopping(node raft.NodeID) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at, known := l.stopping[node]
	return known && l.now().Sub(at) < stopNoticeExpiry
}

// receiveHeartbeat applies a heartbeat.
func (l *leadership) receiveHeartbeat(heartbeat fleet.Heartbeat) {
	l.receiveHeartbeats([]fleet.Heartbeat{heartbeat})
}

// receiveHeartbeats applies a batch of heartbeats. The mutex is taken once for all of them, since in a
// large fleet each wait for it may take as long as a step. New and changed registrations are queued
// for the log without waiting for their commit.
func (l *leadership) receiveHeartbeats(heartbeats []fleet.Heartbeat) {
	l.node.workload.heartbeats.Add(int64(len(heartbeats)))
	l.lock()
	defer l.mutex.Unlock()
	now := l.now()
	registrations := make([]domain.Registration, 0, len(heartbeats))
	for _, heartbeat := range heartbeats {
		heartbeat = l.registry.Resolve(heartbeat)
		if !l.applyHeartbeat(now, heartbeat) {
			continue
		}
		registrations = append(registrations, domain.Registration{
			Instance: heartbeat.Instance, Service: heartbeat.Service, Address: heartbeat.Address,
			Zone: heartbeat.Zone, Slots: heartbeat.Slots, IsSlow: l.planner.IsSlowMachine(heartbeat.Instance), Version: heartbeat.Version,
		})
		l.observeVersion(now, versions.Key{Service: heartbeat.Service, Version: heartbeat.Version})
	}
	l.queueRegistrations(registrations)
}

// queueRegistrations queues those registrations that the log does not have, or whose software version it has forgotten. The caller
// holds the mutex.
func (l *leadership) queueRegistrations(registrations []domain.Registration) {
	l.member.group.View(func() {
		for _, registration := range registrations {
			known, _ := l.member.machine.Registered(registration.Instance)
			isStored := l.member.machine.StoresVersion(versions.Key{Service: registration.Service, Version: registration.Version})
			if known != registration || !isStored {
				l.pendingRegistrations[registration.Instance] = registration
			}
		}
	})
}
